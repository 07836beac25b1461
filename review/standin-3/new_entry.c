/*
 * Endpoints are added while the platform's store is down; an entry is stopped and
 * started, and is ready once everything has been in touch again for contact_ms. The
 * nodes beside the endpoints are left alone.
 */
#include "lab.h"

#include <signal.h>
#include <stdlib.h>

#define OLD 9
#define NEW 4 /* endpoints added in one round: share 0.45 of 9 at most */
#define PACE 2 /* of them at a time, each second */
#define ROUNDS 4
#define ENTRIES 3
#define FLOWS 90 /* opened in one round */
#define OUTAGE_MS 5900
#define FIRST_PROBE_MS 45

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

/* The platform probes the entry that starts twice per second, at whatever moment,
 * and sends packets to it once it is ready; clients go on with their work. */
static void use_entry_(node_t *entry, endpoint_t *const *machines)
{
	lab_run(FIRST_PROBE_MS);
	for (int i = 0; !lab_node_ready(entry); i++) {
		if (i == 20)
			lab_fail("the entry is not ready");
		lab_run(500);
	}
	lab_record("%s is ready", entry->name);
	for (int k = 0; k < flow_count; k++) {
		for (int i = 0; i < NEW; i++) {
			if (lab_owner(&flows[k]) != machines[i])
				continue;
			used_++;
			lab_request(&flows[k], entry);
		}
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
	lab_run(600);
	for (int i = 0; i < NEW; i++) {
		if (i > 0 && i % PACE == 0)
			lab_run(1000);
		snprintf(id, sizeof(id), "i-%d", endpoint_count - NEW + i + 1);
		lab_endpoint_start(machines[i], id);
	}
	lab_run(2300);
	for (int i = 0; i < FLOWS; i++) {
		lab_open(entries_[i % ENTRIES]);
		lab_run(12);
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

	/* planned: an entry is stopped and started */
	lab_run(1000);
	lab_node_signal(entries_[2], SIGTERM);
	lab_node_reap(entries_[2], 6000);
	while (lab_now() < up + CONTACT_MS + 50)
		lab_run(1);
	for (int i = 0; i < NEW; i++) {
		bool known = lab_registered(machines[i]->node);

		unregistered_ += !known;
		added_++;
		lab_record("the roster %s %s", known ? "names" : "lacks",
			   machines[i]->node->name);
	}
	lab_node_start(entries_[2]);
	use_entry_(entries_[2], machines);
	lab_run(3500);
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
		   "used through the entry that started, %d reset "
		   "although their endpoint lives",
		   unregistered_, added_, used_, broken_);
	printf("%d of %d live flows reset, %d of %d agents not in the roster\n",
	       broken_, used_, unregistered_, added_);
	if (used_ == 0)
		lab_fail("no flow at the added endpoints");
	lab_exit(broken_ > 0 ? 1 : 0);
}
