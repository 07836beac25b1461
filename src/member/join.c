/**
 * @file Joining through seeds.
 *
 * A joining member asks a seed for a few members and pulls the table from one
 * of them, so that the seeds do not have to send all tables when many processes
 * are replaced at the same time.
 */
#include "private/member_private.h"

#include <string.h>

/** Timeout for the answer of a seed. */
#define SEED_TIMEOUT_MS 150
/** Backoff after all seeds were asked: first and longest. */
#define BACKOFF_MIN_MS 80
#define BACKOFF_MAX_MS 10000
/** Members sent to a joining member. */
#define PEERS_COUNT 5
/** Seeds asked at the same time, since some may be down. */
#define SEEDS_AT_ONCE 3

void pl_member_add_seed(pl_member_table_t *table, const pl_addr_t *seed)
{
	pl_member_id_t id = pl_member_id_from_addr(seed);

	if (id == table->self->id)
		return;
	for (guint i = 0; i < table->seeds->len; i++) {
		if (g_array_index(table->seeds, pl_member_id_t, i) == id)
			return;
	}
	g_array_append_val(table->seeds, id);
	if (table->join == PL_JOIN_SEED)
		table->next_join = MIN(table->next_join, table->now);
}

void pl_member_contact(pl_member_table_t *table, const pl_addr_t *addr)
{
	pl_gossip_message_t ping = { .type = PL_GOSSIP_PING,
				     .flags = PL_GOSSIP_WANT_RECORD |
					      PL_GOSSIP_WANT_NAMES };
	pl_member_id_t id = pl_member_id_from_addr(addr);

	if (id != table->self->id)
		pl_member_send_(table, id, &ping,
				&(pl_send_opts_t){ .own_record = true,
						   .own_names = true });
}

bool pl_member_joined(const pl_member_table_t *table)
{
	return table->join == PL_JOIN_DONE || pl_member_others_(table) > 0;
}

void pl_member_send_peers_(pl_member_table_t *table, pl_member_id_t to)
{
	pl_gossip_record_t records[PEERS_COUNT];
	pl_gossip_message_t update = { .type = PL_GOSSIP_UPDATE };
	const pl_member_t *requester = pl_member_lookup_(table, to);
	size_t count = 0;

	while (count < PEERS_COUNT) {
		const pl_member_t *peer = pl_member_pick_(table, requester);

		if (!peer)
			break;
		/* a member picked twice costs only a few bytes */
		pl_member_make_record_(peer, true, &records[count++]);
	}
	update.records = records;
	update.record_count = count;
	pl_member_send_(table, to, &update,
			&(pl_send_opts_t){ .own_record = true });
}

static void ask_next_seed_(pl_member_table_t *table)
{
	pl_gossip_message_t ping = { .type = PL_GOSSIP_PING,
				     .flags = PL_GOSSIP_WANT_RECORD |
					      PL_GOSSIP_WANT_PEERS };
	size_t count = table->seeds->len;
	pl_member_id_t seed;

	/* members with the same settings must not all ask the same seed */
	if (table->seed_index == 0)
		table->seed_index =
			pl_member_random_below_(table, count) + count;
	seed = g_array_index(table->seeds, pl_member_id_t,
			     table->seed_index++ % count);
	pl_member_send_(
		table, seed, &ping,
		&(pl_send_opts_t){ .own_record = true, .own_names = true });
}

void pl_member_notify_seeds_(pl_member_table_t *table)
{
	for (guint i = 0; i < table->seeds->len; i++) {
		pl_gossip_message_t update = { .type = PL_GOSSIP_UPDATE };

		pl_member_send_(
			table, g_array_index(table->seeds, pl_member_id_t, i),
			&update, &(pl_send_opts_t){ .own_record = true });
	}
}

static void ask_seeds_(pl_member_table_t *table)
{
	size_t count = table->seeds->len;

	table->next_join = table->now + SEED_TIMEOUT_MS;
	for (size_t i = 0; i < MIN(count, SEEDS_AT_ONCE); i++)
		ask_next_seed_(table);
	if (count == 0 || table->seed_index / count < 2)
		return;
	table->join_backoff = CLAMP(table->join_backoff * 3 / 2, BACKOFF_MIN_MS,
				    BACKOFF_MAX_MS);
	table->next_join = table->now + table->join_backoff;
}

static void pull_table_(pl_member_table_t *table, const pl_member_t *from)
{
	pl_gossip_record_t own;
	pl_gossip_frame_t pull = { .records = &own, .record_count = 1 };
	const pl_member_t *self = table->self;

	pl_member_make_record_(self, true, &own);
	own.name = self->name;
	own.name_len = strlen(pl_member_name(self));
	own.datacentre_name = self->dc->name;
	own.datacentre_name_len = strlen(self->dc->name);
	table->join = PL_JOIN_PULL;
	table->pull_from = from->id;
	table->next_join = table->now + PL_MEMBER_PULL_TIMEOUT_MS;
	pl_member_send_frame_(table, from->id, PL_PEER_TABLE_PULL, &pull);
}

void pl_member_note_seed_(pl_member_table_t *table, pl_member_id_t sender)
{
	if (table->seed_heard)
		return;
	for (guint i = 0; i < table->seeds->len; i++) {
		if (g_array_index(table->seeds, pl_member_id_t, i) != sender)
			continue;
		table->seed_heard = true;
		if (table->join == PL_JOIN_SEED)
			table->next_join = table->now;
	}
}

/* Whether the table may be pulled from any known member. The first known member
 * may be joining too, and two joining members that pull from each other would
 * form a separate group. Any member will do once all seeds were asked and none
 * answered. */
static bool may_pull_(const pl_member_table_t *table)
{
	return table->seeds->len == 0 || table->seed_heard ||
	       table->join_backoff > 0;
}

void pl_member_join_on_timer_(pl_member_table_t *table)
{
	const pl_member_t *from = NULL;

	if (table->join == PL_JOIN_DONE || table->now < table->next_join)
		return;
	if (may_pull_(table))
		from = pl_member_pick_(table, NULL);
	if (from &&
	    !(table->join == PL_JOIN_PULL && from->id == table->pull_from &&
	      pl_member_others_(table) > 1)) {
		pull_table_(table, from);
		return;
	}
	table->join = PL_JOIN_SEED;
	ask_seeds_(table);
}

void pl_member_frame_failed(pl_member_table_t *table,
			    const pl_peer_frame_t *frame)
{
	if (table->join != PL_JOIN_PULL || frame->type != PL_PEER_TABLE_PULL ||
	    frame->peer != table->pull_from)
		return;
	/* retry with another member after a short pause */
	table->next_join = table->now + PL_MEMBER_GOSSIP_MS;
}
