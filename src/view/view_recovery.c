/**
 * @file
 * Recovery of views from replicas, after their owner has failed, restarted or
 * become unreachable.
 */
#include "private/view_private.h"

#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/** Views of an owner that is unreachable for this long are recovered. */
#define UNREACHABLE_GRACE_MS 3000

static bool agent_unreachable_(const pl_view_table_t *table,
			       pl_member_id_t agent)
{
	const pl_endpoint_t *endpoint = NULL;

	if (table->routing)
		endpoint = pl_routing_endpoint(table->routing, agent);
	return endpoint && endpoint->state == PL_ENDPOINT_UNREACHABLE;
}

/*
 * Takes over the view of a failed owner. If the caller's home is another agent,
 * the view is then handed over to it.
 */
static void recover_view_(pl_view_table_t *table, pl_view_replica_t *replica)
{
	const pl_route_service_t *service = pl_view_service(table);
	pl_member_id_t dead = replica->owner->agent;
	const pl_endpoint_t *home = NULL;
	pl_view_record_t record = replica->record;
	pl_view_redirect_t *redirect;
	pl_view_t *view;

	g_ref_string_acquire((char *)record.path);
	g_ref_string_acquire((char *)record.query);
	pl_view_replica_remove(table, replica);
	redirect = pl_view_redirect_find(table, &record.key);
	if (redirect)
		pl_view_redirect_remove(table, redirect);
	view = pl_view_restore(table, &record, PL_VIEW_RECOVERY_ADVANCE);
	if (agent_unreachable_(table, dead))
		view->previous_owner = dead;
	g_ref_string_release((char *)record.path);
	g_ref_string_release((char *)record.query);
	pl_counter_add(PL_COUNTER_VIEWS_RECOVERED, 1);
	if (service)
		pl_placement_rank(service, &view->key.caller, PL_RANK_SERVING,
				  dead, &home, 1);
	if (home && home->agent != table->params.self)
		pl_view_handover_later(view);
	pl_view_update(view);
}

/*
 * Recovers the views of @p agent that its run @p boot replicated; 0 stands for
 * any run.
 */
static void recover_views_of_(pl_view_table_t *table, pl_member_id_t agent,
			      uint64_t boot)
{
	pl_view_owner_t *owner = g_hash_table_lookup(table->owners, &agent);
	GPtrArray *failed;

	if (!owner)
		return;
	failed = g_ptr_array_new();
	pl_list_for_each(node, &owner->replicas) {
		pl_view_replica_t *replica =
			PL_CONTAINER_OF(node, pl_view_replica_t, owner_link);

		if (boot == 0 || replica->boot == boot)
			g_ptr_array_add(failed, replica);
	}
	if (failed->len > 0)
		pl_event(PL_EVENT_VIEWS_RECOVERED, "%u views", failed->len);
	/* removing the last replica frees the owner */
	for (guint i = 0; i < failed->len; i++)
		recover_view_(table, g_ptr_array_index(failed, i));
	g_ptr_array_free(failed, TRUE);
}

/*
 * Raises the Observe value of @p view because the agent that handed it over has
 * failed without confirming the acceptance. That agent may have claimed the
 * view again with a newer Observe value, in which case the caller ignored the
 * notifications sent from here since.
 */
static void reassert_ownership_(pl_view_t *view)
{
	bool sent = view->sequence != view->handover_sequence;

	view->handover_sender = 0;
	view->sequence =
		pl_view_sequence_add(view->sequence, PL_VIEW_RECOVERY_ADVANCE);
	if (sent)
		pl_view_resend(view);
}

/* Removes the references of all views to the failed @p agent. */
static void drop_agent_(pl_view_table_t *table, pl_member_id_t agent)
{
	GPtrArray *handed_over = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pl_view_t *view = key;

		if (view->handover_sender == agent)
			g_ptr_array_add(handed_over, view);
		if (view->previous_owner == agent)
			view->previous_owner = 0;
		if (view->backup != agent)
			continue;
		view->backup = 0;
		pl_view_replicate_later(view);
	}
	/* resending may free a view, so it cannot be done while iterating */
	for (guint i = 0; i < handed_over->len; i++)
		reassert_ownership_(g_ptr_array_index(handed_over, i));
	g_ptr_array_free(handed_over, TRUE);
}

void pl_view_peer_boot_ended(pl_view_table_t *table, pl_member_id_t agent,
			     uint64_t boot)
{
	pl_view_offers_withdraw(table, agent);
	drop_agent_(table, agent);
	recover_views_of_(table, agent, boot);
	pl_view_handover_send_offers(table);
}

/*
 * The owners as an array, since recovering the views of an owner removes it
 * from the hash table.
 */
static GPtrArray *list_owners_(const pl_view_table_t *table)
{
	GPtrArray *owners = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table->owners);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(owners, key);
	return owners;
}

/*
 * Recovers the views of unreachable owners. Such an owner may continue to serve
 * the callers that it reaches; the recovered views have newer Observe values.
 */
static void unreachable_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_table_t *table = ctx;
	GPtrArray *owners = list_owners_(table);

	for (guint i = 0; i < owners->len; i++) {
		pl_view_owner_t *owner = g_ptr_array_index(owners, i);

		if (agent_unreachable_(table, owner->agent))
			recover_views_of_(table, owner->agent, 0);
	}
	g_ptr_array_free(owners, TRUE);
	pl_view_handover_send_offers(table);
}

static void watch_unreachable_owners_(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table->owners);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pl_view_owner_t *owner = key;

		if (!pl_timer_armed(&table->unreachable_timer) &&
		    agent_unreachable_(table, owner->agent))
			pl_timer_arm(table->timers, &table->unreachable_timer,
				     pl_view_now(table) + UNREACHABLE_GRACE_MS);
	}
}

/* Recovers the views of owners that restarted without being declared dead. */
static void recover_restarted_(pl_view_table_t *table)
{
	GPtrArray *owners = list_owners_(table);

	for (guint i = 0; i < owners->len; i++) {
		pl_view_owner_t *owner = g_ptr_array_index(owners, i);
		const pl_endpoint_t *endpoint =
			pl_routing_endpoint(table->routing, owner->agent);
		uint64_t before = owner->boot;

		if (!endpoint || endpoint->boot == before)
			continue;
		owner->boot = endpoint->boot;
		if (before != 0)
			recover_views_of_(table, owner->agent, before);
	}
	g_ptr_array_free(owners, TRUE);
}

/* Sends the claim to the previous owner once that is reachable again. */
static void notify_previous_owner_(pl_view_t *view)
{
	if (view->previous_owner == 0 ||
	    !pl_view_reachable(view->table, view->previous_owner))
		return;
	pl_view_claim_queue(view->table, view->previous_owner, &view->key,
			    view->table->params.self, view->sequence);
	view->previous_owner = 0;
}

void pl_view_recovery_init(pl_view_table_t *table)
{
	pl_timer_init(&table->unreachable_timer, unreachable_fire_, table);
}

void pl_view_recovery_finish(pl_view_table_t *table)
{
	pl_timer_cancel(table->timers, &table->unreachable_timer);
}

void pl_view_recovery_check(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer view;

	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &view, NULL))
		notify_previous_owner_(view);
	recover_restarted_(table);
	watch_unreachable_owners_(table);
}
