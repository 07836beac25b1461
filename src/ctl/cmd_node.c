/**
 * @file
 * Commands that send requests to running daemons: status, endpoints, drain,
 * metrics, explain.
 */
#include "private/ctl.h"
#include "private/table.h"

#include <pimentolift/addr.h>
#include <stdio.h>
#include <string.h>

#define KEY_SERVICE 's'
#define KEY_CALLER 'l'
#define KEY_FROM 'f'
#define KEY_TO 'd'

static const pl_column_t status_columns_[] = {
	{ "NAME", "name" },
	{ "ROLE", "role" },
	{ "DATACENTRE", "datacentre" },
	{ "REVISION", "revision" },
	{ "DRAINING", "draining" },
	{ "EVACUATED", "evacuated" },
	{ "ALIVE", "members.alive" },
	{ "SUSPECT", "members.suspect" },
	{ "UNREACHABLE", "members.unreachable" },
	{ "DEAD", "members.dead" },
	{ "INNER", "inner" },
	{ 0 },
};

static const pl_column_t endpoint_columns_[] = {
	{ "SERVICE", "service" },	{ "NAME", "name" },
	{ "DATACENTRE", "datacentre" }, { "STATE", "state" },
	{ "EVACUATED", "evacuated" },	{ "WEIGHT", "weight" },
	{ "SLOTS", "slots" },		{ "MEMBER", "member" },
	{ "AGENT", "agent" },		{ 0 },
};

static const pl_column_t service_columns_[] = {
	{ "SERVICE", "service" },     { "WEIGHT", "weight" },
	{ "SHARE", "share" },	      { "SLOTS", "slots" },
	{ "BUSY", "busy" },	      { "MEAN", "mean_busy" },
	{ "ENDPOINTS", "endpoints" }, { "ACCEPTING", "accepting" },
	{ "EVACUATED", "evacuated" }, { 0 },
};

static const pl_column_t candidate_columns_[] = {
	{ "CANDIDATE", "agent" },
	{ "DATACENTRE", "datacentre" },
	{ "DISTANCE", "distance" },
	{ "MEMBER", "member" },
	{ "WEIGHT", "weight" },
	{ "AGE_MS", "age_ms" },
	{ "SLOTS", "slots" },
	{ "BUSY", "busy" },
	{ "UNREPORTED", "unreported" },
	{ "MEAN/1000", "mean_busy_milli" },
	{ "LIMIT/1000", "limit_milli" },
	{ "ANSWER_MS", "request_ms" },
	{ "WAITING", "waiting" },
	{ "HEALTH", "health" },
	{ "OUT", "out" },
	{ "WAIT/1000", "wait_milli" },
	{ 0 },
};

static pl_result_t require_admin_(const pl_ctl_t *ctl, pl_error_t *err)
{
	if (ctl->admins->len > 0)
		return PL_OK;
	return pl_error_set(err, PL_ERR_USAGE,
			    "option --admin=IP:PORT is required");
}

/*
 * Sends a request to one daemon and parses its JSON response, which is freed
 * with json_object_put().
 */
static pl_result_t request_json_(const pl_ctl_t *ctl, const char *admin,
				 const char *method, const char *path,
				 struct json_object **response, pl_error_t *err)
{
	char *body = NULL;
	pl_result_t result = pl_ctl_call(ctl, admin, method, path, &body, err);

	*response = result == PL_OK ? json_tokener_parse(body) : NULL;
	if (result == PL_OK && !*response)
		result = pl_error_set(err, PL_ERR_MALFORMED,
				      "%s: response is not JSON", admin);
	g_free(body);
	return result;
}

/* Sends a GET request to the daemons in turn until one responds. */
static pl_result_t request_any_(const pl_ctl_t *ctl, const char *path,
				struct json_object **response, pl_error_t *err)
{
	pl_result_t result = require_admin_(ctl, err);

	for (guint i = 0; i < ctl->admins->len; i++) {
		result = request_json_(ctl, g_ptr_array_index(ctl->admins, i),
				       "GET", path, response, err);
		if (result != PL_ERR_UNAVAILABLE)
			return result;
	}
	return result;
}

/*
 * Prints a row for every daemon that responds; the error of each other daemon
 * goes to standard error.
 */
static pl_result_t cmd_status_(pl_ctl_t *ctl, pl_error_t *err)
{
	struct json_object *rows = json_object_new_array();
	pl_result_t result = require_admin_(ctl, err);

	for (guint i = 0; i < ctl->admins->len; i++) {
		struct json_object *row = NULL;
		pl_result_t daemon_result =
			request_json_(ctl, g_ptr_array_index(ctl->admins, i),
				      "GET", "/status", &row, err);

		if (daemon_result == PL_OK) {
			json_object_array_add(rows, row);
			continue;
		}
		fprintf(stderr, "pimentoctl: %s\n", err->text);
		*err->text = '\0';
		result = daemon_result;
	}
	if (ctl->json) {
		pl_ctl_print_json(rows);
		return result;
	}
	if (json_object_array_length(rows) > 0)
		pl_table_print(rows, status_columns_);
	json_object_put(rows);
	return result;
}

