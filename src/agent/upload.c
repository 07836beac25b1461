/**
 * @file
 * Reassembly of block-wise request bodies.
 */
#include "private/upload.h"

#include <assert.h>
#include <string.h>

struct pl_upload_table {
	pl_timer_service_t *timers;
	GHashTable *by_key;
	pl_list_t idle; /* unfinished uploads, oldest last block first */
	size_t unfinished; /* length of idle */
};

pl_upload_table_t *pl_upload_table_new(pl_timer_service_t *timers)
{
	pl_upload_table_t *table = g_new0(pl_upload_table_t, 1);

	table->timers = timers;
	table->by_key = g_hash_table_new(g_bytes_hash, g_bytes_equal);
	pl_list_init(&table->idle);
	return table;
}

void pl_upload_table_delete(pl_upload_table_t *table)
{
	GHashTableIter iter;
	gpointer value;

	if (!table)
		return;
	g_hash_table_iter_init(&iter, table->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		pl_upload_t *upload = value;

		g_hash_table_iter_remove(&iter);
		g_bytes_unref(upload->key);
		g_free(upload);
	}
	g_hash_table_destroy(table->by_key);
	g_free(table);
}

static GBytes *upload_key_(const pl_addr_t *caller, const pl_coap_msg_t *msg)
{
	GByteArray *key = g_byte_array_new();
	uint8_t rtag_len = (uint8_t)msg->rtag_len;

	g_byte_array_append(key, (const guint8 *)caller, sizeof(*caller));
	g_byte_array_append(key, &msg->code, 1);
	g_byte_array_append(key, &rtag_len, 1);
	if (rtag_len > 0)
		g_byte_array_append(key, msg->rtag, rtag_len);
	g_byte_array_append(key, (const guint8 *)msg->path, strlen(msg->path));
	return g_byte_array_free_to_bytes(key);
}

void pl_upload_finish(pl_upload_table_t *table, pl_upload_t *upload)
{
	if (pl_list_empty(&upload->idle_link))
		return;
	pl_list_remove(&upload->idle_link);
	table->unfinished--;
}

void pl_upload_forget(pl_upload_table_t *table, pl_upload_t *upload)
{
	pl_upload_finish(table, upload);
	g_hash_table_remove(table->by_key, upload->key);
	upload->request->upload = NULL;
	g_bytes_unref(upload->key);
	g_free(upload);
}

pl_request_t *pl_upload_start(pl_upload_table_t *table, pl_request_t *request,
			      const pl_coap_msg_t *msg)
{
	pl_upload_t *old = pl_upload_find(table, &request->flow.caller, msg);
	pl_request_t *detached = old ? old->request : NULL;
	pl_upload_t *upload = g_new0(pl_upload_t, 1);

	if (old)
		pl_upload_forget(table, old);
	upload->key = upload_key_(&request->flow.caller, msg);
	upload->request = request;
	upload->last_block_at = pl_timer_service_now(table->timers);
	request->upload = upload;
	g_hash_table_insert(table->by_key, upload->key, upload);
	pl_list_append(&table->idle, &upload->idle_link);
	table->unfinished++;
	return detached;
}

pl_upload_t *pl_upload_find(pl_upload_table_t *table, const pl_addr_t *caller,
			    const pl_coap_msg_t *msg)
{
	GBytes *key = upload_key_(caller, msg);
	pl_upload_t *upload = g_hash_table_lookup(table->by_key, key);

	g_bytes_unref(key);
	return upload;
}

bool pl_upload_accepts(const pl_upload_t *upload, const pl_coap_msg_t *msg)
{
	if (upload->request->state == PL_REQUEST_GATHERING)
		return true;
	return upload->token_len == msg->token_len &&
	       memcmp(upload->token, msg->token, msg->token_len) == 0;
}

static pl_block_verdict_t append_block_(pl_upload_table_t *table,
					pl_upload_t *upload,
					const pl_coap_msg_t *msg)
{
	pl_request_t *request = upload->request;

	if (msg->payload_len > 0)
		g_byte_array_append(request->body, msg->payload,
				    (guint)msg->payload_len);
	request->budget->used += msg->payload_len;
	upload->last_block_at = pl_timer_service_now(table->timers);
	pl_list_remove(&upload->idle_link);
	pl_list_append(&table->idle, &upload->idle_link);
	if (msg->block1.more)
		return PL_BLOCK_MORE;
	pl_upload_finish(table, upload);
	return PL_BLOCK_COMPLETE;
}

pl_block_verdict_t pl_upload_add(pl_upload_table_t *table, pl_upload_t *upload,
				 const pl_coap_msg_t *msg, size_t body_max)
{
	pl_request_t *request = upload->request;
	size_t size = 16U << msg->block1.szx;
	size_t offset = (size_t)msg->block1.num * size;

	assert(request->state == PL_REQUEST_GATHERING);
	upload->token_len = msg->token_len;
	memcpy(upload->token, msg->token, msg->token_len);
	if (msg->block1.more && msg->payload_len != size)
		return PL_BLOCK_MALFORMED;
	if (msg->payload_len > size)
		return PL_BLOCK_MALFORMED;
	if (offset + msg->payload_len <= request->body->len && msg->block1.more)
		return PL_BLOCK_MORE;
	if (offset != request->body->len)
		return PL_BLOCK_GAP;
	if (offset + msg->payload_len > body_max)
		return PL_BLOCK_TOO_LARGE;
	if (request->budget->used + msg->payload_len > request->budget->max)
		return PL_BLOCK_NO_MEMORY;
	return append_block_(table, upload, msg);
}

pl_upload_t *pl_upload_first_unfinished(const pl_upload_table_t *table)
{
	pl_list_t *first = pl_list_first(&table->idle);

	return first ? PL_CONTAINER_OF(first, pl_upload_t, idle_link) : NULL;
}

pl_upload_t *pl_upload_first_idle(pl_upload_table_t *table)
{
	pl_upload_t *upload = pl_upload_first_unfinished(table);

	if (!upload)
		return NULL;
	if (upload->last_block_at + PL_UPLOAD_IDLE_MS >
	    pl_timer_service_now(table->timers))
		return NULL;
	return upload;
}

bool pl_upload_has_room(const pl_upload_table_t *table)
{
	return g_hash_table_size(table->by_key) < PL_UPLOAD_MAX;
}

size_t pl_upload_count(const pl_upload_table_t *table)
{
	return table->unfinished;
}
