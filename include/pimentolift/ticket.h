/**
 * @file
 * @defgroup ticket Tickets
 *
 * A non-idempotent request runs only when it carries a ticket, which an
 * agent issues in the Echo option of a 4.01 answer (RFC 9175 section 2). The
 * ticket names the agent and the life of its process, so that every repeat of
 * the request finds the one process that knows whether it ran, and a nonce
 * that the agent runs at most once.
 *
 * Layout, integers in network order: version (1 byte), agent (8), boot (8),
 * nonce (8), time of issue in seconds (4), truncated code (8). The code also
 * covers the caller, the service and the request, so a ticket is worth
 * nothing for another caller, service or request.
 * @{
 */
#ifndef PIMENTOLIFT_TICKET_H
#define PIMENTOLIFT_TICKET_H

#include <pimentolift/coap_msg.h>
#include <pimentolift/hash.h>
#include <pimentolift/wire.h>

/** Version of the ticket's layout. */
#define PL_TICKET_VERSION 1
/** Length of a ticket, in bytes; at most PL_COAP_ECHO_MAX. */
#define PL_TICKET_BYTES 37
/** Length of the truncated code at the end of a ticket, in bytes. */
#define PL_TICKET_MAC_BYTES 8
/** Time during which a ticket lets a request run, in seconds. */
#define PL_TICKET_LIFE_S 120

/** What a ticket says. */
typedef struct {
	pl_member_id_t agent; /**< who issued it */
	uint64_t boot; /**< life of the issuer */
	uint64_t nonce; /**< names the operation */
	uint32_t issued_s; /**< issuer's clock, in seconds */
} pl_ticket_t;

/** Verdict on a ticket, seen from the agent that checks it. */
typedef enum {
	PL_TICKET_VALID, /**< issued here, in this life, not expired */
	PL_TICKET_EXPIRED, /**< issued here, in this life, too old */
	PL_TICKET_FOREIGN_BOOT, /**< issued here, in another life */
	PL_TICKET_FOREIGN_AGENT, /**< issued by another agent */
	PL_TICKET_FORGED, /**< not made for this request with our key */
	PL_TICKET_VERDICT_COUNT,
} pl_ticket_verdict_t;

/** Names of @ref pl_ticket_verdict_t, in its order. */
extern const char *const pl_ticket_verdict_names[];

/**
 * Reads the issuer out of an Echo value without checking the code; entries
 * route by it. Returns false when it has not the shape of a ticket.
 */
bool pl_ticket_peek(const uint8_t *echo, size_t len, pl_member_id_t *agent);

/** Digest of what a ticket is bound to besides caller and service. */
uint64_t pl_ticket_digest(const pl_coap_msg_t *msg);

/**
 * Digest of a ticket for the rest of an answer, which goes out with each
 * block but the last and comes back with the request for the next one
 * (RFC 9175 section 2.3). It lets nothing run.
 */
uint64_t pl_ticket_rest_digest(uint8_t method, const char *path,
			       const char *query);

/**
 * Nonce for the request @p msg: the same datagram gives the same nonce, so a
 * retransmission gets the ticket that the first copy got.
 */
uint64_t pl_ticket_nonce(const pl_key_t *key, const pl_flow_t *flow,
			 uint64_t boot, const pl_coap_msg_t *msg);

/** Writes @p ticket, bound to @p flow and @p digest, into @p echo. */
void pl_ticket_issue(const pl_key_t *key, const pl_ticket_t *ticket,
		     const pl_flow_t *flow, uint64_t digest,
		     uint8_t echo[PL_TICKET_BYTES]);

/**
 * Checks an Echo value. @p own holds the checking agent, its boot, and its
 * present time in @c issued_s. Fills @p ticket unless it is forged.
 */
pl_ticket_verdict_t pl_ticket_check(const pl_key_t *key, const pl_ticket_t *own,
				    const pl_flow_t *flow, uint64_t digest,
				    const uint8_t *echo, size_t len,
				    pl_ticket_t *ticket);

#endif
/** @} */
