/**
 * @file
 * Parser and printer of the daemon's TOML settings.
 */
#include <pimentolift/settings.h>

#include "private/reader.h"

#include <assert.h>
#include <pimentolift/hash.h>
#include <stdlib.h>
#include <string.h>

#define TRAFFIC_THREADS_MAX 64
#define STOP_TIMEOUT_DEFAULT_MS (30 * 60 * 1000)
#define STOP_TIMEOUT_MIN_MS 100
#define STOP_TIMEOUT_MAX_MS (24 * 60 * 60 * 1000)
#define PLATFORM_TIMEOUT_DEFAULT_MS 2000
#define PLATFORM_TIMEOUT_MIN_MS 50
#define PLATFORM_TIMEOUT_MAX_MS 60000
#define AGENT_MEMORY_DEFAULT_MB 32
#define AGENT_MEMORY_MAX_MB 65536
#define PORT_MAX 65535
#define FLOW_DEFAULT_S 60.0
#define FLOW_MAX_S 86400.0
#define LINK_DEFAULT_MBPS 1000
#define LINK_MAX_MBPS 1000000
#define CONFIG_DEFAULT_MS 3000
#define CONFIG_MIN_MS 100
#define CONFIG_MAX_MS 600000
#define REPORT_DEFAULT_MS 1000
#define REPORT_MIN_MS 10
#define REPORT_MAX_MS 60000

const char *const pl_role_names[] = { "entry", "agent" };
static_assert(G_N_ELEMENTS(pl_role_names) == PL_ROLE_COUNT,
	      "a name for each role");

const char *const pl_traffic_names[] = { "coap", "flows" };
static_assert(G_N_ELEMENTS(pl_traffic_names) == PL_TRAFFIC_COUNT,
	      "a name for each kind of traffic");

const char *const pl_log_format_names[] = { "text", "journal" };
static_assert(G_N_ELEMENTS(pl_log_format_names) == PL_LOG_FORMAT_COUNT,
	      "a name for each form");

static void set_defaults_(pl_settings_t *settings)
{
	const pl_addr_t any_port = {
		.ip = { 127, 0, 0, 1 },
		.family = PL_ADDR_IPV4,
	};

	settings->inner = any_port;
	settings->admin = any_port;
	settings->traffic_threads = 1;
	settings->log = PL_LOG_FORMAT_TEXT;
	settings->stop_timeout_ms = STOP_TIMEOUT_DEFAULT_MS;
	settings->platform.timeout_ms = PLATFORM_TIMEOUT_DEFAULT_MS;
	settings->agent.backend_listen = any_port;
	settings->agent.memory_max_mb = AGENT_MEMORY_DEFAULT_MB;
	settings->flows.flow_max_s = FLOW_DEFAULT_S;
	settings->flows.link_mbps = LINK_DEFAULT_MBPS;
	settings->flows.config_ms = CONFIG_DEFAULT_MS;
	settings->flows.report_ms = REPORT_DEFAULT_MS;
}

/* Contents of the file named by @p node, without trailing white space. */
static char *read_secret_file_(pl_problems_t *problems, const pl_toml_t *node)
{
	GError *error = NULL;
	char *text = NULL;

	if (!g_file_get_contents(node->text, &text, NULL, &error)) {
		pl_problems_add(problems, node->line, node->path, "%s",
				error->message);
		g_error_free(error);
		return NULL;
	}
	return g_strchomp(text);
}

static void read_secret_(pl_problems_t *problems, pl_toml_t *root,
			 pl_settings_t *settings)
{
	size_t before = pl_problems_count(problems);
	pl_toml_t *inline_secret = pl_reader_get(
		problems, root, "secret", PL_TOML_STRING, PL_KEY_OPTIONAL);
	pl_toml_t *secret_file = pl_reader_get(problems, root, "secret_file",
					       PL_TOML_STRING, PL_KEY_OPTIONAL);
	const pl_toml_t *node = inline_secret ? inline_secret : secret_file;

	if (inline_secret && secret_file) {
		pl_problems_add(
			problems, secret_file->line, secret_file->path,
			"is set together with secret; set only one of them");
		return;
	}
	if (!node) {
		/* a key of a wrong type has been reported already */
		if (pl_problems_count(problems) == before)
			pl_problems_add(
				problems, root->line, "secret",
				"is missing; set secret or secret_file");
		return;
	}
	settings->secret = inline_secret ?
				   g_strdup(inline_secret->text) :
				   read_secret_file_(problems, secret_file);
	if (settings->secret && strlen(settings->secret) < PL_SECRET_MIN_BYTES)
		pl_problems_add(problems, node->line, node->path,
				"is shorter than %d bytes",
				PL_SECRET_MIN_BYTES);
}

