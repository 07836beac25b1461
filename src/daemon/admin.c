/**
 * @file
 * HTTP port of a process, by libmicrohttpd without threads of its own.
 */
#include "private/admin.h"
#include "private/node_burn.h"

#include <pimentolift/fault.h>
#include <pimentolift/udp.h>

#include <microhttpd.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/** libmicrohttpd's own time-outs are looked at this often. */
#define POLL_MS 100
#define TIMEOUT_S 10
#define CONNECTIONS_MAX 64
#define FAULTS_MAX 1024

struct pl_admin {
	pl_node_t *node;
	struct MHD_Daemon *daemon;
	pl_loop_watch_t *watch;
	pl_node_burn_t *burn;
	pl_timer_t poll;
};

/* An answer; the body is taken over. */
typedef struct {
	unsigned int status;
	const char *type;
	char *body;
} answer_t;

static const char json_type_[] = "application/json";
static const char text_type_[] = "text/plain; version=0.0.4";

static answer_t json_answer_(struct json_object *object)
{
	answer_t answer = { MHD_HTTP_OK, json_type_, NULL };

	answer.body = g_strdup(json_object_to_json_string_ext(
		object, JSON_C_TO_STRING_PRETTY));
	json_object_put(object);
	return answer;
}

static answer_t error_answer_(unsigned int status, const char *text)
{
	struct json_object *object = json_object_new_object();
	answer_t answer;

	json_object_object_add(object, "error", json_object_new_string(text));
	answer = json_answer_(object);
	answer.status = status;
	return answer;
}

static answer_t done_answer_(const char *text)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "result", json_object_new_string(text));
	return json_answer_(object);
}

static const char *argument_(struct MHD_Connection *connection,
			     const char *name)
{
	return MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
					   name);
}

static answer_t get_status_(pl_admin_t *admin, struct MHD_Connection *unused)
{
	return json_answer_(pl_admin_status(admin->node));
}

static answer_t get_endpoints_(pl_admin_t *admin, struct MHD_Connection *unused)
{
	return json_answer_(pl_admin_endpoints(admin->node));
}

static answer_t get_burn_(pl_admin_t *admin, struct MHD_Connection *unused)
{
	return json_answer_(pl_node_burn_report(admin->burn));
}

static answer_t get_metrics_(pl_admin_t *admin, struct MHD_Connection *unused)
{
	GString *text = pl_admin_metrics(admin->node);

	return (answer_t){ MHD_HTTP_OK, text_type_,
			   g_string_free(text, FALSE) };
}

static answer_t get_explain_(pl_admin_t *admin,
			     struct MHD_Connection *connection)
{
	const char *service = argument_(connection, "service");
	const char *caller = argument_(connection, "caller");
	struct json_object *object =
		service && caller ?
			pl_admin_explain(admin->node, service, caller) :
			NULL;

	if (!object)
		return error_answer_(MHD_HTTP_BAD_REQUEST,
				     "needs service=NAME and caller=IP:PORT, "
				     "and a service that is in force");
	return json_answer_(object);
}

static answer_t post_drain_(pl_admin_t *admin, struct MHD_Connection *unused)
{
	pl_node_drain(admin->node);
	return done_answer_("draining");
}

static answer_t post_fault_(pl_admin_t *admin,
			    struct MHD_Connection *connection)
{
	const char *cut = argument_(connection, "cut");
	pl_member_id_t members[FAULTS_MAX];
	size_t count = 0;
	char **texts;

	if (!pl_node_settings(admin->node)->allow_faults)
		return error_answer_(MHD_HTTP_FORBIDDEN,
				     "the settings have no allow_faults");
	texts = g_strsplit(cut ? cut : "", ",", FAULTS_MAX);
	for (char **text = texts; *text; text++) {
		pl_addr_t addr;

		if (pl_addr_parse(*text, &addr, NULL) == PL_OK &&
		    addr.family == PL_ADDR_IPV4)
			members[count++] = pl_member_id_from_addr(&addr);
	}
	g_strfreev(texts);
	pl_fault_cut(members, count);
	return done_answer_(count > 0 ? "cut" : "whole");
}

