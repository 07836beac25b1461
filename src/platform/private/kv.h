/**
 * @file
 * Body of a read's answer: a JSON array with one object.
 */
#ifndef PL_PLATFORM_KV_H
#define PL_PLATFORM_KV_H

#include <glib.h>
#include <pimentolift/result.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Decodes the body of a read. @p value is allocated with g_malloc(), with a
 * zero byte past its length. Returns PL_ERR_MALFORMED for anything else.
 */
pl_result_t pl_kv_decode(const char *body, size_t len, char **value,
			 size_t *value_len, uint64_t *modify_index);

#endif
