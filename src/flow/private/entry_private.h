/**
 * @file
 * Internal structures of an entry: packets and flow cache (entry.c), messages of
 * agents (entry_verdict.c), endpoints and their load (entry_place.c), services of
 * a route (entry_split.c), lookup of a flow's owner (entry_lookup.c) and its
 * probes (entry_probe.c).
 */
#ifndef PL_FLOW_ENTRY_PRIVATE_H
#define PL_FLOW_ENTRY_PRIVATE_H

#include "private/flow_table.h"
#include "private/packet_queue.h"
#include "private/seq_range.h"

#include <glib.h>
#include <pimentolift/balance/reason.h>
#include <pimentolift/balance/split.h>
#include <pimentolift/flow_entry.h>
#include <pimentolift/flow_explain.h>

/** A caller gives up opening a flow after this time. */
#define OPEN_TIMEOUT_MS 1400
/** Concurrent probes of one lookup. */
#define PROBES_MAX 4
/** Shortest interval between two checks of a lookup. */
#define RECHECK_MIN_MS 60
/** Most transmissions of a query. */
#define QUERY_SENDS_MAX 6

/** Query of a lookup to one agent. */
typedef struct {
	pl_member_id_t agent;
	pl_service_id_t service; /**< of the agent; 0 while unknown */
	pl_ms_t first_sent_at; /**< when it was sent first */
	pl_ms_t next_send_at; /**< when it is sent next */
	pl_ms_t answered_at;
	pl_ms_t probe_sent_at; /**< when this lookup last probed it */
	/** When its server got a probe of the flow, from any entry; 0: never. */
	pl_ms_t probed_at;
	unsigned int send_count; /**< times the query was sent */
	pl_flow_verdict_t verdict;
	bool answered;
	bool requery; /**< sent again although the agent answered */
	bool probed; /**< a probe packet was sent to its backend server */
} agent_query_t;

/** Lookup of the owner of a flow. */
typedef struct {
	pl_list_t link; /**< on entry->lookups */
	struct cached_flow *flow;
	pl_timer_t timer;
	pl_ms_t started;
	/** When agents were last added to the lookup; at first, its start. */
	pl_ms_t widened_at;

	GArray *queries; /**< agent_query_t */
	GHashTable
		*query_index; /**< agent to its position in queries, plus 1 */
	size_t unanswered; /**< queries without an answer */
	size_t answered_sent; /**< queries that were sent and answered */
	size_t answered_resent; /**< those of them that were sent again */
	pl_ms_t answers_ms; /**< sum of the times to their answers */
	pl_packet_queue_t packets;
	pl_ms_t packet_at; /**< arrival of the caller's last packet */
	uint32_t ack; /**< acknowledgement number of the first packet */
	bool wide; /**< all agents of all services are queried */

	unsigned int probes; /**< probe packets without an answer */
	/** Agent whose server is presumed to hold the flow, or 0. */
	pl_member_id_t presumed;
	pl_ms_t presumed_at; /**< when it was first */
	size_t presumed_sent; /**< packets that were sent to @c presumed */
	/** These probes went to services other than the expected one. */
	bool probes_others;
	bool exhausted; /**< all answered, or the wait for answers is over */
} lookup_t;

/** Deadlines of the first request of a flow. */
typedef struct {
	pl_ms_t due; /**< its answer is late after this time; 0: it is late */
	pl_ms_t expires; /**< its caller gives up; 0: unknown */
} pl_flow_deadlines_t;

