/**
 * @file
 * Copies of views at the next-ranked agent, and recovery from them.
 *
 * A copy is sent when a view opens, changes hands or gets another holder,
 * not with every notification: whoever recovers a view sends its present
 * state with an Observe value far ahead.
 */
#include "private/view_private.h"

#include <assert.h>
#include <limits.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/** Copies and places gather for this long. */
#define FLUSH_MS 200
/** The same for a view whose caller waits for the copy. */
#define OPEN_FLUSH_MS 5
/** Copies sent at one flush; after a large change the rest follows. */
#define FLUSH_MAX 100
/** An owner that is cut off for this long is taken for gone. */
#define CUT_MS 3000
/** Wait before a copy that could not be delivered is sent again. */
#define FAILED_MS 1000

static void flush_(pl_view_table_t *table, unsigned int max);
static void cut_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now);

static void flush_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	flush_(ctx, FLUSH_MAX);
}

void pl_view_copy_init(pl_view_table_t *table)
{
	pl_list_init(&table->to_copy);
	pl_timer_init(&table->flush_timer, flush_fire_, table);
	pl_timer_init(&table->cut_timer, cut_fire_, table);
	table->replicas = g_hash_table_new(pl_view_key_hash, pl_view_key_equal);
	table->owners = g_hash_table_new(pl_view_number_hash, g_int64_equal);
}

void pl_view_copy_finish(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer replica;

	g_hash_table_iter_init(&iter, table->replicas);
	while (g_hash_table_iter_next(&iter, &replica, NULL)) {
		pl_view_replica_remove(table, replica);
		g_hash_table_iter_init(&iter, table->replicas);
	}
	pl_timer_cancel(table->timers, &table->flush_timer);
	pl_timer_cancel(table->timers, &table->cut_timer);
	g_hash_table_destroy(table->replicas);
	g_hash_table_destroy(table->owners);
}

pl_view_replica_t *pl_view_replica(const pl_view_table_t *table,
				   const pl_view_key_t *key)
{
	return g_hash_table_lookup(table->replicas, key);
}

static void owner_put_(pl_view_table_t *table, pl_view_owner_t *owner)
{
	if (!pl_list_empty(&owner->replicas))
		return;
	g_hash_table_remove(table->owners, owner);
	g_free(owner);
}

static pl_view_owner_t *owner_get_(pl_view_table_t *table, pl_member_id_t agent)
{
	pl_view_owner_t *owner = g_hash_table_lookup(table->owners, &agent);
	const pl_endpoint_t *endpoint;

	if (owner)
		return owner;
	owner = g_new0(pl_view_owner_t, 1);
	owner->agent = agent;
	pl_list_init(&owner->replicas);
	if (table->routing) {
		endpoint = pl_routing_endpoint(table->routing, agent);
		owner->boot = endpoint ? endpoint->boot : 0;
	}
	g_hash_table_add(table->owners, owner);
	return owner;
}

void pl_view_replica_remove(pl_view_table_t *table, pl_view_replica_t *replica)
{
	g_hash_table_remove(table->replicas, replica);
	pl_list_remove(&replica->owner_link);
	owner_put_(table, replica->owner);
	pl_list_remove(&replica->caller_link);
	pl_view_caller_put(table, replica->caller);
	g_ref_string_release((char *)replica->record.path);
	g_ref_string_release((char *)replica->record.query);
	g_free(replica);
}

void pl_view_replica_supersede(pl_view_table_t *table,
			       pl_view_replica_t *replica, pl_member_id_t peer,
			       const pl_view_place_t *place)
{
	pl_member_id_t owner = replica->owner->agent;

	if (owner != peer && pl_view_reachable(table, owner))
		pl_view_tell(table, owner, &place->key, place->owner,
			     place->sequence);
	pl_view_replica_remove(table, replica);
}

static void replica_add_(pl_view_table_t *table, pl_member_id_t agent,
			 uint64_t boot, const pl_view_record_t *record)
{
	pl_view_replica_t *replica = g_new0(pl_view_replica_t, 1);

	replica->key = record->key;
	replica->record = *record;
	replica->record.path = g_ref_string_new_intern(record->path);
	replica->record.query = g_ref_string_new_intern(record->query);
	/* the content that the caller has is not kept up to date */
	replica->record.etag = 0;
	replica->boot = boot;
	replica->owner = owner_get_(table, agent);
	pl_list_append(&replica->owner->replicas, &replica->owner_link);
	replica->caller = pl_view_caller_get(table, &record->key.caller);
	pl_list_append(&replica->caller->replicas, &replica->caller_link);
	g_hash_table_add(table->replicas, replica);
}

