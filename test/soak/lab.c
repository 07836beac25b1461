/**
 * @file
 * Starts, drives and ends the processes of a run.
 */
#include "lab.h"

#include <glib/gstdio.h>
#include <stdarg.h>
#include <string.h>

#define TICK_MS 10
#define UPDATE_INTERVAL_MS 500
#define POLL_INTERVAL_MS 500

const char *const lab_services[LAB_SERVICES] = { "permit-desk",
						 "meter-records" };
void lab_trace(lab_t *lab, const char *format, ...)
{
	va_list args;
	char *text;
	double at_s = (double)(pl_now_ms() - lab->started_ms) / 1000;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(lab->trace, g_strdup_printf("%8.3f %s", at_s, text));
	if (lab->verbose)
		fprintf(stderr, "%8.3f %s\n", at_s, text);
	g_free(text);
}

static bool start_standins_(lab_t *lab, uint32_t seed)
{
	char *seed_text = g_strdup_printf("--seed=%u", seed);
	char *record = g_strdup_printf("--record=%s/told", lab->dir);
	char *log = g_strdup_printf("%s/caller.log", lab->dir);
	const char *store[] = { PL_STORE, NULL };
	const char *fabric[] = { PL_FABRIC, seed_text, NULL };
	const char *caller[] = { PL_CALLER, record, "--ack-timeout-ms=1000",
				 g_getenv("PL_LAB_DEBUG") ? "--debug" : NULL,
				 NULL };
	char *listen;

	lab->store = pl_process_start(store, NULL);
	lab->fabric = pl_process_start(fabric, NULL);
	lab->caller = pl_process_start(caller, log);
	g_free(log);
	g_free(record);
	g_free(seed_text);
	if (!lab->store || !lab->fabric || !lab->caller)
		return false;
	listen = pl_process_ready_value(lab->store, "listen");
	lab->store_url = g_strdup_printf("http://%s", listen);
	lab->fabric_return = pl_process_ready_value(lab->fabric, "return");
	lab->store_up = true;
	g_free(listen);
	for (int s = 0; s < LAB_SERVICES; s++) {
		char *answer = pl_process_request(lab->fabric, "service %s",
						  lab_addresses[s]);

		listen = answer ? pl_content_field(answer, strlen(answer),
						   "listen") :
				  NULL;
		g_free(pl_process_request(lab->caller, "service %s %s",
					  lab_services[s], listen));
		g_free(listen);
		g_free(answer);
	}
	return true;
}

static void init_nodes_(lab_t *lab)
{
	for (int i = 0; i < LAB_NODES; i++) {
		node_t *node = &lab->nodes[i];
		int agent = i - LAB_ENTRIES;

		node->is_entry = i < LAB_ENTRIES;
		if (node->is_entry) {
			g_snprintf(node->name, sizeof(node->name), "entry-%d",
				   i + 1);
			continue;
		}
		node->service = agent / LAB_AGENTS_PER_SERVICE;
		g_snprintf(node->name, sizeof(node->name), "%s-%d",
			   lab_services[node->service],
			   agent % LAB_AGENTS_PER_SERVICE + 1);
	}
}

static bool start_nodes_(lab_t *lab)
{
	for (int i = 0; i < LAB_NODES; i++) {
		node_t *node = &lab->nodes[i];

		if (!node_start(lab, node))
			return false;
		if (!node->is_entry && !node_start_backend(lab, node))
			return false;
	}
	for (int i = 0; i < LAB_NODES; i++) {
		node_t *node = &lab->nodes[i];

		if (!node_wait_ready(lab, node))
			return false;
		if (node->is_entry)
			g_free(pl_process_request(lab->fabric, "entry add %s",
						  node->listen));
	}
	return true;
}

/* Number of serving endpoints that @p node reports. */
static int count_serving_(const node_t *node)
{
	char *url = g_strdup_printf("http://%s/endpoints", node->admin);
	char *text = http_request("GET", url, NULL);
	json_object *array = text ? json_tokener_parse(text) : NULL;
	int count = 0;

	for (size_t i = 0; array && i < json_object_array_length(array); i++) {
		json_object *state = NULL;

		json_object_object_get_ex(json_object_array_get_idx(array, i),
					  "state", &state);
		count += state &&
			 strcmp(json_object_get_string(state), "serving") == 0;
	}
	json_object_put(array);
	g_free(text);
	g_free(url);
	return count;
}

