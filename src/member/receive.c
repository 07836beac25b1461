/** @file Creation, time and received datagrams of the membership table. */
#include "private/member_private.h"

#include <assert.h>
#include <pimentolift/counter.h>
#include <string.h>

/** A longer stall of the owner's event loop postpones the deadlines. */
#define STALL_MS 300
/** Units of the token bucket per byte. */
#define MILLI 1000
/** Default capacity of the token bucket, as time of the send budget. */
#define BURST_MS 250
/**
 * Share of the budget for sending. A member receives as much on average; the
 * remainder covers seconds in which it receives more by chance.
 */
#define SEND_SHARE_PERCENT 40
/** Members that are sent the announcement of a departure directly. */
#define ANNOUNCE_FANOUT 8

static void on_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_member_table_t *table = ctx;

	table->now = MAX(table->now, now);
	pl_member_probe_on_timer_(table);
	pl_member_liveness_on_timer_(table);
	pl_member_partition_on_timer_(table);
	pl_member_sync_on_timer_(table);
	pl_member_spread_on_timer_(table);
	pl_timer_arm(table->timers, timer, table->now + PL_MEMBER_TIMER_MS);
}

static void add_self_(pl_member_table_t *table,
		      const pl_member_params_t *params)
{
	pl_member_t *self = pl_member_add_(table, params->self);

	table->self = self;
	self->role = params->role;
	self->name = g_strdup(params->name);
	self->boot = params->boot;
	self->incarnation = (uint32_t)params->incarnation;
	self->started_s = (uint32_t)params->incarnation;
	self->attr.serving_since_s = self->started_s;
	self->dc = pl_member_dc_(table, pl_hash_text(params->datacentre));
	self->dc->name = g_strdup(params->datacentre);
	self->state = PL_MEMBER_ALIVE;
	pl_member_recount_(table, self, PL_MEMBER_STATE_COUNT);
}

pl_member_table_t *pl_member_table_new(const pl_member_params_t *params,
				       const pl_member_ops_t *ops, void *ctx,
				       pl_timer_service_t *timers)
{
	pl_member_table_t *table = g_new0(pl_member_table_t, 1);
	uint32_t budget =
		params->budget ? params->budget : PL_MEMBER_BUDGET_DEFAULT;

	assert(params->self != 0 && params->boot != 0);
	assert(ops->send_datagram && ops->send_frame && ops->changed &&
	       ops->random);
	table->ops = *ops;
	table->ctx = ctx;
	table->timers = timers;
	table->now = pl_timer_service_now(timers);
	table->last_tick = table->now;
	table->key = params->key;
	table->decoder = pl_gossip_decoder_new(&params->key);
	table->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->members = g_ptr_array_new();
	table->dcs = g_ptr_array_new();
	table->ring = g_ptr_array_new();
	table->seeds = g_array_new(FALSE, FALSE, sizeof(pl_member_id_t));
	pl_list_init(&table->probes);
	pl_list_init(&table->watches);
	pl_list_init(&table->suspects);
	pl_list_init(&table->liveness_checks);
	pl_list_init(&table->ring_due);
	for (int i = 0; i < PL_MEMBER_TRANSMITS_MAX; i++)
		pl_list_init(&table->updates[i]);
	table->budget = budget * SEND_SHARE_PERCENT / 100;
	table->burst = params->burst ? (int64_t)params->burst * MILLI :
				       (int64_t)table->budget * BURST_MS;
	table->tokens = params->burst ? table->burst : 0;
	table->refilled_at = table->now;
	pl_timer_init(&table->timer, on_timer_, table);
	add_self_(table, params);
	return table;
}

static void free_watches_(pl_member_table_t *table)
{
	pl_list_for_each_safe(node, &table->watches) {
		pl_list_remove(node);
		g_free(PL_CONTAINER_OF(node, pl_watch_t, link));
	}
}

void pl_member_table_delete(pl_member_table_t *table)
{
	if (!table)
		return;
	pl_timer_cancel(table->timers, &table->timer);
	pl_member_probes_clear_(table);
	pl_member_liveness_clear_(table);
	free_watches_(table);
	for (guint i = 0; i < table->members->len; i++) {
		pl_member_t *member = table->members->pdata[i];

		g_free(member->name);
		g_free(member);
	}
	for (guint i = 0; i < table->dcs->len; i++) {
		pl_member_dc_t *dc = table->dcs->pdata[i];

		g_free(dc->name);
		g_free(dc);
	}
	g_ptr_array_free(table->members, TRUE);
	g_ptr_array_free(table->dcs, TRUE);
	g_ptr_array_free(table->ring, TRUE);
	g_hash_table_destroy(table->by_id);
	g_array_free(table->seeds, TRUE);
	pl_gossip_decoder_delete(table->decoder);
	g_free(table);
}