/** A flow in the cache. */
typedef struct cached_flow {
	pl_flow_node_t node;
	/** Sequence numbers of the caller, and those of the server that it has
	 * acknowledged: a packet with others is of another flow of the same
	 * addresses and ports. */
	pl_seq_range_t caller_seqs;
	pl_seq_range_t server_seqs;
	/** Service that this entry offered the flow to, or that of the owner; 0
	 * if neither is known. */
	pl_service_id_t service;
	pl_member_id_t owner; /**< 0 while unknown */
	/** Agents that were sent the opening packet. */
	pl_member_id_t offered[PL_FLOW_OFFERS_MAX];
	size_t offered_count;
	/** Bit i: offered[i] refused the flow, or does not own it. */
	unsigned int ruled_out;
	/** An endpoint that is not in @c offered, or no longer, may accept the
	 * flow. */
	bool offers_open;
	/** Deadline of the first request, counted from its first packet. */
	pl_ms_t due;
	pl_ms_t opened; /**< when the caller first sent the opening packet */
	pl_ms_t expires; /**< caller of the first request gives up; 0: unknown */
	bool routed; /**< @c goal_ms and @c priority are set */
	uint32_t goal_ms; /**< latency goal of its route */
	uint32_t timeout_ms; /**< after which callers give up; 0: unknown */
	uint32_t priority;
	lookup_t *lookup; /**< NULL if none is open */
} cached_flow_t;

/** What an agent says of a flow that is looked up. */
typedef struct {
	pl_member_id_t agent;
	pl_service_id_t service;
	pl_flow_verdict_t verdict;
	bool presumed; /**< OWNED only because a probe was not handed back */
	uint32_t probed_ms; /**< see @ref pl_flow_item_t; 0: not known */
} pl_flow_claim_t;

/** Key of an agent in the hash tables of lookups and rosters. */
static inline gpointer pl_flow_agent_key_(pl_member_id_t agent)
{
	G_STATIC_ASSERT(sizeof(gpointer) >= sizeof(pl_member_id_t));
	return (gpointer)(uintptr_t)agent;
}

/** Agents that may own flows, of all services. */
typedef struct {
	bool known; /**< a roster was read */
	pl_ms_t requested_at; /**< when the roster was requested */
	pl_ms_t checked_at; /**< when membership was last asked to check */
	GArray *agents; /**< pl_member_id_t */
	GHashTable *agent_set; /**< the same agents */
} pl_flow_roster_t;

struct pl_flow_entry {
	pl_flow_entry_params_t params;
	const pl_flow_entry_ops_t *ops;
	void *ctx;
	pl_timer_service_t *timers;
	pl_routing_t *routing;
	pl_flow_table_t *flows;
	GHashTable *loads; /**< agent to agent_load_t */
	GHashTable *summaries; /**< service to its load, see entry_split.c */
	GHashTable *out_levels; /**< service to a level, see entry_ejected.c */
	pl_flow_share_t shares[PL_FLOW_SHARES_MAX]; /**< without the weights */
	size_t share_count;
	pl_list_t lookups;
	pl_timer_t query_timer;
	int64_t query_tokens; /**< token bucket, in thousandths of a byte */
	pl_ms_t tokens_refilled_at;
	/** Agent to the time of the first packet that it has not answered. */
	GHashTable *unanswered_since;
	GHashTable *dead_agents; /**< agents that membership declared dead */
	GHashTable *retries; /**< caller's IP to caller_resets_t */
	/** Share of answers that took another query, mean of the last lookups. */
	double resent_share;
	pl_flow_roster_t roster;
	bool roster_pending; /**< a request is open */
	pl_ms_t roster_requested_at; /**< time of the last request */
	pl_ms_t roster_not_before; /**< earliest time of the next request */
	/** Service whose endpoints are all evacuated to the time since when. */
	GHashTable *emptied_since;
	GQueue held; /**< packets that no endpoint can accept now */
	/** When the held packet that is being retried was first held, or 0. */
	pl_ms_t retry_held_since;
	pl_timer_t hold_timer;
	pl_timer_t sweep_timer;
	pl_flow_entry_stats_t stats;
};

/* entry.c */
pl_ms_t pl_flow_entry_now_(const pl_flow_entry_t *entry);
void pl_flow_entry_forward_(pl_flow_entry_t *entry, const cached_flow_t *flow,
			    pl_member_id_t agent, unsigned int flags,
			    const uint8_t *bytes, size_t len);
void pl_flow_entry_reset_(pl_flow_entry_t *entry, const pl_flow_key_t *key,
			  uint32_t seq);

/** Service of @p agent, which owns the flow or was offered it. */
pl_service_id_t pl_flow_entry_service_of_(const pl_flow_entry_t *entry,
					  const cached_flow_t *flow,
					  pl_member_id_t agent);

