/**
 * @file
 * Callers whose flows were reset. Such a caller retries at once, with a request
 * that is late already.
 */
#include "private/entry_private.h"

/** A caller whose flow was reset retries within this time. */
#define RETRY_WINDOW_MS 100
/** Resets recorded per caller; further retries count as new requests. */
#define RETRIES_PER_CALLER_MAX 8

/** Resets of flows of one caller. */
typedef struct {
	unsigned int count;
	pl_ms_t reset_at[RETRIES_PER_CALLER_MAX];
} caller_resets_t;

void pl_flow_retries_init_(pl_flow_entry_t *entry)
{
	entry->retries = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					       NULL, g_free);
}

static void remove_reset_(caller_resets_t *resets, unsigned int index)
{
	resets->reset_at[index] = resets->reset_at[--resets->count];
}

static void remove_old_resets_(caller_resets_t *resets, pl_ms_t now)
{
	for (unsigned int i = resets->count; i-- > 0;) {
		if (now > resets->reset_at[i] + RETRY_WINDOW_MS)
			remove_reset_(resets, i);
	}
}

void pl_flow_retries_record_reset_(pl_flow_entry_t *entry, uint32_t ip)
{
	gpointer key = GUINT_TO_POINTER(ip);
	caller_resets_t *resets = g_hash_table_lookup(entry->retries, key);
	pl_ms_t now = pl_flow_entry_now_(entry);

	if (!resets) {
		resets = g_new0(caller_resets_t, 1);
		g_hash_table_insert(entry->retries, key, resets);
	}
	remove_old_resets_(resets, now);
	if (resets->count < RETRIES_PER_CALLER_MAX)
		resets->reset_at[resets->count++] = now;
}

bool pl_flow_retries_consume_(pl_flow_entry_t *entry, uint32_t ip)
{
	caller_resets_t *resets =
		g_hash_table_lookup(entry->retries, GUINT_TO_POINTER(ip));
	pl_ms_t now = pl_flow_entry_now_(entry);

	if (!resets)
		return false;
	remove_old_resets_(resets, now);
	if (resets->count == 0)
		return false;
	remove_reset_(resets, 0);
	return true;
}

static gboolean is_expired_(gpointer key, gpointer value, gpointer ctx)
{
	caller_resets_t *resets = value;

	(void)key;
	remove_old_resets_(resets, pl_flow_entry_now_(ctx));
	return resets->count == 0;
}

void pl_flow_retries_expire_(pl_flow_entry_t *entry)
{
	g_hash_table_foreach_remove(entry->retries, is_expired_, entry);
}
