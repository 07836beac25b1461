/**
 * @file
 * Writers of the soak of flows: the operators, and others whose keys and
 * heartbeats must change nothing.
 */
#include "flow_soak.h"

#include <pimentolift/registration.h>
#include <platform/platform.h>
#include <stdio.h>
#include <string.h>

/** Most calls for one change. A call without an answer may have taken effect;
 * the operators' changes have no condition and may be made twice. */
#define CALLS_MAX 5
#define CALL_TIMEOUT_MS 2000
/** Largest step between two versions of the configuration. */
#define VERSION_STEP_MAX 5

static void on_answer_(void *ctx, const pl_kv_reply_t *reply)
{
	*(pl_result_t *)ctx = reply->result;
	if (reply->result != PL_OK)
		printf("the store answered an operator: %s: %s\n",
		       pl_result_name(reply->result), reply->message);
}

/* Writes @p text to @p key, or removes the key if @p text is NULL. */
static pl_result_t call_store_(const soak_t *soak, const char *key,
			       const char *text)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u",
				    pl_store_port(soak->store));
	pl_kv_t *kv = pl_platform_store_new(url, CALL_TIMEOUT_MS);
	pl_result_t result = PL_ERR_TIMEOUT;

	if (text)
		pl_kv_put(kv,
			  &(pl_kv_write_t){ .key = key,
					    .value = text,
					    .value_len = strlen(text),
					    .expected_index = PL_KV_ANY },
			  on_answer_, &result);
	else
		pl_kv_remove(kv, key, PL_KV_ANY, on_answer_, &result);
	while (pl_kv_pending(kv) > 0)
		pl_kv_wait(kv, 100);
	pl_kv_delete(kv);
	g_free(url);
	return result;
}

/* Returns whether the store confirmed the change. */
static bool change_(const soak_t *soak, const char *key, const char *text)
{
	pl_result_t result = PL_ERR_UNKNOWN_OUTCOME;

	for (int i = 0; i < CALLS_MAX && result == PL_ERR_UNKNOWN_OUTCOME; i++)
		result = call_store_(soak, key, text);
	return result == PL_OK;
}

bool soak_store_evacuation(soak_t *soak)
{
	static const char *const values[] = { "{}", "", "\xff" };
	bool done = true;

	for (int i = 0; i < SOAK_DATACENTRES; i++) {
		char *key = g_strdup_printf("%sevacuate/dc-%d",
					    pl_platform_operator_prefix, i);

		if (i != soak->evacuated)
			done = change_(soak, key, NULL) && done;
		else
			done = change_(soak, key,
				       values[g_rand_int_range(
					       soak->random, 0,
					       G_N_ELEMENTS(values))]) &&
			       done;
		g_free(key);
	}
	soak->evacuated_since = soak->world->now;
	return done;
}

void soak_withdraw_evacuation(soak_t *soak)
{
	if (soak->evacuated < 0)
		return;
	soak->evacuated = -1;
	if (!soak_store_evacuation(soak))
		soak_report_breach(soak, "the store refused the withdrawal");
}

void soak_change_evacuation(soak_t *soak)
{
	/* the store would not confirm the write */
	if (soak->store_up_at != 0)
		return;
	if (soak->evacuated >= 0) {
		soak_withdraw_evacuation(soak);
		return;
	}
	soak->evacuated = g_rand_int_range(soak->random, 0, SOAK_DATACENTRES);
	if (!soak_store_evacuation(soak))
		soak_report_breach(soak, "the store refused the evacuation");
}

void soak_check_evacuation(soak_t *soak)
{
	/* processes cannot know while the store does not answer */
	if (soak->store_up_at != 0)
		soak->evacuated_since = soak->world->now;
	for (int i = 0; i < soak->agents; i++) {
		uint64_t opened = soak->world->servers[i].opened;

		if (soak->opened[i] != opened &&
		    soak->evacuated == i % SOAK_DATACENTRES &&
		    soak->world->now - soak->evacuated_since >
			    SOAK_EVACUATE_LIMIT_MS)
			soak_report_breach(soak,
					   "server %d received a new flow "
					   "although dc-%d is evacuated",
					   i, soak->evacuated);
		soak->opened[i] = opened;
	}
}

