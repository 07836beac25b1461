/**
 * @file
 * Load told to entries.
 *
 * An entry learns how busy an endpoint is from the answers to what it sends
 * there. With many endpoints it sends each of them little, and would place
 * new flows by what was true seconds ago. So an agent tells the entries that
 * it heard of lately when its load has changed.
 */
#include "private/agent_private.h"

#include <glib.h>
#include <stdlib.h>

/** Load is told this often at the most: several requests end in that time. */
#define REPORT_MS 100
/** Entries that sent nothing for this long are not told. */
#define HEARD_MS 2000
/** Entries told by one agent. */
#define ENTRIES_MAX 64
/** Change of the mean that is worth telling, in thousandths of a slot. */
#define MEAN_CHANGE 250

/** An entry that sends packets here. */
typedef struct {
	pl_member_id_t id;
	pl_ms_t heard;
} entry_t;

void pl_flow_report_heard_(pl_flow_agent_t *agent, pl_member_id_t id)
{
	pl_ms_t now = pl_flow_agent_now_(agent);
	entry_t new = { id, now };

	for (guint i = 0; i < agent->entries->len; i++) {
		entry_t *entry = &g_array_index(agent->entries, entry_t, i);

		if (entry->id == id) {
			entry->heard = now;
			return;
		}
	}
	if (agent->entries->len < ENTRIES_MAX)
		g_array_append_val(agent->entries, new);
}

static bool changed_(const pl_flow_load_t *a, const pl_flow_load_t *b)
{
	return a->slots != b->slots || a->busy != b->busy ||
	       abs((int)a->mean_busy - (int)b->mean_busy) >= MEAN_CHANGE;
}

static void tell_(pl_flow_agent_t *agent, const pl_flow_load_t *load)
{
	const pl_flow_message_t message = {
		.type = PL_FLOW_LOAD,
		.sender = agent->params.self,
		.service = agent->params.service,
		.load = *load,
	};
	pl_ms_t now = pl_flow_agent_now_(agent);

	for (guint i = agent->entries->len; i-- > 0;) {
		const entry_t *entry =
			&g_array_index(agent->entries, entry_t, i);

		if (now - entry->heard > HEARD_MS)
			g_array_remove_index_fast(agent->entries, i);
		else
			agent->ops->send(agent->ctx, entry->id, &message);
	}
}

static void on_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_flow_agent_t *agent = ctx;
	pl_flow_load_t load = pl_flow_agent_load_(agent);

	if (changed_(&load, &agent->told)) {
		agent->told = load;
		tell_(agent, &load);
	}
	pl_timer_arm(agent->timers, timer, now + REPORT_MS);
}

void pl_flow_report_init_(pl_flow_agent_t *agent)
{
	agent->entries = g_array_new(FALSE, TRUE, sizeof(entry_t));
	pl_timer_init(&agent->report_timer, on_timer_, agent);
	pl_timer_arm(agent->timers, &agent->report_timer,
		     pl_flow_agent_now_(agent) + REPORT_MS);
}

void pl_flow_report_finish_(pl_flow_agent_t *agent)
{
	pl_timer_cancel(agent->timers, &agent->report_timer);
	g_array_free(agent->entries, TRUE);
}
