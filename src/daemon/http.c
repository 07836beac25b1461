/**
 * @file
 * HTTP server on a thread's loop.
 */
#include "private/http.h"

#include <glib.h>
#include <microhttpd.h>
#include <pimentolift/udp.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/** Interval at which libmicrohttpd's own timeouts are run. */
#define POLL_INTERVAL_MS 500
#define TIMEOUT_S 10
#define CONNECTIONS_MAX 64
/** Largest body of a request, in bytes. */
#define BODY_MAX 16384

const char pl_http_json[] = "application/json";
const char pl_http_text[] = "text/plain; version=0.0.4";

struct pl_http {
	pl_loop_t *loop;
	struct MHD_Daemon *daemon;
	pl_loop_watch_t *watch;
	pl_timer_t poll;
	pl_http_handler_t handler;
	void *ctx;
};

struct pl_http_request {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	GString *body;
};

const char *pl_http_method(const pl_http_request_t *request)
{
	return request->method;
}

const char *pl_http_path(const pl_http_request_t *request)
{
	return request->path;
}

const char *pl_http_body(const pl_http_request_t *request, size_t *len)
{
	*len = request->body->len;
	return request->body->str;
}

const char *pl_http_query_argument(const pl_http_request_t *request,
				   const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

static enum MHD_Result send_response_(pl_http_t *http,
				      const pl_http_request_t *request)
{
	pl_http_response_t response = http->handler(http->ctx, request);
	const char *body = response.body ? response.body : "";
	struct MHD_Response *mhd_response = MHD_create_response_from_buffer(
		strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONTENT_TYPE,
				response.content_type);
	result = MHD_queue_response(request->connection, response.status,
				    mhd_response);
	MHD_destroy_response(mhd_response);
	g_free(response.body);
	return result;
}

static enum MHD_Result on_request_(void *ctx, struct MHD_Connection *connection,
				   const char *path, const char *method,
				   const char *version, const char *upload,
				   size_t *upload_len, void **state)
{
	GString *body = *state;
	pl_http_request_t request = { connection, method, path, body };

	(void)version;
	/* libmicrohttpd calls first with the headers only, then for each part
	 * of the body, and last with no data left */
	if (!body) {
		*state = g_string_new(NULL);
		return MHD_YES;
	}
	if (*upload_len > 0) {
		if (body->len + *upload_len > BODY_MAX)
			return MHD_NO;
		g_string_append_len(body, upload, (gssize)*upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	return send_response_(ctx, &request);
}

static void on_completed_(void *ctx, struct MHD_Connection *connection,
			  void **state, enum MHD_RequestTerminationCode reason)
{
	(void)ctx;
	(void)connection;
	(void)reason;
	if (*state)
		g_string_free(*state, TRUE);
	*state = NULL;
}

static void on_socket_ready_(void *ctx, uint32_t events)
{
	pl_http_t *http = ctx;

	(void)events;
	MHD_run(http->daemon);
}

static void on_poll_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_http_t *http = ctx;

	MHD_run(http->daemon);
	pl_timer_arm(pl_loop_timers(http->loop), timer, now + POLL_INTERVAL_MS);
}

pl_http_t *pl_http_new(pl_loop_t *loop, pl_addr_t *listen,
		       pl_http_handler_t handler, void *ctx, pl_error_t *err)
{
	pl_timer_service_t *timers = pl_loop_timers(loop);
	pl_http_t *http = g_new0(pl_http_t, 1);
	const union MHD_DaemonInfo *info;
	int fd;

	http->loop = loop;
	http->handler = handler;
	http->ctx = ctx;
	if (pl_tcp_listen(listen, &fd, err) != PL_OK) {
		g_free(http);
		return NULL;
	}
	http->daemon = MHD_start_daemon(
		MHD_USE_EPOLL, 0, NULL, NULL, on_request_, http,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed_, NULL, MHD_OPTION_END);
	if (!http->daemon) {
		pl_error_set(err, PL_ERR_IO, "cannot start the HTTP server");
		close(fd);
		g_free(http);
		return NULL;
	}
	info = MHD_get_daemon_info(http->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	http->watch = pl_loop_watch(loop, info->epoll_fd, EPOLLIN,
				    on_socket_ready_, http);
	pl_timer_init(&http->poll, on_poll_, http);
	pl_timer_arm(timers, &http->poll,
		     pl_timer_service_now(timers) + POLL_INTERVAL_MS);
	return http;
}

void pl_http_delete(pl_http_t *http)
{
	if (!http)
		return;
	pl_timer_cancel(pl_loop_timers(http->loop), &http->poll);
	pl_loop_unwatch(http->loop, http->watch);
	MHD_stop_daemon(http->daemon);
	g_free(http);
}