static const char *const services_[] = { WORLD_SERVICE, WORLD_OTHER_SERVICE };

static bool takes_new_flows_(const soak_t *soak, int service)
{
	return soak->weighted ? soak->weights[service] > 0 :
				strcmp(soak->target, services_[service]) == 0;
}

static void append_target_(const soak_t *soak, GString *text)
{
	static const char backend[] = "%s{\"service\":\"%s\",\"weight\":%u}";

	if (!soak->weighted) {
		g_string_append_printf(text, "\"service\":\"%s\"}",
				       soak->target);
		return;
	}
	g_string_append(text, "\"backends\":[");
	for (int i = 0; i < WORLD_SERVICES; i++)
		g_string_append_printf(text, backend, i > 0 ? "," : "",
				       services_[i], soak->weights[i]);
	g_string_append(text, "]}");
}

/* The callers' route, and one to the other service unless that is left out. */
bool soak_store_config(soak_t *soak)
{
	static const char route[] = "{\"host\":\"198.18.0.%d\","
				    "\"prefix\":\"/8443/\",\"goal_ms\":200,"
				    "\"priority\":1,";
	bool desk = strcmp(soak->target, WORLD_SERVICE) == 0;
	GString *text = g_string_new(NULL);
	bool stored;

	g_string_append_printf(text, "{\"version\":%u,\"routes\":[",
			       soak->version);
	g_string_append_printf(text, route, 1);
	append_target_(soak, text);
	if (!soak->left_out) {
		g_string_append_c(text, ',');
		g_string_append_printf(text, route, 2);
		g_string_append_printf(text, "\"service\":\"%s\"}",
				       services_[desk]);
	}
	g_string_append(text, "],\"services\":[]}");
	stored = change_(soak, pl_platform_config_key, text->str);
	g_string_free(text, TRUE);
	for (int i = 0; i < WORLD_SERVICES; i++) {
		if (takes_new_flows_(soak, i))
			soak->closed_since[i] = 0;
		else if (soak->closed_since[i] == 0)
			soak->closed_since[i] = soak->world->now;
	}
	return stored;
}

static void step_version_(soak_t *soak)
{
	soak->version += (unsigned int)g_rand_int_range(soak->random, 1,
							VERSION_STEP_MAX + 1);
}

static void write_config_(soak_t *soak)
{
	if (!soak_store_config(soak))
		soak_report_breach(soak, "the store refused the configuration");
}

void soak_change_weights(soak_t *soak)
{
	static const unsigned int weights[][WORLD_SERVICES] = {
		{ 90, 10 }, { 50, 50 }, { 100, 0 }, { 0, 1 }
	};
	int choice = g_rand_int_range(soak->random, 0, G_N_ELEMENTS(weights));

	/* the store would not confirm the write */
	if (soak->store_up_at != 0)
		return;
	step_version_(soak);
	soak->weighted = true;
	memcpy(soak->weights, weights[choice], sizeof(soak->weights));
	write_config_(soak);
}

void soak_step_shares(soak_t *soak)
{
	bool disturbed = soak->store_up_at != 0;

	for (int i = 0; i < soak->entries; i++)
		disturbed = disturbed || soak->nodes[i].resume_at != 0;
	for (int i = 0; disturbed && i < WORLD_SERVICES; i++) {
		if (soak->closed_since[i] != 0)
			soak->closed_since[i] = soak->world->now;
	}
}

/* The call that opened the flow, or NULL if a later one used it. */
static const call_t *find_opener_(const soak_t *soak, const pl_flow_key_t *key)
{
	const GPtrArray *calls = soak->world->calls;

	for (guint i = calls->len; i-- > 0;) {
		const call_t *call = calls->pdata[i];

		if (call->ip == key->caller_ip &&
		    call->port == key->caller_port)
			return call->flow_reused ? NULL : call;
	}
	return NULL;
}

