/**
 * @file
 * CoAP client of the agent: requests to the backend server and observations of
 * its resources (RFC 7641).
 */
#include "private/backend.h"
#include "private/backend_registry.h"

#include <pimentolift/event.h>

#include <assert.h>
#include <coap3/coap.h>
#include <glib.h>
#include <string.h>
#include <sys/epoll.h>

#define TOKEN_BYTES 8
/** libcoap numbers the tokens of follow-up blocks from 1 and matches responses
 * by the low 48 bits of the token, so tokens chosen here start far above. */
#define FIRST_TOKEN (UINT64_C(1) << 47)
/** Interval at which libcoap's own timers (block-wise transfers) are run. */
#define POLL_INTERVAL_MS 50
/** Time after the deadline at which a response counts as lost. */
#define RESPONSE_GRACE_MS 1000
#define DEADLINE_TEXT_MAX 64
#define LOCATION_MAX 256

/** What an outstanding token belongs to. */
typedef enum {
	EXCHANGE_REQUEST,
	EXCHANGE_SUBSCRIPTION,
} exchange_kind_t;

typedef struct {
	pl_backend_t *backend;
	uint64_t token; /* key; sent in network byte order */
	exchange_kind_t kind;
	uint64_t id; /* of the request or the subscription */
	pl_timer_t timeout;
	char *path; /* of subscriptions */
	char *query;
} exchange_t;

struct pl_backend {
	pl_loop_t *loop;
	pl_backend_ops_t ops;
	void *ctx;
	coap_context_t *coap;
	coap_session_t *session;
	pl_backend_registry_t *registry;
	pl_loop_watch_t *watch;
	pl_timer_t poll;
	pl_timer_t session_failed;
	uint64_t last_token;
	GHashTable *by_token;
	GHashTable *subscriptions; /* id to exchange */
	GHashTable *requests; /* id to exchange */
};

static pl_timer_service_t *timers_(pl_backend_t *backend)
{
	return pl_loop_timers(backend->loop);
}

static pl_ms_t now_(pl_backend_t *backend)
{
	return pl_timer_service_now(timers_(backend));
}

static GHashTable *exchanges_by_id_(pl_backend_t *backend, exchange_kind_t kind)
{
	return kind == EXCHANGE_REQUEST ? backend->requests :
					  backend->subscriptions;
}

static void exchange_free_(gpointer data)
{
	exchange_t *exchange = data;

	pl_timer_cancel(timers_(exchange->backend), &exchange->timeout);
	g_hash_table_remove(exchanges_by_id_(exchange->backend, exchange->kind),
			    &exchange->id);
	g_free(exchange->path);
	g_free(exchange->query);
	g_free(exchange);
}

static void report_lost_(exchange_t *exchange)
{
	pl_backend_t *backend = exchange->backend;
	const pl_backend_reply_t reply = { .status = PL_BACKEND_LOST,
					   .content_format = -1,
					   .max_age_s = -1 };
	uint64_t id = exchange->id;

	g_hash_table_remove(backend->by_token, &exchange->token);
	backend->ops.reply(backend->ctx, id, &reply);
}

static void on_response_timeout_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	report_lost_(ctx);
}

static exchange_t *exchange_new_(pl_backend_t *backend, exchange_kind_t kind,
				 uint64_t id)
{
	exchange_t *exchange = g_new0(exchange_t, 1);

	exchange->backend = backend;
	exchange->token = ++backend->last_token;
	exchange->kind = kind;
	exchange->id = id;
	pl_timer_init(&exchange->timeout, on_response_timeout_, exchange);
	g_hash_table_insert(backend->by_token, &exchange->token, exchange);
	g_hash_table_insert(exchanges_by_id_(backend, kind), &exchange->id,
			    exchange);
	return exchange;
}

static void encode_token_(uint64_t token, uint8_t bytes[TOKEN_BYTES])
{
	for (int i = 0; i < TOKEN_BYTES; i++)
		bytes[i] = (uint8_t)(token >> (8 * (TOKEN_BYTES - 1 - i)));
}

static void add_segments_(coap_pdu_t *pdu, uint16_t number, const char *text,
			  const char *separator)
{
	char **segments = g_strsplit(text, separator, -1);

	for (char **s = segments; *s && text[0]; s++)
		coap_add_option(pdu, number, strlen(*s), (const uint8_t *)*s);
	g_strfreev(segments);
}

