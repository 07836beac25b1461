/**
 * @file
 * Stand-in for a backend server: a libcoap server with a limited number of
 * slots that registers at its agent.
 */
#include "backend.h"
#include "common/debug.h"

#include <argp.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PATH_BYTES 64
#define POLL_MS 50
#define SHUTDOWN_MS 3000
#define STATE_PREFIX "state/"

typedef struct {
	coap_context_t *coap;
	backend_options_t options;
	work_t *work;
	registration_t *registration;
	GHashTable *versions; /* version of each state, by path */
	bool draining;
} backend_t;

static volatile sig_atomic_t stop_requested_;

static void on_signal_(int number)
{
	stop_requested_ = 1;
}

static backend_t *session_backend_(coap_session_t *session)
{
	return coap_get_app_data(coap_session_get_context(session));
}

static char *request_path_(const coap_pdu_t *request)
{
	coap_string_t *path = coap_get_uri_path(request);
	char *text = path ? g_strndup((const char *)path->s, path->length) :
			    g_strdup("");

	coap_delete_string(path);
	return text;
}

static void on_request_(coap_resource_t *resource, coap_session_t *session,
			const coap_pdu_t *request, const coap_string_t *query,
			coap_pdu_t *response);

/*
 * libcoap identifies a block-wise response in progress by its resource, so
 * each requested path gets its own resource.
 */
static coap_resource_t *get_resource_(backend_t *backend, const char *path)
{
	coap_str_const_t name = { strlen(path), (const uint8_t *)path };
	coap_resource_t *resource =
		coap_get_resource_from_uri_path(backend->coap, &name);

	if (resource)
		return resource;
	resource = coap_resource_init(coap_new_str_const(name.s, name.length),
				      COAP_RESOURCE_FLAGS_RELEASE_URI);
	coap_register_handler(resource, COAP_REQUEST_GET, on_request_);
	coap_register_handler(resource, COAP_REQUEST_POST, on_request_);
	coap_add_resource(backend->coap, resource);
	return resource;
}

static void on_request_(coap_resource_t *resource, coap_session_t *session,
			const coap_pdu_t *request, const coap_string_t *query,
			coap_pdu_t *response)
{
	backend_t *backend = session_backend_(session);
	char *path = request_path_(request);

	work_accept(backend->work, get_resource_(backend, path), session,
		    request, response, path);
	g_free(path);
}

/* Responds to a GET of a state at once, without a slot. */
static void on_state_(coap_resource_t *resource, coap_session_t *session,
		      const coap_pdu_t *request, const coap_string_t *query,
		      coap_pdu_t *response)
{
	backend_t *backend = session_backend_(session);
	coap_str_const_t *name = coap_resource_get_uri_path(resource);
	char *path = g_strndup((const char *)name->s, name->length);
	uint64_t version = (uint64_t)(uintptr_t)g_hash_table_lookup(
		backend->versions, path);
	char *text = pl_content_state(backend->options.service, path, version);

	coap_pdu_set_code(response, COAP_RESPONSE_CODE(205));
	coap_add_data(response, strlen(text), (const uint8_t *)text);
	g_free(text);
	g_free(path);
}

static void add_state_(backend_t *backend, const char *path)
{
	coap_resource_t *resource = coap_resource_init(
		coap_new_str_const((const uint8_t *)path, strlen(path)),
		COAP_RESOURCE_FLAGS_RELEASE_URI |
			COAP_RESOURCE_FLAGS_NOTIFY_CON);

	coap_register_handler(resource, COAP_REQUEST_GET, on_state_);
	coap_resource_set_get_observable(resource, 1);
	coap_add_resource(backend->coap, resource);
}

static coap_response_t on_response_(coap_session_t *session,
				    const coap_pdu_t *sent,
				    const coap_pdu_t *received,
				    const coap_mid_t mid)
{
	registration_response(session_backend_(session)->registration,
			      received);
	return COAP_RESPONSE_OK;
}

static void on_nack_(coap_session_t *session, const coap_pdu_t *sent,
		     const coap_nack_reason_t reason, const coap_mid_t mid)
{
	registration_failed(session_backend_(session)->registration, session);
}

/* update NAME [VERSION]: sets the version of /state/NAME, notifies observers. */
static void command_update_(void *ctx, char **words, int count)
{
	backend_t *backend = ctx;
	char path[PATH_BYTES];
	coap_str_const_t name;
	coap_resource_t *resource;
	uintptr_t version;

	snprintf(path, sizeof(path), STATE_PREFIX "%s", words[1]);
	name.s = (const uint8_t *)path;
	name.length = strlen(path);
	resource = coap_get_resource_from_uri_path(backend->coap, &name);
	if (!resource) {
		pl_line_print("error no such state");
		return;
	}
	version = (uintptr_t)g_hash_table_lookup(backend->versions, path) + 1;
	if (count > 2)
		version = strtoul(words[2], NULL, 10);
	g_hash_table_replace(backend->versions, g_strdup(path),
			     (gpointer)version);
	coap_resource_notify_observers(resource, NULL);
	pl_line_print("ok version=%zu", (size_t)version);
}

