#include "store.h"

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdio.h>
#include <string.h>

#define VALUE_MAX (1024 * 1024)
#define KV_PREFIX "/v1/kv/"
#define WAIT_DEFAULT_MS 300000
#define TEXT_MAX 128

typedef struct {
	GBytes *value;
	uint64_t modify_index;
} item_t;

struct pl_store {
	struct MHD_Daemon *http;
	GMutex lock;
	GCond changed;
	GHashTable *items; /* key to item_t */
	GHashTable *frozen; /* what reads see after `freeze`, or NULL */
	uint64_t index;
	bool down;
	uint32_t slow_ms;
	uint32_t lose_answers;
	uint32_t lose_writes;
	bool down_after_write;
	pl_store_stats_t stats;
};

static void item_free_(gpointer data)
{
	item_t *item = data;

	g_bytes_unref(item->value);
	g_free(item);
}

static GHashTable *items_new_(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     item_free_);
}

static void items_put_(GHashTable *items, const char *key, GBytes *value,
		       uint64_t modify_index)
{
	item_t *item = g_new0(item_t, 1);

	item->value = g_bytes_ref(value);
	item->modify_index = modify_index;
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
		item_t *item = value;

		items_put_(copy, key, item->value, item->modify_index);
	}
	return copy;
}

static const item_t *find_(const pl_store_t *store, const char *key)
{
	return g_hash_table_lookup(store->frozen ? store->frozen : store->items,
				   key);
}

static enum MHD_Result answer_(struct MHD_Connection *connection,
			       unsigned int status, const char *body,
			       size_t len, uint64_t index)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		len, (void *)body, MHD_RESPMEM_MUST_COPY);
	char text[TEXT_MAX];
	enum MHD_Result result;

	snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, index);
	MHD_add_response_header(response, "X-Consul-Index", text);
	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result answer_text_(struct MHD_Connection *connection,
				    unsigned int status, const char *body)
{
	return answer_(connection, status, body, strlen(body), 0);
}

static uint64_t argument_(struct MHD_Connection *connection, const char *name,
			  uint64_t missing)
{
	const char *text = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, name);

	return text ? g_ascii_strtoull(text, NULL, 10) : missing;
}

/* Milliseconds of "30s" or "500ms". */
static uint64_t wait_ms_(struct MHD_Connection *connection)
{
	const char *text = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "wait");

	if (!text)
		return WAIT_DEFAULT_MS;
	return g_ascii_strtoull(text, NULL, 10) *
	       (g_str_has_suffix(text, "ms") ? 1 : 1000);
}

/* Delays the answer; the lock is held. False when the store went down. */
static bool delay_(pl_store_t *store)
{
	gint64 until = g_get_monotonic_time() + (gint64)store->slow_ms * 1000;

	while (store->slow_ms > 0 && !store->down &&
	       g_cond_wait_until(&store->changed, &store->lock, until))
		;
	return !store->down;
}

static uint64_t key_index_(const pl_store_t *store, const char *key)
{
	const item_t *item = find_(store, key);

	return item ? item->modify_index : store->index;
}

/* Waits until @p key is newer than the caller's index; the lock is held. */
static void wait_newer_(pl_store_t *store, struct MHD_Connection *connection,
			const char *key)
{
	uint64_t index = argument_(connection, "index", 0);
	gint64 until =
		g_get_monotonic_time() + (gint64)wait_ms_(connection) * 1000;

	store->stats.watches++;
	store->stats.watches_waiting++;
	while (!store->down && key_index_(store, key) == index &&
	       g_cond_wait_until(&store->changed, &store->lock, until))
		;
	store->stats.watches_waiting--;
}

static enum MHD_Result read_(pl_store_t *store,
			     struct MHD_Connection *connection, const char *key)
{
	GString *body = g_string_new("");
	enum MHD_Result result = MHD_NO;
	unsigned int status = MHD_HTTP_NOT_FOUND;
	const item_t *item;

	g_mutex_lock(&store->lock);
	if (argument_(connection, "index", 0) > 0)
		wait_newer_(store, connection, key);
	else
		store->stats.reads++;
	if (delay_(store)) {
		item = find_(store, key);
		if (item) {
			gsize len = 0;
			gconstpointer data =
				g_bytes_get_data(item->value, &len);
			char *text = g_base64_encode(data, len);

			status = MHD_HTTP_OK;
			store->stats.value_bytes_out += len;
			g_string_append_printf(
				body,
				"[{\"Key\":\"%s\",\"ModifyIndex\":%" G_GUINT64_FORMAT
				",\"Value\":\"%s\"}]",
				key, item->modify_index, text);
			g_free(text);
		}
		result = answer_(connection, status, body->str, body->len,
				 key_index_(store, key));
	}
	g_mutex_unlock(&store->lock);
	g_string_free(body, TRUE);
	return result;
}

static enum MHD_Result write_(pl_store_t *store,
			      struct MHD_Connection *connection,
			      const char *key, GByteArray *body)
{
	uint64_t cas = argument_(connection, "cas", UINT64_MAX);
	enum MHD_Result result = MHD_NO;
	const item_t *item;
	bool done;

	if (body->len > VALUE_MAX)
		return answer_text_(connection, MHD_HTTP_CONTENT_TOO_LARGE, "");
	g_mutex_lock(&store->lock);
	store->stats.writes++;
	if (!delay_(store) || store->lose_writes > 0) {
		store->lose_writes -= store->lose_writes > 0;
		g_mutex_unlock(&store->lock);
		return MHD_NO;
	}
	item = g_hash_table_lookup(store->items, key);
	done = cas == UINT64_MAX || cas == (item ? item->modify_index : 0);
	if (done) {
		GBytes *value = g_bytes_new(body->data, body->len);

		items_put_(store->items, key, value, ++store->index);
		g_bytes_unref(value);
		g_cond_broadcast(&store->changed);
	}
	if (store->down_after_write)
		store->down = true;
	else if (store->lose_answers > 0)
		store->lose_answers--;
	else
		result = answer_text_(connection, MHD_HTTP_OK,
				      done ? "true" : "false");
	g_mutex_unlock(&store->lock);
	return result;
}

