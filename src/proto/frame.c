/**
 * @file
 * msgpack codec of peer frames.
 */
#include <pimentolift/frame.h>
#include <pimentolift/wire.h>

#include "private/msgpack_check.h"

#include <msgpack.h>
#include <string.h>

#define FRAME_FIELDS 5
#define PACK_BYTES 256

void pl_frame_channel_init(pl_frame_channel_t *channel, const pl_key_t *key,
			   const uint8_t challenge[PL_FRAME_CHALLENGE_BYTES])
{
	channel->key = *key;
	memcpy(channel->challenge, challenge, PL_FRAME_CHALLENGE_BYTES);
	channel->sequence = 0;
}

/* Computes the MAC over the challenge followed by the array. */
static void compute_mac_(const pl_frame_channel_t *channel, const void *array,
			 size_t len, uint8_t mac[PL_MAC_BYTES])
{
	uint8_t *input = g_malloc(PL_FRAME_CHALLENGE_BYTES + len);

	memcpy(input, channel->challenge, PL_FRAME_CHALLENGE_BYTES);
	memcpy(input + PL_FRAME_CHALLENGE_BYTES, array, len);
	pl_mac(&channel->key, input, PL_FRAME_CHALLENGE_BYTES + len, mac);
	g_free(input);
}

static void put_length_(uint8_t bytes[PL_FRAME_LENGTH_BYTES], size_t len)
{
	bytes[0] = (uint8_t)(len >> 24);
	bytes[1] = (uint8_t)(len >> 16);
	bytes[2] = (uint8_t)(len >> 8);
	bytes[3] = (uint8_t)len;
}

static size_t get_length_(const uint8_t bytes[PL_FRAME_LENGTH_BYTES])
{
	return (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 |
	       (size_t)bytes[2] << 8 | bytes[3];
}

void pl_frame_encode(pl_frame_channel_t *channel, pl_member_id_t sender,
		     pl_peer_type_t type, const uint8_t *body, size_t body_len,
		     GByteArray *out)
{
	uint8_t length[PL_FRAME_LENGTH_BYTES];
	uint8_t mac[PL_MAC_BYTES];
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	g_assert(body_len <= PL_PEER_BODY_MAX);
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, FRAME_FIELDS);
	msgpack_pack_uint8(&packer, PL_WIRE_VERSION);
	msgpack_pack_uint8(&packer, (uint8_t)type);
	msgpack_pack_uint64(&packer, channel->sequence++);
	msgpack_pack_uint64(&packer, sender);
	msgpack_pack_bin(&packer, body_len);
	msgpack_pack_bin_body(&packer, body, body_len);
	compute_mac_(channel, buffer.data, buffer.size, mac);
	put_length_(length, buffer.size + PL_MAC_BYTES);
	g_byte_array_append(out, length, sizeof(length));
	g_byte_array_append(out, (const guint8 *)buffer.data,
			    (guint)buffer.size);
	g_byte_array_append(out, mac, sizeof(mac));
	msgpack_sbuffer_destroy(&buffer);
}

static bool is_uint_(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static pl_result_t read_frame_(pl_frame_channel_t *channel,
			       const msgpack_object *object,
			       pl_peer_frame_t *frame)
{
	const msgpack_object *fields = object->via.array.ptr;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < FRAME_FIELDS)
		return PL_ERR_MALFORMED;
	for (int i = 0; i < FRAME_FIELDS - 1; i++) {
		if (!is_uint_(&fields[i]))
			return PL_ERR_MALFORMED;
	}
	if (fields[4].type != MSGPACK_OBJECT_BIN)
		return PL_ERR_MALFORMED;
	if (fields[0].via.u64 != PL_WIRE_VERSION)
		return PL_ERR_VERSION;
	if (fields[2].via.u64 != channel->sequence)
		return PL_ERR_AUTH;
	channel->sequence++;
	frame->type = (pl_peer_type_t)fields[1].via.u64;
	frame->peer = fields[3].via.u64;
	frame->body = g_memdup2(fields[4].via.bin.ptr, fields[4].via.bin.size);
	frame->body_len = fields[4].via.bin.size;
	return PL_OK;
}

pl_result_t pl_frame_decode(pl_frame_channel_t *channel, const uint8_t *bytes,
			    size_t len, size_t *used, pl_peer_frame_t *frame)
{
	uint8_t mac[PL_MAC_BYTES];
	msgpack_unpacked unpacked;
	pl_result_t result = PL_ERR_MALFORMED;
	const uint8_t *array = bytes + PL_FRAME_LENGTH_BYTES;
	size_t total;
	size_t array_len;

	if (len < PL_FRAME_LENGTH_BYTES)
		return PL_ERR_TIMEOUT;
	total = get_length_(bytes);
	if (total <= PL_MAC_BYTES || total > PL_FRAME_MAX)
		return PL_ERR_MALFORMED;
	if (len < PL_FRAME_LENGTH_BYTES + total)
		return PL_ERR_TIMEOUT;
	array_len = total - PL_MAC_BYTES;
	compute_mac_(channel, array, array_len, mac);
	if (!pl_mac_equal(mac, array + array_len, PL_MAC_BYTES))
		return PL_ERR_AUTH;
	if (!pl_msgpack_counts_valid(array, array_len))
		return PL_ERR_MALFORMED;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)array, array_len,
				NULL) == MSGPACK_UNPACK_SUCCESS)
		result = read_frame_(channel, &unpacked.data, frame);
	msgpack_unpacked_destroy(&unpacked);
	*used = PL_FRAME_LENGTH_BYTES + total;
	return result;
}