static pl_result_t cmd_endpoints_(pl_ctl_t *ctl, pl_error_t *err)
{
	struct json_object *rows = NULL;
	pl_result_t result = request_any_(ctl, "/endpoints", &rows, err);

	if (result != PL_OK)
		return result;
	if (ctl->json) {
		pl_ctl_print_json(rows);
		return PL_OK;
	}
	pl_table_print(rows, endpoint_columns_);
	json_object_put(rows);
	return PL_OK;
}

static pl_result_t cmd_drain_(pl_ctl_t *ctl, pl_error_t *err)
{
	struct json_object *response = NULL;
	const char *admin;
	pl_result_t result;

	if (ctl->admins->len != 1)
		return pl_error_set(err, PL_ERR_USAGE,
				    "drain takes exactly one option "
				    "--admin=IP:PORT");
	admin = g_ptr_array_index(ctl->admins, 0);
	result = request_json_(ctl, admin, "POST", "/drain", &response, err);
	if (result != PL_OK)
		return result;
	if (ctl->json) {
		pl_ctl_print_json(response);
		return PL_OK;
	}
	printf("%s: takes no new work; `pimentoctl status --admin=%s` tells "
	       "what is left\n",
	       admin, admin);
	json_object_put(response);
	return PL_OK;
}

/* Prints the lines that contain @p name. */
static void print_matching_lines_(const char *text, const char *name)
{
	char **lines = g_strsplit(text, "\n", 0);

	for (char **line = lines; *line; line++) {
		if (**line && strstr(*line, name))
			puts(*line);
	}
	g_strfreev(lines);
}

/*
 * Builds an object from the "name value" lines that contain @p name; comments
 * are skipped.
 */
static struct json_object *metrics_object_(const char *text, const char *name)
{
	struct json_object *object = json_object_new_object();
	char **lines = g_strsplit(text, "\n", 0);

	for (char **line = lines; *line; line++) {
		char *space = strrchr(*line, ' ');

		if (!space || **line == '#' || !strstr(*line, name))
			continue;
		*space = '\0';
		json_object_object_add(object, *line,
				       json_object_new_double(g_ascii_strtod(
					       space + 1, NULL)));
	}
	g_strfreev(lines);
	return object;
}

static pl_result_t cmd_metrics_(pl_ctl_t *ctl, pl_error_t *err)
{
	const char *name = ctl->arg_count > 0 ? ctl->args[0] : "";
	struct json_object *all = json_object_new_object();
	pl_result_t result = require_admin_(ctl, err);

	for (guint i = 0; result == PL_OK && i < ctl->admins->len; i++) {
		const char *admin = g_ptr_array_index(ctl->admins, i);
		char *text = NULL;

		result = pl_ctl_call(ctl, admin, "GET", "/metrics", &text, err);
		if (result == PL_OK && ctl->json) {
			json_object_object_add(all, admin,
					       metrics_object_(text, name));
		} else if (result == PL_OK) {
			if (ctl->admins->len > 1)
				printf("# %s\n", admin);
			print_matching_lines_(text, name);
		}
		g_free(text);
	}
	if (result == PL_OK && ctl->json)
		pl_ctl_print_json(all);
	else
		json_object_put(all);
	return result;
}

static const char *text_or_dash_(struct json_object *object, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value ? json_object_get_string(value) : "-";
}

static void print_explanation_(struct json_object *response)
{
	struct json_object *rank = NULL;

	printf("service %s, caller %s, revision %s\n%s\n",
	       text_or_dash_(response, "service"),
	       text_or_dash_(response, "caller"),
	       text_or_dash_(response, "revision"),
	       text_or_dash_(response, "why"));
	if (json_object_object_get_ex(response, "rank", &rank) &&
	    json_object_is_type(rank, json_type_array))
		pl_table_print(rank, endpoint_columns_);
}

static void print_rows_(struct json_object *response, const char *key,
			const pl_column_t *columns)
{
	struct json_object *rows = NULL;

	if (json_object_object_get_ex(response, key, &rows) &&
	    json_object_is_type(rows, json_type_array) &&
	    json_object_array_length(rows) > 0)
		pl_table_print(rows, columns);
}

static void print_offers_(struct json_object *known)
{
	struct json_object *offers = NULL;

	if (!json_object_object_get_ex(known, "offers", &offers))
		return;
	for (size_t i = 0; i < json_object_array_length(offers); i++) {
		struct json_object *offer =
			json_object_array_get_idx(offers, i);

		printf("offered to %s, refused: %s\n",
		       text_or_dash_(offer, "agent"),
		       text_or_dash_(offer, "refused"));
	}
}

/* Prints what the entry knows of the flow, and how. */
static void print_known_(struct json_object *response)
{
	struct json_object *known = NULL;

	if (!json_object_object_get_ex(response, "known", &known)) {
		puts("the entry has no record of the flow");
		return;
	}
	printf("owner %s, known by: %s; dead: %s\n",
	       text_or_dash_(known, "owner"), text_or_dash_(known, "by"),
	       text_or_dash_(known, "owner_dead"));
	print_offers_(known);
	if (json_object_object_get_ex(known, "queried", NULL))
		printf("lookup of the owner: %s agents asked, %s have not "
		       "answered, presumed owner %s\n",
		       text_or_dash_(known, "queried"),
		       text_or_dash_(known, "unanswered"),
		       text_or_dash_(known, "presumed"));
}