static enum MHD_Result stats_(pl_store_t *store,
			      struct MHD_Connection *connection)
{
	pl_store_stats_t stats;
	char *text;
	enum MHD_Result result;

	pl_store_stats(store, &stats);
	text = g_strdup_printf("{\"reads\":%" G_GUINT64_FORMAT
			       ",\"writes\":%" G_GUINT64_FORMAT
			       ",\"watches\":%" G_GUINT64_FORMAT
			       ",\"watches_waiting\":%" G_GUINT64_FORMAT
			       ",\"value_bytes_out\":%" G_GUINT64_FORMAT "}\n",
			       stats.reads, stats.writes, stats.watches,
			       stats.watches_waiting, stats.value_bytes_out);
	result = answer_text_(connection, MHD_HTTP_OK, text);
	g_free(text);
	return result;
}

static enum MHD_Result fault_(pl_store_t *store,
			      struct MHD_Connection *connection)
{
	const char *command = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "command");
	bool known = command && pl_store_command(store, command);

	return answer_text_(connection,
			    known ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
			    known ? "ok\n" : "not known\n");
}

static bool is_down_(pl_store_t *store)
{
	bool down;

	g_mutex_lock(&store->lock);
	down = store->down;
	g_mutex_unlock(&store->lock);
	return down;
}

static enum MHD_Result on_request_(void *ctx, struct MHD_Connection *connection,
				   const char *url, const char *method,
				   const char *version, const char *upload,
				   size_t *upload_len, void **state)
{
	pl_store_t *store = ctx;
	GByteArray *body = *state;

	(void)version;
	if (!body) {
		*state = g_byte_array_new();
		return MHD_YES;
	}
	if (*upload_len > 0) {
		if (body->len <= VALUE_MAX)
			g_byte_array_append(body, (const guint8 *)upload,
					    (guint)*upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	if (strcmp(url, "/stats") == 0)
		return stats_(store, connection);
	if (strcmp(url, "/fault") == 0)
		return fault_(store, connection);
	if (is_down_(store))
		return MHD_NO;
	if (!g_str_has_prefix(url, KV_PREFIX))
		return answer_text_(connection, MHD_HTTP_NOT_FOUND, "");
	if (strcmp(method, "GET") == 0)
		return read_(store, connection, url + strlen(KV_PREFIX));
	if (strcmp(method, "PUT") == 0)
		return write_(store, connection, url + strlen(KV_PREFIX), body);
	return answer_text_(connection, MHD_HTTP_METHOD_NOT_ALLOWED, "");
}

static void on_completed_(void *ctx, struct MHD_Connection *connection,
			  void **state, enum MHD_RequestTerminationCode reason)
{
	(void)ctx;
	(void)connection;
	(void)reason;
	if (*state)
		g_byte_array_free(*state, TRUE);
	*state = NULL;
}

pl_store_t *pl_store_new(uint16_t port)
{
	pl_store_t *store = g_new0(pl_store_t, 1);
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	g_mutex_init(&store->lock);
	g_cond_init(&store->changed);
	store->items = items_new_();
	store->index = 1;
	store->http = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
		port, NULL, NULL, on_request_, store, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&addr, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed_, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
		MHD_OPTION_END);
	if (store->http)
		return store;
	pl_store_delete(store);
	return NULL;
}

void pl_store_delete(pl_store_t *store)
{
	if (!store)
		return;
	pl_store_command(store, "down");
	if (store->http)
		MHD_stop_daemon(store->http);
	g_hash_table_destroy(store->items);
	g_clear_pointer(&store->frozen, g_hash_table_destroy);
	g_mutex_clear(&store->lock);
	g_cond_clear(&store->changed);
	g_free(store);
}

uint16_t pl_store_port(const pl_store_t *store)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(store->http, MHD_DAEMON_INFO_BIND_PORT);

	return info->port;
}

static void end_faults_(pl_store_t *store)
{
	store->down = false;
	store->slow_ms = 0;
	store->lose_answers = 0;
	store->lose_writes = 0;
	store->down_after_write = false;
	g_clear_pointer(&store->frozen, g_hash_table_destroy);
}

bool pl_store_command(pl_store_t *store, const char *command)
{
	unsigned int amount = 0;
	bool known = true;

	g_mutex_lock(&store->lock);
	if (strcmp(command, "down") == 0)
		store->down = true;
	else if (strcmp(command, "up") == 0)
		end_faults_(store);
	else if (sscanf(command, "slow %u", &amount) == 1)
		store->slow_ms = amount;
	else if (sscanf(command, "lose-answers %u", &amount) == 1)
		store->lose_answers = amount;
	else if (sscanf(command, "lose-writes %u", &amount) == 1)
		store->lose_writes = amount;
	else if (strcmp(command, "down-after-write") == 0)
		store->down_after_write = true;
	else if (strcmp(command, "freeze") == 0 && !store->frozen)
		store->frozen = items_copy_(store->items);
	else
		known = false;
	g_cond_broadcast(&store->changed);
	g_mutex_unlock(&store->lock);
	return known;
}

void pl_store_stats(pl_store_t *store, pl_store_stats_t *stats)
{
	g_mutex_lock(&store->lock);
	*stats = store->stats;
	g_mutex_unlock(&store->lock);
}
