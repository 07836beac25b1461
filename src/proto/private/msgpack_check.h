/**
 * @file
 * Validation of msgpack data before msgpack-c unpacks it.
 */
#ifndef PIMENTOLIFT_MSGPACK_CHECK_H
#define PIMENTOLIFT_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Whether each array, map and string in @p buf has a count that the bytes
 * after its header can hold. msgpack-c allocates memory for an array from the
 * count in its header, so that without this check a few bytes could make it
 * allocate gigabytes.
 */
bool pl_msgpack_counts_valid(const uint8_t *buf, size_t len);

#endif
