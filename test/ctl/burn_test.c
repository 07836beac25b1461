/**
 * @file
 * Tests of pimentoctl burn against HTTP servers that return fixed burn reports.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <pimentolift/result.h>
#include <string.h>
#include <sys/wait.h>

/* Two agents of one service, of which the second has failures, and an entry. */
static const char *const burn_reports_[] = {
	"{\"instance\":\"desk-1\",\"datacentre\":\"gent\","
	"\"service\":\"desk\",\"objectives\":[{\"kind\":\"availability\","
	"\"target_ppm\":990000,\"threshold_ms\":0,\"window_days\":28,"
	"\"windows\":{\"5m\":{\"good\":100,\"total\":100},"
	"\"30m\":{\"good\":500,\"total\":500},"
	"\"1h\":{\"good\":1000,\"total\":1000},"
	"\"6h\":{\"good\":6000,\"total\":6000},"
	"\"3d\":{\"good\":70000,\"total\":70000}}}]}",
	"{\"instance\":\"desk-2\",\"datacentre\":\"brugge\","
	"\"service\":\"desk\",\"objectives\":[{\"kind\":\"availability\","
	"\"target_ppm\":990000,\"threshold_ms\":0,\"window_days\":28,"
	"\"windows\":{\"5m\":{\"good\":40,\"total\":100},"
	"\"30m\":{\"good\":300,\"total\":500},"
	"\"1h\":{\"good\":600,\"total\":1000},"
	"\"6h\":{\"good\":5600,\"total\":6000},"
	"\"3d\":{\"good\":69600,\"total\":70000}}}]}",
	"{\"instance\":\"entry-1\",\"datacentre\":\"gent\","
	"\"service\":null,\"objectives\":[]}",
};
#define DAEMONS (sizeof(burn_reports_) / sizeof(burn_reports_[0]))

typedef struct {
	struct MHD_Daemon *http[DAEMONS];
	char *options[DAEMONS];
} fixture_t;

static enum MHD_Result on_request_(void *ctx, struct MHD_Connection *connection,
				   const char *url, const char *method,
				   const char *version, const char *upload,
				   size_t *upload_len, void **state)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(ctx), ctx, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result result = MHD_queue_response(
		connection, strcmp(url, "/burn") == 0 ? MHD_HTTP_OK : 404,
		response);

	(void)method;
	(void)version;
	(void)upload;
	(void)upload_len;
	(void)state;
	MHD_destroy_response(response);
	return result;
}

static int set_up_(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	const struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	for (size_t i = 0; i < DAEMONS; i++) {
		f->http[i] = MHD_start_daemon(
			MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL,
			on_request_, (void *)burn_reports_[i],
			MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_END);
		assert_non_null(f->http[i]);
		f->options[i] = g_strdup_printf(
			"--admin=127.0.0.1:%u",
			MHD_get_daemon_info(f->http[i],
					    MHD_DAEMON_INFO_BIND_PORT)
				->port);
	}
	*state = f;
	return 0;
}

static int tear_down_(void **state)
{
	fixture_t *f = *state;

	for (size_t i = 0; i < DAEMONS; i++) {
		MHD_stop_daemon(f->http[i]);
		g_free(f->options[i]);
	}
	g_free(f);
	return 0;
}

static int run_burn_(const fixture_t *f, const char *option, char **out)
{
	const char *argv[] = { PIMENTOCTL,    "burn",	     f->options[0],
			       f->options[1], f->options[2], option,
			       NULL };
	int status = 0;

	assert_true(g_spawn_sync(NULL, (char **)argv, NULL, 0, NULL, NULL, out,
				 NULL, &status, NULL));
	assert_true(WIFEXITED(status));
	return WEXITSTATUS(status);
}

static double get_rate_(struct json_object *row, const char *window)
{
	struct json_object *rates = NULL;
	struct json_object *rate = NULL;

	assert_true(json_object_object_get_ex(row, "rates", &rates));
	assert_true(json_object_object_get_ex(rates, window, &rate));
	return json_object_get_double(rate);
}

static const char *get_text_(struct json_object *row, const char *key)
{
	struct json_object *value = NULL;

	assert_true(json_object_object_get_ex(row, key, &value));
	return json_object_get_string(value);
}

static void burn_rates_match_counts(void **state)
{
	struct json_object *rows;
	struct json_object *row;
	char *out = NULL;

	assert_int_equal(run_burn_(*state, "--json", &out), PL_OK);
	rows = json_tokener_parse(out);
	assert_int_equal(json_object_array_length(rows), 1);
	row = json_object_array_get_idx(rows, 0);
	/* 60 of 200 requests failed; the target allows 1 in 100 */
	assert_true(get_rate_(row, "5m") > 29.99 &&
		    get_rate_(row, "5m") < 30.01);
	assert_true(get_rate_(row, "1h") > 19.99 &&
		    get_rate_(row, "1h") < 20.01);
	assert_true(get_rate_(row, "6h") > 3.32 && get_rate_(row, "6h") < 3.34);
	assert_string_equal(get_text_(row, "alarm"), "fast");
	assert_string_equal(get_text_(row, "instances"), "2");
	assert_string_equal(get_text_(row, "worst"), "desk-2 (brugge)");
	/* a budget for 28 days, burnt at a rate of 20 */
	assert_string_equal(get_text_(row, "budget"), "1.4 days");
	json_object_put(rows);
	g_free(out);
}

static void table_and_gnuplot_show_same_rates(void **state)
{
	char *out = NULL;

	assert_int_equal(run_burn_(*state, NULL, &out), PL_OK);
	assert_non_null(strstr(out, "desk     availability  99%     30.00"));
	g_free(out);
	assert_int_equal(run_burn_(*state, "--gnuplot", &out), PL_OK);
	assert_non_null(strstr(out, "set terminal svg"));
	assert_non_null(strstr(
		out, "\"desk availability\" 30.00 20.00 20.00 3.33 0.29"));
	g_free(out);
}

static void unreachable_daemon_fails_command(void **state)
{
	char *out = NULL;

	assert_int_equal(run_burn_(*state, "--admin=127.0.0.1:1", &out),
			 PL_ERR_UNAVAILABLE);
	assert_non_null(strstr(out, "desk-2 (brugge)"));
	g_free(out);
}

int main(void)
{
#define TEST_(name) cmocka_unit_test_setup_teardown(name, set_up_, tear_down_)
	const struct CMUnitTest tests[] = {
		TEST_(burn_rates_match_counts),
		TEST_(table_and_gnuplot_show_same_rates),
		TEST_(unreachable_daemon_fails_command),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
