#include "kv_fake.h"

#include <string.h>

typedef enum { CALL_GET, CALL_PUT, CALL_REMOVE, CALL_LIST } call_type_t;

typedef struct {
	pl_kv_call_t call;
	call_type_t type;
	char *key;
	uint64_t expected_index;
	pl_kv_done_t done;
	void *ctx;
} call_t;

static kv_fake_t *fake_of_(const pl_kv_t *kv)
{
	return (kv_fake_t *)kv;
}

static GHashTable *items_new_(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static GHashTable *items_copy_(GHashTable *items)
{
	GHashTable *copy = items_new_();
	GHashTableIter iter;
	gpointer key;
	gpointer index;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, &key, &index))
		g_hash_table_insert(copy, g_strdup(key),
				    g_memdup2(index, sizeof(uint64_t)));
	return copy;
}

static uint64_t find_(const kv_fake_t *fake, const char *key)
{
	const uint64_t *index = g_hash_table_lookup(fake->items, key);

	return index ? *index : 0;
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
	return &call->call;
}

static pl_kv_call_t *remove_(pl_kv_t *kv, const char *key, uint64_t index,
			     pl_kv_done_t done, void *ctx)
{
	call_t *call = start_(kv, CALL_REMOVE, key, done, ctx);

	call->expected_index = index;
	return &call->call;
}

static void call_free_(gpointer data)
{
	call_t *call = data;

	g_free(call->key);
	g_free(call);
}

static pl_result_t apply_(kv_fake_t *fake, const call_t *call)
{
	uint64_t present = find_(fake, call->key);

	if (fake->down)
		return PL_ERR_UNAVAILABLE;
	if (call->type == CALL_GET)
		return present ? PL_OK : PL_ERR_NOT_FOUND;
	if (call->expected_index != PL_KV_ANY &&
	    call->expected_index != present)
		return PL_ERR_CONFLICT;
	fake->index++;
	if (call->type == CALL_PUT)
		g_hash_table_replace(fake->items, g_strdup(call->key),
				     g_memdup2(&fake->index, sizeof(uint64_t)));
	else
		g_hash_table_remove(fake->items, call->key);
	return PL_OK;
}

static void poll_(pl_kv_t *kv)
{
	kv_fake_t *fake = fake_of_(kv);
	GQueue *due = fake->calls;
	call_t *call;

	fake->calls = g_queue_new();
	while ((call = g_queue_pop_head(due)) != NULL) {
		pl_kv_reply_t reply = { .result = apply_(fake, call),
					.message = "" };

		if (!fake->down)
			reply.position = (pl_kv_position_t){ fake->generation,
							     fake->index };
		reply.modify_index = find_(fake, call->key);
		reply.result = pl_kv_result_in_generation(
			kv, reply.result, reply.position.generation,
			call->type == CALL_PUT || call->type == CALL_REMOVE);
		call->done(call->ctx, &reply);
		call_free_(call);
		pl_kv_note_generation(kv, reply.position.generation);
	}
	g_queue_free(due);
}

static const pl_kv_ops_t ops_ = {
	.get = get_,
	.put = put_,
	.remove = remove_,
	.poll = poll_,
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
	return find_(fake, key) != 0;
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
