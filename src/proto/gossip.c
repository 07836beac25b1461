/**
 * @file
 * Codec of the membership datagrams and frames.
 */
#include <pimentolift/gossip.h>

#include "private/msgpack_check.h"
#include "private/element.h"

#include <assert.h>
#include <glib.h>
#include <msgpack.h>
#include <string.h>

/** Elements of the array in a datagram: without the store's generation and the
 * evacuations, with the former, and with both. */
#define MESSAGE_ELEMENTS_MIN 10
#define MESSAGE_ELEMENTS_GENERATION 11
#define MESSAGE_ELEMENTS 12
/** Elements of the evacuations before the data centres. */
#define EVACUATIONS_ELEMENTS_MIN 2
/** Elements of a record: change of state, full, full with names. */
#define RECORD_STATE_ELEMENTS 3
#define RECORD_FULL_ELEMENTS 10
#define RECORD_NAMED_ELEMENTS 12
/** Elements of the array in the body of a frame. */
#define FRAME_ELEMENTS 4
/** Position of the role in the flags of a record, and mask of the state in the
 * bits below. */
#define RECORD_ROLE_SHIFT 3
#define RECORD_STATE_MASK 7U
/** Largest value of the flags of a record. */
#define RECORD_FLAGS_MAX 127

struct pl_gossip_decoder {
	pl_key_t key;
	msgpack_unpacked unpacked;
	GArray *records;
	GArray *digests;
	GArray *pulls;
};

/* Output buffer of fixed size for a msgpack packer. */
typedef struct {
	uint8_t *buf;
	size_t cap;
	size_t len; /* length needed; output beyond cap is discarded */
} sink_t;

static int sink_write_(void *data, const char *buf, size_t len)
{
	sink_t *sink = data;

	if (sink->len + len <= sink->cap)
		memcpy(sink->buf + sink->len, buf, len);
	sink->len += len;
	return 0;
}

static void pack_text_(msgpack_packer *packer, const char *text, size_t len)
{
	if (!text)
		len = 0;
	msgpack_pack_str(packer, len);
	if (len > 0)
		msgpack_pack_str_body(packer, text, len);
}

static void pack_full_(msgpack_packer *packer, const pl_gossip_record_t *record)
{
	msgpack_pack_uint64(packer, record->boot);
	msgpack_pack_uint64(packer, record->datacentre);
	msgpack_pack_int64(packer, (int64_t)record->incarnation -
					   (int64_t)record->started_s);
	msgpack_pack_uint64(packer, record->attr.service);
	msgpack_pack_uint32(packer, record->attr.endpoint);
	msgpack_pack_uint32(packer, record->attr.slots);
	msgpack_pack_int64(packer, (int64_t)record->attr.serving_since_s -
					   (int64_t)record->started_s);
}

static void pack_record_(msgpack_packer *packer,
			 const pl_gossip_record_t *record)
{
	bool named = record->full && (record->name || record->datacentre_name);
	unsigned int flags = record->state | record->role << RECORD_ROLE_SHIFT;

	msgpack_pack_array(packer, !record->full ? RECORD_STATE_ELEMENTS :
				   named	 ? RECORD_NAMED_ELEMENTS :
						   RECORD_FULL_ELEMENTS);
	msgpack_pack_uint32(packer, flags);
	msgpack_pack_uint64(packer, record->id);
	msgpack_pack_uint64(packer, record->incarnation);
	if (record->full)
		pack_full_(packer, record);
	if (named) {
		pack_text_(packer, record->name, record->name_len);
		pack_text_(packer, record->datacentre_name,
			   record->datacentre_name_len);
	}
}

static void pack_records_(msgpack_packer *packer,
			  const pl_gossip_record_t *records, size_t count)
{
	msgpack_pack_array(packer, count);
	for (size_t i = 0; i < count; i++)
		pack_record_(packer, &records[i]);
}

size_t pl_gossip_record_size(const pl_gossip_record_t *record)
{
	sink_t sink = { 0 };
	msgpack_packer packer;

	msgpack_packer_init(&packer, &sink, sink_write_);
	pack_record_(&packer, record);
	return sink.len;
}

