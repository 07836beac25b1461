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
	uint64_t id; /**< of the request */
	GBytes *key; /**< caller, method, path and query */
	pl_ms_t expires_at;
	pl_ms_t used_at; /**< last block sent */
	size_t next_offset; /**< end of what was asked for */
	pl_answer_t *answer;
} kept_t;

struct pl_answer_store {
	pl_timer_service_t *timers;
	pl_body_budget_t *budget;
	GHashTable *by_id; /* owns the elements */
	GHashTable *by_key; /* the latest of each key */
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

void pl_answer_respond(const pl_answer_t *answer, pl_exchange_t *exchange,
		       const uint8_t *echo)
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
	if (block.more && echo)
		pl_coap_write_option(&writer, PL_COAP_OPT_ECHO, echo,
				     PL_TICKET_BYTES);
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
	store->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     free_kept_);
	store->by_key = g_hash_table_new(g_bytes_hash, g_bytes_equal);
	pl_list_init(&store->ages);
	return store;
}

void pl_answer_store_delete(pl_answer_store_t *store)
{
	if (!store)
		return;
	g_hash_table_destroy(store->by_key);
	g_hash_table_destroy(store->by_id);
	g_free(store);
}

static void drop_(pl_answer_store_t *store, kept_t *kept)
{
	if (g_hash_table_lookup(store->by_key, kept->key) == kept)
		g_hash_table_remove(store->by_key, kept->key);
	g_hash_table_remove(store->by_id, &kept->id);
}

static bool drop_oldest_(pl_answer_store_t *store)
{
	pl_list_t *oldest = pl_list_first(&store->ages);

	if (!oldest)
		return false;
	drop_(store, PL_CONTAINER_OF(oldest, kept_t, age));
	return true;
}

void pl_answer_store_put(pl_answer_store_t *store, uint64_t id,
			 const pl_addr_t *caller, uint8_t method,
			 const char *path, const char *query,
			 pl_answer_t *answer, size_t first_block,
			 uint32_t keep_ms)
{
	kept_t *kept = g_hash_table_lookup(store->by_id, &id);

	if (kept)
		drop_(store, kept);
	if (g_hash_table_size(store->by_id) >= PL_ANSWER_MAX)
		drop_oldest_(store);
	kept = g_new0(kept_t, 1);
	kept->id = id;
	kept->key = key_(caller, method, path, query);
	kept->expires_at = pl_timer_service_now(store->timers) + keep_ms;
	kept->used_at = pl_timer_service_now(store->timers);
	kept->next_offset = first_block;
	kept->answer = answer;
	pl_ref_get(&answer->ref);
	pl_list_append(&store->ages, &kept->age);
	g_hash_table_insert(store->by_id, &kept->id, kept);
	/* the key goes with the element, so an older one's is replaced too */
	g_hash_table_replace(store->by_key, kept->key, kept);
}

/* Takes a reference for the block @p msg, and drops what was the last one. */
static pl_answer_t *take_(pl_answer_store_t *store, kept_t *kept,
			  const pl_coap_msg_t *msg)
{
	size_t size = 16U << msg->block2.szx;
	size_t end = (msg->block2.num + (size_t)1) * size;
	pl_answer_t *answer = kept->answer;

	pl_ref_get(&answer->ref);
	kept->used_at = pl_timer_service_now(store->timers);
	if (end >= answer->body_len)
		drop_(store, kept);
	else if (end > kept->next_offset)
		kept->next_offset = end;
	return answer;
}

pl_answer_t *pl_answer_store_take(pl_answer_store_t *store,
				  const pl_addr_t *caller,
				  const pl_coap_msg_t *msg, uint64_t *id)
{
	GBytes *key = key_(caller, msg->code, msg->path, msg->query);
	kept_t *kept = g_hash_table_lookup(store->by_key, key);
	size_t offset = msg->block2.num * ((size_t)16 << msg->block2.szx);

	g_bytes_unref(key);
	if (!kept || offset > kept->next_offset)
		return NULL;
	*id = kept->id;
	return take_(store, kept, msg);
}

pl_answer_t *pl_answer_store_take_id(pl_answer_store_t *store, uint64_t id,
				     const pl_coap_msg_t *msg)
{
	kept_t *kept = g_hash_table_lookup(store->by_id, &id);

	return kept ? take_(store, kept, msg) : NULL;
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

bool pl_answer_store_in_use(const pl_answer_store_t *store, uint32_t within_ms)
{
	pl_ms_t now = pl_timer_service_now(store->timers);

	pl_list_for_each(node, &store->ages) {
		if (PL_CONTAINER_OF(node, kept_t, age)->used_at + within_ms >
		    now)
			return true;
	}
	return false;
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
	return g_hash_table_size(store->by_id);
}
