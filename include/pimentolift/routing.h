/**
 * @file
 * @defgroup routing Routing table
 *
 * An immutable table of services, their addresses and their endpoints. The
 * control thread builds it from the configuration and the membership and
 * publishes it under RCU; traffic threads only read it. An endpoint is one
 * backend server with its agent, identified by the agent's member identity.
 * @{
 */
#ifndef PIMENTOLIFT_ROUTING_H
#define PIMENTOLIFT_ROUTING_H

#include <pimentolift/addr.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Size in bytes of a name of a service, data centre or endpoint, with its
 * terminator. */
#define PL_NAME_MAX 64
/** Weight of an endpoint that gets its full share of new work. */
#define PL_WEIGHT_FULL 1000

/** Identity of a service: the hash of its name. */
typedef uint64_t pl_service_id_t;

/** Identity of a data centre: the hash of its name. */
typedef uint64_t pl_datacentre_id_t;

/** Computes the identity of the service @p name. */
pl_service_id_t pl_service_id(const char *name);

/** Which work an endpoint may be sent. */
typedef enum {
	PL_ENDPOINT_SERVING, /**< new and existing work */
	PL_ENDPOINT_DRAINING, /**< existing work only */
	PL_ENDPOINT_UNREACHABLE, /**< no work; it may become reachable */
	PL_ENDPOINT_STATE_COUNT,
} pl_endpoint_state_t;

/** Names of @ref pl_endpoint_state_t, in its order. */
extern const char *const pl_endpoint_state_names[];

/** One backend server with its agent. */
typedef struct {
	pl_member_id_t agent;
	uint64_t boot; /**< random identity of the agent's running process */
	pl_service_id_t service;
	pl_datacentre_id_t datacentre;
	pl_endpoint_state_t state;
	bool announced; /**< reports that it serves, even if suspected */
	bool evacuated; /**< its data centre gets no new flows */
	uint32_t weight; /**< 0 to PL_WEIGHT_FULL */
	uint32_t slots; /**< requests the backend server runs in parallel */
} pl_endpoint_t;

/** Limits and load balancing of a service, from the configuration document. */
typedef struct {
	uint32_t deadline_ms; /**< time to answer, unless the caller sets one */
	uint32_t short_slots; /**< slots that long requests may not use */
	uint32_t queue_max; /**< most requests queued at one endpoint */
	uint32_t upload_max_bytes; /**< largest request body */
	uint32_t ramp_ms; /**< time from a cold start to full weight */
	uint32_t retry_percent; /**< requests passed on, as a share of all */
	uint32_t answer_keep_ms; /**< how long an answer can be replayed */
	/** Time for which a backend server is cold after its data centre is
	 * taken back into service; 0: not cold. */
	uint32_t warmup_ms;
	/** Requests that a cold server bears, in thousandths a second; 0: not
	 * limited. */
	uint32_t warmup_rate_milli;
} pl_service_policy_t;

/** Services of one address; of more, those with the greatest weights are used.
 * An address has two or three while a service is being replaced. */
#define PL_ROUTE_SHARES_MAX 16
/** Weight of an address that has one service only; the weights of an address
 * with several are relative to their sum. */
#define PL_ROUTE_WEIGHT_FULL 1000000

/** Properties of the requests to one service address. */
typedef struct {
	uint32_t goal_ms; /**< answers have full value within; 0: not set */
	uint32_t timeout_ms; /**< answers have no value after; 0: not set */
	uint32_t priority; /**< 0 is the most urgent */
	bool weighted; /**< the address may belong to other services too */
	uint32_t
		weight; /**< of this service, if @c weighted; 0: no new flows */
} pl_route_policy_t;

/** A service of a routing table. */
typedef struct {
	pl_service_id_t id;
	char name[PL_NAME_MAX];
	pl_service_policy_t policy;
	const pl_endpoint_t *endpoints; /**< sorted by agent */
	size_t endpoint_count;
} pl_route_service_t;

struct pl_evacuations;
/** A service of an address, with its part of the new flows. */
typedef struct {
	const pl_route_service_t *service;
	const pl_route_policy_t *policy;
	uint32_t weight; /**< relative to the others of the address */
} pl_route_share_t;

typedef struct pl_routing pl_routing_t;
typedef struct pl_routing_builder pl_routing_builder_t;

/** Starts to build a table for configuration @p revision. */
pl_routing_builder_t *pl_routing_builder_new(uint64_t revision);

/** Adds a service; its identity is derived from the name. */
void pl_routing_builder_service(pl_routing_builder_t *builder, const char *name,
				const pl_service_policy_t *policy);

/** Adds a service of which only the identity is known, because there is no
 * configuration. */
void pl_routing_builder_unconfigured(pl_routing_builder_t *builder,
				     pl_service_id_t id);

/** Adds the address @p addr, to which callers of the service send. */
void pl_routing_builder_address(pl_routing_builder_t *builder,
				pl_service_id_t service, const pl_addr_t *addr);

/** Like pl_routing_builder_address(), for requests with @p policy. If several
 * services add the address and one of them gives no weight, the first such
 * service has it alone. */
void pl_routing_builder_route(pl_routing_builder_t *builder,
			      pl_service_id_t service, const pl_addr_t *addr,
			      const pl_route_policy_t *policy);

/** Marks the endpoints of these data centres that are added later as
 * evacuated. */
void pl_routing_builder_evacuate(pl_routing_builder_t *builder,
				 const struct pl_evacuations *evacuations);

/** Adds an endpoint; ignored if its service is not in the table. */
void pl_routing_builder_endpoint(pl_routing_builder_t *builder,
				 const pl_endpoint_t *endpoint);

/** Finishes the table and frees the builder. The caller owns one reference. */
pl_routing_t *pl_routing_builder_finish(pl_routing_builder_t *builder);

void pl_routing_get(pl_routing_t *routing);
void pl_routing_put(pl_routing_t *routing);

/** Configuration revision of the table. A table without a configuration has
 * revision 0, endpoints and no addresses. */
uint64_t pl_routing_revision(const pl_routing_t *routing);

/** Number of services, and the service at @p index. */
size_t pl_routing_service_count(const pl_routing_t *routing);
const pl_route_service_t *pl_routing_service_at(const pl_routing_t *routing,
						size_t index);

/** Service of the address @p addr, or NULL. Of several, the first of those with
 * the greatest weight, even if that is 0. */
const pl_route_service_t *pl_routing_by_address(const pl_routing_t *routing,
						const pl_addr_t *addr);

/**
 * Fills in @p shares with the services of the address @p addr, in the order
 * added, also those of weight 0.
 *
 * @return their number, 0 if the address is unknown
 */
size_t pl_routing_shares(const pl_routing_t *routing, const pl_addr_t *addr,
			 pl_route_share_t shares[PL_ROUTE_SHARES_MAX]);

/** Policy of the service address @p addr, or NULL. */
const pl_route_policy_t *pl_routing_route(const pl_routing_t *routing,
					  const pl_addr_t *addr);

/** Service @p id, or NULL. */
const pl_route_service_t *pl_routing_by_id(const pl_routing_t *routing,
					   pl_service_id_t id);

/** Endpoint of the agent @p agent, or NULL. */
const pl_endpoint_t *pl_routing_endpoint(const pl_routing_t *routing,
					 pl_member_id_t agent);

#endif
/** @} */
