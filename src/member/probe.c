/** @file Failure detection: probes, indirect probes, watches, suspicion. */
#include "private/member_private.h"

#include <assert.h>

/** Members examined in the search for the next one to probe. */
#define PROBE_STEPS_MAX 256
/** Records checked for expiry in each run of the timer. */
#define SWEEP_RECORDS 8

static void free_probe_(pl_probe_t *probe)
{
	pl_list_remove(&probe->link);
	g_free(probe);
}

void pl_member_probes_clear_(pl_member_table_t *table)
{
	pl_list_for_each_safe(node, &table->probes)
		free_probe_(PL_CONTAINER_OF(node, pl_probe_t, link));
}

static void send_ping_(pl_member_table_t *table, const pl_probe_t *probe)
{
	const pl_member_t *target = pl_member_lookup_(table, probe->target);
	pl_gossip_message_t ping = { .type = PL_GOSSIP_PING,
				     .sequence = probe->sequence };
	pl_send_opts_t opts = { 0 };

	if (!target || target->stale)
		opts.flags |= PL_GOSSIP_WANT_RECORD;
	/* the target can refute a state only if it receives the record */
	if (target && (target->state == PL_MEMBER_SUSPECT ||
		       target->state == PL_MEMBER_DEAD))
		opts.subject = target;
	if (target && target->want_names)
		opts.flags |= PL_GOSSIP_WANT_NAMES;
	pl_member_send_(table, probe->target, &ping, &opts);
}

static pl_probe_t *start_probe_(pl_member_table_t *table, pl_probe_kind_t kind,
				pl_member_id_t target)
{
	pl_probe_t *probe = g_new0(pl_probe_t, 1);

	probe->kind = kind;
	probe->target = target;
	probe->sequence = ++table->sequence;
	probe->next_retry = table->now + PL_MEMBER_PROBE_RETRY_MS;
	probe->deadline = table->now + PL_MEMBER_PROBE_TIMEOUT_MS;
	pl_list_append(&table->probes, &probe->link);
	return probe;
}

void pl_member_probe_(pl_member_table_t *table, pl_probe_kind_t kind,
		      pl_member_id_t target)
{
	send_ping_(table, start_probe_(table, kind, target));
}

bool pl_member_probing_(const pl_member_table_t *table, pl_member_id_t target)
{
	pl_list_for_each(node, &table->probes) {
		const pl_probe_t *probe =
			PL_CONTAINER_OF(node, pl_probe_t, link);

		if (probe->kind == PL_PROBE_DETECT && probe->target == target)
			return true;
	}
	return false;
}

size_t pl_member_detections_(const pl_member_table_t *table)
{
	size_t count = 0;

	pl_list_for_each(node, &table->probes)
		count += PL_CONTAINER_OF(node, pl_probe_t, link)->kind ==
			 PL_PROBE_DETECT;
	pl_list_for_each(node, &table->suspects)
		count += PL_CONTAINER_OF(node, pl_member_t, suspect_link)
				 ->own_suspicion;
	return count;
}

void pl_member_ping_req_(pl_member_table_t *table,
			 const pl_gossip_message_t *message)
{
	pl_probe_t *probe =
		start_probe_(table, PL_PROBE_RELAY, message->target);

	probe->requester = message->sender;
	probe->requester_sequence = message->sequence;
	send_ping_(table, probe);
}

static void probe_acked_(pl_member_table_t *table, pl_probe_t *probe)
{
	pl_gossip_message_t ack = { .type = PL_GOSSIP_INDIRECT_ACK,
				    .sequence = probe->requester_sequence,
				    .target = probe->target };
	const pl_member_t *target = pl_member_lookup_(table, probe->target);

	if (probe->kind == PL_PROBE_RELAY)
		pl_member_send_(table, probe->requester, &ack, NULL);
	if (probe->kind == PL_PROBE_PARTITION && target && target->dc)
		pl_member_partition_acked_(table, target->dc);
	if (probe->kind == PL_PROBE_LIVENESS)
		pl_member_liveness_acked_(table, probe->target);
}

void pl_member_ack_(pl_member_table_t *table,
		    const pl_gossip_message_t *message)
{
	pl_member_id_t from = message->type == PL_GOSSIP_ACK ? message->sender :
							       message->target;

	pl_list_for_each(node, &table->probes) {
		pl_probe_t *probe = PL_CONTAINER_OF(node, pl_probe_t, link);

		if (probe->sequence != message->sequence ||
		    probe->target != from)
			continue;
		probe_acked_(table, probe);
		free_probe_(probe);
		return;
	}
}

static void probe_indirectly_(pl_member_table_t *table, pl_probe_t *probe)
{
	const pl_member_t *target = pl_member_lookup_(table, probe->target);

	for (int i = 0; i < PL_MEMBER_INDIRECT_PROBES; i++) {
		pl_gossip_message_t request = { .type = PL_GOSSIP_PING_REQ,
						.sequence = probe->sequence,
						.target = probe->target };
		const pl_member_t *relay = pl_member_pick_(table, target);

		if (!relay)
			return;
		pl_member_send_(table, relay->id, &request, NULL);
	}
}

static void retry_probe_(pl_member_table_t *table, pl_probe_t *probe)
{
	bool detects = probe->kind == PL_PROBE_DETECT ||
		       probe->kind == PL_PROBE_LIVENESS;

	probe->retries++;
	probe->next_retry = table->now + PL_MEMBER_PROBE_RETRY_MS;
	if (detects && probe->retries == 1)
		probe_indirectly_(table, probe);
	if (detects || probe->kind == PL_PROBE_PARTITION)
		send_ping_(table, probe);
}

