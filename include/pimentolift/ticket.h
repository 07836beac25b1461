/**
 * @file
 * @defgroup ticket Tickets
 *
 * A non-idempotent request runs only if it carries a ticket, which an agent
 * issues in the Echo option of a 4.01 response (RFC 9175 section 2). The
 * ticket holds the agent, the boot ID of its process and a nonce. The agent
 * and the boot ID route every repetition of the request to the one process
 * that knows whether the request ran. The agent runs at most one request per
 * nonce.
 *
 * Layout, integers in network byte order: version (1 byte), agent (8), boot
 * ID (8), nonce (8), time of issue in seconds (4), truncated message
 * authentication code (8). The MAC also covers the caller, the service and a
 * digest of the request, so a ticket is invalid for any other caller, service
 * or request. The digest of a continuation ticket covers only method, path and
 * query.
 * @{
 */
#ifndef PIMENTOLIFT_TICKET_H
#define PIMENTOLIFT_TICKET_H

#include <pimentolift/coap_msg.h>
#include <pimentolift/hash.h>
#include <pimentolift/wire.h>

/** Version of the ticket layout. */
#define PL_TICKET_VERSION 1
/** Length of a ticket, in bytes; at most PL_COAP_ECHO_MAX. */
#define PL_TICKET_BYTES 37
/** Length of the truncated MAC at the end of a ticket, in bytes. */
#define PL_TICKET_MAC_BYTES 8
/** Time from issue to expiry of a ticket, in seconds. */
#define PL_TICKET_LIFE_S 120

/** Contents of a ticket. */
typedef struct {
	pl_member_id_t agent; /**< issuer */
	uint64_t boot; /**< boot ID of the issuer */
	uint64_t nonce; /**< identifies the operation */
	uint32_t issued_s; /**< time of issue by the issuer's clock */
} pl_ticket_t;

/** Result of checking a ticket at an agent. */
typedef enum {
	PL_TICKET_VALID, /**< issued here under this boot ID, not expired */
	PL_TICKET_EXPIRED, /**< issued here under this boot ID, expired */
	PL_TICKET_FOREIGN_BOOT, /**< issued here under another boot ID */
	PL_TICKET_FOREIGN_AGENT, /**< issued by another agent */
	PL_TICKET_FORGED, /**< malformed, or the MAC does not match */
	PL_TICKET_VERDICT_COUNT,
} pl_ticket_verdict_t;

/** Names of the values of @ref pl_ticket_verdict_t. */
extern const char *const pl_ticket_verdict_names[];

/**
 * Reads the issuer from an Echo value without checking the MAC; entries route
 * by the issuer. Returns false when the value does not have the format of a
 * ticket.
 */
bool pl_ticket_peek(const uint8_t *echo, size_t len, pl_member_id_t *agent);

/**
 * Digest of the request that a ticket is bound to: method, path, query,
 * Content-Format, Request-Tag and payload. Caller and service are not part of
 * the digest; the MAC covers them separately.
 */
uint64_t pl_ticket_digest(const pl_coap_msg_t *msg);

/**
 * Digest for a continuation ticket. A continuation ticket identifies a
 * block-wise transfer: it is sent with each block except the last, and the
 * caller returns it with the next block or block request (RFC 9175
 * section 2.3). It does not permit a request to run.
 */
uint64_t pl_ticket_continuation_digest(uint8_t method, const char *path,
				       const char *query);

/**
 * Derives the nonce for the request @p msg. The same datagram always gives
 * the same nonce, so a retransmission gets the same ticket as the first copy.
 */
uint64_t pl_ticket_nonce(const pl_key_t *key, const pl_flow_t *flow,
			 uint64_t boot, const pl_coap_msg_t *msg);

/** Encodes @p ticket, bound to @p flow and @p digest, into @p echo. */
void pl_ticket_issue(const pl_key_t *key, const pl_ticket_t *ticket,
		     const pl_flow_t *flow, uint64_t digest,
		     uint8_t echo[PL_TICKET_BYTES]);

/**
 * Checks an Echo value. @p own holds the checking agent, its boot ID and, in
 * @c issued_s, its current time. Fills @p ticket unless the result is
 * PL_TICKET_FORGED.
 */
pl_ticket_verdict_t pl_ticket_check(const pl_key_t *key, const pl_ticket_t *own,
				    const pl_flow_t *flow, uint64_t digest,
				    const uint8_t *echo, size_t len,
				    pl_ticket_t *ticket);

#endif
/** @} */
