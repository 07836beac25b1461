/**
 * @file
 * Table and state machine of request records.
 */
#include "private/request.h"

#include <assert.h>
#include <pimentolift/event.h>
#include <string.h>

const char *const pl_request_state_names[] = {
	"gathering", "queued",	"dispatched", "answered",
	"refused",   "unknown", "cancelled",
};

struct pl_request_table {
	pl_timer_service_t *timers;
	pl_body_budget_t *budget;
	const pl_request_hooks_t *hooks;
	void *ctx;
	GHashTable *by_id;
	GHashTable *by_ticket;
	pl_list_t ticketed;
	pl_list_t unticketed;
	uint64_t last_id;
	size_t open_count;
	uint32_t evicted_issued_s; /* latest time of issue of evicted records */
};

static guint ticket_hash_(gconstpointer key)
{
	return (guint)((const pl_ticket_t *)key)->nonce;
}

/* The time of issue is not compared: it does not identify the operation. */
static gboolean ticket_equal_(gconstpointer left, gconstpointer right)
{
	const pl_ticket_t *a = left;
	const pl_ticket_t *b = right;

	return a->nonce == b->nonce && a->boot == b->boot &&
	       a->agent == b->agent;
}

static void close_waiters_(pl_request_t *request)
{
	pl_exchange_t *exchange = pl_request_next_waiter(request);

	while (exchange) {
		pl_exchange_close(exchange);
		exchange = pl_request_next_waiter(request);
	}
}

static void free_request_(pl_request_table_t *table, pl_request_t *request)
{
	pl_timer_cancel(table->timers, &request->timer);
	pl_list_remove(&request->age_link);
	pl_list_remove(&request->queue_link);
	pl_request_drop_body(request);
	if (request->answer)
		pl_ref_put(&request->answer->ref);
	g_free(request->path);
	g_free(request->query);
	g_free(request);
}

pl_request_table_t *pl_request_table_new(pl_timer_service_t *timers,
					 pl_body_budget_t *budget,
					 const pl_request_hooks_t *hooks,
					 void *ctx)
{
	pl_request_table_t *table = g_new0(pl_request_table_t, 1);

	assert(timers && budget && hooks);
	table->hooks = hooks;
	table->ctx = ctx;
	table->timers = timers;
	table->budget = budget;
	table->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->by_ticket = g_hash_table_new(ticket_hash_, ticket_equal_);
	pl_list_init(&table->ticketed);
	pl_list_init(&table->unticketed);
	return table;
}

static void free_list_(pl_request_table_t *table, pl_list_t *head)
{
	pl_list_for_each_safe(node, head) {
		pl_request_t *request =
			PL_CONTAINER_OF(node, pl_request_t, age_link);

		/* Waiters are unlinked; the exchange table frees them. */
		while (pl_request_next_waiter(request))
			;
		free_request_(table, request);
	}
}

void pl_request_table_delete(pl_request_table_t *table)
{
	if (!table)
		return;
	free_list_(table, &table->ticketed);
	free_list_(table, &table->unticketed);
	g_hash_table_destroy(table->by_ticket);
	g_hash_table_destroy(table->by_id);
	g_free(table);
}

static bool has_room_(const pl_request_table_t *table, bool ticketed)
{
	size_t ticketed_count = g_hash_table_size(table->by_ticket);

	if (ticketed)
		return ticketed_count < PL_REQUEST_TICKETED_MAX;
	return g_hash_table_size(table->by_id) - ticketed_count <
	       PL_REQUEST_UNTICKETED_MAX;
}

static void timer_fired_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_request_t *request = ctx;

	(void)timer;
	(void)now;
	request->table->hooks->timeout(request->table->ctx, request);
}

