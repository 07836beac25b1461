/**
 * @file
 * Stand-in for the key-value service, an HTTP server with one thread per
 * connection.
 */
#include "store.h"

#include <arpa/inet.h>
#include <glib.h>
#include <json-c/json.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>

#define VALUE_MAX (1024 * 1024)
/** Base64 of the largest value, and 4 KiB for the rest of the JSON. */
#define BODY_MAX (VALUE_MAX / 3 * 4 + 4096)

/** Interval at which a watch checks whether its caller has left. */
#define CALLER_CHECK_US (50 * 1000)

typedef struct {
	GBytes *value;
	uint64_t modify_index;
	uint64_t lease; /* lease ID, 0 for none */
} item_t;

typedef struct {
	uint64_t ttl_ms;
	gint64 expires_us; /* monotonic time */
} lease_t;

/* State of the store at the time of `copy`. */
typedef struct copy {
	GHashTable *items;
	GHashTable *leases;
	uint64_t next_lease;
	uint64_t index;
} copy_t;

struct pl_store {
	struct MHD_Daemon *http;
	GMutex lock;
	GCond changed;
	GHashTable *items; /* item_t by key */
	GHashTable *removed; /* index of the removal by key, for watches */
	GHashTable *frozen; /* items for reads after `freeze`, or NULL */
	GHashTable *leases; /* lease_t by lease ID */
	uint64_t next_lease;
	uint64_t index;
	_Atomic uint64_t era; /* number of restores, plus 1 */
	struct copy *copy; /* state that `restore` returns to, or NULL */
	bool down;
	uint32_t slow_ms;
	uint32_t lose_answers;
	uint32_t lose_writes;
	bool down_after_write;
	bool ignore_watches; /* watches report no changes */
	uint32_t page; /* most items in one response to a list; 0: no limit */
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
		       uint64_t modify_index, uint64_t lease)
{
	item_t *item = g_new0(item_t, 1);

	item->value = g_bytes_ref(value);
	item->modify_index = modify_index;
	item->lease = lease;
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

		items_put_(copy, key, item->value, item->modify_index,
			   item->lease);
	}
	return copy;
}

static GHashTable *leases_new_(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     g_free);
}

static GHashTable *leases_copy_(GHashTable *leases)
{
	GHashTable *copy = leases_new_();
	GHashTableIter iter;
	gpointer id;
	gpointer lease;

	g_hash_table_iter_init(&iter, leases);
	while (g_hash_table_iter_next(&iter, &id, &lease))
		g_hash_table_insert(copy, g_memdup2(id, sizeof(uint64_t)),
				    g_memdup2(lease, sizeof(lease_t)));
	return copy;
}

static void copy_free_(copy_t *copy)
{
	g_hash_table_destroy(copy->items);
	g_hash_table_destroy(copy->leases);
	g_free(copy);
}

static void take_copy_(pl_store_t *store)
{
	g_clear_pointer(&store->copy, copy_free_);
	store->copy = g_new0(copy_t, 1);
	store->copy->items = items_copy_(store->items);
	store->copy->leases = leases_copy_(store->leases);
	store->copy->next_lease = store->next_lease;
	store->copy->index = store->index;
}

/* Returns to the copy. Later changes and leases are lost, and their numbers are
 * assigned again. Waiting watches end without a response. */
static bool restore_copy_(pl_store_t *store)
{
	copy_t *copy = store->copy;

	if (!copy)
		return false;
	g_hash_table_destroy(store->items);
	g_hash_table_destroy(store->leases);
	g_hash_table_remove_all(store->removed);
	store->items = items_copy_(copy->items);
	store->leases = leases_copy_(copy->leases);
	store->next_lease = copy->next_lease;
	store->index = copy->index;
	store->era++;
	return true;
}

static const item_t *find_item_(const pl_store_t *store, const char *key)
{
	return g_hash_table_lookup(store->frozen ? store->frozen : store->items,
				   key);
}

