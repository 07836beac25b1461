/**
 * @file
 * msgpack codec of the datagrams between entries and agents.
 */
#include <pimentolift/wire.h>

#include "private/element.h"
#include "private/seal.h"

#include <assert.h>
#include <glib.h>
#include <msgpack.h>
#include <string.h>

#define FORWARD_FIELDS 10
#define REPLY_FIELDS 9
/** msgpack: arrays of up to 15 elements have the header 0x9n. */
#define FIXARRAY_MASK 0xf0
#define FIXARRAY 0x90
#define FIXINT_MAX 0x7f
/** Chunk size of the msgpack zone. */
#define ZONE_BYTES 2048

struct pl_wire_decoder {
	pl_key_t key;
	msgpack_zone zone;
};

static void pack_start_(msgpack_packer *packer, size_t fields,
			pl_wire_type_t type, const pl_flow_t *flow)
{
	msgpack_pack_array(packer, fields);
	msgpack_pack_uint8(packer, PL_WIRE_VERSION);
	msgpack_pack_uint8(packer, (uint8_t)type);
	pl_element_pack_addr(packer, &flow->caller);
	pl_element_pack_addr(packer, &flow->address);
	msgpack_pack_uint64(packer, flow->service);
}

static int pack_pdu_(msgpack_packer *packer, const uint8_t *pdu, size_t len)
{
	msgpack_pack_bin(packer, len);
	return msgpack_pack_bin_body(packer, pdu, len);
}

size_t pl_wire_encode_forward(const pl_key_t *key, const pl_forward_t *forward,
			      uint8_t *buf, size_t cap)
{
	pl_sealed_t out = { .buf = buf, .cap = cap };
	msgpack_packer packer;
	int packed;

	msgpack_packer_init(&packer, &out, pl_sealed_write);
	pack_start_(&packer, FORWARD_FIELDS, PL_WIRE_FORWARD, &forward->flow);
	msgpack_pack_uint64(&packer, forward->entry);
	msgpack_pack_uint64(&packer, forward->origin);
	msgpack_pack_uint64(&packer, forward->revision);
	msgpack_pack_uint8(&packer, forward->hops);
	packed = pack_pdu_(&packer, forward->pdu, forward->pdu_len);
	return pl_sealed_finish(&out, key, packed);
}

size_t pl_wire_encode_reply(const pl_key_t *key, const pl_reply_t *reply,
			    uint8_t *buf, size_t cap)
{
	pl_sealed_t out = { .buf = buf, .cap = cap };
	msgpack_packer packer;
	int packed;

	msgpack_packer_init(&packer, &out, pl_sealed_write);
	pack_start_(&packer, REPLY_FIELDS, PL_WIRE_REPLY, &reply->flow);
	msgpack_pack_uint64(&packer, reply->agent);
	msgpack_pack_uint32(&packer, reply->load_ms);
	msgpack_pack_uint64(&packer, reply->revision);
	packed = pack_pdu_(&packer, reply->pdu, reply->pdu_len);
	return pl_sealed_finish(&out, key, packed);
}

unsigned int pl_wire_peek_type(const uint8_t *buf, size_t len)
{
	if (len < 3 + PL_MAC_BYTES || (buf[0] & FIXARRAY_MASK) != FIXARRAY ||
	    buf[2] > FIXINT_MAX)
		return 0;
	return buf[2];
}

pl_wire_decoder_t *pl_wire_decoder_new(const pl_key_t *key)
{
	pl_wire_decoder_t *decoder = g_new0(pl_wire_decoder_t, 1);

	decoder->key = *key;
	if (!msgpack_zone_init(&decoder->zone, ZONE_BYTES))
		g_error("out of memory");
	return decoder;
}

void pl_wire_decoder_delete(pl_wire_decoder_t *decoder)
{
	if (!decoder)
		return;
	msgpack_zone_destroy(&decoder->zone);
	g_free(decoder);
}

static bool get_pdu_(const msgpack_object *object, const uint8_t **pdu,
		     size_t *len)
{
	if (object->type != MSGPACK_OBJECT_BIN)
		return false;
	*pdu = (const uint8_t *)object->via.bin.ptr;
	*len = object->via.bin.size;
	return true;
}

static bool get_flow_(const msgpack_object *fields, pl_flow_t *flow)
{
	return pl_element_get_addr(&fields[2], &flow->caller) &&
	       pl_element_get_addr(&fields[3], &flow->address) &&
	       pl_element_get_uint(&fields[4], UINT64_MAX, &flow->service);
}

static bool get_forward_(const msgpack_object_array *array,
			 pl_forward_t *forward)
{
	const msgpack_object *fields = array->ptr;
	uint64_t hops;

	if (array->size < FORWARD_FIELDS || !get_flow_(fields, &forward->flow))
		return false;
	if (!pl_element_get_uint(&fields[5], UINT64_MAX, &forward->entry) ||
	    !pl_element_get_uint(&fields[6], UINT64_MAX, &forward->origin) ||
	    !pl_element_get_uint(&fields[7], UINT64_MAX, &forward->revision) ||
	    !pl_element_get_uint(&fields[8], UINT8_MAX, &hops))
		return false;
	forward->hops = (uint8_t)hops;
	return get_pdu_(&fields[9], &forward->pdu, &forward->pdu_len);
}

static bool get_reply_(const msgpack_object_array *array, pl_reply_t *reply)
{
	const msgpack_object *fields = array->ptr;
	uint64_t load;

	if (array->size < REPLY_FIELDS || !get_flow_(fields, &reply->flow))
		return false;
	if (!pl_element_get_uint(&fields[5], UINT64_MAX, &reply->agent) ||
	    !pl_element_get_uint(&fields[6], UINT32_MAX, &load) ||
	    !pl_element_get_uint(&fields[7], UINT64_MAX, &reply->revision))
		return false;
	reply->load_ms = (uint32_t)load;
	return get_pdu_(&fields[8], &reply->pdu, &reply->pdu_len);
}

static pl_result_t read_message_(const msgpack_object *object,
				 pl_wire_message_t *message)
{
	const msgpack_object_array *array = &object->via.array;
	uint64_t version;
	uint64_t type;
	bool valid;

	if (object->type != MSGPACK_OBJECT_ARRAY || array->size < 2 ||
	    !pl_element_get_uint(&array->ptr[0], UINT8_MAX, &version) ||
	    !pl_element_get_uint(&array->ptr[1], UINT8_MAX, &type))
		return PL_ERR_MALFORMED;
	if (version != PL_WIRE_VERSION)
		return PL_ERR_VERSION;
	message->type = (pl_wire_type_t)type;
	if (type == PL_WIRE_FORWARD)
		valid = get_forward_(array, &message->forward);
	else if (type == PL_WIRE_REPLY)
		valid = get_reply_(array, &message->reply);
	else
		return PL_ERR_VERSION;
	return valid ? PL_OK : PL_ERR_MALFORMED;
}

pl_result_t pl_wire_decode(pl_wire_decoder_t *decoder, const uint8_t *buf,
			   size_t len, pl_wire_message_t *message)
{
	msgpack_object object;
	pl_result_t result = pl_sealed_open(&decoder->key, &decoder->zone, buf,
					    len, &object);

	return result == PL_OK ? read_message_(&object, message) : result;
}
