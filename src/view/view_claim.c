/**
 * @file
 * Ownership claims and redirects to the agents that own views.
 *
 * Every change of owner raises the Observe value of a view. When two agents
 * claim the same view, the claim with the newer Observe value is valid, and the
 * other agent gives the view up when it receives that claim. Callers apply the
 * same rule to notifications (RFC 7641 section 3.4).
 */
#include "private/view_private.h"

#include <assert.h>
#include <pimentolift/counter.h>

#define MS_PER_S 1000
#define REDIRECT_LIFETIME_MS (600 * MS_PER_S)

static void redirects_expire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_table_t *table = ctx;
	pl_list_t *first;

	while ((first = pl_list_first(&table->redirects_by_age))) {
		pl_view_redirect_t *redirect =
			PL_CONTAINER_OF(first, pl_view_redirect_t, age_link);

		if (redirect->expires > now) {
			pl_timer_arm(table->timers, timer, redirect->expires);
			return;
		}
		pl_view_redirect_remove(table, redirect);
	}
}

static void claims_free_(gpointer claims)
{
	g_array_free(claims, TRUE);
}

void pl_view_claim_init(pl_view_table_t *table)
{
	table->redirects =
		g_hash_table_new(pl_view_key_hash, pl_view_key_equal);
	pl_list_init(&table->redirects_by_age);
	pl_timer_init(&table->redirect_timer, redirects_expire_, table);
	table->outgoing_claims = g_hash_table_new_full(
		pl_view_id_hash, g_int64_equal, g_free, claims_free_);
}

