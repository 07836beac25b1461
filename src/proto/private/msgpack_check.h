/**
 * @file
 * Validation of msgpack data before msgpack-c unpacks it.
 */
#ifndef PIMENTOLIFT_BOUNDED_H
#define PIMENTOLIFT_BOUNDED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Whether each array, map and string in @p buf has a count that the bytes
 * after its header can hold. msgpack-c allocates memory for an array from the
 * count in its header, so that without this check a few bytes could make it
 * allocate gigabytes.
 */
bool pl_msgpack_bounded(const uint8_t *buf, size_t len);

#endif
