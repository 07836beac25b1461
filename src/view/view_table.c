/**
 * @file
 * View and caller records, Observe values and message IDs.
 */
#include "private/view_private.h"

#include <assert.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <pimentolift/hash.h>
#include <string.h>

#define MS_PER_S 1000
#define SEQUENCE_HALF (1u << 23)
/** Message IDs sent by the table: the highest bit is set, 15 bits count. */
#define MID_FLAG 0x8000
#define MID_MASK 0x7fff
#define MID_HALF 0x4000
/**
 * A replica is sent again when its Observe value lags behind by more than this,
 * half of the increase that a recovery adds.
 */
#define REPLICA_LAG_MAX (PL_VIEW_RECOVERY_ADVANCE / 2)
/** Message IDs skipped when a view changes its owner: 4 s of clock ticks. */
#define MID_HANDOVER_GAP 256
/** Minimum time between two uses of a message ID (RFC 7252 section 4.8). */
#define MID_LIFETIME_MS (247 * MS_PER_S)

pl_ms_t pl_view_now(const pl_view_table_t *table)
{
	return pl_timer_service_now(table->timers);
}

const pl_route_service_t *pl_view_service(const pl_view_table_t *table)
{
	if (!table->routing)
		return NULL;
	return pl_routing_by_id(table->routing, table->service_id);
}

guint pl_view_key_hash(gconstpointer key)
{
	return (guint)pl_hash(key, sizeof(pl_view_key_t), 0);
}

gboolean pl_view_key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(pl_view_key_t)) == 0;
}

static guint caller_hash_(gconstpointer addr)
{
	return (guint)pl_addr_hash(addr, 0);
}

static gboolean caller_equal_(gconstpointer a, gconstpointer b)
{
	return pl_addr_equal(a, b);
}

guint pl_view_id_hash(gconstpointer id)
{
	return (guint)pl_hash(id, sizeof(uint64_t), 0);
}

pl_view_table_t *pl_view_table_new(const pl_agent_params_t *params,
				   const pl_agent_ops_t *ops, void *ctx,
				   pl_timer_service_t *timers)
{
	pl_view_table_t *table = g_new0(pl_view_table_t, 1);

	table->params = *params;
	table->ops = ops;
	table->ctx = ctx;
	table->timers = timers;
	table->callers = g_hash_table_new(caller_hash_, caller_equal_);
	table->views = g_hash_table_new(pl_view_key_hash, pl_view_key_equal);
	table->resources =
		g_hash_table_new(pl_view_resource_hash, pl_view_resource_equal);
	table->subscriptions = g_hash_table_new(pl_view_id_hash, g_int64_equal);
	pl_view_notify_init(table);
	pl_view_balance_init(table);
	pl_view_claim_init(table);
	pl_view_handover_init(table);
	pl_view_replica_init(table);
	pl_view_recovery_init(table);
	return table;
}

void pl_view_table_delete(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer view;

	if (!table)
		return;
	/* deleting the last view of a caller or resource frees that, too */
	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &view, NULL)) {
		pl_view_delete(view);
		g_hash_table_iter_init(&iter, table->views);
	}
	pl_view_recovery_finish(table);
	pl_view_replica_finish(table);
	pl_view_handover_finish(table);
	pl_view_claim_finish(table);
	pl_view_balance_finish(table);
	pl_view_notify_finish(table);
	g_hash_table_destroy(table->subscriptions);
	g_hash_table_destroy(table->resources);
	g_hash_table_destroy(table->views);
	g_hash_table_destroy(table->callers);
	g_free(table);
}

/* Hash of the endpoint fields that determine ranking and reachability. */
static uint64_t endpoints_hash_(const pl_view_table_t *table)
{
	const pl_route_service_t *service = pl_view_service(table);
	uint64_t hash = 0;

	for (size_t i = 0; service && i < service->endpoint_count; i++) {
		const pl_endpoint_t *endpoint = &service->endpoints[i];
		const uint64_t fields[] = { endpoint->agent, endpoint->boot,
					    endpoint->state, endpoint->weight };

		hash = pl_hash(fields, sizeof(fields), hash);
	}
	return hash;
}

