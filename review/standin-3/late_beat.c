/*
 * A heartbeat that was delayed arrives after its sender has crashed, a new
 * incarnation has registered at the same address, and the node beside it has
 * been stopped and started once, as planned work does.
 */
#include "lab.h"

#include <signal.h>
#include <stdlib.h>

#define FLOWS 24

static bool all_ready_(node_t *const *entries, int count)
{
	for (int i = 0; i < count; i++) {
		if (!lab_node_ready(entries[i]))
			return false;
	}
	return true;
}

int main(int argc, char **argv)
{
	static const char *const services[] = { "permitdesk" };
	bool trouble = !getenv("TROUBLE") || getenv("TROUBLE")[0] != '0';
	node_t *entries[2];
	endpoint_t *machines[4];
	endpoint_t *first;
	char late[1024];
	uint64_t restarted;
	int owned = 0, checked = 0, broken = 0, unanswered = 0;

	if (argc < 2)
		return 2;
	lab_start(argv[1], services, 1);
	for (int i = 0; i < 2; i++) {
		entries[i] = lab_entry();
		lab_node_start(entries[i]);
	}
	for (int i = 0; i < 4; i++) {
		machines[i] = lab_machine("permitdesk");
		lab_node_start(machines[i]->node);
	}
	lab_run(700);
	for (int i = 0; i < 4; i++) {
		static const char *const ids[] = { "i-1", "i-2", "i-3", "i-4" };

		lab_endpoint_start(machines[i], ids[i]);
		lab_run(100);
	}
	for (int i = 0; !all_ready_(entries, 2); i++) {
		if (i == 100)
			lab_fail("the entries are not ready");
		lab_run(100);
	}
	lab_run(6000);
	first = machines[0];

	/* the last heartbeat of i-1 is delayed on its way */
	lab_endpoint_compose(first, late, sizeof(late));
	if (!trouble)
		lab_record("heartbeat %u of i-1, on time: %d", first->sequence,
			   lab_deliver_beat(first->node, late));
	else
		lab_record("heartbeat %u of i-1 is on its way",
			   first->sequence);
	lab_run(100);
	lab_endpoint_crash(first);
	lab_run(1000);
	lab_endpoint_start(first, "i-1b");
	/* the disruption of the crash is over for longer than contact_ms */
	lab_run(CONTACT_MS + 2500);

	for (int i = 0; i < FLOWS; i++) {
		lab_open(entries[i % 2]);
		lab_run(30);
	}
	lab_run(300);
	for (int i = 0; i < flow_count; i++) {
		lab_request(&flows[i], flows[i].via);
		lab_run(20);
	}
	lab_run(1000);
	for (int i = 0; i < flow_count; i++)
		owned += lab_owner(&flows[i]) == first && flows[i].answers == 1;
	lab_record("%d flows are open at i-1b", owned);
	if (owned == 0)
		lab_fail("no flow at i-1b");

	/* planned: the node is stopped and started */
	lab_node_signal(first->node, SIGTERM);
	lab_node_reap(first->node, 6000);
	lab_run(500);
	/* its next heartbeat comes within one interval, as always */
	first->next_beat = lab_now() + 700;
	lab_node_start(first->node);
	restarted = lab_now();
	if (trouble) {
		int status = 0;

		while (status == 0 && lab_now() - restarted < 600) {
			status = lab_deliver_beat(first->node, late);
			if (status == 0)
				lab_run(5);
		}
		lab_record("the delayed heartbeat of i-1 arrives: %d", status);
	}
	/* all machines are in touch again */
	lab_run(CONTACT_MS + 1500);

	for (int i = 0; i < flow_count; i++) {
		if (lab_owner(&flows[i]) != first || flows[i].reset)
			continue;
		checked++;
		lab_request(&flows[i], entries[(i + 1) % 2]);
		lab_run(20);
	}
	lab_run(4000);
	for (int i = 0; i < flow_count; i++) {
		if (flows[i].reset && lab_holds(first, &flows[i])) {
			broken++;
			lab_record("FLOW: the system reset the flow of client "
				   "port %u %llu ms after the restart; "
				   "endpoint i-1b lives and holds it",
				   flows[i].port,
				   (unsigned long long)(flows[i].reset_at -
							restarted));
		} else if (lab_holds(first, &flows[i]) &&
			   flows[i].answers < 2) {
			unanswered++;
		}
	}
	lab_record(
		"%d flows at i-1b, %d used again after the restart, %d reset "
		"although their endpoint lives, %d without an answer",
		owned, checked, broken, unanswered);
	printf("%d of %d live flows reset, %d without an answer\n", broken,
	       owned, unanswered);
	lab_exit(broken > 0 ? 1 : unanswered > 0 ? 2 : 0);
}
