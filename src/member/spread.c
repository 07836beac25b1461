/**
 * @file Gossip of changes within the budget.
 *
 * Changed records are queued by how often they were transmitted; the least
 * transmitted go first. Every datagram carries some of them, and while changes
 * are queued a few more datagrams are sent in each gossip interval. When the
 * budget is short, receiving a change that is also queued here counts as a
 * transmission of it, so that the budget goes to less known changes. A token
 * bucket limits the bytes sent. Probes are always sent; when the bucket is
 * empty they carry only a few urgent changes.
 */
#include "private/member_private.h"

#include <math.h>
#include <pimentolift/counter.h>
#include <string.h>

/** Transmissions of one change: a base, plus a multiple of the natural
 * logarithm of the number of members. */
#define TRANSMITS_BASE 4
#define TRANSMITS_PER_LN 2.0
/** Gossip intervals with datagrams for a new revision of the configuration or
 * generation of the store. */
#define URGENT_ROUNDS 6
/** Time for which all datagrams state a new generation of the store; after that
 * only the digests do. */
#define GENERATION_STATED_MS 10000
/** Time for which all datagrams state changed evacuations: several probes of
 * each member. While a data centre is evacuated all of them do. */
#define EVACUATIONS_STATED_MS 10000
/** Largest debt of the token bucket with which datagrams still go to the ring,
 * as time of the send budget. */
#define DEBT_MS 250
/** Units of the token bucket per byte. */
#define MILLI 1000
/** Longest time from a shortage of the budget to a comparison of tables. */
#define SHORTAGE_SYNC_MS 10000
/** Fill limit of a datagram in bytes. Small datagrams distribute the changes
 * more evenly over the receivers. */
#define DATAGRAM_FILL_MAX 500
/** Most suspicions, deaths and drains in a probe or its answer when the budget
 * is spent: 20 bytes each, four such datagrams per second. */
#define URGENT_MAX 12

static unsigned int transmit_limit_(const pl_member_table_t *table)
{
	double ln = log((double)pl_member_others_(table) + 1);
	unsigned int limit =
		TRANSMITS_BASE + (unsigned int)(TRANSMITS_PER_LN * ln);

	return MIN(limit, PL_MEMBER_TRANSMITS_MAX);
}

static void dequeue_(pl_member_table_t *table, pl_member_t *member)
{
	if (pl_list_empty(&member->update_link))
		return;
	pl_list_remove(&member->update_link);
	table->updates_queued--;
}

void pl_member_unqueue_(pl_member_table_t *table, pl_member_t *member)
{
	dequeue_(table, member);
	pl_list_remove(&member->ring_link);
}

/* Changes of members that are not alive, or are draining, go first. Such
 * members must stop getting work. */
static bool urgent_(const pl_member_t *member)
{
	return member->state != PL_MEMBER_ALIVE ||
	       member->attr.endpoint == PL_ENDPOINT_DRAINING;
}

/* Queues by the number of transmissions. Urgent changes get twice as many and
 * go before the other changes of the same list. */
static void enqueue_(pl_member_table_t *table, pl_member_t *member)
{
	bool urgent = urgent_(member);
	unsigned int index =
		urgent ? member->transmits / 2U : member->transmits;
	pl_list_t *list = &table->updates[index];

	pl_list_insert_before(urgent ? list->next : list, &member->update_link);
	table->updates_queued++;
}

void pl_member_queue_(pl_member_table_t *table, pl_member_t *member)
{
	pl_member_unqueue_(table, member);
	member->ring_skipped = table->bulk_update && member != table->self;
	if (member->ring_skipped)
		return;
	member->transmits = 0;
	enqueue_(table, member);
	pl_list_append(&table->ring_due, &member->ring_link);
}

void pl_member_drop_queued_(pl_member_table_t *table)
{
	for (guint i = 0; i < table->members->len; i++) {
		pl_member_t *member = table->members->pdata[i];

		if (member != table->self && !urgent_(member))
			dequeue_(table, member);
	}
}

