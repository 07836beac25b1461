#include "flow_soak.h"

#include <glib/gstdio.h>
#include <platform/platform.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 400L
#define RESTART_MS 300
#define END_MS 8000

static const char entry_[] =
	"role = \"entry\"\ntraffic = \"flows\"\nname = \"entry-%d\"\n"
	"environment = \"soak\"\ndatacentre = \"dc-%d\"\n"
	"inner = \"127.0.1.%d:%u\"\nsecret = \"a secret of the soak\"\n"
	"admin = \"127.0.1.%d:%u\"\n%s"
	"[platform]\nurl = \"http://127.0.0.1:%u\"\ntimeout_ms = 500\n"
	"[flows]\nlisten = \"127.0.1.%d:%u\"\nready = \"127.0.1.%d:%u\"\n";

/** A server that crashed is down for less than this. */
#define SERVER_DOWN_MAX_MS 3000

static const char agent_[] =
	"role = \"agent\"\ntraffic = \"flows\"\nname = \"agent-%d\"\n"
	"environment = \"soak\"\ndatacentre = \"dc-%d\"\n"
	"inner = \"127.0.2.%d:%u\"\nsecret = \"a secret of the soak\"\n"
	"admin = \"127.0.2.%d:%u\"\n%s"
	"[platform]\nurl = \"http://127.0.0.1:%u\"\ntimeout_ms = 500\n"
	"[flows]\nlisten = \"127.0.2.%d:%u\"\nready = \"127.0.2.%d:%u\"\n"
	"backend = \"127.0.2.%d:%u\"\noutbound = \"127.0.2.%d:%u\"\n"
	"reports = \"127.0.2.%d:%u\"\nservice = \"" WORLD_SERVICE "\"\n"
	"report_ms = 1000\nbackend_listens = true\n";

static char *settings_(const soak_t *soak, bool entry, int index)
{
	unsigned int port = soak->port;
	int n = index + 1;
	char *seeds = g_strdup_printf(
		"seeds = [\"127.0.1.1:%u\", \"127.0.1.2:%u\"]\n", port + 3,
		port + 3);
	unsigned int store = pl_store_port(soak->store);
	char *text = entry ? g_strdup_printf(entry_, n, index % 3, n, port + 3,
					     n, port + 4, seeds, store, n, port,
					     n, port + 1) :
			     g_strdup_printf(agent_, n, index % 3, n, port + 3,
					     n, port + 4, seeds, store, n, port,
					     n, port + 1, n, port + 6, n,
					     port + 2, n, port + 5);

	g_free(seeds);
	return text;
}

bool soak_node_start(soak_t *soak, soak_node_t *node)
{
	const char *const argv[] = { PL_DAEMON, "-c", node->settings, NULL };

	node->process = pl_process_start(argv, node->log);
	node->restart_at = 0;
	node->resume_at = 0;
	node->ending = false;
	(void)soak;
	return node->process != NULL;
}

static bool add_node_(soak_t *soak, int at, bool entry, int index)
{
	soak_node_t *node = &soak->nodes[at];
	char *text = settings_(soak, entry, index);

	node->entry = entry;
	node->index = index;
	node->settings = g_strdup_printf("%s/%s-%d.toml", soak->folder,
					 entry ? "entry" : "agent", index);
	node->log = g_strdup_printf("%s/%s-%d.log", soak->folder,
				    entry ? "entry" : "agent", index);
	g_file_set_contents(node->settings, text, -1, NULL);
	g_free(text);
	return soak_node_start(soak, node);
}

static void on_put_(void *ctx, const pl_kv_reply_t *reply)
{
	*(pl_result_t *)ctx = reply->result;
}

/* The operators' configuration: one route. */
static bool put_config_(soak_t *soak)
{
	static const char text[] =
		"{\"version\":1,\"routes\":[{\"name\":\"r\","
		"\"host\":\"198.18.0.1\",\"prefix\":\"/8443/\","
		"\"goal_ms\":200,\"priority\":1,"
		"\"service\":\"" WORLD_SERVICE "\"}],\"services\":[]}";
	char *url = g_strdup_printf("http://127.0.0.1:%u",
				    pl_store_port(soak->store));
	pl_kv_t *kv = pl_platform_store_new(url, 2000);
	pl_result_t result = PL_ERR_TIMEOUT;

	pl_kv_put(kv,
		  &(pl_kv_write_t){ .key = pl_platform_config_key,
				    .value = text,
				    .value_len = strlen(text),
				    .expected_index = PL_KV_ANY },
		  on_put_, &result);
	while (pl_kv_pending(kv) > 0)
		pl_kv_wait(kv, 100);
	pl_kv_delete(kv);
	g_free(url);
	return result == PL_OK;
}

