/**
 * @file
 * Where views live that are not here, and what settles two claims to one.
 *
 * Every change of owner raises the Observe value of a view, so of two agents
 * that believe they own it the one with the newer value does, and the other
 * gives it up when it hears so. Callers apply the same rule to what reaches
 * them (RFC 7641 section 3.4).
 */
#include "private/view_private.h"

#include <assert.h>
#include <pimentolift/counter.h>

#define MS_PER_S 1000
/** How long a tombstone is kept. */
#define TOMBSTONE_MS (600 * MS_PER_S)

static void expire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_table_t *table = ctx;
	pl_list_t *first;

	while ((first = pl_list_first(&table->tombstones_by_age))) {
		pl_view_tombstone_t *tombstone =
			PL_CONTAINER_OF(first, pl_view_tombstone_t, age_link);

		if (tombstone->expires > now) {
			pl_timer_arm(table->timers, timer, tombstone->expires);
			return;
		}
		pl_view_tombstone_remove(table, tombstone);
	}
}

static void places_free_(gpointer places)
{
	g_array_free(places, TRUE);
}

void pl_view_place_init(pl_view_table_t *table)
{
	table->tombstones =
		g_hash_table_new(pl_view_key_hash, pl_view_key_equal);
	pl_list_init(&table->tombstones_by_age);
	pl_timer_init(&table->tombstone_timer, expire_, table);
	table->outbox = g_hash_table_new_full(
		pl_view_number_hash, g_int64_equal, g_free, places_free_);
}

void pl_view_place_finish(pl_view_table_t *table)
{
	pl_list_t *first;

	while ((first = pl_list_first(&table->tombstones_by_age)))
		pl_view_tombstone_remove(
			table,
			PL_CONTAINER_OF(first, pl_view_tombstone_t, age_link));
	pl_timer_cancel(table->timers, &table->tombstone_timer);
	g_hash_table_destroy(table->outbox);
	g_hash_table_destroy(table->tombstones);
}

bool pl_view_reachable(const pl_view_table_t *table, pl_member_id_t agent)
{
	const pl_endpoint_t *endpoint;

	if (!table->routing || agent == table->params.self)
		return false;
	endpoint = pl_routing_endpoint(table->routing, agent);
	return endpoint && endpoint->service == table->service_id &&
	       endpoint->state != PL_ENDPOINT_UNREACHABLE;
}

pl_view_tombstone_t *pl_view_tombstone(const pl_view_table_t *table,
				       const pl_view_key_t *key)
{
	return g_hash_table_lookup(table->tombstones, key);
}

void pl_view_tombstone_remove(pl_view_table_t *table,
			      pl_view_tombstone_t *tombstone)
{
	g_hash_table_remove(table->tombstones, tombstone);
	pl_list_remove(&tombstone->age_link);
	pl_list_remove(&tombstone->caller_link);
	pl_view_caller_put(table, tombstone->caller);
	g_free(tombstone);
}

static void tombstone_set_(pl_view_table_t *table, const pl_view_place_t *place)
{
	pl_view_tombstone_t *tombstone = pl_view_tombstone(table, &place->key);

	if (!tombstone) {
		tombstone = g_new0(pl_view_tombstone_t, 1);
		tombstone->key = place->key;
		tombstone->caller =
			pl_view_caller_get(table, &place->key.caller);
		pl_list_init(&tombstone->caller_link);
		pl_list_init(&tombstone->age_link);
		g_hash_table_add(table->tombstones, tombstone);
	}
	pl_list_remove(&tombstone->caller_link);
	pl_list_append(&tombstone->caller->tombstones, &tombstone->caller_link);
	pl_list_remove(&tombstone->age_link);
	pl_list_append(&table->tombstones_by_age, &tombstone->age_link);
	tombstone->next = place->owner;
	tombstone->sequence = place->sequence;
	tombstone->expires = pl_view_now(table) + TOMBSTONE_MS;
	if (!pl_timer_armed(&table->tombstone_timer))
		pl_timer_arm(table->timers, &table->tombstone_timer,
			     tombstone->expires);
}

pl_member_id_t pl_view_elsewhere(const pl_view_table_t *table,
				 const pl_view_caller_t *caller)
{
	for (pl_list_t *node = caller->tombstones.prev;
	     node != &caller->tombstones; node = node->prev) {
		const pl_view_tombstone_t *tombstone =
			PL_CONTAINER_OF(node, pl_view_tombstone_t, caller_link);

		if (pl_view_reachable(table, tombstone->next))
			return tombstone->next;
	}
	pl_list_for_each(node, &caller->replicas) {
		const pl_view_replica_t *replica =
			PL_CONTAINER_OF(node, pl_view_replica_t, caller_link);

		if (pl_view_reachable(table, replica->owner->agent))
			return replica->owner->agent;
	}
	return 0;
}

bool pl_view_claim_wins(uint32_t sequence, pl_member_id_t owner,
			uint32_t other_sequence, pl_member_id_t other_owner)
{
	if (sequence == other_sequence)
		return owner < other_owner;
	return pl_view_sequence_newer(sequence, other_sequence);
}

