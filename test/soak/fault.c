/**
 * @file
 * Faults: how each is brought about and taken back. Some are an operator's
 * planned change, which must break nothing.
 */
#include "lab.h"

#include <signal.h>
#include <string.h>

static node_t *draw_(lab_t *lab, int from, int to)
{
	int first = g_rand_int_range(lab->random, from, to);

	for (int i = 0; i < to - from; i++) {
		node_t *node =
			&lab->nodes[from + (first - from + i) % (to - from)];

		if (node->up)
			return node;
	}
	return NULL;
}

static node_t *draw_entry_(lab_t *lab)
{
	return draw_(lab, 0, LAB_ENTRIES);
}

static node_t *draw_agent_(lab_t *lab)
{
	return draw_(lab, LAB_ENTRIES, LAB_NODES);
}

static void fabric_entry_(lab_t *lab, const char *verb, const char *port)
{
	g_free(pl_process_request(lab->fabric, "entry %s %s", verb, port));
}

/* Starts the node anew, on new ports. */
static void restart_(lab_t *lab, node_t *node)
{
	if (!node_start(lab, node)) {
		check_breach(lab, PROMISE_GRACEFUL, "%s did not start",
			     node->name);
		return;
	}
	if (node->backend)
		g_free(pl_process_request(node->backend, "agent %s",
					  node->port));
	if (!node_wait_ready(lab, node))
		check_breach(lab, PROMISE_CONFIGURATION,
			     "%s was not ready in time after its start",
			     node->name);
	else if (node->is_entry)
		fabric_entry_(lab, "add", node->port);
}

static void inject_kill_entry_(lab_t *lab, episode_t *episode)
{
	episode->node = draw_entry_(lab);
	if (!episode->node)
		return;
	node_kill(lab, episode->node);
	/* The fabric's health check notices a little later. */
	lab_run(lab, (uint64_t)g_rand_int_range(lab->random, 0, 1000));
	fabric_entry_(lab, "del", episode->node->port);
}

static void inject_kill_agent_(lab_t *lab, episode_t *episode)
{
	episode->node = draw_agent_(lab);
	if (episode->node)
		node_kill(lab, episode->node);
}

static void restore_node_(lab_t *lab, episode_t *episode)
{
	if (episode->node)
		restart_(lab, episode->node);
}

static void inject_kill_backend_(lab_t *lab, episode_t *episode)
{
	episode->node = draw_agent_(lab);
	if (!episode->node)
		return;
	pl_process_delete(episode->node->backend);
	episode->node->backend = NULL;
	lab_trace(lab, "killed the backend server of %s", episode->node->name);
}

static void restore_backend_(lab_t *lab, episode_t *episode)
{
	if (!episode->node)
		return;
	if (!node_start_backend(lab, episode->node) ||
	    !node_wait_ready(lab, episode->node))
		lab_trace(lab, "the backend server of %s did not come back",
			  episode->node->name);
}

/* Tells every backend server of the drawn agent's service whether to refuse
 * requests. */
static void set_shed_(lab_t *lab, const episode_t *episode, const char *command)
{
	for (int i = 0; i < LAB_NODES && episode->node; i++) {
		node_t *node = &lab->nodes[i];

		if (!node->is_entry && node->backend &&
		    node->service == episode->node->service)
			g_free(pl_process_request(node->backend, command));
	}
}

static void inject_shed_(lab_t *lab, episode_t *episode)
{
	episode->node = draw_agent_(lab);
	set_shed_(lab, episode, "shed on");
	lab_trace(lab, "backend servers of a service refuse requests");
}

static void restore_shed_(lab_t *lab, episode_t *episode)
{
	set_shed_(lab, episode, "shed off");
	lab_trace(lab, "backend servers take requests again");
}

static void inject_pause_(lab_t *lab, episode_t *episode)
{
	episode->node = draw_(lab, 0, LAB_NODES);
	if (!episode->node)
		return;
	episode->node->up = false;
	pl_process_signal(episode->node->process, SIGSTOP);
	lab_trace(lab, "SIGSTOP to %s", episode->node->name);
	if (!episode->node->is_entry)
		return;
	lab_run(lab, (uint64_t)g_rand_int_range(lab->random, 0, 1000));
	fabric_entry_(lab, "del", episode->node->port);
}

