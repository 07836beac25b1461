/**
 * @file
 * Responses to the routers' readiness probes.
 */
#include "private/flow_ready.h"

#include <glib.h>
#include <microhttpd.h>
#include <platform/platform.h>

struct pl_flow_ready {
	pl_http_t *http;
	bool (*ready)(void *ctx);
	void *ctx;
};

static pl_http_response_t on_request_(void *ctx,
				      const pl_http_request_t *request)
{
	const pl_flow_ready_t *ready = ctx;
	pl_http_response_t response = { MHD_HTTP_NOT_FOUND, pl_http_json,
					NULL };
	pl_platform_request_t platform_request;

	pl_platform_request_parse(pl_http_method(request),
				  pl_http_path(request), "", 0,
				  &platform_request);
	if (platform_request.type == PL_PLATFORM_REQUEST_READY)
		response.status = ready->ready(ready->ctx) ?
					  MHD_HTTP_OK :
					  MHD_HTTP_SERVICE_UNAVAILABLE;
	return response;
}

pl_flow_ready_t *pl_flow_ready_new(pl_loop_t *loop, const pl_addr_t *listen,
				   bool (*ready)(void *ctx), void *ctx,
				   pl_error_t *err)
{
	pl_flow_ready_t *port = g_new0(pl_flow_ready_t, 1);
	pl_addr_t addr = *listen;

	port->ready = ready;
	port->ctx = ctx;
	port->http = pl_http_new(loop, &addr, on_request_, port, err);
	if (port->http)
		return port;
	g_free(port);
	return NULL;
}

void pl_flow_ready_delete(pl_flow_ready_t *ready)
{
	if (!ready)
		return;
	pl_http_delete(ready->http);
	g_free(ready);
}
