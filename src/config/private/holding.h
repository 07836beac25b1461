/**
 * @file
 * The document that a member holds, section by section, with the revision at
 * which each last changed and the services that were taken out. From it come
 * answers that carry only what a peer lacks.
 *
 * The revision kept for a section is at least the one at which it really
 * changed: a member that skipped revisions dates a change later. A section
 * that changed and changed back while the member skipped is dated too early;
 * then the hash over the whole document tells the receiver, which pulls
 * everything.
 */
#ifndef PL_CONFIG_HOLDING_H
#define PL_CONFIG_HOLDING_H

#include <pimentolift/config_codec.h>
#include <pimentolift/document.h>

/** Removed services that are remembered. */
#define PL_HOLDING_REMOVALS_MAX 256

typedef struct pl_holding pl_holding_t;

pl_holding_t *pl_holding_new(void);
void pl_holding_delete(pl_holding_t *holding);

/** Revision held; 0 while there is none. */
uint64_t pl_holding_revision(const pl_holding_t *holding);

/** The document, borrowed, or NULL. */
pl_document_t *pl_holding_document(const pl_holding_t *holding);

/** Takes a whole document, whose revision is above the one held. */
void pl_holding_take(pl_holding_t *holding, pl_document_t *document);

/**
 * Applies a push of sections whose base is not above the revision held.
 * PL_ERR_MALFORMED: a section is not one; PL_ERR_CONFLICT: the outcome has
 * not the hash of the push. Nothing changes on failure.
 */
pl_result_t pl_holding_apply(pl_holding_t *holding,
			     const pl_config_push_t *push, pl_error_t *err);

/** Encodes what a member that has revision @p have lacks. */
void pl_holding_encode(const pl_holding_t *holding, uint64_t have,
		       GByteArray *out);

#endif