/* Waits until every node reports every endpoint as serving. */
static bool wait_endpoints_(lab_t *lab)
{
	uint64_t until_ms = pl_now_ms() + LAB_WAIT_TIMEOUT_MS;

	for (int i = 0; i < LAB_NODES; i++) {
		while (count_serving_(&lab->nodes[i]) <
		       LAB_SERVICES * LAB_AGENTS_PER_SERVICE) {
			if (pl_now_ms() > until_ms) {
				lab_trace(
					lab,
					"%s does not report all endpoints as serving",
					lab->nodes[i].name);
				return false;
			}
			lab_tick(lab);
		}
	}
	lab_trace(lab, "every node reports every endpoint as serving");
	return true;
}

/* The time limit of changes does not apply to the first document. */
static bool clear_first_change_(lab_t *lab)
{
	lab->change.pending = false;
	return true;
}

bool lab_start(lab_t *lab, uint32_t seed)
{
	lab->dir = g_dir_make_tmp("pimentolift-XXXXXX", NULL);
	lab->random = g_rand_new_with_seed(seed);
	lab->started_ms = pl_now_ms();
	lab->injections = g_ptr_array_new_with_free_func(g_free);
	lab->trace = g_ptr_array_new_with_free_func(g_free);
	lab->breach_texts = g_ptr_array_new_with_free_func(g_free);
	lab->next_update_ms = UINT64_MAX;
	lab->version = 1;
	g_queue_init(&lab->updates);
	init_nodes_(lab);
	return lab->dir && start_standins_(lab, seed) && operator_apply(lab) &&
	       start_nodes_(lab) && wait_endpoints_(lab) &&
	       clear_first_change_(lab);
}

static void remove_dir_(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

void lab_finish(lab_t *lab)
{
	for (int i = 0; i < LAB_NODES; i++) {
		node_t *node = &lab->nodes[i];

		pl_process_delete(node->process);
		pl_process_delete(node->backend);
		g_free(node->inner);
		g_free(node->admin);
		g_free(node->listen);
	}
	pl_process_delete(lab->caller);
	pl_process_delete(lab->fabric);
	pl_process_delete(lab->store);
	g_queue_clear_full(&lab->updates, g_free);
	g_ptr_array_free(lab->injections, TRUE);
	g_ptr_array_free(lab->trace, TRUE);
	g_ptr_array_free(lab->breach_texts, TRUE);
	g_rand_free(lab->random);
	if (!g_getenv("PL_LAB_KEEP"))
		remove_dir_(lab->dir);
	else
		fprintf(stderr, "logs kept in %s\n", lab->dir);
	g_free(lab->dir);
	g_free(lab->store_url);
	g_free(lab->fabric_return);
}

void lab_tick(lab_t *lab)
{
	if (pl_now_ms() >= lab->next_update_ms) {
		lab->next_update_ms = pl_now_ms() + UPDATE_INTERVAL_MS;
		traffic_update(lab);
	}
	if (pl_now_ms() >= lab->next_poll_ms) {
		lab->next_poll_ms = pl_now_ms() + POLL_INTERVAL_MS;
		for (int i = 0; i < LAB_NODES; i++) {
			node_t *node = &lab->nodes[i];
			bool ended =
				node->up && pl_process_ended(node->process);

			if (ended) {
				node->up = false;
				check_breach(lab, GUARANTEE_GRACEFUL_STOP,
					     "%s ended unexpectedly, status %d",
					     node->name,
					     pl_process_status(node->process));
			}
		}
	}
	if (pl_process_ended(lab->caller) || pl_process_ended(lab->fabric))
		g_error("the caller or fabric stand-in ended unexpectedly");
	check_periodic(lab);
	g_usleep((gulong)TICK_MS * G_TIME_SPAN_MILLISECOND);
}

void lab_run(lab_t *lab, uint64_t ms)
{
	uint64_t until_ms = pl_now_ms() + ms;

	while (pl_now_ms() < until_ms)
		lab_tick(lab);
}
