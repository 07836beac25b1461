/**
 * @file
 * Responses to registrations, notifications and their retransmission.
 *
 * A view has at most one unacknowledged notification. Newer states wait until
 * it is acknowledged or due for retransmission, and then only the newest state
 * is sent. In the latter case it is a new message that continues with the
 * retransmission count and timeout of the old one (RFC 7641 section 4.5.2).
 */
#include "private/view_private.h"

#include <assert.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <string.h>

#define MS_PER_S 1000
#define US_PER_MS 1000
/**
 * Transmission parameters (RFC 7252 section 4.8). Round trips to callers take
 * a few milliseconds and views must not be stale for long. The first
 * CONSTANT_TIMEOUT_RETRANSMITS retransmissions therefore keep the timeout;
 * each later one doubles it.
 */
#define ACK_TIMEOUT_MS 1000
#define ACK_JITTER_MS 500
#define CONSTANT_TIMEOUT_RETRANSMITS 4
#define MAX_RETRANSMIT 8
/**
 * Delay of the extra transmission after a routing change: by then,
 * acknowledgements take the new route.
 */
#define RETRANSMIT_DELAY_MS 1000
/**
 * When no datagram arrived from a caller for LIVENESS_IDLE_MS, the state is
 * sent again to find out whether the caller still exists. Each check covers at
 * most LIVENESS_BATCH_MAX views. RFC 7641 section 4.5 requires one confirmable
 * notification per day.
 */
#define LIVENESS_IDLE_MS (3600 * MS_PER_S)
#define LIVENESS_INTERVAL_MS (60 * MS_PER_S)
#define LIVENESS_BATCH_MAX 200
/** A registration gets an empty ACK when its response takes longer. */
#define PIGGYBACK_WAIT_MS 300
/**
 * Longest time that the response to a registration waits for the replica, so
 * that no view is lost with its owner after the caller was told that it is
 * open.
 */
#define REPLICA_WAIT_MS 250
/** Deadline of a registration when the service configures none. */
#define DEADLINE_DEFAULT_MS 10000
/** Delay after which a notification is counted as late. */
#define NOTIFICATION_LATE_MS 1000
#define SZX_MAX 6
#define SZX_SHIFT 4

static size_t block_size_(const pl_view_t *view)
{
	return (size_t)1 << (view->szx + SZX_SHIFT);
}

static void send_to_caller_(pl_view_t *view, const uint8_t *pdu, size_t len)
{
	pl_view_table_t *table = view->table;
	pl_flow_t flow = { .caller = view->key.caller,
			   .address = view->address,
			   .service = table->service_id };

	if (PL_INVARIANT(len > 0, "message does not fit into a datagram"))
		table->ops->reply(table->ctx, view->entry, &flow,
				  table->load_ms, pdu, len);
}

/* Writes options and payload of @p content, starting at block @p num. */
static void write_content_(pl_coap_writer_t *writer, const pl_view_t *view,
			   const pl_view_content_t *content, bool observe,
			   uint32_t num)
{
	size_t size = block_size_(view);
	size_t start = (size_t)num * size;
	size_t len = content->len - start;
	bool blockwise = content->len > size;
	pl_coap_block_t block = { .present = true, .num = num };

	assert(start <= content->len);
	if (len > size)
		len = size;
	block.more = start + len < content->len;
	block.szx = view->szx;
	if (blockwise)
		pl_coap_write_option(writer, PL_COAP_OPT_ETAG, &content->etag,
				     sizeof(content->etag));
	if (observe)
		pl_coap_write_uint(writer, PL_COAP_OPT_OBSERVE, view->sequence);
	if (content->content_format >= 0)
		pl_coap_write_uint(writer, PL_COAP_OPT_CONTENT_FORMAT,
				   (uint32_t)content->content_format);
	if (content->max_age_s >= 0) {
		int64_t age = (int64_t)(pl_view_now(view->table) -
					content->received) /
			      MS_PER_S;
		int64_t left = content->max_age_s - age;

		pl_coap_write_uint(writer, PL_COAP_OPT_MAX_AGE,
				   left > 0 ? (uint32_t)left : 0);
	}
	if (blockwise)
		pl_coap_write_block(writer, PL_COAP_OPT_BLOCK2, &block);
	if (blockwise && num == 0)
		pl_coap_write_uint(writer, PL_COAP_OPT_SIZE2,
				   (uint32_t)content->len);
	pl_coap_write_payload(writer, content->body + start, len);
}

static bool resource_ended_(const pl_view_t *view)
{
	return view->resource->state == PL_VIEW_RESOURCE_ENDED;
}