void pl_view_flush_later(pl_view_table_t *table)
{
	if (!pl_timer_armed(&table->flush_timer))
		pl_timer_arm(table->timers, &table->flush_timer,
			     pl_view_now(table) + FLUSH_MS);
}

void pl_view_copy_later(pl_view_t *view)
{
	if (pl_list_empty(&view->copy_link))
		pl_list_append(&view->table->to_copy, &view->copy_link);
	pl_view_flush_later(view->table);
}

void pl_view_copy_soon(pl_view_t *view)
{
	pl_view_table_t *table = view->table;
	pl_ms_t due = pl_view_now(table) + OPEN_FLUSH_MS;

	if (pl_list_empty(&view->copy_link))
		pl_list_append(&table->to_copy, &view->copy_link);
	if (!pl_timer_armed(&table->flush_timer) ||
	    table->flush_timer.due > due)
		pl_timer_arm(table->timers, &table->flush_timer, due);
}

/* Agent that should hold the copy of @p view, or NULL. */
static const pl_endpoint_t *holder_(const pl_view_t *view)
{
	const pl_route_service_t *service = pl_view_service(view->table);
	const pl_endpoint_t *holder = NULL;

	if (service)
		pl_placement_rank(service, &view->key.caller, PL_RANK_SERVING,
				  view->table->params.self, &holder, 1);
	return holder;
}

bool pl_view_copy_missing(const pl_view_t *view)
{
	return !view->replicated && holder_(view);
}

/* Copies gathered for one agent. */
typedef struct {
	pl_member_id_t agent;
	pl_view_message_t message;
} batch_t;

static void batch_send_(pl_view_table_t *table, batch_t *batch)
{
	pl_view_send(table, batch->agent, PL_PEER_VIEW_COPY, &batch->message);
	pl_view_message_finish(&batch->message);
	g_free(batch);
}

static void batch_add_(pl_view_table_t *table, GHashTable *batches,
		       pl_member_id_t agent, const pl_view_t *view)
{
	batch_t *batch = g_hash_table_lookup(batches, &agent);
	pl_view_record_t record;

	if (!batch) {
		batch = g_new0(batch_t, 1);
		batch->agent = agent;
		pl_view_message_init(&batch->message);
		g_hash_table_add(batches, batch);
	}
	pl_view_record_fill(view, &record);
	record.etag = 0;
	g_array_append_val(batch->message.records, record);
	if (batch->message.records->len < PL_VIEW_BATCH)
		return;
	g_hash_table_remove(batches, batch);
	batch_send_(table, batch);
}

static void copy_(pl_view_table_t *table, GHashTable *batches, pl_view_t *view)
{
	const pl_endpoint_t *holder = holder_(view);
	pl_member_id_t agent = holder ? holder->agent : 0;

	if (view->replica && view->replica != agent)
		pl_view_release(view);
	if (view->replica != agent)
		view->replicated = false;
	view->replica = agent;
	view->replica_boot = holder ? holder->boot : 0;
	view->copied = view->sequence;
	if (holder)
		batch_add_(table, batches, agent, view);
}

/* Sends at most @p max copies, and all places. */
static void flush_(pl_view_table_t *table, unsigned int max)
{
	GHashTable *batches =
		g_hash_table_new(pl_view_number_hash, g_int64_equal);
	GHashTableIter iter;
	gpointer batch;
	pl_list_t *first;

	/* a view may have been closed and opened again since */
	pl_view_tell_flush(table);
	for (; max > 0; max--) {
		first = pl_list_first(&table->to_copy);
		if (!first)
			break;
		pl_list_remove(first);
		copy_(table, batches,
		      PL_CONTAINER_OF(first, pl_view_t, copy_link));
	}
	g_hash_table_iter_init(&iter, batches);
	while (g_hash_table_iter_next(&iter, &batch, NULL))
		batch_send_(table, batch);
	g_hash_table_destroy(batches);
	pl_view_tell_flush(table);
	if (pl_list_empty(&table->to_copy))
		pl_timer_cancel(table->timers, &table->flush_timer);
	else
		pl_view_flush_later(table);
}

void pl_view_flush(pl_view_table_t *table)
{
	flush_(table, UINT_MAX);
}