static void check_ipv4_(pl_problems_t *problems, pl_toml_t *root,
			const char *key, const pl_addr_t *addr)
{
	if (addr->family != PL_ADDR_IPV4)
		pl_reader_problem(problems, root, key,
				  "must be an IPv4 address");
}

static void read_common_(pl_problems_t *problems, pl_toml_t *root,
			 pl_settings_t *settings)
{
	unsigned int role = settings->role;
	unsigned int log = settings->log;
	unsigned int traffic = settings->traffic;

	pl_reader_choice(problems, root, "role", PL_KEY_REQUIRED, pl_role_names,
			 PL_ROLE_COUNT, &role);
	pl_reader_choice(problems, root, "log", PL_KEY_OPTIONAL,
			 pl_log_format_names, PL_LOG_FORMAT_COUNT, &log);
	pl_reader_choice(problems, root, "traffic", PL_KEY_OPTIONAL,
			 pl_traffic_names, PL_TRAFFIC_COUNT, &traffic);
	settings->traffic = (pl_traffic_t)traffic;
	settings->role = (pl_role_t)role;
	settings->log = (pl_log_format_t)log;
	pl_reader_name(problems, root, "name", PL_KEY_REQUIRED, settings->name);
	pl_reader_name(problems, root, "environment", PL_KEY_REQUIRED,
		       settings->environment);
	pl_reader_name(problems, root, "datacentre", PL_KEY_REQUIRED,
		       settings->datacentre);
	read_secret_(problems, root, settings);
	if (pl_reader_addr(problems, root, "inner", PL_KEY_OPTIONAL,
			   &settings->inner))
		check_ipv4_(problems, root, "inner", &settings->inner);
	pl_reader_addr(problems, root, "admin", PL_KEY_OPTIONAL,
		       &settings->admin);
	pl_reader_addr_list(problems, root, "seeds", PL_KEY_OPTIONAL,
			    &settings->seeds);
	for (size_t i = 0; i < settings->seeds.count; i++)
		check_ipv4_(problems, root, "seeds", &settings->seeds.at[i]);
	pl_reader_number(problems, root, "seed_port", 0, PORT_MAX,
			 &settings->seed_port);
	pl_reader_number(problems, root, "traffic_threads", 1,
			 TRAFFIC_THREADS_MAX, &settings->traffic_threads);
	pl_reader_flag(problems, root, "allow_faults", &settings->allow_faults);
	pl_reader_number(problems, root, "stop_timeout_ms", STOP_TIMEOUT_MIN_MS,
			 STOP_TIMEOUT_MAX_MS, &settings->stop_timeout_ms);
}

static void read_platform_(pl_problems_t *problems, pl_toml_t *root,
			   pl_settings_platform_t *platform)
{
	pl_toml_t *table = pl_reader_get(problems, root, "platform",
					 PL_TOML_TABLE, PL_KEY_REQUIRED);
	const char *url;

	if (!table)
		return;
	url = pl_reader_text(problems, table, "url", PL_KEY_REQUIRED);
	if (url && !g_str_has_prefix(url, "http://") &&
	    !g_str_has_prefix(url, "https://"))
		pl_reader_problem(problems, table, "url",
				  "\"%s\" does not start with http:// or "
				  "https://",
				  url);
	platform->url = g_strdup(url);
	pl_reader_number(problems, table, "timeout_ms", PLATFORM_TIMEOUT_MIN_MS,
			 PLATFORM_TIMEOUT_MAX_MS, &platform->timeout_ms);
	pl_reader_unknown(problems, table);
}

static void read_entry_(pl_problems_t *problems, pl_toml_t *table,
			pl_settings_entry_t *entry)
{
	pl_reader_addr_list(problems, table, "listen", PL_KEY_REQUIRED,
			    &entry->listen);
	entry->has_fabric = pl_reader_addr(problems, table, "fabric",
					   PL_KEY_OPTIONAL, &entry->fabric);
	pl_reader_unknown(problems, table);
}

static void read_agent_(pl_problems_t *problems, pl_toml_t *table,
			pl_settings_agent_t *agent)
{
	pl_reader_addr(problems, table, "backend_listen", PL_KEY_OPTIONAL,
		       &agent->backend_listen);
	pl_reader_number(problems, table, "memory_max_mb", 1,
			 AGENT_MEMORY_MAX_MB, &agent->memory_max_mb);
	pl_reader_unknown(problems, table);
}

