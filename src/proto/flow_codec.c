/**
 * @file
 * msgpack codec of the messages about flows.
 */
#include <pimentolift/flow_codec.h>

#include "private/bounded.h"
#include "private/element.h"
#include "private/seal.h"

#include <glib.h>

#define FIELDS 17
#define ZONE_BYTES 2048

const char *const pl_flow_verdict_names[] = { "owned",	 "absent", "unsure",
					      "refused", "waits",  "ended" };
static_assert(G_N_ELEMENTS(pl_flow_verdict_names) == PL_FLOW_VERDICT_COUNT,
	      "a name for each verdict");

struct pl_flow_decoder {
	pl_key_t key;
	msgpack_zone zone;
};

static void pack_load_(msgpack_packer *packer, const pl_flow_load_t *load)
{
	msgpack_pack_uint32(packer, load->slots);
	msgpack_pack_uint32(packer, load->busy);
	msgpack_pack_uint32(packer, load->mean_busy);
}

size_t pl_flow_encode(const pl_key_t *key, const pl_flow_message_t *message,
		      uint8_t *buf, size_t cap)
{
	pl_sealed_t out = { .buf = buf, .cap = cap };
	const pl_flow_key_t *flow = &message->flow;
	msgpack_packer packer;
	int packed;

	msgpack_packer_init(&packer, &out, pl_sealed_write);
	msgpack_pack_array(&packer, FIELDS);
	msgpack_pack_uint8(&packer, PL_WIRE_VERSION);
	msgpack_pack_uint8(&packer, (uint8_t)(PL_WIRE_FLOW + message->type));
	msgpack_pack_uint64(&packer, message->sender);
	msgpack_pack_uint64(&packer, message->service);
	msgpack_pack_uint32(&packer, flow->caller_ip);
	msgpack_pack_uint16(&packer, flow->caller_port);
	msgpack_pack_uint32(&packer, flow->service_ip);
	msgpack_pack_uint16(&packer, flow->service_port);
	msgpack_pack_uint32(&packer, message->flags);
	msgpack_pack_uint32(&packer, message->ack);
	msgpack_pack_uint32(&packer, message->verdict);
	pack_load_(&packer, &message->load);
	msgpack_pack_uint32(&packer, message->due_ms);
	msgpack_pack_uint32(&packer, message->priority);
	msgpack_pack_bin(&packer, message->packet_len);
	packed = msgpack_pack_bin_body(&packer, message->packet,
				       message->packet_len);
	return pl_sealed_finish(&out, key, packed);
}

pl_flow_decoder_t *pl_flow_decoder_new(const pl_key_t *key)
{
	pl_flow_decoder_t *decoder = g_new0(pl_flow_decoder_t, 1);

	decoder->key = *key;
	if (!msgpack_zone_init(&decoder->zone, ZONE_BYTES))
		g_error("out of memory");
	return decoder;
}

void pl_flow_decoder_delete(pl_flow_decoder_t *decoder)
{
	if (!decoder)
		return;
	msgpack_zone_destroy(&decoder->zone);
	g_free(decoder);
}

static bool u32_(const msgpack_object *object, uint32_t *value)
{
	uint64_t wide;

	if (!pl_element_uint(object, UINT32_MAX, &wide))
		return false;
	*value = (uint32_t)wide;
	return true;
}

static bool u16_(const msgpack_object *object, uint16_t *value)
{
	uint64_t wide;

	if (!pl_element_uint(object, UINT16_MAX, &wide))
		return false;
	*value = (uint16_t)wide;
	return true;
}

static bool flow_(const msgpack_object *at, pl_flow_key_t *flow)
{
	return u32_(&at[0], &flow->caller_ip) &&
	       u16_(&at[1], &flow->caller_port) &&
	       u32_(&at[2], &flow->service_ip) &&
	       u16_(&at[3], &flow->service_port);
}

static bool fields_(const msgpack_object *at, pl_flow_message_t *message)
{
	uint64_t verdict;

	if (!pl_element_uint(&at[2], UINT64_MAX, &message->sender) ||
	    !pl_element_uint(&at[3], UINT64_MAX, &message->service) ||
	    !flow_(&at[4], &message->flow) || !u32_(&at[8], &message->flags) ||
	    !u32_(&at[9], &message->ack) ||
	    !pl_element_uint(&at[10], PL_FLOW_VERDICT_COUNT - 1, &verdict) ||
	    !u32_(&at[11], &message->load.slots) ||
	    !u32_(&at[12], &message->load.busy) ||
	    !u32_(&at[13], &message->load.mean_busy) ||
	    !u32_(&at[14], &message->due_ms) ||
	    !u32_(&at[15], &message->priority) ||
	    at[16].type != MSGPACK_OBJECT_BIN)
		return false;
	message->verdict = (pl_flow_verdict_t)verdict;
	message->packet = (const uint8_t *)at[16].via.bin.ptr;
	message->packet_len = at[16].via.bin.size;
	return message->packet_len <= PL_PACKET_MAX;
}

static pl_result_t read_(const msgpack_object *object,
			 pl_flow_message_t *message)
{
	const msgpack_object_array *array = &object->via.array;
	uint64_t version;
	uint64_t type;

	if (object->type != MSGPACK_OBJECT_ARRAY || array->size < 2 ||
	    !pl_element_uint(&array->ptr[0], UINT8_MAX, &version) ||
	    !pl_element_uint(&array->ptr[1], UINT8_MAX, &type))
		return PL_ERR_MALFORMED;
	if (version != PL_WIRE_VERSION || type <= PL_WIRE_FLOW ||
	    type >= PL_WIRE_FLOW + PL_FLOW_TYPE_END)
		return PL_ERR_VERSION;
	message->type = (pl_flow_type_t)(type - PL_WIRE_FLOW);
	if (array->size < FIELDS || !fields_(array->ptr, message))
		return PL_ERR_MALFORMED;
	return PL_OK;
}

pl_result_t pl_flow_decode(pl_flow_decoder_t *decoder, const uint8_t *buf,
			   size_t len, pl_flow_message_t *message)
{
	msgpack_object object;
	pl_result_t result = pl_sealed_open(&decoder->key, &decoder->zone, buf,
					    len, &object);

	return result == PL_OK ? read_(&object, message) : result;
}