void pl_view_copy_failed(pl_view_table_t *table, pl_member_id_t peer,
			 const pl_view_message_t *message)
{
	for (guint i = 0; i < message->records->len; i++) {
		const pl_view_record_t *record =
			&g_array_index(message->records, pl_view_record_t, i);
		pl_view_t *view = pl_view_lookup(table, &record->key);

		if (!view || view->replica != peer)
			continue;
		view->replica = 0;
		if (pl_list_empty(&view->copy_link))
			pl_list_append(&table->to_copy, &view->copy_link);
	}
	if (!pl_list_empty(&table->to_copy) &&
	    !pl_timer_armed(&table->flush_timer))
		pl_timer_arm(table->timers, &table->flush_timer,
			     pl_view_now(table) + FAILED_MS);
}

/* Tells the owner which copies its callers wait for are kept here. */
static void confirm_copies_(pl_view_table_t *table, pl_member_id_t peer,
			    const pl_view_message_t *copy)
{
	pl_view_message_t message;

	pl_view_message_init(&message);
	for (guint i = 0; i < copy->records->len; i++) {
		const pl_view_record_t *record =
			&g_array_index(copy->records, pl_view_record_t, i);
		const pl_view_replica_t *replica =
			pl_view_replica(table, &record->key);
		const pl_view_place_t place = { .key = record->key,
						.owner = peer,
						.sequence = record->sequence };

		if (record->pending && replica && replica->owner->agent == peer)
			g_array_append_val(message.places, place);
	}
	if (message.places->len > 0)
		pl_view_send(table, peer, PL_PEER_VIEW_COPIED, &message);
	pl_view_message_finish(&message);
}

void pl_view_take_copied(pl_view_table_t *table, pl_member_id_t peer,
			 const pl_view_message_t *message)
{
	for (guint i = 0; i < message->places->len; i++) {
		const pl_view_place_t *place =
			&g_array_index(message->places, pl_view_place_t, i);
		pl_view_t *view = pl_view_lookup(table, &place->key);

		if (!view)
			continue;
		if (view->replica == peer)
			view->replicated = true;
		/* a holder that was replaced since has the copy still */
		if (view->pending)
			view->pending->copy_wait = 0;
		pl_view_update(view);
	}
}

static void take_copies_(pl_view_table_t *table, pl_member_id_t peer,
			 const pl_view_message_t *message)
{
	for (guint i = 0; i < message->records->len; i++) {
		const pl_view_record_t *record =
			&g_array_index(message->records, pl_view_record_t, i);
		pl_view_replica_t *replica;
		pl_view_place_t place = { .key = record->key,
					  .owner = peer,
					  .sequence = record->sequence };

		if (!pl_view_settle(table, peer, &place, false) ||
		    pl_view_lookup(table, &record->key))
			continue;
		replica = pl_view_replica(table, &record->key);
		if (replica && replica->owner->agent != peer &&
		    pl_view_claim_wins(replica->record.sequence,
				       replica->owner->agent, place.sequence,
				       peer)) {
			pl_view_tell(table, peer, &record->key,
				     replica->owner->agent,
				     replica->record.sequence);
			continue;
		}
		if (replica)
			pl_view_replica_supersede(table, replica, peer, &place);
		replica_add_(table, peer, message->boot, record);
	}
}

void pl_view_take_copy(pl_view_table_t *table, pl_member_id_t peer,
		       const pl_view_message_t *message)
{
	take_copies_(table, peer, message);
	confirm_copies_(table, peer, message);
}

static bool cut_off_(const pl_view_table_t *table, pl_member_id_t agent)
{
	const pl_endpoint_t *endpoint = NULL;

	if (table->routing)
		endpoint = pl_routing_endpoint(table->routing, agent);
	return endpoint && endpoint->state == PL_ENDPOINT_UNREACHABLE;
}

/* The owner failed: the view is served here, or where its caller's home is. */
static void recover_(pl_view_table_t *table, pl_view_replica_t *replica)
{
	const pl_route_service_t *service = pl_view_service(table);
	pl_member_id_t dead = replica->owner->agent;
	const pl_endpoint_t *home = NULL;
	pl_view_record_t record = replica->record;
	pl_view_tombstone_t *tombstone;
	pl_view_t *view;

	g_ref_string_acquire((char *)record.path);
	g_ref_string_acquire((char *)record.query);
	pl_view_replica_remove(table, replica);
	tombstone = pl_view_tombstone(table, &record.key);
	if (tombstone)
		pl_view_tombstone_remove(table, tombstone);
	view = pl_view_restore(table, &record, PL_VIEW_RECOVERY_STEP);
	if (cut_off_(table, dead))
		view->former = dead;
	g_ref_string_release((char *)record.path);
	g_ref_string_release((char *)record.query);
	pl_counter_add(PL_COUNTER_VIEWS_RECOVERED, 1);
	if (service)
		pl_placement_rank(service, &view->key.caller, PL_RANK_SERVING,
				  dead, &home, 1);
	if (home && home->agent != table->params.self)
		pl_view_move_later(view);
	pl_view_update(view);
}

