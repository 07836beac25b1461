/**
 * @file Order of the members in a ring.
 *
 * Each change is sent once to the next member on the ring beside the random
 * ones. Random sendings spread a change fast but, when the budget allows few,
 * leave gaps; the ring closes them, since every member has exactly one
 * predecessor. The order is by a hash of the identity, so that neighbours on
 * the ring do not share a rack.
 */
#include "private/member_private.h"

#include <assert.h>

/** Hash seed of the ring. */
#define RING_SEED 1
/** Members that are skipped because they do not answer. */
#define RING_STEPS_MAX 64

static uint64_t place_of_(pl_member_id_t id)
{
	return pl_hash(&id, sizeof(id), RING_SEED);
}

/* Index of the first member at or after the place of @p id. */
static guint find_(const pl_member_table_t *table, pl_member_id_t id)
{
	uint64_t place = place_of_(id);
	guint low = 0;
	guint high = table->ring->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		const pl_member_t *member = table->ring->pdata[middle];

		if (place_of_(member->id) < place)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void pl_member_ring_insert_(pl_member_table_t *table, pl_member_t *member)
{
	g_ptr_array_insert(table->ring, (gint)find_(table, member->id), member);
}

void pl_member_ring_remove_(pl_member_table_t *table, pl_member_t *member)
{
	guint at = find_(table, member->id);

	assert(at < table->ring->len && table->ring->pdata[at] == member);
	g_ptr_array_remove_index(table->ring, at);
}

pl_member_t *pl_member_ring_next_(pl_member_table_t *table)
{
	guint at = find_(table, table->self->id);
	guint steps = MIN(table->ring->len - 1, RING_STEPS_MAX);

	for (guint i = 1; i <= steps; i++) {
		pl_member_t *member =
			table->ring->pdata[(at + i) % table->ring->len];

		if (member->state == PL_MEMBER_ALIVE)
			return member;
	}
	return NULL;
}