void pl_member_join(pl_member_table_t *table)
{
	pl_ms_t now = table->now;

	if (table->join != PL_JOIN_IDLE)
		return;
	table->join = PL_JOIN_SEED;
	table->next_join = now;
	table->last_heard = now;
	/* members that start at the same time must not probe in step */
	table->next_period = now + pl_member_random_below_(
					   table, PL_MEMBER_PROTOCOL_PERIOD_MS);
	table->next_sync =
		now + pl_member_random_below_(table, PL_MEMBER_SYNC_MS);
	pl_member_queue_(table, table->self);
	pl_timer_arm(table->timers, &table->timer,
		     now + pl_member_random_below_(table, PL_MEMBER_TIMER_MS));
}

void pl_member_leave(pl_member_table_t *table)
{
	pl_member_t *self = table->self;

	if (table->leaving)
		return;
	table->leaving = true;
	pl_member_uncount_(table, self);
	self->incarnation++;
	self->state = PL_MEMBER_LEFT;
	pl_member_recount_(table, self, PL_MEMBER_ALIVE);
	pl_member_queue_(table, self);
	pl_member_credit_(table);
	pl_member_spread_now_(table, ANNOUNCE_FANOUT);
	/* a member that stops soon after its start knows few others or none */
	if (table->join != PL_JOIN_DONE)
		pl_member_notify_seeds_(table);
}

/* Takes a new boot identity after a pause: other members may have declared this
 * process dead and reassigned its work. */
static void renew_identity_(pl_member_table_t *table, pl_ms_t gap)
{
	pl_member_t *self = table->self;
	uint64_t boot = 0;

	table->paused++;
	if (table->ops.paused)
		boot = table->ops.paused(table->ctx, gap);
	while (boot == 0)
		boot = table->ops.random(table->ctx);
	pl_member_uncount_(table, self);
	self->boot = boot;
	self->incarnation++;
	self->started_s = (uint32_t)(self->started_s + gap / 1000);
	pl_member_recount_(table, self, self->state);
	pl_member_probes_clear_(table);
	pl_member_queue_(table, self);
	table->last_heard = table->now;
	table->next_sync = table->now;
	if (table->join != PL_JOIN_IDLE)
		pl_member_spread_now_(table, PL_MEMBER_GOSSIP_FANOUT);
}

/* Deadlines that passed during a stall must not count against other members. */
static void shift_deadlines_(pl_member_table_t *table, pl_ms_t by)
{
	pl_list_for_each(node, &table->probes) {
		pl_probe_t *probe = PL_CONTAINER_OF(node, pl_probe_t, link);

		probe->next_retry += by;
		probe->deadline += by;
	}
	pl_list_for_each(node, &table->suspects)
		PL_CONTAINER_OF(node, pl_member_t, suspect_link)->deadline +=
			by;
	for (guint i = 0; i < table->dcs->len; i++)
		((pl_member_dc_t *)table->dcs->pdata[i])->check_deadline += by;
	pl_member_liveness_shift_(table, by);
	table->next_period += by;
	table->next_join += by;
	table->last_heard += by;
}

void pl_member_tick(pl_member_table_t *table, pl_ms_t now)
{
	pl_ms_t gap = now - table->last_tick;

	if (now <= table->last_tick)
		return;
	table->last_tick = now;
	table->now = MAX(table->now, now);
	if (gap <= STALL_MS)
		return;
	shift_deadlines_(table, gap);
	if (gap > PL_MEMBER_PAUSE_MS)
		renew_identity_(table, gap);
	if (pl_timer_armed(&table->timer))
		pl_timer_arm(table->timers, &table->timer,
			     now + PL_MEMBER_TIMER_MS);
}

void pl_member_set_attributes(pl_member_table_t *table,
			      const pl_member_attr_t *attr)
{
	pl_member_t *self = table->self;

	if (attr->service == self->attr.service &&
	    attr->endpoint == self->attr.endpoint &&
	    attr->slots == self->attr.slots &&
	    attr->serving_since_s == self->attr.serving_since_s)
		return;
	pl_member_uncount_(table, self);
	self->attr = *attr;
	self->incarnation++;
	pl_member_recount_(table, self, self->state);
	pl_member_queue_(table, self);
	if (table->join != PL_JOIN_IDLE)
		pl_member_spread_now_(table, PL_MEMBER_GOSSIP_FANOUT);
}

