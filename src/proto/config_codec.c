/**
 * @file
 * msgpack encoding of configuration frames.
 */
#include <pimentolift/config_codec.h>

#include "private/msgpack_check.h"

#include <msgpack.h>
#include <string.h>

/* Minimum lengths of the arrays of a pull, a push, a pair in a list, and a
 * handover. */
#define PULL_FIELDS 1
#define PUSH_FIELDS 6
#define PAIR_FIELDS 2
#define HANDOVER_FIELDS 2

static int append_bytes_(void *data, const char *bytes, size_t len)
{
	g_byte_array_append(data, (const guint8 *)bytes, (guint)len);
	return 0;
}

void pl_config_encode_pull(uint64_t have, GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append_bytes_);
	msgpack_pack_array(&packer, PULL_FIELDS);
	msgpack_pack_uint64(&packer, have);
}

void pl_config_encode_push(const pl_config_push_t *push, GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append_bytes_);
	msgpack_pack_array(&packer, PUSH_FIELDS);
	msgpack_pack_uint8(&packer, (uint8_t)push->kind);
	msgpack_pack_uint64(&packer, push->revision);
	msgpack_pack_uint64(&packer, push->base);
	msgpack_pack_uint64(&packer, push->hash);
	msgpack_pack_array(&packer, push->section_count);
	for (size_t i = 0; i < push->section_count; i++) {
		const pl_config_section_t *section = &push->sections[i];

		msgpack_pack_array(&packer, PAIR_FIELDS);
		msgpack_pack_uint64(&packer, section->changed_revision);
		msgpack_pack_bin(&packer, section->len);
		msgpack_pack_bin_body(&packer, section->bytes, section->len);
	}
	msgpack_pack_array(&packer, push->removal_count);
	for (size_t i = 0; i < push->removal_count; i++) {
		const pl_config_removal_t *removal = &push->removals[i];
		size_t len = strlen(removal->name);

		msgpack_pack_array(&packer, PAIR_FIELDS);
		msgpack_pack_str(&packer, len);
		msgpack_pack_str_body(&packer, removal->name, len);
		msgpack_pack_uint64(&packer, removal->removed_revision);
	}
}

void pl_config_encode_handover(const pl_config_handover_t *handover,
			       GByteArray *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append_bytes_);
	msgpack_pack_array(&packer, HANDOVER_FIELDS);
	msgpack_pack_uint64(&packer, handover->failed_calls);
	msgpack_pack_array(&packer, handover->count);
	for (size_t i = 0; i < handover->count; i++) {
		msgpack_pack_array(&packer, PAIR_FIELDS);
		msgpack_pack_uint64(&packer, handover->failures[i].member);
		msgpack_pack_uint64(&packer, handover->failures[i].age_ms);
	}
}

/* Elements of @p object if it is an array of at least @p min, else NULL. */
static const msgpack_object *array_elements_(const msgpack_object *object,
					     size_t min)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < min)
		return NULL;
	return object->via.array.ptr;
}

static bool read_number_(const msgpack_object *object, uint64_t *number)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*number = object->via.u64;
	return true;
}

static bool read_pull_(const msgpack_object *root, uint64_t *have)
{
	const msgpack_object *at = array_elements_(root, PULL_FIELDS);

	return at && read_number_(&at[0], have);
}

static bool read_section_(const msgpack_object *object,
			  pl_config_section_t *section)
{
	const msgpack_object *at = array_elements_(object, PAIR_FIELDS);

	if (!at || !read_number_(&at[0], &section->changed_revision) ||
	    at[1].type != MSGPACK_OBJECT_BIN)
		return false;
	section->bytes = (const uint8_t *)at[1].via.bin.ptr;
	section->len = at[1].via.bin.size;
	return pl_msgpack_counts_valid(section->bytes, section->len);
}

static bool read_removal_(const msgpack_object *object,
			  pl_config_removal_t *removal)
{
	const msgpack_object *at = array_elements_(object, PAIR_FIELDS);

	if (!at || at[0].type != MSGPACK_OBJECT_STR ||
	    at[0].via.str.size >= PL_NAME_MAX)
		return false;
	memcpy(removal->name, at[0].via.str.ptr, at[0].via.str.size);
	return read_number_(&at[1], &removal->removed_revision);
}