typedef struct {
	const char *method;
	const char *path;
	answer_t (*handle)(pl_admin_t *admin,
			   struct MHD_Connection *connection);
} route_t;

static const route_t routes_[] = {
	{ "GET", "/status", get_status_ },
	{ "GET", "/endpoints", get_endpoints_ },
	{ "GET", "/burn", get_burn_ },
	{ "GET", "/metrics", get_metrics_ },
	{ "GET", "/explain", get_explain_ },
	{ "POST", "/drain", post_drain_ },
	{ "POST", "/fault", post_fault_ },
};

static answer_t answer_(pl_admin_t *admin, struct MHD_Connection *connection,
			const char *url, const char *method)
{
	bool known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes_); i++) {
		if (strcmp(routes_[i].path, url) != 0)
			continue;
		known = true;
		if (strcmp(routes_[i].method, method) == 0)
			return routes_[i].handle(admin, connection);
	}
	return known ? error_answer_(MHD_HTTP_METHOD_NOT_ALLOWED,
				     "this path takes another method") :
		       error_answer_(MHD_HTTP_NOT_FOUND, "no such path");
}

static enum MHD_Result handle_(void *ctx, struct MHD_Connection *connection,
			       const char *url, const char *method,
			       const char *version, const char *upload,
			       size_t *upload_len, void **state)
{
	static int started;
	struct MHD_Response *response;
	enum MHD_Result result;
	answer_t answer;

	/* the first call announces the request, the last has all of it */
	if (!*state) {
		*state = &started;
		return MHD_YES;
	}
	if (*upload_len > 0) {
		*upload_len = 0;
		return MHD_YES;
	}
	answer = answer_(ctx, connection, url, method);
	response = MHD_create_response_from_buffer(
		strlen(answer.body), answer.body, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				answer.type);
	result = MHD_queue_response(connection, answer.status, response);
	MHD_destroy_response(response);
	g_free(answer.body);
	return result;
}

static void ready_(void *ctx, uint32_t events)
{
	pl_admin_t *admin = ctx;

	MHD_run(admin->daemon);
}

static void poll_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_admin_t *admin = ctx;

	MHD_run(admin->daemon);
	pl_timer_arm(pl_loop_timers(pl_node_loop(admin->node)), timer,
		     now + POLL_MS);
}

pl_admin_t *pl_admin_new(pl_node_t *node, pl_addr_t *listen, pl_error_t *err)
{
	pl_admin_t *admin = g_new0(pl_admin_t, 1);
	pl_loop_t *loop = pl_node_loop(node);
	const union MHD_DaemonInfo *info;
	int fd;

	admin->node = node;
	if (pl_tcp_listen(listen, &fd, err) != PL_OK) {
		g_free(admin);
		return NULL;
	}
	admin->daemon = MHD_start_daemon(
		MHD_USE_EPOLL, 0, NULL, NULL, handle_, admin,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)TIMEOUT_S, MHD_OPTION_END);
	if (!admin->daemon) {
		pl_error_set(err, PL_ERR_IO, "cannot start the admin port");
		close(fd);
		g_free(admin);
		return NULL;
	}
	info = MHD_get_daemon_info(admin->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	admin->watch =
		pl_loop_watch(loop, info->epoll_fd, EPOLLIN, ready_, admin);
	admin->burn = pl_node_burn_new(node);
	pl_timer_init(&admin->poll, poll_, admin);
	pl_timer_arm(pl_loop_timers(loop), &admin->poll,
		     pl_timer_service_now(pl_loop_timers(loop)) + POLL_MS);
	return admin;
}

void pl_admin_delete(pl_admin_t *admin)
{
	pl_loop_t *loop;

	if (!admin)
		return;
	loop = pl_node_loop(admin->node);
	pl_timer_cancel(pl_loop_timers(loop), &admin->poll);
	pl_loop_unwatch(loop, admin->watch);
	pl_node_burn_delete(admin->burn);
	MHD_stop_daemon(admin->daemon);
	g_free(admin);
}
