/**
 * @file
 * Admin port: requests of operators and of the metrics collector.
 */
#include "private/admin.h"
#include "private/http.h"
#include "private/node_burn.h"

#include <pimentolift/fault.h>
#include <microhttpd.h>
#include <string.h>

#define CUT_MEMBERS_MAX 1024
#define BITS_PER_BYTE 8

struct pl_admin {
	pl_node_t *node;
	pl_http_t *http;
	pl_node_burn_t *burn;
};

static pl_http_response_t json_response_(struct json_object *object)
{
	pl_http_response_t response = { MHD_HTTP_OK, pl_http_json, NULL };

	response.body = g_strdup(json_object_to_json_string_ext(
		object, JSON_C_TO_STRING_PRETTY));
	json_object_put(object);
	return response;
}

static pl_http_response_t error_response_(unsigned int status, const char *text)
{
	struct json_object *object = json_object_new_object();
	pl_http_response_t response;

	json_object_object_add(object, "error", json_object_new_string(text));
	response = json_response_(object);
	response.status = status;
	return response;
}

static pl_http_response_t result_response_(const char *text)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "result", json_object_new_string(text));
	return json_response_(object);
}

static pl_http_response_t get_status_(pl_admin_t *admin,
				      const pl_http_request_t *unused)
{
	return json_response_(pl_admin_status(admin->node));
}

static pl_http_response_t get_endpoints_(pl_admin_t *admin,
					 const pl_http_request_t *unused)
{
	return json_response_(pl_admin_endpoints(admin->node));
}

static pl_http_response_t get_burn_(pl_admin_t *admin,
				    const pl_http_request_t *unused)
{
	return json_response_(pl_node_burn_report(admin->burn));
}

static pl_http_response_t get_metrics_(pl_admin_t *admin,
				       const pl_http_request_t *unused)
{
	GString *text = pl_admin_metrics(admin->node);

	return (pl_http_response_t){ MHD_HTTP_OK, pl_http_text,
				     g_string_free(text, FALSE) };
}

static bool parse_ipv4_(const char *text, uint32_t *ip, uint16_t *port)
{
	pl_addr_t addr;

	if (pl_addr_parse(text, &addr, NULL) != PL_OK ||
	    addr.family != PL_ADDR_IPV4 || addr.port == 0)
		return false;
	*ip = 0;
	for (size_t i = 0; i < sizeof(*ip); i++)
		*ip = *ip << BITS_PER_BYTE | addr.ip[i];
	*port = addr.port;
	return true;
}

/* Explains where a flow would go now. */
static pl_http_response_t explain_flow_(pl_admin_t *admin, const char *from,
					const char *to)
{
	pl_flow_explanation_t explanation;
	pl_flow_key_t key = { 0 };

	if (!parse_ipv4_(from, &key.caller_ip, &key.caller_port) ||
	    !parse_ipv4_(to, &key.service_ip, &key.service_port))
		return error_response_(MHD_HTTP_BAD_REQUEST,
				       "from and to have to be IPv4 addresses "
				       "with a port from 1 to 65535");
	switch (pl_node_explain(admin->node, &key, &explanation)) {
	case PL_OK:
		break;
	case PL_ERR_TIMEOUT:
		return error_response_(MHD_HTTP_GATEWAY_TIMEOUT,
				       "the traffic thread is busy; try again");
	default:
		return error_response_(MHD_HTTP_CONFLICT,
				       "this daemon is no entry of flows; ask "
				       "an entry");
	}
	if (explanation.revision != 0 && explanation.service_count == 0)
		return error_response_(MHD_HTTP_NOT_FOUND,
				       "no route has this address; its packets "
				       "are reset (no-service)");
	return json_response_(
		pl_admin_explain_flow(admin->node, &key, &explanation));
}

static pl_http_response_t get_explain_(pl_admin_t *admin,
				       const pl_http_request_t *request)
{
	const char *service = pl_http_query_argument(request, "service");
	const char *caller = pl_http_query_argument(request, "caller");
	const char *from = pl_http_query_argument(request, "from");
	const char *to = pl_http_query_argument(request, "to");
	struct json_object *object = NULL;

	if (from && to)
		return explain_flow_(admin, from, to);
	if (service && caller)
		object = pl_admin_explain(admin->node, service, caller);
	if (!object)
		return error_response_(MHD_HTTP_BAD_REQUEST,
				       "needs service=NAME and caller=IP:PORT, "
				       "and a service that is in force");
	return json_response_(object);
}

static pl_http_response_t post_drain_(pl_admin_t *admin,
				      const pl_http_request_t *unused)
{
	pl_node_drain(admin->node);
	return result_response_("draining");
}

/* Cuts the links to the members in "cut", a comma-separated list of IPv4
 * addresses with ports; an empty list restores all links. */
static pl_http_response_t post_fault_(pl_admin_t *admin,
				      const pl_http_request_t *request)
{
	const char *cut = pl_http_query_argument(request, "cut");
	pl_member_id_t members[CUT_MEMBERS_MAX];
	size_t count = 0;
	char **texts;

	if (!pl_node_settings(admin->node)->allow_faults)
		return error_response_(MHD_HTTP_FORBIDDEN,
				       "the settings have no allow_faults");
	texts = g_strsplit(cut ? cut : "", ",", CUT_MEMBERS_MAX);
	for (char **text = texts; *text; text++) {
		pl_addr_t addr;

		if (pl_addr_parse(*text, &addr, NULL) == PL_OK &&
		    addr.family == PL_ADDR_IPV4)
			members[count++] = pl_member_id_from_addr(&addr);
	}
	g_strfreev(texts);
	pl_fault_cut(members, count);
	return result_response_(count > 0 ? "cut" : "whole");
}

typedef struct {
	const char *method;
	const char *path;
	pl_http_response_t (*handle)(pl_admin_t *admin,
				     const pl_http_request_t *request);
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

static pl_http_response_t handle_request_(void *ctx,
					  const pl_http_request_t *request)
{
	const char *path = pl_http_path(request);
	bool known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes_); i++) {
		if (strcmp(routes_[i].path, path) != 0)
			continue;
		known = true;
		if (strcmp(routes_[i].method, pl_http_method(request)) == 0)
			return routes_[i].handle(ctx, request);
	}
	return known ? error_response_(MHD_HTTP_METHOD_NOT_ALLOWED,
				       "this path takes another method") :
		       error_response_(MHD_HTTP_NOT_FOUND, "no such path");
}

pl_admin_t *pl_admin_new(pl_node_t *node, pl_addr_t *listen, pl_error_t *err)
{
	pl_admin_t *admin = g_new0(pl_admin_t, 1);

	admin->node = node;
	admin->http = pl_http_new(pl_node_loop(node), listen, handle_request_,
				  admin, err);
	if (!admin->http) {
		g_free(admin);
		return NULL;
	}
	admin->burn = pl_node_burn_new(node);
	return admin;
}

void pl_admin_delete(pl_admin_t *admin)
{
	if (!admin)
		return;
	pl_node_burn_delete(admin->burn);
	pl_http_delete(admin->http);
	g_free(admin);
}