/** Forwards a packet as a probe to the agent of @p query. */
void pl_flow_entry_forward_probe_(pl_flow_entry_t *entry,
				  const cached_flow_t *flow,
				  const agent_query_t *query,
				  const uint8_t *bytes, size_t len);

/** Service to which the configuration sends new flows of the address of
 * @p key, or NULL. */
const pl_route_service_t *pl_flow_entry_route_of_(const pl_flow_entry_t *entry,
						  const pl_flow_key_t *key);

/** Fills in the services of the address of @p key; returns their number. */
size_t pl_flow_entry_shares_(const pl_flow_entry_t *entry,
			     const pl_flow_key_t *key,
			     pl_route_share_t shares[PL_ROUTE_SHARES_MAX]);

/** Address of the service in @p key. */
pl_addr_t pl_flow_entry_service_addr_(const pl_flow_key_t *key);

/** Routes a packet from a caller. */
void pl_flow_entry_route_(pl_flow_entry_t *entry, const uint8_t *bytes,
			  size_t len);

/** What is done with an opening packet, or a copy of one. */
typedef enum {
	OPENING_UNWEIGHTED, /**< no service of the route takes new flows */
	OPENING_OWNED, /**< goes to the owner */
	OPENING_PLACE,
} pl_flow_opening_t;

pl_flow_opening_t pl_flow_entry_opening_(const pl_flow_entry_t *entry,
					 const cached_flow_t *flow);

/** Whether the caller's packet is of the cached flow, and not of another one of
 * the same addresses and ports. */
bool pl_flow_entry_is_of_flow_(const cached_flow_t *flow,
			       const pl_packet_t *packet);

/** Whether the route no longer names the service of the flow, so that an opening
 * packet starts another flow. */
bool pl_flow_entry_is_rerouted_(const pl_flow_entry_t *entry,
				const cached_flow_t *flow);

/** Whether a configuration is in force. */
bool pl_flow_entry_is_configured_(const pl_flow_entry_t *entry);

/* entry_hold.c */
void pl_flow_hold_init_(pl_flow_entry_t *entry);
void pl_flow_hold_finish_(pl_flow_entry_t *entry);
/** Holds a packet for up to HOLD_MS. */
void pl_flow_hold_add_(pl_flow_entry_t *entry, const uint8_t *bytes,
		       size_t len);
/** Routes the held packets again. */
void pl_flow_hold_retry_(pl_flow_entry_t *entry);

/* entry_evacuate.c */
void pl_flow_evacuate_init_(pl_flow_entry_t *entry);
void pl_flow_evacuate_finish_(pl_flow_entry_t *entry);
void pl_flow_evacuate_routing_changed_(pl_flow_entry_t *entry);
/** Resets a new flow of a route that is left without endpoints; returns false
 * if it did not. */
bool pl_flow_evacuate_reject_(pl_flow_entry_t *entry, const cached_flow_t *flow,
			      const uint8_t *bytes, size_t len);

/** Whether all services with a weight above 0 that the route of the flow names
 * have had only evacuated endpoints for a while. */
bool pl_flow_evacuate_leaves_none_(const pl_flow_entry_t *entry,
				   const pl_flow_key_t *key);

/* entry_liveness.c */
void pl_flow_liveness_init_(pl_flow_entry_t *entry);
void pl_flow_liveness_finish_(pl_flow_entry_t *entry);
/** Records the first answer to a query: how well the link carries them. */
void pl_flow_liveness_answered_(const pl_flow_entry_t *entry, lookup_t *lookup,
				const agent_query_t *query);
/** Records how well the link carried the queries of a lookup that ends. */
void pl_flow_liveness_lookup_ended_(pl_flow_entry_t *entry,
				    const lookup_t *lookup);
/** Whether the agent of @p query counts as dead in the lookup. */
bool pl_flow_liveness_silence_counts_(const pl_flow_entry_t *entry,
				      const lookup_t *lookup,
				      const agent_query_t *query);
