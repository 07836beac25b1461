/**
 * @file
 * Handover of views to the agents that become their callers' homes.
 *
 * The sender offers views in batches and serves them until the receiver
 * accepts them. An offer without an answer is sent OFFER_ATTEMPTS times and
 * then withdrawn. Since the receiver may have taken the views, the sender
 * claims them again with a newer Observe value. If the sender hands all its
 * views over, it then offers them to the next-ranked agent.
 */
#include "private/view_private.h"

#include <assert.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/** Time until an unanswered offer is repeated, and total transmissions. */
#define OFFER_TIMEOUT_MS 1000
#define OFFER_ATTEMPTS 3
/**
 * Time without offers to an agent that refused views. For an agent that did not
 * answer, the time doubles with every offer up to the maximum.
 */
#define RECEIVER_BACKOFF_MIN_MS 1000
#define RECEIVER_BACKOFF_MAX_MS 60000
/** Delay until views without an available receiver are offered again. */
#define MOVE_BACKOFF_MIN_MS 100
#define MOVE_BACKOFF_MAX_MS 2000
/** Views are handed over when the backend server is absent for this long. */
#define BACKEND_ABSENT_MS 2000
/** Maximum number of candidate receivers per view. */
#define RECEIVERS_MAX 8

/** Delay before the next offer to an agent that refused or did not answer. */
typedef struct {
	pl_member_id_t agent;
	pl_ms_t until;
	pl_ms_t wait_ms; /**< present delay; the next one may be longer */
} receiver_backoff_t;

static void offer_delete_(pl_view_offer_t *offer)
{
	assert(pl_list_empty(&offer->views));
	pl_timer_cancel(offer->table->timers, &offer->timer);
	pl_list_remove(&offer->link);
	g_free(offer);
}

void pl_view_handover_finish(pl_view_table_t *table)
{
	pl_list_for_each_safe(node, &table->offers)
		offer_delete_(PL_CONTAINER_OF(node, pl_view_offer_t, link));
	pl_timer_cancel(table->timers, &table->backend_absent_timer);
	pl_timer_cancel(table->timers, &table->move_timer);
	g_array_free(table->receiver_backoffs, TRUE);
}

/* Finds the backoff of @p agent, expired or not, or NULL. */
static receiver_backoff_t *backoff_find_(pl_view_table_t *table,
					 pl_member_id_t agent)
{
	for (guint i = 0; i < table->receiver_backoffs->len; i++) {
		receiver_backoff_t *backoff = &g_array_index(
			table->receiver_backoffs, receiver_backoff_t, i);

		if (backoff->agent == agent)
			return backoff;
	}
	return NULL;
}

static void backoff_start_(pl_view_table_t *table, pl_member_id_t agent,
			   bool answered)
{
	receiver_backoff_t *backoff = backoff_find_(table, agent);

	if (!backoff) {
		receiver_backoff_t new_backoff = {
			.agent = agent, .wait_ms = RECEIVER_BACKOFF_MIN_MS
		};

		g_array_append_val(table->receiver_backoffs, new_backoff);
		backoff = backoff_find_(table, agent);
	} else if (answered) {
		backoff->wait_ms = RECEIVER_BACKOFF_MIN_MS;
	} else {
		backoff->wait_ms =
			MIN(2 * backoff->wait_ms, RECEIVER_BACKOFF_MAX_MS);
	}
	backoff->until = pl_view_now(table) + backoff->wait_ms;
}

static bool backoff_active_(pl_view_table_t *table, pl_member_id_t agent)
{
	const receiver_backoff_t *backoff = backoff_find_(table, agent);

	return backoff && backoff->until > pl_view_now(table);
}

void pl_view_handover_cancel(pl_view_t *view)
{
	pl_list_remove(&view->move_link);
	view->offer = NULL;
}

void pl_view_handover_later(pl_view_t *view)
{
	pl_view_table_t *table = view->table;

	pl_view_handover_cancel(view);
	pl_list_append(&table->to_move, &view->move_link);
	if (!pl_timer_armed(&table->move_timer))
		pl_timer_arm(table->timers, &table->move_timer,
			     pl_view_now(table));
}

/*
 * Best-ranked agent that can be offered @p view, or 0. An agent that hands all
 * views over tries the next-ranked agent when the best one refused; any other
 * agent keeps the view instead.
 */