static enum MHD_Result respond_(const pl_store_t *store,
				struct MHD_Connection *connection,
				unsigned int status, const char *body)
{
	char era[32];
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	g_snprintf(era, sizeof(era), "%" G_GUINT64_FORMAT, store->era);
	MHD_add_response_header(response, "Content-Type", "application/json");
	MHD_add_response_header(response, "Store-Era", era);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static const char *get_text_argument_(struct MHD_Connection *connection,
				      const char *name)
{
	const char *text = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, name);

	return text ? text : "";
}

static uint64_t get_number_argument_(struct MHD_Connection *connection,
				     const char *name, uint64_t fallback)
{
	const char *text = get_text_argument_(connection, name);

	return *text ? g_ascii_strtoull(text, NULL, 10) : fallback;
}

/*
 * Delays the response by slow_ms. The lock is held. False if the store is down.
 */
static bool delay_response_(pl_store_t *store)
{
	gint64 deadline =
		g_get_monotonic_time() + (gint64)store->slow_ms * 1000;

	while (store->slow_ms > 0 && !store->down &&
	       g_cond_wait_until(&store->changed, &store->lock, deadline))
		;
	return !store->down;
}

/* Removes the items of expired leases. The lock is held. */
static void expire_items_(pl_store_t *store)
{
	gint64 now = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const item_t *item = value;
		const lease_t *lease =
			g_hash_table_lookup(store->leases, &item->lease);

		if (item->lease != 0 && (!lease || lease->expires_us < now)) {
			g_hash_table_iter_remove(&iter);
			store->index++;
		}
	}
}

static void append_item_(pl_store_t *store, GString *body, const char *key,
			 const item_t *item)
{
	gsize len = 0;
	gconstpointer data = g_bytes_get_data(item->value, &len);
	char *text = g_base64_encode(data, len);

	store->stats.value_bytes_out += len;
	g_string_append_printf(
		body,
		"{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
		",\"lease\":%" G_GUINT64_FORMAT,
		key, text, item->modify_index, item->lease);
	g_free(text);
}

static enum MHD_Result handle_read_(pl_store_t *store,
				    struct MHD_Connection *connection)
{
	const char *key = get_text_argument_(connection, "key");
	GString *body = g_string_new("");
	enum MHD_Result result = MHD_NO;
	const item_t *item;

	g_mutex_lock(&store->lock);
	store->stats.reads++;
	if (delay_response_(store)) {
		expire_items_(store);
		item = find_item_(store, key);
		if (item)
			append_item_(store, body, key, item);
		g_string_append_printf(
			body, "%s\"store_revision\":%" G_GUINT64_FORMAT "}",
			item ? "," : "{", store->index);
		result = respond_(store, connection,
				  item ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND,
				  body->str);
	}
	g_mutex_unlock(&store->lock);
	g_string_free(body, TRUE);
	return result;
}

/* Appends the removals under @p prefix after revision @p after to @p count
 * events; returns the number of events. */
static size_t append_removals_(pl_store_t *store, GString *body,
			       const char *prefix, uint64_t after, size_t count)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, store->removed);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const uint64_t *index = value;

		if (!g_str_has_prefix(key, prefix) || *index <= after)
			continue;
		if (count++ > 0)
			g_string_append_c(body, ',');
		g_string_append_printf(
			body,
			"{\"key\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
			",\"deleted\":true}",
			(const char *)key, *index);
	}
	return count;
}

/*
 * Appends the items under @p prefix that changed after revision @p after;
 * returns their number.
 */
static size_t append_items_(pl_store_t *store, GString *body,
			    const char *prefix, uint64_t after)
{
	GHashTable *items = store->frozen ? store->frozen : store->items;
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const item_t *item = value;

		if (!g_str_has_prefix(key, prefix) ||
		    item->modify_index <= after)
			continue;
		if (count++ > 0)
			g_string_append_c(body, ',');
		append_item_(store, body, key, item);
		g_string_append_c(body, '}');
	}
	return append_removals_(store, body, prefix, after, count);
}

