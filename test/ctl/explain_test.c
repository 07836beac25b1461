/**
 * @file
 * Tests of pimentoctl explain for flows against an HTTP server that returns a
 * fixed response.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <pimentolift/result.h>
#include <stdbool.h>
#include <string.h>
#include <sys/wait.h>

typedef struct {
	unsigned int status;
	const char *body;
} response_t;

static enum MHD_Result on_request_(void *ctx, struct MHD_Connection *connection,
				   const char *url, const char *method,
				   const char *version, const char *upload,
				   size_t *upload_len, void **state)
{
	const response_t *fixed = ctx;
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(fixed->body), (void *)fixed->body,
		MHD_RESPMEM_PERSISTENT);
	const char *from = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "from");
	bool expected = strcmp(url, "/explain") == 0 &&
			g_strcmp0(from, "192.0.2.7:4000") == 0;
	enum MHD_Result result = MHD_queue_response(
		connection,
		expected ? fixed->status : MHD_HTTP_INTERNAL_SERVER_ERROR,
		response);

	(void)method;
	(void)version;
	(void)upload;
	(void)upload_len;
	(void)state;
	MHD_destroy_response(response);
	return result;
}

/* Runs pimentoctl explain; returns its exit status. */
static int explain_(const response_t *response, char **out, char **error)
{
	const struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	struct MHD_Daemon *http = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_request_,
		(void *)response, MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_END);
	char *admin;
	int status = 0;

	assert_non_null(http);
	admin = g_strdup_printf(
		"--admin=127.0.0.1:%u",
		MHD_get_daemon_info(http, MHD_DAEMON_INFO_BIND_PORT)->port);
	{
		char *argv[] = { PIMENTOCTL,
				 "explain",
				 admin,
				 "--from=192.0.2.7:4000",
				 "--to=198.51.100.1:8443",
				 NULL };

		assert_true(g_spawn_sync(NULL, argv, NULL, 0, NULL, NULL, out,
					 error, &status, NULL));
	}
	MHD_stop_daemon(http);
	g_free(admin);
	assert_true(WIFEXITED(status));
	return WEXITSTATUS(status);
}

/* Each failure of the daemon has its exit code, and its text is printed. */
static void failures_have_their_exit_codes(void **state)
{
	static const struct {
		response_t response;
		int code;
	} cases[] = {
		{ { 400, "{\"error\":\"wrong port\"}" }, PL_ERR_USAGE },
		{ { 404, "{\"error\":\"no route\"}" }, PL_ERR_NOT_FOUND },
		{ { 409, "{\"error\":\"no entry\"}" }, PL_ERR_STATE },
		{ { 504, "{\"error\":\"busy thread\"}" }, PL_ERR_TIMEOUT },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strndup(cases[i].response.body + 10, 8);
		char *out = NULL;
		char *error = NULL;

		assert_int_equal(explain_(&cases[i].response, &out, &error),
				 cases[i].code);
		assert_non_null(strstr(error, text));
		assert_string_equal(out, "");
		g_free(out);
		g_free(error);
		g_free(text);
	}
}

/* A flow whose owner is known: the owner, how it is known, and who refused. */
static void known_flows_are_printed(void **state)
{
	static const response_t response = {
		200,
		"{\"flow\":\"192.0.2.7:4000>198.51.100.1:8443\",\"revision\":7,"
		"\"evacuated\":[],\"services\":[],\"candidates\":[],"
		"\"known\":{\"owner\":\"agent-1\",\"by\":\"its claim\","
		"\"owner_dead\":false,\"offers\":[{\"agent\":\"agent-2\","
		"\"refused\":true}],\"looked_up\":true,\"queried\":5,"
		"\"unanswered\":2,\"presumed\":null},"
		"\"step\":\"owner\",\"reason\":\"none\",\"target\":\"agent-1\"}"
	};
	static const char *const lines[] = {
		"flow 192.0.2.7:4000>198.51.100.1:8443, revision 7\n",
		"owner agent-1, known by: its claim; dead: false\n",
		"offered to agent-2, refused: true\n",
		"lookup of the owner: 5 agents asked, 2 have not answered",
		"owner: agent-1 (none)\n",
	};
	char *out = NULL;
	char *error = NULL;

	(void)state;
	assert_int_equal(explain_(&response, &out, &error), PL_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		assert_non_null(strstr(out, lines[i]));
	g_free(out);
	g_free(error);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(failures_have_their_exit_codes),
		cmocka_unit_test(known_flows_are_printed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
