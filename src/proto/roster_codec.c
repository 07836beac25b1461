/**
 * @file
 * msgpack codec of the roster frames.
 */
#include <pimentolift/roster_codec.h>

#include "private/msgpack_check.h"
#include "private/element.h"

#include <string.h>

#define REQUEST_FIELDS 1
#define RESPONSE_FIELDS 3
#define REGISTER_FIELDS 3
#define REGISTERED_FIELDS 2

static int append_bytes_(void *data, const char *bytes, size_t len)
{
	g_byte_array_append(data, (const guint8 *)bytes, (guint)len);
	return 0;
}

void pl_roster_encode_request(uint32_t sequence, GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append_bytes_);
	msgpack_pack_array(&packer, REQUEST_FIELDS);
	msgpack_pack_uint32(&packer, sequence);
}

void pl_roster_encode_response(uint32_t sequence, bool known,
			       const pl_member_id_t *agents, size_t count,
			       GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append_bytes_);
	msgpack_pack_array(&packer, RESPONSE_FIELDS);
	msgpack_pack_uint32(&packer, sequence);
	msgpack_pack_uint8(&packer, known);
	msgpack_pack_array(&packer, count);
	for (size_t i = 0; i < count; i++)
		msgpack_pack_uint64(&packer, agents[i]);
}

/* Elements of an array; NULL unless it has at least @p min elements. */
static const msgpack_object *get_elements_(const msgpack_object *object,
					   size_t min)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < min)
		return NULL;
	return object->via.array.ptr;
}

static bool read_request_(const msgpack_object *root, uint32_t *sequence)
{
	const msgpack_object *fields = get_elements_(root, REQUEST_FIELDS);
	uint64_t number;

	if (!fields || !pl_element_get_uint(&fields[0], UINT32_MAX, &number))
		return false;
	*sequence = (uint32_t)number;
	return true;
}

static bool read_agents_(const msgpack_object *object, GArray *agents)
{
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++) {
		pl_member_id_t agent;

		if (!pl_element_get_uint(&object->via.array.ptr[i], UINT64_MAX,
					 &agent))
			return false;
		g_array_append_val(agents, agent);
	}
	return true;
}

static bool read_response_(const msgpack_object *root, uint32_t *sequence,
			   bool *known, GArray *agents)
{
	const msgpack_object *fields = get_elements_(root, RESPONSE_FIELDS);
	uint64_t flag;

	if (!fields || !read_request_(root, sequence) ||
	    !pl_element_get_uint(&fields[1], 1, &flag))
		return false;
	*known = flag == 1;
	return read_agents_(&fields[2], agents);
}

static bool unpack_(const uint8_t *body, size_t len, msgpack_unpacked *unpacked)
{
	size_t offset = 0;

	return pl_msgpack_counts_valid(body, len) &&
	       msgpack_unpack_next(unpacked, (const char *)body, len,
				   &offset) == MSGPACK_UNPACK_SUCCESS;
}

pl_result_t pl_roster_decode_request(const uint8_t *body, size_t len,
				     uint32_t *sequence)
{
	msgpack_unpacked unpacked;
	bool valid;

	msgpack_unpacked_init(&unpacked);
	valid = unpack_(body, len, &unpacked) &&
		read_request_(&unpacked.data, sequence);
	msgpack_unpacked_destroy(&unpacked);
	return valid ? PL_OK : PL_ERR_MALFORMED;
}

pl_result_t pl_roster_decode_response(const uint8_t *body, size_t len,
				      uint32_t *sequence, bool *known,
				      GArray *agents)
{
	msgpack_unpacked unpacked;
	bool valid;

	msgpack_unpacked_init(&unpacked);
	valid = unpack_(body, len, &unpacked) &&
		read_response_(&unpacked.data, sequence, known, agents);
	msgpack_unpacked_destroy(&unpacked);
	return valid ? PL_OK : PL_ERR_MALFORMED;
}

void pl_roster_encode_register(const pl_roster_register_t *request,
			       GByteArray *out)
{
	size_t len = strlen(request->name);
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append_bytes_);
	msgpack_pack_array(&packer, REGISTER_FIELDS);
	msgpack_pack_uint32(&packer, request->sequence);
	msgpack_pack_uint64(&packer, request->service);
	msgpack_pack_str(&packer, len);
	msgpack_pack_str_body(&packer, request->name, len);
}

static bool read_register_(const msgpack_object *root,
			   pl_roster_register_t *request)
{
	const msgpack_object *fields = get_elements_(root, REGISTER_FIELDS);
	const msgpack_object_str *name;

	if (!fields || !read_request_(root, &request->sequence) ||
	    !pl_element_get_uint(&fields[1], UINT64_MAX, &request->service) ||
	    request->service == 0 || fields[2].type != MSGPACK_OBJECT_STR)
		return false;
	name = &fields[2].via.str;
	if (name->size >= sizeof(request->name))
		return false;
	memcpy(request->name, name->ptr, name->size);
	request->name[name->size] = '\0';
	return strlen(request->name) == name->size;
}

pl_result_t pl_roster_decode_register(const uint8_t *body, size_t len,
				      pl_roster_register_t *request)
{
	msgpack_unpacked unpacked;
	bool valid;

	msgpack_unpacked_init(&unpacked);
	valid = unpack_(body, len, &unpacked) &&
		read_register_(&unpacked.data, request);
	msgpack_unpacked_destroy(&unpacked);
	return valid ? PL_OK : PL_ERR_MALFORMED;
}

void pl_roster_encode_registered(uint32_t sequence, uint64_t generation,
				 GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append_bytes_);
	msgpack_pack_array(&packer, REGISTERED_FIELDS);
	msgpack_pack_uint32(&packer, sequence);
	msgpack_pack_uint64(&packer, generation);
}

pl_result_t pl_roster_decode_registered(const uint8_t *body, size_t len,
					uint32_t *sequence,
					uint64_t *generation)
{
	msgpack_unpacked unpacked;
	const msgpack_object *fields;
	bool valid;

	msgpack_unpacked_init(&unpacked);
	valid = unpack_(body, len, &unpacked);
	fields =
		valid ? get_elements_(&unpacked.data, REGISTERED_FIELDS) : NULL;
	valid = fields && read_request_(&unpacked.data, sequence) &&
		pl_element_get_uint(&fields[1], UINT64_MAX, generation);
	msgpack_unpacked_destroy(&unpacked);
	return valid ? PL_OK : PL_ERR_MALFORMED;
}
