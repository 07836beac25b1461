/**
 * @file
 * Processes, backend servers and faults of the soak of flows.
 */
#include "flow_soak.h"

#include <glib/gstdio.h>
#include <pimentolift/registration.h>
#include <platform/platform.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define HTTP_TIMEOUT_MS 400L
#define RESTART_DELAY_MS 300
#define END_MS 8000

static const char entry_settings_[] =
	"role = \"entry\"\ntraffic = \"flows\"\nname = \"entry-%d\"\n"
	"environment = \"soak\"\ndatacentre = \"dc-%d\"\n"
	"inner = \"127.0.1.%d:%u\"\nsecret = \"a secret of the soak\"\n"
	"admin = \"127.0.1.%d:%u\"\n%s"
	"[platform]\nurl = \"http://127.0.0.1:%u\"\ntimeout_ms = 500\n"
	"[flows]\nlisten = \"127.0.1.%d:%u\"\nready = \"127.0.1.%d:%u\"\n";

/** Upper limit of the time that a crashed server is down. */
#define SERVER_DOWN_MAX_MS 3000
/** Upper limit of the time by which a server's clock is set back; the soak
 * begins with 3 s without faults. */
#define CLOCK_BEHIND_MAX_MS 3000

static const char agent_settings_[] =
	"role = \"agent\"\ntraffic = \"flows\"\nname = \"agent-%d\"\n"
	"environment = \"soak\"\ndatacentre = \"dc-%d\"\n"
	"inner = \"127.0.2.%d:%u\"\nsecret = \"a secret of the soak\"\n"
	"admin = \"127.0.2.%d:%u\"\n%s"
	"[platform]\nurl = \"http://127.0.0.1:%u\"\ntimeout_ms = 500\n"
	"[flows]\nlisten = \"127.0.2.%d:%u\"\nready = \"127.0.2.%d:%u\"\n"
	"backend = \"127.0.2.%d:%u\"\noutbound = \"127.0.2.%d:%u\"\n"
	"reports = \"127.0.2.%d:%u\"\nservice = \"%s\"\n"
	"report_ms = 1000\nbackend_listens = true\n";

static char *format_settings_(const soak_t *soak, bool entry, int index)
{
	unsigned int port = soak->port;
	int n = index + 1;
	char *seeds = g_strdup_printf(
		"seeds = [\"127.0.1.1:%u\", \"127.0.1.2:%u\"]\n", port + 3,
		port + 3);
	unsigned int store = pl_store_port(soak->store);
	char *text =
		entry ? g_strdup_printf(entry_settings_, n, index % 3, n,
					port + 3, n, port + 4, seeds, store, n,
					port, n, port + 1) :
			g_strdup_printf(agent_settings_, n, index % 3, n,
					port + 3, n, port + 4, seeds, store, n,
					port, n, port + 1, n, port + 6, n,
					port + 2, n, port + 5,
					soak->world->agents[index].service);

	g_free(seeds);
	return text;
}

bool soak_node_start(soak_t *soak, soak_node_t *node)
{
	const char *const argv[] = { PL_DAEMON, "-c", node->settings_path,
				     NULL };

	node->process = pl_process_start(argv, node->log_path);
	node->restart_at = 0;
	node->resume_at = 0;
	node->exit_expected = false;
	(void)soak;
	return node->process != NULL;
}

static bool add_node_(soak_t *soak, int slot, bool entry, int index)
{
	soak_node_t *node = &soak->nodes[slot];
	char *text = format_settings_(soak, entry, index);

	node->entry = entry;
	node->index = index;
	node->settings_path = g_strdup_printf("%s/%s-%d.toml", soak->dir,
					      entry ? "entry" : "agent", index);
	node->log_path = g_strdup_printf("%s/%s-%d.log", soak->dir,
					 entry ? "entry" : "agent", index);
	g_file_set_contents(node->settings_path, text, -1, NULL);
	g_free(text);
	return soak_node_start(soak, node);
}

