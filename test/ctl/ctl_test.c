/**
 * @file
 * Tests of pimentoctl against the stand-in store: check, apply, promote, show,
 * diff, and the settings file.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <json-c/json.h>
#include <pimentolift/result.h>
#include <store.h>
#include <string.h>
#include <sys/wait.h>

#define DOCUMENT EXAMPLES "/document-hydrantis.toml"
#define OTHER_DOCUMENT EXAMPLES "/document-mesure-juste.toml"

typedef struct {
	pl_store_t *store;
	char platform[64];
	char *directory;
	char *out;
	char *err;
} fixture_t;

static int set_up_(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->store = pl_store_new(0);
	assert_non_null(f->store);
	g_snprintf(f->platform, sizeof(f->platform),
		   "--platform=http://127.0.0.1:%u", pl_store_port(f->store));
	f->directory = g_dir_make_tmp("pimentoctl-XXXXXX", NULL);
	assert_non_null(f->directory);
	*state = f;
	return 0;
}

static int tear_down_(void **state)
{
	fixture_t *f = *state;

	pl_store_delete(f->store);
	g_rmdir(f->directory);
	g_free(f->directory);
	g_free(f->out);
	g_free(f->err);
	g_free(f);
	return 0;
}

/*
 * Runs pimentoctl with the arguments up to NULL. Returns the exit status; the
 * output is in @p f.
 */
static int run_ctl_(fixture_t *f, ...)
{
	GPtrArray *argv = g_ptr_array_new();
	va_list args;
	char *arg;
	int status = 0;

	g_free(f->out);
	g_free(f->err);
	g_ptr_array_add(argv, PIMENTOCTL);
	va_start(args, f);
	while ((arg = va_arg(args, char *)))
		g_ptr_array_add(argv, arg);
	va_end(args);
	g_ptr_array_add(argv, NULL);
	assert_true(g_spawn_sync(NULL, (char **)argv->pdata, NULL, 0, NULL,
				 NULL, &f->out, &f->err, &status, NULL));
	g_ptr_array_free(argv, TRUE);
	assert_true(WIFEXITED(status));
	return WEXITSTATUS(status);
}

static char *write_file_(const fixture_t *f, const char *name, const char *text)
{
	char *path = g_build_filename(f->directory, name, NULL);

	assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static void remove_file_(char *path)
{
	g_unlink(path);
	g_free(path);
}

static void usage_errors_are_reported(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(run_ctl_(f, NULL), PL_ERR_USAGE);
	assert_int_equal(run_ctl_(f, "paint", NULL), PL_ERR_USAGE);
	assert_non_null(strstr(f->err, "no command \"paint\""));
	assert_int_equal(run_ctl_(f, "check", NULL), PL_ERR_USAGE);
	assert_int_equal(run_ctl_(f, "apply", DOCUMENT, NULL), PL_ERR_USAGE);
	assert_non_null(strstr(f->err, "--environment"));
	assert_int_equal(run_ctl_(f, "apply", "--colour", NULL), PL_ERR_USAGE);
	assert_int_equal(run_ctl_(f, "status", NULL), PL_ERR_USAGE);
	assert_int_equal(run_ctl_(f, "apply", "--help", NULL), PL_OK);
	assert_non_null(strstr(f->out, "--expect"));
	assert_int_equal(run_ctl_(f, "check", "/no/such/file", NULL),
			 PL_ERR_IO);
	assert_int_equal(run_ctl_(f, "status", "--admin=127.0.0.1:1", NULL),
			 PL_ERR_UNAVAILABLE);
}

static void explain_rejects_addresses(void **state)
{
	static const char *const wrong[] = { "10.0.0.1", "10.0.0.1:0",
					     "10.0.0.1:65536", "[::1]:80" };
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
		char *to = g_strdup_printf("--to=%s", wrong[i]);

		assert_int_equal(run_ctl_(f, "explain", "--admin=127.0.0.1:1",
					  "--from=10.0.0.1:9", to, NULL),
				 PL_ERR_USAGE);
		assert_non_null(strstr(f->err, wrong[i]));
		g_free(to);
	}
	assert_int_equal(run_ctl_(f, "explain", "--to=10.0.0.1:80", NULL),
			 PL_ERR_USAGE);
	assert_int_equal(run_ctl_(f, "explain", "--admin=127.0.0.1:1",
				  "--from=10.0.0.1:9", "--to=10.0.0.1:80",
				  NULL),
			 PL_ERR_UNAVAILABLE);
}

static void check_reports_every_problem(void **state)
{
	fixture_t *f = *state;
	char *path = write_file_(f, "bad.toml",
				 "format = 1\n[[service]]\nname = 7\n"
				 "addresses = [\"x\"]\n");
	struct json_object *root;
	struct json_object *problems;

	assert_int_equal(run_ctl_(f, "check", DOCUMENT, NULL), PL_OK);
	assert_non_null(strstr(f->out, "2 services, 3 addresses"));
	assert_int_equal(run_ctl_(f, "check", path, NULL), PL_ERR_CONFIG);
	assert_non_null(strstr(f->err, "bad.toml:3: service[0].name: "));
	assert_non_null(
		strstr(f->err, "bad.toml:4: service[0].addresses[0]: "));
	assert_int_equal(run_ctl_(f, "check", "--json", path, NULL),
			 PL_ERR_CONFIG);
	root = json_tokener_parse(f->out);
	assert_true(json_object_object_get_ex(root, "problems", &problems));
	assert_int_equal(json_object_array_length(problems), 2);
	json_object_put(root);
	remove_file_(path);
}