/* Recovers the views that the life @p boot of @p agent served; 0 any. */
static void recover_all_(pl_view_table_t *table, pl_member_id_t agent,
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
	/* the owner's entry goes with its last replica */
	for (guint i = 0; i < failed->len; i++)
		recover_(table, g_ptr_array_index(failed, i));
	g_ptr_array_free(failed, TRUE);
}

/*
 * The agent that handed @p view over is gone and did not confirm that it
 * heard of the acceptance. It may have taken the lead again: what was sent
 * from here since then was old to the caller.
 */
static void lead_(pl_view_t *view)
{
	bool sent = view->sequence != view->taken;

	view->origin = 0;
	view->sequence =
		pl_view_sequence_add(view->sequence, PL_VIEW_RECOVERY_STEP);
	if (sent)
		pl_view_resend(view);
}

/* Looks through the views for what depended on @p agent. */
static void without_(pl_view_table_t *table, pl_member_id_t agent)
{
	GPtrArray *handed_over = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pl_view_t *view = key;

		if (view->origin == agent)
			g_ptr_array_add(handed_over, view);
		if (view->former == agent)
			view->former = 0;
		if (view->replica != agent)
			continue;
		view->replica = 0;
		pl_view_copy_later(view);
	}
	/* a view may end with what is sent */
	for (guint i = 0; i < handed_over->len; i++)
		lead_(g_ptr_array_index(handed_over, i));
	g_ptr_array_free(handed_over, TRUE);
}

void pl_view_peer_dead(pl_view_table_t *table, pl_member_id_t agent,
		       uint64_t boot)
{
	pl_view_offers_abandon(table, agent);
	without_(table, agent);
	recover_all_(table, agent, boot);
	pl_view_move_pump(table);
}

/* The owners as an array, since one goes with its last replica. */
static GPtrArray *owners_(const pl_view_table_t *table)
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
 * Owners that are cut off may go on serving whom they reach; the views that
 * are recovered here have the newer Observe values.
 */
static void cut_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_table_t *table = ctx;
	GPtrArray *owners = owners_(table);

	for (guint i = 0; i < owners->len; i++) {
		pl_view_owner_t *owner = g_ptr_array_index(owners, i);

		if (cut_off_(table, owner->agent))
			recover_all_(table, owner->agent, 0);
	}
	g_ptr_array_free(owners, TRUE);
	pl_view_move_pump(table);
}

static void watch_cut_off_(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table->owners);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pl_view_owner_t *owner = key;

		if (!pl_timer_armed(&table->cut_timer) &&
		    cut_off_(table, owner->agent))
			pl_timer_arm(table->timers, &table->cut_timer,
				     pl_view_now(table) + CUT_MS);
	}
}

/* Finds owners whose life ended although nobody declared them dead. */
static void recover_restarted_(pl_view_table_t *table)
{
	GPtrArray *owners = owners_(table);

	for (guint i = 0; i < owners->len; i++) {
		pl_view_owner_t *owner = g_ptr_array_index(owners, i);
		const pl_endpoint_t *endpoint =
			pl_routing_endpoint(table->routing, owner->agent);
		uint64_t before = owner->boot;

		if (!endpoint || endpoint->boot == before)
			continue;
		owner->boot = endpoint->boot;
		if (before != 0)
			recover_all_(table, owner->agent, before);
	}
	g_ptr_array_free(owners, TRUE);
}

/* The owner that was cut off is back: it hears who has the view now. */
static void tell_former_(pl_view_t *view)
{
	if (view->former == 0 || !pl_view_reachable(view->table, view->former))
		return;
	pl_view_tell(view->table, view->former, &view->key,
		     view->table->params.self, view->sequence);
	view->former = 0;
}

void pl_view_copy_reroute(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pl_view_t *view = key;
		const pl_endpoint_t *holder = holder_(view);
		pl_member_id_t agent = holder ? holder->agent : 0;
		uint64_t boot = holder ? holder->boot : 0;

		if (view->replica != agent || view->replica_boot != boot)
			pl_view_copy_later(view);
		tell_former_(view);
	}
	recover_restarted_(table);
	watch_cut_off_(table);
}

void pl_view_rejoin(pl_view_table_t *table, uint64_t boot)
{
	GHashTableIter iter;
	gpointer view;

	table->params.boot = boot;
	/* holders answer a copy of what they or others have taken over */
	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &view, NULL))
		pl_view_copy_later(view);
	pl_view_flush(table);
}