static void restore_pause_(lab_t *lab, episode_t *episode)
{
	node_t *node = episode->node;

	if (!node)
		return;
	pl_process_signal(node->process, SIGCONT);
	lab_trace(lab, "SIGCONT to %s", node->name);
	if (!node_wait_ready(lab, node))
		check_breach(lab, PROMISE_CONFIGURATION,
			     "%s was not ready in time after its pause",
			     node->name);
	node->up = true;
	node->up_since_ms = pl_now_ms();
	if (node->is_entry)
		fabric_entry_(lab, "add", node->port);
}

/* Members on the other side of a cut from @p self, or none at its end. */
static void cut_node_(lab_t *lab, const node_t *self, uint32_t side)
{
	GString *url = g_string_new(NULL);
	uint32_t own = side >> (self - lab->nodes) & 1;
	bool first = true;

	g_string_printf(url, "http://%s/fault?cut=", self->admin);
	for (int i = 0; side && i < LAB_NODES; i++) {
		if (!lab->nodes[i].process || (side >> i & 1) == own)
			continue;
		g_string_append_printf(url, "%s%s", first ? "" : ",",
				       lab->nodes[i].inner);
		first = false;
	}
	g_free(http_request("POST", url->str, NULL));
	g_string_free(url, TRUE);
}

static void cut_all_(lab_t *lab, uint32_t side)
{
	for (int i = 0; i < LAB_NODES; i++) {
		if (lab->nodes[i].up)
			cut_node_(lab, &lab->nodes[i], side);
	}
	lab_trace(lab, "cut, sides by node 0x%x", side);
}

static void inject_cut_(lab_t *lab, episode_t *episode)
{
	uint32_t all = (1U << LAB_NODES) - 1;

	cut_all_(lab, 1 + g_rand_int(lab->random) % (all - 1));
}

static void restore_cut_(lab_t *lab, episode_t *episode)
{
	cut_all_(lab, 0);
}

static void check_left_(lab_t *lab, const node_t *node, uint64_t from_ms)
{
	long long last_ms;

	if (!node->backend)
		return;
	last_ms = pl_process_request_number(node->backend, "last_ms", "status");
	lab->trials[PROMISE_LEAVING]++;
	if (last_ms > (long long)from_ms + LAB_LEAVE_MS)
		check_breach(lab, PROMISE_LEAVING,
			     "the backend server of %s got work %lld ms after "
			     "its drain began",
			     node->name, last_ms - (long long)from_ms);
}

static void inject_drain_(lab_t *lab, episode_t *episode)
{
	uint64_t from_ms = pl_now_ms();

	episode->node = draw_agent_(lab);
	if (!episode->node)
		return;
	node_stop(lab, episode->node);
	check_left_(lab, episode->node, from_ms);
}

static void inject_stop_entry_(lab_t *lab, episode_t *episode)
{
	episode->node = draw_entry_(lab);
	if (!episode->node)
		return;
	fabric_entry_(lab, "del", episode->node->port);
	node_stop(lab, episode->node);
}

static void inject_roll_(lab_t *lab, episode_t *episode)
{
	for (int i = 0; i < LAB_ENTRIES; i++) {
		node_t *node = &lab->nodes[i];

		if (!node->up)
			continue;
		fabric_entry_(lab, "del", node->port);
		node_stop(lab, node);
		restart_(lab, node);
	}
}

static void restore_nothing_(lab_t *lab, episode_t *episode)
{
}

static void inject_store_down_(lab_t *lab, episode_t *episode)
{
	lab->store_up = false;
	g_free(pl_process_request(lab->store, "down"));
	lab_trace(lab, "store down");
}

static void inject_store_slow_(lab_t *lab, episode_t *episode)
{
	lab->store_up = false;
	g_free(pl_process_request(lab->store, "slow 1500"));
	lab_trace(lab, "store slow");
}

static void restore_store_(lab_t *lab, episode_t *episode)
{
	g_free(pl_process_request(lab->store, "up"));
	lab->store_up = true;
	lab_trace(lab, "store up");
}