/* Counts a transmission; true when @p member is still queued. */
static bool count_transmit_(pl_member_table_t *table, pl_member_t *member,
			    unsigned int limit)
{
	unsigned int transmits = member->transmits + 1U;

	dequeue_(table, member);
	if (transmits >= limit)
		return false;
	member->transmits = (uint8_t)transmits;
	enqueue_(table, member);
	return true;
}

void pl_member_note_duplicate_(pl_member_table_t *table, pl_member_t *member)
{
	/* the change may still be on its way round the ring, which must not
	 * end at this member */
	if (member->ring_skipped) {
		member->ring_skipped = false;
		pl_list_append(&table->ring_due, &member->ring_link);
	}
	/* with budget left, each change gets all its transmissions */
	if (!pl_list_empty(&member->update_link) &&
	    table->tokens < table->burst / 2)
		count_transmit_(table, member, transmit_limit_(table));
}

static void refill_(pl_member_table_t *table)
{
	table->tokens +=
		(int64_t)((table->now - table->refilled_at) * table->budget);
	table->refilled_at = table->now;
	table->tokens = MIN(table->tokens, table->burst);
}

bool pl_member_has_budget_(pl_member_table_t *table)
{
	refill_(table);
	return table->tokens > 0;
}

void pl_member_credit_(pl_member_table_t *table)
{
	refill_(table);
	table->tokens = MAX(table->tokens, (int64_t)table->budget * MILLI);
}

void pl_member_charge_(pl_member_table_t *table, size_t bytes)
{
	table->tokens = MAX(table->tokens - (int64_t)bytes * MILLI,
			    -(int64_t)table->budget * MILLI);
}

/* Records of a datagram under construction. */
typedef struct {
	pl_gossip_record_t records[PL_GOSSIP_RECORDS_MAX];
	size_t count;
	size_t room; /* bytes */
} batch_t;

static bool add_record_(batch_t *batch, const pl_gossip_record_t *record)
{
	size_t size = pl_gossip_record_size(record);

	if (batch->count == PL_GOSSIP_RECORDS_MAX || size > batch->room)
		return false;
	batch->records[batch->count++] = *record;
	batch->room -= size;
	return true;
}

static void add_member_(batch_t *batch, const pl_member_t *member)
{
	pl_gossip_record_t record;

	pl_member_make_record_(member, member->state == PL_MEMBER_ALIVE,
			       &record);
	add_record_(batch, &record);
}

static void add_own_record_(pl_member_table_t *table, batch_t *batch,
			    bool names)
{
	const pl_member_t *self = table->self;
	pl_gossip_record_t record;

	pl_member_make_record_(self, true, &record);
	if (names) {
		record.name = self->name;
		record.name_len = strlen(pl_member_name(self));
		record.datacentre_name = self->dc->name;
		record.datacentre_name_len = strlen(self->dc->name);
	}
	add_record_(batch, &record);
}

static bool in_batch_(const batch_t *batch, pl_member_id_t id)
{
	for (size_t i = 0; i < batch->count; i++) {
		if (batch->records[i].id == id)
			return true;
	}
	return false;
}

/* Adds the changes not yet sent on the ring, oldest first. */
static void add_ring_changes_(pl_member_table_t *table, batch_t *batch)
{
	unsigned int limit = transmit_limit_(table);

	pl_list_for_each_safe(node, &table->ring_due) {
		pl_member_t *member =
			PL_CONTAINER_OF(node, pl_member_t, ring_link);
		size_t before = batch->count;

		add_member_(batch, member);
		if (batch->count == before)
			return;
		pl_list_remove(node);
		if (!pl_list_empty(&member->update_link))
			count_transmit_(table, member, limit);
	}
}

/* Queued changes selected for one datagram. */
typedef struct {
	pl_member_t *members[PL_GOSSIP_RECORDS_MAX];
	size_t count;
	size_t max;
	bool urgent; /* select only urgent changes, the first of each list */
} selection_t;

