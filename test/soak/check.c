/**
 * @file
 * Checks of the guarantees, during a run and on the records of a run.
 */
#include "lab.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Limits that the users require. */
#define VIEW_UPDATE_LIMIT_MS 5000
/*
 * The users require no limit for a network that loses datagrams. The limit is
 * MAX_TRANSMIT_SPAN, the time in which CoAP retransmits (RFC 7252 section
 * 4.8.2).
 */
#define VIEWS_LOSSY_MS 45000
#define CONFIG_IN_FORCE_LIMIT_MS 4000

/* Time after a fault until the members have found each other again. */
#define RECOVERY_MS 5000

#define CHECK_INTERVAL_MS 100
#define BREACH_TRACE_LINES 12
#define BREACH_TEXTS_MAX 40

/* Fields of a line in the callers' record of outcomes. */
enum {
	OUTCOME_KIND,
	OUTCOME_ID,
	OUTCOME_RESULT,
	OUTCOME_CODE,
	OUTCOME_SERVICE,
	OUTCOME_PATH,
	OUTCOME_START_MS,
	OUTCOME_END_MS,
	OUTCOME_FIELDS,
};

/* Fields of a line in the backend servers' record of runs. */
enum {
	RUN_ID,
	RUN_SERVICE,
	RUN_SERVER,
	RUN_TIME_MS,
	RUN_FIELDS,
};

const char *const guarantee_texts[] = {
	"open views stay open and current",
	"no packet crosses services",
	"each caller gets its complete answer",
	"an operation reported as not run did not run",
	"a non-idempotent operation runs at most once",
	"a draining backend server gets no new work",
	"planned stops lose no request",
	"configuration in force in time, never reverted",
};

G_STATIC_ASSERT(G_N_ELEMENTS(guarantee_texts) == GUARANTEE_COUNT);

void check_breach(lab_t *lab, guarantee_t guarantee, const char *format, ...)
{
	GString *text = g_string_new(NULL);
	guint first = lab->trace->len > BREACH_TRACE_LINES ?
			      lab->trace->len - BREACH_TRACE_LINES :
			      0;
	va_list args;

	lab->breaches[guarantee]++;
	g_string_printf(text, "BREACH at %.3f s of \"%s\": ",
			(double)(pl_now_ms() - lab->started_ms) / 1000,
			guarantee_texts[guarantee]);
	va_start(args, format);
	g_string_append_vprintf(text, format, args);
	va_end(args);
	if (lab->verbose)
		fprintf(stderr, "%s\n", text->str);
	for (guint i = first; i < lab->trace->len; i++)
		g_string_append_printf(
			text, "\n    %s",
			(char *)g_ptr_array_index(lab->trace, i));
	if (lab->breach_texts->len < BREACH_TEXTS_MAX)
		g_ptr_array_add(lab->breach_texts, g_string_free(text, FALSE));
	else
		g_string_free(text, TRUE);
}

uint64_t check_breaches(const lab_t *lab)
{
	uint64_t sum = 0;

	for (int p = 0; p < GUARANTEE_COUNT; p++)
		sum += lab->breaches[p];
	return sum;
}

/*
 * Start of a time limit for an event at @p start_ms. An unplanned fault that
 * lasts at that time or starts later restarts the limit: at the end of the
 * fault, or at its start if views need not wait for the end. UINT64_MAX while a
 * fault lasts that restarts the limit at its end.
 */
static uint64_t limit_start_ms_(const lab_t *lab, uint64_t start_ms,
				bool for_views)
{
	uint64_t base_ms = start_ms;

	for (guint i = 0; i < lab->injections->len; i++) {
		const injection_t *injection =
			g_ptr_array_index(lab->injections, i);
		bool at_end = !for_views ||
			      injection->fault->view_limits_start_at_end;

		if (injection->fault->planned ||
		    (injection->end_ms && injection->end_ms < start_ms))
			continue;
		if (at_end && !injection->end_ms)
			return UINT64_MAX;
		base_ms = MAX(base_ms,
			      at_end ? injection->end_ms : injection->start_ms);
	}
	return base_ms;
}

static bool limit_exceeded_(uint64_t base_ms, uint64_t limit_ms)
{
	return base_ms != UINT64_MAX && pl_now_ms() > base_ms + limit_ms;
}