static void promote_copies_document_unchanged(void **state)
{
	fixture_t *f = *state;
	char *text = NULL;

	assert_true(g_file_get_contents(DOCUMENT, &text, NULL, NULL));
	assert_int_equal(run_ctl_(f, "apply", f->platform,
				  "--environment=trial", DOCUMENT, NULL),
			 PL_OK);
	assert_int_equal(run_ctl_(f, "promote", f->platform, "--from=trial",
				  "--to=production", "--revision=2", NULL),
			 PL_ERR_CONFLICT);
	assert_int_equal(run_ctl_(f, "show", f->platform,
				  "--environment=production", NULL),
			 PL_ERR_NOT_FOUND);
	assert_int_equal(run_ctl_(f, "promote", f->platform, "--from=trial",
				  "--to=production", "--revision=1",
				  "--expect=0", NULL),
			 PL_OK);
	assert_int_equal(run_ctl_(f, "show", f->platform,
				  "--environment=production", NULL),
			 PL_OK);
	assert_string_equal(f->out, text);
	assert_int_equal(run_ctl_(f, "diff", f->platform,
				  "--environment=production", OTHER_DOCUMENT,
				  NULL),
			 PL_OK);
	assert_non_null(strstr(f->out, "service recall added"));
	g_free(text);
}

static void conflicting_apply_prints_difference(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(run_ctl_(f, "apply", f->platform, "-e", "trial",
				  DOCUMENT, NULL),
			 PL_OK);
	assert_int_equal(run_ctl_(f, "apply", f->platform, "-e", "trial",
				  "--expect=1", "--author=awa", OTHER_DOCUMENT,
				  NULL),
			 PL_OK);
	assert_int_equal(run_ctl_(f, "apply", f->platform, "-e", "trial",
				  "--expect=1", DOCUMENT, NULL),
			 PL_ERR_CONFLICT);
	assert_non_null(strstr(f->err, "Revision 2 of trial is there now, by "
				       "awa"));
	assert_non_null(strstr(f->err, "service recall removed"));
	assert_non_null(strstr(f->err, "service permit-desk added"));
	assert_int_equal(
		run_ctl_(f, "show", f->platform, "-e", "trial", "--info", NULL),
		PL_OK);
	assert_non_null(strstr(f->out, "revision  2\n"));
}

static void invalid_document_is_not_written(void **state)
{
	fixture_t *f = *state;
	char *path = write_file_(f, "bad.toml", "format = 1\ncolour = 1\n");

	assert_int_equal(
		run_ctl_(f, "apply", f->platform, "-e", "trial", path, NULL),
		PL_ERR_CONFIG);
	assert_int_equal(run_ctl_(f, "show", f->platform, "-e", "trial", NULL),
			 PL_ERR_NOT_FOUND);
	remove_file_(path);
}

static void apply_reports_outcome_on_platform_faults(void **state)
{
	fixture_t *f = *state;

	pl_store_command(f->store, "lose-answers 1");
	assert_int_equal(run_ctl_(f, "apply", f->platform, "-e", "trial",
				  "--json", DOCUMENT, NULL),
			 PL_OK);
	assert_non_null(strstr(f->out, "\"revision\":1"));
	pl_store_command(f->store, "down");
	assert_int_equal(run_ctl_(f, "apply", f->platform, "-e", "trial",
				  OTHER_DOCUMENT, NULL),
			 PL_ERR_UNAVAILABLE);
	assert_string_equal(f->out, "");
	pl_store_command(f->store, "up");
	assert_int_equal(
		run_ctl_(f, "show", f->platform, "-e", "trial", "--info", NULL),
		PL_OK);
	assert_non_null(strstr(f->out, "revision  1\n"));
}

static void settings_file_supplies_missing_options(void **state)
{
	fixture_t *f = *state;
	char *text = g_strdup_printf("platform = \"%s\"\n"
				     "environment = \"trial\"\n",
				     f->platform + strlen("--platform="));
	char *path = write_file_(f, "ctl.toml", text);
	char *option = g_strdup_printf("--config=%s", path);

	assert_int_equal(run_ctl_(f, "apply", option, DOCUMENT, NULL), PL_OK);
	assert_int_equal(run_ctl_(f, "show", option, "-e", "other", NULL),
			 PL_ERR_NOT_FOUND);
	assert_true(g_file_set_contents(path, "colour = 1\n", -1, NULL));
	assert_int_equal(run_ctl_(f, "show", option, NULL), PL_ERR_CONFIG);
	assert_non_null(strstr(f->err, "ctl.toml:1: colour"));
	g_free(option);
	g_free(text);
	remove_file_(path);
}

int main(void)
{
#define TEST_(name) cmocka_unit_test_setup_teardown(name, set_up_, tear_down_)
	const struct CMUnitTest tests[] = {
		TEST_(usage_errors_are_reported),
		TEST_(explain_rejects_addresses),
		TEST_(check_reports_every_problem),
		TEST_(promote_copies_document_unchanged),
		TEST_(conflicting_apply_prints_difference),
		TEST_(invalid_document_is_not_written),
		TEST_(apply_reports_outcome_on_platform_faults),
		TEST_(settings_file_supplies_missing_options),
	};

	g_unsetenv("PIMENTOCTL_CONFIG");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
