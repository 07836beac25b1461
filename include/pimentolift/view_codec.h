/**
 * @file
 * @defgroup view_codec Inner protocol: frames about open views
 *
 * Bodies of the frames PL_PEER_VIEW_*. All types share one layout, a msgpack
 * array [version, boot, service, offer, items]. The items are view records in
 * offer and copy frames, and ownership claims in accept, copied and forget
 * frames. A decoder ignores elements after the ones it knows, in the body and
 * in every item, so that later releases can append elements.
 *
 * - offer: the sender offers these views to the receiver and serves them until
 *   the offer is accepted
 * - accept: answers the offer with this number; the sender serves the listed
 *   views from now on
 * - copy: the sender serves these views; the receiver stores the records as
 *   replicas and recovers the views if the sender fails
 * - copied: acknowledges replicas of views whose registration the receiver of
 *   this frame has not answered yet
 * - forget: announces the owner of these views, or that they are closed; a
 *   non-zero offer number confirms that the acceptance of that offer arrived
 * @{
 */
#ifndef PIMENTOLIFT_VIEW_CODEC_H
#define PIMENTOLIFT_VIEW_CODEC_H

#include <glib.h>
#include <pimentolift/addr.h>
#include <pimentolift/coap_msg.h>
#include <pimentolift/peer.h>
#include <pimentolift/result.h>
#include <pimentolift/routing.h>

/** Version of the bodies that this release writes. */
#define PL_VIEW_CODEC_VERSION 1

/** Identifies a view by caller address and token; compared bytewise. */
typedef struct {
	pl_addr_t caller;
	uint8_t token_len;
	uint8_t token[PL_COAP_TOKEN_MAX];
	uint8_t padding; /**< explicit, so that all bytes are defined */
} pl_view_key_t;

/** Initialises a key; @p token_len is at most PL_COAP_TOKEN_MAX. */
void pl_view_key_set(pl_view_key_t *key, const pl_addr_t *caller,
		     const uint8_t *token, size_t token_len);

/** State of a view that another agent needs to continue serving it. */
typedef struct {
	pl_view_key_t key;
	pl_addr_t address; /**< service address that the caller sent to */
	const char *path;
	const char *query;
	int32_t accept; /**< -1 when absent */
	uint32_t sequence; /**< last Observe value sent */
	uint16_t mid; /**< last CoAP message ID sent to the caller */
	uint8_t szx; /**< block size exponent requested by the caller */
	bool pending; /**< the registration is not answered yet */
	uint64_t etag; /**< ETag of the content the caller has; 0: unknown */
	pl_member_id_t entry; /**< entry of the last datagram from the caller */
} pl_view_record_t;

/**
 * Ownership claim: the agent @c owner serves the view as of the Observe value
 * @c sequence. The claim with the newer Observe value is valid.
 */
typedef struct {
	pl_view_key_t key;
	pl_member_id_t owner; /**< 0 when the view is closed */
	uint32_t sequence;
	bool release; /**< the receiver may drop its replica */
} pl_view_claim_t;

/** Body of a frame; @c text owns the strings of decoded records. */
typedef struct {
	uint64_t boot; /**< identifies this run of the sending process */
	pl_service_id_t service;
	uint64_t offer; /**< number of the offer; 0: none */
	GArray *records; /**< of pl_view_record_t; in offer and copy frames */
	GArray *claims; /**< of pl_view_claim_t; in the other frames */
	GStringChunk *text;
} pl_view_message_t;

void pl_view_message_init(pl_view_message_t *message);
void pl_view_message_finish(pl_view_message_t *message);

/**
 * Encodes the body of a frame of @p type. Release the result with
 * g_byte_array_unref().
 */
GByteArray *pl_view_message_encode(const pl_view_message_t *message,
				   pl_peer_type_t type);

/**
 * Decodes a body of @p type into an initialised message. Returns PL_OK,
 * PL_ERR_VERSION or PL_ERR_MALFORMED.
 */
pl_result_t pl_view_message_decode(pl_view_message_t *message,
				   pl_peer_type_t type, const uint8_t *body,
				   size_t len);

#endif
/** @} */
