/**
 * @file
 * Datagrams of the inner protocol: msgpack, then a code over it.
 */
#ifndef PIMENTOLIFT_PROTO_SEAL_H
#define PIMENTOLIFT_PROTO_SEAL_H

#include <assert.h>
#include <msgpack.h>
#include <pimentolift/hash.h>
#include <stddef.h>
#include <stdint.h>

/** Output buffer of fixed size; what does not fit is an error. */
typedef struct {
	uint8_t *buf;
	size_t cap;
	size_t len;
} pl_sealed_t;

/** A msgpack writer into a @ref pl_sealed_t. */
int pl_sealed_write(void *data, const char *bytes, size_t len);

/**
 * Appends the code; @p packed is what the last packing returned. Gives the
 * length of the whole, 0 when it did not fit.
 */
size_t pl_sealed_finish(pl_sealed_t *out, const pl_key_t *key, int packed);

/**
 * Checks the code of a datagram and unpacks it into @p object, which borrows
 * from @p buf and @p zone. The zone is cleared first.
 */
pl_result_t pl_sealed_open(const pl_key_t *key, msgpack_zone *zone,
			   const uint8_t *buf, size_t len,
			   msgpack_object *object);

#endif
