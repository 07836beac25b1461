/**
 * @file
 * Message layer towards callers. An exchange is indexed by the message ID of
 * its request for EXCHANGE_LIFETIME, so that a duplicate gets the same
 * response as the first copy. It is also indexed by the message ID of its
 * separate response until that response is acknowledged.
 */
#include "private/exchange.h"

#include <assert.h>
#include <glib.h>
#include <pimentolift/hash.h>
#include <string.h>

const char *const pl_exchange_state_names[] = {
	"open",
	"acked",
	"separate",
	"done",
};

/** Range of message IDs of responses; notifications use 0x8000 and above. */
#define REPLY_MID_MASK 0x7fff

struct pl_exchange_table {
	pl_timer_service_t *timers;
	pl_exchange_send_t send;
	pl_exchange_random_t random;
	void *ctx;
	GHashTable *by_request;
	GHashTable *by_response_key;
	pl_list_t done;
	size_t done_count;
	size_t bytes;
};

static guint key_hash_(gconstpointer key)
{
	return (guint)pl_hash(key, sizeof(pl_exchange_key_t), 0);
}

static gboolean key_equal_(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(pl_exchange_key_t)) == 0;
}

static pl_exchange_key_t exchange_key_(const pl_flow_t *flow, uint16_t mid)
{
	pl_exchange_key_t key = { .mid = mid };

	key.caller = flow->caller;
	key.address = flow->address;
	return key;
}

static void free_exchange_(gpointer data)
{
	pl_exchange_t *exchange = data;

	pl_timer_cancel(exchange->table->timers, &exchange->timer);
	if (exchange->state == PL_EXCHANGE_DONE)
		exchange->table->done_count--;
	exchange->table->bytes -= exchange->response_pdu_len;
	pl_list_remove(&exchange->age_link);
	pl_list_remove(&exchange->waiter_link);
	g_free(exchange->response_pdu);
	g_free(exchange);
}

pl_exchange_table_t *pl_exchange_table_new(pl_timer_service_t *timers,
					   pl_exchange_send_t send,
					   pl_exchange_random_t random,
					   void *ctx)
{
	pl_exchange_table_t *table = g_new0(pl_exchange_table_t, 1);

	assert(timers && send && random);
	table->timers = timers;
	table->send = send;
	table->random = random;
	table->ctx = ctx;
	table->by_request = g_hash_table_new_full(key_hash_, key_equal_, NULL,
						  free_exchange_);
	table->by_response_key = g_hash_table_new(key_hash_, key_equal_);
	pl_list_init(&table->done);
	return table;
}

void pl_exchange_table_delete(pl_exchange_table_t *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->by_response_key);
	g_hash_table_destroy(table->by_request);
	g_free(table);
}

/* Removes the exchange from both indexes and frees it. */
static void remove_exchange_(pl_exchange_t *exchange)
{
	pl_exchange_table_t *table = exchange->table;

	if (exchange->response_key_indexed)
		g_hash_table_remove(table->by_response_key,
				    &exchange->response_key);
	g_hash_table_remove(table->by_request, &exchange->key);
}

static void finish_exchange_(pl_exchange_t *exchange)
{
	pl_exchange_table_t *table = exchange->table;

	pl_timer_cancel(table->timers, &exchange->timer);
	pl_list_remove(&exchange->waiter_link);
	if (exchange->response_key_indexed)
		g_hash_table_remove(table->by_response_key,
				    &exchange->response_key);
	exchange->response_key_indexed = false;
	if (exchange->state == PL_EXCHANGE_DONE)
		return;
	exchange->state = PL_EXCHANGE_DONE;
	pl_list_append(&table->done, &exchange->age_link);
	table->done_count++;
}

/*
 * Evicts the oldest done exchanges until the table is within its limits.
 * Returns false when no done exchange is left to evict.
 */
static bool evict_done_(pl_exchange_table_t *table)
{
	while (g_hash_table_size(table->by_request) >= PL_EXCHANGE_MAX ||
	       table->bytes > PL_EXCHANGE_BYTES_MAX) {
		pl_list_t *oldest = pl_list_first(&table->done);

		if (!oldest)
			return false;
		remove_exchange_(
			PL_CONTAINER_OF(oldest, pl_exchange_t, age_link));
	}
	return true;
}

static void send_empty_ack_(pl_exchange_t *exchange)
{
	uint8_t buf[8];
	pl_coap_writer_t writer;

	pl_coap_write_start(&writer, buf, sizeof(buf), PL_COAP_ACK,
			    PL_COAP_EMPTY, exchange->key.mid, NULL, 0);
	exchange->table->send(exchange->table->ctx, exchange->entry,
			      &exchange->flow, buf, pl_coap_write_end(&writer));
}

