/**
 * @file
 * msgpack codec of the flow messages.
 */
#include <pimentolift/flow_codec.h>

#include "private/msgpack_check.h"
#include "private/element.h"
#include "private/seal.h"

#include <assert.h>
#include <glib.h>

/** Elements of every message. */
#define FIELDS 18
/** Elements after those, of a message to an agent and of one with a load. */
#define FORWARD_FIELDS 1
#define LOAD_FIELDS 4
/** Elements after those, which the releases before health lack. */
#define HEALTH_FIELDS 1
/** Elements per service address. */
#define ADDRESS_FIELDS 2
/** Elements per item. */
#define ITEM_FIELDS 5
/** Chunk size of the msgpack zone. */
#define ZONE_BYTES 2048

const char *const pl_flow_verdict_names[] = { "owned",	 "absent",   "unsure",
					      "refused", "reserved", "ended" };
static_assert(G_N_ELEMENTS(pl_flow_verdict_names) == PL_FLOW_VERDICT_COUNT,
	      "a name for each verdict");

struct pl_flow_decoder {
	pl_key_t key;
	msgpack_zone zone;
	pl_flow_item_t items[PL_FLOW_ITEMS_MAX];
};

static void pack_flow_(msgpack_packer *packer, const pl_flow_key_t *flow)
{
	msgpack_pack_uint32(packer, flow->caller_ip);
	msgpack_pack_uint16(packer, flow->caller_port);
	msgpack_pack_uint32(packer, flow->service_ip);
	msgpack_pack_uint16(packer, flow->service_port);
}

/* Distinct service addresses of the items. Each is encoded once per message,
 * since thousands of flows share a few addresses. */
typedef struct {
	size_t count;
	const pl_flow_key_t *flows[PL_FLOW_ITEMS_MAX];
	size_t of_item[PL_FLOW_ITEMS_MAX]; /* index in flows for each item */
} addresses_t;

static bool same_address_(const pl_flow_key_t *a, const pl_flow_key_t *b)
{
	return a->service_ip == b->service_ip &&
	       a->service_port == b->service_port;
}

static void collect_addresses_(addresses_t *addresses,
			       const pl_flow_item_t *items, size_t count)
{
	addresses->count = 0;
	for (size_t i = 0; i < count; i++) {
		size_t k = 0;

		while (k < addresses->count &&
		       !same_address_(addresses->flows[k], &items[i].flow))
			k++;
		if (k == addresses->count)
			addresses->flows[addresses->count++] = &items[i].flow;
		addresses->of_item[i] = k;
	}
}

static void pack_items_(msgpack_packer *packer, const pl_flow_item_t *items,
			size_t count)
{
	addresses_t addresses;

	assert(count <= PL_FLOW_ITEMS_MAX);
	collect_addresses_(&addresses, items, count);
	msgpack_pack_array(packer, addresses.count * ADDRESS_FIELDS);
	for (size_t i = 0; i < addresses.count; i++) {
		msgpack_pack_uint32(packer, addresses.flows[i]->service_ip);
		msgpack_pack_uint16(packer, addresses.flows[i]->service_port);
	}
	msgpack_pack_array(packer, count * ITEM_FIELDS);
	for (size_t i = 0; i < count; i++) {
		msgpack_pack_uint32(packer, items[i].flow.caller_ip);
		msgpack_pack_uint16(packer, items[i].flow.caller_port);
		msgpack_pack_uint64(packer, addresses.of_item[i]);
		msgpack_pack_uint32(packer, items[i].ack);
		msgpack_pack_uint32(packer, items[i].verdict);
	}
}

static void pack_load_(msgpack_packer *packer, const pl_endpoint_load_t *load)
{
	msgpack_pack_uint32(packer, load->slots);
	msgpack_pack_uint32(packer, load->busy);
	msgpack_pack_uint32(packer, load->mean_busy);
}

static bool carries_load_(pl_flow_type_t type)
{
	return type == PL_FLOW_VERDICT || type == PL_FLOW_LOAD ||
	       type == PL_FLOW_LOCATED;
}

static size_t extra_fields_(pl_flow_type_t type)
{
	if (type == PL_FLOW_FORWARD)
		return FORWARD_FIELDS;
	return carries_load_(type) ? LOAD_FIELDS + HEALTH_FIELDS : 0;
}

/* Packs the elements that only messages of this type have; returns the result
 * of the last pack call, @p packed if there is none. */
