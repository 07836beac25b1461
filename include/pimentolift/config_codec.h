/**
 * @file
 * @defgroup config_codec Codec of configuration frames
 *
 * Bodies of the frames PL_PEER_CONFIG_PULL and PL_PEER_CONFIG_PUSH. A pull is
 * the msgpack array [have]. A push is [kind, revision, base, hash,
 * [[changed_at, section]...], [[name, removed_at]...]]; a section is the
 * canonical encoding of @ref document, passed on byte by byte. A receiver
 * ignores elements past those it knows.
 * @{
 */
#ifndef PIMENTOLIFT_CONFIG_CODEC_H
#define PIMENTOLIFT_CONFIG_CODEC_H

#include <glib.h>
#include <pimentolift/result.h>
#include <pimentolift/routing.h>
#include <stddef.h>
#include <stdint.h>

/** A pull that asks for the revision only. */
#define PL_CONFIG_HAVE_ASK UINT64_MAX

/** What a push says. */
typedef enum {
	PL_CONFIG_PUSH_OFFER = 0, /**< "I hold this revision" */
	PL_CONFIG_PUSH_BUSY = 1, /**< "ask another member" */
	PL_CONFIG_PUSH_SECTIONS = 2, /**< what changed since the base */
} pl_config_push_kind_t;

/** A section and the revision at which it last changed. */
typedef struct {
	uint64_t changed_at;
	const uint8_t *bytes;
	size_t len;
} pl_config_part_t;

/** A service that is gone, and the revision that took it out. */
typedef struct {
	char name[PL_NAME_MAX];
	uint64_t removed_at;
} pl_config_removal_t;

/** Body of a push. */
typedef struct {
	pl_config_push_kind_t kind;
	uint64_t revision;
	uint64_t base; /**< parts are what changed after it; 0: everything */
	uint64_t hash; /**< of the whole document */
	pl_config_part_t *parts; /**< their bytes are borrowed */
	size_t part_count;
	pl_config_removal_t *removals;
	size_t removal_count;
} pl_config_push_t;

/** Appends a pull to @p out; @p have is the revision held, 0 for none. */
void pl_config_encode_pull(uint64_t have, GByteArray *out);

pl_result_t pl_config_decode_pull(const uint8_t *body, size_t len,
				  uint64_t *have);

void pl_config_encode_push(const pl_config_push_t *push, GByteArray *out);

/**
 * Decodes into @p push, which borrows from @p body. The lengths inside the
 * sections are checked too, so that decoding one allocates no more than it
 * holds.
 */
pl_result_t pl_config_decode_push(const uint8_t *body, size_t len,
				  pl_config_push_t *push);

/** Frees the lists of a push. */
void pl_config_push_finish(pl_config_push_t *push);

#endif
/** @} */
