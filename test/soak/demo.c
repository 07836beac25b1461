/**
 * @file
 * The demonstration: planned changes while views are open and the network
 * loses, doubles and reorders.
 */
#include "lab.h"

#include <stdlib.h>

#define BLOB_BYTES 200000
#define UPLOAD_BYTES 20000

static void step_(const char *text)
{
	printf("- %s\n", text);
	fflush(stdout);
}

static void ask_everything_(lab_t *lab)
{
	for (int s = 0; s < LAB_SERVICES; s++) {
		const char *service = lab_services[s];

		g_free(pl_process_request(lab->caller, "get %s permits/7 50",
					  service));
		g_free(pl_process_request(lab->caller,
					  "post %s applications 30", service));
		g_free(pl_process_request(lab->caller, "upload %s uploads 2 %d",
					  service, UPLOAD_BYTES));
		g_free(pl_process_request(lab->caller, "blob %s blob 1 %d",
					  service, BLOB_BYTES));
	}
}

static void planned_(lab_t *lab, const char *name)
{
	episode_t *episode = fault_begin(lab, fault_find(name));

	fault_end(lab, episode);
}

static void bad_network_(lab_t *lab)
{
	lab->lossy = true;
	g_free(pl_process_request(lab->fabric, "loss 50"));
	g_free(pl_process_request(lab->fabric, "dup 50"));
	g_free(pl_process_request(lab->fabric, "reorder 100"));
}

static void play_(lab_t *lab)
{
	step_("open 20 views for each of two services");
	if (!traffic_open_views(lab))
		check_breach(lab, PROMISE_VIEWS, "views could not be opened");
	step_("from here the network loses 5 %, doubles 5 %, reorders 10 %");
	bad_network_(lab);
	step_("ask: reads, applications, uploads, answers of 200 KB");
	ask_everything_(lab);
	step_("change the configuration");
	planned_(lab, "change");
	step_("drain one backend server and replace its agent");
	planned_(lab, "drain");
	step_("stop one entry and replace it");
	planned_(lab, "stop-entry");
	step_("wait for the last answers");
	traffic_settle(lab);
	check_records(lab);
}

int demo_run(void)
{
	lab_t lab = { 0 };
	bool ok;

	step_("start a store, a fabric, 3 entries, 6 agents, 6 backend "
	      "servers, callers");
	ok = lab_start(&lab, 1);
	if (ok)
		play_(&lab);
	else
		printf("could not start:\n");
	if (ok)
		report_print(&lab);
	else
		for (guint i = 0; i < lab.trace->len; i++)
			printf("%s\n", (char *)g_ptr_array_index(lab.trace, i));
	ok = ok && check_breaches(&lab) == 0;
	lab_finish(&lab);
	printf("\n%s\n", ok ? "every promise held" : "a promise broke");
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
