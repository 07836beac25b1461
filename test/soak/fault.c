/**
 * @file
 * Injection and restoration of faults. Some are planned changes of an
 * operator, which must breach no guarantee.
 */
#include "lab.h"

#include <signal.h>
#include <string.h>

static node_t *pick_node_(lab_t *lab, int from, int to)
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

static node_t *pick_entry_(lab_t *lab)
{
	return pick_node_(lab, 0, LAB_ENTRIES);
}

static node_t *pick_agent_(lab_t *lab)
{
	return pick_node_(lab, LAB_ENTRIES, LAB_NODES);
}

static void set_fabric_entry_(lab_t *lab, const char *verb, const char *addr)
{
	g_free(pl_process_request(lab->fabric, "entry %s %s", verb, addr));
}

/* Restarts the node, on new ports. */
static void restart_node_(lab_t *lab, node_t *node)
{
	if (!node_start(lab, node)) {
		check_breach(lab, GUARANTEE_GRACEFUL_STOP, "%s did not start",
			     node->name);
		return;
	}
	if (node->backend)
		g_free(pl_process_request(node->backend, "agent %s",
					  node->listen));
	if (!node_wait_ready(lab, node))
		check_breach(lab, GUARANTEE_CONFIGURATION,
			     "%s was not ready in time after its start",
			     node->name);
	else if (node->is_entry)
		set_fabric_entry_(lab, "add", node->listen);
}

static void inject_kill_entry_(lab_t *lab, injection_t *injection)
{
	injection->node = pick_entry_(lab);
	if (!injection->node)
		return;
	node_kill(lab, injection->node);
	/* The fabric's health check detects the failure up to 1 s later. */
	lab_run(lab, (uint64_t)g_rand_int_range(lab->random, 0, 1000));
	set_fabric_entry_(lab, "del", injection->node->listen);
}

static void inject_kill_agent_(lab_t *lab, injection_t *injection)
{
	injection->node = pick_agent_(lab);
	if (injection->node)
		node_kill(lab, injection->node);
}

static void restore_node_(lab_t *lab, injection_t *injection)
{
	if (injection->node)
		restart_node_(lab, injection->node);
}

static void inject_kill_backend_(lab_t *lab, injection_t *injection)
{
	injection->node = pick_agent_(lab);
	if (!injection->node)
		return;
	pl_process_delete(injection->node->backend);
	injection->node->backend = NULL;
	lab_trace(lab, "killed the backend server of %s",
		  injection->node->name);
}

static void restore_backend_(lab_t *lab, injection_t *injection)
{
	if (!injection->node)
		return;
	if (!node_start_backend(lab, injection->node) ||
	    !node_wait_ready(lab, injection->node))
		lab_trace(lab, "the backend server of %s did not restart",
			  injection->node->name);
}

/* Sends @p command to every backend server of the chosen agent's service. */
static void command_backends_(lab_t *lab, const injection_t *injection,
			      const char *command)
{
	for (int i = 0; i < LAB_NODES && injection->node; i++) {
		node_t *node = &lab->nodes[i];

		if (!node->is_entry && node->backend &&
		    node->service == injection->node->service)
			g_free(pl_process_request(node->backend, command));
	}
}

static void inject_shedding_(lab_t *lab, injection_t *injection)
{
	injection->node = pick_agent_(lab);
	command_backends_(lab, injection, "shed on");
	lab_trace(lab, "backend servers of a service refuse requests");
}

static void restore_shedding_(lab_t *lab, injection_t *injection)
{
	command_backends_(lab, injection, "shed off");
	lab_trace(lab, "backend servers accept requests again");
}

static void inject_pause_(lab_t *lab, injection_t *injection)
{
	injection->node = pick_node_(lab, 0, LAB_NODES);
	if (!injection->node)
		return;
	injection->node->up = false;
	pl_process_signal(injection->node->process, SIGSTOP);
	lab_trace(lab, "SIGSTOP to %s", injection->node->name);
	if (!injection->node->is_entry)
		return;
	lab_run(lab, (uint64_t)g_rand_int_range(lab->random, 0, 1000));
	set_fabric_entry_(lab, "del", injection->node->listen);
}