bool soak_start(soak_t *soak)
{
	soak->multi = curl_multi_init();
	soak->dir = g_dir_make_tmp("flow-soak-XXXXXX", NULL);
	soak->store = pl_store_new(0);
	if (!soak->store || !soak_store_config(soak))
		return false;
	pl_store_command(soak->store, "copy");
	for (int i = 0; i < soak->entries; i++) {
		if (!add_node_(soak, i, true, i))
			return false;
	}
	for (int i = 0; i < soak->agents; i++) {
		if (!add_node_(soak, soak->entries + i, false, i))
			return false;
		soak->listener_fds[i] = soak_open_listener(soak, i);
		world_start_server(soak->world, i);
	}
	return true;
}

static void remove_dir_(const soak_t *soak)
{
	GDir *dir = g_dir_open(soak->dir, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(soak->dir, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(soak->dir);
}

void soak_stop(soak_t *soak)
{
	for (int i = 0; i < soak->entries + soak->agents; i++)
		pl_process_delete(soak->nodes[i].process);
	pl_store_delete(soak->store);
	if (soak->breaches == 0)
		remove_dir_(soak);
}

void soak_step_nodes(soak_t *soak)
{
	pl_ms_t now = soak->world->now;

	for (int i = 0; i < soak->entries + soak->agents; i++) {
		soak_node_t *node = &soak->nodes[i];

		if (node->resume_at != 0 && now >= node->resume_at) {
			pl_process_signal(node->process, SIGCONT);
			node->resume_at = 0;
		}
		if (node->process && pl_process_ended(node->process)) {
			if (!node->exit_expected)
				soak_report_breach(
					soak,
					"%s: the process ended unexpectedly",
					node->settings_path);
			pl_process_delete(node->process);
			node->process = NULL;
			node->resume_at = 0;
			node->restart_at = now + RESTART_DELAY_MS;
		}
		if (node->restart_at != 0 && now >= node->restart_at &&
		    !soak_node_start(soak, node))
			soak_report_breach(soak,
					   "%s: the process did not start",
					   node->settings_path);
	}
}

/* ---- HTTP requests to the processes ---- */

static size_t discard_body_(char *data, size_t size, size_t count, void *ctx)
{
	(void)data;
	(void)ctx;
	return size * count;
}

static void send_request_(soak_t *soak, soak_node_t *node, const char *url)
{
	CURL *easy = curl_easy_init();

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body_);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, HTTP_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, node);
	if (node->request_body) {
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, node->request_body);
	}
	node->request = easy;
	curl_multi_add_handle(soak->multi, easy);
}

void soak_probe_entries(soak_t *soak)
{
	for (int i = 0; i < soak->entries; i++) {
		soak_node_t *node = &soak->nodes[i];
		char url[128];

		if (node->request)
			continue;
		g_snprintf(url, sizeof(url), "http://127.0.1.%d:%u/v1/ready",
			   i + 1, soak->port + 1U);
		send_request_(soak, node, url);
	}
}

void soak_send_report(soak_t *soak, soak_node_t *node, const char *id)
{
	char url[160];

	g_snprintf(url, sizeof(url), "http://127.0.2.%d:%u/v1/instances/%s",
		   node->index + 1, soak->port + 5U, id);
	send_request_(soak, node, url);
}

void soak_send_heartbeat(void *ctx, server_t *server,
			 const pl_backend_report_t *report)
{
	soak_t *soak = ctx;
	soak_node_t *node = &soak->nodes[soak->entries + server->index];

	if (node->request)
		return;
	g_free(node->request_body);
	node->request_body = soak_format_report(soak, server->index, report);
	node->request_drains = report->draining;
	node->request_foreign = false;
	soak_send_report(soak, node, report->id);
}

static void finish_request_(soak_t *soak, CURL *easy)
{
	soak_node_t *node = NULL;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&node);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	node->answered |= status != 0;
	if (node->entry)
		node->failed_probes =
			status == 200 ? 0 : node->failed_probes + 1;
	else if (status == 200 && node->request_foreign)
		soak_report_breach(soak, "agent %d accepted the report %s",
				   node->index, node->request_body);
	else if (status == 200 && node->request_drains &&
		 soak->drain_acked_at[node->index] == 0)
		soak->drain_acked_at[node->index] = soak->world->now;
	node->request = NULL;
	curl_multi_remove_handle(soak->multi, easy);
	curl_easy_cleanup(easy);
}

void soak_step_http(soak_t *soak)
{
	int running = 0;
	int left = 0;
	CURLMsg *message;

	curl_multi_perform(soak->multi, &running);
	while ((message = curl_multi_info_read(soak->multi, &left))) {
		if (message->msg == CURLMSG_DONE)
			finish_request_(soak, message->easy_handle);
	}
}

