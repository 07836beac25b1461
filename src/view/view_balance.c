/**
 * @file
 * Moves views to their callers' homes after the endpoints changed.
 *
 * A drain hands the views of an agent to other agents, and the agent that
 * replaces it starts without views. Once the endpoints have not changed for
 * ENDPOINTS_STABLE_MS, every owner hands a few views per second to their
 * callers' homes. A roll-out therefore does not leave the load on some
 * endpoints, and no change moves many views at once.
 */
#include "private/view_private.h"

/** Time without a change of the endpoints before views are moved. */
#define ENDPOINTS_STABLE_MS 10000
#define BALANCE_INTERVAL_MS 1000
#define VIEWS_PER_INTERVAL 10

/* Whether the home of the view's caller is another, serving agent. */
static bool homed_elsewhere_(const pl_view_t *view,
			     const pl_route_service_t *service)
{
	const pl_endpoint_t *home =
		pl_placement_home(service, &view->key.caller);

	return home && home->agent != view->table->params.self;
}

static void balance_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_table_t *table = ctx;
	const pl_route_service_t *service = pl_view_service(table);
	GHashTableIter iter;
	gpointer key;
	unsigned int moved = 0;

	if (!service || table->evacuating)
		return;
	g_hash_table_iter_init(&iter, table->views);
	while (moved < VIEWS_PER_INTERVAL &&
	       g_hash_table_iter_next(&iter, &key, NULL)) {
		pl_view_t *view = key;

		if (view->pending || !pl_list_empty(&view->move_link) ||
		    !homed_elsewhere_(view, service))
			continue;
		pl_view_handover_later(view);
		moved++;
	}
	/* when all views are at home, wait for the next endpoint change */
	if (moved > 0)
		pl_timer_arm(table->timers, timer, now + BALANCE_INTERVAL_MS);
}

void pl_view_balance_init(pl_view_table_t *table)
{
	pl_timer_init(&table->balance_timer, balance_fire_, table);
}

void pl_view_balance_finish(pl_view_table_t *table)
{
	pl_timer_cancel(table->timers, &table->balance_timer);
}

void pl_view_balance_later(pl_view_table_t *table)
{
	pl_timer_arm(table->timers, &table->balance_timer,
		     pl_view_now(table) + ENDPOINTS_STABLE_MS);
}