static void add_uint_(coap_pdu_t *pdu, uint16_t number, uint32_t value)
{
	uint8_t bytes[4];

	coap_add_option(pdu, number,
			coap_encode_var_safe(bytes, sizeof(bytes), value),
			bytes);
}

static coap_pdu_t *pdu_new_(const exchange_t *exchange, uint8_t method)
{
	uint8_t token[TOKEN_BYTES];
	coap_pdu_t *pdu =
		coap_new_pdu(COAP_MESSAGE_NON, (coap_pdu_code_t)method,
			     exchange->backend->session);

	assert(pdu);
	encode_token_(exchange->token, token);
	coap_add_token(pdu, sizeof(token), token);
	return pdu;
}

static void add_deadline_(coap_pdu_t *pdu, uint32_t deadline_ms)
{
	char text[DEADLINE_TEXT_MAX];
	int len = g_snprintf(text, sizeof(text), "deadline_ms=%u", deadline_ms);

	coap_add_option(pdu, COAP_OPTION_URI_QUERY, (size_t)len,
			(const uint8_t *)text);
}

static void release_body_(coap_session_t *session, void *body)
{
	g_free(body);
}

void pl_backend_dispatch(pl_backend_t *backend, uint64_t request_id,
			 const pl_backend_request_t *request)
{
	exchange_t *exchange =
		exchange_new_(backend, EXCHANGE_REQUEST, request_id);
	coap_pdu_t *pdu;

	pl_timer_arm(timers_(backend), &exchange->timeout,
		     now_(backend) + request->deadline_ms + RESPONSE_GRACE_MS);
	if (!backend->session) {
		/* nothing was sent; the loss is reported from the timer, not
		 * within this call */
		pl_timer_arm(timers_(backend), &exchange->timeout,
			     now_(backend));
		return;
	}
	pdu = pdu_new_(exchange, request->method);
	add_segments_(pdu, COAP_OPTION_URI_PATH, request->path, "/");
	if (request->content_format >= 0)
		add_uint_(pdu, COAP_OPTION_CONTENT_FORMAT,
			  (uint32_t)request->content_format);
	add_segments_(pdu, COAP_OPTION_URI_QUERY, request->query, "&");
	add_deadline_(pdu, request->deadline_ms);
	if (request->accept >= 0)
		add_uint_(pdu, COAP_OPTION_ACCEPT, (uint32_t)request->accept);
	if (request->body_len > 0) {
		uint8_t *body = g_memdup2(request->body, request->body_len);

		coap_add_data_large_request(backend->session, pdu,
					    request->body_len, body,
					    release_body_, body);
	}
	coap_send(backend->session, pdu);
}

void pl_backend_cancel(pl_backend_t *backend, uint64_t request_id)
{
	exchange_t *exchange =
		g_hash_table_lookup(backend->requests, &request_id);

	if (exchange)
		g_hash_table_remove(backend->by_token, &exchange->token);
}

static void send_observe_(exchange_t *exchange)
{
	coap_pdu_t *pdu;

	if (!exchange->backend->session)
		return;
	pdu = pdu_new_(exchange, COAP_REQUEST_CODE_GET);
	add_uint_(pdu, COAP_OPTION_OBSERVE, COAP_OBSERVE_ESTABLISH);
	add_segments_(pdu, COAP_OPTION_URI_PATH, exchange->path, "/");
	add_segments_(pdu, COAP_OPTION_URI_QUERY, exchange->query, "&");
	coap_send(exchange->backend->session, pdu);
}

void pl_backend_subscribe(pl_backend_t *backend, uint64_t subscription_id,
			  const char *path, const char *query)
{
	exchange_t *exchange =
		exchange_new_(backend, EXCHANGE_SUBSCRIPTION, subscription_id);

	exchange->path = g_strdup(path);
	exchange->query = g_strdup(query);
	send_observe_(exchange);
}

void pl_backend_unsubscribe(pl_backend_t *backend, uint64_t subscription_id)
{
	exchange_t *exchange =
		g_hash_table_lookup(backend->subscriptions, &subscription_id);
	uint8_t bytes[TOKEN_BYTES];
	coap_binary_t token = { .length = sizeof(bytes), .s = bytes };

	if (!exchange)
		return;
	encode_token_(exchange->token, bytes);
	if (backend->session)
		coap_cancel_observe(backend->session, &token, COAP_MESSAGE_NON);
	g_hash_table_remove(backend->by_token, &exchange->token);
}

