/** @file Membership table: records, counters, lookup and accessors. */
#include "private/member_private.h"

#include <assert.h>
#include <string.h>

/** Random draws before pl_member_pick_() gives up. */
#define PICK_TRIES 24

const char *const pl_member_role_names[] = {
	[PL_MEMBER_ENTRY] = "entry",
	[PL_MEMBER_AGENT] = "agent",
};

const char *const pl_member_state_names[] = {
	[PL_MEMBER_ALIVE] = "alive",
	[PL_MEMBER_SUSPECT] = "suspect",
	[PL_MEMBER_UNREACHABLE] = "unreachable",
	[PL_MEMBER_DEAD] = "dead",
	[PL_MEMBER_LEFT] = "left",
};

static_assert(G_N_ELEMENTS(pl_member_role_names) == PL_MEMBER_ROLE_COUNT,
	      "a name for each role");
static_assert(G_N_ELEMENTS(pl_member_state_names) == PL_MEMBER_STATE_COUNT,
	      "a name for each state");

uint64_t pl_member_random_below_(pl_member_table_t *table, uint64_t limit)
{
	assert(limit > 0);
	return table->ops.random(table->ctx) % limit;
}

pl_member_t *pl_member_lookup_(const pl_member_table_t *table,
			       pl_member_id_t id)
{
	return g_hash_table_lookup(table->by_id, &id);
}

bool pl_member_live_(const pl_member_t *member)
{
	return member->state < PL_MEMBER_DEAD;
}

size_t pl_member_others_(const pl_member_table_t *table)
{
	size_t live = table->by_state[PL_MEMBER_ALIVE] +
		      table->by_state[PL_MEMBER_SUSPECT] +
		      table->by_state[PL_MEMBER_UNREACHABLE];

	return pl_member_live_(table->self) ? live - 1 : live;
}

static void set_index_(pl_member_table_t *table, pl_member_t *member,
		       uint32_t index)
{
	table->members->pdata[index] = member;
	member->index = index;
}

pl_member_t *pl_member_add_(pl_member_table_t *table, pl_member_id_t id)
{
	pl_member_t *member = g_new0(pl_member_t, 1);
	uint32_t at;

	assert(id != 0);
	member->id = id;
	member->state = PL_MEMBER_STATE_COUNT;
	pl_list_init(&member->suspect_link);
	pl_list_init(&member->update_link);
	pl_list_init(&member->ring_link);
	pl_member_ring_insert_(table, member);
	g_hash_table_insert(table->by_id, &member->id, member);
	g_ptr_array_add(table->members, member);
	/* insertion at a random index keeps the probe order random */
	at = (uint32_t)pl_member_random_below_(table, table->members->len);
	set_index_(table, table->members->pdata[at], table->members->len - 1);
	set_index_(table, member, at);
	return member;
}

void pl_member_forget_(pl_member_table_t *table, pl_member_t *member)
{
	uint32_t last = table->members->len - 1;

	assert(member != table->self);
	pl_member_unqueue_(table, member);
	pl_list_remove(&member->suspect_link);
	pl_member_uncount_(table, member);
	set_index_(table, table->members->pdata[last], member->index);
	g_ptr_array_set_size(table->members, (gint)last);
	g_hash_table_remove(table->by_id, &member->id);
	pl_member_ring_remove_(table, member);
	g_free(member->name);
	g_free(member);
}

pl_member_dc_t *pl_member_dc_(pl_member_table_t *table, pl_datacentre_id_t id)
{
	pl_member_dc_t *dc;

	for (guint i = 0; i < table->dcs->len; i++) {
		dc = table->dcs->pdata[i];
		if (dc->id == id)
			return dc;
	}
	dc = g_new0(pl_member_dc_t, 1);
	dc->id = id;
	g_ptr_array_add(table->dcs, dc);
	return dc;
}

uint32_t pl_member_bucket_(pl_member_id_t id)
{
	return pl_hash(&id, sizeof(id), 0) % PL_GOSSIP_BUCKETS;
}

/* The digest omits the state: members may differ on whether a live member is
 * suspect or unreachable, and such tables must still compare as equal. */
static void toggle_digest_(pl_member_t *member)
{
	const uint64_t fields[] = { member->id, member->incarnation,
				    member->boot };

	if (!member->dc || !pl_member_live_(member))
		return;
	member->dc->buckets[pl_member_bucket_(member->id)] ^=
		(uint32_t)pl_hash(fields, sizeof(fields), 0);
}

void pl_member_uncount_(pl_member_table_t *table, pl_member_t *member)
{
	if (member->state >= PL_MEMBER_STATE_COUNT)
		return;
	toggle_digest_(member);
	table->by_state[member->state]--;
	if (pl_member_live_(member))
		table->by_role[member->role]--;
	if (member->dc)
		member->dc->by_state[member->state]--;
}