/** Records that @p agent sent a message. */
void pl_flow_liveness_heard_(pl_flow_entry_t *entry, pl_member_id_t agent);
/** Treats the agents that a new routing table lists as alive again. */
void pl_flow_liveness_routing_changed_(pl_flow_entry_t *entry);
/** Removes records of agents that are too old to own any flow. */
void pl_flow_liveness_expire_(pl_flow_entry_t *entry);
/** Whether membership declared the agent dead, which implies that its backend
 * server is dead too. */
bool pl_flow_liveness_is_dead_(const pl_flow_entry_t *entry,
			       pl_member_id_t agent);
/** Asks membership to check @p agent, which blocks the proof that a flow is
 * dead and has not answered @p send_count queries. */
void pl_flow_liveness_check_(pl_flow_entry_t *entry, pl_member_id_t agent,
			     unsigned int send_count);
/** Whether a packet for @p owner would be lost, so that the flow needs a new
 * lookup. */
bool pl_flow_liveness_owner_lost_(pl_flow_entry_t *entry, pl_member_id_t owner);

/* entry_retry.c */
void pl_flow_retries_init_(pl_flow_entry_t *entry);
/** Records the reset of a flow of caller @p ip, with the deadlines of its
 * request; the caller's next flow is a retry. */
void pl_flow_retries_record_reset_(pl_flow_entry_t *entry, uint32_t ip,
				   const pl_flow_deadlines_t *deadlines);
/** If a new flow of caller @p ip is a retry, takes the earlier ones of
 * @p deadlines and those of the attempt before, and removes that reset. */
void pl_flow_retries_consume_(pl_flow_entry_t *entry, uint32_t ip,
			      pl_flow_deadlines_t *deadlines);
/** Removes callers that did not retry in time. */
void pl_flow_retries_expire_(pl_flow_entry_t *entry);

/* entry_place.c */
void pl_flow_loads_init_(pl_flow_entry_t *entry);
/** Stores the load that an agent reported. */
void pl_flow_loads_update_(pl_flow_entry_t *entry, pl_member_id_t agent,
			   const pl_endpoint_load_t *load);
/** Copies the load that @p agent reported last, and sets the time since then;
 * returns false if it reported none. */
bool pl_flow_loads_get_(const pl_flow_entry_t *entry, pl_member_id_t agent,
			pl_endpoint_load_t *load, pl_ms_t *age);
/** Whether the opening packet of the flow was sent to @p agent. */
bool pl_flow_entry_was_offered_(const cached_flow_t *flow,
				pl_member_id_t agent);
/** Returns the endpoint that was offered the flow last and is not ruled out, or
 * 0. */
pl_member_id_t pl_flow_entry_last_offer_(const cached_flow_t *flow);
/** Marks the endpoint of @p agent as not owning the flow. */
void pl_flow_entry_rule_out_(cached_flow_t *flow, pl_member_id_t agent);
/** Cancels the offers of the flow to all endpoints except its owner. */
void pl_flow_entry_cancel_offers_(pl_flow_entry_t *entry, cached_flow_t *flow);
/** Sends an opening packet to an endpoint that has not been offered it. */
void pl_flow_entry_place_(pl_flow_entry_t *entry, cached_flow_t *flow,
			  const uint8_t *bytes, size_t len);

/** An endpoint and its rendezvous hash for one flow. */
typedef struct {
	const pl_endpoint_t *endpoint;
	uint64_t rank;
} pl_flow_ranked_t;

/**
 * Finds the endpoints of @p service with the highest rendezvous hash for the
 * flow @p key, at most @p max, in descending order. @p fits filters the
 * endpoints unless it is NULL. If the service has more than @p max endpoints,
 * three quarters of the result are in the entry's data centre, provided that it
 * has as many.
 */
size_t
pl_flow_rank_(const pl_flow_entry_t *entry, const pl_route_service_t *service,
	      const pl_flow_key_t *key,
	      bool (*fits)(const void *ctx, const pl_endpoint_t *endpoint),
	      const void *ctx, pl_flow_ranked_t *ranked, size_t max);

/* entry_split.c */
/** Choice of the service of a new flow. */
typedef struct {
	const pl_route_service_t *service;
	const pl_route_service_t *share; /**< the one that the weights give */
	pl_reason_t reason;
	bool divided; /**< the services of the route have weights */
} pl_flow_split_t;

