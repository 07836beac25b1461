/**
 * @file
 * @defgroup result Result codes and errors
 *
 * Every fallible function returns a @ref pl_result_t and takes a
 * @ref pl_error_t that it fills in on failure. The numbers are stable; they
 * stand in docs/RESULTS.md and are the exit codes of `pimentoctl`.
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

/** Length of an error text, its terminator included, in bytes. */
#define PL_ERROR_TEXT_MAX 512

/**
 * All result codes: identifier, number, name, meaning. docs/RESULTS.md holds
 * the same table and a test compares the two.
 */
#define PL_RESULT_TABLE(X)                                                    \
	X(PL_OK, 0, "ok", "success")                                          \
	X(PL_ERR_USAGE, 1, "usage", "the command line is wrong")              \
	X(PL_ERR_CONFIG, 2, "config", "settings or document are not valid")   \
	X(PL_ERR_CONFLICT, 3, "conflict", "somebody else changed it first")   \
	X(PL_ERR_UNAVAILABLE, 4, "unavailable", "a peer or store is down")    \
	X(PL_ERR_UNKNOWN_OUTCOME, 5, "unknown-outcome",                       \
	  "the outcome of a write could not be settled")                      \
	X(PL_ERR_IO, 6, "io", "a file or socket operation failed")            \
	X(PL_ERR_NOT_FOUND, 7, "not-found", "the named thing does not exist") \
	X(PL_ERR_MALFORMED, 8, "malformed", "a message could not be decoded") \
	X(PL_ERR_AUTH, 9, "auth", "a message failed authentication")          \
	X(PL_ERR_VERSION, 10, "version", "protocol version is not supported") \
	X(PL_ERR_LIMIT, 11, "limit", "a configured limit was reached")        \
	X(PL_ERR_TIMEOUT, 12, "timeout", "no answer within the deadline")     \
	X(PL_ERR_STATE, 13, "state", "not allowed in the present state")      \
	X(PL_ERR_INTERNAL, 14, "internal", "an internal invariant was broken")

/** Result of a fallible function. */
typedef enum {
#define PL_RESULT_ENUM_(id, number, name, meaning) id = (number),
	PL_RESULT_TABLE(PL_RESULT_ENUM_)
#undef PL_RESULT_ENUM_
} pl_result_t;

/** A failure with the text shown to a person. */
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

/** Short name of a result, for example "conflict". */
const char *pl_result_name(pl_result_t result);

/** Meaning of a result in one sentence. */
const char *pl_result_meaning(pl_result_t result);

/**
 * Fills @p err and returns @p code, so that a caller can write
 * `return pl_error_set(err, PL_ERR_IO, ...)`. @p err may be NULL.
 */
pl_result_t pl_error_set(pl_error_t *err, pl_result_t code, const char *format,
			 ...) __attribute__((format(printf, 3, 4)));

#endif
/** @} */