static void read_flows_(pl_problems_t *problems, pl_toml_t *root,
			pl_settings_t *settings)
{
	pl_settings_flows_t *flows = &settings->flows;
	double report_ms = flows->report_ms;
	double config_ms = flows->config_ms;
	pl_toml_t *table = pl_reader_get(problems, root, "flows", PL_TOML_TABLE,
					 PL_KEY_REQUIRED);

	if (!table)
		return;
	pl_reader_addr(problems, table, "listen", PL_KEY_REQUIRED,
		       &flows->listen);
	pl_reader_addr(problems, table, "ready", PL_KEY_REQUIRED,
		       &flows->ready);
	pl_reader_real(problems, table, "flow_max_s", PL_KEY_OPTIONAL, 0,
		       FLOW_MAX_S, &flows->flow_max_s);
	pl_reader_real(problems, table, "link_mbps", PL_KEY_OPTIONAL, 0,
		       LINK_MAX_MBPS, &flows->link_mbps);
	pl_reader_real(problems, table, "config_ms", PL_KEY_OPTIONAL,
		       CONFIG_MIN_MS, CONFIG_MAX_MS, &config_ms);
	flows->config_ms = (uint32_t)config_ms;
	if (settings->role == PL_ROLE_AGENT) {
		pl_reader_addr(problems, table, "backend", PL_KEY_REQUIRED,
			       &flows->backend);
		pl_reader_addr(problems, table, "outbound", PL_KEY_REQUIRED,
			       &flows->outbound);
		pl_reader_addr(problems, table, "reports", PL_KEY_REQUIRED,
			       &flows->reports);
		pl_reader_name(problems, table, "service", PL_KEY_REQUIRED,
			       flows->service);
		pl_reader_real(problems, table, "report_ms", PL_KEY_OPTIONAL,
			       REPORT_MIN_MS, REPORT_MAX_MS, &report_ms);
		flows->report_ms = (uint32_t)report_ms;
		pl_reader_flag(problems, table, "backend_listens",
			       &flows->backend_listens);
	}
	pl_reader_unknown(problems, table);
}

/* Reads the section of the role; reports a section of the other role. */
static void read_role_(pl_problems_t *problems, pl_toml_t *root,
		       pl_settings_t *settings)
{
	bool is_entry = settings->role == PL_ROLE_ENTRY;
	pl_toml_t *entry =
		pl_reader_get(problems, root, "entry", PL_TOML_TABLE,
			      is_entry ? PL_KEY_REQUIRED : PL_KEY_OPTIONAL);
	pl_toml_t *agent = pl_reader_get(problems, root, "agent", PL_TOML_TABLE,
					 PL_KEY_OPTIONAL);
	const pl_toml_t *other = is_entry ? agent : entry;

	if (other)
		pl_problems_add(problems, other->line, other->path,
				"has no effect in the role \"%s\"",
				pl_role_names[settings->role]);
	if (is_entry && entry)
		read_entry_(problems, entry, &settings->entry);
	if (!is_entry && agent)
		read_agent_(problems, agent, &settings->agent);
}

pl_result_t pl_settings_parse(const char *text, size_t len,
			      pl_settings_t **settings, pl_problems_t *problems)
{
	pl_toml_t *root = pl_toml_parse(text, len, problems);
	pl_settings_t *parsed;

	*settings = NULL;
	if (!root)
		return PL_ERR_CONFIG;
	parsed = g_new0(pl_settings_t, 1);
	set_defaults_(parsed);
	read_common_(problems, root, parsed);
	read_platform_(problems, root, &parsed->platform);
	if (parsed->traffic == PL_TRAFFIC_FLOWS)
		read_flows_(problems, root, parsed);
	else
		read_role_(problems, root, parsed);
	pl_reader_unknown(problems, root);
	pl_toml_delete(root);
	if (pl_problems_count(problems) > 0) {
		pl_settings_free(parsed);
		return PL_ERR_CONFIG;
	}
	*settings = parsed;
	return PL_OK;
}

pl_result_t pl_settings_load(const char *path, pl_settings_t **settings,
			     pl_problems_t *problems)
{
	GError *error = NULL;
	pl_result_t result;
	char *text = NULL;
	gsize len = 0;

	*settings = NULL;
	if (!g_file_get_contents(path, &text, &len, &error)) {
		pl_problems_add(problems, 0, "", "%s", error->message);
		g_error_free(error);
		return PL_ERR_CONFIG;
	}
	result = pl_settings_parse(text, len, settings, problems);
	if (result == PL_OK)
		(*settings)->path = g_strdup(path);
	g_free(text);
	return result;
}

