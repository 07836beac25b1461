/**
 * @file
 * Load reports of the agents: a hash table of fixed size with open addressing.
 * A slot is claimed by compare-and-swap and never released, so readers and
 * writers on all traffic threads need no lock.
 */
#include <pimentolift/hash.h>
#include <pimentolift/load.h>

#include <glib.h>
#include <stdatomic.h>

/** Interval after which the reported load counts half as much. */
#define LOAD_HALF_LIFE_MS 250
/** Age after which a report is ignored. */
#define LOAD_MAX_AGE_MS 2000
/** Expected wait per request that was sent after the last report. */
#define SENT_COST_MS 5
/** Size of the table; a power of two, well above the designed agent count. */
#define TABLE_SLOTS 32768
/** Probes before an agent is left without a slot. */
#define PROBES_MAX 32

typedef struct {
	atomic_uint_fast64_t agent;
	atomic_uint_fast64_t reported_at;
	atomic_uint_fast32_t load_ms;
	atomic_uint_fast32_t sent;
} slot_t;

struct pl_load_table {
	slot_t slots[TABLE_SLOTS];
};

pl_load_table_t *pl_load_table_new(void)
{
	return g_new0(pl_load_table_t, 1);
}

void pl_load_table_delete(pl_load_table_t *table)
{
	g_free(table);
}

/*
 * Returns the slot of @p agent. If it has none, claims a free slot when
 * @p claim is set. Returns NULL when there is no slot.
 */
static slot_t *find_slot_(pl_load_table_t *table, pl_member_id_t agent,
			  bool claim)
{
	uint64_t start = pl_hash(&agent, sizeof(agent), 0);

	for (size_t i = 0; i < PROBES_MAX; i++) {
		slot_t *slot = &table->slots[(start + i) % TABLE_SLOTS];
		uint_fast64_t holder = atomic_load(&slot->agent);

		if (holder == 0 && !claim)
			return NULL;
		if (holder == 0 && atomic_compare_exchange_strong(
					   &slot->agent, &holder, agent))
			return slot;
		if (holder == agent)
			return slot;
	}
	return NULL;
}

void pl_load_update(pl_load_table_t *table, pl_member_id_t agent,
		    uint32_t load_ms, pl_ms_t now)
{
	slot_t *slot = find_slot_(table, agent, true);

	if (!slot)
		return;
	atomic_store_explicit(&slot->load_ms, load_ms, memory_order_relaxed);
	atomic_store_explicit(&slot->reported_at, now, memory_order_relaxed);
	atomic_store_explicit(&slot->sent, 0, memory_order_relaxed);
}

void pl_load_count_sent(pl_load_table_t *table, pl_member_id_t agent)
{
	slot_t *slot = find_slot_(table, agent, true);

	if (slot)
		atomic_fetch_add_explicit(&slot->sent, 1, memory_order_relaxed);
}

uint32_t pl_load_expected(pl_load_table_t *table, pl_member_id_t agent,
			  pl_ms_t now)
{
	const slot_t *slot = find_slot_(table, agent, false);
	uint64_t reported_at;
	uint64_t age;
	uint32_t load_ms;
	uint32_t sent;

	if (!slot)
		return 0;
	reported_at =
		atomic_load_explicit(&slot->reported_at, memory_order_relaxed);
	age = now > reported_at ? now - reported_at : 0;
	if (age > LOAD_MAX_AGE_MS)
		return 0;
	load_ms = (uint32_t)atomic_load_explicit(&slot->load_ms,
						 memory_order_relaxed);
	sent = (uint32_t)atomic_load_explicit(&slot->sent,
					      memory_order_relaxed);
	return (load_ms >> (age / LOAD_HALF_LIFE_MS)) + sent * SENT_COST_MS;
}