/* The view goes to the owner that @p place names, or is closed. */
static void give_up_(pl_view_t *view, const pl_view_place_t *place, bool agreed)
{
	pl_view_table_t *table = view->table;

	if (place->owner == 0) {
		pl_counter_add(PL_COUNTER_VIEWS_CLOSED, 1);
		pl_view_close(view);
		return;
	}
	/* somebody has to serve it */
	if (!pl_view_reachable(table, place->owner))
		return;
	if (view->replica && view->replica != place->owner)
		pl_view_tell(table, view->replica, &view->key, place->owner,
			     place->sequence);
	/* the caller may have heard from both */
	if (!agreed)
		pl_view_tell(table, place->owner, &view->key, place->owner,
			     view->sequence);
	tombstone_set_(table, place);
	pl_counter_add(PL_COUNTER_VIEWS_MOVED_OUT, 1);
	pl_view_delete(view);
}

/* Settles a claim to a view that is not here. */
static bool settle_absent_(pl_view_table_t *table, pl_member_id_t sender,
			   const pl_view_place_t *place)
{
	pl_view_tombstone_t *tombstone = pl_view_tombstone(table, &place->key);

	if (!tombstone || place->owner == 0)
		return true;
	if (!pl_view_sequence_newer(tombstone->sequence, place->sequence)) {
		if (place->owner == table->params.self)
			return true;
		tombstone_set_(table, place);
		return true;
	}
	if (tombstone->next == place->owner || tombstone->next == sender ||
	    !pl_view_reachable(table, tombstone->next))
		return true;
	pl_view_tell(table, sender, &place->key, tombstone->next,
		     tombstone->sequence);
	return false;
}

/* Another owner gave way; what it sent last may have hidden what this did. */
static void yielded_(pl_view_t *view, const pl_view_place_t *place)
{
	if (pl_view_sequence_newer(place->sequence, view->sequence))
		view->sequence = place->sequence;
	pl_view_resend(view);
}

bool pl_view_settle(pl_view_table_t *table, pl_member_id_t sender,
		    const pl_view_place_t *place, bool agreed)
{
	pl_view_t *view = pl_view_lookup(table, &place->key);

	if (!view)
		return settle_absent_(table, sender, place);
	if (place->owner == table->params.self) {
		yielded_(view, place);
		return true;
	}
	if (pl_view_claim_wins(place->sequence, place->owner, view->sequence,
			       table->params.self)) {
		give_up_(view, place, agreed);
		return true;
	}
	if (place->owner != 0)
		pl_view_tell(table, sender, &place->key, table->params.self,
			     view->sequence);
	/* the one that claims it may not be the one that says so */
	if (place->owner != sender && pl_view_reachable(table, place->owner))
		pl_view_tell(table, place->owner, &place->key,
			     table->params.self, view->sequence);
	/* a holder that believed another claim has not kept the copy */
	if (sender == view->replica)
		pl_view_copy_later(view);
	return false;
}

static void outbox_add_(pl_view_table_t *table, pl_member_id_t peer,
			const pl_view_place_t *place)
{
	GArray *places = g_hash_table_lookup(table->outbox, &peer);

	assert(peer != 0);
	if (peer == table->params.self)
		return;
	if (!places) {
		pl_member_id_t *id = g_new(pl_member_id_t, 1);

		*id = peer;
		places = g_array_new(FALSE, FALSE, sizeof(*place));
		g_hash_table_insert(table->outbox, id, places);
	}
	g_array_append_vals(places, place, 1);
	pl_view_flush_later(table);
}

void pl_view_tell(pl_view_table_t *table, pl_member_id_t peer,
		  const pl_view_key_t *key, pl_member_id_t owner,
		  uint32_t sequence)
{
	pl_view_place_t place = { .key = *key,
				  .owner = owner,
				  .sequence = sequence };

	outbox_add_(table, peer, &place);
}

void pl_view_release(const pl_view_t *view)
{
	pl_view_place_t place = { .key = view->key,
				  .owner = view->table->params.self,
				  .sequence = view->sequence,
				  .release = true };

	outbox_add_(view->table, view->replica, &place);
}

static void send_places_(pl_view_table_t *table, pl_member_id_t peer,
			 const GArray *places)
{
	for (guint i = 0; i < places->len; i += PL_VIEW_BATCH) {
		guint count = MIN(PL_VIEW_BATCH, places->len - i);
		pl_view_message_t message;

		pl_view_message_init(&message);
		g_array_append_vals(message.places,
				    &g_array_index(places, pl_view_place_t, i),
				    count);
		pl_view_send(table, peer, PL_PEER_VIEW_FORGET, &message);
		pl_view_message_finish(&message);
	}
}

void pl_view_tell_flush(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer peer;
	gpointer places;

	g_hash_table_iter_init(&iter, table->outbox);
	while (g_hash_table_iter_next(&iter, &peer, &places)) {
		send_places_(table, *(pl_member_id_t *)peer, places);
		g_hash_table_iter_remove(&iter);
	}
}

void pl_view_tell_failed(pl_view_table_t *table, pl_member_id_t peer,
			 const pl_view_message_t *message)
{
	/* what a failed agent knew went with it */
	if (!pl_view_reachable(table, peer))
		return;
	for (guint i = 0; i < message->places->len; i++) {
		const pl_view_place_t *place =
			&g_array_index(message->places, pl_view_place_t, i);
		const pl_view_t *view = pl_view_lookup(table, &place->key);

		/* the copy is wanted there again */
		if (view && view->replica == peer &&
		    (place->release || place->owner != table->params.self))
			continue;
		outbox_add_(table, peer, place);
	}
}
