/**
 * @file
 * Records of open views, and look-up by caller and token.
 */
#include "private/view_private.h"

#include <assert.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <pimentolift/hash.h>
#include <string.h>

#define MS_PER_S 1000
#define SEQUENCE_HALF (1u << 23)
/** Message IDs of notifications: 15 bits below a bit that is set. */
#define MID_FLAG 0x8000
#define MID_MASK 0x7fff
#define MID_HALF 0x4000
/** A message ID is not used twice within this time (RFC 7252 section 4.8). */
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

static guint number_hash_(gconstpointer number)
{
	return (guint)pl_hash(number, sizeof(uint64_t), 0);
}

void pl_view_key_set(pl_view_key_t *key, const pl_addr_t *caller,
		     const uint8_t *token, size_t token_len)
{
	assert(token_len <= PL_COAP_TOKEN_MAX);
	memset(key, 0, sizeof(*key));
	key->caller = *caller;
	key->token_len = (uint8_t)token_len;
	memcpy(key->token, token, token_len);
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
	table->subscriptions = g_hash_table_new(number_hash_, g_int64_equal);
	return table;
}

void pl_view_table_delete(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer view;

	if (!table)
		return;
	/* views hold the callers and resources, which go with the last one */
	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &view, NULL)) {
		pl_view_delete(view);
		g_hash_table_iter_init(&iter, table->views);
	}
	g_hash_table_destroy(table->subscriptions);
	g_hash_table_destroy(table->resources);
	g_hash_table_destroy(table->views);
	g_hash_table_destroy(table->callers);
	g_free(table);
}

void pl_view_set_routing(pl_view_table_t *table, const pl_routing_t *routing,
			 pl_service_id_t service)
{
	table->routing = routing;
	table->service_id = service;
}

pl_view_caller_t *pl_view_caller_find(const pl_view_table_t *table,
				      const pl_addr_t *addr)
{
	return g_hash_table_lookup(table->callers, addr);
}

static pl_view_caller_t *caller_get_(pl_view_table_t *table,
				     const pl_addr_t *addr)
{
	pl_view_caller_t *caller = pl_view_caller_find(table, addr);

	if (caller)
		return caller;
	caller = g_new0(pl_view_caller_t, 1);
	caller->addr = *addr;
	pl_list_init(&caller->views);
	pl_list_init(&caller->deliveries);
	g_hash_table_add(table->callers, caller);
	return caller;
}

static void caller_put_(pl_view_table_t *table, pl_view_caller_t *caller)
{
	if (!pl_list_empty(&caller->views))
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
	view->caller = caller_get_(table, &key->caller);
	pl_list_append(&view->caller->views, &view->caller_link);
	view->resource = pl_view_resource_get(table, path, query);
	pl_list_append(&view->resource->views, &view->resource_link);
	PL_INVARIANT(!pl_view_lookup(table, key), "two records of one view");
	g_hash_table_add(table->views, view);
	return view;
}

void pl_view_delete(pl_view_t *view)
{
	pl_view_table_t *table = view->table;

	pl_view_delivery_end(view);
	pl_view_pending_end(view);
	g_hash_table_remove(table->views, view);
	pl_list_remove(&view->resource_link);
	pl_list_remove(&view->caller_link);
	pl_view_resource_put(view->resource);
	caller_put_(table, view->caller);
	if (view->sent)
		pl_view_content_put(view->sent);
	g_free(view);
}

size_t pl_view_count(const pl_view_table_t *table)
{
	return g_hash_table_size(table->views);
}

/* Ticks of the wall clock; agents of one service stand close together. */
static uint64_t ticks_(const pl_view_table_t *table)
{
	uint64_t ms = (uint64_t)table->params.unix_time_s * MS_PER_S +
		      pl_view_now(table);

	return ms * PL_VIEW_TICKS_PER_S / MS_PER_S;
}

uint32_t pl_view_sequence_clock(const pl_view_table_t *table)
{
	return (uint32_t)ticks_(table) & PL_VIEW_SEQUENCE_MASK;
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
			 "Observe value fell from %u to %u", view->sequence,
			 next))
		view->sequence = next;
	return view->sequence;
}

uint16_t pl_view_mid_next(pl_view_table_t *table, pl_view_caller_t *caller)
{
	pl_ms_t now = pl_view_now(table);
	uint16_t clock = (uint16_t)(ticks_(table) & MID_MASK);
	uint16_t next = (caller->mid + 1) & MID_MASK;
	uint16_t ahead = (uint16_t)(clock - next) & MID_MASK;
	bool idle = caller->mid == 0 || now - caller->mid_at > MID_LIFETIME_MS;

	if (idle || ahead < MID_HALF)
		next = clock;
	caller->mid = next | MID_FLAG;
	caller->mid_at = now;
	return caller->mid;
}

void pl_view_register(pl_view_table_t *table, const pl_forward_t *forward,
		      const pl_coap_msg_t *msg)
{
	pl_view_key_t key;
	pl_view_t *view;

	pl_view_key_set(&key, &forward->flow.caller, msg->token,
			msg->token_len);
	view = pl_view_lookup(table, &key);
	if (view && (strcmp(view->resource->path, msg->path) != 0 ||
		     strcmp(view->resource->query, msg->query) != 0)) {
		/* the token stands for another resource now */
		pl_view_delete(view);
		view = NULL;
	}
	if (!view) {
		view = pl_view_new(table, &key, msg->path, msg->query);
		pl_counter_add(PL_COUNTER_VIEWS_OPENED, 1);
	}
	view->address = forward->flow.address;
	view->entry = forward->entry;
	view->accept = msg->accept;
	pl_view_pend(view, msg);
}

pl_view_verdict_t pl_view_find(const pl_view_table_t *table,
			       const pl_addr_t *caller, pl_member_id_t *next)
{
	*next = 0;
	return pl_view_caller_find(table, caller) ? PL_VIEW_HANDLED :
						    PL_VIEW_UNKNOWN;
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
	pl_counter_add(PL_COUNTER_VIEWS_CLOSED, 1);
	pl_view_delete(view);
	return PL_VIEW_HANDLED;
}