static void print_flow_explanation_(struct json_object *response)
{
	printf("flow %s, revision %s\nevacuated: %s\n",
	       text_or_dash_(response, "flow"),
	       text_or_dash_(response, "revision"),
	       text_or_dash_(response, "evacuated"));
	print_rows_(response, "services", service_columns_);
	if (json_object_object_get_ex(response, "service", NULL))
		printf("service: %s (%s; the weights give %s)\n",
		       text_or_dash_(response, "service"),
		       text_or_dash_(response, "service_reason"),
		       text_or_dash_(response, "share_of"));
	print_rows_(response, "candidates", candidate_columns_);
	print_known_(response);
	printf("%s: %s (%s)\n", text_or_dash_(response, "step"),
	       text_or_dash_(response, "target"),
	       text_or_dash_(response, "reason"));
}

/* Sends the request @p path, which is freed, and prints the response. */
static pl_result_t explain_by_(const pl_ctl_t *ctl, char *path,
			       void (*print)(struct json_object *response),
			       pl_error_t *err)
{
	struct json_object *response = NULL;
	pl_result_t result = request_any_(ctl, path, &response, err);

	g_free(path);
	if (result != PL_OK)
		return result;
	if (ctl->json) {
		pl_ctl_print_json(response);
		return PL_OK;
	}
	print(response);
	json_object_put(response);
	return PL_OK;
}

static pl_result_t check_ipv4_(const char *option, const char *text,
			       pl_error_t *err)
{
	pl_addr_t addr;

	if (pl_addr_parse(text, &addr, NULL) == PL_OK &&
	    addr.family == PL_ADDR_IPV4 && addr.port != 0)
		return PL_OK;
	return pl_error_set(err, PL_ERR_USAGE,
			    "--%s: \"%s\" is not an IPv4 address with a port "
			    "from 1 to 65535",
			    option, text);
}

static pl_result_t explain_flow_(const pl_ctl_t *ctl, const char *from,
				 const char *to, pl_error_t *err)
{
	if (!from || !to)
		return pl_error_set(err, PL_ERR_USAGE,
				    "options --from=IP:PORT and --to=IP:PORT "
				    "go together");
	if (check_ipv4_("from", from, err) != PL_OK ||
	    check_ipv4_("to", to, err) != PL_OK)
		return PL_ERR_USAGE;
	return explain_by_(ctl,
			   g_strdup_printf("/explain?from=%s&to=%s", from, to),
			   print_flow_explanation_, err);
}

static pl_result_t cmd_explain_(pl_ctl_t *ctl, pl_error_t *err)
{
	const char *service = pl_ctl_value(ctl, KEY_SERVICE, NULL);
	const char *caller = pl_ctl_value(ctl, KEY_CALLER, NULL);
	const char *from = pl_ctl_value(ctl, KEY_FROM, NULL);
	const char *to = pl_ctl_value(ctl, KEY_TO, NULL);

	if (from || to)
		return explain_flow_(ctl, from, to, err);
	if (!service || !caller)
		return pl_error_set(err, PL_ERR_USAGE,
				    "options --service=NAME and "
				    "--caller=IP:PORT, or for a flow "
				    "--from=IP:PORT and --to=IP:PORT, are "
				    "required");
	return explain_by_(ctl,
			   g_strdup_printf("/explain?service=%s&caller=%s",
					   service, caller),
			   print_explanation_, err);
}

static const struct argp_option explain_options_[] = {
	{ "service", KEY_SERVICE, "NAME", 0, "Service that is called", 0 },
	{ "caller", KEY_CALLER, "IP:PORT", 0, "Address of the caller", 0 },
	{ "from", KEY_FROM, "IP:PORT", 0, "Caller of a flow", 0 },
	{ "to", KEY_TO, "IP:PORT", 0, "Service address of a flow", 0 },
	{ 0 },
};

const pl_ctl_command_t pl_ctl_node_commands[] = {
	{ "status", "", 0, 0,
	  "Prints one line for each daemon: its state, the revision in force "
	  "and the members that it knows.",
	  NULL, cmd_status_ },
	{ "endpoints", "", 0, 0,
	  "Prints the backend servers as one daemon sees them.", NULL,
	  cmd_endpoints_ },
	{ "drain", "", 0, 0,
	  "Lets a daemon hand over its views, finish its requests and take no "
	  "new work.",
	  NULL, cmd_drain_ },
	{ "metrics", "[NAME]", 0, 1,
	  "Prints counters and histograms, those with NAME in them if it is "
	  "given.",
	  NULL, cmd_metrics_ },
	{ "explain", "", 0, 0,
	  "Tells which endpoints a caller's datagrams go to, or where an entry "
	  "of flows would send a flow now, and why. Nothing is sent.",
	  explain_options_, cmd_explain_ },
	{ 0 },
};