bool soak_start(soak_t *soak)
{
	soak->multi = curl_multi_init();
	soak->folder = g_dir_make_tmp("flow-soak-XXXXXX", NULL);
	soak->store = pl_store_new(0);
	if (!soak->store || !put_config_(soak))
		return false;
	for (int i = 0; i < soak->entries; i++) {
		if (!add_node_(soak, i, true, i))
			return false;
	}
	for (int i = 0; i < soak->agents; i++) {
		if (!add_node_(soak, soak->entries + i, false, i))
			return false;
		soak->listener_fds[i] = soak_listen(soak, i);
		world_start_server(soak->world, i);
	}
	return true;
}

static void remove_folder_(const soak_t *soak)
{
	GDir *dir = g_dir_open(soak->folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(soak->folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(soak->folder);
}

void soak_stop(soak_t *soak)
{
	for (int i = 0; i < soak->entries + soak->agents; i++)
		pl_process_delete(soak->nodes[i].process);
	pl_store_delete(soak->store);
	if (soak->breaches == 0)
		remove_folder_(soak);
}

void soak_nodes_step(soak_t *soak)
{
	pl_ms_t now = soak->world->now;

	for (int i = 0; i < soak->entries + soak->agents; i++) {
		soak_node_t *node = &soak->nodes[i];

		if (node->resume_at != 0 && now >= node->resume_at) {
			pl_process_signal(node->process, SIGCONT);
			node->resume_at = 0;
		}
		if (node->process && pl_process_ended(node->process)) {
			if (!node->ending)
				soak_breach(soak, "%s ended by itself",
					    node->settings);
			pl_process_delete(node->process);
			node->process = NULL;
			node->resume_at = 0;
			node->restart_at = now + RESTART_MS;
		}
		if (node->restart_at != 0 && now >= node->restart_at &&
		    !soak_node_start(soak, node))
			soak_breach(soak, "%s did not start", node->settings);
	}
}

/* ---- calls to the processes ---- */

static size_t ignore_(char *data, size_t size, size_t count, void *ctx)
{
	(void)data;
	(void)ctx;
	return size * count;
}

static void call_(soak_t *soak, soak_node_t *node, const char *url)
{
	CURL *easy = curl_easy_init();

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, ignore_);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, node);
	if (node->body) {
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, node->body);
	}
	node->probe = easy;
	curl_multi_add_handle(soak->multi, easy);
}

void soak_probe(soak_t *soak)
{
	for (int i = 0; i < soak->entries; i++) {
		soak_node_t *node = &soak->nodes[i];
		char url[128];

		if (node->probe)
			continue;
		g_snprintf(url, sizeof(url), "http://127.0.1.%d:%u/v1/ready",
			   i + 1, soak->port + 1U);
		call_(soak, node, url);
	}
}

void soak_report(void *ctx, server_t *server, const pl_backend_report_t *report)
{
	soak_t *soak = ctx;
	soak_node_t *node = &soak->nodes[soak->entries + server->index];
	char url[160];

	if (node->probe)
		return;
	g_free(node->body);
	node->body = g_strdup_printf(
		"{\"service\":\"%s\",\"max_concurrency\":%u,\"state\":\"%s\","
		"\"warmup_left_ms\":0,\"sequence\":%" G_GUINT64_FORMAT
		",\"born\":%" G_GUINT64_FORMAT "}",
		report->service, report->slots,
		report->draining ? "draining" : "ready", report->sequence,
		report->born_ms);
	node->drain_sent = report->draining;
	g_snprintf(url, sizeof(url), "http://127.0.2.%d:%u/v1/instances/%s",
		   server->index + 1, soak->port + 5U, report->id);
	call_(soak, node, url);
}

static void ended_(soak_t *soak, CURL *easy)
{
	soak_node_t *node = NULL;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&node);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (node->entry)
		node->missed = status == 200 ? 0 : node->missed + 1;
	else if (status == 200 && node->drain_sent &&
		 soak->drained_since[node->index] == 0)
		soak->drained_since[node->index] = soak->world->now;
	node->probe = NULL;
	curl_multi_remove_handle(soak->multi, easy);
	curl_easy_cleanup(easy);
}

