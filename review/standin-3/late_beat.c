/*
 * A heartbeat that was delayed arrives when the node beside the endpoint has been
 * stopped and started once, as planned work does. Beside i-1b it is the last one
 * of an endpoint that crashed before i-1b registered at the same address; beside
 * i-2 it is the first one of i-2 itself.
 */
#include "lab.h"

#include <signal.h>
#include <stdlib.h>

#define MACHINES 7
#define FLOWS 60

static bool trouble_;

/* Planned: the node is stopped and started. The delayed heartbeat arrives once it
 * listens. */
static void restart_(endpoint_t *endpoint, const char *late)
{
	uint64_t begin;
	int status = 0;

	lab_node_signal(endpoint->node, SIGTERM);
	lab_node_reap(endpoint->node, 6000);
	lab_run(500);
	/* its next heartbeat comes within one interval, as always */
	endpoint->next_beat = lab_now() + 700;
	lab_node_start(endpoint->node);
	begin = lab_now();
	while (trouble_ && status == 0 && lab_now() - begin < 600) {
		status = lab_deliver_beat(endpoint->node, late);
		if (status == 0)
			lab_run(5);
	}
	if (trouble_)
		lab_record("the delayed heartbeat arrives beside %s: %d",
			   endpoint->id, status);
	lab_run(1000);
}

static int count_open_(endpoint_t *endpoint)
{
	int count = 0;

	for (int i = 0; i < flow_count; i++)
		count += lab_owner(&flows[i]) == endpoint &&
			 flows[i].answers == 1;
	lab_record("%d flows are open at %s", count, endpoint->id);
	if (count == 0)
		lab_fail("no flow at %s", endpoint->id);
	return count;
}

static int count_reset_(endpoint_t *endpoint, int open)
{
	int broken = 0, unanswered = 0;

	for (int i = 0; i < flow_count; i++) {
		if (!lab_holds(endpoint, &flows[i]))
			continue;
		if (flows[i].reset) {
			broken++;
			lab_record("FLOW: the system reset the flow of client "
				   "port %u; endpoint %s lives and holds it",
				   flows[i].port, endpoint->id);
		} else if (flows[i].answers < 2) {
			unanswered++;
		}
	}
	lab_record("%d flows at %s, %d reset although their endpoint lives, %d "
		   "without an answer",
		   open, endpoint->id, broken, unanswered);
	printf("%s: %d of %d live flows reset, %d without an answer\n",
	       endpoint->id, broken, open, unanswered);
	if (broken == 0 && unanswered > 0)
		lab_fail("no answers from %s", endpoint->id);
	return broken;
}

int main(int argc, char **argv)
{
	static const char *const services[] = { "permitdesk" };
	static const char *const ids[] = { "i-1", "i-2", "i-3", "i-4",
					   "i-5", "i-6", "i-7" };
	node_t *entries[2];
	endpoint_t *machines[MACHINES];
	char last[1024], first[1024];
	int open[2], broken = 0;

	trouble_ = !getenv("TROUBLE") || getenv("TROUBLE")[0] != '0';
	if (argc < 2)
		return 2;
	lab_start(argv[1], services, 1);
	for (int i = 0; i < 2; i++) {
		entries[i] = lab_entry();
		lab_node_start(entries[i]);
	}
	for (int i = 0; i < MACHINES; i++) {
		machines[i] = lab_machine("permitdesk");
		lab_node_start(machines[i]->node);
	}
	lab_run(700);
	for (int i = 0; i < MACHINES; i++) {
		lab_endpoint_start(machines[i], ids[i]);
		if (i == 1) {
			/* no answer within a second: the endpoint calls again */
			lab_endpoint_compose(machines[i], first, sizeof(first));
			lab_record("heartbeat 1 of i-2 is on its way");
			if (!trouble_)
				lab_record("heartbeat 1 of i-2, on time: %d",
					   lab_deliver_beat(machines[i]->node,
							    first));
			machines[i]->next_beat = lab_now() + 1000;
		}
		lab_run(100);
	}
	for (int i = 0;
	     !lab_node_ready(entries[0]) || !lab_node_ready(entries[1]); i++) {
		if (i == 100)
			lab_fail("the entries are not ready");
		lab_run(100);
	}
	lab_run(2500);

	/* the last heartbeat of i-1 is delayed on its way */
	lab_endpoint_compose(machines[0], last, sizeof(last));
	lab_record("heartbeat %u of i-1 is on its way", machines[0]->sequence);
	if (!trouble_)
		lab_record("heartbeat %u of i-1, on time: %d",
			   machines[0]->sequence,
			   lab_deliver_beat(machines[0]->node, last));
	lab_run(100);
	lab_endpoint_crash(machines[0]);
	lab_run(1000);
	lab_endpoint_start(machines[0], "i-1b");
	/* the disruption of the crash is over for longer than contact_ms */
	lab_run(CONTACT_MS + 1000);

	for (int i = 0; i < FLOWS; i++) {
		lab_open(entries[i % 2]);
		lab_run(12);
	}
	lab_run(300);
	for (int i = 0; i < flow_count; i++) {
		lab_request(&flows[i], flows[i].via);
		lab_run(10);
	}
	lab_run(500);
	for (int i = 0; i < 2; i++)
		open[i] = count_open_(machines[i]);
	restart_(machines[1], first);
	restart_(machines[0], last);
	/* all machines are in touch again */
	lab_run(CONTACT_MS);

	for (int i = 0; i < flow_count; i++) {
		lab_request(&flows[i], entries[(i + 1) % 2]);
		lab_run(10);
	}
	lab_run(3500);
	for (int i = 0; i < 2; i++)
		broken += count_reset_(machines[i], open[i]);
	lab_exit(broken > 0 ? 1 : 0);
}
