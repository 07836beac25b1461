/**
 * @file
 * Dispatch of calls through a store's function table.
 */
#include <pimentolift/kv.h>

#include <assert.h>
#include <glib.h>
#include <pimentolift/event.h>

void pl_kv_delete(pl_kv_t *kv)
{
	if (kv)
		kv->ops->destroy(kv);
}

pl_kv_call_t *pl_kv_get(pl_kv_t *kv, const char *key, pl_kv_done_t done,
			void *ctx)
{
	assert(done);
	return kv->ops->get(kv, key, done, ctx);
}

pl_kv_call_t *pl_kv_watch(pl_kv_t *kv, const char *key, pl_kv_position_t after,
			  uint32_t wait_ms, pl_kv_done_t done, void *ctx)
{
	assert(done && wait_ms <= PL_KV_WAIT_MS);
	return kv->ops->watch(kv, key, after, wait_ms, done, ctx);
}

pl_kv_call_t *pl_kv_watch_range(pl_kv_t *kv, const char *prefix,
				pl_kv_position_t after, uint32_t wait_ms,
				pl_kv_done_t done, void *ctx)
{
	assert(done && wait_ms <= PL_KV_WAIT_MS);
	return kv->ops->watch_range(kv, prefix, after, wait_ms, done, ctx);
}

pl_kv_call_t *pl_kv_put(pl_kv_t *kv, const pl_kv_write_t *write,
			pl_kv_done_t done, void *ctx)
{
	assert(done);
	assert(write->value && write->value_len <= PL_KV_VALUE_MAX);
	return kv->ops->put(kv, write, done, ctx);
}

pl_kv_call_t *pl_kv_remove(pl_kv_t *kv, const char *key, uint64_t modify_index,
			   pl_kv_done_t done, void *ctx)
{
	assert(done);
	return kv->ops->remove(kv, key, modify_index, done, ctx);
}

pl_kv_call_t *pl_kv_list(pl_kv_t *kv, const pl_kv_range_t *range,
			 pl_kv_done_t done, void *ctx)
{
	assert(done && range->prefix);
	return kv->ops->list(kv, range, done, ctx);
}

void pl_kv_cancel(pl_kv_call_t *call)
{
	call->kv->ops->cancel(call);
}

int pl_kv_fd(const pl_kv_t *kv)
{
	return kv->ops->fd(kv);
}

int pl_kv_timeout_ms(const pl_kv_t *kv)
{
	return kv->ops->timeout_ms(kv);
}

void pl_kv_poll(pl_kv_t *kv)
{
	kv->ops->poll(kv);
}

void pl_kv_wait(pl_kv_t *kv, uint32_t wait_ms)
{
	kv->ops->wait(kv, wait_ms);
}

size_t pl_kv_pending(const pl_kv_t *kv)
{
	return kv->ops->pending(kv);
}

bool pl_kv_is_down(const pl_kv_t *kv)
{
	return kv->ops->is_down(kv);
}

uint64_t pl_kv_generation(const pl_kv_t *kv)
{
	return kv->generation;
}

void pl_kv_note_generation(pl_kv_t *kv, uint64_t generation)
{
	uint64_t before = kv->generation;

	if (generation <= before)
		return;
	if (before != 0)
		pl_event(PL_EVENT_PLATFORM_RESTORED,
			 "generation %" G_GUINT64_FORMAT
			 " after %" G_GUINT64_FORMAT,
			 generation, before);
	kv->generation = generation;
	if (kv->generation_changed)
		kv->generation_changed(kv->generation_ctx, generation, before);
}

pl_result_t pl_kv_result_in_generation(const pl_kv_t *kv, pl_result_t result,
				       uint64_t generation, bool write)
{
	/* a failed call may state no generation */
	if (generation == 0 || generation >= kv->generation)
		return result;
	return write ? PL_ERR_UNKNOWN_OUTCOME : PL_ERR_UNAVAILABLE;
}

void pl_kv_on_generation(pl_kv_t *kv, pl_kv_generation_changed_t changed,
			 void *ctx)
{
	kv->generation_changed = changed;
	kv->generation_ctx = ctx;
}
