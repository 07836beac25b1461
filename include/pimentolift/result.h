/**
 * @file
 * @defgroup result Result codes and errors
 *
 * Functions that can fail return a @ref pl_result_t; many also take a
 * @ref pl_error_t, which they fill in on failure. The numbers are stable: they
 * are the exit codes of `pimentoctl` and are documented in docs/RESULTS.md.
 *
 * @code
 * pl_error_t err = PL_ERROR_INIT;
 *
 * if (pl_settings_load(path, &settings, &err) != PL_OK)
 *	fprintf(stderr, "%s\n", err.text);
 * @endcode
 * @{
 */
#ifndef PIMENTOLIFT_RESULT_H
#define PIMENTOLIFT_RESULT_H

#include <stddef.h>

/** Size of an error text, terminating NUL included, in bytes. */
#define PL_ERROR_TEXT_MAX 512

/**
 * All result codes: identifier, number, name, meaning. A test compares this
 * table with the one in docs/RESULTS.md.
 */
#define PL_RESULT_TABLE(X)                                                     \
	X(PL_OK, 0, "ok", "success")                                           \
	X(PL_ERR_USAGE, 1, "usage", "the command line is wrong")               \
	X(PL_ERR_CONFIG, 2, "config",                                          \
	  "the settings or the document are invalid")                          \
	X(PL_ERR_CONFLICT, 3, "conflict", "another writer changed it first")   \
	X(PL_ERR_UNAVAILABLE, 4, "unavailable",                                \
	  "a peer or the store is unavailable")                                \
	X(PL_ERR_UNKNOWN_OUTCOME, 5, "unknown-outcome",                        \
	  "the outcome of a write could not be determined")                    \
	X(PL_ERR_IO, 6, "io", "a file or socket operation failed")             \
	X(PL_ERR_NOT_FOUND, 7, "not-found", "the named object does not exist") \
	X(PL_ERR_MALFORMED, 8, "malformed", "a message could not be decoded")  \
	X(PL_ERR_AUTH, 9, "auth", "a message failed authentication")           \
	X(PL_ERR_VERSION, 10, "version",                                       \
	  "the protocol version is not supported")                             \
	X(PL_ERR_LIMIT, 11, "limit", "a configured limit was reached")         \
	X(PL_ERR_TIMEOUT, 12, "timeout", "no answer within the deadline")      \
	X(PL_ERR_STATE, 13, "state", "not allowed in the current state")       \
	X(PL_ERR_INTERNAL, 14, "internal", "an internal invariant was violated")

/** Result code of a function that can fail. */
typedef enum {
#define PL_RESULT_ENUM_(id, number, name, meaning) id = (number),
	PL_RESULT_TABLE(PL_RESULT_ENUM_)
#undef PL_RESULT_ENUM_
} pl_result_t;

/** Failure: a result code and a text for the user. */
typedef struct {
	pl_result_t code;
	char text[PL_ERROR_TEXT_MAX];
} pl_error_t;

#define PL_ERROR_INIT     \
	{                 \
		PL_OK,    \
		{         \
			0 \
		}         \
	}

/** Short name of a result code, for example "conflict". */
const char *pl_result_name(pl_result_t result);

/** Meaning of a result code as a short text. */
const char *pl_result_meaning(pl_result_t result);

/**
 * Fills in @p err, which may be NULL, and returns @p code, so that a failing
 * function can end with `return pl_error_set(err, PL_ERR_IO, ...)`.
 */
pl_result_t pl_error_set(pl_error_t *err, pl_result_t code, const char *format,
			 ...) __attribute__((format(printf, 3, 4)));

#endif
/** @} */
