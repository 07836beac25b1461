/**
 * @file
 * Settings, start, stop and status of a daemon under test.
 */
#include "lab.h"

#include <signal.h>
#include <string.h>

#define STOP_TIMEOUT_MS 40000
#define SEEDS_MAX 3

static char *format_seeds_(const lab_t *lab, const node_t *self)
{
	GString *text = g_string_new("[");
	int count = 0;

	for (int i = 0; i < LAB_NODES && count < SEEDS_MAX; i++) {
		const node_t *node = &lab->nodes[i];

		if (node == self || !node->up)
			continue;
		g_string_append_printf(text, "%s\"%s\"", count ? ", " : "",
				       node->inner);
		count++;
	}
	g_string_append_c(text, ']');
	return g_string_free(text, FALSE);
}

/*
 * The secret contains the directory of the run. Concurrent runs reuse ports of
 * each other, and members with the same secret would form one fleet.
 */
static char *write_settings_(const lab_t *lab, const node_t *node)
{
	char *path = g_strdup_printf("%s/%s.toml", lab->dir, node->name);
	char *seeds = format_seeds_(lab, node);
	char *role =
		node->is_entry ?
			g_strdup_printf("[entry]\nlisten = [\"127.0.0.1:0\"]\n"
					"fabric = \"%s\"\n",
					lab->fabric_return) :
			g_strdup("[agent]\nbackend_listen = \"127.0.0.1:0\"\n");
	char *text = g_strdup_printf(
		"role = \"%s\"\nname = \"%s\"\nenvironment = \"lab\"\n"
		"datacentre = \"dc%d\"\ninner = \"127.0.0.1:0\"\n"
		"secret = \"a secret of the lab in %s\"\n"
		"admin = \"127.0.0.1:0\"\nseeds = %s\nallow_faults = true\n"
		"[platform]\nurl = \"%s\"\ntimeout_ms = 1000\n%s",
		node->is_entry ? "entry" : "agent", node->name,
		(int)((node - lab->nodes) % LAB_ENTRIES) + 1, lab->dir, seeds,
		lab->store_url, role);

	g_file_set_contents(path, text, -1, NULL);
	g_free(text);
	g_free(role);
	g_free(seeds);
	return path;
}

bool node_start(lab_t *lab, node_t *node)
{
	char *path = write_settings_(lab, node);
	char *log = g_strdup_printf("%s/%s.%d.log", lab->dir, node->name,
				    ++node->starts);
	const char *argv[] = { PL_DAEMON, "-c", path, NULL };

	g_free(node->inner);
	g_free(node->admin);
	g_free(node->listen);
	node->inner = node->admin = node->listen = NULL;
	node->process = pl_process_start(argv, log);
	g_free(log);
	g_free(path);
	if (!node->process)
		return false;
	node->inner = pl_process_ready_value(node->process, "inner");
	node->admin = pl_process_ready_value(node->process, "admin");
	node->listen = pl_process_ready_value(
		node->process, node->is_entry ? "listen" : "backend");
	node->revision = 0;
	node->up_since_ms = pl_now_ms();
	node->up = node->inner && node->admin && node->listen;
	lab_trace(lab, "started %s inner=%s", node->name, node->inner);
	return node->up;
}

bool node_start_backend(lab_t *lab, node_t *node)
{
	char *record = g_strdup_printf("--record=%s/runs", lab->dir);
	char *name = g_strdup_printf("--name=%s", node->name);
	char *service =
		g_strdup_printf("--service=%s", lab_services[node->service]);
	char *agent = g_strdup_printf("--agent=%s", node->listen);
	char *log = g_strdup_printf("%s/%s.backend.log", lab->dir, node->name);
	const char *argv[] = {
		PL_BACKEND, record, name,
		service,    agent,  g_getenv("PL_LAB_DEBUG") ? "--debug" : NULL,
		NULL
	};

	node->backend = pl_process_start(argv, log);
	g_free(log);
	g_free(agent);
	g_free(service);
	g_free(name);
	g_free(record);
	if (!node->backend)
		return false;
	g_free(pl_process_request(node->backend, "update 1 %" G_GUINT64_FORMAT,
				  lab->version));
	return true;
}

void node_kill(lab_t *lab, node_t *node)
{
	node->up = false;
	pl_process_delete(node->process);
	node->process = NULL;
	lab_trace(lab, "killed %s", node->name);
}

void node_stop(lab_t *lab, node_t *node)
{
	uint64_t start_ms = pl_now_ms();

	node->up = false;
	lab_trace(lab, "SIGTERM to %s", node->name);
	pl_process_signal(node->process, SIGTERM);
	while (!pl_process_ended(node->process) &&
	       pl_now_ms() < start_ms + STOP_TIMEOUT_MS)
		lab_tick(lab);
	lab->check_counts[GUARANTEE_GRACEFUL_STOP]++;
	if (!pl_process_ended(node->process))
		check_breach(lab, GUARANTEE_GRACEFUL_STOP,
			     "%s did not exit within %d s of SIGTERM",
			     node->name, STOP_TIMEOUT_MS / 1000);
	else if (pl_process_status(node->process) != 0)
		check_breach(lab, GUARANTEE_GRACEFUL_STOP,
			     "%s exited with status %d", node->name,
			     pl_process_status(node->process));
	lab_trace(lab, "%s exited or timed out after %d ms", node->name,
		  (int)(pl_now_ms() - start_ms));
	pl_process_delete(node->process);
	node->process = NULL;
}

json_object *node_status(const node_t *node)
{
	char *url = g_strdup_printf("http://%s/status", node->admin);
	char *text = http_request("GET", url, NULL);
	json_object *status = text ? json_tokener_parse(text) : NULL;

	g_free(text);
	g_free(url);
	return status;
}

int64_t node_revision(const node_t *node)
{
	json_object *status = node_status(node);
	json_object *value = NULL;
	int64_t revision = -1;

	if (status && json_object_object_get_ex(status, "revision", &value))
		revision = json_object_get_int64(value);
	json_object_put(status);
	return revision;
}

static bool backend_registered_(node_t *node)
{
	return node->is_entry || !node->backend ||
	       pl_process_request_number(node->backend, "registered",
					 "status") == 1;
}

bool node_wait_ready(lab_t *lab, node_t *node)
{
	uint64_t until_ms = pl_now_ms() + LAB_WAIT_TIMEOUT_MS;
	int64_t revision = lab->change.revision;

	while (node_revision(node) < revision || !backend_registered_(node)) {
		if (pl_now_ms() > until_ms || pl_process_ended(node->process)) {
			lab_trace(lab, "%s did not become ready", node->name);
			return false;
		}
		lab_tick(lab);
	}
	return true;
}
