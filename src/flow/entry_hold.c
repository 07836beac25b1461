/**
 * @file
 * Packets that no endpoint can accept at the moment.
 *
 * A caller retransmits an opening packet after 200 ms and again 400 ms later,
 * so dropping a packet that an endpoint could accept a few milliseconds later
 * makes the request late. Such packets are held for a short time, while an
 * entry that has just started learns the endpoints and while servers start.
 */
#include "private/entry_private.h"

#include <string.h>

/** Longest time to hold a packet; by then the caller has retransmitted it. */
#define HOLD_MS 400
/** Interval at which held packets are routed again. */
#define RETRY_MS 25
/** Packets held at the same time, about 2 MB. */
#define HELD_PACKETS_MAX 2048

/** A held packet. */
typedef struct {
	pl_ms_t since;
	size_t len;
	uint8_t bytes[];
} held_t;

static void arm_hold_timer_(pl_flow_entry_t *entry)
{
	if (!g_queue_is_empty(&entry->held) &&
	    !pl_timer_armed(&entry->hold_timer))
		pl_timer_arm(entry->timers, &entry->hold_timer,
			     pl_flow_entry_now_(entry) + RETRY_MS);
}

void pl_flow_hold_add_(pl_flow_entry_t *entry, const uint8_t *bytes, size_t len)
{
	held_t *held;

	if (g_queue_get_length(&entry->held) >= HELD_PACKETS_MAX)
		return;
	held = g_malloc(sizeof(*held) + len);
	held->since = entry->retry_held_since ? entry->retry_held_since :
						pl_flow_entry_now_(entry);
	held->len = len;
	memcpy(held->bytes, bytes, len);
	g_queue_push_tail(&entry->held, held);
	arm_hold_timer_(entry);
}

void pl_flow_hold_retry_(pl_flow_entry_t *entry)
{
	pl_ms_t now = pl_flow_entry_now_(entry);
	guint count = g_queue_get_length(&entry->held);

	/* a packet that is held again goes to the tail and keeps its time */
	for (guint i = 0; i < count; i++) {
		held_t *held = g_queue_pop_head(&entry->held);

		if (now - held->since < HOLD_MS) {
			entry->retry_held_since = held->since;
			pl_flow_entry_route_(entry, held->bytes, held->len);
			entry->retry_held_since = 0;
		}
		g_free(held);
	}
	arm_hold_timer_(entry);
}

static void on_hold_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	(void)timer;
	(void)now;
	pl_flow_hold_retry_(ctx);
}

void pl_flow_hold_init_(pl_flow_entry_t *entry)
{
	g_queue_init(&entry->held);
	pl_timer_init(&entry->hold_timer, on_hold_timer_, entry);
}

void pl_flow_hold_finish_(pl_flow_entry_t *entry)
{
	pl_timer_cancel(entry->timers, &entry->hold_timer);
	g_queue_clear_full(&entry->held, g_free);
}