static pl_member_id_t choose_receiver_(pl_view_table_t *table,
				       const pl_view_t *view)
{
	const pl_route_service_t *service = pl_view_service(table);
	const pl_endpoint_t *ranked[RECEIVERS_MAX];
	size_t count = 0;

	if (service)
		count = pl_placement_rank(
			service, &view->key.caller, PL_RANK_SERVING,
			table->params.self, ranked,
			table->evacuating ? RECEIVERS_MAX : 1);
	for (size_t i = 0; i < count; i++) {
		if (!backoff_active_(table, ranked[i]->agent))
			return ranked[i]->agent;
	}
	return 0;
}

static void offer_send_(pl_view_offer_t *offer)
{
	pl_view_table_t *table = offer->table;
	pl_view_message_t message;

	offer->attempts++;
	pl_timer_arm(table->timers, &offer->timer,
		     pl_view_now(table) + OFFER_TIMEOUT_MS);
	pl_view_message_init(&message);
	message.offer = offer->id;
	pl_list_for_each(node, &offer->views) {
		pl_view_t *view = PL_CONTAINER_OF(node, pl_view_t, move_link);
		pl_view_record_t record;

		/* the receiver will answer the registration with a separate
		 * response, so acknowledge the request here */
		pl_view_pending_acknowledge(view);
		pl_view_record_fill(view, &record);
		g_array_append_val(message.records, record);
	}
	pl_view_send(table, offer->receiver, PL_PEER_VIEW_OFFER, &message);
	pl_view_message_finish(&message);
}

/*
 * Withdraws an offer. Its remaining views return to the handover queue during
 * an evacuation and stay with this agent otherwise.
 */
static void offer_withdraw_(pl_view_offer_t *offer, bool maybe_accepted)
{
	pl_view_table_t *table = offer->table;
	pl_list_t *first;

	backoff_start_(table, offer->receiver, !maybe_accepted);
	while ((first = pl_list_first(&offer->views))) {
		pl_view_t *view = PL_CONTAINER_OF(first, pl_view_t, move_link);

		if (table->evacuating)
			pl_view_handover_later(view);
		else
			pl_view_handover_cancel(view);
		if (!maybe_accepted)
			continue;
		/* the receiver may have sent newer Observe values */
		view->sequence = pl_view_sequence_add(
			view->sequence, 2 * PL_VIEW_HANDOVER_ADVANCE);
		/* the receiver is the backup as well; it gives the view up when
		 * it gets the newer record */
		if (!table->evacuating)
			pl_view_replicate_later(view);
		pl_view_resend(view);
	}
	offer_delete_(offer);
}

static void offer_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_offer_t *offer = ctx;

	if (pl_list_empty(&offer->views))
		offer_delete_(offer);
	else if (offer->attempts < OFFER_ATTEMPTS)
		offer_send_(offer);
	else
		offer_withdraw_(offer, true);
}

static pl_view_offer_t *offer_new_(pl_view_table_t *table,
				   pl_member_id_t receiver)
{
	pl_view_offer_t *offer = g_new0(pl_view_offer_t, 1);

	offer->table = table;
	offer->id = ++table->next_offer;
	offer->receiver = receiver;
	pl_list_init(&offer->views);
	pl_timer_init(&offer->timer, offer_fire_, offer);
	pl_list_append(&table->offers, &offer->link);
	return offer;
}

/* Groups the queued views into one or more new offers per receiver. */
static GHashTable *group_by_receiver_(pl_view_table_t *table)
{
	GHashTable *groups = g_hash_table_new(pl_view_id_hash, g_int64_equal);

	pl_list_for_each_safe(node, &table->to_move) {
		pl_view_t *view = PL_CONTAINER_OF(node, pl_view_t, move_link);
		pl_member_id_t receiver = choose_receiver_(table, view);
		pl_view_offer_t *offer;
		guint count = 0;

		if (receiver == 0) {
			if (!table->evacuating)
				pl_view_handover_cancel(view);
			continue;
		}
		offer = g_hash_table_lookup(groups, &receiver);
		if (offer)
			count = offer->attempts;
		if (!offer || count == PL_VIEW_BATCH_MAX) {
			offer = offer_new_(table, receiver);
			g_hash_table_replace(groups, &offer->receiver, offer);
		}
		/* until the offer is sent, attempts counts its views */
		offer->attempts++;
		pl_list_remove(&view->move_link);
		pl_list_append(&offer->views, &view->move_link);
		view->offer = offer;
	}
	return groups;
}

