/**
 * @file
 * @defgroup view_codec Inner protocol: frames about open views
 *
 * Bodies of the frames PL_PEER_VIEW_*. All four have one layout, a msgpack
 * array [version, boot, service, offer, items]: records of views in an offer
 * and in a copy, places of views in an acceptance and in a forget. A decoder
 * ignores elements past those it knows, in the body and in every item, so
 * that a later release may append.
 *
 * - offer: the sender hands these views over; it serves them until accepted
 * - accept: the sender serves these views now, of the offer with this number
 * - copy: the sender serves these views; keep their records in case it fails
 * - copied: the sender keeps the copies of these views, whose registration
 *   the receiver has not answered yet
 * - forget: these views live at the place named, or nowhere; with the number
 *   of an offer, the sender heard that it was accepted
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

/** What names a view: the caller and its token; compared as bytes. */
typedef struct {
	pl_addr_t caller;
	uint8_t token_len;
	uint8_t token[PL_COAP_TOKEN_MAX];
	uint8_t zero; /**< fills the last byte */
} pl_view_key_t;

/** Sets a key; @p token_len is at most PL_COAP_TOKEN_MAX. */
void pl_view_key_set(pl_view_key_t *key, const pl_addr_t *caller,
		     const uint8_t *token, size_t token_len);

/** All that another agent needs to go on with a view. */
typedef struct {
	pl_view_key_t key;
	pl_addr_t address; /**< service address that the caller sent to */
	const char *path;
	const char *query;
	int32_t accept; /**< -1 when absent */
	uint32_t sequence; /**< last Observe value sent */
	uint16_t mid; /**< last message ID sent to the caller */
	uint8_t szx; /**< block size that the caller asked for */
	bool pending; /**< the registration is not answered */
	uint64_t etag; /**< of the content that the caller has; 0 unknown */
	pl_member_id_t entry; /**< through which the caller was last heard */
} pl_view_record_t;

/** Who serves a view, and how far its Observe value is. */
typedef struct {
	pl_view_key_t key;
	pl_member_id_t owner; /**< 0 when the view is closed */
	uint32_t sequence;
	bool release; /**< the receiver need not keep its copy */
} pl_view_place_t;

/** Body of a frame; the records' text belongs to @c text. */
typedef struct {
	uint64_t boot; /**< life of the sender */
	pl_service_id_t service;
	uint64_t offer; /**< number of the offer, or 0 */
	GArray *records; /**< pl_view_record_t: offer and copy */
	GArray *places; /**< pl_view_place_t: accept and forget */
	GStringChunk *text;
} pl_view_message_t;

void pl_view_message_init(pl_view_message_t *message);
void pl_view_message_finish(pl_view_message_t *message);

/** Encodes the body of a frame of @p type; free it with g_byte_array_unref. */
GByteArray *pl_view_message_encode(const pl_view_message_t *message,
				   pl_peer_type_t type);

/**
 * Decodes a body of @p type into an initialised message. Returns
 * PL_ERR_VERSION or PL_ERR_MALFORMED.
 */
pl_result_t pl_view_message_decode(pl_view_message_t *message,
				   pl_peer_type_t type, const uint8_t *body,
				   size_t len);

#endif
/** @} */
