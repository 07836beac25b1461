/**
 * @file
 * Sends view frames to other agents and dispatches received ones.
 */
#include "private/view_private.h"

#include <pimentolift/counter.h>
#include <pimentolift/event.h>

void pl_view_send(pl_view_table_t *table, pl_member_id_t peer,
		  pl_peer_type_t type, pl_view_message_t *message)
{
	pl_peer_frame_t frame = { .peer = peer, .type = type };
	GByteArray *body;

	message->boot = table->params.boot;
	message->service = table->service_id;
	body = pl_view_message_encode(message, type);
	frame.body = body->data;
	frame.body_len = body->len;
	table->ops->send_frame(table->ctx, &frame);
	g_byte_array_unref(body);
}

/* Drops the replica of a view if @p claim makes it obsolete. */
static void drop_outdated_replica_(pl_view_table_t *table, pl_member_id_t peer,
				   const pl_view_claim_t *claim)
{
	pl_view_replica_t *replica = pl_view_replica_find(table, &claim->key);
	pl_member_id_t owner = replica ? replica->owner->agent : 0;

	if (!replica)
		return;
	if (owner == peer) {
		/* the owner chose another backup or gave the view up */
		if (claim->release || claim->owner != owner)
			pl_view_replica_remove(table, replica);
		return;
	}
	if (claim->owner != owner &&
	    pl_view_claim_wins(claim->sequence, claim->owner,
			       replica->record.sequence, owner))
		pl_view_replica_supersede(table, replica, peer, claim);
}

static void receive_forget_(pl_view_table_t *table, pl_member_id_t peer,
			    const pl_view_message_t *message)
{
	if (message->offer != 0)
		pl_view_receive_confirm(table, peer, message->offer);
	for (guint i = 0; i < message->claims->len; i++) {
		const pl_view_claim_t *claim =
			&g_array_index(message->claims, pl_view_claim_t, i);

		pl_view_claim_resolve(table, peer, claim, false);
		drop_outdated_replica_(table, peer, claim);
	}
}

static bool decode_frame_(pl_view_message_t *message,
			  const pl_peer_frame_t *frame)
{
	pl_result_t result = pl_view_message_decode(
		message, frame->type, frame->body, frame->body_len);

	if (result != PL_OK)
		pl_counter_add(PL_COUNTER_DROP_MALFORMED, 1);
	return result == PL_OK;
}

static void dispatch_message_(pl_view_table_t *table, pl_member_id_t peer,
			      pl_peer_type_t type,
			      const pl_view_message_t *message)
{
	if (type == PL_PEER_VIEW_OFFER)
		pl_view_receive_offer(table, peer, message);
	else if (type == PL_PEER_VIEW_ACCEPT)
		pl_view_receive_accept(table, peer, message);
	else if (type == PL_PEER_VIEW_COPY)
		pl_view_receive_copy(table, peer, message);
	else if (type == PL_PEER_VIEW_COPIED)
		pl_view_receive_copied(table, peer, message);
	else if (type == PL_PEER_VIEW_FORGET)
		receive_forget_(table, peer, message);
}

void pl_view_frame(pl_view_table_t *table, const pl_peer_frame_t *frame)
{
	pl_view_message_t message;

	pl_view_message_init(&message);
	if (decode_frame_(&message, frame)) {
		/* an offer for another service gets an empty acceptance */
		if (message.service == table->service_id ||
		    frame->type == PL_PEER_VIEW_OFFER)
			dispatch_message_(table, frame->peer, frame->type,
					  &message);
		else
			pl_counter_add(PL_COUNTER_DROP_MISMATCH, 1);
	}
	pl_view_message_finish(&message);
	/* a draining process may exit as soon as its last view is gone */
	if (table->evacuating)
		pl_view_flush(table);
}

void pl_view_frame_failed(pl_view_table_t *table, const pl_peer_frame_t *frame)
{
	pl_view_message_t message;

	pl_view_message_init(&message);
	if (decode_frame_(&message, frame)) {
		if (frame->type == PL_PEER_VIEW_OFFER)
			pl_view_offer_send_failed(table, frame->peer, &message);
		else if (frame->type == PL_PEER_VIEW_COPY)
			pl_view_replica_send_failed(table, frame->peer,
						    &message);
		else if (frame->type == PL_PEER_VIEW_FORGET)
			pl_view_claim_send_failed(table, frame->peer, &message);
	}
	pl_view_message_finish(&message);
}