static int64_t uint_option_(const coap_pdu_t *pdu, coap_option_num_t number)
{
	coap_opt_iterator_t iterator;
	coap_opt_t *option = coap_check_option(pdu, number, &iterator);

	if (!option)
		return -1;
	return coap_decode_var_bytes(coap_opt_value(option),
				     coap_opt_length(option));
}

/* Joins the Location-Path options of @p pdu; false when there is none. */
static bool read_location_(const coap_pdu_t *pdu, char text[LOCATION_MAX])
{
	coap_opt_iterator_t iterator;
	coap_opt_t *option;
	GString *joined = g_string_new(NULL);

	coap_option_iterator_init(pdu, &iterator, COAP_OPT_ALL);
	while ((option = coap_option_next(&iterator))) {
		if (iterator.number != COAP_OPTION_LOCATION_PATH)
			continue;
		if (joined->len > 0)
			g_string_append_c(joined, '/');
		g_string_append_len(joined,
				    (const char *)coap_opt_value(option),
				    coap_opt_length(option));
	}
	g_strlcpy(text, joined->str, LOCATION_MAX);
	g_string_free(joined, TRUE);
	return text[0] != '\0';
}

static pl_backend_reply_t read_reply_(const coap_pdu_t *pdu,
				      char location[LOCATION_MAX])
{
	pl_backend_reply_t reply = {
		.status = PL_BACKEND_ANSWERED,
		.code = (uint8_t)coap_pdu_get_code(pdu),
		.content_format =
			(int32_t)uint_option_(pdu, COAP_OPTION_CONTENT_FORMAT),
		.max_age_s = uint_option_(pdu, COAP_OPTION_MAXAGE),
	};
	size_t offset;
	size_t total;

	/* 2.31 (Continue) as the final response: the request body was not
	 * received completely */
	if (reply.code == PL_COAP_UNAVAILABLE || reply.code == PL_COAP_CONTINUE)
		reply.status = PL_BACKEND_REFUSED;
	if (read_location_(pdu, location))
		reply.location_path = location;
	if (!coap_get_data_large(pdu, &reply.body_len, &reply.body, &offset,
				 &total))
		reply.body_len = 0;
	return reply;
}

static exchange_t *find_exchange_(pl_backend_t *backend, const coap_pdu_t *pdu)
{
	coap_bin_const_t bytes = coap_pdu_get_token(pdu);
	uint64_t token = 0;

	if (bytes.length != TOKEN_BYTES)
		return NULL;
	for (size_t i = 0; i < TOKEN_BYTES; i++)
		token = token << 8 | bytes.s[i];
	return g_hash_table_lookup(backend->by_token, &token);
}

static coap_response_t on_response_(coap_session_t *session,
				    const coap_pdu_t *sent,
				    const coap_pdu_t *received,
				    const coap_mid_t mid)
{
	pl_backend_t *backend =
		coap_get_app_data(coap_session_get_context(session));
	exchange_t *exchange = find_exchange_(backend, received);
	char location[LOCATION_MAX];
	pl_backend_reply_t reply;
	uint64_t id;

	if (!exchange)
		/* a late response to a request that timed out or was cancelled,
		 * or a notification of a cancelled observation: libcoap sends
		 * an RST */
		return COAP_RESPONSE_FAIL;
	reply = read_reply_(received, location);
	id = exchange->id;
	if (exchange->kind == EXCHANGE_SUBSCRIPTION) {
		backend->ops.notify(backend->ctx, id, &reply);
		return COAP_RESPONSE_OK;
	}
	g_hash_table_remove(backend->by_token, &exchange->token);
	backend->ops.reply(backend->ctx, id, &reply);
	return COAP_RESPONSE_OK;
}

/* On an ICMP error of the session, the registration is removed from a timer,
 * because the session must not be released within libcoap's callback. */
static void on_nack_(coap_session_t *session, const coap_pdu_t *sent,
		     const coap_nack_reason_t reason, const coap_mid_t mid)
{
	pl_backend_t *backend =
		coap_get_app_data(coap_session_get_context(session));

	if (reason == COAP_NACK_ICMP_ISSUE && session == backend->session)
		pl_timer_arm(timers_(backend), &backend->session_failed,
			     now_(backend));
}

