/**
 * @file
 * @defgroup publish Writing the document to the platform
 *
 * Blocking calls for pimentoctl. A document is written by compare-and-swap,
 * so of two operators at once one gets PL_ERR_CONFLICT. When the answer to
 * the write is lost, the value is read back: if it names the operation, or
 * names it among those before it, the write took effect; if nothing changed,
 * the same write is sent again, which can take effect only once.
 * @{
 */
#ifndef PIMENTOLIFT_PUBLISH_H
#define PIMENTOLIFT_PUBLISH_H

#include <pimentolift/envelope.h>
#include <pimentolift/kv.h>
#include <pimentolift/result.h>

/** Any revision may be replaced. */
#define PL_PUBLISH_ANY UINT64_MAX
/** Time given to settle a write, in milliseconds, unless set. */
#define PL_PUBLISH_PATIENCE_MS 15000

/** Value of the document's key. */
typedef struct {
	uint64_t modify_index; /**< 0 when there is none, or not known */
	pl_envelope_t envelope; /**< empty when there is none */
} pl_stored_t;

/** What is to be written. */
typedef struct {
	const char *environment;
	const char *author;
	const char *text; /**< TOML, written byte by byte */
	size_t text_len;
	uint64_t expect; /**< revision to be replaced, or PL_PUBLISH_ANY */
	/**
	 * The new revision is above this one too; for a store that lost what
	 * was in force. 0 otherwise.
	 */
	uint64_t above;
	uint32_t patience_ms; /**< 0 for PL_PUBLISH_PATIENCE_MS */
} pl_publish_t;

/**
 * Reads the document of @p environment. PL_ERR_NOT_FOUND when there is none;
 * pl_stored_finish() ends what was read.
 */
pl_result_t pl_publish_read(pl_kv_t *platform, const char *environment,
			    pl_stored_t *stored, pl_error_t *err);

/**
 * Writes a document. On PL_OK @p stored holds it, under its new revision, or
 * under the old one when the bytes are those that are stored already. On
 * PL_ERR_CONFLICT @p stored is what somebody else wrote. On
 * PL_ERR_UNKNOWN_OUTCOME the text names the operation to look for. On any
 * other result nothing was written.
 */
pl_result_t pl_publish_apply(pl_kv_t *platform, const pl_publish_t *publish,
			     pl_stored_t *stored, pl_error_t *err);

/** Frees what @p stored holds; harmless on an empty one. */
void pl_stored_finish(pl_stored_t *stored);

#endif
/** @} */