void pl_view_handover_send_offers(pl_view_table_t *table)
{
	pl_list_t *last = table->offers.prev;

	if (pl_list_empty(&table->to_move))
		return;
	g_hash_table_destroy(group_by_receiver_(table));
	if (last->next == &table->offers) {
		table->move_backoff_ms *= 2;
		if (table->move_backoff_ms > MOVE_BACKOFF_MAX_MS)
			table->move_backoff_ms = MOVE_BACKOFF_MAX_MS;
	} else {
		table->move_backoff_ms = MOVE_BACKOFF_MIN_MS;
	}
	for (pl_list_t *node = last->next; node != &table->offers;
	     node = node->next) {
		pl_view_offer_t *offer =
			PL_CONTAINER_OF(node, pl_view_offer_t, link);

		offer->attempts = 0;
		offer_send_(offer);
	}
	if (!pl_list_empty(&table->to_move))
		pl_timer_arm(table->timers, &table->move_timer,
			     pl_view_now(table) + table->move_backoff_ms);
}

/* Starts to hand every view over. */
static void evacuate_(pl_view_table_t *table)
{
	GHashTableIter iter;
	gpointer key;

	table->evacuating = true;
	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pl_view_t *view = key;

		if (!view->offer)
			pl_view_handover_later(view);
	}
	pl_view_handover_send_offers(table);
	pl_view_flush(table);
}

void pl_view_drain(pl_view_table_t *table)
{
	table->draining = true;
	evacuate_(table);
}

static void backend_absent_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	evacuate_(ctx);
}

static void move_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_handover_send_offers(ctx);
}

void pl_view_handover_init(pl_view_table_t *table)
{
	pl_list_init(&table->to_move);
	pl_list_init(&table->offers);
	pl_timer_init(&table->move_timer, move_fire_, table);
	pl_timer_init(&table->backend_absent_timer, backend_absent_fire_,
		      table);
	table->move_backoff_ms = MOVE_BACKOFF_MIN_MS;
	table->receiver_backoffs =
		g_array_new(FALSE, FALSE, sizeof(receiver_backoff_t));
}

void pl_view_handover_backend_changed(pl_view_table_t *table, bool present)
{
	if (!present) {
		if (!table->evacuating &&
		    !pl_timer_armed(&table->backend_absent_timer))
			pl_timer_arm(table->timers,
				     &table->backend_absent_timer,
				     pl_view_now(table) + BACKEND_ABSENT_MS);
		return;
	}
	pl_timer_cancel(table->timers, &table->backend_absent_timer);
	if (table->draining)
		return;
	/* offers in progress continue; refused views stay here */
	table->evacuating = false;
	pl_list_for_each_safe(node, &table->to_move)
		pl_view_handover_cancel(
			PL_CONTAINER_OF(node, pl_view_t, move_link));
}

void pl_view_offers_withdraw(pl_view_table_t *table, pl_member_id_t agent)
{
	receiver_backoff_t *backoff;

	pl_list_for_each_safe(node, &table->offers) {
		pl_view_offer_t *offer =
			PL_CONTAINER_OF(node, pl_view_offer_t, link);

		if (offer->receiver == agent)
			offer_withdraw_(offer, true);
	}
	/* a restarted agent may be offered views at once */
	backoff = backoff_find_(table, agent);
	if (backoff)
		backoff->until = 0;
}

/* Finds the offer @p id to @p receiver, or NULL. */
static pl_view_offer_t *offer_find_(pl_view_table_t *table, uint64_t id,
				    pl_member_id_t receiver)
{
	pl_list_for_each(node, &table->offers) {
		pl_view_offer_t *offer =
			PL_CONTAINER_OF(node, pl_view_offer_t, link);

		if (offer->id == id && offer->receiver == receiver)
			return offer;
	}
	return NULL;
}

void pl_view_offer_send_failed(pl_view_table_t *table, pl_member_id_t peer,
			       const pl_view_message_t *message)
{
	pl_view_offer_t *offer = offer_find_(table, message->offer, peer);

	if (!offer)
		return;
	/* may run inside the sending of the frame: let the timer withdraw the
	 * offer */
	offer->attempts = OFFER_ATTEMPTS;
	pl_timer_arm(table->timers, &offer->timer, pl_view_now(table));
}

/* Confirms to the receiver that its acceptance arrived. */
static void send_confirm_(pl_view_table_t *table, pl_member_id_t peer,
			  uint64_t id)
{
	pl_view_message_t message;

	pl_view_message_init(&message);
	message.offer = id;
	pl_view_send(table, peer, PL_PEER_VIEW_FORGET, &message);
	pl_view_message_finish(&message);
}