/* Sends the content @c sent of @p view. */
static void send_content_(pl_view_t *view, pl_coap_type_t type, uint16_t mid)
{
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	pl_coap_writer_t writer;
	/* an error ends the observation and carries no Observe option */
	bool observe = view->sent->code < PL_COAP_BAD_REQUEST;

	pl_coap_write_start(&writer, buf, sizeof(buf), type, view->sent->code,
			    mid, view->key.token, view->key.token_len);
	write_content_(&writer, view, view->sent, observe, 0);
	send_to_caller_(view, buf, pl_coap_write_end(&writer));
}

static void send_empty_ack_(pl_view_t *view, uint16_t mid)
{
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	pl_coap_writer_t writer;

	pl_coap_write_start(&writer, buf, sizeof(buf), PL_COAP_ACK,
			    PL_COAP_EMPTY, mid, NULL, 0);
	send_to_caller_(view, buf, pl_coap_write_end(&writer));
}

/* Sets @c sent to the resource's newest content. */
static void select_content_(pl_view_t *view)
{
	pl_view_content_t *content = view->resource->content;

	pl_ref_get(&content->ref);
	if (view->sent)
		pl_view_content_put(view->sent);
	view->sent = content;
	pl_view_sequence_next(view);
}

void pl_view_delivery_end(pl_view_t *view)
{
	pl_view_delivery_t *delivery = view->delivery;

	if (!delivery)
		return;
	pl_timer_cancel(view->table->timers, &delivery->timer);
	pl_list_remove(&delivery->link);
	g_free(delivery);
	view->delivery = NULL;
}

void pl_view_pending_end(pl_view_t *view)
{
	if (!view->pending)
		return;
	pl_timer_cancel(view->table->timers, &view->pending->timer);
	g_free(view->pending);
	view->pending = NULL;
}

static void record_notification_delay_(const pl_view_t *view)
{
	pl_ms_t delay = pl_view_now(view->table) - view->sent->received;

	pl_counter_add(PL_COUNTER_NOTIFICATIONS, 1);
	pl_histogram_record(PL_HISTOGRAM_NOTIFY, delay * US_PER_MS);
	if (delay > NOTIFICATION_LATE_MS)
		pl_counter_add(PL_COUNTER_NOTIFICATIONS_LATE, 1);
}

/* Sends the newest content as a new message of the present delivery. */
static void deliver_newest_(pl_view_t *view)
{
	select_content_(view);
	view->delivery->mid = pl_view_mid_next(view->table, view->caller);
	record_notification_delay_(view);
	send_content_(view, PL_COAP_CON, view->delivery->mid);
}

static void delivery_arm_(pl_view_t *view)
{
	pl_view_delivery_t *delivery = view->delivery;

	pl_timer_arm(view->table->timers, &delivery->timer,
		     pl_view_now(view->table) + delivery->timeout_ms);
}

static void delivery_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_t *view = ctx;
	pl_view_delivery_t *delivery = view->delivery;

	if (delivery->attempts == MAX_RETRANSMIT) {
		pl_counter_add(PL_COUNTER_VIEWS_LOST, 1);
		pl_view_close(view);
		return;
	}
	delivery->attempts++;
	if (delivery->attempts > CONSTANT_TIMEOUT_RETRANSMITS)
		delivery->timeout_ms *= 2;
	delivery_arm_(view);
	if (view->sent != view->resource->content)
		deliver_newest_(view);
	else
		send_content_(view, PL_COAP_CON, delivery->mid);
}

static void retransmit_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_table_t *table = ctx;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table->views);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		pl_view_t *view = key;

		if (view->delivery)
			send_content_(view, PL_COAP_CON, view->delivery->mid);
	}
}

/* Sends the state again to idle callers, to detect those that are gone. */
static void liveness_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_table_t *table = ctx;
	GPtrArray *silent = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table->views);
	while (silent->len < LIVENESS_BATCH_MAX &&
	       g_hash_table_iter_next(&iter, &key, NULL)) {
		const pl_view_t *view = key;

		if (!view->delivery && !view->pending &&
		    now - view->last_heard > LIVENESS_IDLE_MS)
			g_ptr_array_add(silent, key);
	}
	/* resending may free a view, so it cannot be done while iterating */
	for (guint i = 0; i < silent->len; i++)
		pl_view_resend(g_ptr_array_index(silent, i));
	g_ptr_array_free(silent, TRUE);
	if (pl_view_count(table) > 0)
		pl_timer_arm(table->timers, timer, now + LIVENESS_INTERVAL_MS);
}

void pl_view_notify_init(pl_view_table_t *table)
{
	pl_timer_init(&table->retransmit_timer, retransmit_fire_, table);
	pl_timer_init(&table->liveness_timer, liveness_fire_, table);
}

void pl_view_mark_heard(pl_view_t *view, pl_member_id_t entry)
{
	pl_view_table_t *table = view->table;

	view->entry = entry;
	view->last_heard = pl_view_now(table);
	if (!pl_timer_armed(&table->liveness_timer))
		pl_timer_arm(table->timers, &table->liveness_timer,
			     view->last_heard + LIVENESS_INTERVAL_MS);
}