static void transmit_(pl_exchange_t *exchange)
{
	exchange->table->send(exchange->table->ctx, exchange->entry,
			      &exchange->flow, exchange->response_pdu,
			      exchange->response_pdu_len);
}

static void retransmit_(pl_exchange_t *exchange, pl_ms_t now)
{
	if (exchange->retransmits == PL_EXCHANGE_MAX_RETRANSMIT) {
		finish_exchange_(exchange);
		return;
	}
	exchange->retransmits++;
	exchange->timeout_ms *= 2;
	transmit_(exchange);
	pl_timer_arm(exchange->table->timers, &exchange->timer,
		     now + exchange->timeout_ms);
}

static void timer_fired_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_exchange_t *exchange = ctx;

	(void)timer;
	if (exchange->state == PL_EXCHANGE_SEPARATE) {
		retransmit_(exchange, now);
		return;
	}
	assert(exchange->state == PL_EXCHANGE_OPEN);
	exchange->state = PL_EXCHANGE_ACKED;
	send_empty_ack_(exchange);
}

static void resend_response_(pl_exchange_t *exchange,
			     const pl_forward_t *forward)
{
	exchange->entry = forward->entry;
	if (exchange->type == PL_COAP_NON ||
	    exchange->state == PL_EXCHANGE_OPEN)
		return;
	if (exchange->state == PL_EXCHANGE_DONE && exchange->response_pdu &&
	    exchange->response_key.caller.family == PL_ADDR_NONE)
		transmit_(exchange);
	else
		send_empty_ack_(exchange);
}

bool pl_exchange_serve_duplicate(pl_exchange_table_t *table,
				 const pl_forward_t *forward,
				 const pl_coap_msg_t *msg)
{
	pl_exchange_key_t key = exchange_key_(&forward->flow, msg->mid);
	pl_exchange_t *exchange = g_hash_table_lookup(table->by_request, &key);

	if (!exchange)
		return false;
	if (exchange->token_len == msg->token_len &&
	    memcmp(exchange->token, msg->token, msg->token_len) == 0) {
		resend_response_(exchange, forward);
		return true;
	}
	/* The caller has reused the message ID for another request. */
	finish_exchange_(exchange);
	remove_exchange_(exchange);
	return false;
}

/*
 * GET and FETCH always get a piggybacked response, however late, because the
 * client of libcoap does not request the second block of an answer that
 * arrives in a separate response. The caller retransmits the request in the
 * meantime, and the exchange discards these duplicates.
 */
static bool needs_empty_ack_(const pl_coap_msg_t *msg)
{
	return msg->type == PL_COAP_CON && msg->code != PL_COAP_GET &&
	       msg->code != PL_COAP_FETCH;
}

pl_exchange_t *pl_exchange_open(pl_exchange_table_t *table,
				const pl_forward_t *forward,
				const pl_coap_msg_t *msg)
{
	pl_exchange_t *exchange;

	if (pl_exchange_serve_duplicate(table, forward, msg) ||
	    !evict_done_(table))
		return NULL;
	exchange = g_new0(pl_exchange_t, 1);
	exchange->table = table;
	exchange->key = exchange_key_(&forward->flow, msg->mid);
	exchange->flow = forward->flow;
	exchange->entry = forward->entry;
	exchange->type = msg->type;
	exchange->token_len = msg->token_len;
	memcpy(exchange->token, msg->token, msg->token_len);
	exchange->no_response = msg->no_response;
	exchange->block1 = msg->block1;
	exchange->block2 = msg->block2;
	exchange->opened_at = pl_timer_service_now(table->timers);
	pl_list_init(&exchange->age_link);
	pl_list_init(&exchange->waiter_link);
	pl_timer_init(&exchange->timer, timer_fired_, exchange);
	g_hash_table_insert(table->by_request, &exchange->key, exchange);
	if (needs_empty_ack_(msg))
		pl_timer_arm(table->timers, &exchange->timer,
			     exchange->opened_at + PL_EXCHANGE_ACK_DELAY_MS);
	return exchange;
}

/* Chooses a random message ID that no unacknowledged response has. */
static uint16_t choose_reply_mid_(pl_exchange_t *exchange)
{
	pl_exchange_table_t *table = exchange->table;
	pl_exchange_key_t key;

	do {
		key = exchange_key_(
			&exchange->flow,
			(uint16_t)(table->random(table->ctx) & REPLY_MID_MASK));
	} while (g_hash_table_contains(table->by_response_key, &key));
	exchange->response_key = key;
	return key.mid;
}

