/**
 * @file
 * @defgroup envelope The document as the platform holds it
 *
 * The value of the key `pimentolift/ENVIRONMENT/document` is a JSON object:
 * the TOML text byte by byte, its SHA-256, the revision that orders all
 * documents of the environment, who applied it, and a random operation
 * identity by which a writer recognises its own write. The identities of the
 * writes before it stand in `history`, newest first, so that a writer whose
 * answer was lost finds its write also when another one followed.
 * @{
 */
#ifndef PIMENTOLIFT_ENVELOPE_H
#define PIMENTOLIFT_ENVELOPE_H

#include <pimentolift/result.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Length of a printed operation identity, its terminator included. */
#define PL_OPERATION_TEXT_MAX 33
/** Length of a printed SHA-256, its terminator included. */
#define PL_SHA256_TEXT_MAX 65
/** Earlier operations that an envelope names. */
#define PL_ENVELOPE_HISTORY 16
/** Longest name of an author, its terminator included. */
#define PL_AUTHOR_MAX 128

/** A document with what the platform says about it. */
typedef struct {
	uint64_t revision;
	char operation[PL_OPERATION_TEXT_MAX];
	char author[PL_AUTHOR_MAX];
	char hash[PL_SHA256_TEXT_MAX]; /**< of @c text */
	char *text; /**< TOML; ends in a zero byte past its length */
	size_t text_len;
	char history[PL_ENVELOPE_HISTORY][PL_OPERATION_TEXT_MAX];
	size_t history_count;
} pl_envelope_t;

/** SHA-256 of @p len bytes in hexadecimal. */
void pl_envelope_hash(const char *text, size_t len,
		      char hash[PL_SHA256_TEXT_MAX]);

/**
 * Fills @p next for @p text as the successor of @p previous, NULL when there
 * is none, with a new operation identity.
 */
void pl_envelope_init(pl_envelope_t *next, const pl_envelope_t *previous,
		      const char *author, const char *text, size_t len);

/** JSON form; the caller frees it with free(). */
char *pl_envelope_encode(const pl_envelope_t *envelope);

/**
 * Reads the JSON form and checks the hash. PL_ERR_MALFORMED when it is not
 * an envelope; pl_envelope_finish() ends a valid one.
 */
pl_result_t pl_envelope_decode(const char *json, size_t len,
			       pl_envelope_t *envelope, pl_error_t *err);
void pl_envelope_finish(pl_envelope_t *envelope);

/** Whether the write @p operation is this one or one before it. */
bool pl_envelope_includes(const pl_envelope_t *envelope, const char *operation);

#endif
/** @} */