static void pack_digests_(msgpack_packer *packer,
			  const pl_gossip_message_t *message)
{
	msgpack_pack_array(packer, message->digest_count);
	for (size_t i = 0; i < message->digest_count; i++) {
		const pl_gossip_digest_t *digest = &message->digests[i];

		msgpack_pack_array(packer, 2);
		msgpack_pack_uint64(packer, digest->datacentre);
		if (message->type == PL_GOSSIP_DIGEST) {
			msgpack_pack_uint64(packer, digest->hash);
			continue;
		}
		msgpack_pack_bin(packer, sizeof(digest->buckets));
		for (size_t j = 0; j < PL_GOSSIP_BUCKETS; j++) {
			uint32_t bucket = GUINT32_TO_BE(digest->buckets[j]);

			msgpack_pack_bin_body(packer, &bucket, sizeof(bucket));
		}
	}
}

/* Elements of the datagram's array. */
static size_t count_elements_(const pl_gossip_message_t *message)
{
	if (message->evacuations.revision != 0)
		return MESSAGE_ELEMENTS;
	return message->store_generation != 0 ? MESSAGE_ELEMENTS_GENERATION :
						MESSAGE_ELEMENTS_MIN;
}

static void pack_evacuations_(msgpack_packer *packer,
			      const pl_evacuations_t *evacuations)
{
	msgpack_pack_array(packer,
			   EVACUATIONS_ELEMENTS_MIN + evacuations->count);
	msgpack_pack_uint64(packer, evacuations->generation);
	msgpack_pack_uint64(packer, evacuations->revision);
	for (size_t i = 0; i < evacuations->count; i++)
		msgpack_pack_uint64(packer, evacuations->datacentres[i]);
}

size_t pl_gossip_encode(const pl_key_t *key, const pl_gossip_message_t *message,
			uint8_t *buf, size_t cap)
{
	sink_t sink = { .buf = buf, .cap = cap };
	msgpack_packer packer;
	size_t elements = count_elements_(message);

	assert(message->record_count <= PL_GOSSIP_RECORDS_MAX);
	assert(message->digest_count <= PL_GOSSIP_DATACENTRES_MAX);
	msgpack_packer_init(&packer, &sink, sink_write_);
	msgpack_pack_array(&packer, elements);
	msgpack_pack_uint32(&packer, PL_WIRE_VERSION);
	msgpack_pack_uint32(&packer, message->type);
	msgpack_pack_uint32(&packer, message->flags);
	msgpack_pack_uint64(&packer, message->sender);
	msgpack_pack_uint64(&packer, message->incarnation);
	msgpack_pack_uint64(&packer, message->revision);
	msgpack_pack_uint32(&packer, message->sequence);
	msgpack_pack_uint64(&packer, message->target);
	pack_records_(&packer, message->records, message->record_count);
	pack_digests_(&packer, message);
	if (elements >= MESSAGE_ELEMENTS_GENERATION)
		msgpack_pack_uint64(&packer, message->store_generation);
	if (elements >= MESSAGE_ELEMENTS)
		pack_evacuations_(&packer, &message->evacuations);
	if (sink.len + PL_MAC_BYTES > cap)
		return 0;
	pl_mac(key, buf, sink.len, buf + sink.len);
	return sink.len + PL_MAC_BYTES;
}

uint8_t *pl_gossip_encode_frame(const pl_gossip_frame_t *frame, size_t *len)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint8_t *body;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, FRAME_ELEMENTS);
	msgpack_pack_uint32(&packer, PL_WIRE_VERSION);
	msgpack_pack_uint32(&packer, frame->last);
	msgpack_pack_array(&packer, frame->pull_count);
	for (size_t i = 0; i < frame->pull_count; i++) {
		msgpack_pack_array(&packer, 2);
		msgpack_pack_uint64(&packer, frame->pulls[i].datacentre);
		msgpack_pack_uint32(&packer, frame->pulls[i].mask);
	}
	pack_records_(&packer, frame->records, frame->record_count);
	body = g_memdup2(buffer.data, buffer.size);
	*len = buffer.size;
	msgpack_sbuffer_destroy(&buffer);
	return body;
}