static void restore_pause_(lab_t *lab, injection_t *injection)
{
	node_t *node = injection->node;

	if (!node)
		return;
	pl_process_signal(node->process, SIGCONT);
	lab_trace(lab, "SIGCONT to %s", node->name);
	if (!node_wait_ready(lab, node))
		check_breach(lab, GUARANTEE_CONFIGURATION,
			     "%s was not ready in time after its pause",
			     node->name);
	node->up = true;
	node->up_since_ms = pl_now_ms();
	if (node->is_entry)
		set_fabric_entry_(lab, "add", node->listen);
}

/*
 * Blocks messages between @p self and the members on the other side of a
 * partition. Bit N of @p sides is the side of node N; 0 ends the partition.
 */
static void partition_node_(lab_t *lab, const node_t *self, uint32_t sides)
{
	GString *url = g_string_new(NULL);
	uint32_t own = sides >> (self - lab->nodes) & 1;
	bool first = true;

	g_string_printf(url, "http://%s/fault?cut=", self->admin);
	for (int i = 0; sides && i < LAB_NODES; i++) {
		if (!lab->nodes[i].process || (sides >> i & 1) == own)
			continue;
		g_string_append_printf(url, "%s%s", first ? "" : ",",
				       lab->nodes[i].inner);
		first = false;
	}
	g_free(http_request("POST", url->str, NULL));
	g_string_free(url, TRUE);
}

static void partition_all_(lab_t *lab, uint32_t sides)
{
	for (int i = 0; i < LAB_NODES; i++) {
		if (lab->nodes[i].up)
			partition_node_(lab, &lab->nodes[i], sides);
	}
	lab_trace(lab, "network partition, sides by node 0x%x", sides);
}

static void inject_partition_(lab_t *lab, injection_t *injection)
{
	uint32_t all = (1U << LAB_NODES) - 1;

	partition_all_(lab, 1 + g_rand_int(lab->random) % (all - 1));
}

static void restore_partition_(lab_t *lab, injection_t *injection)
{
	partition_all_(lab, 0);
}

static void check_work_after_drain_(lab_t *lab, const node_t *node,
				    uint64_t start_ms)
{
	long long last_ms;

	if (!node->backend)
		return;
	last_ms = pl_process_request_number(node->backend, "last_ms", "status");
	lab->check_counts[GUARANTEE_DRAINING]++;
	if (last_ms > (long long)start_ms + LAB_DRAIN_LIMIT_MS)
		check_breach(lab, GUARANTEE_DRAINING,
			     "the backend server of %s got work %lld ms after "
			     "the drain started",
			     node->name, last_ms - (long long)start_ms);
}

static void inject_drain_(lab_t *lab, injection_t *injection)
{
	uint64_t start_ms = pl_now_ms();

	injection->node = pick_agent_(lab);
	if (!injection->node)
		return;
	node_stop(lab, injection->node);
	check_work_after_drain_(lab, injection->node, start_ms);
}

static void inject_stop_entry_(lab_t *lab, injection_t *injection)
{
	injection->node = pick_entry_(lab);
	if (!injection->node)
		return;
	set_fabric_entry_(lab, "del", injection->node->listen);
	node_stop(lab, injection->node);
}

static void inject_roll_(lab_t *lab, injection_t *injection)
{
	for (int i = 0; i < LAB_ENTRIES; i++) {
		node_t *node = &lab->nodes[i];

		if (!node->up)
			continue;
		set_fabric_entry_(lab, "del", node->listen);
		node_stop(lab, node);
		restart_node_(lab, node);
	}
}

static void restore_nothing_(lab_t *lab, injection_t *injection)
{
}

static void inject_store_down_(lab_t *lab, injection_t *injection)
{
	lab->store_up = false;
	g_free(pl_process_request(lab->store, "down"));
	lab_trace(lab, "store down");
}

static void inject_store_slow_(lab_t *lab, injection_t *injection)
{
	lab->store_up = false;
	g_free(pl_process_request(lab->store, "slow 1500"));
	lab_trace(lab, "store slow");
}

