/**
 * @file
 * End-to-end tests of the configuration: pimentoctl, the stand-in store, and
 * running daemons.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <json-c/json.h>
#include <pimentolift/config_sync.h>
#include <pimentolift/result.h>
#include <signal.h>
#include <stdio.h>
#include <store.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define DOCUMENT EXAMPLES "/document-hydrantis.toml"
#define OTHER_DOCUMENT EXAMPLES "/document-mesure-juste.toml"
#define DAEMONS 4
#define WAIT_MAX_US (30 * G_USEC_PER_SEC)
#define WAIT_STEP_US 1000

typedef struct {
	GPid pid;
	FILE *out;
	char *settings;
	char inner[64];
	char admin[64];
} daemon_t;

typedef struct {
	pl_store_t *store;
	char *directory;
	char *url;
	daemon_t daemons[DAEMONS];
	size_t count;
} fixture_t;

static int set_up_(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->store = pl_store_new(0);
	assert_non_null(f->store);
	f->url =
		g_strdup_printf("http://127.0.0.1:%u", pl_store_port(f->store));
	f->directory = g_dir_make_tmp("pimentoctl-XXXXXX", NULL);
	*state = f;
	return 0;
}

static void await_exit_(daemon_t *daemon)
{
	waitpid(daemon->pid, NULL, 0);
	fclose(daemon->out);
	g_unlink(daemon->settings);
	g_free(daemon->settings);
	memset(daemon, 0, sizeof(*daemon));
}

static int tear_down_(void **state)
{
	fixture_t *f = *state;

	for (size_t i = 0; i < f->count; i++)
		kill(f->daemons[i].pid, SIGTERM);
	for (size_t i = 0; i < f->count; i++)
		await_exit_(&f->daemons[i]);
	pl_store_delete(f->store);
	g_rmdir(f->directory);
	g_free(f->directory);
	g_free(f->url);
	g_free(f);
	return 0;
}

/* Starts a daemon with the settings @p text and waits until it is ready; frees
 * @p text. */
static daemon_t *start_daemon_(fixture_t *f, char *text)
{
	daemon_t *daemon = &f->daemons[f->count];
	char *argv[] = { PIMENTOLIFTD, "--config", NULL, NULL };
	char line[256] = "";
	int fd = -1;

	daemon->settings =
		g_strdup_printf("%s/%zu.toml", f->directory, f->count);
	argv[2] = daemon->settings;
	assert_true(g_file_set_contents(daemon->settings, text, -1, NULL));
	g_free(text);
	assert_true(g_spawn_async_with_pipes(
		NULL, argv, NULL,
		G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDERR_TO_DEV_NULL, NULL,
		NULL, &daemon->pid, NULL, &fd, NULL, NULL));
	daemon->out = fdopen(fd, "r");
	f->count++;
	assert_non_null(fgets(line, sizeof(line), daemon->out));
	assert_int_equal(sscanf(line, "ready inner=%63s admin=%63s",
				daemon->inner, daemon->admin),
			 2);
	return daemon;
}

/*
 * Starts an entry and waits until it is ready. Its seed is the first daemon if
 * @p seeded; otherwise it can discover others only through the platform.
 */
static daemon_t *start_entry_(fixture_t *f, bool seeded)
{
	return start_daemon_(
		f, g_strdup_printf(
			   "role = \"entry\"\nname = \"entry-%zu\"\n"
			   "environment = \"trial\"\ndatacentre = \"gent\"\n"
			   "secret = \"0123456789abcdef\"\nseeds = [%s%s%s]\n"
			   "stop_timeout_ms = 1000\n"
			   "[platform]\nurl = \"%s\"\ntimeout_ms = 500\n"
			   "[entry]\nlisten = [\"127.0.0.1:0\"]\n",
			   f->count, seeded ? "\"" : "",
			   seeded ? f->daemons[0].inner : "",
			   seeded ? "\"" : "", f->url));
}

