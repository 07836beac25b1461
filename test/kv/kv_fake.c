#include "kv_fake.h"

#include <string.h>

typedef enum { CALL_GET, CALL_PUT, CALL_REMOVE, CALL_LIST } call_type_t;

typedef struct {
	char *value;
	uint64_t index;
} item_t;

typedef struct {
	pl_kv_call_t call;
	call_type_t type;
	char *key; /* of a list: the prefix */
	char *value; /* of a list: the key before the page, or NULL */
	uint64_t expected_index;
	pl_kv_done_t done;
	void *ctx;
} call_t;

static kv_fake_t *fake_of_(const pl_kv_t *kv)
{
	return (kv_fake_t *)kv;
}

static void item_free_(gpointer data)
{
	item_t *item = data;

	g_free(item->value);
	g_free(item);
}

static GHashTable *items_new_(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     item_free_);
}

static void items_put_(GHashTable *items, const char *key, const char *value,
		       uint64_t index)
{
	item_t *item = g_new0(item_t, 1);

	item->value = g_strdup(value);
	item->index = index;
	g_hash_table_replace(items, g_strdup(key), item);
}

static GHashTable *items_copy_(GHashTable *items)
{
	GHashTable *copy = items_new_();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const item_t *item = value;

		items_put_(copy, key, item->value, item->index);
	}
	return copy;
}

static const item_t *find_(const kv_fake_t *fake, const char *key)
{
	return g_hash_table_lookup(fake->items, key);
}

static call_t *start_(pl_kv_t *kv, call_type_t type, const char *key,
		      pl_kv_done_t done, void *ctx)
{
	call_t *call = g_new0(call_t, 1);

	call->call.kv = kv;
	call->type = type;
	call->key = g_strdup(key);
	call->expected_index = PL_KV_ANY;
	call->done = done;
	call->ctx = ctx;
	fake_of_(kv)->started++;
	g_queue_push_tail(fake_of_(kv)->calls, call);
	return call;
}

static pl_kv_call_t *get_(pl_kv_t *kv, const char *key, pl_kv_done_t done,
			  void *ctx)
{
	return &start_(kv, CALL_GET, key, done, ctx)->call;
}

static pl_kv_call_t *put_(pl_kv_t *kv, const pl_kv_write_t *write,
			  pl_kv_done_t done, void *ctx)
{
	call_t *call = start_(kv, CALL_PUT, write->key, done, ctx);

	call->expected_index = write->expected_index;
	call->value = g_strndup(write->value, write->value_len);
	return &call->call;
}

static pl_kv_call_t *remove_(pl_kv_t *kv, const char *key, uint64_t index,
			     pl_kv_done_t done, void *ctx)
{
	call_t *call = start_(kv, CALL_REMOVE, key, done, ctx);

	call->expected_index = index;
	return &call->call;
}

static pl_kv_call_t *list_(pl_kv_t *kv, const pl_kv_range_t *range,
			   pl_kv_done_t done, void *ctx)
{
	call_t *call = start_(kv, CALL_LIST, range->prefix, done, ctx);

	call->value = g_strdup(range->after);
	return &call->call;
}

static void call_free_(gpointer data)
{
	call_t *call = data;

	g_free(call->key);
	g_free(call->value);
	g_free(call);
}

static pl_result_t apply_(kv_fake_t *fake, const call_t *call)
{
	const item_t *item = find_(fake, call->key);

	if (fake->down)
		return PL_ERR_UNAVAILABLE;
	if (call->type == CALL_LIST)
		return PL_OK;
	if (call->type == CALL_GET)
		return item ? PL_OK : PL_ERR_NOT_FOUND;
	if (call->expected_index != PL_KV_ANY &&
	    call->expected_index != (item ? item->index : 0))
		return PL_ERR_CONFLICT;
	fake->index++;
	if (call->type == CALL_PUT)
		items_put_(fake->items, call->key, call->value, fake->index);
	else
		g_hash_table_remove(fake->items, call->key);
	return PL_OK;
}