void pl_view_notify_finish(pl_view_table_t *table)
{
	pl_timer_cancel(table->timers, &table->retransmit_timer);
	pl_timer_cancel(table->timers, &table->liveness_timer);
}

void pl_view_retransmit_later(pl_view_table_t *table)
{
	if (!pl_timer_armed(&table->retransmit_timer))
		pl_timer_arm(table->timers, &table->retransmit_timer,
			     pl_view_now(table) + RETRANSMIT_DELAY_MS);
}

static void delivery_start_(pl_view_t *view)
{
	pl_view_table_t *table = view->table;
	pl_view_delivery_t *delivery = g_new0(pl_view_delivery_t, 1);

	assert(!view->delivery);
	view->delivery = delivery;
	pl_timer_init(&delivery->timer, delivery_fire_, view);
	pl_list_append(&view->caller->deliveries, &delivery->link);
	delivery->view = view;
	delivery->timeout_ms =
		ACK_TIMEOUT_MS +
		(uint32_t)(table->ops->random(table->ctx) % ACK_JITTER_MS);
	delivery_arm_(view);
	deliver_newest_(view);
}

/* Answers the registration; may free an ended view. */
static void answer_registration_(pl_view_t *view)
{
	pl_view_pending_t pending = *view->pending;

	pl_view_pending_end(view);
	pl_view_delivery_end(view);
	if (pending.confirmable && pending.acknowledged) {
		delivery_start_(view);
		return;
	}
	select_content_(view);
	/* not retransmitted: the caller repeats its request if this is lost */
	view->confirmed_etag = view->sent->etag;
	if (pending.confirmable)
		send_content_(view, PL_COAP_ACK, pending.mid);
	else
		send_content_(view, PL_COAP_NON,
			      pl_view_mid_next(view->table, view->caller));
	if (resource_ended_(view))
		pl_view_close(view);
}

static bool waits_for_replica_(const pl_view_t *view)
{
	return pl_view_now(view->table) < view->pending->replica_deadline &&
	       !resource_ended_(view) && pl_view_replica_missing(view);
}

void pl_view_update(pl_view_t *view)
{
	const pl_view_content_t *content = view->resource->content;

	if (!content ||
	    !(resource_ended_(view) || pl_view_resource_fresh(view->resource)))
		return;
	if (view->pending) {
		if (!waits_for_replica_(view))
			answer_registration_(view);
		return;
	}
	if (view->delivery || view->sent == content)
		return;
	if (!view->sent && view->confirmed_etag == content->etag) {
		view->sent = view->resource->content;
		pl_ref_get(&view->sent->ref);
		return;
	}
	delivery_start_(view);
}

void pl_view_resend(pl_view_t *view)
{
	pl_view_delivery_end(view);
	view->confirmed_etag = 0;
	if (view->sent)
		pl_view_content_put(view->sent);
	view->sent = NULL;
	pl_view_update(view);
}

void pl_view_pending_acknowledge(pl_view_t *view)
{
	pl_view_pending_t *pending = view->pending;

	if (!pending || !pending->confirmable || pending->acknowledged)
		return;
	pending->acknowledged = true;
	send_empty_ack_(view, pending->mid);
}

void pl_view_refuse(pl_view_t *view, uint8_t code)
{
	pl_view_resource_detach(view, code);
	pl_view_update(view);
}

static void pending_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_t *view = ctx;
	pl_view_pending_t *pending = view->pending;

	if (now < pending->deadline) {
		/* the wait for the replica is over: if the content is known,
		 * the update sends the response and may free the view */
		pl_timer_arm(view->table->timers, timer, pending->deadline);
		if (view->resource->content &&
		    pl_view_resource_fresh(view->resource))
			pl_view_update(view);
		else
			pl_view_pending_acknowledge(view);
		return;
	}
	/* only in the idle state it is certain that the backend server has
	 * not processed the request */
	if (view->resource->state == PL_VIEW_RESOURCE_IDLE)
		pl_view_refuse(view, PL_COAP_UNAVAILABLE);
	else
		pl_view_refuse(view, PL_COAP_GATEWAY_TIMEOUT);
}

static uint32_t deadline_ms_(const pl_view_table_t *table)
{
	const pl_route_service_t *service = pl_view_service(table);

	if (!service || service->policy.deadline_ms == 0)
		return DEADLINE_DEFAULT_MS;
	return service->policy.deadline_ms;
}