void pl_view_claim_finish(pl_view_table_t *table)
{
	pl_list_t *first;

	while ((first = pl_list_first(&table->redirects_by_age)))
		pl_view_redirect_remove(
			table,
			PL_CONTAINER_OF(first, pl_view_redirect_t, age_link));
	pl_timer_cancel(table->timers, &table->redirect_timer);
	g_hash_table_destroy(table->outgoing_claims);
	g_hash_table_destroy(table->redirects);
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

pl_view_redirect_t *pl_view_redirect_find(const pl_view_table_t *table,
					  const pl_view_key_t *key)
{
	return g_hash_table_lookup(table->redirects, key);
}

void pl_view_redirect_remove(pl_view_table_t *table,
			     pl_view_redirect_t *redirect)
{
	g_hash_table_remove(table->redirects, redirect);
	pl_list_remove(&redirect->age_link);
	pl_list_remove(&redirect->caller_link);
	pl_view_caller_put(table, redirect->caller);
	g_free(redirect);
}

static void redirect_set_(pl_view_table_t *table, const pl_view_claim_t *claim)
{
	pl_view_redirect_t *redirect =
		pl_view_redirect_find(table, &claim->key);

	if (!redirect) {
		redirect = g_new0(pl_view_redirect_t, 1);
		redirect->key = claim->key;
		redirect->caller =
			pl_view_caller_get(table, &claim->key.caller);
		pl_list_init(&redirect->caller_link);
		pl_list_init(&redirect->age_link);
		g_hash_table_add(table->redirects, redirect);
	}
	pl_list_remove(&redirect->caller_link);
	pl_list_append(&redirect->caller->redirects, &redirect->caller_link);
	pl_list_remove(&redirect->age_link);
	pl_list_append(&table->redirects_by_age, &redirect->age_link);
	redirect->owner = claim->owner;
	redirect->sequence = claim->sequence;
	redirect->expires = pl_view_now(table) + REDIRECT_LIFETIME_MS;
	if (!pl_timer_armed(&table->redirect_timer))
		pl_timer_arm(table->timers, &table->redirect_timer,
			     redirect->expires);
}

pl_member_id_t pl_view_caller_owner(const pl_view_table_t *table,
				    const pl_view_caller_t *caller)
{
	for (pl_list_t *node = caller->redirects.prev;
	     node != &caller->redirects; node = node->prev) {
		const pl_view_redirect_t *redirect =
			PL_CONTAINER_OF(node, pl_view_redirect_t, caller_link);

		if (pl_view_reachable(table, redirect->owner))
			return redirect->owner;
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

/* Gives a view up to the owner named by @p claim; closes it if that is 0. */
static void give_up_view_(pl_view_t *view, const pl_view_claim_t *claim,
			  bool handed_over)
{
	pl_view_table_t *table = view->table;

	if (claim->owner == 0) {
		pl_counter_add(PL_COUNTER_VIEWS_CLOSED, 1);
		pl_view_close(view);
		return;
	}
	/* keep serving: the new owner cannot be reached from here */
	if (!pl_view_reachable(table, claim->owner))
		return;
	if (view->backup && view->backup != claim->owner)
		pl_view_claim_queue(table, view->backup, &view->key,
				    claim->owner, claim->sequence);
	/* both owners may have notified the caller: the new owner has to send
	 * again with a newer Observe value */
	if (!handed_over)
		pl_view_claim_queue(table, claim->owner, &view->key,
				    claim->owner, view->sequence);
	redirect_set_(table, claim);
	pl_counter_add(PL_COUNTER_VIEWS_MOVED_OUT, 1);
	pl_view_delete(view);
}

/* Resolves a claim to a view that this agent does not own. */
static bool resolve_absent_(pl_view_table_t *table, pl_member_id_t sender,
			    const pl_view_claim_t *claim)
{
	pl_view_redirect_t *redirect =
		pl_view_redirect_find(table, &claim->key);

	if (!redirect || claim->owner == 0)
		return true;
	if (!pl_view_sequence_newer(redirect->sequence, claim->sequence)) {
		if (claim->owner == table->params.self)
			return true;
		redirect_set_(table, claim);
		return true;
	}
	if (redirect->owner == claim->owner || redirect->owner == sender ||
	    !pl_view_reachable(table, redirect->owner))
		return true;
	pl_view_claim_queue(table, sender, &claim->key, redirect->owner,
			    redirect->sequence);
	return false;
}

/*
 * Handles a claim with which another owner gave up the view. Its last
 * notification may have superseded one from this agent, so send again.
 */
static void other_owner_yielded_(pl_view_t *view, const pl_view_claim_t *claim)
{
	if (pl_view_sequence_newer(claim->sequence, view->sequence))
		view->sequence = claim->sequence;
	pl_view_resend(view);
}

bool pl_view_claim_resolve(pl_view_table_t *table, pl_member_id_t sender,
			   const pl_view_claim_t *claim, bool handed_over)
{
	pl_view_t *view = pl_view_lookup(table, &claim->key);

	if (!view)
		return resolve_absent_(table, sender, claim);
	if (claim->owner == table->params.self) {
		other_owner_yielded_(view, claim);
		return true;
	}
	if (pl_view_claim_wins(claim->sequence, claim->owner, view->sequence,
			       table->params.self)) {
		give_up_view_(view, claim, handed_over);
		return true;
	}
	if (claim->owner != 0)
		pl_view_claim_queue(table, sender, &claim->key,
				    table->params.self, view->sequence);
	/* the claim may have been sent on behalf of another agent */
	if (claim->owner != sender && pl_view_reachable(table, claim->owner))
		pl_view_claim_queue(table, claim->owner, &claim->key,
				    table->params.self, view->sequence);
	/* a backup that accepted the other claim has dropped the replica */
	if (sender == view->backup)
		pl_view_replicate_later(view);
	return false;
}

static void outgoing_claims_add_(pl_view_table_t *table, pl_member_id_t peer,
				 const pl_view_claim_t *claim)
{
	GArray *claims = g_hash_table_lookup(table->outgoing_claims, &peer);

	assert(peer != 0);
	if (peer == table->params.self)
		return;
	if (!claims) {
		pl_member_id_t *id = g_new(pl_member_id_t, 1);

		*id = peer;
		claims = g_array_new(FALSE, FALSE, sizeof(*claim));
		g_hash_table_insert(table->outgoing_claims, id, claims);
	}
	g_array_append_vals(claims, claim, 1);
	pl_view_flush_later(table);
}

void pl_view_claim_queue(pl_view_table_t *table, pl_member_id_t peer,
			 const pl_view_key_t *key, pl_member_id_t owner,
			 uint32_t sequence)
{
	pl_view_claim_t claim = { .key = *key,
				  .owner = owner,
				  .sequence = sequence };

	outgoing_claims_add_(table, peer, &claim);
}

void pl_view_replica_release(const pl_view_t *view)
{
	pl_view_claim_t claim = { .key = view->key,
				  .owner = view->table->params.self,
				  .sequence = view->sequence,
				  .release = true };

	outgoing_claims_add_(view->table, view->backup, &claim);
}

static void send_claims_(pl_view_table_t *table, pl_member_id_t peer,
			 const GArray *claims)
{
	for (guint i = 0; i < claims->len; i += PL_VIEW_BATCH_MAX) {
		guint count = MIN(PL_VIEW_BATCH_MAX, claims->len - i);
		pl_view_message_t message;

		pl_view_message_init(&message);
		g_array_append_vals(message.claims,
				    &g_array_index(claims, pl_view_claim_t, i),
				    count);
		pl_view_send(table, peer, PL_PEER_VIEW_FORGET, &message);
		pl_view_message_finish(&message);
	}
}

void pl_view_claim_flush(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer peer;
	gpointer claims;

	g_hash_table_iter_init(&iter, table->outgoing_claims);
	while (g_hash_table_iter_next(&iter, &peer, &claims)) {
		send_claims_(table, *(pl_member_id_t *)peer, claims);
		g_hash_table_iter_remove(&iter);
	}
}

void pl_view_claim_send_failed(pl_view_table_t *table, pl_member_id_t peer,
			       const pl_view_message_t *message)
{
	/* an agent that failed has lost its state: nothing to correct there */
	if (!pl_view_reachable(table, peer))
		return;
	for (guint i = 0; i < message->claims->len; i++) {
		const pl_view_claim_t *claim =
			&g_array_index(message->claims, pl_view_claim_t, i);
		const pl_view_t *view = pl_view_lookup(table, &claim->key);

		/* the peer is the backup again: it must keep the replica */
		if (view && view->backup == peer &&
		    (claim->release || claim->owner != table->params.self))
			continue;
		outgoing_claims_add_(table, peer, claim);
	}
}
