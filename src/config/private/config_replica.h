/**
 * @file
 * A member's copy of the document, with the revision at which each section
 * last changed and the services that were removed. From these, pushes are
 * built that carry only the sections a peer lacks.
 *
 * The revision recorded for a section may be later than that of the actual
 * change, because a member that skipped revisions records the change at the
 * next one it received. It is too early if a section changed and changed back
 * in skipped revisions. A delta that therefore lacks a section is detected by
 * the receiver, since the hash over the whole document does not match; the
 * receiver then pulls the whole document.
 */
#ifndef PL_CONFIG_REPLICA_H
#define PL_CONFIG_REPLICA_H

#include <pimentolift/config_codec.h>
#include <pimentolift/document.h>

/** Maximum number of removed services recorded. */
#define PL_CONFIG_REPLICA_REMOVALS_MAX 256

typedef struct pl_config_replica pl_config_replica_t;

pl_config_replica_t *pl_config_replica_new(void);
void pl_config_replica_delete(pl_config_replica_t *replica);

/** Revision held; 0 when there is no document. */
uint64_t pl_config_replica_revision(const pl_config_replica_t *replica);

/** The document held, borrowed, or NULL. */
pl_document_t *pl_config_replica_document(const pl_config_replica_t *replica);

/** Replaces the document by one whose revision is above the one held. */
void pl_config_replica_replace(pl_config_replica_t *replica,
			       pl_document_t *document);

/**
 * Applies a push of sections whose base is not above the revision held.
 * Returns PL_ERR_MALFORMED when a section cannot be decoded, PL_ERR_CONFLICT
 * when the resulting document does not have the hash in the push. On failure
 * the copy is unchanged.
 */
pl_result_t pl_config_replica_apply_push(pl_config_replica_t *replica,
					 const pl_config_push_t *push,
					 pl_error_t *err);

/** Encodes a push of what a member with revision @p have lacks. */
void pl_config_replica_encode_push(const pl_config_replica_t *replica,
				   uint64_t have, GByteArray *out);

#endif