/* ---- faults ---- */

static soak_node_t *pick_running_node_(soak_t *soak, bool entry)
{
	int first = entry ? 0 : soak->entries;
	int count = entry ? soak->entries : soak->agents;
	soak_node_t *node =
		&soak->nodes[first + g_rand_int_range(soak->random, 0, count)];

	return node->process && node->resume_at == 0 && !node->exit_expected ?
		       node :
		       NULL;
}

static void signal_to_exit_(soak_t *soak, bool entry, int number)
{
	soak_node_t *node = pick_running_node_(soak, entry);

	if (!node)
		return;
	node->exit_expected = true;
	pl_process_signal(node->process, number);
}

static void freeze_node_(soak_t *soak, bool entry)
{
	soak_node_t *node = pick_running_node_(soak, entry);

	if (!node)
		return;
	pl_process_signal(node->process, SIGSTOP);
	node->frozen_at = soak->world->now;
	node->resume_at = soak->world->now +
			  (pl_ms_t)g_rand_int_range(soak->random, 200, 3500);
}

static void kill_entry_(soak_t *soak)
{
	signal_to_exit_(soak, true, SIGKILL);
}

static void kill_agent_(soak_t *soak)
{
	signal_to_exit_(soak, false, SIGKILL);
}

static void stop_entry_(soak_t *soak)
{
	signal_to_exit_(soak, true, SIGTERM);
}

static void stop_agent_(soak_t *soak)
{
	signal_to_exit_(soak, false, SIGTERM);
}

static void freeze_entry_(soak_t *soak)
{
	freeze_node_(soak, true);
}

static void freeze_agent_(soak_t *soak)
{
	freeze_node_(soak, false);
}

static void reload_entry_(soak_t *soak)
{
	soak_node_t *node = pick_running_node_(soak, true);

	if (node)
		pl_process_signal(node->process, SIGHUP);
}

static void kill_all_nodes_(soak_t *soak)
{
	soak->all_killed = true;
	for (int i = 0; i < soak->entries + soak->agents; i++) {
		soak_node_t *node = &soak->nodes[i];

		node->answered = false;
		if (!node->process)
			continue;
		node->exit_expected = true;
		pl_process_signal(node->process, SIGKILL);
	}
}

static void close_listener_(soak_t *soak, int index)
{
	if (soak->listener_fds[index] >= 0)
		close(soak->listener_fds[index]);
	soak->listener_fds[index] = -1;
}

/* Lets a server drain, or crash and restart. A draining server crashes. */
static void drain_or_crash_server_(soak_t *soak)
{
	int index = g_rand_int_range(soak->random, 0, soak->agents);
	server_t *server = &soak->world->servers[index];

	if (!server->up)
		return;
	if (!server->draining && g_rand_boolean(soak->random)) {
		server->draining = true;
		return;
	}
	close_listener_(soak, index);
	world_crash_server(soak->world, index);
	soak->server_restart_at[index] =
		soak->world->now +
		(pl_ms_t)g_rand_int_range(soak->random, 0, SERVER_DOWN_MAX_MS);
}

/* Starts a server again, in one case of three after its clock was set back. */
static void start_server_(soak_t *soak, int index)
{
	soak->world->servers[index].clock_behind_ms =
		g_rand_int_range(soak->random, 0, 3) == 0 ?
			(uint64_t)g_rand_int_range(soak->random, 0,
						   CLOCK_BEHIND_MAX_MS) :
			0;
	soak->server_restart_at[index] = 0;
	/* an answer under way acknowledges the drain of the former process */
	soak->nodes[soak->entries + index].request_drains = false;
	soak->drain_acked_at[index] = 0;
	soak->world->servers[index].draining = false;
	soak->listener_fds[index] = soak_open_listener(soak, index);
	world_start_server(soak->world, index);
}

void soak_step_servers(soak_t *soak)
{
	for (int i = 0; i < soak->agents; i++) {
		if (soak->server_restart_at[i] != 0 &&
		    soak->world->now >= soak->server_restart_at[i])
			start_server_(soak, i);
		/* a draining server serves its flows without a listener */
		if (soak->drain_acked_at[i] != 0 &&
		    soak->world->now - soak->drain_acked_at[i] >
			    SOAK_DRAIN_LIMIT_MS)
			close_listener_(soak, i);
	}
}

