/**
 * @file
 * @defgroup problem Errors in a settings file or document
 *
 * A parser reports every error in one pass. Each problem names the file, the
 * line and the key in a format from which editors can jump to the line:
 * `entry.toml:7: traffic_threads: 65 is not from 1 to 64`.
 * @{
 */
#ifndef PIMENTOLIFT_PROBLEM_H
#define PIMENTOLIFT_PROBLEM_H

#include <stddef.h>

typedef struct pl_problems pl_problems_t;

/** New empty list; each problem is prefixed with the name @p file. */
pl_problems_t *pl_problems_new(const char *file);
void pl_problems_delete(pl_problems_t *problems);

/** Adds `file:line: key: message`; line 0 and an empty key are omitted. */
void pl_problems_add(pl_problems_t *problems, unsigned int line,
		     const char *key, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

size_t pl_problems_count(const pl_problems_t *problems);

/** The problem at @p index, without a trailing newline. */
const char *pl_problems_at(const pl_problems_t *problems, size_t index);

/** All problems, one per line; owned by @p problems. */
const char *pl_problems_text(const pl_problems_t *problems);

#endif
/** @} */
