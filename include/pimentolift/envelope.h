/**
 * @file
 * @defgroup envelope Stored form of the configuration document
 *
 * The value of the key `pimentolift/ENVIRONMENT/document` is a JSON object
 * with the unchanged TOML text, its SHA-256, the revision that orders all
 * documents of the environment, the author, and a random operation identifier
 * by which a writer recognises its own write. `history` lists the operation
 * identifiers of earlier writes, newest first, so that a writer whose response
 * was lost finds its write even after a later write replaced the value.
 * `generation` is that of the store (@ref kv) when the document was written.
 * @{
 */
#ifndef PIMENTOLIFT_ENVELOPE_H
#define PIMENTOLIFT_ENVELOPE_H

#include <pimentolift/result.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Size of an operation identifier in hexadecimal, including the final NUL. */
#define PL_OPERATION_TEXT_MAX 33
/** Size of a SHA-256 in hexadecimal, including the final NUL. */
#define PL_SHA256_TEXT_MAX 65
/** Maximum number of earlier operations listed in an envelope. */
#define PL_ENVELOPE_HISTORY 16
/** Maximum size of an author's name, including the final NUL. */
#define PL_AUTHOR_MAX 128

/** A document with its metadata, as stored on the platform. */
typedef struct {
	uint64_t revision;
	uint64_t generation; /**< of the store; 0: not known */
	char operation[PL_OPERATION_TEXT_MAX];
	char author[PL_AUTHOR_MAX];
	char hash[PL_SHA256_TEXT_MAX]; /**< SHA-256 of @c text */
	char *text; /**< TOML, followed by a NUL not counted in the length */
	size_t text_len;
	char history[PL_ENVELOPE_HISTORY][PL_OPERATION_TEXT_MAX];
	size_t history_count;
} pl_envelope_t;

/** SHA-256 of @p len bytes in hexadecimal. */
void pl_envelope_hash(const char *text, size_t len,
		      char hash[PL_SHA256_TEXT_MAX]);

/**
 * Fills @p next with @p text as the successor of @p previous, or as revision
 * 1 when @p previous is NULL, and generates its operation identifier.
 */
void pl_envelope_init(pl_envelope_t *next, const pl_envelope_t *previous,
		      const char *author, const char *text, size_t len);

/** Encodes as JSON; the caller frees the text with free(). */
char *pl_envelope_encode(const pl_envelope_t *envelope);

/**
 * Decodes the JSON form and verifies the hash. Returns PL_ERR_MALFORMED when
 * either is invalid. The caller frees a decoded envelope with
 * pl_envelope_finish().
 */
pl_result_t pl_envelope_decode(const char *json, size_t len,
			       pl_envelope_t *envelope, pl_error_t *err);
void pl_envelope_finish(pl_envelope_t *envelope);

/** Whether @p operation wrote this envelope or is listed in its history. */
bool pl_envelope_includes(const pl_envelope_t *envelope, const char *operation);

#endif
/** @} */
