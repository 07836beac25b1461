/**
 * @file
 * @defgroup gossip Inner protocol: membership messages
 *
 * Codec of the membership datagrams and of the bodies of the two membership
 * frames.
 *
 * A datagram is a msgpack array [version, type, flags, sender, incarnation,
 * revision, sequence, target, records, digests, store generation, evacuations]
 * followed by a MAC of @ref PL_MAC_BYTES over the array with the key
 * PL_KEY_GOSSIP. The last two elements may be absent; a receiver ignores
 * elements beyond those it knows. "evacuations" is [generation, revision, data
 * centre...].
 *
 * A record is an array: [flags, id, incarnation] for a change of state. A full
 * record appends [boot, data centre, age, service, endpoint state, slots,
 * serving since], and a full record with names also appends [name, name of the
 * data centre]. "age" is the incarnation minus the start time, and "serving
 * since" is relative to the start time, so that both mostly take one byte.
 * @{
 */
#ifndef PIMENTOLIFT_GOSSIP_H
#define PIMENTOLIFT_GOSSIP_H

#include <pimentolift/evacuation.h>
#include <pimentolift/member.h>
#include <pimentolift/wire.h>

/** Most records in one datagram. */
#define PL_GOSSIP_RECORDS_MAX 40
/** Most data centres in one digest. */
#define PL_GOSSIP_DATACENTRES_MAX 15
/** Number of buckets that the records of a data centre are hashed into. */
#define PL_GOSSIP_BUCKETS 32

/** Type of a membership datagram. */
typedef enum {
	/** Requests an ACK with the same sequence. */
	PL_GOSSIP_PING = PL_WIRE_GOSSIP,
	PL_GOSSIP_ACK, /**< answer to a PING */
	PL_GOSSIP_PING_REQ, /**< asks the receiver to probe the target */
	PL_GOSSIP_INDIRECT_ACK, /**< the target of a PING_REQ answered */
	PL_GOSSIP_UPDATE, /**< carries records only */
	PL_GOSSIP_DIGEST, /**< one hash per data centre */
	PL_GOSSIP_BUCKET_DIGEST, /**< bucket hashes where hashes differ */
	PL_GOSSIP_TYPE_END,
} pl_gossip_type_t;

/** Flags of a membership datagram. */
typedef enum {
	/** The sender lacks the receiver's current record and requests it. */
	PL_GOSSIP_WANT_RECORD = 1,
	/** The sender lacks the receiver's name and requests it. */
	PL_GOSSIP_WANT_NAMES = 2,
	/** A joining sender requests a few members to pull the table from. */
	PL_GOSSIP_WANT_PEERS = 4,
	/** The sender is stopping; its record stays in the state LEFT. */
	PL_GOSSIP_LEAVING = 8,
} pl_gossip_flag_t;

/** Record of a member on the wire. */
typedef struct {
	pl_member_id_t id;
	uint64_t incarnation;
	pl_member_state_t state;
	pl_member_role_t role;
	bool full; /**< full record: the fields below are set */
	uint64_t boot;
	pl_datacentre_id_t datacentre;
	uint32_t started_s;
	pl_member_attr_t attr;
	const char *name; /**< not terminated; borrowed; NULL when absent */
	size_t name_len;
	const char *datacentre_name; /**< not terminated; NULL when absent */
	size_t datacentre_name_len;
} pl_gossip_record_t;

/** Digest of the records of one data centre. */
typedef struct {
	pl_datacentre_id_t datacentre;
	uint64_t hash; /**< of all its records; set in DIGEST */
	uint32_t buckets[PL_GOSSIP_BUCKETS]; /**< set in BUCKET_DIGEST */
} pl_gossip_digest_t;

/** A membership datagram. */
typedef struct {
	pl_gossip_type_t type;
	uint32_t flags; /**< set of @ref pl_gossip_flag_t */
	pl_member_id_t sender;
	uint64_t incarnation; /**< of the sender */
	uint64_t revision; /**< configuration revision of the sender */
	/** Highest generation of the store known to the sender; 0: not stated,
	 * to keep datagrams short. */
	uint64_t store_generation;
	uint32_t sequence;
	pl_member_id_t target; /**< in PING_REQ and INDIRECT_ACK, else 0 */
	/** Evacuations known to the sender; revision 0: not stated. */
	pl_evacuations_t evacuations;
	const pl_gossip_record_t *records;
	size_t record_count;
	const pl_gossip_digest_t *digests;
	size_t digest_count;
} pl_gossip_message_t;

/** Buckets of one data centre that a frame requests. */
typedef struct {
	pl_datacentre_id_t datacentre;
	uint32_t mask; /**< bit n stands for bucket n */
} pl_gossip_pull_t;

/**
 * Body of a frame. A PL_PEER_TABLE_PULL with a @c pull_count of 0 requests the
 * whole table and carries the record of the joining sender. Otherwise the pull
 * names buckets, the records list what the sender has in these buckets, and
 * the answer holds only the differences.
 */
typedef struct {
	const pl_gossip_pull_t *pulls;
	size_t pull_count;
	const pl_gossip_record_t *records;
	size_t record_count;
	bool last; /**< last PL_PEER_TABLE_PUSH of the answer */
} pl_gossip_frame_t;

typedef struct pl_gossip_decoder pl_gossip_decoder_t;

/** Encoded length of @p record in bytes. */
size_t pl_gossip_record_size(const pl_gossip_record_t *record);

/** Encodes @p message into @p buf; returns the length, 0 if it is too long. */
size_t pl_gossip_encode(const pl_key_t *key, const pl_gossip_message_t *message,
			uint8_t *buf, size_t cap);

/** Encodes the body of a frame; free it with g_free(). */
uint8_t *pl_gossip_encode_frame(const pl_gossip_frame_t *frame, size_t *len);

/** Creates a decoder; a decoder must not be shared between threads. */
pl_gossip_decoder_t *pl_gossip_decoder_new(const pl_key_t *key);
void pl_gossip_decoder_delete(pl_gossip_decoder_t *decoder);

/**
 * Decodes a datagram. @p message points into @p buf and the decoder, and is
 * valid until the next call. Returns PL_ERR_AUTH, PL_ERR_VERSION or
 * PL_ERR_MALFORMED on failure.
 */
pl_result_t pl_gossip_decode(pl_gossip_decoder_t *decoder, const uint8_t *buf,
			     size_t len, pl_gossip_message_t *message);

/**
 * Decodes the body of a frame, which has no MAC of its own. The result is
 * valid as long as that of pl_gossip_decode(). Returns PL_ERR_VERSION or
 * PL_ERR_MALFORMED on failure.
 */
pl_result_t pl_gossip_decode_frame(pl_gossip_decoder_t *decoder,
				   const uint8_t *body, size_t len,
				   pl_gossip_frame_t *frame);

#endif
/** @} */