/* Names of the agents that rank first for the caller on @p port. */
static char *ranked_agents_(const lab_t *lab, const char *service,
			    const char *port)
{
	GString *names = g_string_new(NULL);

	for (int i = 0; i < LAB_ENTRIES && names->len == 0; i++) {
		char *url;
		char *text;
		json_object *answer;
		json_object *rank = NULL;

		if (!lab->nodes[i].up)
			continue;
		url = g_strdup_printf("http://%s/explain?service=%s&"
				      "caller=127.0.0.1:%d",
				      lab->nodes[i].admin, service, atoi(port));
		text = http_request("GET", url, NULL);
		answer = text ? json_tokener_parse(text) : NULL;
		json_object_object_get_ex(answer, "rank", &rank);
		for (size_t k = 0; rank && k < json_object_array_length(rank);
		     k++) {
			json_object *name = NULL;

			json_object_object_get_ex(
				json_object_array_get_idx(rank, k), "name",
				&name);
			g_string_append_printf(names, " %s",
					       json_object_get_string(name));
		}
		json_object_put(answer);
		g_free(text);
		g_free(url);
	}
	return g_string_free(names, FALSE);
}

static void report_stale_views_(lab_t *lab, const update_t *update,
				const char *counts)
{
	char *stale = pl_process_request(
		lab->caller, "stale %s " LAB_STATE_PATH " %" G_GUINT64_FORMAT,
		lab_services[update->service], update->version);

	const char *service = lab_services[update->service];
	char *first_port =
		stale ? pl_content_field(stale, strlen(stale), "stale") : NULL;
	char *ranked =
		ranked_agents_(lab, service, first_port ? first_port : "0");

	check_breach(lab, GUARANTEE_VIEWS,
		     "%s, version %" G_GUINT64_FORMAT
		     " sent %d ms ago: %s; port@version of stale views: %s; "
		     "ranked agents of the first:%s",
		     service, update->version,
		     (int)(pl_now_ms() - update->sent_ms), counts, stale,
		     ranked);
	g_free(ranked);
	g_free(first_port);
	g_free(stale);
}

/* Number in the field @p name of an answer, or -1. */
static long long number_field_(const char *text, const char *name)
{
	char *value = text ? pl_content_field(text, strlen(text), name) : NULL;
	long long number = value ? g_ascii_strtoll(value, NULL, 10) : -1;

	g_free(value);
	return number;
}

/* Checks whether every view received an update; true when it is finished. */
static bool check_update_(lab_t *lab, const update_t *update)
{
	uint64_t elapsed_ms = pl_now_ms() - update->sent_ms;
	char *counts = pl_process_request(
		lab->caller, "views %s " LAB_STATE_PATH " %" G_GUINT64_FORMAT,
		lab_services[update->service], update->version);
	long long opened = number_field_(counts, "opened");
	bool shown = opened > 0 && number_field_(counts, "current") == opened;
	bool overdue =
		!shown &&
		limit_exceeded_(limit_start_ms_(lab, update->sent_ms, true),
				VIEW_UPDATE_LIMIT_MS);

	if (overdue && opened - number_field_(counts, "current") !=
			       lab->stale_views[update->service])
		report_stale_views_(lab, update, counts);
	if (shown || overdue)
		lab->stale_views[update->service] =
			opened - number_field_(counts, "current");
	if (shown || overdue) {
		lab->check_counts[GUARANTEE_VIEWS] += (uint64_t)MAX(opened, 0);
		lab->view_delay_max_ms =
			MAX(lab->view_delay_max_ms, elapsed_ms);
	}
	g_free(counts);
	return shown || overdue;
}

/* Checks the oldest outstanding updates of each service. */
static void check_views_(lab_t *lab)
{
	bool waiting[LAB_SERVICES] = { false };
	GList *next;

	for (GList *link = lab->updates.head; link; link = next) {
		update_t *update = link->data;

		next = link->next;
		if (waiting[update->service])
			continue;
		if (check_update_(lab, update)) {
			g_queue_delete_link(&lab->updates, link);
			g_free(update);
			continue;
		}
		waiting[update->service] = true;
	}
}

static bool check_node_revision_(lab_t *lab, node_t *node)
{
	int64_t revision = node_revision(node);

	if (revision < 0)
		return false;
	lab->check_counts[GUARANTEE_CONFIGURATION]++;
	if (revision < node->revision)
		check_breach(lab, GUARANTEE_CONFIGURATION,
			     "%s reverted from revision %d to %d", node->name,
			     (int)node->revision, (int)revision);
	node->revision = revision;
	return revision >= lab->change.revision;
}