void pl_flow_split_init_(pl_flow_entry_t *entry);
void pl_flow_split_finish_(pl_flow_entry_t *entry);
/** Forgets the load of services, whose endpoints may have changed. */
void pl_flow_split_routing_changed_(pl_flow_entry_t *entry);
/** Whether the route of @p key names the service, with any weight. */
bool pl_flow_split_names_(const pl_flow_entry_t *entry,
			  const pl_flow_key_t *key, pl_service_id_t service);
/** Whether any service of the route of @p key takes new flows. */
bool pl_flow_split_accepts_(const pl_flow_entry_t *entry,
			    const pl_flow_key_t *key);
/** Chooses the service of a flow that has no owner; returns false if none takes
 * it, or if the route no longer names the service that it was offered to. */
bool pl_flow_split_(const pl_flow_entry_t *entry, const cached_flow_t *flow,
		    pl_flow_split_t *split);
/** Sums the load of the services of @p key up again if that is due; otherwise
 * each pl_flow_split_() does, which changes nothing. */
void pl_flow_split_refresh_(pl_flow_entry_t *entry, const pl_flow_key_t *key);
/** Load of a service of the route as far as it matters to the flow. */
pl_split_service_t pl_flow_split_load_(const pl_flow_entry_t *entry,
				       const cached_flow_t *flow,
				       const pl_route_share_t *share);
/** Records that the flow was offered to an endpoint of the chosen service. */
void pl_flow_split_placed_(pl_flow_entry_t *entry, const cached_flow_t *flow,
			   const pl_flow_split_t *split);
/** Service that the weights give the flow, whatever the load; 0 if the address
 * has none. */
pl_service_id_t pl_flow_split_expected_(const pl_flow_entry_t *entry,
					const pl_flow_key_t *key);

/** Choice of the service and the endpoint of an opening packet. */
typedef struct {
	pl_flow_split_t split; /**< unset unless @c accepted */
	bool accepted; /**< a service takes the flow */
	/** NULL: no endpoint takes the packet now. */
	const pl_endpoint_t *endpoint;
	bool last; /**< there is no other endpoint to offer the packet to */
	size_t count; /**< candidates; 0: none, or there were all offers */
	pl_place_candidate_t candidates[PL_FLOW_CANDIDATES_MAX];
	size_t chosen; /**< index of the candidate */
	/** Level of health from which on candidates are out; 0: none of them is
	 * ejected. */
	uint32_t out_from;
} pl_flow_choice_t;

/* entry_ejected.c */
void pl_flow_ejected_init_(pl_flow_entry_t *entry);
void pl_flow_ejected_finish_(pl_flow_entry_t *entry);
void pl_flow_ejected_routing_changed_(pl_flow_entry_t *entry);
/** Marks the candidates that are out; changes nothing else. */
void pl_flow_ejected_mark_(const pl_flow_entry_t *entry,
			   pl_flow_choice_t *choice);
/** Keeps the level that the choice was made with for the next ones. */
void pl_flow_ejected_keep_(pl_flow_entry_t *entry,
			   const pl_flow_choice_t *choice);

/** Chooses as pl_flow_entry_place_() does; changes nothing. */
void pl_flow_choose_(const pl_flow_entry_t *entry, const cached_flow_t *flow,
		     pl_flow_choice_t *choice);

/* entry_query.c */
void pl_flow_query_init_(pl_flow_entry_t *entry);
/** Service whose agents most likely own the flow of a lookup; 0 if unknown. */
pl_service_id_t pl_flow_query_expected_service_(const pl_flow_entry_t *entry,
						const cached_flow_t *flow);
/** Queries the agents that may own the flow, and repeats unanswered queries.
 * Returns true if agents were added. */
bool pl_flow_query_(pl_flow_entry_t *entry, lookup_t *lookup);

/** Queries one more agent, which may own the flow. */
void pl_flow_query_agent_(pl_flow_entry_t *entry, lookup_t *lookup,
			  pl_member_id_t agent);

