/**
 * @file
 * Load reports to entries.
 *
 * An entry learns the load of an endpoint from the replies to the messages it
 * sends there. With many endpoints it sends few messages to each, and would
 * place new flows by load figures that are seconds old. So an agent reports
 * each change of its load to the entries that sent it packets recently. Replies
 * carry the load of their moment to one entry only, so what each entry was told
 * last is kept.
 */
#include "private/agent_private.h"

#include <glib.h>
#include <stdlib.h>

/** Shortest interval of load reports; several requests end within it. */
#define REPORT_INTERVAL_MS 100
/** Entries that sent no packet for this long get no more load reports. */
#define ENTRY_EXPIRY_MS 2000
/** Entries that one agent sends load reports to. */
#define ENTRIES_MAX 64
/** Smallest change of the mean that is reported, in thousandths of a slot. */
#define MEAN_CHANGE_MIN 250

/** An entry that sends packets to this agent. */
typedef struct {
	pl_member_id_t id;
	pl_ms_t last_packet; /**< arrival of its last packet */
	pl_endpoint_load_t told; /**< in the last message; no slots: none yet */
} entry_t;

static entry_t *find_entry_(const pl_flow_agent_t *agent, pl_member_id_t id)
{
	for (guint i = 0; i < agent->entries->len; i++) {
		entry_t *entry = &g_array_index(agent->entries, entry_t, i);

		if (entry->id == id)
			return entry;
	}
	return NULL;
}

void pl_flow_load_report_add_entry_(pl_flow_agent_t *agent, pl_member_id_t id)
{
	pl_ms_t now = pl_flow_agent_now_(agent);
	const entry_t new = { .id = id, .last_packet = now };
	entry_t *known = find_entry_(agent, id);

	if (known)
		known->last_packet = now;
	else if (agent->entries->len < ENTRIES_MAX)
		g_array_append_val(agent->entries, new);
}

static bool load_changed_(const pl_endpoint_load_t *a,
			  const pl_endpoint_load_t *b)
{
	return a->slots != b->slots || a->busy != b->busy ||
	       (a->limit == 0) != (b->limit == 0) ||
	       abs((int)a->mean_busy - (int)b->mean_busy) >= MEAN_CHANGE_MIN;
}

void pl_flow_load_report_send_(pl_flow_agent_t *agent, pl_member_id_t id,
			       const pl_flow_message_t *message)
{
	entry_t *entry = find_entry_(agent, id);

	if (entry)
		entry->told = message->load;
	agent->ops->send(agent->ctx, id, message);
}

static void report_changes_(pl_flow_agent_t *agent)
{
	const pl_flow_message_t message = {
		.type = PL_FLOW_LOAD,
		.sender = agent->params.self,
		.service = agent->params.service,
		.load = pl_flow_agent_load_(agent),
	};
	pl_ms_t now = pl_flow_agent_now_(agent);

	for (guint i = agent->entries->len; i-- > 0;) {
		entry_t *entry = &g_array_index(agent->entries, entry_t, i);

		if (now - entry->last_packet > ENTRY_EXPIRY_MS) {
			g_array_remove_index_fast(agent->entries, i);
		} else if (load_changed_(&message.load, &entry->told)) {
			entry->told = message.load;
			agent->ops->send(agent->ctx, entry->id, &message);
		}
	}
}

static void on_load_report_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_flow_agent_t *agent = ctx;

	report_changes_(agent);
	pl_timer_arm(agent->timers, timer, now + REPORT_INTERVAL_MS);
}

void pl_flow_load_report_init_(pl_flow_agent_t *agent)
{
	agent->entries = g_array_new(FALSE, TRUE, sizeof(entry_t));
	pl_timer_init(&agent->load_report_timer, on_load_report_timer_, agent);
	pl_timer_arm(agent->timers, &agent->load_report_timer,
		     pl_flow_agent_now_(agent) + REPORT_INTERVAL_MS);
}

void pl_flow_load_report_finish_(pl_flow_agent_t *agent)
{
	pl_timer_cancel(agent->timers, &agent->load_report_timer);
	g_array_free(agent->entries, TRUE);
}