static void inject_change_(lab_t *lab, episode_t *episode)
{
	(void)operator_apply(lab);
}

static void inject_lost_answer_(lab_t *lab, episode_t *episode)
{
	if (!lab->store_up)
		return;
	g_free(pl_process_request(lab->store, "lose-answers 1"));
	lab->trials[PROMISE_CONFIGURATION]++;
	if (!operator_apply(lab))
		check_breach(lab, PROMISE_CONFIGURATION,
			     "a write whose answer was lost was not settled");
}

static void inject_config_race_(lab_t *lab, episode_t *episode)
{
	operator_race(lab);
}

static void inject_loss_(lab_t *lab, episode_t *episode)
{
	lab->lossy = true;
	g_free(pl_process_request(lab->fabric, "loss 50"));
	lab_trace(lab, "5 %% of datagrams lost");
}

static void restore_loss_(lab_t *lab, episode_t *episode)
{
	g_free(pl_process_request(lab->fabric, "loss 0"));
	lab->lossy = false;
	lab_trace(lab, "no loss");
}

static void inject_reorder_(lab_t *lab, episode_t *episode)
{
	g_free(pl_process_request(lab->fabric, "reorder 100"));
	lab_trace(lab, "10 %% of datagrams reordered");
}

static void restore_reorder_(lab_t *lab, episode_t *episode)
{
	g_free(pl_process_request(lab->fabric, "reorder 0"));
	lab_trace(lab, "no reordering");
}

static void inject_dup_(lab_t *lab, episode_t *episode)
{
	g_free(pl_process_request(lab->fabric, "dup 50"));
	lab_trace(lab, "5 %% of datagrams doubled");
}

static void restore_dup_(lab_t *lab, episode_t *episode)
{
	g_free(pl_process_request(lab->fabric, "dup 0"));
	lab_trace(lab, "no doubling");
}

const fault_t faults[] = {
	{ "kill-entry", false, false, false, inject_kill_entry_,
	  restore_node_ },
	{ "kill-agent", false, true, false, inject_kill_agent_, restore_node_ },
	{ "kill-backend", false, true, true, inject_kill_backend_,
	  restore_backend_ },
	{ "pause", false, true, false, inject_pause_, restore_pause_ },
	{ "cut", false, true, true, inject_cut_, restore_cut_ },
	{ "drain", true, false, false, inject_drain_, restore_node_ },
	{ "stop-entry", true, false, false, inject_stop_entry_, restore_node_ },
	{ "roll", true, false, false, inject_roll_, restore_nothing_ },
	{ "store-down", false, false, false, inject_store_down_,
	  restore_store_ },
	{ "store-slow", false, false, false, inject_store_slow_,
	  restore_store_ },
	{ "change", true, false, false, inject_change_, restore_nothing_ },
	{ "lost-answer", false, false, false, inject_lost_answer_,
	  restore_store_ },
	{ "config-race", true, false, false, inject_config_race_,
	  restore_nothing_ },
	{ "loss", false, false, true, inject_loss_, restore_loss_ },
	{ "reorder", false, false, false, inject_reorder_, restore_reorder_ },
	{ "dup", false, false, false, inject_dup_, restore_dup_ },
	{ "shed", false, false, false, inject_shed_, restore_shed_ },
	{ NULL, false, false, false, NULL, NULL },
};

const fault_t *fault_find(const char *name)
{
	for (const fault_t *fault = faults; fault->name; fault++) {
		if (strcmp(fault->name, name) == 0)
			return fault;
	}
	return NULL;
}

episode_t *fault_begin(lab_t *lab, const fault_t *fault)
{
	episode_t *episode = g_new0(episode_t, 1);

	episode->name = fault->name;
	episode->fault = fault;
	episode->from_ms = pl_now_ms();
	lab_trace(lab, "fault %s", fault->name);
	g_ptr_array_add(lab->episodes, episode);
	fault->inject(lab, episode);
	return episode;
}

void fault_end(lab_t *lab, episode_t *episode)
{
	episode->fault->restore(lab, episode);
	episode->to_ms = pl_now_ms();
	lab_trace(lab, "fault %s is over", episode->name);
}