void pl_view_set_routing(pl_view_table_t *table, const pl_routing_t *routing,
			 pl_service_id_t service)
{
	uint64_t hash;

	table->routing = routing;
	table->service_id = service;
	hash = endpoints_hash_(table);
	if (hash == table->endpoints_hash)
		return;
	if (table->endpoints_hash != 0)
		pl_view_retransmit_later(table);
	table->endpoints_hash = hash;
	pl_view_balance_later(table);
	pl_view_replica_reassign(table);
	pl_view_recovery_check(table);
	pl_view_handover_send_offers(table);
}

void pl_view_set_load(pl_view_table_t *table, uint32_t load_ms)
{
	table->load_ms = load_ms;
}

pl_view_caller_t *pl_view_caller_find(const pl_view_table_t *table,
				      const pl_addr_t *addr)
{
	return g_hash_table_lookup(table->callers, addr);
}

pl_view_caller_t *pl_view_caller_get(pl_view_table_t *table,
				     const pl_addr_t *addr)
{
	pl_view_caller_t *caller = pl_view_caller_find(table, addr);

	if (caller)
		return caller;
	caller = g_new0(pl_view_caller_t, 1);
	caller->addr = *addr;
	pl_list_init(&caller->views);
	pl_list_init(&caller->deliveries);
	pl_list_init(&caller->redirects);
	pl_list_init(&caller->replicas);
	g_hash_table_add(table->callers, caller);
	return caller;
}

void pl_view_caller_put(pl_view_table_t *table, pl_view_caller_t *caller)
{
	if (!pl_list_empty(&caller->views) ||
	    !pl_list_empty(&caller->redirects) ||
	    !pl_list_empty(&caller->replicas))
		return;
	g_hash_table_remove(table->callers, caller);
	g_free(caller);
}

pl_view_t *pl_view_lookup(pl_view_table_t *table, const pl_view_key_t *key)
{
	return g_hash_table_lookup(table->views, key);
}

pl_view_t *pl_view_new(pl_view_table_t *table, const pl_view_key_t *key,
		       const char *path, const char *query)
{
	pl_view_t *view = g_new0(pl_view_t, 1);

	view->key = *key;
	view->table = table;
	view->accept = -1;
	view->sequence =
		(pl_view_sequence_clock(table) - 1) & PL_VIEW_SEQUENCE_MASK;
	view->caller = pl_view_caller_get(table, &key->caller);
	pl_list_append(&view->caller->views, &view->caller_link);
	view->resource = pl_view_resource_get(table, path, query);
	pl_list_append(&view->resource->views, &view->resource_link);
	PL_INVARIANT(!pl_view_lookup(table, key), "view exists already");
	g_hash_table_add(table->views, view);
	pl_list_init(&view->move_link);
	pl_list_init(&view->replicate_link);
	pl_view_replicate_later(view);
	if (table->evacuating)
		pl_view_handover_later(view);
	return view;
}

void pl_view_record_fill(const pl_view_t *view, pl_view_record_t *record)
{
	record->key = view->key;
	record->address = view->address;
	record->path = view->resource->path;
	record->query = view->resource->query;
	record->accept = view->accept;
	record->sequence = view->sequence;
	record->mid = view->caller->mid;
	record->szx = view->szx;
	record->pending = view->pending != NULL;
	record->etag = view->delivery ? 0 : view->confirmed_etag;
	record->entry = view->entry;
}

/* Skips message IDs that the previous owner may have used. */
static void skip_mids_(pl_view_t *view, uint16_t mid)
{
	pl_view_caller_t *caller = view->caller;
	pl_ms_t now = pl_view_now(view->table);

	/* for a known caller, the message IDs continue from its last one */
	if (caller->mid == 0) {
		caller->mid = mid;
		caller->mid_at = now;
	}
	pl_view_mid_next(view->table, caller);
	caller->mid = ((caller->mid + MID_HANDOVER_GAP) & MID_MASK) | MID_FLAG;
}