static void restore_store_(lab_t *lab, injection_t *injection)
{
	g_free(pl_process_request(lab->store, "up"));
	lab->store_up = true;
	lab_trace(lab, "store up");
}

static void inject_config_change_(lab_t *lab, injection_t *injection)
{
	(void)operator_apply(lab);
}

static void inject_lost_answer_(lab_t *lab, injection_t *injection)
{
	if (!lab->store_up)
		return;
	g_free(pl_process_request(lab->store, "lose-answers 1"));
	lab->check_counts[GUARANTEE_CONFIGURATION]++;
	if (!operator_apply(lab))
		check_breach(lab, GUARANTEE_CONFIGURATION,
			     "a write whose answer was lost was not confirmed");
}

static void inject_config_race_(lab_t *lab, injection_t *injection)
{
	operator_race(lab);
}

static void inject_loss_(lab_t *lab, injection_t *injection)
{
	lab->lossy = true;
	g_free(pl_process_request(lab->fabric, "loss 50"));
	lab_trace(lab, "5 %% of datagrams lost");
}

static void restore_loss_(lab_t *lab, injection_t *injection)
{
	g_free(pl_process_request(lab->fabric, "loss 0"));
	lab->lossy = false;
	lab_trace(lab, "no loss");
}

static void inject_reorder_(lab_t *lab, injection_t *injection)
{
	g_free(pl_process_request(lab->fabric, "reorder 100"));
	lab_trace(lab, "10 %% of datagrams reordered");
}

static void restore_reorder_(lab_t *lab, injection_t *injection)
{
	g_free(pl_process_request(lab->fabric, "reorder 0"));
	lab_trace(lab, "no reordering");
}

static void inject_duplication_(lab_t *lab, injection_t *injection)
{
	g_free(pl_process_request(lab->fabric, "dup 50"));
	lab_trace(lab, "5 %% of datagrams duplicated");
}

static void restore_duplication_(lab_t *lab, injection_t *injection)
{
	g_free(pl_process_request(lab->fabric, "dup 0"));
	lab_trace(lab, "no duplication");
}

const fault_t faults[] = {
	{ "kill-entry", false, false, false, inject_kill_entry_,
	  restore_node_ },
	{ "kill-agent", false, true, false, inject_kill_agent_, restore_node_ },
	{ "kill-backend", false, true, true, inject_kill_backend_,
	  restore_backend_ },
	{ "pause", false, true, false, inject_pause_, restore_pause_ },
	{ "cut", false, true, true, inject_partition_, restore_partition_ },
	{ "drain", true, false, false, inject_drain_, restore_node_ },
	{ "stop-entry", true, false, false, inject_stop_entry_, restore_node_ },
	{ "roll", true, false, false, inject_roll_, restore_nothing_ },
	{ "store-down", false, false, false, inject_store_down_,
	  restore_store_ },
	{ "store-slow", false, false, false, inject_store_slow_,
	  restore_store_ },
	{ "change", true, false, false, inject_config_change_,
	  restore_nothing_ },
	{ "lost-answer", false, false, false, inject_lost_answer_,
	  restore_store_ },
	{ "config-race", true, false, false, inject_config_race_,
	  restore_nothing_ },
	{ "loss", false, false, true, inject_loss_, restore_loss_ },
	{ "reorder", false, false, false, inject_reorder_, restore_reorder_ },
	{ "dup", false, false, false, inject_duplication_,
	  restore_duplication_ },
	{ "shed", false, false, false, inject_shedding_, restore_shedding_ },
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

injection_t *fault_inject(lab_t *lab, const fault_t *fault)
{
	injection_t *injection = g_new0(injection_t, 1);

	injection->name = fault->name;
	injection->fault = fault;
	injection->start_ms = pl_now_ms();
	lab_trace(lab, "fault %s", fault->name);
	g_ptr_array_add(lab->injections, injection);
	fault->inject(lab, injection);
	return injection;
}

void fault_restore(lab_t *lab, injection_t *injection)
{
	injection->fault->restore(lab, injection);
	injection->end_ms = pl_now_ms();
	lab_trace(lab, "fault %s restored", injection->name);
}