static void probe_failed_(pl_member_table_t *table, pl_member_t *target)
{
	pl_member_suspect_(table, target);
	target->own_suspicion = target->state == PL_MEMBER_SUSPECT;
}

static void check_probes_(pl_member_table_t *table)
{
	pl_list_for_each_safe(node, &table->probes) {
		pl_probe_t *probe = PL_CONTAINER_OF(node, pl_probe_t, link);
		pl_member_t *target = pl_member_lookup_(table, probe->target);

		if (table->now >= probe->deadline) {
			if (target && probe->kind == PL_PROBE_DETECT)
				probe_failed_(table, target);
			free_probe_(probe);
		} else if (table->now >= probe->next_retry &&
			   probe->retries < PL_MEMBER_PROBE_RETRIES) {
			retry_probe_(table, probe);
		}
	}
}

/* Declares suspects dead that did not refute in time. */
static void check_suspects_(pl_member_table_t *table)
{
	pl_list_for_each_safe(node, &table->suspects) {
		pl_member_t *member =
			PL_CONTAINER_OF(node, pl_member_t, suspect_link);

		if (table->now < member->deadline)
			return;
		/* the call may have changed the states of many members */
		if (pl_member_partition_blocks_death_(table, member))
			return;
		pl_member_set_tombstone_(table, member, PL_MEMBER_DEAD);
		pl_member_queue_(table, member);
	}
}

static void shuffle_(pl_member_table_t *table)
{
	GPtrArray *members = table->members;

	for (guint i = members->len - 1; i > 0; i--) {
		guint j = (guint)pl_member_random_below_(table, i + 1);
		pl_member_t *a = members->pdata[i];
		pl_member_t *b = members->pdata[j];

		members->pdata[i] = b;
		members->pdata[j] = a;
		b->index = i;
		a->index = j;
	}
}

static pl_member_t *next_target_(pl_member_table_t *table)
{
	guint steps = MIN(table->members->len, PROBE_STEPS_MAX);

	for (guint i = 0; i < steps; i++) {
		pl_member_t *member;

		if (table->probe_index >= table->members->len) {
			table->probe_index = 0;
			shuffle_(table);
		}
		member = table->members->pdata[table->probe_index++];
		if (member != table->self && member->state == PL_MEMBER_ALIVE)
			return member;
	}
	return NULL;
}

static void check_watches_(pl_member_table_t *table)
{
	pl_list_for_each(node, &table->watches) {
		pl_watch_t *watch = PL_CONTAINER_OF(node, pl_watch_t, link);
		const pl_member_t *member = pl_member_lookup_(table, watch->id);

		if (table->now < watch->next || !member ||
		    member->state != PL_MEMBER_ALIVE)
			continue;
		watch->next = table->now + PL_MEMBER_WATCH_MS;
		pl_member_probe_(table, PL_PROBE_DETECT, watch->id);
	}
}

/* Probes suspects again, but only those that this process suspected itself: if
 * every member probed every suspect, the probes would flood the network. */
static void probe_suspects_(pl_member_table_t *table)
{
	unsigned int probed = 0;

	pl_list_for_each(node, &table->suspects) {
		pl_member_t *member =
			PL_CONTAINER_OF(node, pl_member_t, suspect_link);

		if (!member->own_suspicion || table->now < member->next_probe)
			continue;
		member->next_probe = table->now + PL_MEMBER_WATCH_MS;
		pl_member_probe_(table, PL_PROBE_CONTACT, member->id);
		if (++probed == PL_MEMBER_INDIRECT_PROBES)
			return;
	}
}

static void sweep_records_(pl_member_table_t *table)
{
	for (int i = 0; i < SWEEP_RECORDS; i++) {
		pl_member_t *member;

		if (table->sweep_index >= table->members->len)
			table->sweep_index = 0;
		member = table->members->pdata[table->sweep_index++];
		if (!pl_member_live_(member) && member != table->self &&
		    table->now >= member->deadline)
			pl_member_forget_(table, member);
		else if (member->state == PL_MEMBER_UNREACHABLE &&
			 member->dc->partitioned &&
			 table->now - member->dc->partitioned_since >=
				 PL_MEMBER_PARTITION_MAX_MS)
			pl_member_set_tombstone_(table, member, PL_MEMBER_DEAD);
	}
}

void pl_member_probe_on_timer_(pl_member_table_t *table)
{
	check_probes_(table);
	check_suspects_(table);
	probe_suspects_(table);
	check_watches_(table);
	sweep_records_(table);
	if (table->now < table->next_period)
		return;
	table->next_period = table->now + PL_MEMBER_PROTOCOL_PERIOD_MS;
	if (!table->leaving) {
		pl_member_t *target = next_target_(table);

		if (target)
			pl_member_probe_(table, PL_PROBE_DETECT, target->id);
	}
}

void pl_member_watch(pl_member_table_t *table, pl_member_id_t id)
{
	pl_watch_t *watch;

	pl_list_for_each(node, &table->watches) {
		watch = PL_CONTAINER_OF(node, pl_watch_t, link);
		if (watch->id == id) {
			watch->count++;
			return;
		}
	}
	watch = g_new0(pl_watch_t, 1);
	watch->id = id;
	watch->count = 1;
	watch->next = table->now;
	pl_list_append(&table->watches, &watch->link);
}

/* Keeps the entry at a count of 0, so that a renewed watch keeps the time of
 * its next probe. */
void pl_member_unwatch(pl_member_table_t *table, pl_member_id_t id)
{
	pl_list_for_each(node, &table->watches) {
		pl_watch_t *watch = PL_CONTAINER_OF(node, pl_watch_t, link);

		if (watch->id == id && watch->count > 0)
			watch->count--;
	}
}