pl_view_t *pl_view_restore(pl_view_table_t *table,
			   const pl_view_record_t *record, uint32_t advance)
{
	pl_view_t *view =
		pl_view_new(table, &record->key, record->path, record->query);
	uint32_t base = record->sequence & PL_VIEW_SEQUENCE_MASK;

	if (pl_view_sequence_newer(view->sequence, base))
		base = view->sequence;
	view->sequence = pl_view_sequence_add(base, advance);
	view->address = record->address;
	view->accept = record->accept;
	view->szx = record->szx;
	view->confirmed_etag = record->etag;
	pl_view_mark_heard(view, record->entry);
	skip_mids_(view, record->mid);
	if (record->pending) {
		pl_view_pending_t *pending = pl_view_pending_start(view);

		/* the previous owner sent the ACK; the response is separate */
		pending->confirmable = true;
		pending->acknowledged = true;
		pending->replica_deadline = 0;
	}
	return view;
}

void pl_view_close(pl_view_t *view)
{
	pl_view_table_t *table = view->table;

	if (view->backup)
		pl_view_claim_queue(table, view->backup, &view->key, 0,
				    view->sequence);
	if (view->offer)
		pl_view_claim_queue(
			table, view->offer->receiver, &view->key, 0,
			pl_view_sequence_add(view->sequence,
					     2 * PL_VIEW_HANDOVER_ADVANCE));
	pl_view_delete(view);
}

void pl_view_delete(pl_view_t *view)
{
	pl_view_table_t *table = view->table;

	pl_view_delivery_end(view);
	pl_view_pending_end(view);
	pl_view_handover_cancel(view);
	pl_list_remove(&view->replicate_link);
	g_hash_table_remove(table->views, view);
	pl_list_remove(&view->resource_link);
	pl_list_remove(&view->caller_link);
	pl_view_resource_put(view->resource);
	pl_view_caller_put(table, view->caller);
	if (view->sent)
		pl_view_content_put(view->sent);
	g_free(view);
}

size_t pl_view_count(const pl_view_table_t *table)
{
	return g_hash_table_size(table->views);
}

/*
 * Wall-clock time in ticks. The clocks of the agents of a service are expected
 * to be close, so that Observe values of different owners are comparable.
 */
static uint64_t clock_ticks_(const pl_view_table_t *table)
{
	uint64_t ms = (uint64_t)table->params.unix_time_s * MS_PER_S +
		      pl_view_now(table);

	return ms * PL_VIEW_TICKS_PER_S / MS_PER_S;
}

uint32_t pl_view_sequence_clock(const pl_view_table_t *table)
{
	return (uint32_t)clock_ticks_(table) & PL_VIEW_SEQUENCE_MASK;
}

bool pl_view_sequence_newer(uint32_t a, uint32_t b)
{
	uint32_t distance = (a - b) & PL_VIEW_SEQUENCE_MASK;

	return distance != 0 && distance < SEQUENCE_HALF;
}

uint32_t pl_view_sequence_next(pl_view_t *view)
{
	uint32_t next = (view->sequence + 1) & PL_VIEW_SEQUENCE_MASK;
	uint32_t clock = pl_view_sequence_clock(view->table);

	if (pl_view_sequence_newer(clock, next))
		next = clock;
	if (PL_INVARIANT(pl_view_sequence_newer(next, view->sequence),
			 "Observe value decreased from %u to %u",
			 view->sequence, next))
		view->sequence = next;
	/* a recovery starts PL_VIEW_RECOVERY_ADVANCE after replica and clock;
	 * replicate before the Observe value can reach that */
	if (pl_view_sequence_newer(
		    next, pl_view_sequence_add(clock, REPLICA_LAG_MAX)) &&
	    pl_view_sequence_newer(
		    next, pl_view_sequence_add(view->replicated_sequence,
					       REPLICA_LAG_MAX)))
		pl_view_replicate_later(view);
	return view->sequence;
}

uint16_t pl_view_mid_next(pl_view_table_t *table, pl_view_caller_t *caller)
{
	pl_ms_t now = pl_view_now(table);
	uint16_t clock = (uint16_t)(clock_ticks_(table) & MID_MASK);
	uint16_t next = (caller->mid + 1) & MID_MASK;
	uint16_t ahead = (uint16_t)(clock - next) & MID_MASK;
	bool idle = caller->mid == 0 || now - caller->mid_at > MID_LIFETIME_MS;

	if (idle || ahead < MID_HALF)
		next = clock;
	caller->mid = next | MID_FLAG;
	caller->mid_at = now;
	return caller->mid;
}