/* Starts a daemon of flows; @p more are further settings of the role. */
static daemon_t *start_flow_daemon_(fixture_t *f, const char *role,
				    const char *more)
{
	return start_daemon_(
		f,
		g_strdup_printf("role = \"%s\"\ntraffic = \"flows\"\n"
				"name = \"%s-%zu\"\nenvironment = \"trial\"\n"
				"datacentre = \"gent\"\n"
				"secret = \"0123456789abcdef\"\n"
				"stop_timeout_ms = 1000\n"
				"[platform]\nurl = \"%s\"\ntimeout_ms = 500\n"
				"[flows]\nlisten = \"127.0.0.1:0\"\n"
				"ready = \"127.0.0.1:0\"\n%s",
				role, role, f->count, f->url, more));
}

/* Runs pimentoctl; @p out is its standard output, freed with g_free(). */
static int run_ctl_(char **out, ...)
{
	GPtrArray *argv = g_ptr_array_new();
	va_list args;
	char *arg;
	int status = 0;

	g_ptr_array_add(argv, PIMENTOCTL);
	va_start(args, out);
	while ((arg = va_arg(args, char *)))
		g_ptr_array_add(argv, arg);
	va_end(args);
	g_ptr_array_add(argv, NULL);
	assert_true(g_spawn_sync(NULL, (char **)argv->pdata, NULL, 0, NULL,
				 NULL, out, NULL, &status, NULL));
	g_ptr_array_free(argv, TRUE);
	assert_true(WIFEXITED(status));
	return WEXITSTATUS(status);
}

static int apply_document_(fixture_t *f, char *file)
{
	char *out = NULL;
	int code = run_ctl_(&out, "apply", "-p", f->url, "-e", "trial", file,
			    NULL);

	g_free(out);
	return code;
}

static int64_t get_revision_(const daemon_t *daemon)
{
	struct json_object *rows;
	struct json_object *revision = NULL;
	char *out = NULL;
	int64_t number = -1;

	assert_int_equal(
		run_ctl_(&out, "status", "--json", "-a", daemon->admin, NULL),
		PL_OK);
	rows = json_tokener_parse(out);
	assert_int_equal(json_object_array_length(rows), 1);
	if (json_object_object_get_ex(json_object_array_get_idx(rows, 0),
				      "revision", &revision))
		number = json_object_get_int64(revision);
	json_object_put(rows);
	g_free(out);
	return number;
}

/* Waits until every daemon reports @p revision. */
static void await_revision_(const fixture_t *f, int64_t revision)
{
	gint64 deadline = g_get_monotonic_time() + WAIT_MAX_US;
	size_t at = 0;

	while (at < f->count && g_get_monotonic_time() < deadline) {
		if (get_revision_(&f->daemons[at]) == revision)
			at++;
	}
	assert_int_equal(at, f->count);
}

/* Waits until @p count daemons watch the platform. There may be another one for
 * a moment: daemons learn of a new one at different times. */
static void await_watches_(const fixture_t *f, uint64_t count)
{
	gint64 deadline = g_get_monotonic_time() + WAIT_MAX_US;
	pl_store_stats_t stats;

	do {
		g_usleep(WAIT_STEP_US);
		pl_store_stats(f->store, &stats);
	} while (stats.watches_waiting != count &&
		 g_get_monotonic_time() < deadline);
	assert_int_equal(stats.watches_waiting, count);
}