void soak_calls_step(soak_t *soak)
{
	int running = 0;
	int left = 0;
	CURLMsg *message;

	curl_multi_perform(soak->multi, &running);
	while ((message = curl_multi_info_read(soak->multi, &left))) {
		if (message->msg == CURLMSG_DONE)
			ended_(soak, message->easy_handle);
	}
}

/* ---- faults ---- */

static soak_node_t *draw_(soak_t *soak, bool entry)
{
	int first = entry ? 0 : soak->entries;
	int count = entry ? soak->entries : soak->agents;
	soak_node_t *node =
		&soak->nodes[first + g_rand_int_range(soak->random, 0, count)];

	return node->process && node->resume_at == 0 && !node->ending ? node :
									NULL;
}

static void end_(soak_t *soak, bool entry, int number)
{
	soak_node_t *node = draw_(soak, entry);

	if (!node)
		return;
	node->ending = true;
	pl_process_signal(node->process, number);
}

static void freeze_(soak_t *soak, bool entry)
{
	soak_node_t *node = draw_(soak, entry);

	if (!node)
		return;
	pl_process_signal(node->process, SIGSTOP);
	node->resume_at = soak->world->now +
			  (pl_ms_t)g_rand_int_range(soak->random, 200, 3500);
}

static void kill_entry_(soak_t *soak)
{
	end_(soak, true, SIGKILL);
}

static void kill_agent_(soak_t *soak)
{
	end_(soak, false, SIGKILL);
}

static void stop_entry_(soak_t *soak)
{
	end_(soak, true, SIGTERM);
}

static void stop_agent_(soak_t *soak)
{
	end_(soak, false, SIGTERM);
}

static void freeze_entry_(soak_t *soak)
{
	freeze_(soak, true);
}

static void freeze_agent_(soak_t *soak)
{
	freeze_(soak, false);
}

static void reload_(soak_t *soak)
{
	soak_node_t *node = draw_(soak, true);

	if (node)
		pl_process_signal(node->process, SIGHUP);
}

static void kill_all_(soak_t *soak)
{
	for (int i = 0; i < soak->entries + soak->agents; i++) {
		soak_node_t *node = &soak->nodes[i];

		if (!node->process)
			continue;
		node->ending = true;
		pl_process_signal(node->process, SIGKILL);
	}
}

static void close_listener_(soak_t *soak, int index)
{
	if (soak->listener_fds[index] >= 0)
		close(soak->listener_fds[index]);
	soak->listener_fds[index] = -1;
}

/* A server crashes and starts anew, or says first that it leaves. */
static void server_(soak_t *soak)
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
	soak->server_up_at[index] =
		soak->world->now +
		(pl_ms_t)g_rand_int_range(soak->random, 0, SERVER_DOWN_MAX_MS);
}

static void start_server_(soak_t *soak, int index)
{
	soak->server_up_at[index] = 0;
	soak->drained_since[index] = 0;
	soak->world->servers[index].draining = false;
	soak->listener_fds[index] = soak_listen(soak, index);
	world_start_server(soak->world, index);
}

void soak_servers_step(soak_t *soak)
{
	for (int i = 0; i < soak->agents; i++) {
		if (soak->server_up_at[i] != 0 &&
		    soak->world->now >= soak->server_up_at[i])
			start_server_(soak, i);
		/* one that is leaving serves its flows without a listener */
		if (soak->drained_since[i] != 0 &&
		    soak->world->now - soak->drained_since[i] > SOAK_DRAIN_MS)
			close_listener_(soak, i);
	}
}

static void store_(soak_t *soak)
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

static bool wanted_(const soak_t *soak, const char *name)
{
	return !soak->wanted ||
	       g_strv_contains((const char *const *)soak->wanted, name);
}

void soak_fault(soak_t *soak)
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
		{ "reload", reload_ },
		{ "server", server_ },
		{ "server", server_ },
		{ "store", store_ },
		{ "kill-all", kill_all_ },
	};
	size_t allowed[G_N_ELEMENTS(faults)];
	int count = 0;
	size_t at;

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		if (wanted_(soak, faults[i].name))
			allowed[count++] = i;
	}
	if (count == 0) {
		soak_breach(soak, "--faults names none that is known");
		return;
	}
	at = allowed[g_rand_int_range(soak->random, 0, count)];
	soak->faults++;
	soak->last = faults[at].name;
	faults[at].inject(soak);
}