static void check_configuration_(lab_t *lab)
{
	uint64_t base_ms = limit_start_ms_(lab, lab->change.accepted_ms, false);
	uint64_t elapsed_ms = pl_now_ms() - lab->change.accepted_ms;
	GString *missing = g_string_new(NULL);

	for (int i = 0; i < LAB_NODES; i++) {
		node_t *node = &lab->nodes[i];

		if (!node->up || check_node_revision_(lab, node))
			continue;
		/* The limit of a new process starts with the process. */
		base_ms = MAX(base_ms, node->up_since_ms);
		g_string_append_printf(missing, " %s", node->name);
	}
	if (missing->len == 0 ||
	    limit_exceeded_(base_ms, CONFIG_IN_FORCE_LIMIT_MS)) {
		lab->change.pending = false;
		lab->change_delay_max_ms =
			MAX(lab->change_delay_max_ms, elapsed_ms);
	}
	if (missing->len > 0 && !lab->change.pending)
		check_breach(lab, GUARANTEE_CONFIGURATION,
			     "revision %d accepted %d ms ago is not in force "
			     "on:%s",
			     (int)lab->change.revision, (int)elapsed_ms,
			     missing->str);
	g_string_free(missing, TRUE);
}

void check_periodic(lab_t *lab)
{
	if (pl_now_ms() < lab->next_check_ms)
		return;
	lab->next_check_ms = pl_now_ms() + CHECK_INTERVAL_MS;
	if (lab->caller)
		check_views_(lab);
	if (lab->change.pending && lab->next_update_ms != UINT64_MAX)
		check_configuration_(lab);
}

/*
 * Name of a planned change, or else of a fault that may lose requests, that
 * lasted or ended within RECOVERY_MS before some time in the interval, or NULL.
 */
static const char *fault_during_(const lab_t *lab, uint64_t start_ms,
				 uint64_t end_ms, bool planned)
{
	for (guint i = 0; i < lab->injections->len; i++) {
		const injection_t *injection =
			g_ptr_array_index(lab->injections, i);

		if ((planned ? injection->fault->planned :
			       injection->fault->loses_requests) &&
		    injection->start_ms <= end_ms &&
		    (!injection->end_ms ||
		     injection->end_ms + RECOVERY_MS >= start_ms))
			return injection->name;
	}
	return NULL;
}

