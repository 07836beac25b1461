/**
 * @file
 * @defgroup gossip Inner protocol: membership messages
 *
 * Codec of the membership's datagrams and of the bodies of its two frames.
 * A datagram is a msgpack array [version, type, flags, sender, incarnation,
 * revision, sequence, target, records, digest] followed by a code of @ref PL_MAC_BYTES over it with the key PL_KEY_GOSSIP. A
 * receiver ignores elements past those it knows.
 *
 * A record is an array: [flags, id, incarnation] for a change of state,
 * and further [boot, data centre, age, service, endpoint state, slots,
 * serving since] for a whole one, and [name, data centre's
 * name] when names go along. "age" is incarnation minus start, "serving
 * since" is relative to the start, so that both are mostly one byte.
 * @{
 */
#ifndef PIMENTOLIFT_GOSSIP_H
#define PIMENTOLIFT_GOSSIP_H

#include <pimentolift/member.h>
#include <pimentolift/wire.h>

/** Records in one datagram. */
#define PL_GOSSIP_RECORDS_MAX 40
/** Data centres in one digest. */
#define PL_GOSSIP_DATACENTRES_MAX 15
/** Buckets that the records of one data centre are hashed into. */
#define PL_GOSSIP_BUCKETS 32

/** Type of a membership datagram. */
typedef enum {
	PL_GOSSIP_PING = PL_WIRE_GOSSIP, /**< wants an ACK with its sequence */
	PL_GOSSIP_ACK, /**< answer to a PING */
	PL_GOSSIP_PING_FOR, /**< wants the receiver to probe the target */
	PL_GOSSIP_ACK_FOR, /**< the target answered */
	PL_GOSSIP_UPDATE, /**< carries records only */
	PL_GOSSIP_DIGEST, /**< one hash for each data centre */
	PL_GOSSIP_BUCKET_DIGEST, /**< bucket hashes of differing ones */
	PL_GOSSIP_TYPE_END,
} pl_gossip_type_t;

/** Flags of a membership datagram. */
typedef enum {
	/** The receiver's record is missing or old: it shall send its own. */
	PL_GOSSIP_WANT_RECORD = 1,
	/** The receiver's name is missing: its record shall carry names. */
	PL_GOSSIP_WANT_NAMES = 2,
	/** A newcomer asks for a few members to pull the table from. */
	PL_GOSSIP_WANT_PEERS = 4,
	/** The sender has said that it stops, and means this life. */
	PL_GOSSIP_LEAVING = 8,
} pl_gossip_flag_t;

/** A member as it goes over the wire. */
typedef struct {
	pl_member_id_t id;
	uint64_t incarnation;
	pl_member_state_t state;
	pl_member_role_t role;
	bool whole; /**< the fields below hold */
	uint64_t boot;
	pl_datacentre_id_t datacentre;
	uint32_t started_s;
	pl_member_attr_t attr;
	const char *name; /**< not terminated; borrowed; NULL when absent */
	size_t name_len;
	const char *datacentre_name; /**< not terminated; NULL when absent */
	size_t datacentre_name_len;
} pl_gossip_record_t;

/** Hashes of one data centre. */
typedef struct {
	pl_datacentre_id_t datacentre;
	uint64_t hash; /**< of all its records; in DIGEST */
	uint32_t buckets[PL_GOSSIP_BUCKETS]; /**< in BUCKET_DIGEST */
} pl_gossip_digest_t;

/** A membership datagram. */
typedef struct {
	pl_gossip_type_t type;
	uint32_t flags; /**< of @ref pl_gossip_flag_t */
	pl_member_id_t sender;
	uint64_t incarnation; /**< of the sender */
	uint64_t revision; /**< configuration revision the sender holds */
	uint32_t sequence;
	pl_member_id_t target; /**< of PING_FOR and ACK_FOR, else 0 */
	const pl_gossip_record_t *records;
	size_t record_count;
	const pl_gossip_digest_t *digests;
	size_t digest_count;
} pl_gossip_message_t;

/** Buckets of one data centre that a frame asks for. */
typedef struct {
	pl_datacentre_id_t datacentre;
	uint32_t mask; /**< bit n stands for bucket n */
} pl_gossip_pull_t;

/**
 * Body of a frame. A PL_PEER_TABLE_PULL asks for the whole table when
 * @c pull_count is 0 and carries the newcomer's own record. Else it names
 * buckets, its records list what the sender has in them, and the answer
 * holds only what differs.
 */
typedef struct {
	const pl_gossip_pull_t *pulls;
	size_t pull_count;
	const pl_gossip_record_t *records;
	size_t record_count;
	bool last; /**< of a PL_PEER_TABLE_PUSH: nothing more follows */
} pl_gossip_frame_t;

typedef struct pl_gossip_decoder pl_gossip_decoder_t;

/** Length of @p record on the wire, in bytes. */
size_t pl_gossip_record_size(const pl_gossip_record_t *record);

/** Writes @p message into @p buf; returns its length, 0 when too long. */
size_t pl_gossip_encode(const pl_key_t *key, const pl_gossip_message_t *message,
			uint8_t *buf, size_t cap);

/** Writes the body of a frame; free it with g_free(). */
uint8_t *pl_gossip_encode_frame(const pl_gossip_frame_t *frame, size_t *len);

/** New decoder; one per thread. */
pl_gossip_decoder_t *pl_gossip_decoder_new(const pl_key_t *key);
void pl_gossip_decoder_delete(pl_gossip_decoder_t *decoder);

/**
 * Decodes a datagram. @p message borrows from @p buf and the decoder until
 * the next call. Returns PL_ERR_AUTH, PL_ERR_VERSION or PL_ERR_MALFORMED.
 */
pl_result_t pl_gossip_decode(pl_gossip_decoder_t *decoder, const uint8_t *buf,
			     size_t len, pl_gossip_message_t *message);

/** Decodes the body of a frame, as pl_gossip_decode() does. */
pl_result_t pl_gossip_decode_frame(pl_gossip_decoder_t *decoder,
				   const uint8_t *body, size_t len,
				   pl_gossip_frame_t *frame);

#endif
/** @} */
