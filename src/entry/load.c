/**
 * @file
 * Load reports by agent: a table of fixed size with open addressing. A slot
 * is claimed once by compare-and-swap and never given back, so readers and
 * writers on all traffic threads need no lock.
 */
#include <pimentolift/hash.h>
#include <pimentolift/load.h>

#include <glib.h>
#include <stdatomic.h>

/** A report is worth half after this long and nothing after LOAD_LIFE_MS. */
#define LOAD_HALF_MS 250
#define LOAD_LIFE_MS 2000
/** Wait that one request sent since the last report adds. */
#define SENT_COST_MS 5
/** Slots; a power of two well above the agents of the design's size. */
#define SLOTS 32768
/** Slots looked at before an agent goes without a report. */
#define PROBES_MAX 32

typedef struct {
	atomic_uint_fast64_t agent;
	atomic_uint_fast64_t heard;
	atomic_uint_fast32_t load_ms;
	atomic_uint_fast32_t sent;
} slot_t;

struct pl_load_table {
	slot_t slots[SLOTS];
};

pl_load_table_t *pl_load_table_new(void)
{
	return g_new0(pl_load_table_t, 1);
}

void pl_load_table_delete(pl_load_table_t *table)
{
	g_free(table);
}

/* Slot of @p agent; claims a free one when @p claim, else NULL. */
static slot_t *slot_(pl_load_table_t *table, pl_member_id_t agent, bool claim)
{
	uint64_t start = pl_hash(&agent, sizeof(agent), 0);

	for (size_t i = 0; i < PROBES_MAX; i++) {
		slot_t *slot = &table->slots[(start + i) % SLOTS];
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

void pl_load_heard(pl_load_table_t *table, pl_member_id_t agent,
		   uint32_t load_ms, pl_ms_t now)
{
	slot_t *slot = slot_(table, agent, true);

	if (!slot)
		return;
	atomic_store_explicit(&slot->load_ms, load_ms, memory_order_relaxed);
	atomic_store_explicit(&slot->heard, now, memory_order_relaxed);
	atomic_store_explicit(&slot->sent, 0, memory_order_relaxed);
}

void pl_load_sent(pl_load_table_t *table, pl_member_id_t agent)
{
	slot_t *slot = slot_(table, agent, true);

	if (slot)
		atomic_fetch_add_explicit(&slot->sent, 1, memory_order_relaxed);
}

uint32_t pl_load_expected(pl_load_table_t *table, pl_member_id_t agent,
			  pl_ms_t now)
{
	const slot_t *slot = slot_(table, agent, false);
	uint64_t heard;
	uint64_t age;
	uint32_t load_ms;
	uint32_t sent;

	if (!slot)
		return 0;
	heard = atomic_load_explicit(&slot->heard, memory_order_relaxed);
	age = now > heard ? now - heard : 0;
	if (age > LOAD_LIFE_MS)
		return 0;
	load_ms = (uint32_t)atomic_load_explicit(&slot->load_ms,
						 memory_order_relaxed);
	sent = (uint32_t)atomic_load_explicit(&slot->sent,
					      memory_order_relaxed);
	return (load_ms >> (age / LOAD_HALF_MS)) + sent * SENT_COST_MS;
}