static int pack_extra_(msgpack_packer *packer, const pl_flow_message_t *message,
		       int packed)
{
	if (message->type == PL_FLOW_FORWARD)
		return msgpack_pack_uint32(packer, message->timeout_ms);
	if (!carries_load_(message->type))
		return packed;
	msgpack_pack_uint32(packer, message->load.limit);
	msgpack_pack_uint32(packer, message->load.request_ms);
	msgpack_pack_uint32(packer, message->load.waiting);
	msgpack_pack_uint32(packer, message->reason);
	return msgpack_pack_uint32(packer, message->load.health);
}

size_t pl_flow_encode(const pl_key_t *key, const pl_flow_message_t *message,
		      uint8_t *buf, size_t cap)
{
	pl_sealed_t out = { .buf = buf, .cap = cap };
	msgpack_packer packer;
	int packed;

	msgpack_packer_init(&packer, &out, pl_sealed_write);
	msgpack_pack_array(&packer, FIELDS + extra_fields_(message->type));
	msgpack_pack_uint8(&packer, PL_WIRE_VERSION);
	msgpack_pack_uint8(&packer, (uint8_t)(PL_WIRE_FLOW + message->type));
	msgpack_pack_uint64(&packer, message->sender);
	msgpack_pack_uint64(&packer, message->service);
	pack_flow_(&packer, &message->flow);
	msgpack_pack_uint32(&packer, message->flags);
	msgpack_pack_uint32(&packer, message->verdict);
	pack_load_(&packer, &message->load);
	msgpack_pack_uint32(&packer, message->due_ms);
	msgpack_pack_uint32(&packer, message->priority);
	pack_items_(&packer, message->items, message->item_count);
	msgpack_pack_bin(&packer, message->packet_len);
	packed = msgpack_pack_bin_body(&packer, message->packet,
				       message->packet_len);
	return pl_sealed_finish(&out, key,
				pack_extra_(&packer, message, packed));
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

static bool get_u32_(const msgpack_object *object, uint32_t *value)
{
	uint64_t wide;

	if (!pl_element_get_uint(object, UINT32_MAX, &wide))
		return false;
	*value = (uint32_t)wide;
	return true;
}

static bool get_u16_(const msgpack_object *object, uint16_t *value)
{
	uint64_t wide;

	if (!pl_element_get_uint(object, UINT16_MAX, &wide))
		return false;
	*value = (uint16_t)wide;
	return true;
}

static bool get_flow_(const msgpack_object *fields, pl_flow_key_t *flow)
{
	return get_u32_(&fields[0], &flow->caller_ip) &&
	       get_u16_(&fields[1], &flow->caller_port) &&
	       get_u32_(&fields[2], &flow->service_ip) &&
	       get_u16_(&fields[3], &flow->service_port);
}

static bool get_verdict_(const msgpack_object *object,
			 pl_flow_verdict_t *verdict)
{
	uint64_t value;

	if (!pl_element_get_uint(object, PL_FLOW_VERDICT_COUNT - 1, &value))
		return false;
	*verdict = (pl_flow_verdict_t)value;
	return true;
}

static bool is_array_of_(const msgpack_object *object, size_t fields)
{
	return object->type == MSGPACK_OBJECT_ARRAY &&
	       object->via.array.size <= PL_FLOW_ITEMS_MAX * fields &&
	       object->via.array.size % fields == 0;
}

static bool get_item_(const msgpack_object *fields,
		      const msgpack_object *addresses, pl_flow_item_t *item)
{
	const msgpack_object_array *array = &addresses->via.array;
	uint64_t index;

	return pl_element_get_uint(&fields[2], UINT32_MAX, &index) &&
	       index * ADDRESS_FIELDS < array->size &&
	       get_u32_(&fields[0], &item->flow.caller_ip) &&
	       get_u16_(&fields[1], &item->flow.caller_port) &&
	       get_u32_(&array->ptr[index * ADDRESS_FIELDS],
			&item->flow.service_ip) &&
	       get_u16_(&array->ptr[index * ADDRESS_FIELDS + 1],
			&item->flow.service_port) &&
	       get_u32_(&fields[3], &item->ack) &&
	       get_verdict_(&fields[4], &item->verdict);
}

static bool get_items_(pl_flow_decoder_t *decoder,
		       const msgpack_object *addresses,
		       const msgpack_object *items, pl_flow_message_t *message)
{
	const msgpack_object_array *array = &items->via.array;

	if (!is_array_of_(addresses, ADDRESS_FIELDS) ||
	    !is_array_of_(items, ITEM_FIELDS))
		return false;
	message->items = decoder->items;
	message->item_count = array->size / ITEM_FIELDS;
	for (size_t i = 0; i < message->item_count; i++) {
		if (!get_item_(&array->ptr[i * ITEM_FIELDS], addresses,
			       &decoder->items[i]))
			return false;
	}
	return true;
}

static bool get_load_(const msgpack_object *fields, pl_endpoint_load_t *load)
{
	return get_u32_(&fields[0], &load->slots) &&
	       get_u32_(&fields[1], &load->busy) &&
	       get_u32_(&fields[2], &load->mean_busy);
}

static bool get_packet_(const msgpack_object *object,
			pl_flow_message_t *message)
{
	if (object->type != MSGPACK_OBJECT_BIN)
		return false;
	message->packet = (const uint8_t *)object->via.bin.ptr;
	message->packet_len = object->via.bin.size;
	return message->packet_len <= PL_PACKET_MAX;
}

static bool get_fields_(pl_flow_decoder_t *decoder,
			const msgpack_object *fields,
			pl_flow_message_t *message)
{
	return pl_element_get_uint(&fields[2], UINT64_MAX, &message->sender) &&
	       pl_element_get_uint(&fields[3], UINT64_MAX, &message->service) &&
	       get_flow_(&fields[4], &message->flow) &&
	       get_u32_(&fields[8], &message->flags) &&
	       get_verdict_(&fields[9], &message->verdict) &&
	       get_load_(&fields[10], &message->load) &&
	       get_u32_(&fields[13], &message->due_ms) &&
	       get_u32_(&fields[14], &message->priority) &&
	       get_items_(decoder, &fields[15], &fields[16], message) &&
	       get_packet_(&fields[17], message);
}

/* Reads the elements after those of every message. Earlier releases send none
 * of them; they are 0 then. */
static bool get_extra_(const msgpack_object_array *array,
		       pl_flow_message_t *message)
{
	const msgpack_object *extra = &array->ptr[FIELDS];
	uint32_t reason = PL_REASON_NONE;
	bool valid;

	message->timeout_ms = 0;
	message->load.limit = 0;
	message->load.request_ms = 0;
	message->load.waiting = 0;
	message->load.health = 0;
	message->reason = PL_REASON_NONE;
	if (message->type == PL_FLOW_FORWARD)
		return array->size < FIELDS + FORWARD_FIELDS ||
		       get_u32_(&extra[0], &message->timeout_ms);
	if (!carries_load_(message->type) || array->size < FIELDS + LOAD_FIELDS)
		return true;
	valid = get_u32_(&extra[0], &message->load.limit) &&
		get_u32_(&extra[1], &message->load.request_ms) &&
		get_u32_(&extra[2], &message->load.waiting) &&
		get_u32_(&extra[3], &reason);
	message->reason =
		reason < PL_REASON_COUNT ? (pl_reason_t)reason : PL_REASON_NONE;
	return valid && (array->size < FIELDS + LOAD_FIELDS + HEALTH_FIELDS ||
			 get_u32_(&extra[LOAD_FIELDS], &message->load.health));
}

static pl_result_t read_message_(pl_flow_decoder_t *decoder,
				 const msgpack_object *object,
				 pl_flow_message_t *message)
{
	const msgpack_object_array *array = &object->via.array;
	uint64_t version;
	uint64_t type;

	if (object->type != MSGPACK_OBJECT_ARRAY || array->size < 2 ||
	    !pl_element_get_uint(&array->ptr[0], UINT8_MAX, &version) ||
	    !pl_element_get_uint(&array->ptr[1], UINT8_MAX, &type))
		return PL_ERR_MALFORMED;
	if (version != PL_WIRE_VERSION || type <= PL_WIRE_FLOW ||
	    type >= PL_WIRE_FLOW + PL_FLOW_TYPE_END)
		return PL_ERR_VERSION;
	message->type = (pl_flow_type_t)(type - PL_WIRE_FLOW);
	if (array->size < FIELDS ||
	    !get_fields_(decoder, array->ptr, message) ||
	    !get_extra_(array, message))
		return PL_ERR_MALFORMED;
	return PL_OK;
}

pl_result_t pl_flow_decode(pl_flow_decoder_t *decoder, const uint8_t *buf,
			   size_t len, pl_flow_message_t *message)
{
	msgpack_object object;
	pl_result_t result = pl_sealed_open(&decoder->key, &decoder->zone, buf,
					    len, &object);

	return result == PL_OK ? read_message_(decoder, &object, message) :
				 result;
}
