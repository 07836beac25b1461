/**
 * @file
 * Replication of views to the next-ranked agent.
 *
 * The record of a view is replicated when the view opens, changes its owner or
 * gets another backup, but not with every notification. That suffices, because
 * the agent that recovers a view sends the present state of the resource with
 * an Observe value increased by PL_VIEW_RECOVERY_ADVANCE.
 */
#include "private/view_private.h"

#include <limits.h>

/** Time for which records and claims are collected before they are sent. */
#define FLUSH_MS 200
/** Collection time when the response to a registration waits for a replica. */
#define REGISTRATION_FLUSH_MS 5
/**
 * Maximum number of records sent per flush, which spreads the traffic after a
 * large change over several flushes.
 */
#define FLUSH_RECORDS_MAX 100
/** Delay until records that could not be delivered are sent again. */
#define REPLICA_RETRY_MS 1000

static void flush_outgoing_(pl_view_table_t *table, unsigned int max);

static void flush_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	flush_outgoing_(ctx, FLUSH_RECORDS_MAX);
}

void pl_view_replica_init(pl_view_table_t *table)
{
	pl_list_init(&table->to_replicate);
	pl_timer_init(&table->flush_timer, flush_fire_, table);
	table->replicas = g_hash_table_new(pl_view_key_hash, pl_view_key_equal);
	table->owners = g_hash_table_new(pl_view_id_hash, g_int64_equal);
}

void pl_view_replica_finish(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer replica;

	g_hash_table_iter_init(&iter, table->replicas);
	while (g_hash_table_iter_next(&iter, &replica, NULL)) {
		pl_view_replica_remove(table, replica);
		g_hash_table_iter_init(&iter, table->replicas);
	}
	pl_timer_cancel(table->timers, &table->flush_timer);
	g_hash_table_destroy(table->replicas);
	g_hash_table_destroy(table->owners);
}

pl_view_replica_t *pl_view_replica_find(const pl_view_table_t *table,
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
			       const pl_view_claim_t *claim)
{
	pl_member_id_t owner = replica->owner->agent;

	if (owner != peer && pl_view_reachable(table, owner))
		pl_view_claim_queue(table, owner, &claim->key, claim->owner,
				    claim->sequence);
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
	/* notifications do not update the replica, so the ETag would be old */
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

void pl_view_replicate_later(pl_view_t *view)
{
	if (pl_list_empty(&view->replicate_link))
		pl_list_append(&view->table->to_replicate,
			       &view->replicate_link);
	pl_view_flush_later(view->table);
}

void pl_view_replicate_soon(pl_view_t *view)
{
	pl_view_table_t *table = view->table;
	pl_ms_t due = pl_view_now(table) + REGISTRATION_FLUSH_MS;

	if (pl_list_empty(&view->replicate_link))
		pl_list_append(&table->to_replicate, &view->replicate_link);
	if (!pl_timer_armed(&table->flush_timer) ||
	    table->flush_timer.due > due)
		pl_timer_arm(table->timers, &table->flush_timer, due);
}

/* Agent that should keep the replica of @p view, or NULL. */
static const pl_endpoint_t *choose_backup_(const pl_view_t *view)
{
	const pl_route_service_t *service = pl_view_service(view->table);
	const pl_endpoint_t *backup = NULL;

	if (service)
		pl_placement_rank(service, &view->key.caller, PL_RANK_SERVING,
				  view->table->params.self, &backup, 1);
	return backup;
}

bool pl_view_replica_missing(const pl_view_t *view)
{
	return !view->replica_confirmed && choose_backup_(view);
}

/* Records collected for one agent. */
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
	if (batch->message.records->len < PL_VIEW_BATCH_MAX)
		return;
	g_hash_table_remove(batches, batch);
	batch_send_(table, batch);
}

static void replicate_view_(pl_view_table_t *table, GHashTable *batches,
			    pl_view_t *view)
{
	const pl_endpoint_t *backup = choose_backup_(view);
	pl_member_id_t agent = backup ? backup->agent : 0;

	if (view->backup && view->backup != agent)
		pl_view_replica_release(view);
	if (view->backup != agent)
		view->replica_confirmed = false;
	view->backup = agent;
	view->backup_boot = backup ? backup->boot : 0;
	view->replicated_sequence = view->sequence;
	if (backup)
		batch_add_(table, batches, agent, view);
}

/* Sends at most @p max records, and all claims. */
static void flush_outgoing_(pl_view_table_t *table, unsigned int max)
{
	GHashTable *batches = g_hash_table_new(pl_view_id_hash, g_int64_equal);
	GHashTableIter iter;
	gpointer batch;
	pl_list_t *first;

	/* claims first: a closed view may have been opened again since */
	pl_view_claim_flush(table);
	for (; max > 0; max--) {
		first = pl_list_first(&table->to_replicate);
		if (!first)
			break;
		pl_list_remove(first);
		replicate_view_(
			table, batches,
			PL_CONTAINER_OF(first, pl_view_t, replicate_link));
	}
	g_hash_table_iter_init(&iter, batches);
	while (g_hash_table_iter_next(&iter, &batch, NULL))
		batch_send_(table, batch);
	g_hash_table_destroy(batches);
	pl_view_claim_flush(table);
	if (pl_list_empty(&table->to_replicate))
		pl_timer_cancel(table->timers, &table->flush_timer);
	else
		pl_view_flush_later(table);
}