static enum MHD_Result respond_items_(pl_store_t *store,
				      struct MHD_Connection *connection,
				      const char *name, const GString *items,
				      bool more)
{
	char *body = g_strdup_printf(
		"{\"%s\":[%s],\"has_more\":%s,"
		"\"store_revision\":%" G_GUINT64_FORMAT "}",
		name, items->str, more ? "true" : "false", store->index);
	enum MHD_Result result = respond_(store, connection, MHD_HTTP_OK, body);

	g_free(body);
	return result;
}

static bool has_caller_left_(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct pollfd fd = { .fd = info ? info->connect_fd : -1,
			     .events = POLLRDHUP };

	return poll(&fd, 1, 0) > 0;
}

/* Waits for a change for a while; false once @p deadline has passed. The lock is
 * held. */
static bool wait_until_(pl_store_t *store, gint64 deadline)
{
	gint64 now = g_get_monotonic_time();

	if (now >= deadline)
		return false;
	g_cond_wait_until(&store->changed, &store->lock,
			  MIN(deadline, now + CALLER_CHECK_US));
	return true;
}

/*
 * Waits until an item under @p prefix changes after revision @p after, or until
 * @p deadline. False if the store has no answer: it is down, it was restored
 * while the watch was waiting, or the caller has left. The lock is held.
 */
static bool wait_for_change_(pl_store_t *store,
			     struct MHD_Connection *connection, GString *items,
			     const char *prefix, uint64_t after,
			     gint64 deadline)
{
	uint64_t era = store->era;
	bool left = false;

	store->stats.watches_waiting++;
	while (!left && !store->down && store->era == era &&
	       (store->ignore_watches ||
		append_items_(store, items, prefix, after) == 0) &&
	       wait_until_(store, deadline))
		left = has_caller_left_(connection);
	store->stats.watches_waiting--;
	return !left && store->era == era && delay_response_(store);
}

static enum MHD_Result handle_watch_(pl_store_t *store,
				     struct MHD_Connection *connection)
{
	const char *prefix = get_text_argument_(connection, "prefix");
	uint64_t after = get_number_argument_(connection, "after", 0);
	gint64 deadline =
		g_get_monotonic_time() +
		(gint64)get_number_argument_(connection, "wait_ms", 0) * 1000;
	GString *items = g_string_new("");
	enum MHD_Result result = MHD_NO;

	g_mutex_lock(&store->lock);
	store->stats.watches++;
	if (!store->down && after > store->index)
		result = respond_(store, connection, MHD_HTTP_GONE, "{}");
	else if (wait_for_change_(store, connection, items, prefix, after,
				  deadline))
		result = respond_items_(store, connection, "events", items,
					false);
	g_mutex_unlock(&store->lock);
	g_string_free(items, TRUE);
	return result;
}

/*
 * Appends the next page of a list, in key order from the key after @p after.
 * Returns whether there are more items.
 */
static bool append_page_(pl_store_t *store, GString *body, const char *prefix,
			 const char *after)
{
	GHashTable *items = store->frozen ? store->frozen : store->items;
	GList *keys =
		g_list_sort(g_hash_table_get_keys(items), (GCompareFunc)strcmp);
	uint32_t count = 0;
	bool more = false;

	for (GList *at = keys; at && !more; at = at->next) {
		if (!g_str_has_prefix(at->data, prefix) ||
		    strcmp(at->data, after) <= 0)
			continue;
		more = store->page > 0 && count == store->page;
		if (more)
			break;
		if (count++ > 0)
			g_string_append_c(body, ',');
		append_item_(store, body, at->data,
			     g_hash_table_lookup(items, at->data));
		g_string_append_c(body, '}');
	}
	g_list_free(keys);
	return more;
}

static enum MHD_Result handle_list_(pl_store_t *store,
				    struct MHD_Connection *connection)
{
	GString *items = g_string_new("");
	enum MHD_Result result = MHD_NO;
	bool more;

	g_mutex_lock(&store->lock);
	store->stats.reads++;
	if (delay_response_(store)) {
		expire_items_(store);
		more = append_page_(store, items,
				    get_text_argument_(connection, "prefix"),
				    get_text_argument_(connection, "after"));
		result =
			respond_items_(store, connection, "items", items, more);
	}
	g_mutex_unlock(&store->lock);
	g_string_free(items, TRUE);
	return result;
}

