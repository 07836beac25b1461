/*
 * A partition delays heartbeats and nothing else: the last two of an endpoint that
 * has crashed since, and one of the endpoint that has registered at its address. No
 * process is stopped.
 */
#include "lab.h"

#include <stdlib.h>

#define MACHINES 7
#define FLOWS 60

int main(int argc, char **argv)
{
	static const char *const services[] = { "permitdesk" };
	bool trouble = !getenv("TROUBLE") || getenv("TROUBLE")[0] != '0';
	node_t *entries[2];
	endpoint_t *first;
	char late[2][1024];
	char id[16];
	unsigned int acked;
	int open = 0, broken = 0, unanswered = 0;

	if (argc < 2)
		return 2;
	lab_start(argv[1], services, 1);
	for (int i = 0; i < 2; i++) {
		entries[i] = lab_entry();
		lab_node_start(entries[i]);
	}
	for (int i = 0; i < MACHINES; i++)
		lab_node_start(lab_machine("permitdesk")->node);
	lab_run(700);
	for (int i = 0; i < MACHINES; i++) {
		snprintf(id, sizeof(id), "i-%d", i + 1);
		lab_endpoint_start(&endpoints[i], id);
		lab_run(50);
	}
	for (int i = 0;
	     !lab_node_ready(entries[0]) || !lab_node_ready(entries[1]); i++) {
		if (i == 100)
			lab_fail("the entries are not ready");
		lab_run(100);
	}
	lab_run(2500);
	first = &endpoints[0];

	/* the last two heartbeats of i-1, one interval apart, are delayed */
	first->next_beat = UINT64_MAX;
	for (int i = 0; i < 2; i++) {
		lab_endpoint_compose(first, late[i], sizeof(late[i]));
		lab_record("heartbeat %u of i-1 is on its way",
			   first->sequence);
		if (!trouble)
			lab_record("heartbeat %u of i-1, on time: %d",
				   first->sequence,
				   lab_deliver_beat(first->node, late[i]));
		lab_run(i == 0 ? HEARTBEAT_MS : 100);
	}
	lab_endpoint_crash(first);
	lab_run(700);
	lab_endpoint_start(first, "i-1b");
	/* the disruption of the crash is over for longer than contact_ms */
	lab_run(CONTACT_MS + 700);

	for (int i = 0; i < FLOWS; i++) {
		lab_open(entries[i % 2]);
		lab_run(12);
	}
	lab_run(300);
	for (int i = 0; i < flow_count; i++) {
		lab_request(&flows[i], flows[i].via);
		lab_run(10);
	}
	lab_run(1300);
	for (int i = 0; i < flow_count; i++)
		open += lab_owner(&flows[i]) == first && flows[i].answers == 1;
	lab_record("%d flows are open at i-1b", open);
	if (open == 0)
		lab_fail("no flow at i-1b");

	/* the next heartbeat of i-1b is delayed, too, by a second */
	acked = first->acked;
	while (first->acked == acked)
		lab_run(1);
	if (trouble) {
		first->next_beat += 1000;
		lab_run(400);
		lab_record("the first delayed heartbeat of i-1 arrives: %d",
			   lab_deliver_beat(first->node, late[0]));
		lab_run(HEARTBEAT_MS);
		lab_record("the second delayed heartbeat of i-1 arrives: %d",
			   lab_deliver_beat(first->node, late[1]));
	}
	lab_run(3000);
	for (int i = 0; i < flow_count; i++) {
		lab_request(&flows[i], entries[(i + 1) % 2]);
		lab_run(10);
	}
	lab_run(3500);
	for (int i = 0; i < flow_count; i++) {
		if (!lab_holds(first, &flows[i]))
			continue;
		if (flows[i].reset) {
			broken++;
			lab_record("FLOW: the system reset the flow of client "
				   "port %u at %.3f s; endpoint i-1b lives and "
				   "holds it",
				   flows[i].port,
				   (double)flows[i].reset_at / 1000);
		} else if (flows[i].answers < 2) {
			unanswered++;
		}
	}
	lab_record(
		"%d flows at i-1b, %d reset although their endpoint lives, %d "
		"without an answer",
		open, broken, unanswered);
	printf("%d of %d live flows reset, %d without an answer\n", broken,
	       open, unanswered);
	lab_exit(broken > 0 ? 1 : unanswered > 0 ? 2 : 0);
}
