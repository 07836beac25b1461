/**
 * @file
 * Kept answers and their Block2 transfer.
 */
#include "private/answer.h"

#include <assert.h>
#include <glib.h>
#include <pimentolift/hash.h>
#include <string.h>

/** Largest SZX: blocks of 1024 bytes. */
#define SZX_MAX 6

/** An answer in the store. */
typedef struct {
	pl_list_t age;
	GBytes *key; /**< caller, method, path and query */
	pl_ms_t expires_at;
	size_t next_offset; /**< end of what was asked for */
	pl_answer_t *answer;
} kept_t;

struct pl_answer_store {
	pl_timer_service_t *timers;
	pl_body_budget_t *budget;
	GHashTable *kept;
	pl_list_t ages;
};

static void release_(pl_ref_t *ref)
{
	pl_answer_t *answer = PL_CONTAINER_OF(ref, pl_answer_t, ref);

	assert(answer->budget->used >= answer->body_len);
	answer->budget->used -= answer->body_len;
	g_free(answer->location_path);
	g_free(answer->body);
	g_free(answer);
}

pl_answer_t *pl_answer_new(pl_body_budget_t *budget,
			   const pl_backend_reply_t *reply)
{
	pl_answer_t *answer = g_new0(pl_answer_t, 1);

	pl_ref_init(&answer->ref, release_);
	answer->budget = budget;
	answer->code = reply->code;
	answer->content_format = reply->content_format;
	answer->max_age_s = reply->max_age_s;
	answer->location_path = g_strdup(reply->location_path);
	answer->body = g_memdup2(reply->body, reply->body_len);
	answer->body_len = reply->body_len;
	answer->etag =
		pl_hash(reply->body_len > 0 ? (const void *)reply->body : "",
			reply->body_len, reply->code);
	budget->used += answer->body_len;
	return answer;
}

static uint8_t szx_of_(const pl_exchange_t *exchange)
{
	if (!exchange->block2.present || exchange->block2.szx > SZX_MAX)
		return SZX_MAX;
	return exchange->block2.szx;
}

size_t pl_answer_block_size(const pl_exchange_t *exchange)
{
	return 16U << szx_of_(exchange);
}

static void write_head_(const pl_answer_t *answer, pl_coap_writer_t *writer)
{
	if (answer->body_len > 0)
		pl_coap_write_option(writer, PL_COAP_OPT_ETAG, &answer->etag,
				     sizeof(answer->etag));
	if (answer->location_path)
		pl_coap_write_segments(writer, PL_COAP_OPT_LOCATION_PATH,
				       answer->location_path, '/');
	if (answer->content_format >= 0)
		pl_coap_write_uint(writer, PL_COAP_OPT_CONTENT_FORMAT,
				   (uint32_t)answer->content_format);
	if (answer->max_age_s >= 0)
		pl_coap_write_uint(writer, PL_COAP_OPT_MAX_AGE,
				   (uint32_t)answer->max_age_s);
}

void pl_answer_respond(const pl_answer_t *answer, pl_exchange_t *exchange)
{
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	pl_coap_writer_t writer;
	pl_coap_block_t block = { .present = true, .szx = szx_of_(exchange) };
	size_t size = 16U << block.szx;
	size_t offset;
	size_t len;

	block.num = exchange->block2.present ? exchange->block2.num : 0;
	offset = (size_t)block.num * size;
	if (offset > 0 && offset >= answer->body_len) {
		pl_exchange_respond(exchange, PL_COAP_BAD_REQUEST, -1,
				    "block past the end");
		return;
	}
	len = answer->body_len - offset;
	if (len > size)
		len = size;
	block.more = offset + len < answer->body_len;
	pl_exchange_write_start(exchange, &writer, buf, sizeof(buf),
				answer->code);
	write_head_(answer, &writer);
	if (block.more || block.num > 0 || exchange->block2.present)
		pl_coap_write_block(&writer, PL_COAP_OPT_BLOCK2, &block);
	if (exchange->block1.present)
		pl_coap_write_block(&writer, PL_COAP_OPT_BLOCK1,
				    &exchange->block1);
	if (block.more && block.num == 0)
		pl_coap_write_uint(&writer, PL_COAP_OPT_SIZE2,
				   (uint32_t)answer->body_len);
	if (len > 0)
		pl_coap_write_payload(&writer, answer->body + offset, len);
	pl_exchange_send(exchange, &writer);
}