/** Extends the open lookups to the agents of a new routing table. */
void pl_flow_query_new_agents_(pl_flow_entry_t *entry);

/* entry_roster.c */
void pl_flow_roster_init_(pl_flow_entry_t *entry);
void pl_flow_roster_finish_(pl_flow_entry_t *entry);
/** Whether a lookup that found no owner proves that the flow is dead; requests
 * a new roster if the known one is older than the lookup. */
bool pl_flow_roster_proves_dead_(pl_flow_entry_t *entry, lookup_t *lookup);
/** Whether the silent @p agent may own the flow. Without a fresh roster, every
 * agent may that is not declared dead. */
bool pl_flow_roster_may_own_(const pl_flow_entry_t *entry,
			     const lookup_t *lookup, pl_member_id_t agent);
/** Returns an agent that may still own the flow and so blocks the proof that
 * the flow is dead, or 0. */
pl_member_id_t pl_flow_roster_blocking_agent_(const pl_flow_entry_t *entry,
					      const lookup_t *lookup);
/** Requests a new roster if the known one is older than the lookup. */
void pl_flow_roster_refresh_(pl_flow_entry_t *entry, const lookup_t *lookup);

/* entry_lookup.c */
/** Returns the query to @p agent, or NULL. */
const agent_query_t *pl_flow_lookup_find_query_(const lookup_t *lookup,
						pl_member_id_t agent);
/** Ends the lookups of flows whose service is unknown and routes their packets
 * again, if there is a configuration now. */
void pl_flow_lookup_reroute_(pl_flow_entry_t *entry);
/** Queries @p agent, which was declared dead, again for the flows that it may
 * own. */
void pl_flow_lookup_requery_dead_(pl_flow_entry_t *entry, pl_member_id_t agent);
/** Resets the flows that are proved dead, and ends their lookups. */
void pl_flow_lookup_end_dead_flows_(pl_flow_entry_t *entry);
/** Queues a packet and starts a lookup of the flow's owner if none is open. */
void pl_flow_lookup_add_(pl_flow_entry_t *entry, cached_flow_t *flow,
			 uint32_t ack, const uint8_t *bytes, size_t len);
/** Handles the claim of an agent about the flow of @p lookup. */
void pl_flow_lookup_verdict_(pl_flow_entry_t *entry, lookup_t *lookup,
			     const pl_flow_claim_t *claim);
void pl_flow_lookup_end_(pl_flow_entry_t *entry, lookup_t *lookup);
/** Checks the lookup again after @p pause. */
void pl_flow_lookup_arm_timer_(pl_flow_entry_t *entry, lookup_t *lookup,
			       pl_ms_t pause);

/* entry_probe.c */
/** Agents of a lookup that have not ruled the flow out. */
typedef struct {
	size_t silent;
	/** Silent agents that may own the flow and were not probed. */
	size_t possible_owners;
	size_t unsure;
	/** All that may own it: silent, unsure or presumed to own it. */
	size_t unresolved;
	agent_query_t *to_probe; /**< next unsure agent to probe, or NULL */
	bool probes_others; /**< @c to_probe is of an unexpected service */
} pl_flow_pending_t;

pl_flow_pending_t pl_flow_probe_count_pending_(const pl_flow_entry_t *entry,
					       const lookup_t *lookup);
/** Sends the probes that are allowed now, several in parallel. */
void pl_flow_probe_next_(pl_flow_entry_t *entry, lookup_t *lookup,
			 pl_flow_pending_t *pending);
/** Updates when the agent's server got a probe. */
void pl_flow_probe_note_(const pl_flow_entry_t *entry, agent_query_t *query,
			 const pl_flow_claim_t *claim);
/** Whether an agent other than the one of @p query may own the flow. */
bool pl_flow_probe_has_other_owner_(const pl_flow_entry_t *entry,
				    const lookup_t *lookup,
				    const agent_query_t *query);
/** Sends the presumed owner the next packets that it may get while the flow may
 * have another owner. */
void pl_flow_probe_send_to_presumed_(pl_flow_entry_t *entry, lookup_t *lookup,
				     const agent_query_t *query);

#endif
