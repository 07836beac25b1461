/**
 * @file
 * @defgroup config_codec Codec of configuration frames
 *
 * Bodies of the frames PL_PEER_CONFIG_PULL, PL_PEER_CONFIG_PUSH and
 * PL_PEER_CONFIG_HANDOVER. A pull is the msgpack array [have]. A push is [kind,
 * revision, base, hash, [[changed_revision, section]...], [[name,
 * removed_revision]...]]; a section is the canonical encoding of @ref document
 * and is relayed unchanged. A handover is [failed_calls, [[member,
 * age_ms]...]]. A receiver ignores trailing array elements that it does not
 * know.
 * @{
 */
#ifndef PIMENTOLIFT_CONFIG_CODEC_H
#define PIMENTOLIFT_CONFIG_CODEC_H

#include <glib.h>
#include <pimentolift/result.h>
#include <pimentolift/routing.h>
#include <stddef.h>
#include <stdint.h>

/** Value of @c have in a pull that requests only the revision held. */
#define PL_CONFIG_PULL_REVISION_ONLY UINT64_MAX

/** Kind of a push. */
typedef enum {
	PL_CONFIG_PUSH_OFFER = 0, /**< the sender holds this revision */
	PL_CONFIG_PUSH_BUSY = 1, /**< sender overloaded; pull elsewhere */
	PL_CONFIG_PUSH_SECTIONS = 2, /**< sections changed after the base */
} pl_config_push_kind_t;

/** A section and the revision at which it last changed. */
typedef struct {
	uint64_t changed_revision;
	const uint8_t *bytes;
	size_t len;
} pl_config_section_t;

/** A removed service and the revision that removed it. */
typedef struct {
	char name[PL_NAME_MAX];
	uint64_t removed_revision;
} pl_config_removal_t;

/** Body of a push, whose @c base says which sections it carries. */
typedef struct {
	pl_config_push_kind_t kind;
	uint64_t revision;
	uint64_t base; /**< only later changes are listed; 0: all sections */
	uint64_t hash; /**< of the whole document */
	pl_config_section_t *sections; /**< bytes are borrowed */
	size_t section_count;
	pl_config_removal_t *removals;
	size_t removal_count;
} pl_config_push_t;

/** Failures that a handover lists at most. */
#define PL_CONFIG_FAILURES_MAX 32

/** The last failed watch of a member. */
typedef struct {
	pl_member_id_t member;
	uint64_t age_ms;
} pl_config_failure_t;

/** Body of a handover: the sender no longer watches the store. */
typedef struct {
	uint64_t failed_calls; /**< in a row, also those of earlier watchers */
	pl_config_failure_t failures[PL_CONFIG_FAILURES_MAX];
	size_t count;
} pl_config_handover_t;

/**
 * Appends a pull to @p out; @p have is the revision held, 0 for none, or
 * @ref PL_CONFIG_PULL_REVISION_ONLY.
 */
void pl_config_encode_pull(uint64_t have, GByteArray *out);

pl_result_t pl_config_decode_pull(const uint8_t *body, size_t len,
				  uint64_t *have);

void pl_config_encode_push(const pl_config_push_t *push, GByteArray *out);

/**
 * Decodes into @p push, which borrows from @p body. The array and string
 * lengths inside the sections are checked too, so that decoding a section
 * cannot allocate more than its own size justifies.
 */
pl_result_t pl_config_decode_push(const uint8_t *body, size_t len,
				  pl_config_push_t *push);

void pl_config_encode_handover(const pl_config_handover_t *handover,
			       GByteArray *out);

/** Decodes a handover; failures past the first PL_CONFIG_FAILURES_MAX are
 * ignored. */
pl_result_t pl_config_decode_handover(const uint8_t *body, size_t len,
				      pl_config_handover_t *handover);

/** Frees the section and removal lists of a push. */
void pl_config_push_finish(pl_config_push_t *push);

#endif
/** @} */