static struct json_object *get_member_(struct json_object *object,
				       const char *name)
{
	struct json_object *field = NULL;

	json_object_object_get_ex(object, name, &field);
	return field;
}

/* First element of the array @p name, or NULL. */
static struct json_object *get_first_element_(struct json_object *root,
					      const char *name)
{
	struct json_object *list = get_member_(root, name);

	if (!list || !json_object_is_type(list, json_type_array))
		return NULL;
	return json_object_array_get_idx(list, 0);
}

/* Removes @p key if it exists. The lock is held. */
static void remove_(pl_store_t *store, const char *key)
{
	if (!g_hash_table_remove(store->items, key))
		return;
	store->index++;
	g_hash_table_replace(store->removed, g_strdup(key),
			     g_memdup2(&store->index, sizeof(store->index)));
	g_cond_broadcast(&store->changed);
}

/*
 * Applies a transaction of at most one condition, removal and write. Returns
 * false if the condition does not hold. The lock is held.
 */
static bool apply_transaction_(pl_store_t *store, struct json_object *root)
{
	struct json_object *expect = get_first_element_(root, "expect");
	struct json_object *write = get_first_element_(root, "writes");
	const char *key =
		write ? json_object_get_string(get_member_(write, "key")) :
			NULL;
	const char *expected =
		expect ? json_object_get_string(get_member_(expect, "key")) :
			 NULL;
	const item_t *item =
		expected ? g_hash_table_lookup(store->items, expected) : NULL;
	struct json_object *removed_key = get_first_element_(root, "remove");
	gsize len = 0;
	guchar *bytes;
	GBytes *value;

	if (expect && json_object_get_uint64(get_member_(expect, "revision")) !=
			      (item ? item->modify_index : 0))
		return false;
	if (removed_key)
		remove_(store, json_object_get_string(removed_key));
	if (!write)
		return true;
	bytes = g_base64_decode(
		json_object_get_string(get_member_(write, "value")), &len);
	value = g_bytes_new_take(bytes, len);
	g_hash_table_remove(store->removed, key);
	items_put_(store->items, key, value, ++store->index,
		   json_object_get_uint64(get_member_(write, "lease")));
	g_bytes_unref(value);
	g_cond_broadcast(&store->changed);
	return true;
}

static enum MHD_Result respond_write_(pl_store_t *store,
				      struct MHD_Connection *connection,
				      bool applied)
{
	char *body = g_strdup_printf("{\"revision\":%" G_GUINT64_FORMAT "}",
				     store->index);
	enum MHD_Result result = MHD_NO;

	if (store->down_after_write)
		store->down = true;
	else if (store->lose_answers > 0)
		store->lose_answers--;
	else
		result = respond_(store, connection,
				  applied ? MHD_HTTP_OK :
					    MHD_HTTP_PRECONDITION_FAILED,
				  body);
	g_free(body);
	return result;
}

static enum MHD_Result handle_write_(pl_store_t *store,
				     struct MHD_Connection *connection,
				     const char *body)
{
	struct json_object *root = json_tokener_parse(body);
	enum MHD_Result result = MHD_NO;

	if (!root || (!get_first_element_(root, "writes") &&
		      !get_first_element_(root, "remove"))) {
		json_object_put(root);
		return respond_(store, connection, MHD_HTTP_BAD_REQUEST, "{}");
	}
	g_mutex_lock(&store->lock);
	store->stats.writes++;
	if (!delay_response_(store) || store->lose_writes > 0) {
		store->lose_writes -= store->lose_writes > 0;
	} else {
		expire_items_(store);
		result = respond_write_(store, connection,
					apply_transaction_(store, root));
	}
	g_mutex_unlock(&store->lock);
	json_object_put(root);
	return result;
}