void pl_settings_free(pl_settings_t *settings)
{
	if (!settings)
		return;
	if (settings->secret)
		explicit_bzero(settings->secret, strlen(settings->secret));
	g_free(settings->path);
	g_free(settings->secret);
	g_free(settings->seeds.at);
	g_free(settings->platform.url);
	g_free(settings->entry.listen.at);
	g_free(settings);
}

static void print_string_(GString *out, const char *key, const char *text)
{
	char *escaped = g_strescape(text, NULL);

	g_string_append_printf(out, "%s = \"%s\"\n", key, escaped);
	g_free(escaped);
}

static void print_addr_(GString *out, const char *key, const pl_addr_t *addr)
{
	char text[PL_ADDR_TEXT_MAX];

	print_string_(out, key, pl_addr_format(addr, text));
}

static void print_addr_list_(GString *out, const char *key,
			     const pl_addr_list_t *list)
{
	char text[PL_ADDR_TEXT_MAX];

	g_string_append_printf(out, "%s = [", key);
	for (size_t i = 0; i < list->count; i++)
		g_string_append_printf(out, "%s\"%s\"", i ? ", " : "",
				       pl_addr_format(&list->at[i], text));
	g_string_append(out, "]\n");
}

static void print_flows_(GString *out, const pl_settings_t *settings)
{
	const pl_settings_flows_t *flows = &settings->flows;

	g_string_append(out, "\n[flows]\n");
	print_addr_(out, "listen", &flows->listen);
	print_addr_(out, "ready", &flows->ready);
	g_string_append_printf(out, "link_mbps = %g\n", flows->link_mbps);
	g_string_append_printf(out, "config_ms = %u\n", flows->config_ms);
	g_string_append_printf(out, "flow_max_s = %g\n", flows->flow_max_s);
	if (settings->role != PL_ROLE_AGENT)
		return;
	print_addr_(out, "backend", &flows->backend);
	print_addr_(out, "outbound", &flows->outbound);
	print_addr_(out, "reports", &flows->reports);
	print_string_(out, "service", flows->service);
	g_string_append_printf(out, "report_ms = %u\n", flows->report_ms);
	g_string_append_printf(out, "backend_listens = %s\n",
			       flows->backend_listens ? "true" : "false");
}

char *pl_settings_print(const pl_settings_t *settings)
{
	GString *out = g_string_new("");

	print_string_(out, "role", pl_role_names[settings->role]);
	print_string_(out, "traffic", pl_traffic_names[settings->traffic]);
	print_string_(out, "name", settings->name);
	print_string_(out, "environment", settings->environment);
	print_string_(out, "datacentre", settings->datacentre);
	print_addr_(out, "inner", &settings->inner);
	g_string_append(out, "# secret is set and not printed\n");
	print_addr_(out, "admin", &settings->admin);
	print_addr_list_(out, "seeds", &settings->seeds);
	g_string_append_printf(out, "seed_port = %u\n", settings->seed_port);
	g_string_append_printf(out, "traffic_threads = %u\n",
			       settings->traffic_threads);
	print_string_(out, "log", pl_log_format_names[settings->log]);
	g_string_append_printf(out, "allow_faults = %s\n",
			       settings->allow_faults ? "true" : "false");
	g_string_append_printf(out, "stop_timeout_ms = %u\n",
			       settings->stop_timeout_ms);
	g_string_append(out, "\n[platform]\n");
	print_string_(out, "url", settings->platform.url);
	g_string_append_printf(out, "timeout_ms = %u\n",
			       settings->platform.timeout_ms);
	if (settings->traffic == PL_TRAFFIC_FLOWS) {
		print_flows_(out, settings);
	} else if (settings->role == PL_ROLE_ENTRY) {
		g_string_append(out, "\n[entry]\n");
		print_addr_list_(out, "listen", &settings->entry.listen);
		if (settings->entry.has_fabric)
			print_addr_(out, "fabric", &settings->entry.fabric);
	} else {
		g_string_append(out, "\n[agent]\n");
		print_addr_(out, "backend_listen",
			    &settings->agent.backend_listen);
		g_string_append_printf(out, "memory_max_mb = %u\n",
				       settings->agent.memory_max_mb);
	}
	return g_string_free(out, FALSE);
}
