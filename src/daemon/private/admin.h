/**
 * @file
 * HTTP port for operators and for metrics, served by the control thread.
 *
 * GET /status, /endpoints, /burn (JSON), /metrics (Prometheus text),
 * /explain?service=NAME&caller=IP:PORT; POST /drain; POST /fault?cut=IP:PORT,...
 * when the settings allow faults.
 */
#ifndef PIMENTOLIFT_DAEMON_ADMIN_H
#define PIMENTOLIFT_DAEMON_ADMIN_H

#include "private/node.h"

typedef struct pl_admin pl_admin_t;

/** Serves @p listen; the port that was chosen is written back. */
pl_admin_t *pl_admin_new(pl_node_t *node, pl_addr_t *listen, pl_error_t *err);
void pl_admin_delete(pl_admin_t *admin);

/** Adds the role's figures to a status; see @ref pl_role_ops_t. */
void pl_node_role_status(pl_node_t *node, struct json_object *status);

/** Object of the /status answer. */
struct json_object *pl_admin_status(pl_node_t *node);

/** Array of the /endpoints answer. */
struct json_object *pl_admin_endpoints(pl_node_t *node);

/** Object of the /explain answer, or NULL when an argument is wrong. */
struct json_object *pl_admin_explain(pl_node_t *node, const char *service,
				     const char *caller);

/** Prometheus text of all counters and histograms. */
GString *pl_admin_metrics(const pl_node_t *node);

#endif