/* Adds changes of one list; false when there is no room for more. */
static bool add_list_(const pl_list_t *list, pl_member_id_t to, batch_t *batch,
		      selection_t *selection)
{
	pl_list_for_each(node, list) {
		pl_member_t *member =
			PL_CONTAINER_OF(node, pl_member_t, update_link);
		size_t before = batch->count;

		if (selection->urgent && !urgent_(member))
			return true;
		if (in_batch_(batch, member->id) ||
		    (member->id == to && pl_member_live_(member)))
			continue;
		add_member_(batch, member);
		if (batch->count == before)
			return false;
		selection->members[selection->count++] = member;
		if (selection->count == selection->max)
			return false;
	}
	return true;
}

/* Adds queued changes, least transmitted first, and counts the transmissions.
 * When the budget is spent, only a few urgent changes are added. */
static void add_queued_changes_(pl_member_table_t *table, pl_member_id_t to,
				batch_t *batch)
{
	bool within = pl_member_has_budget_(table);
	selection_t selection = { .max = within ? PL_GOSSIP_RECORDS_MAX :
						  URGENT_MAX,
				  .urgent = !within };
	unsigned int limit = transmit_limit_(table);
	bool room = true;

	for (unsigned int transmits = 0; transmits < limit && room; transmits++)
		room = add_list_(&table->updates[transmits], to, batch,
				 &selection);
	for (size_t i = 0; i < selection.count; i++)
		count_transmit_(table, selection.members[i], limit);
}

/* A member that starts must know of evacuations before it places flows, so each
 * datagram states them while there are any. Later digests alone tell members
 * that missed the end of the last one. */
static bool states_evacuations_(const pl_member_table_t *table,
				pl_gossip_type_t type)
{
	return table->evacuations.count > 0 ||
	       table->now < table->evacuations_stated_until ||
	       (table->evacuations_changed &&
		(type == PL_GOSSIP_DIGEST || type == PL_GOSSIP_BUCKET_DIGEST));
}

void pl_member_send_(pl_member_table_t *table, pl_member_id_t to,
		     pl_gossip_message_t *message, const pl_send_opts_t *opts)
{
	uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
	batch_t batch = { .count = 0 };
	size_t len;

	message->sender = table->self->id;
	message->incarnation = table->self->incarnation;
	message->revision = table->revision;
	if (table->now < table->generation_stated_until ||
	    message->type == PL_GOSSIP_DIGEST)
		message->store_generation = table->store_generation;
	if (states_evacuations_(table, message->type))
		message->evacuations = table->evacuations;
	if (table->leaving)
		message->flags |= PL_GOSSIP_LEAVING;
	if (opts)
		message->flags |= opts->flags;
	/* encode without records to find out how much room is left */
	len = pl_gossip_encode(&table->key, message, buf, sizeof(buf));
	batch.room = len < DATAGRAM_FILL_MAX ? DATAGRAM_FILL_MAX - len :
					       sizeof(buf) - len;
	if (opts && opts->subject)
		add_member_(&batch, opts->subject);
	if (opts && opts->correction)
		add_member_(&batch, opts->correction);
	if (opts && opts->own_record)
		add_own_record_(table, &batch, opts->own_names);
	for (size_t i = 0; i < message->record_count; i++)
		add_record_(&batch, &message->records[i]);
	if (opts && opts->ring)
		add_ring_changes_(table, &batch);
	add_queued_changes_(table, to, &batch);
	message->records = batch.records;
	message->record_count = batch.count;
	len = pl_gossip_encode(&table->key, message, buf, sizeof(buf));
	message->records = NULL;
	message->record_count = 0;
	if (len == 0)
		return;
	pl_member_charge_(table, len);
	table->bytes_out += len;
	pl_counter_add(PL_COUNTER_GOSSIP_OUT_BYTES, len);
	table->ops.send_datagram(table->ctx, to, buf, len);
}

void pl_member_spread_now_(pl_member_table_t *table, unsigned int fanout)
{
	const pl_member_t *last = NULL;

	for (unsigned int i = 0; i < fanout; i++) {
		pl_gossip_message_t update = { .type = PL_GOSSIP_UPDATE };
		pl_member_t *to = pl_member_pick_(table, last);

		if (!to || !pl_member_has_budget_(table))
			return;
		pl_member_send_(table, to->id, &update, NULL);
		last = to;
	}
}