pl_request_t *pl_request_new(pl_request_table_t *table, const pl_flow_t *flow,
			     const pl_coap_msg_t *msg,
			     const pl_ticket_t *ticket)
{
	pl_request_t *request;

	if (!has_room_(table, ticket != NULL))
		return NULL;
	request = g_new0(pl_request_t, 1);
	request->table = table;
	request->id = ++table->last_id;
	table->open_count++;
	request->state = PL_REQUEST_GATHERING;
	request->flow = *flow;
	request->method = msg->code;
	request->path = g_strdup(msg->path);
	request->query = g_strdup(msg->query);
	request->content_format = msg->content_format;
	request->accept = msg->accept;
	request->body = g_byte_array_new();
	request->budget = table->budget;
	request->accepted_at = pl_timer_service_now(table->timers);
	pl_list_init(&request->waiters);
	pl_list_init(&request->queue_link);
	pl_timer_init(&request->timer, timer_fired_, request);
	g_hash_table_insert(table->by_id, &request->id, request);
	if (!ticket) {
		pl_list_append(&table->unticketed, &request->age_link);
		return request;
	}
	assert(!pl_request_by_ticket(table, ticket));
	request->ticketed = true;
	request->ticket = *ticket;
	g_hash_table_insert(table->by_ticket, &request->ticket, request);
	pl_list_append(&table->ticketed, &request->age_link);
	return request;
}

void pl_request_forget(pl_request_table_t *table, pl_request_t *request)
{
	close_waiters_(request);
	if (!pl_request_ended(request))
		table->open_count--;
	table->hooks->release(table->ctx, request);
	g_hash_table_remove(table->by_id, &request->id);
	if (request->ticketed)
		g_hash_table_remove(table->by_ticket, &request->ticket);
	free_request_(table, request);
}

pl_request_t *pl_request_by_id(pl_request_table_t *table, uint64_t id)
{
	return g_hash_table_lookup(table->by_id, &id);
}

pl_request_t *pl_request_by_ticket(pl_request_table_t *table,
				   const pl_ticket_t *ticket)
{
	return g_hash_table_lookup(table->by_ticket, ticket);
}

static bool has_waiter_(const pl_request_t *request, const pl_flow_t *flow,
			const uint8_t *token, size_t token_len)
{
	if (!pl_addr_equal(&request->flow.caller, &flow->caller))
		return false;
	pl_list_for_each(node, &request->waiters) {
		const pl_exchange_t *exchange =
			PL_CONTAINER_OF(node, pl_exchange_t, waiter_link);

		if (exchange->token_len == token_len &&
		    memcmp(exchange->token, token, token_len) == 0)
			return true;
	}
	return false;
}

pl_request_t *pl_request_by_token(pl_request_table_t *table,
				  const pl_flow_t *flow, const uint8_t *token,
				  size_t token_len)
{
	pl_list_for_each(node, &table->unticketed) {
		pl_request_t *request =
			PL_CONTAINER_OF(node, pl_request_t, age_link);

		if (has_waiter_(request, flow, token, token_len))
			return request;
	}
	return NULL;
}

#define BIT(state) (1U << (state))

/* Allowed next states of each state for PL_CAUSE_AGENT. */
static const unsigned int agent_transitions_[PL_REQUEST_STATE_COUNT] = {
	[PL_REQUEST_GATHERING] =
		BIT(PL_REQUEST_QUEUED) | BIT(PL_REQUEST_REFUSED),
	[PL_REQUEST_QUEUED] =
		BIT(PL_REQUEST_DISPATCHED) | BIT(PL_REQUEST_REFUSED) |
		BIT(PL_REQUEST_UNKNOWN) | BIT(PL_REQUEST_CANCELLED),
	[PL_REQUEST_DISPATCHED] =
		BIT(PL_REQUEST_UNKNOWN) | BIT(PL_REQUEST_CANCELLED),
};

/* Allowed next states of each state for PL_CAUSE_BACKEND. */
static const unsigned int backend_transitions_[PL_REQUEST_STATE_COUNT] = {
	[PL_REQUEST_DISPATCHED] =
		BIT(PL_REQUEST_ANSWERED) | BIT(PL_REQUEST_REFUSED) |
		BIT(PL_REQUEST_UNKNOWN) | BIT(PL_REQUEST_QUEUED),
};

