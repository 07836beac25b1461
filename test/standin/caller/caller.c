/**
 * @file
 * Stand-in for callers: many sessions in one process, each with its own local
 * port. Line commands start the operations.
 */
#include "caller.h"
#include "common/debug.h"

#include <argp.h>
#include <inttypes.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define POLL_MS 50

static coap_response_t on_response_(coap_session_t *session,
				    const coap_pdu_t *sent,
				    const coap_pdu_t *received,
				    const coap_mid_t mid)
{
	operation_t *operation = coap_session_get_app_data(session);

	if (operation)
		operation_response(operation, received);
	return COAP_RESPONSE_OK;
}

static void on_nack_(coap_session_t *session, const coap_pdu_t *sent,
		     const coap_nack_reason_t reason, const coap_mid_t mid)
{
	operation_t *operation = coap_session_get_app_data(session);

	if (operation)
		operation_failed(operation);
}

static const service_t *find_service_(const caller_t *caller, const char *name)
{
	for (guint i = 0; i < caller->services->len; i++) {
		const service_t *service =
			g_ptr_array_index(caller->services, i);

		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}

static void command_service_(void *ctx, char **words, int count)
{
	caller_t *caller = ctx;
	service_t *service = g_new0(service_t, 1);

	if (pl_addr_parse(words[2], &service->address, NULL) != PL_OK) {
		g_free(service);
		pl_line_print("error address");
		return;
	}
	service->name = g_strdup(words[1]);
	g_ptr_array_add(caller->services, service);
	pl_line_print("ok");
}

static kind_t parse_kind_(const char *name)
{
	int kind = 0;

	while (kind < KIND_COUNT && strcmp(kind_names[kind], name) != 0)
		kind++;
	return (kind_t)kind;
}

/* KIND SERVICE PATH COUNT [SIZE]: starts COUNT operations. */
static void command_start_(void *ctx, char **words, int count)
{
	caller_t *caller = ctx;
	const service_t *service = find_service_(caller, words[1]);
	size_t size = count > 4 ? strtoul(words[4], NULL, 10) : 0;
	int times = atoi(words[3]);

	if (!service) {
		pl_line_print("error no such service");
		return;
	}
	for (int i = 0; i < times; i++) {
		if (!operation_start(caller, service, parse_kind_(words[0]),
				     words[2], size)) {
			pl_line_print("error no socket after %d", i);
			return;
		}
	}
	pl_line_print("ok");
}

/* rate KIND SERVICE PATH PER_SECOND SECONDS: adds a load. */
static void command_rate_(void *ctx, char **words, int count)
{
	caller_t *caller = ctx;
	const service_t *service = find_service_(caller, words[2]);
	kind_t kind = parse_kind_(words[1]);

	if (!service || kind == KIND_COUNT) {
		pl_line_print("error no such service or kind");
		return;
	}
	load_add(caller, service, kind, words[3], strtod(words[4], NULL),
		 strtod(words[5], NULL));
	pl_line_print("ok");
}

static void command_stop_(void *ctx, char **words, int count)
{
	load_stop(ctx);
	pl_line_print("ok");
}

static void command_finish_(void *ctx, char **words, int count)
{
	operations_finish(ctx);
	pl_line_print("ok");
}

/* Number of operations in progress, without the open views. */
static size_t count_pending_(const caller_t *caller)
{
	size_t views = 0;

	for (guint i = 0; i < caller->views->len; i++) {
		const operation_t *view = g_ptr_array_index(caller->views, i);

		views += view->outcome == OUTCOME_OPEN && view->observed;
	}
	return g_hash_table_size(caller->open) - views;
}

static void command_pending_(void *ctx, char **words, int count)
{
	const caller_t *caller = ctx;

	pl_line_print("ok pending=%zu loads=%u", count_pending_(caller),
		      caller->loads.length);
}

/* views SERVICE PATH VERSION: counts views that show at least that version. */
static void command_views_(void *ctx, char **words, int count)
{
	const caller_t *caller = ctx;
	uint64_t version = strtoull(words[3], NULL, 10);
	size_t opened = 0;
	size_t current = 0;
	size_t alive = 0;
	size_t opening = 0;

	for (guint i = 0; i < caller->views->len; i++) {
		const operation_t *view = g_ptr_array_index(caller->views, i);

		if (strcmp(view->service->name, words[1]) != 0 ||
		    strcmp(view->path, words[2]) != 0)
			continue;
		opened += view->observed;
		if (view->outcome != OUTCOME_OPEN)
			continue;
		opening += !view->observed;
		alive += view->observed;
		current += view->observed && view->version >= version;
	}
	pl_line_print("ok opening=%zu opened=%zu alive=%zu current=%zu",
		      opening, opened, alive, current);
}

/* stale SERVICE PATH VERSION: lists the ports of views with older versions. */
static void command_stale_(void *ctx, char **words, int count)
{
	const caller_t *caller = ctx;
	uint64_t version = strtoull(words[3], NULL, 10);
	GString *list = g_string_new(NULL);

	for (guint i = 0; i < caller->views->len; i++) {
		const operation_t *view = g_ptr_array_index(caller->views, i);
		const coap_address_t *own;

		if (!view->session || view->version >= version ||
		    strcmp(view->service->name, words[1]) != 0 ||
		    strcmp(view->path, words[2]) != 0)
			continue;
		own = coap_session_get_addr_local(view->session);
		g_string_append_printf(
			list, "%s%u@%" PRIu64, list->len ? "," : "",
			coap_address_get_port(own), view->version);
	}
	pl_line_print("ok stale=%s", list->str);
	g_string_free(list, TRUE);
}

static json_object *report_kind_(const caller_t *caller, kind_t kind)
{
	json_object *report = json_object_new_object();

	json_object_object_add(report, "sent",
			       json_object_new_uint64(caller->sent[kind]));
	for (int outcome = OUTCOME_ANSWERED; outcome < OUTCOME_COUNT; outcome++)
		json_object_object_add(
			report, outcome_names[outcome],
			json_object_new_uint64(
				caller->outcomes[kind][outcome]));
	json_object_object_add(
		report, "longest_ms",
		json_object_new_uint64(caller->longest_ms[kind]));
	return report;
}

static json_object *report_views_(const caller_t *caller)
{
	json_object *report = report_kind_(caller, KIND_VIEW);
	uint64_t alive = 0;
	uint64_t broken = 0;
	uint64_t notifications = 0;

	for (guint i = 0; i < caller->views->len; i++) {
		const operation_t *view = g_ptr_array_index(caller->views, i);

		alive += view->observed && view->outcome == OUTCOME_OPEN;
		broken += view->observed && view->outcome != OUTCOME_OPEN;
		notifications += view->notifications;
	}
	json_object_object_add(report, "alive", json_object_new_uint64(alive));
	json_object_object_add(report, "broken",
			       json_object_new_uint64(broken));
	json_object_object_add(report, "notifications",
			       json_object_new_uint64(notifications));
	return report;
}

static void command_report_(void *ctx, char **words, int count)
{
	const caller_t *caller = ctx;
	json_object *report = json_object_new_object();

	for (int kind = 0; kind < KIND_VIEW; kind++)
		json_object_object_add(report, kind_names[kind],
				       report_kind_(caller, (kind_t)kind));
	json_object_object_add(report, "view", report_views_(caller));
	pl_line_print("%s", json_object_to_json_string_ext(
				    report, JSON_C_TO_STRING_PLAIN));
	json_object_put(report);
}

static const pl_line_command_t commands_[] = {
	{ "service", 3, command_service_ },
	{ "get", 4, command_start_ },
	{ "blob", 5, command_start_ },
	{ "post", 4, command_start_ },
	{ "upload", 5, command_start_ },
	{ "view", 4, command_start_ },
	{ "rate", 6, command_rate_ },
	{ "stop", 1, command_stop_ },
	{ "pending", 1, command_pending_ },
	{ "views", 4, command_views_ },
	{ "stale", 4, command_stale_ },
	{ "report", 1, command_report_ },
	{ "stop", 1, command_stop_ },
	{ "finish", 1, command_finish_ },
	{ NULL, 0, NULL },
};

static const struct argp_option options_[] = {
	{ "record", 'r', "FILE", 0,
	  "Append to FILE what the caller of each operation was told", 0 },
	{ "ack-timeout-ms", 't', "MS", 0,
	  "ACK_TIMEOUT of RFC 7252 section 4.8, 2000 unless given, "
	  "1000 at least",
	  0 },
	{ "debug", 'd', NULL, 0, "Log each datagram on standard error", 0 },
	{ 0 },
};

static error_t parse_option_(int key, char *arg, struct argp_state *state)
{
	caller_t *caller = state->input;

	switch (key) {
	case 'r':
		caller->record = fopen(arg, "a");
		return caller->record ? 0 : errno;
	case 't':
		caller->ack_timeout_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'd':
		pl_coap_debug();
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp_ = {
	options_, parse_option_, NULL, "Stand-in for callers.", NULL, NULL, NULL
};

static void service_delete_(void *data)
{
	service_t *service = data;

	g_free(service->name);
	g_free(service);
}

static void run_once_(caller_t *caller)
{
	coap_tick_t now;
	int wait_ms = POLL_MS;
	int next_ms = load_run(caller);

	if (next_ms >= 0)
		wait_ms = MIN(wait_ms, next_ms);
	coap_ticks(&now);
	next_ms = (int)coap_io_prepare_epoll(caller->coap, now);
	if (next_ms > 0)
		wait_ms = MIN(wait_ms, next_ms);
	struct pollfd fds[] = {
		{ .fd = STDIN_FILENO, .events = POLLIN },
		{ .fd = coap_context_get_coap_fd(caller->coap),
		  .events = POLLIN },
	};
	(void)poll(fds, G_N_ELEMENTS(fds), wait_ms);
	coap_io_process(caller->coap, COAP_IO_NO_WAIT);
	operations_expire(caller);
	operations_release(caller);
}

int main(int argc, char **argv)
{
	caller_t caller = { .ack_timeout_ms = 2000 };
	pl_line_reader_t reader;

	coap_startup();
	coap_set_log_level(LOG_CRIT);
	argp_parse(&argp_, argc, argv, 0, NULL, &caller);
	caller.coap = coap_new_context(NULL);
	coap_context_set_block_mode(
		caller.coap, COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
	coap_register_response_handler(caller.coap, on_response_);
	coap_register_nack_handler(caller.coap, on_nack_);
	caller.services = g_ptr_array_new_with_free_func(service_delete_);
	caller.views = g_ptr_array_new();
	caller.open = g_hash_table_new(NULL, NULL);
	coap_prng((unsigned char *)&caller.next_id, 2);
	caller.prefix = (uint64_t)getpid();
	pl_line_reader_init(&reader, STDIN_FILENO);
	pl_line_print("ready");
	while (pl_line_reader_run(&reader, commands_, &caller))
		run_once_(&caller);
	load_stop(&caller);
	operations_close_views(&caller);
	coap_free_context(caller.coap);
	coap_cleanup();
	g_hash_table_destroy(caller.open);
	g_ptr_array_free(caller.services, TRUE);
	g_ptr_array_free(caller.views, TRUE);
	pl_line_reader_finish(&reader);
	return EXIT_SUCCESS;
}