/* Sends changes to the successor on the ring, before the random receivers and
 * even with a small debt, since each change is sent on the ring only once. */
static void spread_ring_(pl_member_table_t *table)
{
	pl_gossip_message_t update = { .type = PL_GOSSIP_UPDATE };
	const pl_member_t *next;

	refill_(table);
	if (pl_list_empty(&table->ring_due) ||
	    table->tokens < -(int64_t)table->budget * DEBT_MS)
		return;
	table->next_ring = table->now + PL_MEMBER_RING_MS;
	next = pl_member_ring_next_(table);
	if (next)
		pl_member_send_(table, next->id, &update,
				&(pl_send_opts_t){ .ring = true });
}

void pl_member_spread_on_timer_(pl_member_table_t *table)
{
	if (table->now >= table->next_ring)
		spread_ring_(table);
	if (table->now < table->next_gossip)
		return;
	table->next_gossip = table->now + PL_MEMBER_GOSSIP_MS;
	/* an early comparison of tables transfers what the budget delays */
	if (table->updates_queued > 0 && !pl_member_has_budget_(table))
		table->next_sync =
			MIN(table->next_sync, table->now + SHORTAGE_SYNC_MS);
	if (table->updates_queued == 0 && table->urgent_rounds == 0)
		return;
	if (table->urgent_rounds > 0)
		table->urgent_rounds--;
	pl_member_spread_now_(table, PL_MEMBER_GOSSIP_FANOUT);
}

void pl_member_set_revision(pl_member_table_t *table, uint64_t revision)
{
	if (revision <= table->revision)
		return;
	table->revision = revision;
	table->self->revision = revision;
	table->revision_heard = MAX(table->revision_heard, revision);
	table->urgent_rounds = URGENT_ROUNDS;
	if (table->join != PL_JOIN_IDLE)
		pl_member_spread_now_(table, PL_MEMBER_GOSSIP_FANOUT);
}

void pl_member_raise_generation_(pl_member_table_t *table, uint64_t generation,
				 bool urgent)
{
	table->store_generation = generation;
	if (!urgent)
		return;
	table->generation_stated_until = table->now + GENERATION_STATED_MS;
	table->urgent_rounds = URGENT_ROUNDS;
	if (table->join != PL_JOIN_IDLE)
		pl_member_spread_now_(table, PL_MEMBER_GOSSIP_FANOUT);
}

void pl_member_set_store_generation(pl_member_table_t *table,
				    uint64_t generation)
{
	/* the first generation that a starting member knows is no news */
	if (generation > table->store_generation)
		pl_member_raise_generation_(table, generation,
					    table->store_generation != 0);
}

/* Sends the evacuations to a few members now, and states them for a while. */
static void spread_evacuations_(pl_member_table_t *table)
{
	table->evacuations_changed = true;
	table->evacuations_stated_until = table->now + EVACUATIONS_STATED_MS;
	table->urgent_rounds = URGENT_ROUNDS;
	if (table->join != PL_JOIN_IDLE)
		pl_member_spread_now_(table, PL_MEMBER_GOSSIP_FANOUT);
}

void pl_member_set_evacuations(pl_member_table_t *table,
			       const pl_evacuations_t *evacuations)
{
	bool same = pl_evacuations_same(evacuations, &table->evacuations);

	if (!pl_evacuations_newer(evacuations, &table->evacuations))
		return;
	table->evacuations = *evacuations;
	if (same)
		return;
	spread_evacuations_(table);
	if (table->ops.evacuations)
		table->ops.evacuations(table->ctx, &table->evacuations);
}

void pl_member_note_evacuations_(pl_member_table_t *table,
				 const pl_evacuations_t *evacuations)
{
	if (evacuations->revision == 0)
		return;
	/* the sender missed a change */
	if (pl_evacuations_newer(&table->evacuations, evacuations) &&
	    !pl_evacuations_same(&table->evacuations, evacuations) &&
	    table->now >= table->evacuations_stated_until)
		spread_evacuations_(table);
	pl_member_set_evacuations(table, evacuations);
}

const pl_evacuations_t *pl_member_evacuations(const pl_member_table_t *table)
{
	return &table->evacuations;
}
