/**
 * @file
 * Packets that no endpoint can take at the moment.
 *
 * A caller sends a copy of an opening packet after 200 ms and another one
 * after 400 ms more, so dropping one that an endpoint could take a few
 * milliseconds later makes its request late. Such packets are held for a
 * short time: while a newcomer learns of the endpoints, and while servers
 * start.
 */
#include "private/entry_private.h"

#include <string.h>

/** A packet is held for this long; by then the caller has sent a copy. */
#define HOLD_MS 400
/** Held packets are tried anew this often. */
#define RETRY_MS 25
/** Packets held at the same time: about 2 MB. */
#define HELD_MAX 2048

/** A packet that is held. */
typedef struct {
	pl_ms_t since;
	size_t len;
	uint8_t bytes[];
} held_t;

static void arm_(pl_flow_entry_t *entry)
{
	if (!g_queue_is_empty(&entry->held) &&
	    !pl_timer_armed(&entry->hold_timer))
		pl_timer_arm(entry->timers, &entry->hold_timer,
			     pl_flow_entry_now_(entry) + RETRY_MS);
}

void pl_flow_hold_add_(pl_flow_entry_t *entry, const uint8_t *bytes, size_t len)
{
	held_t *held;

	if (g_queue_get_length(&entry->held) >= HELD_MAX)
		return;
	held = g_malloc(sizeof(*held) + len);
	held->since = entry->hold_since ? entry->hold_since :
					  pl_flow_entry_now_(entry);
	held->len = len;
	memcpy(held->bytes, bytes, len);
	g_queue_push_tail(&entry->held, held);
	arm_(entry);
}

void pl_flow_hold_retry_(pl_flow_entry_t *entry)
{
	pl_ms_t now = pl_flow_entry_now_(entry);
	guint count = g_queue_get_length(&entry->held);

	/* one that is held again is appended, and keeps its time */
	for (guint i = 0; i < count; i++) {
		held_t *held = g_queue_pop_head(&entry->held);

		if (now - held->since < HOLD_MS) {
			entry->hold_since = held->since;
			pl_flow_entry_take_(entry, held->bytes, held->len);
			entry->hold_since = 0;
		}
		g_free(held);
	}
	arm_(entry);
}

static void on_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	(void)timer;
	(void)now;
	pl_flow_hold_retry_(ctx);
}

void pl_flow_hold_init_(pl_flow_entry_t *entry)
{
	g_queue_init(&entry->held);
	pl_timer_init(&entry->hold_timer, on_timer_, entry);
}

void pl_flow_hold_finish_(pl_flow_entry_t *entry)
{
	pl_timer_cancel(entry->timers, &entry->hold_timer);
	g_queue_clear_full(&entry->held, g_free);
}