static void command_runs_(void *ctx, char **words, int count)
{
	work_print_runs(((backend_t *)ctx)->work);
}

static void command_shed_(void *ctx, char **words, int count)
{
	work_set_shed(((backend_t *)ctx)->work, strcmp(words[1], "on") == 0);
	pl_line_print("ok");
}

static void command_slow_(void *ctx, char **words, int count)
{
	work_set_service_ms(((backend_t *)ctx)->work,
			    (uint32_t)strtoul(words[1], NULL, 10));
	pl_line_print("ok");
}

static void command_drain_(void *ctx, char **words, int count)
{
	((backend_t *)ctx)->draining = true;
	registration_remove(((backend_t *)ctx)->registration);
	pl_line_print("ok");
}

static void command_agent_(void *ctx, char **words, int count)
{
	pl_addr_t agent;

	if (pl_addr_parse(words[1], &agent, NULL) != PL_OK) {
		pl_line_print("error address");
		return;
	}
	registration_set_agent(((backend_t *)ctx)->registration, &agent);
	pl_line_print("ok");
}

static void command_status_(void *ctx, char **words, int count)
{
	const backend_t *backend = ctx;

	pl_line_print("ok registered=%d busy=%zu last_ms=%" PRIu64,
		      registration_active(backend->registration),
		      work_busy(backend->work), work_last_ms(backend->work));
}

static const pl_line_command_t commands_[] = {
	{ "update", 2, command_update_ }, { "runs", 1, command_runs_ },
	{ "shed", 2, command_shed_ },	  { "slow", 2, command_slow_ },
	{ "drain", 1, command_drain_ },	  { "agent", 2, command_agent_ },
	{ "status", 1, command_status_ }, { NULL, 0, NULL },
};

enum {
	OPTION_NAME = 'n',
	OPTION_SERVICE = 's',
	OPTION_AGENT = 'a',
	OPTION_RECORD = 'r',
	OPTION_SLOTS = 256,
	OPTION_SERVICE_MS,
	OPTION_COLD_START_MS,
	OPTION_LIFETIME,
	OPTION_DEBUG,
};

static const struct argp_option argp_options_[] = {
	{ "name", OPTION_NAME, "NAME", 0, "Name of the endpoint", 0 },
	{ "service", OPTION_SERVICE, "NAME", 0, "Service that it serves", 0 },
	{ "agent", OPTION_AGENT, "IP:PORT", 0, "Agent to register at", 0 },
	{ "record", OPTION_RECORD, "FILE", 0, "Append each run to FILE", 0 },
	{ "slots", OPTION_SLOTS, "N", 0, "Requests run at once", 0 },
	{ "service-ms", OPTION_SERVICE_MS, "MS", 0, "Time of a request", 0 },
	{ "cold-start-ms", OPTION_COLD_START_MS, "MS", 0,
	  "Time after the start in which requests take four times as long", 0 },
	{ "debug", OPTION_DEBUG, NULL, 0, "Log each datagram", 0 },
	{ "lifetime", OPTION_LIFETIME, "S", 0, "Of the registration", 0 },
	{ 0 },
};