void pl_view_receive_confirm(pl_view_table_t *table, pl_member_id_t peer,
			     uint64_t offer)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pl_view_t *view = key;

		if (view->handover_sender == peer &&
		    view->handover_offer == offer)
			view->handover_sender = 0;
	}
}

void pl_view_receive_accept(pl_view_table_t *table, pl_member_id_t peer,
			    const pl_view_message_t *message)
{
	pl_view_offer_t *offer;

	for (guint i = 0; i < message->claims->len; i++)
		pl_view_claim_resolve(
			table, peer,
			&g_array_index(message->claims, pl_view_claim_t, i),
			true);
	if (message->claims->len > 0)
		pl_event(PL_EVENT_VIEWS_MOVED, "%u views, %zu left",
			 message->claims->len, pl_view_count(table));
	offer = offer_find_(table, message->offer, peer);
	if (!offer)
		return;
	send_confirm_(table, peer, message->offer);
	if (pl_list_empty(&offer->views))
		offer_delete_(offer);
	else
		/* refused: this agent is the only owner of these views */
		offer_withdraw_(offer, false);
	pl_view_handover_send_offers(table);
}

/* Whether this agent can take over views of @p service. */
static bool can_accept_(const pl_view_table_t *table, pl_service_id_t service)
{
	return !table->draining && table->backend_present && service != 0 &&
	       pl_view_count(table) < PL_VIEW_MAX &&
	       service == table->service_id;
}

/*
 * Takes an offered view over, or finds that it was taken over before, and fills
 * @p claim. Returns false when the view is refused.
 */
static bool accept_record_(pl_view_table_t *table, pl_member_id_t peer,
			   uint64_t offer, const pl_view_record_t *record,
			   bool can_accept, pl_view_claim_t *claim)
{
	pl_view_t *view = pl_view_lookup(table, &record->key);
	pl_view_redirect_t *redirect =
		pl_view_redirect_find(table, &record->key);
	pl_view_replica_t *replica = pl_view_replica_find(table, &record->key);

	claim->owner = table->params.self;
	if (!view && redirect &&
	    pl_view_sequence_newer(redirect->sequence, record->sequence) &&
	    pl_view_reachable(table, redirect->owner)) {
		/* taken over before and handed to another agent since */
		claim->owner = redirect->owner;
		claim->sequence = redirect->sequence;
		return true;
	}
	if (!view && !can_accept)
		return false;
	if (redirect)
		pl_view_redirect_remove(table, redirect);
	if (!view) {
		view = pl_view_restore(table, record, PL_VIEW_HANDOVER_ADVANCE);
		pl_counter_add(PL_COUNTER_VIEWS_MOVED_IN, 1);
		claim->sequence = view->sequence;
		view->handover_sender = peer;
		view->handover_offer = offer;
		view->handover_sequence = view->sequence;
		if (replica)
			pl_view_replica_supersede(table, replica, peer, claim);
		pl_view_update(view);
		return true;
	}
	claim->sequence = view->sequence;
	if (!pl_view_sequence_newer(view->sequence, record->sequence)) {
		view->sequence = pl_view_sequence_add(record->sequence,
						      PL_VIEW_HANDOVER_ADVANCE);
		pl_view_replicate_later(view);
		claim->sequence = view->sequence;
		pl_view_resend(view);
		return true;
	}
	/* not a repeated offer: both owners may have notified the caller */
	if (view->handover_sender != peer)
		pl_view_resend(view);
	return true;
}

void pl_view_receive_offer(pl_view_table_t *table, pl_member_id_t peer,
			   const pl_view_message_t *message)
{
	bool can_accept = can_accept_(table, message->service);
	pl_view_message_t accept;

	pl_view_message_init(&accept);
	accept.offer = message->offer;
	if (message->service != table->service_id && table->service_id != 0) {
		pl_counter_add(PL_COUNTER_DROP_MISMATCH, 1);
		pl_event(PL_EVENT_SERVICE_MISMATCH,
			 "refused an offer of %u views of another service",
			 message->records->len);
	} else {
		for (guint i = 0; i < message->records->len; i++) {
			const pl_view_record_t *record = &g_array_index(
				message->records, pl_view_record_t, i);
			pl_view_claim_t claim = { .key = record->key };

			if (accept_record_(table, peer, message->offer, record,
					   can_accept, &claim))
				g_array_append_val(accept.claims, claim);
		}
	}
	pl_view_send(table, peer, PL_PEER_VIEW_ACCEPT, &accept);
	pl_view_message_finish(&accept);
	/* the sender gives the views up when it gets the acceptance and may
	 * then become their backup: send the records at once */
	pl_view_flush(table);
}