static char **read_lines_(const lab_t *lab, const char *name)
{
	char *path = g_build_filename(lab->dir, name, NULL);
	char *text = NULL;
	char **lines;

	g_file_get_contents(path, &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	g_free(text);
	g_free(path);
	return lines;
}

/* Maps operation ids to their lines in the record of runs. */
static GHashTable *read_runs_(lab_t *lab)
{
	GHashTable *runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	char **lines = read_lines_(lab, "runs");

	for (char **line = lines; *line && **line; line++) {
		char **fields = g_strsplit(*line, " ", RUN_FIELDS);
		const char *earlier = g_hash_table_lookup(runs, fields[RUN_ID]);

		if (earlier)
			check_breach(lab, GUARANTEE_AT_MOST_ONCE,
				     "ran twice: \"%s\" and \"%s\"", earlier,
				     *line);
		g_hash_table_insert(runs, g_strdup(fields[RUN_ID]),
				    g_strdup(*line));
		g_strfreev(fields);
	}
	lab->check_counts[GUARANTEE_AT_MOST_ONCE] = g_hash_table_size(runs);
	g_strfreev(lines);
	return runs;
}

/* An operation may remain unanswered only near a fault that loses requests. */
static void check_unanswered_(lab_t *lab, char **fields, const char *line)
{
	uint64_t start_ms =
		g_ascii_strtoull(fields[OUTCOME_START_MS], NULL, 10);
	uint64_t end_ms = g_ascii_strtoull(fields[OUTCOME_END_MS], NULL, 10);
	const char *planned = fault_during_(lab, start_ms, end_ms, true);
	double at_s = ((double)start_ms - (double)lab->started_ms) / 1000;

	if (fault_during_(lab, start_ms, end_ms, false))
		return;
	check_breach(lab,
		     planned ? GUARANTEE_GRACEFUL_STOP : GUARANTEE_WHOLE_ANSWER,
		     "no answer to a request started at %.3f s, after %d ms, "
		     "during %s: %s",
		     at_s, (int)(end_ms - start_ms),
		     planned ? planned : "no planned change", line);
}

/* Whether @p run was at the draining server during the drain @p injection. */
static bool ran_at_draining_server_(const injection_t *injection,
				    const char *run)
{
	char **fields = g_strsplit(run, " ", RUN_FIELDS);
	uint64_t run_ms =
		g_strv_length(fields) < RUN_FIELDS ?
			0 :
			g_ascii_strtoull(fields[RUN_TIME_MS], NULL, 10);
	bool at_server = run_ms >= injection->start_ms &&
			 (!injection->end_ms || run_ms <= injection->end_ms) &&
			 strcmp(fields[RUN_SERVER], injection->node->name) == 0;

	g_strfreev(fields);
	return at_server;
}

/*
 * An upload that started before the drain may finish at the draining server,
 * however long it takes. An upload that started more than LAB_DRAIN_LIMIT_MS
 * after the drain may not.
 */
static void check_upload_during_drain_(lab_t *lab, char **fields,
				       const char *line, const char *run)
{
	uint64_t start_ms =
		g_ascii_strtoull(fields[OUTCOME_START_MS], NULL, 10);

	for (guint i = 0; i < lab->injections->len; i++) {
		const injection_t *injection =
			g_ptr_array_index(lab->injections, i);

		if (strcmp(injection->name, "drain") == 0 && injection->node &&
		    start_ms > injection->start_ms + LAB_DRAIN_LIMIT_MS &&
		    ran_at_draining_server_(injection, run))
			check_breach(lab, GUARANTEE_DRAINING,
				     "told \"%s\", ran \"%s\"", line, run);
	}
}

static void check_outcome_(lab_t *lab, char **fields, const char *line,
			   GHashTable *runs)
{
	const char *run = g_hash_table_lookup(runs, fields[OUTCOME_ID]);
	bool has_id = strcmp(fields[OUTCOME_ID], "-") != 0;

	lab->check_counts[GUARANTEE_WHOLE_ANSWER]++;
	lab->check_counts[GUARANTEE_ISOLATION]++;
	if (strcmp(fields[OUTCOME_RESULT], "crossed") == 0 ||
	    (run && !strstr(run, fields[OUTCOME_SERVICE])))
		check_breach(lab, GUARANTEE_ISOLATION,
			     "told \"%s\", ran \"%s\"", line, run ? run : "");
	if (run && strcmp(fields[OUTCOME_KIND], "upload") == 0)
		check_upload_during_drain_(lab, fields, line, run);
	if (strcmp(fields[OUTCOME_RESULT], "wrong") == 0)
		check_breach(lab, GUARANTEE_WHOLE_ANSWER, "told \"%s\"", line);
	if (strcmp(fields[OUTCOME_RESULT], "answered") == 0 && has_id && !run)
		check_breach(lab, GUARANTEE_WHOLE_ANSWER,
			     "told \"%s\", but it did not run", line);
	if (strcmp(fields[OUTCOME_RESULT], "refused") == 0) {
		lab->check_counts[GUARANTEE_NOT_RUN]++;
		if (run)
			check_breach(lab, GUARANTEE_NOT_RUN,
				     "told \"%s\", ran \"%s\"", line, run);
	}
	if (strcmp(fields[OUTCOME_RESULT], "unknown") == 0 ||
	    strcmp(fields[OUTCOME_RESULT], "other") == 0 ||
	    strcmp(fields[OUTCOME_RESULT], "nothing") == 0)
		check_unanswered_(lab, fields, line);
}

void check_records(lab_t *lab)
{
	GHashTable *runs = read_runs_(lab);
	char **lines = read_lines_(lab, "told");

	for (char **line = lines; *line && **line; line++) {
		char **fields = g_strsplit(*line, " ", OUTCOME_FIELDS);

		if (g_strv_length(fields) == OUTCOME_FIELDS &&
		    strcmp(fields[OUTCOME_KIND], "view") != 0)
			check_outcome_(lab, fields, *line, runs);
		else
			check_breach(lab, GUARANTEE_VIEWS, "view ended: %s",
				     *line);
		g_strfreev(fields);
	}
	g_strfreev(lines);
	g_hash_table_destroy(runs);
	/* A run that lacks requests, executions or views proves nothing. */
	if (lab->check_counts[GUARANTEE_WHOLE_ANSWER] == 0 ||
	    lab->check_counts[GUARANTEE_AT_MOST_ONCE] == 0 ||
	    lab->check_counts[GUARANTEE_VIEWS] == 0)
		check_breach(lab, GUARANTEE_WHOLE_ANSWER,
			     "the run recorded no requests, no executions or "
			     "no views");
}
