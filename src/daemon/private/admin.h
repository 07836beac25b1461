/**
 * @file
 * HTTP port for operators and metrics, served by the control thread.
 *
 * GET /status, /endpoints, /burn (JSON), /metrics (Prometheus text),
 * /explain?service=NAME&caller=IP:PORT and, at an entry of flows,
 * /explain?from=IP:PORT&to=IP:PORT (JSON); POST /drain;
 * POST /fault?cut=IP:PORT,... if the settings allow fault injection.
 */
#ifndef PIMENTOLIFT_DAEMON_ADMIN_H
#define PIMENTOLIFT_DAEMON_ADMIN_H

#include "private/node.h"

typedef struct pl_admin pl_admin_t;

/** Listens on @p listen; a port of 0 is replaced by the bound port. */
pl_admin_t *pl_admin_new(pl_node_t *node, pl_addr_t *listen, pl_error_t *err);
void pl_admin_delete(pl_admin_t *admin);

/** Adds the role's statistics to @p status; see @ref pl_role_ops_t. */
void pl_node_role_status(pl_node_t *node, struct json_object *status);

/** Builds the JSON object of the /status response. */
struct json_object *pl_admin_status(pl_node_t *node);

/** Builds the JSON array of the /endpoints response. */
struct json_object *pl_admin_endpoints(pl_node_t *node);

/** Builds the JSON object of the /explain response; NULL if @p service is
 * unknown or @p caller cannot be parsed. */
struct json_object *pl_admin_explain(pl_node_t *node, const char *service,
				     const char *caller);

/** Builds the JSON object that explains where the flow @p key would go now. */
struct json_object *
pl_admin_explain_flow(pl_node_t *node, const pl_flow_key_t *key,
		      const pl_flow_explanation_t *explanation);

/** All counters and histograms in the Prometheus text format. */
GString *pl_admin_metrics(pl_node_t *node);

#endif
