/**
 * @file
 * Stored answers and their Block2 transfer.
 */
#include "private/answer.h"

#include <assert.h>
#include <glib.h>
#include <pimentolift/hash.h>
#include <string.h>

/** Maximum SZX (block size exponent): blocks of 1024 bytes. */
#define SZX_MAX 6

/** An answer in the store. */
typedef struct {
	pl_list_t age_link;
	uint64_t id; /**< first boot ID of the agent plus request ID */
	GBytes *key; /**< caller, method, path and query */
	pl_ms_t expires_at;
	pl_ms_t last_block_at;
	size_t requested_end; /**< end of the blocks requested so far */
	pl_answer_t *answer;
} stored_answer_t;

struct pl_answer_store {
	pl_timer_service_t *timers;
	pl_body_budget_t *budget;
	GHashTable *by_id; /* owns the elements */
	GHashTable *by_key; /* the latest answer for each key */
	pl_list_t by_age; /* oldest first */
};

static void free_answer_(pl_ref_t *ref)
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

	pl_ref_init(&answer->ref, free_answer_);
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

static void write_options_(const pl_answer_t *answer, pl_coap_writer_t *writer)
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
	write_options_(answer, &writer);
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

static GBytes *answer_key_(const pl_addr_t *caller, uint8_t method,
			   const char *path, const char *query)
{
	GByteArray *key = g_byte_array_new();

	g_byte_array_append(key, (const guint8 *)caller, sizeof(*caller));
	g_byte_array_append(key, &method, 1);
	g_byte_array_append(key, (const guint8 *)path, strlen(path) + 1);
	g_byte_array_append(key, (const guint8 *)query, strlen(query) + 1);
	return g_byte_array_free_to_bytes(key);
}

static void free_stored_(gpointer data)
{
	stored_answer_t *stored = data;

	pl_list_remove(&stored->age_link);
	pl_ref_put(&stored->answer->ref);
	g_bytes_unref(stored->key);
	g_free(stored);
}

pl_answer_store_t *pl_answer_store_new(pl_timer_service_t *timers,
				       pl_body_budget_t *budget)
{
	pl_answer_store_t *store = g_new0(pl_answer_store_t, 1);

	store->timers = timers;
	store->budget = budget;
	store->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     free_stored_);
	store->by_key = g_hash_table_new(g_bytes_hash, g_bytes_equal);
	pl_list_init(&store->by_age);
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

static void remove_stored_(pl_answer_store_t *store, stored_answer_t *stored)
{
	if (g_hash_table_lookup(store->by_key, stored->key) == stored)
		g_hash_table_remove(store->by_key, stored->key);
	g_hash_table_remove(store->by_id, &stored->id);
}

static bool evict_oldest_(pl_answer_store_t *store)
{
	pl_list_t *oldest = pl_list_first(&store->by_age);

	if (!oldest)
		return false;
	remove_stored_(store,
		       PL_CONTAINER_OF(oldest, stored_answer_t, age_link));
	return true;
}

void pl_answer_store_put(pl_answer_store_t *store, uint64_t id,
			 const pl_addr_t *caller, uint8_t method,
			 const char *path, const char *query,
			 pl_answer_t *answer, size_t first_block,
			 uint32_t keep_ms)
{
	stored_answer_t *stored = g_hash_table_lookup(store->by_id, &id);

	if (stored)
		remove_stored_(store, stored);
	if (g_hash_table_size(store->by_id) >= PL_ANSWER_MAX)
		evict_oldest_(store);
	stored = g_new0(stored_answer_t, 1);
	stored->id = id;
	stored->key = answer_key_(caller, method, path, query);
	stored->expires_at = pl_timer_service_now(store->timers) + keep_ms;
	stored->last_block_at = pl_timer_service_now(store->timers);
	stored->requested_end = first_block;
	stored->answer = answer;
	pl_ref_get(&answer->ref);
	pl_list_append(&store->by_age, &stored->age_link);
	g_hash_table_insert(store->by_id, &stored->id, stored);
	/*
	 * The element owns its key, so g_hash_table_replace() is needed: it
	 * also replaces the key of an older element.
	 */
	g_hash_table_replace(store->by_key, stored->key, stored);
}

/*
 * Returns a reference to the answer for the block @p msg. Removes the answer
 * from the store when @p msg requests its last block.
 */
static pl_answer_t *use_stored_(pl_answer_store_t *store,
				stored_answer_t *stored,
				const pl_coap_msg_t *msg)
{
	size_t size = 16U << msg->block2.szx;
	size_t end = (msg->block2.num + (size_t)1) * size;
	pl_answer_t *answer = stored->answer;

	pl_ref_get(&answer->ref);
	stored->last_block_at = pl_timer_service_now(store->timers);
	if (end >= answer->body_len)
		remove_stored_(store, stored);
	else if (end > stored->requested_end)
		stored->requested_end = end;
	return answer;
}

pl_answer_t *pl_answer_store_lookup(pl_answer_store_t *store,
				    const pl_addr_t *caller,
				    const pl_coap_msg_t *msg, uint64_t *id)
{
	GBytes *key = answer_key_(caller, msg->code, msg->path, msg->query);
	stored_answer_t *stored = g_hash_table_lookup(store->by_key, key);
	size_t offset = msg->block2.num * ((size_t)16 << msg->block2.szx);

	g_bytes_unref(key);
	if (!stored || offset > stored->requested_end)
		return NULL;
	*id = stored->id;
	return use_stored_(store, stored, msg);
}

pl_answer_t *pl_answer_store_lookup_id(pl_answer_store_t *store, uint64_t id,
				       const pl_coap_msg_t *msg)
{
	stored_answer_t *stored = g_hash_table_lookup(store->by_id, &id);

	return stored ? use_stored_(store, stored, msg) : NULL;
}

bool pl_answer_store_reclaim(pl_answer_store_t *store, size_t need)
{
	if (need > store->budget->max)
		return false;
	while (store->budget->used + need > store->budget->max) {
		if (!evict_oldest_(store))
			return false;
	}
	return true;
}

bool pl_answer_store_in_use(const pl_answer_store_t *store, uint32_t within_ms)
{
	pl_ms_t now = pl_timer_service_now(store->timers);

	pl_list_for_each(node, &store->by_age) {
		if (PL_CONTAINER_OF(node, stored_answer_t, age_link)
				    ->last_block_at +
			    within_ms >
		    now)
			return true;
	}
	return false;
}

void pl_answer_store_sweep(pl_answer_store_t *store)
{
	pl_ms_t now = pl_timer_service_now(store->timers);

	for (pl_list_t *oldest = pl_list_first(&store->by_age); oldest;
	     oldest = pl_list_first(&store->by_age)) {
		if (PL_CONTAINER_OF(oldest, stored_answer_t, age_link)
			    ->expires_at > now)
			return;
		evict_oldest_(store);
	}
}

size_t pl_answer_store_count(const pl_answer_store_t *store)
{
	return g_hash_table_size(store->by_id);
}