pl_gossip_decoder_t *pl_gossip_decoder_new(const pl_key_t *key)
{
	pl_gossip_decoder_t *decoder = g_new0(pl_gossip_decoder_t, 1);

	decoder->key = *key;
	msgpack_unpacked_init(&decoder->unpacked);
	decoder->records =
		g_array_new(FALSE, FALSE, sizeof(pl_gossip_record_t));
	decoder->digests =
		g_array_new(FALSE, FALSE, sizeof(pl_gossip_digest_t));
	decoder->pulls = g_array_new(FALSE, FALSE, sizeof(pl_gossip_pull_t));
	return decoder;
}

void pl_gossip_decoder_delete(pl_gossip_decoder_t *decoder)
{
	if (!decoder)
		return;
	msgpack_unpacked_destroy(&decoder->unpacked);
	g_array_free(decoder->records, TRUE);
	g_array_free(decoder->digests, TRUE);
	g_array_free(decoder->pulls, TRUE);
	g_free(decoder);
}

/* Elements of @p object, or NULL unless it is an array of at least @p min. */
static const msgpack_object *array_elements_(const msgpack_object *object,
					     uint32_t min)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < min)
		return NULL;
	return object->via.array.ptr;
}

static bool read_u32_(const msgpack_object *object, uint32_t *value)
{
	uint64_t wide;

	if (!pl_element_get_uint(object, UINT32_MAX, &wide))
		return false;
	*value = (uint32_t)wide;
	return true;
}

/* Reads a difference; @p value becomes @p base + @p sign * difference. */
static bool read_offset_(const msgpack_object *object, int64_t base, int sign,
			 uint32_t *value)
{
	int64_t offset;
	int64_t sum;

	if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    object->via.u64 <= UINT32_MAX)
		offset = (int64_t)object->via.u64;
	else if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER &&
		 object->via.i64 >= -(int64_t)UINT32_MAX)
		offset = object->via.i64;
	else
		return false;
	sum = base + sign * offset;
	if (sum < 0 || sum > UINT32_MAX)
		return false;
	*value = (uint32_t)sum;
	return true;
}

static bool read_text_(const msgpack_object *object, const char **text,
		       size_t *len)
{
	if (object->type != MSGPACK_OBJECT_STR ||
	    object->via.str.size >= PL_NAME_MAX)
		return false;
	*len = object->via.str.size;
	*text = *len > 0 ? object->via.str.ptr : NULL;
	return true;
}

/* Reads the elements that a full record appends. Element 5 is the incarnation
 * minus the start time, element 9 the time since which the member serves minus
 * the start time (see gossip.h). */
static bool read_full_(const msgpack_object *at, pl_gossip_record_t *record)
{
	uint64_t endpoint;

	if (!pl_element_get_uint(&at[3], UINT64_MAX, &record->boot) ||
	    !pl_element_get_uint(&at[4], UINT64_MAX, &record->datacentre) ||
	    !read_offset_(&at[5], (int64_t)record->incarnation, -1,
			  &record->started_s) ||
	    !pl_element_get_uint(&at[6], UINT64_MAX, &record->attr.service) ||
	    !pl_element_get_uint(&at[7], PL_ENDPOINT_STATE_COUNT - 1,
				 &endpoint) ||
	    !read_u32_(&at[8], &record->attr.slots) ||
	    !read_offset_(&at[9], record->started_s, 1,
			  &record->attr.serving_since_s))
		return false;
	record->attr.endpoint = (pl_endpoint_state_t)endpoint;
	record->full = true;
	return true;
}

static bool read_record_(const msgpack_object *object,
			 pl_gossip_record_t *record)
{
	const msgpack_object *at =
		array_elements_(object, RECORD_STATE_ELEMENTS);
	uint32_t size;
	uint64_t flags;

	memset(record, 0, sizeof(*record));
	if (!at || !pl_element_get_uint(&at[0], RECORD_FLAGS_MAX, &flags) ||
	    !pl_element_get_uint(&at[1], UINT64_MAX, &record->id) ||
	    !pl_element_get_uint(&at[2], UINT32_MAX, &record->incarnation))
		return false;
	record->state = flags & RECORD_STATE_MASK;
	record->role = flags >> RECORD_ROLE_SHIFT;
	if (record->state >= PL_MEMBER_STATE_COUNT ||
	    record->role >= PL_MEMBER_ROLE_COUNT || record->id == 0)
		return false;
	size = object->via.array.size;
	if (size < RECORD_FULL_ELEMENTS)
		return true;
	if (!read_full_(at, record))
		return false;
	return size < RECORD_NAMED_ELEMENTS ||
	       (read_text_(&at[10], &record->name, &record->name_len) &&
		read_text_(&at[11], &record->datacentre_name,
			   &record->datacentre_name_len));
}

