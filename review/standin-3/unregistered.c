/*
 * Endpoints are added while the platform's store is down; the nodes beside them
 * are stopped and started in turn once everything has been in touch again for
 * contact_ms.
 */
#include "lab.h"

#include <signal.h>
#include <stdlib.h>

#define OLD 3
#define NEW 5 /* endpoints added in one round */
#define ROUNDS 4
#define ENTRIES 3
#define FLOWS 45 /* opened in one round */
#define OUTAGE_MS 5900
#define START_DELAY_MS 500
#define ROLL_GAP_MS 1100

static bool trouble_;
static node_t *entries_[ENTRIES];
static int used_, broken_, unregistered_, added_;

static void wait_ready_(void)
{
	for (int i = 0; i < ENTRIES; i++) {
		for (int k = 0; !lab_node_ready(entries_[i]); k++) {
			if (k == 100)
				lab_fail("the entries are not ready");
			lab_run(100);
		}
	}
}

/* Planned: the nodes beside the added endpoints are stopped and started in turn,
 * while clients go on with their work. */
static void roll_(endpoint_t *const *machines)
{
	bool ended[NEW] = { false };
	uint64_t at[NEW] = { 0 }; /* of the signal, then of the end */
	uint64_t begin = lab_now();
	int started = 0;

	while (started < NEW) {
		for (int i = 0; i < NEW; i++) {
			node_t *node = machines[i]->node;
			uint64_t now = lab_now();

			if (now < begin + (uint64_t)i * ROLL_GAP_MS ||
			    (ended[i] && node->pid > 0))
				continue;
			if (at[i] == 0) {
				at[i] = now;
				lab_node_signal(node, SIGTERM);
			}
			if (!ended[i])
				lab_node_reap(node, 0);
			if (!ended[i] && node->pid == 0) {
				ended[i] = true;
				at[i] = now;
				for (int k = 0; k < flow_count; k++) {
					if (lab_owner(&flows[k]) != machines[i])
						continue;
					used_++;
					lab_request(&flows[k], entries_[k % 2]);
				}
			}
			if (ended[i] && now >= at[i] + START_DELAY_MS) {
				lab_node_start(node);
				started++;
			}
		}
		lab_run(5);
	}
}

static void round_(void)
{
	endpoint_t *machines[NEW];
	int first = flow_count;
	uint64_t down, up;
	char id[16];

	/* endpoints are added, each with its machine */
	for (int i = 0; i < NEW; i++) {
		machines[i] = lab_machine("permitdesk");
		lab_node_start(machines[i]->node);
	}
	lab_run(200);
	down = lab_now();
	if (trouble_)
		lab_store("down");
	lab_run(800);
	for (int i = 0; i < NEW; i++) {
		snprintf(id, sizeof(id), "i-%d", endpoint_count - NEW + i + 1);
		lab_endpoint_start(machines[i], id);
	}
	lab_run(2800);
	for (int i = 0; i < FLOWS; i++) {
		lab_open(entries_[i % ENTRIES]);
		lab_run(20);
	}
	for (int i = first; i < flow_count; i++) {
		lab_request(&flows[i], flows[i].via);
		lab_run(5);
	}
	while (lab_now() < down + OUTAGE_MS)
		lab_run(1);
	if (trouble_)
		lab_store("up");
	up = lab_now();

	/* planned: an entry is stopped, so that the routers' hash changes */
	lab_run(1500);
	lab_node_signal(entries_[2], SIGTERM);
	while (lab_now() < up + CONTACT_MS + 150)
		lab_run(1);
	for (int i = 0; i < NEW; i++) {
		bool known = lab_registered(machines[i]->node);

		unregistered_ += !known;
		added_++;
		lab_record("the roster %s %s", known ? "names" : "lacks",
			   machines[i]->node->name);
	}
	roll_(machines);
	lab_run(2500);
	for (int k = 0; k < flow_count; k++) {
		endpoint_t *owner = lab_owner(&flows[k]);

		if (flows[k].done || !flows[k].reset || !owner ||
		    flows[k].reset_at < up + CONTACT_MS)
			continue;
		flows[k].done = true;
		broken_++;
		lab_record("FLOW: the system reset the flow of client port %u "
			   "%llu ms after the end of the outage; endpoint %s "
			   "lives and holds it",
			   flows[k].port,
			   (unsigned long long)(flows[k].reset_at - up),
			   owner->id);
	}
	lab_node_reap(entries_[2], 6000);
	lab_node_start(entries_[2]);
	lab_run(1000);
	wait_ready_();
}

int main(int argc, char **argv)
{
	static const char *const services[] = { "permitdesk" };
	char id[16];

	trouble_ = !getenv("TROUBLE") || getenv("TROUBLE")[0] != '0';
	if (argc < 2)
		return 2;
	lab_start(argv[1], services, 1);
	for (int i = 0; i < ENTRIES; i++) {
		entries_[i] = lab_entry();
		lab_node_start(entries_[i]);
	}
	for (int i = 0; i < OLD; i++)
		lab_node_start(lab_machine("permitdesk")->node);
	lab_run(700);
	for (int i = 0; i < OLD; i++) {
		snprintf(id, sizeof(id), "i-%d", i + 1);
		lab_endpoint_start(&endpoints[i], id);
	}
	wait_ready_();
	lab_run(5000);
	for (int i = 0; i < ROUNDS; i++)
		round_();
	lab_record("%d of %d added agents were not in the roster; %d flows "
		   "used while their endpoint's node was restarted, %d reset "
		   "although their endpoint lives",
		   unregistered_, added_, used_, broken_);
	printf("%d of %d live flows reset, %d of %d agents not in the roster\n",
	       broken_, used_, unregistered_, added_);
	if (used_ == 0)
		lab_fail("no flow at the added endpoints");
	lab_exit(broken_ > 0 ? 1 : 0);
}
