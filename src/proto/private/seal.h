/**
 * @file
 * Sealed datagrams of the inner protocol: a msgpack object followed by a
 * message authentication code (MAC) over it.
 */
#ifndef PIMENTOLIFT_PROTO_SEAL_H
#define PIMENTOLIFT_PROTO_SEAL_H

#include <assert.h>
#include <msgpack.h>
#include <pimentolift/hash.h>
#include <stddef.h>
#include <stdint.h>

/** Output buffer of fixed size; a write that does not fit fails. */
typedef struct {
	uint8_t *buf;
	size_t cap;
	size_t len;
} pl_sealed_t;

/** Write callback of a msgpack packer; @p data is a @ref pl_sealed_t. */
int pl_sealed_write(void *data, const char *bytes, size_t len);

/**
 * Appends the MAC; @p packed is the result of the last pack call. Returns the
 * length of the datagram, 0 if it did not fit.
 */
size_t pl_sealed_finish(pl_sealed_t *out, const pl_key_t *key, int packed);

/**
 * Verifies the MAC of a datagram and unpacks it into @p object, which refers to
 * @p buf and to memory of @p zone. The zone is cleared before unpacking.
 */
pl_result_t pl_sealed_open(const pl_key_t *key, msgpack_zone *zone,
			   const uint8_t *buf, size_t len,
			   msgpack_object *object);

#endif
