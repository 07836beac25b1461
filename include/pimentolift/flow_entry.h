/**
 * @file
 * @defgroup flow_entry Flow handling in an entry (the edge process)
 *
 * Places new flows on endpoints and looks up the owners of unknown flows,
 * because the routers may send any packet to any entry. An entry caches the
 * owners that agents report. On a cache miss the entry queues the packet and
 * queries the agents, also those of services that the route no longer names.
 * The module uses no sockets, threads or clock of its own.
 * @{
 */
#ifndef PIMENTOLIFT_FLOW_ENTRY_H
#define PIMENTOLIFT_FLOW_ENTRY_H

#include <pimentolift/balance/place.h>
#include <pimentolift/flow.h>
#include <pimentolift/timer.h>

typedef struct pl_flow_entry pl_flow_entry_t;

/** Parameters of an entry. */
typedef struct {
	pl_member_id_t self;
	pl_datacentre_id_t datacentre;
	uint32_t flow_idle_max_ms; /**< idle flows expire after this time */
	uint64_t link_bytes_per_s; /**< capacity of the entry's link */
	size_t flows_max; /**< capacity of the cache */
	const pl_packet_ops_t *packets;
	const pl_place_policy_t *placement;
} pl_flow_entry_params_t;

/** Callbacks; @c ctx is the pointer given to pl_flow_entry_new(). */
typedef struct {
	/** Sends a message to the agent @p to. */
	void (*send)(void *ctx, pl_member_id_t to,
		     const pl_flow_message_t *message);
	/** Sends a packet to the caller of @p flow. */
	void (*send_to_caller)(void *ctx, const pl_flow_key_t *flow,
			       const uint8_t *bytes, size_t len);
	/**
	 * Requests the roster: all agents of all services that may own flows
	 * now, including those that membership does not list. The reply is
	 * pl_flow_entry_set_roster(). At most one request is pending.
	 */
	void (*request_roster)(void *ctx);
	/**
	 * Asks membership to check whether @p agent is alive, because it may
	 * own flows and does not answer. If it is dead, membership calls
	 * pl_flow_entry_agent_dead().
	 */
	void (*check_agent)(void *ctx, pl_member_id_t agent);
} pl_flow_entry_ops_t;

/** Statistics for status and tests. */
typedef struct {
	size_t flows; /**< in the cache */
	size_t lookups_open;
	uint64_t packets_received; /**< from callers */
	uint64_t placed; /**< opening packets sent to an agent */
	/** Flows reset because no agent could serve them in time. */
	uint64_t refused;
	uint64_t placed_again; /**< of @c placed: after another agent refused */
	/** Of @c placed: beyond the share of the service, because the service
	 * of the flow's share had no room. */
	uint64_t overflowed;
	uint64_t cache_hits; /**< packets of flows in the cache */
	uint64_t lookups;
	uint64_t found;
	uint64_t lookups_lost; /**< lookups that ended without an owner */
	uint64_t flows_reset; /**< flows reset because no agent can own them */
	uint64_t no_route; /**< packets to an address without a service */
	uint64_t no_endpoint; /**< opening packets without an endpoint */
	/** Of @c no_endpoint: new flows reset because all endpoints of their
	 * service are evacuated. */
	uint64_t rejected;
} pl_flow_entry_stats_t;

/** Rows of pl_flow_entry_shares(); routes beyond that are not counted. */
#define PL_FLOW_SHARES_MAX 32

/** New flows of one service of a route whose services have weights. */
typedef struct {
	pl_addr_t address; /**< of the route */
	char service[PL_NAME_MAX];
	uint32_t weight; /**< in the configuration now in force */
	uint64_t asked; /**< flows that the weights gave it */
	uint64_t given; /**< flows that were offered to it first */
} pl_flow_share_t;

pl_flow_entry_t *pl_flow_entry_new(const pl_flow_entry_params_t *params,
				   const pl_flow_entry_ops_t *ops, void *ctx,
				   pl_timer_service_t *timers);
void pl_flow_entry_delete(pl_flow_entry_t *entry);

/** Sets the routing table and takes a reference to it. */
void pl_flow_entry_set_routing(pl_flow_entry_t *entry, pl_routing_t *routing);

/** Handles a packet from a caller. */
void pl_flow_entry_packet(pl_flow_entry_t *entry, const uint8_t *bytes,
			  size_t len);

/** Handles a message from an agent. */
void pl_flow_entry_message(pl_flow_entry_t *entry,
			   const pl_flow_message_t *message);

/**
 * Replies to pl_flow_entry_ops_t.request_roster with all agents that may own
 * flows; @p known is false if the roster could not be obtained.
 */
void pl_flow_entry_set_roster(pl_flow_entry_t *entry, bool known,
			      const pl_member_id_t *agents, size_t count);

/**
 * Reports that membership declared @p agent dead. The agent counts as dead
 * until it sends a message or a routing table lists it.
 */
void pl_flow_entry_agent_dead(pl_flow_entry_t *entry, pl_member_id_t agent);

void pl_flow_entry_stats(const pl_flow_entry_t *entry,
			 pl_flow_entry_stats_t *stats);

/** Fills in @p shares in the order of the first flow; returns their number. */
size_t pl_flow_entry_shares(const pl_flow_entry_t *entry,
			    pl_flow_share_t shares[PL_FLOW_SHARES_MAX]);

#endif
/** @} */