static gboolean is_request_(gpointer key, gpointer value, gpointer data)
{
	const exchange_t *exchange = value;

	return exchange->kind == EXCHANGE_REQUEST;
}

/* Reports every open request as lost: the backend server may have executed
 * it. */
static void report_all_lost_(pl_backend_t *backend)
{
	exchange_t *exchange;

	while ((exchange = g_hash_table_find(backend->by_token, is_request_,
					     NULL)))
		report_lost_(exchange);
}

static void close_session_(pl_backend_t *backend)
{
	if (!backend->session)
		return;
	coap_session_release(backend->session);
	backend->session = NULL;
}

static void on_session_failed_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_backend_t *backend = ctx;

	pl_backend_registry_remove(backend->registry);
}

/* The backend server registered with other parameters, or the registration
 * ended. */
static void on_registration_changed_(void *ctx,
				     const pl_backend_registration_t *entry)
{
	pl_backend_t *backend = ctx;
	struct sockaddr_storage storage;
	coap_address_t to;
	GHashTableIter iter;
	gpointer exchange;

	close_session_(backend);
	report_all_lost_(backend);
	backend->ops.changed(backend->ctx, NULL, 0);
	if (!entry)
		return;
	coap_address_init(&to);
	to.size = pl_addr_to_sockaddr(&entry->base, &storage);
	memcpy(&to.addr, &storage, to.size);
	backend->session = coap_new_client_session(backend->coap, NULL, &to,
						   COAP_PROTO_UDP);
	if (!backend->session)
		return;
	g_hash_table_iter_init(&iter, backend->subscriptions);
	while (g_hash_table_iter_next(&iter, NULL, &exchange))
		send_observe_(exchange);
	backend->ops.changed(backend->ctx, entry->service, entry->slots);
}

static void on_socket_ready_(void *ctx, uint32_t events)
{
	pl_backend_t *backend = ctx;

	coap_io_process(backend->coap, COAP_IO_NO_WAIT);
}

static void on_poll_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_backend_t *backend = ctx;

	coap_io_process(backend->coap, COAP_IO_NO_WAIT);
	pl_timer_arm(timers_(backend), timer, now + POLL_INTERVAL_MS);
}

pl_backend_t *pl_backend_new(pl_loop_t *loop, pl_addr_t *listen,
			     const pl_backend_ops_t *ops, void *ctx,
			     pl_error_t *err)
{
	pl_backend_t *backend = g_new0(pl_backend_t, 1);

	coap_startup();
	coap_set_log_level(LOG_CRIT);
	backend->loop = loop;
	backend->ops = *ops;
	backend->ctx = ctx;
	backend->last_token = FIRST_TOKEN;
	backend->by_token = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, exchange_free_);
	backend->subscriptions = g_hash_table_new(g_int64_hash, g_int64_equal);
	backend->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	pl_timer_init(&backend->poll, on_poll_, backend);
	pl_timer_init(&backend->session_failed, on_session_failed_, backend);
	backend->coap = coap_new_context(NULL);
	coap_set_app_data(backend->coap, backend);
	coap_context_set_block_mode(
		backend->coap, COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
	coap_register_response_handler(backend->coap, on_response_);
	coap_register_nack_handler(backend->coap, on_nack_);
	backend->registry =
		pl_backend_registry_new(loop, backend->coap, listen,
					on_registration_changed_, backend, err);
	if (!backend->registry) {
		pl_backend_delete(backend);
		return NULL;
	}
	backend->watch =
		pl_loop_watch(loop, coap_context_get_coap_fd(backend->coap),
			      EPOLLIN, on_socket_ready_, backend);
	pl_timer_arm(timers_(backend), &backend->poll,
		     now_(backend) + POLL_INTERVAL_MS);
	return backend;
}

void pl_backend_delete(pl_backend_t *backend)
{
	if (!backend)
		return;
	pl_timer_cancel(timers_(backend), &backend->poll);
	pl_timer_cancel(timers_(backend), &backend->session_failed);
	pl_loop_unwatch(backend->loop, backend->watch);
	pl_backend_registry_delete(backend->registry);
	g_hash_table_unref(backend->by_token);
	g_hash_table_unref(backend->subscriptions);
	g_hash_table_unref(backend->requests);
	close_session_(backend);
	coap_free_context(backend->coap);
	g_free(backend);
}
