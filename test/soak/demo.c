/**
 * @file
 * The demonstration: planned changes while views are open and the network
 * loses, duplicates and reorders datagrams.
 */
#include "lab.h"

#include <stdlib.h>

#define BLOB_BYTES 200000
#define UPLOAD_BYTES 20000

static void print_step_(const char *text)
{
	printf("- %s\n", text);
	fflush(stdout);
}

static void send_requests_(lab_t *lab)
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

static void run_planned_change_(lab_t *lab, const char *name)
{
	injection_t *injection = fault_inject(lab, fault_find(name));

	fault_restore(lab, injection);
}

static void impair_network_(lab_t *lab)
{
	lab->lossy = true;
	g_free(pl_process_request(lab->fabric, "loss 50"));
	g_free(pl_process_request(lab->fabric, "dup 50"));
	g_free(pl_process_request(lab->fabric, "reorder 100"));
}

static void run_steps_(lab_t *lab)
{
	print_step_("open 20 views for each of two services");
	if (!traffic_open_views(lab))
		check_breach(lab, GUARANTEE_VIEWS, "views could not be opened");
	print_step_(
		"from now on lose 5 %, duplicate 5 %, reorder 10 % of datagrams");
	impair_network_(lab);
	print_step_("send requests: reads, posts, uploads, reads of 200 KB");
	send_requests_(lab);
	print_step_("change the configuration");
	run_planned_change_(lab, "change");
	print_step_("drain one backend server and replace its agent");
	run_planned_change_(lab, "drain");
	print_step_("stop one entry and replace it");
	run_planned_change_(lab, "stop-entry");
	print_step_("wait for the last answers");
	traffic_stop(lab);
	check_records(lab);
}

int demo_run(void)
{
	lab_t lab = { 0 };
	bool ok;

	print_step_("start a store, a fabric, 3 entries, 6 agents, 6 backend "
		    "servers, callers");
	ok = lab_start(&lab, 1);
	if (ok)
		run_steps_(&lab);
	else
		printf("start failed:\n");
	if (ok)
		report_print(&lab);
	else
		for (guint i = 0; i < lab.trace->len; i++)
			printf("%s\n", (char *)g_ptr_array_index(lab.trace, i));
	ok = ok && check_breaches(&lab) == 0;
	lab_finish(&lab);
	printf("\n%s\n",
	       ok ? "no breach" : "breach of a guarantee, or start failed");
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