static void change_reaches_running_and_new_daemons(void **state)
{
	fixture_t *f = *state;
	char *out = NULL;

	assert_int_equal(apply_document_(f, DOCUMENT), PL_OK);
	for (int i = 0; i < DAEMONS - 1; i++)
		start_entry_(f, i > 0);
	await_revision_(f, 1);
	assert_int_equal(apply_document_(f, OTHER_DOCUMENT), PL_OK);
	await_revision_(f, 2);
	/* a new daemon gets the document from its peers; the platform is down */
	pl_store_command(f->store, "down");
	start_entry_(f, true);
	await_revision_(f, 2);
	pl_store_command(f->store, "up");
	assert_int_equal(apply_document_(f, DOCUMENT), PL_OK);
	await_revision_(f, 3);
	await_watches_(f, PL_CONFIG_WATCHERS);

	assert_int_equal(run_ctl_(&out, "explain", "-a", f->daemons[0].admin,
				  "--service=permit-desk",
				  "--caller=192.0.2.7:4000", NULL),
			 PL_OK);
	assert_non_null(strstr(out, "service permit-desk, caller 192.0.2.7"));
	g_free(out);
	assert_int_equal(run_ctl_(&out, "explain", "-a", f->daemons[0].admin,
				  "--service=none", "--caller=192.0.2.7:4000",
				  NULL),
			 PL_ERR_USAGE);
	g_free(out);
	/* it serves datagrams, not flows */
	assert_int_equal(run_ctl_(&out, "explain", "-a", f->daemons[0].admin,
				  "--from=192.0.2.7:4000",
				  "--to=192.0.2.10:5683", NULL),
			 PL_ERR_STATE);
	g_free(out);
	assert_int_equal(
		run_ctl_(&out, "endpoints", "-a", f->daemons[1].admin, NULL),
		PL_OK);
	assert_non_null(strstr(out, "SERVICE"));
	g_free(out);
	assert_int_equal(run_ctl_(&out, "metrics", "-a", f->daemons[1].admin,
				  "platform_calls", NULL),
			 PL_OK);
	assert_non_null(strstr(out, "pimentolift_platform_calls_total "));
	g_free(out);
	assert_int_equal(
		run_ctl_(&out, "drain", "-a", f->daemons[1].admin, NULL),
		PL_OK);
	g_free(out);
	assert_int_equal(
		run_ctl_(&out, "status", "-a", f->daemons[1].admin, "-j", NULL),
		PL_OK);
	assert_non_null(strstr(out, "\"draining\":true"));
	g_free(out);
}

/* Only an entry of flows explains where a flow would go; an agent refers to it. */
static void entries_of_flows_explain(void **state)
{
	fixture_t *f = *state;
	const daemon_t *agent = start_flow_daemon_(
		f, "agent",
		"backend = \"127.0.0.1:9\"\noutbound = \"127.0.0.1:0\"\n"
		"reports = \"127.0.0.1:0\"\nservice = \"desk\"\n");
	const daemon_t *entry = start_flow_daemon_(f, "entry", "");
	char *out = NULL;

	assert_int_equal(run_ctl_(&out, "explain", "-a", agent->admin,
				  "--from=192.0.2.7:4000",
				  "--to=192.0.2.10:5683", NULL),
			 PL_ERR_STATE);
	assert_string_equal(out, "");
	g_free(out);
	/* it holds new flows until a configuration is in force */
	assert_int_equal(run_ctl_(&out, "explain", "-a", entry->admin,
				  "--from=192.0.2.7:4000",
				  "--to=192.0.2.10:5683", NULL),
			 PL_OK);
	assert_non_null(strstr(out, "192.0.2.10:5683, revision 0\n"));
	assert_non_null(strstr(out, "hold: - (none)\n"));
	g_free(out);
}

/* Number of live members that the daemon knows, including itself. */
static int64_t get_alive_members_(const daemon_t *daemon)
{
	struct json_object *rows;
	struct json_object *members = NULL;
	struct json_object *alive = NULL;
	char *out = NULL;
	int64_t number = 0;

	run_ctl_(&out, "status", "--json", "-a", daemon->admin, NULL);
	rows = json_tokener_parse(out);
	if (json_object_object_get_ex(json_object_array_get_idx(rows, 0),
				      "members", &members) &&
	    json_object_object_get_ex(members, "alive", &alive))
		number = json_object_get_int64(alive);
	json_object_put(rows);
	g_free(out);
	return number;
}

static void daemons_discover_each_other_through_platform(void **state)
{
	fixture_t *f = *state;
	gint64 deadline = g_get_monotonic_time() + WAIT_MAX_US;
	size_t at = 0;

	for (int i = 0; i < DAEMONS; i++)
		start_entry_(f, false);
	while (at < f->count && g_get_monotonic_time() < deadline) {
		if (get_alive_members_(&f->daemons[at]) == DAEMONS)
			at++;
	}
	assert_int_equal(at, DAEMONS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			change_reaches_running_and_new_daemons, set_up_,
			tear_down_),
		cmocka_unit_test_setup_teardown(
			daemons_discover_each_other_through_platform, set_up_,
			tear_down_),
		cmocka_unit_test_setup_teardown(entries_of_flows_explain,
						set_up_, tear_down_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
