/**
 * @file
 * Callers whose flows were reset, and who come back at once with work that is
 * late already.
 */
#include "private/entry_private.h"

/** A caller comes back within this time. */
#define RETRY_MS 600

/** Flows of one caller that were reset. */
typedef struct {
	unsigned int count;
	pl_ms_t until;
} retry_t;

void pl_flow_retries_init_(pl_flow_entry_t *entry)
{
	entry->retries = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					       NULL, g_free);
}

void pl_flow_retries_note_(pl_flow_entry_t *entry, uint32_t ip)
{
	gpointer key = GUINT_TO_POINTER(ip);
	retry_t *retry = g_hash_table_lookup(entry->retries, key);

	if (!retry) {
		retry = g_new0(retry_t, 1);
		g_hash_table_insert(entry->retries, key, retry);
	}
	retry->count++;
	retry->until = pl_flow_entry_now_(entry) + RETRY_MS;
}

bool pl_flow_retries_take_(pl_flow_entry_t *entry, uint32_t ip)
{
	gpointer key = GUINT_TO_POINTER(ip);
	retry_t *retry = g_hash_table_lookup(entry->retries, key);

	if (!retry || pl_flow_entry_now_(entry) > retry->until)
		return false;
	if (--retry->count == 0)
		g_hash_table_remove(entry->retries, key);
	return true;
}

static gboolean expired_(gpointer key, gpointer value, gpointer ctx)
{
	const retry_t *retry = value;
	const pl_flow_entry_t *entry = ctx;

	(void)key;
	return pl_flow_entry_now_(entry) > retry->until;
}

void pl_flow_retries_expire_(pl_flow_entry_t *entry)
{
	g_hash_table_foreach_remove(entry->retries, expired_, entry);
}