static bool transition_allowed_(const pl_request_t *request,
				pl_request_state_t next,
				pl_request_cause_t cause)
{
	const unsigned int *transitions = cause == PL_CAUSE_BACKEND ?
						  backend_transitions_ :
						  agent_transitions_;

	/*
	 * A lost earlier attempt may have run, so a request that was retried
	 * cannot be reported as "not run".
	 */
	if (request->retries > 0 && next == PL_REQUEST_REFUSED)
		return false;
	/*
	 * A request with a ticket that was dispatched may have run, so it must
	 * not be sent to the backend server again.
	 */
	if (request->ticketed && request->state == PL_REQUEST_DISPATCHED &&
	    (next == PL_REQUEST_QUEUED || next == PL_REQUEST_CANCELLED))
		return false;
	return (transitions[request->state] & BIT(next)) != 0;
}

bool pl_request_set_state(pl_request_t *request, pl_request_state_t next,
			  pl_request_cause_t cause)
{
	if (!PL_INVARIANT(transition_allowed_(request, next, cause),
			  "request state change from %s to %s by the %s",
			  pl_request_state_names[request->state],
			  pl_request_state_names[next],
			  cause == PL_CAUSE_BACKEND ? "backend" : "agent"))
		return false;
	request->state = next;
	if (pl_request_ended(request))
		request->table->open_count--;
	return true;
}

void pl_request_wait(pl_request_t *request, pl_exchange_t *exchange)
{
	size_t count = 0;

	assert(!pl_request_ended(request));
	pl_list_for_each(node, &request->waiters)
		count++;
	if (count == PL_REQUEST_WAITERS_MAX)
		pl_exchange_close(pl_request_next_waiter(request));
	pl_list_append(&request->waiters, &exchange->waiter_link);
}

pl_exchange_t *pl_request_next_waiter(pl_request_t *request)
{
	pl_list_t *first = pl_list_first(&request->waiters);

	if (!first)
		return NULL;
	pl_list_remove(first);
	return PL_CONTAINER_OF(first, pl_exchange_t, waiter_link);
}

void pl_request_drop_body(pl_request_t *request)
{
	if (!request->body)
		return;
	assert(request->budget->used >= request->body->len);
	request->budget->used -= request->body->len;
	g_byte_array_free(request->body, TRUE);
	request->body = NULL;
}

bool pl_request_ended(const pl_request_t *request)
{
	return request->state >= PL_REQUEST_ANSWERED;
}

void pl_request_sweep(pl_request_table_t *table, uint32_t now_s)
{
	pl_list_for_each_safe(node, &table->ticketed) {
		pl_request_t *request =
			PL_CONTAINER_OF(node, pl_request_t, age_link);

		if (request->ticket.issued_s + PL_REQUEST_RETENTION_S > now_s)
			return;
		if (pl_request_ended(request))
			pl_request_forget(table, request);
	}
}

bool pl_request_make_room(pl_request_table_t *table, uint32_t now_s)
{
	pl_list_t *first = pl_list_first(&table->ticketed);
	pl_request_t *oldest;

	if (has_room_(table, true))
		return true;
	if (!first)
		return false;
	oldest = PL_CONTAINER_OF(first, pl_request_t, age_link);
	if (!pl_request_ended(oldest) ||
	    oldest->ticket.issued_s + PL_TICKET_LIFE_S > now_s)
		return false;
	if (oldest->ticket.issued_s > table->evicted_issued_s)
		table->evicted_issued_s = oldest->ticket.issued_s;
	pl_request_forget(table, oldest);
	return true;
}

bool pl_request_ticket_unused(const pl_request_table_t *table,
			      uint32_t issued_s, uint32_t now_s)
{
	return issued_s > table->evicted_issued_s &&
	       now_s < issued_s + PL_REQUEST_RETENTION_S;
}

size_t pl_request_open_count(const pl_request_table_t *table)
{
	return table->open_count;
}

size_t pl_request_count(const pl_request_table_t *table)
{
	return g_hash_table_size(table->by_id);
}