static bool read_sections_(const msgpack_object *object, pl_config_push_t *push)
{
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	push->section_count = object->via.array.size;
	push->sections = g_new0(pl_config_section_t, push->section_count);
	for (size_t i = 0; i < push->section_count; i++) {
		if (!read_section_(&object->via.array.ptr[i],
				   &push->sections[i]))
			return false;
	}
	return true;
}

static bool read_removals_(const msgpack_object *object, pl_config_push_t *push)
{
	if (object->type != MSGPACK_OBJECT_ARRAY)
		return false;
	push->removal_count = object->via.array.size;
	push->removals = g_new0(pl_config_removal_t, push->removal_count);
	for (size_t i = 0; i < push->removal_count; i++) {
		if (!read_removal_(&object->via.array.ptr[i],
				   &push->removals[i]))
			return false;
	}
	return true;
}

static bool read_push_(const msgpack_object *root, pl_config_push_t *push)
{
	const msgpack_object *at = array_elements_(root, PUSH_FIELDS);
	uint64_t kind;

	if (!at || !read_number_(&at[0], &kind) ||
	    kind > PL_CONFIG_PUSH_SECTIONS)
		return false;
	push->kind = (pl_config_push_kind_t)kind;
	return read_number_(&at[1], &push->revision) &&
	       read_number_(&at[2], &push->base) &&
	       read_number_(&at[3], &push->hash) &&
	       read_sections_(&at[4], push) && read_removals_(&at[5], push);
}

static bool read_handover_(const msgpack_object *root,
			   pl_config_handover_t *handover)
{
	const msgpack_object *at = array_elements_(root, HANDOVER_FIELDS);

	if (!at || !read_number_(&at[0], &handover->failed_calls) ||
	    at[1].type != MSGPACK_OBJECT_ARRAY)
		return false;
	handover->count = MIN(at[1].via.array.size, PL_CONFIG_FAILURES_MAX);
	for (size_t i = 0; i < handover->count; i++) {
		const msgpack_object *pair =
			array_elements_(&at[1].via.array.ptr[i], PAIR_FIELDS);
		pl_config_failure_t *failure = &handover->failures[i];

		if (!pair || !read_number_(&pair[0], &failure->member) ||
		    !read_number_(&pair[1], &failure->age_ms))
			return false;
	}
	return true;
}

pl_result_t pl_config_decode_handover(const uint8_t *body, size_t len,
				      pl_config_handover_t *handover)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool valid;

	if (!pl_msgpack_counts_valid(body, len))
		return PL_ERR_MALFORMED;
	msgpack_unpacked_init(&unpacked);
	valid = msgpack_unpack_next(&unpacked, (const char *)body, len,
				    &offset) == MSGPACK_UNPACK_SUCCESS &&
		read_handover_(&unpacked.data, handover);
	msgpack_unpacked_destroy(&unpacked);
	return valid ? PL_OK : PL_ERR_MALFORMED;
}

pl_result_t pl_config_decode_pull(const uint8_t *body, size_t len,
				  uint64_t *have)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool valid;

	if (!pl_msgpack_counts_valid(body, len))
		return PL_ERR_MALFORMED;
	msgpack_unpacked_init(&unpacked);
	valid = msgpack_unpack_next(&unpacked, (const char *)body, len,
				    &offset) == MSGPACK_UNPACK_SUCCESS &&
		read_pull_(&unpacked.data, have);
	msgpack_unpacked_destroy(&unpacked);
	return valid ? PL_OK : PL_ERR_MALFORMED;
}

pl_result_t pl_config_decode_push(const uint8_t *body, size_t len,
				  pl_config_push_t *push)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool valid;

	memset(push, 0, sizeof(*push));
	if (!pl_msgpack_counts_valid(body, len))
		return PL_ERR_MALFORMED;
	msgpack_unpacked_init(&unpacked);
	valid = msgpack_unpack_next(&unpacked, (const char *)body, len,
				    &offset) == MSGPACK_UNPACK_SUCCESS &&
		read_push_(&unpacked.data, push);
	msgpack_unpacked_destroy(&unpacked);
	if (valid)
		return PL_OK;
	pl_config_push_finish(push);
	return PL_ERR_MALFORMED;
}

void pl_config_push_finish(pl_config_push_t *push)
{
	g_clear_pointer(&push->sections, g_free);
	g_clear_pointer(&push->removals, g_free);
	push->section_count = 0;
	push->removal_count = 0;
}
