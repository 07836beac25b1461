/**
 * @file
 * @defgroup publish Writing the document to the key-value store
 *
 * Blocking calls for pimentoctl. A document is written by compare-and-swap, so
 * that one of two concurrent operators gets PL_ERR_CONFLICT. Each write has a
 * random operation identifier (@ref envelope). When the response to a write is
 * lost, the value is read back. If the envelope or its history contains the
 * identifier, the write took effect. If the value is unchanged, the same write
 * is sent again; the compare-and-swap lets it take effect only once.
 * @{
 */
#ifndef PIMENTOLIFT_PUBLISH_H
#define PIMENTOLIFT_PUBLISH_H

#include <pimentolift/envelope.h>
#include <pimentolift/kv.h>
#include <pimentolift/result.h>

/** Value of @c expect with which any revision may be replaced. */
#define PL_PUBLISH_ANY_REVISION UINT64_MAX
/** Default time to determine the outcome of a write, in milliseconds. */
#define PL_PUBLISH_TIMEOUT_MS 15000

/** Value of the document's key, as read from the store. */
typedef struct {
	uint64_t modify_index; /**< 0 when the key is absent or not known */
	uint64_t generation; /**< of the store that was read; 0: unknown */
	pl_envelope_t envelope; /**< empty when the key is absent */
} pl_stored_document_t;

/** Parameters of a write. */
typedef struct {
	const char *environment;
	const char *author;
	const char *text; /**< TOML, stored unchanged */
	size_t text_len;
	uint64_t expect; /**< revision to replace, or PL_PUBLISH_ANY_REVISION */
	/**
	 * The new revision is above this one too. Used after the platform lost
	 * its data, when members have a higher revision in force; 0 otherwise.
	 */
	uint64_t above;
	uint32_t timeout_ms; /**< 0: PL_PUBLISH_TIMEOUT_MS */
} pl_publish_params_t;

/**
 * Reads the document of @p environment, or returns PL_ERR_NOT_FOUND. The
 * caller frees @p stored with pl_stored_document_finish().
 */
pl_result_t pl_publish_read(pl_kv_t *platform, const char *environment,
			    pl_stored_document_t *stored, pl_error_t *err);

/**
 * Writes a document. On PL_OK @p stored holds the document with its new
 * revision, or with the present revision when the same text was stored
 * already. On PL_ERR_CONFLICT @p stored holds the value that another writer
 * stored. On PL_ERR_UNKNOWN_OUTCOME the error text contains the operation
 * identifier to look for. On any other result nothing was written.
 */
pl_result_t pl_publish_apply(pl_kv_t *platform,
			     const pl_publish_params_t *publish,
			     pl_stored_document_t *stored, pl_error_t *err);

/** Frees the contents of @p stored; does nothing when it is empty. */
void pl_stored_document_finish(pl_stored_document_t *stored);

#endif
/** @} */