void pl_exchange_write_start(pl_exchange_t *exchange, pl_coap_writer_t *writer,
			     uint8_t *buf, size_t cap, uint8_t code)
{
	pl_coap_type_t type = PL_COAP_ACK;
	uint16_t mid = exchange->key.mid;

	assert(exchange->state == PL_EXCHANGE_OPEN ||
	       exchange->state == PL_EXCHANGE_ACKED);
	if (exchange->type == PL_COAP_NON)
		type = PL_COAP_NON;
	else if (exchange->state == PL_EXCHANGE_ACKED)
		type = PL_COAP_CON;
	if (type != PL_COAP_ACK)
		mid = choose_reply_mid_(exchange);
	pl_coap_write_start(writer, buf, cap, type, code, mid, exchange->token,
			    exchange->token_len);
}

/* Returns true when No-Response (RFC 7967) suppresses this response. */
static bool response_suppressed_(const pl_exchange_t *exchange, uint8_t code)
{
	unsigned int code_class = code >> 5;

	/* The caller needs these responses to continue the transfer. */
	if (code == PL_COAP_CONTINUE || code == PL_COAP_UNAUTHORIZED)
		return false;
	return code_class >= 2 &&
	       (exchange->no_response & (1U << (code_class - 1))) != 0;
}

void pl_exchange_send(pl_exchange_t *exchange, pl_coap_writer_t *writer)
{
	pl_exchange_table_t *table = exchange->table;
	size_t len = pl_coap_write_end(writer);

	assert(len > 4);
	if (response_suppressed_(exchange, writer->buf[1])) {
		pl_exchange_close(exchange);
		return;
	}
	exchange->response_pdu = g_memdup2(writer->buf, len);
	exchange->response_pdu_len = len;
	table->bytes += len;
	transmit_(exchange);
	if (exchange->state != PL_EXCHANGE_ACKED) {
		finish_exchange_(exchange);
		return;
	}
	pl_list_remove(&exchange->waiter_link);
	exchange->state = PL_EXCHANGE_SEPARATE;
	exchange->response_key_indexed = true;
	g_hash_table_insert(table->by_response_key, &exchange->response_key,
			    exchange);
	/* ACK_RANDOM_FACTOR 1.5 */
	exchange->timeout_ms = PL_EXCHANGE_ACK_TIMEOUT_MS +
			       (uint32_t)(table->random(table->ctx) %
					  (PL_EXCHANGE_ACK_TIMEOUT_MS / 2));
	pl_timer_arm(table->timers, &exchange->timer,
		     pl_timer_service_now(table->timers) +
			     exchange->timeout_ms);
}

void pl_exchange_respond(pl_exchange_t *exchange, uint8_t code,
			 int64_t max_age_s, const char *text)
{
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	pl_coap_writer_t writer;

	pl_exchange_write_start(exchange, &writer, buf, sizeof(buf), code);
	if (max_age_s >= 0)
		pl_coap_write_uint(&writer, PL_COAP_OPT_MAX_AGE,
				   (uint32_t)max_age_s);
	if (exchange->block1.present)
		pl_coap_write_block(&writer, PL_COAP_OPT_BLOCK1,
				    &exchange->block1);
	if (text)
		pl_coap_write_payload(&writer, text, strlen(text));
	pl_exchange_send(exchange, &writer);
}

void pl_exchange_close(pl_exchange_t *exchange)
{
	if (exchange->state == PL_EXCHANGE_OPEN &&
	    exchange->type == PL_COAP_CON)
		send_empty_ack_(exchange);
	finish_exchange_(exchange);
}

bool pl_exchange_handle_ack_or_rst(pl_exchange_table_t *table,
				   const pl_flow_t *flow, uint16_t mid)
{
	pl_exchange_key_t key = exchange_key_(flow, mid);
	pl_exchange_t *exchange =
		g_hash_table_lookup(table->by_response_key, &key);

	if (!exchange)
		return false;
	finish_exchange_(exchange);
	return true;
}

void pl_exchange_sweep(pl_exchange_table_t *table)
{
	pl_ms_t now = pl_timer_service_now(table->timers);
	pl_list_t *oldest = pl_list_first(&table->done);

	while (oldest) {
		pl_exchange_t *exchange =
			PL_CONTAINER_OF(oldest, pl_exchange_t, age_link);

		if (exchange->opened_at + PL_EXCHANGE_LIFETIME_MS > now)
			return;
		remove_exchange_(exchange);
		oldest = pl_list_first(&table->done);
	}
}

size_t pl_exchange_pending(const pl_exchange_table_t *table)
{
	return g_hash_table_size(table->by_request) - table->done_count;
}

size_t pl_exchange_count(const pl_exchange_table_t *table)
{
	return g_hash_table_size(table->by_request);
}