void soak_check_share(soak_t *soak, const server_t *server,
		      const pl_flow_key_t *key)
{
	const char *name = soak->world->agents[server->index].service;
	int service = strcmp(name, WORLD_SERVICE) != 0;
	pl_ms_t closed_since = soak->closed_since[service];
	const call_t *call = find_opener_(soak, key);

	/* the call may have opened the flow later than it started */
	if (call && closed_since != 0 && call->started > closed_since &&
	    call->started - closed_since > SOAK_CONFIG_LIMIT_MS)
		soak_report_breach(soak,
				   "server %d received a new flow although %s "
				   "takes none",
				   server->index, name);
}

void soak_change_config(soak_t *soak)
{
	/* the store would not confirm the write */
	if (soak->store_up_at != 0)
		return;
	step_version_(soak);
	soak->weighted = false;
	soak->target = strcmp(soak->target, WORLD_SERVICE) == 0 ?
			       WORLD_OTHER_SERVICE :
			       WORLD_SERVICE;
	soak->left_out = g_rand_boolean(soak->random);
	write_config_(soak);
}

void soak_store_foreign_entry(soak_t *soak)
{
	static const char *const names[] = { "!", "0/x", "zz/127.0.2.1:1",
					     "10.0.0.1:7000" };
	char *prefix = pl_roster_prefix("soak");
	char *key = g_strconcat(
		prefix,
		names[g_rand_int_range(soak->random, 0, G_N_ELEMENTS(names))],
		NULL);

	if (soak->store_up_at == 0 && !change_(soak, key, "\xff"))
		soak_report_breach(soak, "the store refused a key");
	g_free(key);
	g_free(prefix);
}

char *soak_format_report(const soak_t *soak, int index,
			 const pl_backend_report_t *report)
{
	return g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.2.%d:%u\","
		"\"zone\":\"dc-%d\",\"version\":\"v1\","
		"\"max_concurrency\":%u,\"state\":\"%s\","
		"\"warmup_left_ms\":0,\"sequence\":%" G_GUINT64_FORMAT
		",\"born\":%" G_GUINT64_FORMAT "}",
		report->service, index + 1, soak->port + 6U, index % 3,
		report->slots, report->draining ? "draining" : "ready",
		report->sequence, report->born_ms);
}

/* Replaces the value of one field by another form; @p field starts at the
 * field's name. */
static char *replace_field_(const char *body, const char *field,
			    const char *form)
{
	const char *value = strchr(field, ':') + 1;
	size_t len = *value == '"' ? strcspn(value + 1, "\"") + 2 :
				     strcspn(value, ",}");

	return g_strdup_printf("%.*s%s%s", (int)(value - body), body, form,
			       value + len);
}

void soak_send_foreign_report(soak_t *soak)
{
	static const char *const fields[] = {
		"\"service\"",	      "\"address\"",	     "\"zone\"",
		"\"version\"",	      "\"max_concurrency\"", "\"state\"",
		"\"warmup_left_ms\"", "\"sequence\"",	     "\"born\""
	};
	static const char *const forms[] = { "null", "[]",	   "{}",
					     "true", "-1",	   "1.5",
					     "1e99", "\"\\u0000\"" };
	int index = g_rand_int_range(soak->random, 0, soak->agents);
	soak_node_t *node = &soak->nodes[soak->entries + index];
	pl_backend_report_t report = world_report(soak->world, index);
	size_t field =
		(size_t)g_rand_int_range(soak->random, 0, G_N_ELEMENTS(fields));
	size_t form =
		(size_t)g_rand_int_range(soak->random, 0, G_N_ELEMENTS(forms));
	bool own_id = g_rand_boolean(soak->random);
	char *body;

	if (node->request)
		return;
	report.born_ms++;
	body = soak_format_report(soak, index, &report);
	g_free(node->request_body);
	node->request_body =
		replace_field_(body, strstr(body, fields[field]), forms[form]);
	g_free(body);
	node->request_drains = false;
	node->request_foreign = true;
	soak_send_report(soak, node, own_id ? report.id : "s-foreign");
}