/*
 * Claims a newly registered view that another agent owns or owned: raises the
 * Observe value above that of the other owner and queues the claim for it.
 */
static void take_ownership_(pl_view_t *view)
{
	pl_view_table_t *table = view->table;
	pl_view_replica_t *replica = pl_view_replica_find(table, &view->key);
	pl_view_redirect_t *redirect = pl_view_redirect_find(table, &view->key);

	if (replica) {
		if (pl_view_sequence_newer(replica->record.sequence,
					   view->sequence))
			view->sequence = replica->record.sequence;
		view->sequence = pl_view_sequence_add(view->sequence,
						      PL_VIEW_RECOVERY_ADVANCE);
		pl_view_claim_queue(table, replica->owner->agent, &view->key,
				    table->params.self, view->sequence);
		pl_view_replica_remove(table, replica);
	}
	if (redirect) {
		if (pl_view_sequence_newer(redirect->sequence, view->sequence))
			view->sequence = redirect->sequence;
		view->sequence = pl_view_sequence_add(view->sequence,
						      PL_VIEW_HANDOVER_ADVANCE);
		pl_view_claim_queue(table, redirect->owner, &view->key,
				    table->params.self, view->sequence);
		pl_view_redirect_remove(table, redirect);
	}
}

/*
 * Replaces a view whose token was registered again for another resource. The
 * Observe value continues to increase.
 */
static pl_view_t *replace_view_(pl_view_t *view, const pl_coap_msg_t *msg)
{
	pl_view_table_t *table = view->table;
	pl_view_key_t key = view->key;
	uint32_t sequence = pl_view_sequence_add(view->sequence,
						 2 * PL_VIEW_HANDOVER_ADVANCE);

	pl_view_close(view);
	view = pl_view_new(table, &key, msg->path, msg->query);
	view->sequence = sequence;
	return view;
}

void pl_view_register(pl_view_table_t *table, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg)
{
	pl_view_key_t key;
	pl_view_t *view;
	bool full = false;

	pl_view_key_set(&key, &forward->flow.caller, msg->token,
			msg->token_len);
	view = pl_view_lookup(table, &key);
	if (!view) {
		full = pl_view_count(table) >= PL_VIEW_MAX;
		view = pl_view_new(table, &key, msg->path, msg->query);
		take_ownership_(view);
		pl_counter_add(PL_COUNTER_VIEWS_OPENED, 1);
	} else if (strcmp(view->resource->path, msg->path) != 0 ||
		   strcmp(view->resource->query, msg->query) != 0) {
		view = replace_view_(view, msg);
	}
	view->address = forward->flow.address;
	pl_view_mark_heard(view, forward->entry);
	view->accept = msg->accept;
	if (full)
		pl_view_resource_detach(view, PL_COAP_UNAVAILABLE);
	pl_view_pending_request(view, msg);
}

pl_view_verdict_t pl_view_find(const pl_view_table_t *table,
			       const pl_addr_t *caller, pl_member_id_t *next)
{
	const pl_view_caller_t *known = pl_view_caller_find(table, caller);

	*next = 0;
	if (!known)
		return PL_VIEW_UNKNOWN;
	if (!pl_list_empty(&known->views))
		return PL_VIEW_HANDLED;
	*next = pl_view_caller_owner(table, known);
	return *next ? PL_VIEW_MOVED : PL_VIEW_UNKNOWN;
}

pl_view_verdict_t pl_view_deregister(pl_view_table_t *table,
				     const pl_forward_t *forward,
				     const pl_coap_msg_t *msg,
				     pl_member_id_t *next)
{
	pl_view_key_t key;
	pl_view_t *view;

	pl_view_key_set(&key, &forward->flow.caller, msg->token,
			msg->token_len);
	view = pl_view_lookup(table, &key);
	if (!view)
		return pl_view_find(table, &forward->flow.caller, next);
	*next = 0;
	pl_counter_add(PL_COUNTER_VIEWS_CLOSED, 1);
	pl_view_close(view);
	return PL_VIEW_HANDLED;
}
