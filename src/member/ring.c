/**
 * @file Ring of the members.
 *
 * Each change is sent to random members and also once to the successor on the
 * ring. Random gossip spreads a change fast, but misses some members when the
 * budget allows only few datagrams. The ring reaches these members, since every
 * member has exactly one predecessor. Positions on the ring are hashes of the
 * member id, so that neighbours on the ring are not in the same rack.
 */
#include "private/member_private.h"

#include <assert.h>

/** Hash seed of the ring. */
#define RING_SEED 1
/** Members examined for a successor in the state ALIVE. */
#define RING_STEPS_MAX 64

static uint64_t ring_position_(pl_member_id_t id)
{
	return pl_hash(&id, sizeof(id), RING_SEED);
}

/* Index of the first member at or after the ring position of @p id. */
static guint ring_index_(const pl_member_table_t *table, pl_member_id_t id)
{
	uint64_t position = ring_position_(id);
	guint low = 0;
	guint high = table->ring->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		const pl_member_t *member = table->ring->pdata[middle];

		if (ring_position_(member->id) < position)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void pl_member_ring_insert_(pl_member_table_t *table, pl_member_t *member)
{
	g_ptr_array_insert(table->ring, (gint)ring_index_(table, member->id),
			   member);
}

void pl_member_ring_remove_(pl_member_table_t *table, pl_member_t *member)
{
	guint at = ring_index_(table, member->id);

	assert(at < table->ring->len && table->ring->pdata[at] == member);
	g_ptr_array_remove_index(table->ring, at);
}

pl_member_t *pl_member_ring_next_(pl_member_table_t *table)
{
	guint at = ring_index_(table, table->self->id);
	guint steps = MIN(table->ring->len - 1, RING_STEPS_MAX);

	for (guint i = 1; i <= steps; i++) {
		pl_member_t *member =
			table->ring->pdata[(at + i) % table->ring->len];

		if (member->state == PL_MEMBER_ALIVE)
			return member;
	}
	return NULL;
}