/* Grants a lease, or renews the lease with the ID @p text if it is not empty. */
static enum MHD_Result handle_lease_(pl_store_t *store,
				     struct MHD_Connection *connection,
				     const char *text, const char *body)
{
	struct json_object *root = json_tokener_parse(*body ? body : "{}");
	gint64 now = g_get_monotonic_time();
	uint64_t id = g_ascii_strtoull(text, NULL, 10);
	enum MHD_Result result = MHD_NO;
	lease_t *lease;
	char *response;

	g_mutex_lock(&store->lock);
	store->stats.reads++;
	if (*text == '\0') {
		lease = g_new0(lease_t, 1);
		id = ++store->next_lease;
		lease->ttl_ms =
			json_object_get_uint64(get_member_(root, "ttl_ms"));
		g_hash_table_insert(store->leases, g_memdup2(&id, sizeof(id)),
				    lease);
	} else {
		lease = g_hash_table_lookup(store->leases, &id);
	}
	if (lease)
		lease->expires_us = now + (gint64)lease->ttl_ms * 1000;
	response = g_strdup_printf("{\"lease\":%" G_GUINT64_FORMAT "}", id);
	if (delay_response_(store))
		result = respond_(store, connection,
				  lease ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND,
				  response);
	g_mutex_unlock(&store->lock);
	g_free(response);
	json_object_put(root);
	return result;
}

static enum MHD_Result handle_stats_(pl_store_t *store,
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
	result = respond_(store, connection, MHD_HTTP_OK, text);
	g_free(text);
	return result;
}

static enum MHD_Result handle_fault_(pl_store_t *store,
				     struct MHD_Connection *connection)
{
	const char *command = MHD_lookup_connection_value(
		connection, MHD_GET_ARGUMENT_KIND, "command");
	bool known = command && pl_store_command(store, command);

	return respond_(store, connection,
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

static enum MHD_Result handle_kv_request_(pl_store_t *store,
					  struct MHD_Connection *connection,
					  const char *url, const char *body)
{
	if (strcmp(url, "/v1/kv-key") == 0)
		return handle_read_(store, connection);
	if (strcmp(url, "/v1/kv-watch") == 0)
		return handle_watch_(store, connection);
	if (strcmp(url, "/v1/kv-range") == 0)
		return handle_list_(store, connection);
	if (strcmp(url, "/v1/kv-txn") == 0)
		return handle_write_(store, connection, body);
	if (strcmp(url, "/v1/kv-lease") == 0)
		return handle_lease_(store, connection, "", body);
	if (g_str_has_prefix(url, "/v1/kv-keep/"))
		return handle_lease_(store, connection,
				     url + strlen("/v1/kv-keep/"), body);
	return respond_(store, connection, MHD_HTTP_NOT_FOUND, "{}");
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
		if (body->len <= BODY_MAX)
			g_byte_array_append(body, (const guint8 *)upload,
					    (guint)*upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	if (strcmp(url, "/stats") == 0)
		return handle_stats_(store, connection);
	if (strcmp(url, "/fault") == 0)
		return handle_fault_(store, connection);
	if (is_down_(store))
		return MHD_NO;
	g_byte_array_append(body, (const guint8 *)"", 1);
	return handle_kv_request_(store, connection, url,
				  (const char *)body->data);
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
	store->leases = leases_new_();
	store->removed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store->index = 1;
	store->era = 1;
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
	g_hash_table_destroy(store->leases);
	g_hash_table_destroy(store->removed);
	g_clear_pointer(&store->frozen, g_hash_table_destroy);
	g_clear_pointer(&store->copy, copy_free_);
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
	store->ignore_watches = false;
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
	else if (sscanf(command, "page %u", &amount) == 1)
		store->page = amount;
	else if (strcmp(command, "copy") == 0)
		take_copy_(store);
	else if (strcmp(command, "restore") == 0)
		known = restore_copy_(store);
	else if (strcmp(command, "deaf") == 0)
		store->ignore_watches = true;
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

bool pl_store_has(pl_store_t *store, const char *key)
{
	bool found;

	g_mutex_lock(&store->lock);
	found = g_hash_table_contains(store->items, key);
	g_mutex_unlock(&store->lock);
	return found;
}

void pl_store_stats(pl_store_t *store, pl_store_stats_t *stats)
{
	g_mutex_lock(&store->lock);
	*stats = store->stats;
	g_mutex_unlock(&store->lock);
}