void soak_end_drains(soak_t *soak)
{
	for (int i = 0; i < soak->agents; i++) {
		if (!soak->world->servers[i].draining)
			continue;
		close_listener_(soak, i);
		world_crash_server(soak->world, i);
		start_server_(soak, i);
	}
}

static void fail_store_(soak_t *soak)
{
	static const char *const commands[] = { "down", "slow 400",
						"lose-answers 3",
						"lose-writes 3", "deaf" };

	pl_store_command(soak->store,
			 commands[g_rand_int_range(soak->random, 0,
						   G_N_ELEMENTS(commands))]);
	soak->store_up_at = soak->world->now +
			    (pl_ms_t)g_rand_int_range(soak->random, 500, 4000);
}

/* The store goes away and comes back from its last copy. The first copy is older
 * than the registrations of all agents. */
static void restore_store_(soak_t *soak)
{
	if (g_rand_int_range(soak->random, 0, 3) == 0)
		pl_store_command(soak->store, "copy");
	pl_store_command(soak->store, "down");
	soak->store_goes_back = true;
	soak->store_up_at = soak->world->now +
			    (pl_ms_t)g_rand_int_range(soak->random, 50, 2000);
}

void soak_step_store(soak_t *soak)
{
	if (soak->store_up_at == 0 || soak->world->now < soak->store_up_at)
		return;
	soak->store_up_at = 0;
	if (soak->store_goes_back)
		pl_store_command(soak->store, "restore");
	pl_store_command(soak->store, "up");
	/* the operators write again what the store lost */
	if (soak->store_goes_back)
		soak_store_config(soak);
	if (soak->store_goes_back)
		soak_store_evacuation(soak);
	soak->store_goes_back = false;
}

void soak_check_roster(soak_t *soak)
{
	for (int i = 0; i < soak->agents; i++) {
		const pl_addr_t inner = { .family = PL_ADDR_IPV4,
					  .ip = { 127, 0, 2, (uint8_t)(i + 1) },
					  .port = (uint16_t)(soak->port + 3) };
		char *key = pl_roster_key(
			"soak", pl_service_id(soak->world->agents[i].service),
			pl_member_id_from_addr(&inner));

		if (soak->server_restart_at[i] == 0 &&
		    !soak->world->servers[i].draining &&
		    !pl_store_has(soak->store, key))
			soak_report_breach(soak, "the roster lacks agent %d",
					   i);
		g_free(key);
	}
}

static bool is_allowed_(const soak_t *soak, const char *name)
{
	return !soak->allowed_faults ||
	       g_strv_contains((const char *const *)soak->allowed_faults, name);
}

void soak_inject_fault(soak_t *soak)
{
	static const struct {
		const char *name;
		void (*inject)(soak_t *soak);
	} faults[] = {
		{ "kill-entry", kill_entry_ },
		{ "kill-agent", kill_agent_ },
		{ "stop-entry", stop_entry_ },
		{ "stop-agent", stop_agent_ },
		{ "freeze-entry", freeze_entry_ },
		{ "freeze-agent", freeze_agent_ },
		{ "reload", reload_entry_ },
		{ "server", drain_or_crash_server_ },
		{ "server", drain_or_crash_server_ },
		{ "store", fail_store_ },
		{ "store-back", restore_store_ },
		{ "kill-all", kill_all_nodes_ },
		{ "config", soak_change_config },
		{ "config", soak_change_config },
		{ "evacuate", soak_change_evacuation },
		{ "weights", soak_change_weights },
		{ "foreign-report", soak_send_foreign_report },
		{ "foreign-entry", soak_store_foreign_entry },
	};
	size_t allowed[G_N_ELEMENTS(faults)];
	int count = 0;
	size_t choice;

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		if (is_allowed_(soak, faults[i].name))
			allowed[count++] = i;
	}
	if (count == 0) {
		soak_report_breach(soak, "--faults names no known fault");
		return;
	}
	choice = allowed[g_rand_int_range(soak->random, 0, count)];
	soak->faults++;
	soak->last_fault = faults[choice].name;
	faults[choice].inject(soak);
}
