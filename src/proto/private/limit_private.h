/** @file Check of a msgpack message before the library unpacks it. */
#ifndef PL_LIMIT_PRIVATE_H
#define PL_LIMIT_PRIVATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Whether every array and map in @p buf is short enough to stand in it. The
 * library allocates as many elements as a header names before it reads them,
 * so a few damaged bytes could ask for 128 GB.
 */
bool pl_limit_check_(const uint8_t *buf, size_t len);

#endif
