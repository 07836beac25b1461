/**
 * @file
 * msgpack elements of addresses and integers.
 */
#include "private/element.h"

#include <string.h>

#define IPV4_BYTES 4
#define IPV6_BYTES 16
#define PORT_BYTES 2

void pl_element_pack_addr(msgpack_packer *packer, const pl_addr_t *addr)
{
	size_t ip_len = addr->family == PL_ADDR_IPV6 ? IPV6_BYTES : IPV4_BYTES;
	const uint8_t port[PORT_BYTES] = { (uint8_t)(addr->port >> 8),
					   (uint8_t)addr->port };

	msgpack_pack_bin(packer, ip_len + PORT_BYTES);
	msgpack_pack_bin_body(packer, addr->ip, ip_len);
	msgpack_pack_bin_body(packer, port, PORT_BYTES);
}

bool pl_element_get_addr(const msgpack_object *object, pl_addr_t *addr)
{
	const uint8_t *bytes;
	size_t ip_len;

	if (object->type != MSGPACK_OBJECT_BIN ||
	    (object->via.bin.size != IPV4_BYTES + PORT_BYTES &&
	     object->via.bin.size != IPV6_BYTES + PORT_BYTES))
		return false;
	bytes = (const uint8_t *)object->via.bin.ptr;
	ip_len = object->via.bin.size - PORT_BYTES;
	memset(addr, 0, sizeof(*addr));
	memcpy(addr->ip, bytes, ip_len);
	addr->port = (uint16_t)(bytes[ip_len] << 8 | bytes[ip_len + 1]);
	addr->family = ip_len == IPV4_BYTES ? PL_ADDR_IPV4 : PL_ADDR_IPV6;
	return true;
}

bool pl_element_get_uint(const msgpack_object *object, uint64_t max,
			 uint64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > max)
		return false;
	*value = object->via.u64;
	return true;
}
