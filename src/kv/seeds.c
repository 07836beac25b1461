/**
 * @file
 * Seed list in the platform's key-value store.
 */
#include <pimentolift/seeds.h>

#include <assert.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>

static char *seeds_key_(const char *environment)
{
	return g_strdup_printf("pimentolift/%s/seeds", environment);
}

static struct json_object *parse_json_(const char *json, size_t len)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *list =
		json_tokener_parse_ex(tokener, json, (int)len);

	json_tokener_free(tokener);
	return list;
}

/* Entries that are not valid addresses are skipped. */
static pl_result_t decode_seeds_(const char *json, size_t len,
				 pl_seeds_t *seeds)
{
	struct json_object *list = parse_json_(json, len);
	bool valid = list && json_object_is_type(list, json_type_array);
	size_t count = valid ? json_object_array_length(list) : 0;

	for (size_t i = 0; i < count && seeds->count < PL_SEEDS_MAX; i++) {
		const char *text = json_object_get_string(
			json_object_array_get_idx(list, i));

		if (text && pl_addr_parse(text, &seeds->at[seeds->count],
					  NULL) == PL_OK)
			seeds->count++;
	}
	json_object_put(list);
	return valid ? PL_OK : PL_ERR_MALFORMED;
}

static char *encode_seeds_(const pl_seeds_t *seeds)
{
	struct json_object *list = json_object_new_array();
	char text[PL_ADDR_TEXT_MAX];
	char *json;

	for (size_t i = 0; i < seeds->count; i++)
		json_object_array_add(
			list, json_object_new_string(
				      pl_addr_format(&seeds->at[i], text)));
	json = g_strdup(
		json_object_to_json_string_ext(list, JSON_C_TO_STRING_PLAIN));
	json_object_put(list);
	return json;
}

static void on_read_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_seeds_t *seeds = ctx;
	pl_result_t result = reply->result;

	seeds->modify_index = reply->modify_index;
	if (result == PL_OK)
		result = decode_seeds_(reply->value, reply->value_len, seeds);
	seeds->done(seeds->ctx, result);
}

static void on_written_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_seeds_t *seeds = ctx;

	seeds->done(seeds->ctx, reply->result);
}

void pl_seeds_read(pl_kv_t *platform, const char *environment,
		   pl_seeds_t *seeds, pl_seeds_done_t done, void *ctx)
{
	char *key = seeds_key_(environment);

	assert(done);
	*seeds = (pl_seeds_t){ .done = done, .ctx = ctx };
	pl_kv_get(platform, key, on_read_, seeds);
	g_free(key);
}

void pl_seeds_write(pl_kv_t *platform, const char *environment,
		    pl_seeds_t *seeds, pl_seeds_done_t done, void *ctx)
{
	char *key = seeds_key_(environment);
	char *json = encode_seeds_(seeds);

	assert(done);
	seeds->done = done;
	seeds->ctx = ctx;
	pl_kv_put(platform,
		  &(pl_kv_write_t){ .key = key,
				    .value = json,
				    .value_len = strlen(json),
				    .expected_index = seeds->modify_index },
		  on_written_, seeds);
	g_free(json);
	g_free(key);
}

static bool contains_addr_(const pl_addr_t *addrs, size_t count,
			   const pl_addr_t *addr)
{
	for (size_t i = 0; i < count; i++) {
		if (pl_addr_equal(&addrs[i], addr))
			return true;
	}
	return false;
}

bool pl_seeds_add(pl_seeds_t *seeds, const pl_addr_t *addr, size_t victim)
{
	if (contains_addr_(seeds->at, seeds->count, addr))
		return false;
	if (seeds->count < PL_SEEDS_MAX)
		seeds->at[seeds->count++] = *addr;
	else
		seeds->at[victim % PL_SEEDS_MAX] = *addr;
	return true;
}

bool pl_seeds_refresh(pl_seeds_t *seeds, const pl_addr_t *alive, size_t count)
{
	size_t capacity = count < PL_SEEDS_MAX ? count : PL_SEEDS_MAX;
	pl_seeds_t updated = *seeds;

	updated.count = 0;
	for (size_t i = 0; i < seeds->count; i++) {
		if (contains_addr_(alive, count, &seeds->at[i]))
			updated.at[updated.count++] = seeds->at[i];
	}
	if (updated.count * 2 >= capacity)
		return false;
	for (size_t i = 0; i < count && updated.count < capacity; i++) {
		if (!contains_addr_(updated.at, updated.count, &alive[i]))
			updated.at[updated.count++] = alive[i];
	}
	*seeds = updated;
	return true;
}