/* Decides what to request from the sender and what to correct in its table. */
static void check_sender_(pl_member_table_t *table,
			  const pl_gossip_message_t *message,
			  pl_send_opts_t *opts)
{
	pl_member_t *sender = pl_member_lookup_(table, message->sender);

	if (!sender || message->incarnation > sender->incarnation) {
		opts->flags |= PL_GOSSIP_WANT_RECORD;
		return;
	}
	sender->revision = MAX(sender->revision, message->revision);
	if (message->incarnation < sender->incarnation ||
	    sender->state == PL_MEMBER_DEAD ||
	    sender->state == PL_MEMBER_SUSPECT ||
	    (sender->state == PL_MEMBER_LEFT &&
	     !(message->flags & PL_GOSSIP_LEAVING))) {
		opts->subject = sender;
		return;
	}
	if (sender->stale)
		opts->flags |= PL_GOSSIP_WANT_RECORD;
	pl_member_partition_heard_(table, sender);
}

static void note_revision_(pl_member_table_t *table,
			   const pl_gossip_message_t *message)
{
	if (message->revision <= table->revision_heard)
		return;
	table->revision_heard = message->revision;
	if (table->ops.revision)
		table->ops.revision(table->ctx, message->sender,
				    message->revision);
}

static void note_store_generation_(pl_member_table_t *table,
				   const pl_gossip_message_t *message)
{
	uint64_t generation = message->store_generation;

	if (generation <= table->store_generation)
		return;
	/* digests repeat what other datagrams stated when it was new */
	pl_member_raise_generation_(table, generation,
				    message->type != PL_GOSSIP_DIGEST);
	if (table->ops.store_generation)
		table->ops.store_generation(table->ctx, generation);
}

/* Handles the message by type; true when an answer with @p opts was sent. */
static bool handle_type_(pl_member_table_t *table,
			 const pl_gossip_message_t *message,
			 const pl_send_opts_t *opts)
{
	pl_gossip_message_t ack = { .type = PL_GOSSIP_ACK,
				    .sequence = message->sequence };

	switch (message->type) {
	case PL_GOSSIP_PING:
		pl_member_send_(table, message->sender, &ack, opts);
		return true;
	case PL_GOSSIP_ACK:
	case PL_GOSSIP_INDIRECT_ACK:
		pl_member_ack_(table, message);
		return false;
	case PL_GOSSIP_PING_REQ:
		pl_member_ping_req_(table, message);
		return false;
	case PL_GOSSIP_DIGEST:
		pl_member_digest_(table, message);
		return false;
	case PL_GOSSIP_BUCKET_DIGEST:
		pl_member_bucket_digest_(table, message);
		return false;
	default:
		return false;
	}
}

static void handle_message_(pl_member_table_t *table,
			    const pl_gossip_message_t *message)
{
	uint32_t incarnation = table->self->incarnation;
	uint32_t flags = message->flags;
	pl_send_opts_t opts = { 0 };
	pl_gossip_message_t update = { .type = PL_GOSSIP_UPDATE };

	table->last_heard = table->now;
	pl_member_note_seed_(table, message->sender);
	table->correction = NULL;
	for (size_t i = 0; i < message->record_count; i++)
		pl_member_apply_(table, &message->records[i], message->sender);
	opts.own_names = flags & PL_GOSSIP_WANT_NAMES;
	opts.own_record = opts.own_names || flags & PL_GOSSIP_WANT_RECORD ||
			  table->self->incarnation != incarnation;
	if (pl_member_has_budget_(table))
		opts.correction = table->correction;
	check_sender_(table, message, &opts);
	note_revision_(table, message);
	note_store_generation_(table, message);
	pl_member_note_evacuations_(table, &message->evacuations);
	if (!handle_type_(table, message, &opts) &&
	    (opts.own_record || opts.flags || opts.subject || opts.correction))
		pl_member_send_(table, message->sender, &update, &opts);
	if (flags & PL_GOSSIP_WANT_PEERS)
		pl_member_send_peers_(table, message->sender);
}

pl_result_t pl_member_receive(pl_member_table_t *table, const uint8_t *buf,
			      size_t len)
{
	pl_gossip_message_t message;
	pl_result_t result;

	table->bytes_in += len;
	pl_counter_add(PL_COUNTER_GOSSIP_IN_BYTES, len);
	result = pl_gossip_decode(table->decoder, buf, len, &message);
	if (result != PL_OK) {
		pl_counter_add(result == PL_ERR_AUTH ?
				       PL_COUNTER_DROP_AUTH :
				       PL_COUNTER_DROP_MALFORMED,
			       1);
		return result;
	}
	if (message.sender != table->self->id && table->join != PL_JOIN_IDLE)
		handle_message_(table, &message);
	return PL_OK;
}