static bool read_records_(pl_gossip_decoder_t *decoder,
			  const msgpack_object *object)
{
	const msgpack_object *at = object->via.array.ptr;

	g_array_set_size(decoder->records, 0);
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		pl_gossip_record_t record;

		if (!read_record_(&at[i], &record))
			return false;
		g_array_append_val(decoder->records, record);
	}
	return true;
}

static bool read_buckets_(const msgpack_object *object,
			  pl_gossip_digest_t *digest)
{
	if (object->type != MSGPACK_OBJECT_BIN ||
	    object->via.bin.size != sizeof(digest->buckets))
		return false;
	memcpy(digest->buckets, object->via.bin.ptr, sizeof(digest->buckets));
	for (size_t i = 0; i < PL_GOSSIP_BUCKETS; i++)
		digest->buckets[i] = GUINT32_FROM_BE(digest->buckets[i]);
	return true;
}

static bool read_digests_(pl_gossip_decoder_t *decoder, pl_gossip_type_t type,
			  const msgpack_object *object)
{
	g_array_set_size(decoder->digests, 0);
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size > PL_GOSSIP_DATACENTRES_MAX)
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		const msgpack_object *at =
			array_elements_(&object->via.array.ptr[i], 2);
		pl_gossip_digest_t digest = { 0 };

		if (!at || !pl_element_get_uint(&at[0], UINT64_MAX,
						&digest.datacentre))
			return false;
		if (type == PL_GOSSIP_DIGEST ?
			    !pl_element_get_uint(&at[1], UINT64_MAX,
						 &digest.hash) :
			    !read_buckets_(&at[1], &digest))
			return false;
		g_array_append_val(decoder->digests, digest);
	}
	return true;
}

/* Unpacks an array of at least @p min elements that takes up all of @p buf, and
 * checks the version in its first element. */
static pl_result_t unpack_(pl_gossip_decoder_t *decoder, const uint8_t *buf,
			   size_t len, uint32_t min, const msgpack_object **out)
{
	const msgpack_object *at;
	size_t offset = 0;
	uint64_t version;

	if (!pl_msgpack_counts_valid(buf, len))
		return PL_ERR_MALFORMED;
	if (msgpack_unpack_next(&decoder->unpacked, (const char *)buf, len,
				&offset) != MSGPACK_UNPACK_SUCCESS ||
	    offset != len)
		return PL_ERR_MALFORMED;
	at = array_elements_(&decoder->unpacked.data, 1);
	if (!at || !pl_element_get_uint(&at[0], UINT64_MAX, &version))
		return PL_ERR_MALFORMED;
	if (version != PL_WIRE_VERSION)
		return PL_ERR_VERSION;
	*out = array_elements_(&decoder->unpacked.data, min);
	return *out ? PL_OK : PL_ERR_MALFORMED;
}

static bool read_header_(const msgpack_object *at, pl_gossip_message_t *message)
{
	uint64_t type;

	if (!pl_element_get_uint(&at[1], PL_GOSSIP_TYPE_END - 1, &type) ||
	    type < PL_GOSSIP_PING)
		return false;
	message->type = (pl_gossip_type_t)type;
	return read_u32_(&at[2], &message->flags) &&
	       pl_element_get_uint(&at[3], UINT64_MAX, &message->sender) &&
	       pl_element_get_uint(&at[4], UINT32_MAX, &message->incarnation) &&
	       pl_element_get_uint(&at[5], UINT64_MAX, &message->revision) &&
	       read_u32_(&at[6], &message->sequence) &&
	       pl_element_get_uint(&at[7], UINT64_MAX, &message->target) &&
	       message->sender != 0;
}