static error_t parse_option_(int key, char *arg, struct argp_state *state)
{
	backend_options_t *options = state->input;

	switch (key) {
	case OPTION_NAME:
		options->name = arg;
		return 0;
	case OPTION_SERVICE:
		options->service = arg;
		return 0;
	case OPTION_AGENT:
		options->agent = arg;
		return 0;
	case OPTION_RECORD:
		options->record = arg;
		return 0;
	case OPTION_SLOTS:
		options->slots = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPTION_SERVICE_MS:
		options->service_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPTION_COLD_START_MS:
		options->cold_start_ms = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPTION_LIFETIME:
		options->lifetime_s = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case OPTION_DEBUG:
		pl_coap_debug();
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp_ = {
	argp_options_, parse_option_, NULL, "Stand-in for a backend server.",
	NULL,	       NULL,	      NULL
};

/*
 * Opens the CoAP endpoint on a free port. libcoap does not report the port that
 * the kernel chose, so a temporary socket finds a free port first; retried if
 * another process takes the port in between.
 */
static pl_addr_t open_endpoint_(backend_t *backend)
{
	struct sockaddr_storage storage = { 0 };
	struct sockaddr_in *ipv4 = (struct sockaddr_in *)&storage;
	socklen_t len = sizeof(storage);
	coap_address_t address;
	pl_addr_t own = { 0 };

	for (bool listening = false; !listening;) {
		int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

		memset(&storage, 0, sizeof(storage));
		ipv4->sin_family = AF_INET;
		ipv4->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		len = sizeof(storage);
		if (bind(fd, (struct sockaddr *)&storage, sizeof(*ipv4)) != 0 ||
		    getsockname(fd, (struct sockaddr *)&storage, &len) != 0)
			exit(EXIT_FAILURE);
		close(fd);
		coap_address_init(&address);
		address.size = sizeof(*ipv4);
		memcpy(&address.addr, ipv4, sizeof(*ipv4));
		listening = coap_new_endpoint(backend->coap, &address,
					      COAP_PROTO_UDP) != NULL;
	}
	pl_addr_from_sockaddr(&storage, &own);
	return own;
}

static void add_resources_(backend_t *backend)
{
	coap_resource_t *any = coap_resource_unknown_init(on_request_);
	char path[PATH_BYTES];

	coap_register_handler(any, COAP_REQUEST_GET, on_request_);
	coap_register_handler(any, COAP_REQUEST_POST, on_request_);
	coap_add_resource(backend->coap, any);
	(void)get_resource_(backend, "applications");
	(void)get_resource_(backend, "uploads");
	for (int i = 0; i < BACKEND_STATES; i++) {
		snprintf(path, sizeof(path), STATE_PREFIX "%d", i);
		add_state_(backend, path);
	}
}

/* Sends due messages, then waits for input or the next timer. */
static void run_once_(backend_t *backend)
{
	coap_tick_t now;
	int wait_ms = POLL_MS;
	int next_ms = work_send_due(backend->work);

	if (next_ms >= 0)
		wait_ms = MIN(wait_ms, next_ms);
	if (!backend->draining || registration_removing(backend->registration))
		next_ms = registration_run(backend->registration);
	if (next_ms >= 0)
		wait_ms = MIN(wait_ms, next_ms);
	coap_ticks(&now);
	next_ms = (int)coap_io_prepare_epoll(backend->coap, now);
	if (next_ms > 0)
		wait_ms = MIN(wait_ms, next_ms);
	struct pollfd fds[] = {
		{ .fd = STDIN_FILENO, .events = POLLIN },
		{ .fd = coap_context_get_coap_fd(backend->coap),
		  .events = POLLIN },
	};
	(void)poll(fds, G_N_ELEMENTS(fds), wait_ms);
	coap_io_process(backend->coap, COAP_IO_NO_WAIT);
}

/* Deletes the registration and lets requests in progress finish. */
static void shut_down_(backend_t *backend)
{
	uint64_t deadline_ms = pl_now_ms() + SHUTDOWN_MS;

	backend->draining = true;
	registration_remove(backend->registration);
	while ((registration_removing(backend->registration) ||
		work_busy(backend->work) > 0) &&
	       pl_now_ms() < deadline_ms)
		run_once_(backend);
}

int main(int argc, char **argv)
{
	backend_t backend = { .options = { .name = "backend",
					   .service = "permit-desk",
					   .slots = 5,
					   .service_ms = 10,
					   .lifetime_s = 6 } };
	pl_line_reader_t reader;
	char text[PL_ADDR_TEXT_MAX];
	pl_addr_t own;

	coap_startup();
	coap_set_log_level(LOG_ERR);
	argp_parse(&argp_, argc, argv, 0, NULL, &backend.options);
	signal(SIGTERM, on_signal_);
	backend.coap = coap_new_context(NULL);
	coap_set_app_data(backend.coap, &backend);
	coap_context_set_block_mode(
		backend.coap, COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
	coap_register_response_handler(backend.coap, on_response_);
	coap_register_nack_handler(backend.coap, on_nack_);
	backend.versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	add_resources_(&backend);
	own = open_endpoint_(&backend);
	backend.work = work_new(backend.coap, &backend.options);
	backend.registration =
		registration_new(backend.coap, &backend.options, &own);
	pl_line_reader_init(&reader, STDIN_FILENO);
	pl_line_print("ready listen=%s", pl_addr_format(&own, text));
	while (!stop_requested_ &&
	       pl_line_reader_run(&reader, commands_, &backend))
		run_once_(&backend);
	shut_down_(&backend);
	registration_delete(backend.registration);
	work_delete(backend.work);
	coap_free_context(backend.coap);
	coap_cleanup();
	g_hash_table_destroy(backend.versions);
	pl_line_reader_finish(&reader);
	return EXIT_SUCCESS;
}
