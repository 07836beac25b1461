/**
 * @file
 * Check of msgpack data before the library reads it.
 */
#ifndef PIMENTOLIFT_BOUNDED_H
#define PIMENTOLIFT_BOUNDED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Whether no array, map or string in @p buf claims more than the bytes that
 * follow it could hold. msgpack-c allocates an array by the count it claims,
 * so a few bytes could otherwise ask for gigabytes.
 */
bool pl_msgpack_bounded(const uint8_t *buf, size_t len);

#endif
