/**
 * @file
 * @defgroup entry Entry core
 *
 * Routes the datagrams of callers: determines the service and the agent for
 * each one. An entry has no per-flow state. Entries with the same routing
 * table make the same choice, except for differences in the load reports that
 * they have received.
 *
 * A datagram with a ticket goes to the agent that issued the ticket. One that
 * refers to state of an agent (a view, an upload, a follow-up block of an
 * answer, an acknowledgement) goes to the caller's home, the best-ranked
 * serving endpoint. Any other datagram is new work and goes to the less loaded
 * of the caller's two best-ranked endpoints.
 * @{
 */
#ifndef PIMENTOLIFT_ENTRY_H
#define PIMENTOLIFT_ENTRY_H

#include <pimentolift/counter.h>
#include <pimentolift/load.h>
#include <pimentolift/routing.h>
#include <pimentolift/timer.h>
#include <pimentolift/wire.h>

typedef struct pl_entry pl_entry_t;

/** Policy that chooses an endpoint for new work from the ranked ones. */
typedef struct {
	const char *name;
	/** Number of endpoints to rank for @c choose, at most
	 * PL_ENTRY_CHOICES. */
	size_t choices;
	/** Returns the index of the chosen endpoint, less than @p count. */
	size_t (*choose)(pl_entry_t *entry, const pl_endpoint_t *const *ranked,
			 size_t count, pl_ms_t now);
} pl_entry_policy_t;

/** Maximum number of endpoints that a policy chooses from. */
#define PL_ENTRY_CHOICES 2

/** Chooses the less loaded of the two best-ranked endpoints. */
extern const pl_entry_policy_t pl_entry_policy_two_choices;

/** Chooses the best-ranked endpoint; baseline for measurements. */
extern const pl_entry_policy_t pl_entry_policy_hash;

/** Creates a core for one traffic thread; @p loads must outlive it. */
pl_entry_t *pl_entry_new(pl_member_id_t self, const pl_entry_policy_t *policy,
			 pl_load_table_t *loads);
void pl_entry_delete(pl_entry_t *entry);

/**
 * Routes one datagram.
 *
 * @param caller   source address of the datagram
 * @param address  service address that the datagram was sent to
 * @param pdu      the CoAP message; @p forward points into it
 * @param agent    receives the agent to send to
 * @param forward  receives the message for that agent
 * @param dropped  receives the counter to increment on an error
 * @return PL_OK, or the reason why the datagram is dropped
 */
pl_result_t pl_entry_route(pl_entry_t *entry, const pl_routing_t *routing,
			   const pl_addr_t *caller, const pl_addr_t *address,
			   const uint8_t *pdu, size_t pdu_len, pl_ms_t now,
			   pl_member_id_t *agent, pl_forward_t *forward,
			   pl_counter_t *dropped);

/**
 * Checks an answer before it is sent to the caller, and records the load that
 * the agent reported in it. Returns PL_ERR_STATE when the service address now
 * belongs to another service.
 */
pl_result_t pl_entry_reply(pl_entry_t *entry, const pl_routing_t *routing,
			   const pl_reply_t *reply, pl_ms_t now);

#endif
/** @} */
