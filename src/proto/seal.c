/**
 * @file
 * Sealing and opening of datagrams.
 */
#include "private/seal.h"

#include "private/msgpack_check.h"

#include <pimentolift/wire.h>
#include <string.h>

int pl_sealed_write(void *data, const char *bytes, size_t len)
{
	pl_sealed_t *out = data;

	if (out->cap - out->len < len)
		return -1;
	if (len > 0)
		memcpy(out->buf + out->len, bytes, len);
	out->len += len;
	return 0;
}

size_t pl_sealed_finish(pl_sealed_t *out, const pl_key_t *key, int packed)
{
	if (packed != 0 || out->cap - out->len < PL_MAC_BYTES)
		return 0;
	pl_mac(key, out->buf, out->len, out->buf + out->len);
	return out->len + PL_MAC_BYTES;
}

pl_result_t pl_sealed_open(const pl_key_t *key, msgpack_zone *zone,
			   const uint8_t *buf, size_t len,
			   msgpack_object *object)
{
	uint8_t mac[PL_MAC_BYTES];
	size_t body_len;
	size_t offset = 0;

	if (len <= PL_MAC_BYTES || len > PL_WIRE_DATAGRAM_MAX)
		return PL_ERR_MALFORMED;
	body_len = len - PL_MAC_BYTES;
	pl_mac(key, buf, body_len, mac);
	if (!pl_mac_equal(mac, buf + body_len, PL_MAC_BYTES))
		return PL_ERR_AUTH;
	if (!pl_msgpack_counts_valid(buf, body_len))
		return PL_ERR_MALFORMED;
	msgpack_zone_clear(zone);
	if (msgpack_unpack((const char *)buf, body_len, &offset, zone,
			   object) != MSGPACK_UNPACK_SUCCESS ||
	    offset != body_len)
		return PL_ERR_MALFORMED;
	return PL_OK;
}