static GBytes *key_(const pl_addr_t *caller, uint8_t method, const char *path,
		    const char *query)
{
	GByteArray *key = g_byte_array_new();

	g_byte_array_append(key, (const guint8 *)caller, sizeof(*caller));
	g_byte_array_append(key, &method, 1);
	g_byte_array_append(key, (const guint8 *)path, strlen(path) + 1);
	g_byte_array_append(key, (const guint8 *)query, strlen(query) + 1);
	return g_byte_array_free_to_bytes(key);
}

static void free_kept_(gpointer data)
{
	kept_t *kept = data;

	pl_list_remove(&kept->age);
	pl_ref_put(&kept->answer->ref);
	g_bytes_unref(kept->key);
	g_free(kept);
}

pl_answer_store_t *pl_answer_store_new(pl_timer_service_t *timers,
				       pl_body_budget_t *budget)
{
	pl_answer_store_t *store = g_new0(pl_answer_store_t, 1);

	store->timers = timers;
	store->budget = budget;
	store->kept = g_hash_table_new_full(g_bytes_hash, g_bytes_equal, NULL,
					    free_kept_);
	pl_list_init(&store->ages);
	return store;
}

void pl_answer_store_delete(pl_answer_store_t *store)
{
	if (!store)
		return;
	g_hash_table_destroy(store->kept);
	g_free(store);
}

static bool drop_oldest_(pl_answer_store_t *store)
{
	pl_list_t *oldest = pl_list_first(&store->ages);

	if (!oldest)
		return false;
	g_hash_table_remove(store->kept,
			    PL_CONTAINER_OF(oldest, kept_t, age)->key);
	return true;
}

void pl_answer_store_put(pl_answer_store_t *store, const pl_addr_t *caller,
			 uint8_t method, const char *path, const char *query,
			 pl_answer_t *answer, size_t first_block,
			 uint32_t keep_ms)
{
	kept_t *kept = g_new0(kept_t, 1);

	kept->key = key_(caller, method, path, query);
	kept->expires_at = pl_timer_service_now(store->timers) + keep_ms;
	kept->next_offset = first_block;
	kept->answer = answer;
	pl_ref_get(&answer->ref);
	g_hash_table_remove(store->kept, kept->key);
	if (g_hash_table_size(store->kept) >= PL_ANSWER_MAX)
		drop_oldest_(store);
	pl_list_append(&store->ages, &kept->age);
	g_hash_table_insert(store->kept, kept->key, kept);
}

pl_answer_t *pl_answer_store_take(pl_answer_store_t *store,
				  const pl_addr_t *caller,
				  const pl_coap_msg_t *msg)
{
	GBytes *key = key_(caller, msg->code, msg->path, msg->query);
	kept_t *kept = g_hash_table_lookup(store->kept, key);
	size_t size = 16U << msg->block2.szx;
	size_t offset = (size_t)msg->block2.num * size;
	pl_answer_t *answer;

	g_bytes_unref(key);
	if (!kept || offset > kept->next_offset)
		return NULL;
	answer = kept->answer;
	pl_ref_get(&answer->ref);
	if (offset + size >= answer->body_len)
		g_hash_table_remove(store->kept, kept->key);
	else if (offset + size > kept->next_offset)
		kept->next_offset = offset + size;
	return answer;
}

bool pl_answer_store_reclaim(pl_answer_store_t *store, size_t need)
{
	if (need > store->budget->max)
		return false;
	while (store->budget->used + need > store->budget->max) {
		if (!drop_oldest_(store))
			return false;
	}
	return true;
}

void pl_answer_store_sweep(pl_answer_store_t *store)
{
	pl_ms_t now = pl_timer_service_now(store->timers);

	for (pl_list_t *oldest = pl_list_first(&store->ages); oldest;
	     oldest = pl_list_first(&store->ages)) {
		if (PL_CONTAINER_OF(oldest, kept_t, age)->expires_at > now)
			return;
		drop_oldest_(store);
	}
}

size_t pl_answer_store_count(const pl_answer_store_t *store)
{
	return g_hash_table_size(store->kept);
}