static bool read_store_generation_(const msgpack_object *datagram,
				   pl_gossip_message_t *message)
{
	if (datagram->via.array.size < MESSAGE_ELEMENTS_GENERATION)
		return true;
	return pl_element_get_uint(
		&datagram->via.array.ptr[MESSAGE_ELEMENTS_GENERATION - 1],
		UINT64_MAX, &message->store_generation);
}

static bool read_evacuations_(const msgpack_object *datagram,
			      pl_evacuations_t *evacuations)
{
	const msgpack_object *object;
	const msgpack_object *at;
	uint64_t datacentre;

	if (datagram->via.array.size < MESSAGE_ELEMENTS)
		return true;
	object = &datagram->via.array.ptr[MESSAGE_ELEMENTS - 1];
	at = array_elements_(object, EVACUATIONS_ELEMENTS_MIN);
	if (!at ||
	    !pl_element_get_uint(&at[0], UINT64_MAX,
				 &evacuations->generation) ||
	    !pl_element_get_uint(&at[1], UINT64_MAX, &evacuations->revision))
		return false;
	for (uint32_t i = EVACUATIONS_ELEMENTS_MIN; i < object->via.array.size;
	     i++) {
		if (!pl_element_get_uint(&at[i], UINT64_MAX, &datacentre) ||
		    !pl_evacuations_add(evacuations, datacentre))
			return false;
	}
	return true;
}

pl_result_t pl_gossip_decode(pl_gossip_decoder_t *decoder, const uint8_t *buf,
			     size_t len, pl_gossip_message_t *message)
{
	const msgpack_object *at;
	uint8_t mac[PL_MAC_BYTES];
	pl_result_t result;

	if (len <= PL_MAC_BYTES)
		return PL_ERR_MALFORMED;
	len -= PL_MAC_BYTES;
	pl_mac(&decoder->key, buf, len, mac);
	if (!pl_mac_equal(mac, buf + len, PL_MAC_BYTES))
		return PL_ERR_AUTH;
	result = unpack_(decoder, buf, len, MESSAGE_ELEMENTS_MIN, &at);
	if (result != PL_OK)
		return result;
	memset(message, 0, sizeof(*message));
	if (!read_header_(at, message) || !read_records_(decoder, &at[8]) ||
	    !read_digests_(decoder, message->type, &at[9]) ||
	    !read_store_generation_(&decoder->unpacked.data, message) ||
	    !read_evacuations_(&decoder->unpacked.data, &message->evacuations))
		return PL_ERR_MALFORMED;
	message->records = (pl_gossip_record_t *)decoder->records->data;
	message->record_count = decoder->records->len;
	message->digests = (pl_gossip_digest_t *)decoder->digests->data;
	message->digest_count = decoder->digests->len;
	return PL_OK;
}

static bool read_pulls_(pl_gossip_decoder_t *decoder,
			const msgpack_object *object)
{
	g_array_set_size(decoder->pulls, 0);
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		const msgpack_object *at =
			array_elements_(&object->via.array.ptr[i], 2);
		pl_gossip_pull_t pull;

		if (!at ||
		    !pl_element_get_uint(&at[0], UINT64_MAX,
					 &pull.datacentre) ||
		    !read_u32_(&at[1], &pull.mask))
			return false;
		g_array_append_val(decoder->pulls, pull);
	}
	return true;
}

pl_result_t pl_gossip_decode_frame(pl_gossip_decoder_t *decoder,
				   const uint8_t *body, size_t len,
				   pl_gossip_frame_t *frame)
{
	const msgpack_object *at;
	uint64_t last;
	pl_result_t result = unpack_(decoder, body, len, FRAME_ELEMENTS, &at);

	if (result != PL_OK)
		return result;
	if (!pl_element_get_uint(&at[1], 1, &last) ||
	    !read_pulls_(decoder, &at[2]) || !read_records_(decoder, &at[3]))
		return PL_ERR_MALFORMED;
	frame->last = last == 1;
	frame->pulls = (pl_gossip_pull_t *)decoder->pulls->data;
	frame->pull_count = decoder->pulls->len;
	frame->records = (pl_gossip_record_t *)decoder->records->data;
	frame->record_count = decoder->records->len;
	return PL_OK;
}
