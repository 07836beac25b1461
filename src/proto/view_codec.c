/**
 * @file
 * msgpack codec of the frame bodies PL_PEER_VIEW_*.
 */
#include "private/msgpack_check.h"
#include "private/element.h"

#include <pimentolift/view_codec.h>

#include <assert.h>
#include <msgpack.h>
#include <string.h>

#define BODY_FIELDS 5
#define RECORD_FIELDS 12
#define CLAIM_FIELDS 5
#define TEXT_CHUNK_BYTES 1024
#define SZX_MAX 6

void pl_view_key_set(pl_view_key_t *key, const pl_addr_t *caller,
		     const uint8_t *token, size_t token_len)
{
	assert(token_len <= PL_COAP_TOKEN_MAX);
	memset(key, 0, sizeof(*key));
	key->caller = *caller;
	key->token_len = (uint8_t)token_len;
	memcpy(key->token, token, token_len);
}

void pl_view_message_init(pl_view_message_t *message)
{
	memset(message, 0, sizeof(*message));
	message->records = g_array_new(FALSE, TRUE, sizeof(pl_view_record_t));
	message->claims = g_array_new(FALSE, TRUE, sizeof(pl_view_claim_t));
	message->text = g_string_chunk_new(TEXT_CHUNK_BYTES);
}

void pl_view_message_finish(pl_view_message_t *message)
{
	g_string_chunk_free(message->text);
	g_array_free(message->claims, TRUE);
	g_array_free(message->records, TRUE);
}

static int append_bytes_(void *data, const char *bytes, size_t len)
{
	g_byte_array_append(data, (const guint8 *)bytes, (guint)len);
	return 0;
}

static void pack_bytes_(msgpack_packer *packer, const void *bytes, size_t len)
{
	msgpack_pack_bin(packer, len);
	msgpack_pack_bin_body(packer, bytes, len);
}

static void pack_text_(msgpack_packer *packer, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}

static void pack_key_(msgpack_packer *packer, const pl_view_key_t *key)
{
	pl_element_pack_addr(packer, &key->caller);
	pack_bytes_(packer, key->token, key->token_len);
}

static void pack_record_(msgpack_packer *packer, const pl_view_record_t *record)
{
	msgpack_pack_array(packer, RECORD_FIELDS);
	pack_key_(packer, &record->key);
	pl_element_pack_addr(packer, &record->address);
	pack_text_(packer, record->path);
	pack_text_(packer, record->query);
	msgpack_pack_int32(packer, record->accept);
	msgpack_pack_uint32(packer, record->sequence);
	msgpack_pack_uint16(packer, record->mid);
	msgpack_pack_uint8(packer, record->szx);
	msgpack_pack_uint8(packer, record->pending);
	msgpack_pack_uint64(packer, record->etag);
	msgpack_pack_uint64(packer, record->entry);
}

static void pack_claim_(msgpack_packer *packer, const pl_view_claim_t *claim)
{
	msgpack_pack_array(packer, CLAIM_FIELDS);
	pack_key_(packer, &claim->key);
	msgpack_pack_uint64(packer, claim->owner);
	msgpack_pack_uint32(packer, claim->sequence);
	msgpack_pack_uint8(packer, claim->release);
}

static bool carries_records_(pl_peer_type_t type)
{
	return type == PL_PEER_VIEW_OFFER || type == PL_PEER_VIEW_COPY;
}

GByteArray *pl_view_message_encode(const pl_view_message_t *message,
				   pl_peer_type_t type)
{
	GByteArray *body = g_byte_array_new();
	msgpack_packer packer;

	msgpack_packer_init(&packer, body, append_bytes_);
	msgpack_pack_array(&packer, BODY_FIELDS);
	msgpack_pack_uint8(&packer, PL_VIEW_CODEC_VERSION);
	msgpack_pack_uint64(&packer, message->boot);
	msgpack_pack_uint64(&packer, message->service);
	msgpack_pack_uint64(&packer, message->offer);
	if (carries_records_(type)) {
		msgpack_pack_array(&packer, message->records->len);
		for (guint i = 0; i < message->records->len; i++)
			pack_record_(&packer,
				     &g_array_index(message->records,
						    pl_view_record_t, i));
	} else {
		msgpack_pack_array(&packer, message->claims->len);
		for (guint i = 0; i < message->claims->len; i++)
			pack_claim_(&packer,
				    &g_array_index(message->claims,
						   pl_view_claim_t, i));
	}
	return body;
}

static bool get_int32_(const msgpack_object *object, int32_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    object->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return false;
	/* via.i64 aliases via.u64: a value above INT64_MAX reads as negative */
	if (object->via.i64 < INT32_MIN || object->via.i64 > INT32_MAX)
		return false;
	*value = (int32_t)object->via.i64;
	return true;
}

