/**
 * @file
 * msgpack elements that several codecs of the inner protocol share.
 */
#ifndef PIMENTOLIFT_PROTO_ELEMENT_H
#define PIMENTOLIFT_PROTO_ELEMENT_H

#include <msgpack.h>
#include <pimentolift/addr.h>
#include <stdbool.h>
#include <stdint.h>

/** Packs an address: 4 or 16 bytes and the port in network order. */
void pl_element_pack_addr(msgpack_packer *packer, const pl_addr_t *addr);

/** Reads an address; false when @p object is not one. */
bool pl_element_addr(const msgpack_object *object, pl_addr_t *addr);

/** Reads an unsigned number up to @p max. */
bool pl_element_uint(const msgpack_object *object, uint64_t max,
		     uint64_t *value);

#endif
