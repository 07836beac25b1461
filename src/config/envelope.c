/**
 * @file
 * JSON encoding of a document in the platform's key-value store.
 */
#include <pimentolift/envelope.h>

#include <assert.h>
#include <glib.h>
#include <json-c/json.h>
#include <pimentolift/hash.h>
#include <string.h>

void pl_envelope_hash(const char *text, size_t len,
		      char hash[PL_SHA256_TEXT_MAX])
{
	char *hex = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
						(const guchar *)text, len);

	g_strlcpy(hash, hex, PL_SHA256_TEXT_MAX);
	g_free(hex);
}

static void add_history_(pl_envelope_t *next, const char *operation)
{
	if (next->history_count == PL_ENVELOPE_HISTORY)
		return;
	g_strlcpy(next->history[next->history_count++], operation,
		  PL_OPERATION_TEXT_MAX);
}

void pl_envelope_init(pl_envelope_t *next, const pl_envelope_t *previous,
		      const char *author, const char *text, size_t len)
{
	memset(next, 0, sizeof(*next));
	next->revision = previous ? previous->revision + 1 : 1;
	g_snprintf(next->operation, sizeof(next->operation),
		   "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
		   pl_random_identity(), pl_random_identity());
	g_strlcpy(next->author, author, sizeof(next->author));
	pl_envelope_hash(text, len, next->hash);
	next->text = g_malloc(len + 1);
	memcpy(next->text, text, len);
	next->text[len] = '\0';
	next->text_len = len;
	if (!previous)
		return;
	add_history_(next, previous->operation);
	for (size_t i = 0; i < previous->history_count; i++)
		add_history_(next, previous->history[i]);
}

static void put_string_(struct json_object *root, const char *key,
			const char *text, size_t len)
{
	json_object_object_add(root, key,
			       json_object_new_string_len(text, (int)len));
}

char *pl_envelope_encode(const pl_envelope_t *envelope)
{
	struct json_object *root = json_object_new_object();
	struct json_object *history = json_object_new_array();
	char *json;

	json_object_object_add(root, "revision",
			       json_object_new_uint64(envelope->revision));
	if (envelope->generation != 0)
		json_object_object_add(
			root, "generation",
			json_object_new_uint64(envelope->generation));
	put_string_(root, "operation", envelope->operation,
		    strlen(envelope->operation));
	put_string_(root, "author", envelope->author, strlen(envelope->author));
	put_string_(root, "hash", envelope->hash, strlen(envelope->hash));
	for (size_t i = 0; i < envelope->history_count; i++)
		json_object_array_add(
			history, json_object_new_string(envelope->history[i]));
	json_object_object_add(root, "history", history);
	put_string_(root, "document", envelope->text, envelope->text_len);
	json = g_strdup(json_object_to_json_string_ext(
		root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(root);
	return json;
}

/* Copies the string @p key into @p out; false when absent or too long. */
static bool get_string_(struct json_object *root, const char *key, char *out,
			size_t size)
{
	struct json_object *value = NULL;

	if (!json_object_object_get_ex(root, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return false;
	return g_strlcpy(out, json_object_get_string(value), size) < size;
}

/* Reads a positive number; false when absent or invalid. */
static bool get_number_(struct json_object *root, const char *key,
			uint64_t *number)
{
	struct json_object *value = NULL;

	if (!json_object_object_get_ex(root, key, &value) ||
	    !json_object_is_type(value, json_type_int) ||
	    json_object_get_int64(value) < 1)
		return false;
	*number = json_object_get_uint64(value);
	return true;
}

/* An absent generation counts as unknown. */
static bool get_generation_(struct json_object *root, uint64_t *generation)
{
	return !json_object_object_get_ex(root, "generation", NULL) ||
	       get_number_(root, "generation", generation);
}

static bool get_document_(struct json_object *root, pl_envelope_t *envelope)
{
	struct json_object *value = NULL;

	if (!json_object_object_get_ex(root, "document", &value) ||
	    !json_object_is_type(value, json_type_string))
		return false;
	envelope->text_len = (size_t)json_object_get_string_len(value);
	envelope->text = g_malloc(envelope->text_len + 1);
	memcpy(envelope->text, json_object_get_string(value),
	       envelope->text_len + 1);
	return true;
}

/* An absent history counts as empty. */
static bool get_history_(struct json_object *root, pl_envelope_t *envelope)
{
	struct json_object *list = NULL;

	if (!json_object_object_get_ex(root, "history", &list))
		return true;
	if (!json_object_is_type(list, json_type_array))
		return false;
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		const char *text = json_object_get_string(
			json_object_array_get_idx(list, i));

		if (text)
			add_history_(envelope, text);
	}
	return true;
}

static bool read_envelope_(struct json_object *root, pl_envelope_t *envelope)
{
	return root && json_object_is_type(root, json_type_object) &&
	       get_number_(root, "revision", &envelope->revision) &&
	       get_generation_(root, &envelope->generation) &&
	       get_string_(root, "operation", envelope->operation,
			   sizeof(envelope->operation)) &&
	       get_string_(root, "author", envelope->author,
			   sizeof(envelope->author)) &&
	       get_string_(root, "hash", envelope->hash,
			   sizeof(envelope->hash)) &&
	       get_history_(root, envelope) && get_document_(root, envelope);
}

pl_result_t pl_envelope_decode(const char *json, size_t len,
			       pl_envelope_t *envelope, pl_error_t *err)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *root =
		json_tokener_parse_ex(tokener, json, (int)len);
	char hash[PL_SHA256_TEXT_MAX];
	bool valid;

	memset(envelope, 0, sizeof(*envelope));
	valid = read_envelope_(root, envelope);
	json_object_put(root);
	json_tokener_free(tokener);
	if (!valid) {
		pl_envelope_finish(envelope);
		return pl_error_set(err, PL_ERR_MALFORMED,
				    "the value of the document's key is not "
				    "a valid envelope");
	}
	pl_envelope_hash(envelope->text, envelope->text_len, hash);
	if (strcmp(hash, envelope->hash) == 0)
		return PL_OK;
	pl_envelope_finish(envelope);
	return pl_error_set(err, PL_ERR_MALFORMED,
			    "the document's SHA-256 differs from the hash "
			    "stored with it");
}

void pl_envelope_finish(pl_envelope_t *envelope)
{
	g_clear_pointer(&envelope->text, g_free);
	envelope->text_len = 0;
}

bool pl_envelope_includes(const pl_envelope_t *envelope, const char *operation)
{
	if (strcmp(envelope->operation, operation) == 0)
		return true;
	for (size_t i = 0; i < envelope->history_count; i++) {
		if (strcmp(envelope->history[i], operation) == 0)
			return true;
	}
	return false;
}
