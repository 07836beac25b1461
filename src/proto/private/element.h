/**
 * @file
 * msgpack elements that several codecs of the inner protocol use.
 */
#ifndef PIMENTOLIFT_PROTO_ELEMENT_H
#define PIMENTOLIFT_PROTO_ELEMENT_H

#include <msgpack.h>
#include <pimentolift/addr.h>
#include <stdbool.h>
#include <stdint.h>

/** Packs an address: 4 or 16 bytes of IP, then the port in big-endian order. */
void pl_element_pack_addr(msgpack_packer *packer, const pl_addr_t *addr);

/** Reads an address; false if @p object is not an address. */
bool pl_element_get_addr(const msgpack_object *object, pl_addr_t *addr);

/** Reads an unsigned integer; false unless it is one of at most @p max. */
bool pl_element_get_uint(const msgpack_object *object, uint64_t max,
			 uint64_t *value);

#endif
