/**
 * @file
 * Decodes the JSON answer of the key-value service.
 */
#include "private/kv.h"

#include <json-c/json.h>
#include <string.h>

static struct json_object *parse_(const char *body, size_t len)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *root =
		json_tokener_parse_ex(tokener, body, (int)len);

	json_tokener_free(tokener);
	return root;
}

static pl_result_t decode_entry_(struct json_object *entry, char **value,
				 size_t *value_len, uint64_t *modify_index)
{
	struct json_object *text = NULL;
	struct json_object *index = NULL;
	gsize len = 0;
	guchar *bytes;

	if (!json_object_is_type(entry, json_type_object) ||
	    !json_object_object_get_ex(entry, "Value", &text) ||
	    !json_object_object_get_ex(entry, "ModifyIndex", &index) ||
	    !json_object_is_type(index, json_type_int))
		return PL_ERR_MALFORMED;
	/* an empty value is null */
	if (text && !json_object_is_type(text, json_type_string))
		return PL_ERR_MALFORMED;
	bytes = g_base64_decode(text ? json_object_get_string(text) : "", &len);
	*value = g_malloc(len + 1);
	memcpy(*value, bytes, len);
	(*value)[len] = '\0';
	*value_len = len;
	*modify_index = (uint64_t)json_object_get_int64(index);
	g_free(bytes);
	return PL_OK;
}

pl_result_t pl_kv_decode(const char *body, size_t len, char **value,
			 size_t *value_len, uint64_t *modify_index)
{
	struct json_object *root = parse_(body, len);
	pl_result_t result = PL_ERR_MALFORMED;

	if (root && json_object_is_type(root, json_type_array) &&
	    json_object_array_length(root) == 1)
		result = decode_entry_(json_object_array_get_idx(root, 0),
				       value, value_len, modify_index);
	json_object_put(root);
	return result;
}