pl_view_pending_t *pl_view_pending_start(pl_view_t *view)
{
	pl_view_pending_t *pending = g_new0(pl_view_pending_t, 1);
	pl_ms_t now = pl_view_now(view->table);
	pl_ms_t wait = now + PIGGYBACK_WAIT_MS;

	pl_view_pending_end(view);
	view->pending = pending;
	pending->deadline = now + deadline_ms_(view->table);
	pending->replica_deadline = now + REPLICA_WAIT_MS;
	pl_timer_init(&pending->timer, pending_fire_, view);
	pl_timer_arm(view->table->timers, &pending->timer,
		     wait < pending->deadline ? wait : pending->deadline);
	return pending;
}

void pl_view_pending_request(pl_view_t *view, const pl_coap_msg_t *msg)
{
	pl_view_pending_t *pending = view->pending;

	view->szx = SZX_MAX;
	if (msg->block2.present && msg->block2.szx < SZX_MAX)
		view->szx = msg->block2.szx;
	if (pending && pending->confirmable && pending->mid == msg->mid) {
		if (pending->acknowledged)
			send_empty_ack_(view, msg->mid);
		return;
	}
	pending = pl_view_pending_start(view);
	pending->mid = msg->mid;
	pending->confirmable = msg->type == PL_COAP_CON;
	if (pl_view_replica_missing(view))
		pl_view_replicate_soon(view);
	pl_view_update(view);
}

/* View of @p caller whose delivery has the message ID @p mid, or NULL. */
static pl_view_t *find_delivered_view_(const pl_view_caller_t *caller,
				       uint16_t mid)
{
	pl_list_for_each(node, &caller->deliveries) {
		const pl_view_delivery_t *delivery =
			PL_CONTAINER_OF(node, pl_view_delivery_t, link);

		if (delivery->mid == mid)
			return delivery->view;
	}
	return NULL;
}

static void notification_acknowledged_(pl_view_t *view, pl_member_id_t entry)
{
	pl_view_mark_heard(view, entry);
	view->confirmed_etag = view->sent->etag;
	pl_view_delivery_end(view);
	if (resource_ended_(view) && view->sent == view->resource->content)
		pl_view_close(view);
	else
		pl_view_update(view);
}

pl_view_verdict_t pl_view_ack(pl_view_table_t *table,
			      const pl_forward_t *forward,
			      const pl_coap_msg_t *msg, pl_member_id_t *next)
{
	const pl_view_caller_t *caller =
		pl_view_caller_find(table, &forward->flow.caller);
	pl_view_t *view =
		caller ? find_delivered_view_(caller, msg->mid) : NULL;

	*next = 0;
	if (!view && caller)
		*next = pl_view_caller_owner(table, caller);
	if (*next)
		return PL_VIEW_MOVED;
	if (!view)
		return pl_view_find(table, &forward->flow.caller, next);
	if (msg->type == PL_COAP_RST) {
		pl_counter_add(PL_COUNTER_VIEWS_CLOSED, 1);
		pl_view_close(view);
	} else {
		notification_acknowledged_(view, forward->entry);
	}
	return PL_VIEW_HANDLED;
}

/* View of @p caller of the resource that @p msg requests, or NULL. */
static pl_view_t *find_observing_view_(const pl_view_caller_t *caller,
				       const pl_coap_msg_t *msg)
{
	pl_list_for_each(node, &caller->views) {
		pl_view_t *view = PL_CONTAINER_OF(node, pl_view_t, caller_link);

		if (strcmp(view->resource->path, msg->path) == 0 &&
		    strcmp(view->resource->query, msg->query) == 0)
			return view;
	}
	return NULL;
}

pl_view_verdict_t pl_view_serve_block(pl_view_table_t *table,
				      const pl_forward_t *forward,
				      const pl_coap_msg_t *msg)
{
	const pl_view_caller_t *caller =
		pl_view_caller_find(table, &forward->flow.caller);
	pl_view_t *view = caller ? find_observing_view_(caller, msg) : NULL;
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	pl_coap_writer_t writer;
	bool confirmable = msg->type == PL_COAP_CON;
	uint16_t mid = msg->mid;

	/* block 0 requests the present state, which the core fetches */
	if (!view || !view->sent || msg->block2.num == 0 ||
	    msg->block2.szx > SZX_MAX)
		return PL_VIEW_UNKNOWN;
	pl_view_mark_heard(view, forward->entry);
	view->szx = msg->block2.szx;
	if ((size_t)msg->block2.num * block_size_(view) >= view->sent->len)
		return PL_VIEW_UNKNOWN;
	if (!confirmable)
		mid = pl_view_mid_next(table, view->caller);
	pl_coap_write_start(&writer, buf, sizeof(buf),
			    confirmable ? PL_COAP_ACK : PL_COAP_NON,
			    view->sent->code, mid, msg->token, msg->token_len);
	/* from the notified body, even if a newer one waits to be sent */
	write_content_(&writer, view, view->sent, false, msg->block2.num);
	send_to_caller_(view, buf, pl_coap_write_end(&writer));
	return PL_VIEW_HANDLED;
}