/* Appends a page of items to @p out; returns whether there are more. */
static bool append_page_(const kv_fake_t *fake, const call_t *call, GArray *out)
{
	GList *keys = g_list_sort(g_hash_table_get_keys(fake->items),
				  (GCompareFunc)strcmp);
	bool more = false;

	for (GList *at = keys; at && !more; at = at->next) {
		const item_t *item = find_(fake, at->data);
		pl_kv_item_t row = { .key = at->data,
				     .value = item->value,
				     .value_len = strlen(item->value),
				     .modify_index = item->index };

		if (!g_str_has_prefix(at->data, call->key) ||
		    (call->value && strcmp(at->data, call->value) <= 0))
			continue;
		more = fake->page > 0 && out->len == fake->page;
		if (!more)
			g_array_append_val(out, row);
	}
	g_list_free(keys);
	return more;
}

static void end_call_(kv_fake_t *fake, const call_t *call)
{
	pl_kv_reply_t reply = { .result = apply_(fake, call), .message = "" };
	const item_t *item = find_(fake, call->key);
	GArray *page = g_array_new(FALSE, FALSE, sizeof(pl_kv_item_t));

	if (!fake->down)
		reply.position =
			(pl_kv_position_t){ fake->generation, fake->index };
	reply.result = pl_kv_result_in_generation(
		&fake->kv, reply.result, reply.position.generation,
		call->type == CALL_PUT || call->type == CALL_REMOVE);
	if (call->type == CALL_PUT && fake->lose_answers > 0) {
		fake->lose_answers--;
		reply.result = PL_ERR_UNKNOWN_OUTCOME;
	}
	if (call->type == CALL_GET && item) {
		reply.value = item->value;
		reply.value_len = strlen(item->value);
		reply.modify_index = item->index;
	}
	if (call->type == CALL_LIST && reply.result == PL_OK) {
		reply.more = append_page_(fake, call, page);
		reply.items = (pl_kv_item_t *)page->data;
		reply.item_count = page->len;
	}
	call->done(call->ctx, &reply);
	g_array_free(page, TRUE);
	pl_kv_note_generation(&fake->kv, reply.position.generation);
}

static void poll_(pl_kv_t *kv)
{
	kv_fake_t *fake = fake_of_(kv);
	GQueue *due = fake->calls;
	call_t *call;

	fake->calls = g_queue_new();
	while ((call = g_queue_pop_head(due)) != NULL) {
		end_call_(fake, call);
		call_free_(call);
	}
	g_queue_free(due);
}

static void wait_(pl_kv_t *kv, uint32_t wait_ms)
{
	kv_fake_t *fake = fake_of_(kv);

	(void)wait_ms;
	if (fake->before_wait)
		fake->before_wait(fake->wait_ctx);
	poll_(kv);
}

static const pl_kv_ops_t ops_ = {
	.get = get_,
	.put = put_,
	.remove = remove_,
	.list = list_,
	.poll = poll_,
	.wait = wait_,
};

kv_fake_t *kv_fake_new(void)
{
	kv_fake_t *fake = g_new0(kv_fake_t, 1);

	fake->kv.ops = &ops_;
	fake->items = items_new_();
	fake->generation = 1;
	fake->index = 1;
	fake->calls = g_queue_new();
	return fake;
}

void kv_fake_delete(kv_fake_t *fake)
{
	g_hash_table_destroy(fake->items);
	g_clear_pointer(&fake->copy, g_hash_table_destroy);
	g_queue_free_full(fake->calls, call_free_);
	g_free(fake);
}

bool kv_fake_has(const kv_fake_t *fake, const char *key)
{
	return find_(fake, key) != NULL;
}

void kv_fake_put(kv_fake_t *fake, const char *key, const char *value)
{
	items_put_(fake->items, key, value, ++fake->index);
}

void kv_fake_write_others(kv_fake_t *fake, uint64_t count)
{
	fake->index += count;
}

void kv_fake_copy(kv_fake_t *fake)
{
	g_clear_pointer(&fake->copy, g_hash_table_destroy);
	fake->copy = items_copy_(fake->items);
	fake->copied_index = fake->index;
}

void kv_fake_restore(kv_fake_t *fake)
{
	g_hash_table_destroy(fake->items);
	fake->items = items_copy_(fake->copy);
	fake->index = fake->copied_index;
	fake->generation++;
}