void pl_member_recount_(pl_member_table_t *table, pl_member_t *member,
			pl_member_state_t old)
{
	assert(member->state < PL_MEMBER_STATE_COUNT);
	toggle_digest_(member);
	table->by_state[member->state]++;
	if (pl_member_live_(member))
		table->by_role[member->role]++;
	if (member->dc)
		member->dc->by_state[member->state]++;
	if (member->state != PL_MEMBER_SUSPECT)
		pl_list_remove(&member->suspect_link);
	table->ops.changed(table->ctx, member, old);
}

void pl_member_set_state_(pl_member_table_t *table, pl_member_t *member,
			  pl_member_state_t state)
{
	pl_member_state_t old = member->state;

	if (old == state)
		return;
	pl_member_uncount_(table, member);
	member->state = state;
	pl_member_recount_(table, member, old);
}

pl_member_t *pl_member_pick_(pl_member_table_t *table,
			     const pl_member_t *except)
{
	for (int i = 0; i < PICK_TRIES; i++) {
		pl_member_t *member =
			table->members->pdata[pl_member_random_below_(
				table, table->members->len)];

		if (member != table->self && member != except &&
		    member->state == PL_MEMBER_ALIVE)
			return member;
	}
	return NULL;
}

pl_member_t *pl_member_pick_in_(pl_member_table_t *table,
				const pl_member_dc_t *dc,
				pl_member_state_t state)
{
	uint32_t count = table->members->len;
	uint32_t at;

	if (dc->by_state[state] == 0)
		return NULL;
	at = (uint32_t)pl_member_random_below_(table, count);
	for (uint32_t i = 0; i < count; i++) {
		pl_member_t *member = table->members->pdata[(at + i) % count];

		if (member != table->self && member->dc == dc &&
		    member->state == state)
			return member;
	}
	return NULL;
}

const pl_member_t *pl_member_self(const pl_member_table_t *table)
{
	return table->self;
}

const pl_member_t *pl_member_find(const pl_member_table_t *table,
				  pl_member_id_t id)
{
	return pl_member_lookup_(table, id);
}

size_t pl_member_count(const pl_member_table_t *table)
{
	return table->members->len;
}

const pl_member_t *pl_member_at(const pl_member_table_t *table, size_t index)
{
	assert(index < table->members->len);
	return table->members->pdata[index];
}

size_t pl_member_datacentre_count(const pl_member_table_t *table)
{
	return table->dcs->len;
}

void pl_member_datacentre_at(const pl_member_table_t *table, size_t index,
			     pl_member_datacentre_t *out)
{
	const pl_member_dc_t *dc;

	assert(index < table->dcs->len);
	dc = table->dcs->pdata[index];
	out->id = dc->id;
	out->name = dc->name ? dc->name : "";
	out->partitioned = dc->partitioned;
	memcpy(out->by_state, dc->by_state, sizeof(out->by_state));
}

void pl_member_stats(const pl_member_table_t *table, pl_member_stats_t *stats)
{
	memset(stats, 0, sizeof(*stats));
	memcpy(stats->by_state, table->by_state, sizeof(stats->by_state));
	memcpy(stats->by_role, table->by_role, sizeof(stats->by_role));
	for (int i = 0; i < PL_MEMBER_DEAD; i++)
		stats->members += table->by_state[i];
	stats->updates_queued = table->updates_queued;
	stats->bytes_in = table->bytes_in;
	stats->bytes_out = table->bytes_out;
	stats->refuted = table->refuted;
	stats->paused = table->paused;
}

pl_member_id_t pl_member_id(const pl_member_t *member)
{
	return member->id;
}

pl_member_state_t pl_member_state(const pl_member_t *member)
{
	return member->state;
}

pl_member_role_t pl_member_role(const pl_member_t *member)
{
	return member->role;
}

uint64_t pl_member_boot(const pl_member_t *member)
{
	return member->boot;
}

uint64_t pl_member_incarnation(const pl_member_t *member)
{
	return member->incarnation;
}

const char *pl_member_name(const pl_member_t *member)
{
	return member->name ? member->name : "";
}

pl_datacentre_id_t pl_member_datacentre(const pl_member_t *member)
{
	return member->dc ? member->dc->id : 0;
}

const char *pl_member_datacentre_name(const pl_member_t *member)
{
	return member->dc && member->dc->name ? member->dc->name : "";
}

uint32_t pl_member_started_s(const pl_member_t *member)
{
	return member->started_s;
}

const pl_member_attr_t *pl_member_attr(const pl_member_t *member)
{
	return &member->attr;
}

uint64_t pl_member_revision(const pl_member_t *member)
{
	return member->revision;
}