/* Reads caller and token, the first two elements of every item. */
static bool get_key_(const msgpack_object *fields, pl_view_key_t *key)
{
	const msgpack_object_bin *token = &fields[1].via.bin;
	pl_addr_t caller;

	if (!pl_element_get_addr(&fields[0], &caller) ||
	    fields[1].type != MSGPACK_OBJECT_BIN ||
	    token->size > PL_COAP_TOKEN_MAX)
		return false;
	pl_view_key_set(key, &caller, (const uint8_t *)token->ptr, token->size);
	return true;
}

static bool get_text_(pl_view_message_t *message, const msgpack_object *object,
		      const char **text)
{
	const msgpack_object_str *str = &object->via.str;

	if (object->type != MSGPACK_OBJECT_STR ||
	    str->size >= PL_COAP_PATH_MAX ||
	    memchr(str->ptr, '\0', str->size) != NULL)
		return false;
	*text = g_string_chunk_insert_len(message->text, str->ptr, str->size);
	return true;
}

static bool get_record_(pl_view_message_t *message, const msgpack_object *item)
{
	const msgpack_object *fields = item->via.array.ptr;
	pl_view_record_t record = { .accept = -1 };
	uint64_t sequence;
	uint64_t mid;
	uint64_t szx;
	uint64_t pending;

	if (item->type != MSGPACK_OBJECT_ARRAY ||
	    item->via.array.size < RECORD_FIELDS)
		return false;
	if (!get_key_(fields, &record.key) ||
	    !pl_element_get_addr(&fields[2], &record.address) ||
	    !get_text_(message, &fields[3], &record.path) ||
	    !get_text_(message, &fields[4], &record.query) ||
	    !get_int32_(&fields[5], &record.accept) ||
	    !pl_element_get_uint(&fields[6], UINT32_MAX, &sequence) ||
	    !pl_element_get_uint(&fields[7], UINT16_MAX, &mid) ||
	    !pl_element_get_uint(&fields[8], SZX_MAX, &szx) ||
	    !pl_element_get_uint(&fields[9], 1, &pending) ||
	    !pl_element_get_uint(&fields[10], UINT64_MAX, &record.etag) ||
	    !pl_element_get_uint(&fields[11], UINT64_MAX, &record.entry))
		return false;
	record.sequence = (uint32_t)sequence;
	record.mid = (uint16_t)mid;
	record.szx = (uint8_t)szx;
	record.pending = pending != 0;
	g_array_append_val(message->records, record);
	return true;
}

static bool get_claim_(pl_view_message_t *message, const msgpack_object *item)
{
	const msgpack_object *fields = item->via.array.ptr;
	pl_view_claim_t claim;
	uint64_t sequence;
	uint64_t release;

	if (item->type != MSGPACK_OBJECT_ARRAY ||
	    item->via.array.size < CLAIM_FIELDS ||
	    !get_key_(fields, &claim.key) ||
	    !pl_element_get_uint(&fields[2], UINT64_MAX, &claim.owner) ||
	    !pl_element_get_uint(&fields[3], UINT32_MAX, &sequence) ||
	    !pl_element_get_uint(&fields[4], 1, &release))
		return false;
	claim.sequence = (uint32_t)sequence;
	claim.release = release != 0;
	g_array_append_val(message->claims, claim);
	return true;
}

static pl_result_t get_body_(pl_view_message_t *message, pl_peer_type_t type,
			     const msgpack_object *object)
{
	const msgpack_object *fields = object->via.array.ptr;
	const msgpack_object_array *items;
	uint64_t version;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < BODY_FIELDS ||
	    !pl_element_get_uint(&fields[0], UINT8_MAX, &version))
		return PL_ERR_MALFORMED;
	if (version != PL_VIEW_CODEC_VERSION)
		return PL_ERR_VERSION;
	if (!pl_element_get_uint(&fields[1], UINT64_MAX, &message->boot) ||
	    !pl_element_get_uint(&fields[2], UINT64_MAX, &message->service) ||
	    !pl_element_get_uint(&fields[3], UINT64_MAX, &message->offer) ||
	    fields[4].type != MSGPACK_OBJECT_ARRAY)
		return PL_ERR_MALFORMED;
	items = &fields[4].via.array;
	for (uint32_t i = 0; i < items->size; i++) {
		bool valid = carries_records_(type) ?
				     get_record_(message, &items->ptr[i]) :
				     get_claim_(message, &items->ptr[i]);

		if (!valid)
			return PL_ERR_MALFORMED;
	}
	return PL_OK;
}

pl_result_t pl_view_message_decode(pl_view_message_t *message,
				   pl_peer_type_t type, const uint8_t *body,
				   size_t len)
{
	msgpack_unpacked unpacked;
	pl_result_t result = PL_ERR_MALFORMED;
	size_t offset = 0;

	if (!pl_msgpack_counts_valid(body, len))
		return PL_ERR_MALFORMED;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)body, len, &offset) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    offset == len)
		result = get_body_(message, type, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return result;
}
