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

/** A reset of a flow whose caller has not retried. */
typedef struct {
	pl_ms_t at;
	pl_flow_deadlines_t deadlines; /**< of its request */
} reset_t;

/** Resets of flows of one caller. */
typedef struct {
	unsigned int count;
	reset_t resets[RETRIES_PER_CALLER_MAX];
} caller_resets_t;

void pl_flow_retries_init_(pl_flow_entry_t *entry)
{
	entry->retries = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					       NULL, g_free);
}

static void remove_reset_(caller_resets_t *resets, unsigned int index)
{
	resets->resets[index] = resets->resets[--resets->count];
}

static void remove_old_resets_(caller_resets_t *resets, pl_ms_t now)
{
	for (unsigned int i = resets->count; i-- > 0;) {
		if (now > resets->resets[i].at + RETRY_WINDOW_MS)
			remove_reset_(resets, i);
	}
}

void pl_flow_retries_record_reset_(pl_flow_entry_t *entry, uint32_t ip,
				   const pl_flow_deadlines_t *deadlines)
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
		resets->resets[resets->count++] = (reset_t){ now, *deadlines };
}

void pl_flow_retries_consume_(pl_flow_entry_t *entry, uint32_t ip,
			      pl_flow_deadlines_t *deadlines)
{
	caller_resets_t *resets =
		g_hash_table_lookup(entry->retries, GUINT_TO_POINTER(ip));
	const pl_flow_deadlines_t *before;

	if (!resets)
		return;
	remove_old_resets_(resets, pl_flow_entry_now_(entry));
	if (resets->count == 0)
		return;
	before = &resets->resets[0].deadlines;
	deadlines->due = MIN(deadlines->due, before->due);
	if (before->expires != 0)
		deadlines->expires = MIN(deadlines->expires, before->expires);
	remove_reset_(resets, 0);
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