void pl_view_flush(pl_view_table_t *table)
{
	flush_outgoing_(table, UINT_MAX);
}

void pl_view_replica_send_failed(pl_view_table_t *table, pl_member_id_t peer,
				 const pl_view_message_t *message)
{
	for (guint i = 0; i < message->records->len; i++) {
		const pl_view_record_t *record =
			&g_array_index(message->records, pl_view_record_t, i);
		pl_view_t *view = pl_view_lookup(table, &record->key);

		if (!view || view->backup != peer)
			continue;
		view->backup = 0;
		if (pl_list_empty(&view->replicate_link))
			pl_list_append(&table->to_replicate,
				       &view->replicate_link);
	}
	if (!pl_list_empty(&table->to_replicate) &&
	    !pl_timer_armed(&table->flush_timer))
		pl_timer_arm(table->timers, &table->flush_timer,
			     pl_view_now(table) + REPLICA_RETRY_MS);
}

/* Acknowledges the replicas for which registrations at the owner wait. */
static void confirm_replicas_(pl_view_table_t *table, pl_member_id_t peer,
			      const pl_view_message_t *copy)
{
	pl_view_message_t message;

	pl_view_message_init(&message);
	for (guint i = 0; i < copy->records->len; i++) {
		const pl_view_record_t *record =
			&g_array_index(copy->records, pl_view_record_t, i);
		const pl_view_replica_t *replica =
			pl_view_replica_find(table, &record->key);
		const pl_view_claim_t claim = { .key = record->key,
						.owner = peer,
						.sequence = record->sequence };

		if (record->pending && replica && replica->owner->agent == peer)
			g_array_append_val(message.claims, claim);
	}
	if (message.claims->len > 0)
		pl_view_send(table, peer, PL_PEER_VIEW_COPIED, &message);
	pl_view_message_finish(&message);
}

void pl_view_receive_copied(pl_view_table_t *table, pl_member_id_t peer,
			    const pl_view_message_t *message)
{
	for (guint i = 0; i < message->claims->len; i++) {
		const pl_view_claim_t *claim =
			&g_array_index(message->claims, pl_view_claim_t, i);
		pl_view_t *view = pl_view_lookup(table, &claim->key);

		if (!view)
			continue;
		if (view->backup == peer)
			view->replica_confirmed = true;
		/* a former backup that acknowledges still keeps the replica */
		if (view->pending)
			view->pending->replica_deadline = 0;
		pl_view_update(view);
	}
}

static void store_replicas_(pl_view_table_t *table, pl_member_id_t peer,
			    const pl_view_message_t *message)
{
	for (guint i = 0; i < message->records->len; i++) {
		const pl_view_record_t *record =
			&g_array_index(message->records, pl_view_record_t, i);
		pl_view_replica_t *replica;
		pl_view_claim_t claim = { .key = record->key,
					  .owner = peer,
					  .sequence = record->sequence };

		if (!pl_view_claim_resolve(table, peer, &claim, false) ||
		    pl_view_lookup(table, &record->key))
			continue;
		replica = pl_view_replica_find(table, &record->key);
		if (replica && replica->owner->agent != peer &&
		    pl_view_claim_wins(replica->record.sequence,
				       replica->owner->agent, claim.sequence,
				       peer)) {
			pl_view_claim_queue(table, peer, &record->key,
					    replica->owner->agent,
					    replica->record.sequence);
			continue;
		}
		if (replica)
			pl_view_replica_supersede(table, replica, peer, &claim);
		replica_add_(table, peer, message->boot, record);
	}
}

void pl_view_receive_copy(pl_view_table_t *table, pl_member_id_t peer,
			  const pl_view_message_t *message)
{
	store_replicas_(table, peer, message);
	confirm_replicas_(table, peer, message);
}

void pl_view_replica_reassign(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pl_view_t *view = key;
		const pl_endpoint_t *backup = choose_backup_(view);
		pl_member_id_t agent = backup ? backup->agent : 0;
		uint64_t boot = backup ? backup->boot : 0;

		if (view->backup != agent || view->backup_boot != boot)
			pl_view_replicate_later(view);
	}
}

void pl_view_rejoin(pl_view_table_t *table, uint64_t boot)
{
	GHashTableIter iter;
	gpointer view;

	table->params.boot = boot;
	/* a backup answers with a claim for each view that it or another agent
	 * has taken over */
	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &view, NULL))
		pl_view_replicate_later(view);
	pl_view_flush(table);
}
