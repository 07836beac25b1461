/**
 * @file
 * @defgroup entry Entry core
 *
 * What an entry decides about a caller's datagram: which service it is for
 * and which agent gets it. It keeps nothing per flow; any entry with the same
 * routing table makes the same choice, but for the load that it heard of.
 *
 * A datagram with a ticket goes to the ticket's issuer. One that belongs to
 * something the agent keeps (a view, an upload, the rest of an answer, an
 * acknowledgement) goes to the flow's home. Anything else is new work and
 * may go to the less loaded of the caller's two best-ranked endpoints.
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

/** Chooses among the ranked endpoints for new work. */
typedef struct {
	const char *name;
	/** Ranked endpoints that are offered to @c choose, at most
	 * PL_ENTRY_CHOICES. */
	size_t choices;
	/** Index of the chosen endpoint, below @p count. */
	size_t (*choose)(pl_entry_t *entry, const pl_endpoint_t *const *ranked,
			 size_t count, pl_ms_t now);
} pl_entry_policy_t;

/** Most endpoints that a policy chooses from. */
#define PL_ENTRY_CHOICES 2

/** The less loaded of the two best-ranked endpoints. */
extern const pl_entry_policy_t pl_entry_policy_two_choices;

/** The best-ranked endpoint; the baseline. */
extern const pl_entry_policy_t pl_entry_policy_hash;

/** New core for one traffic thread; @p loads must outlive it. */
pl_entry_t *pl_entry_new(pl_member_id_t self, const pl_entry_policy_t *policy,
			 pl_load_table_t *loads);
void pl_entry_delete(pl_entry_t *entry);

/**
 * Decides about one datagram.
 *
 * @param caller   who sent it
 * @param address  service address that it was sent to
 * @param pdu      the CoAP message; @p forward borrows it
 * @param agent    agent that gets it
 * @param forward  what the agent is sent
 * @param dropped  counter to add to, when PL_OK is not returned
 * @return PL_OK, or why the datagram is dropped
 */
pl_result_t pl_entry_route(pl_entry_t *entry, const pl_routing_t *routing,
			   const pl_addr_t *caller, const pl_addr_t *address,
			   const uint8_t *pdu, size_t pdu_len, pl_ms_t now,
			   pl_member_id_t *agent, pl_forward_t *forward,
			   pl_counter_t *dropped);

/**
 * Checks an answer on its way to a caller and takes the agent's load. Returns
 * PL_ERR_STATE when the service address now belongs to another service.
 */
pl_result_t pl_entry_reply(pl_entry_t *entry, const pl_routing_t *routing,
			   const pl_reply_t *reply, pl_ms_t now);

#endif
/** @} */
