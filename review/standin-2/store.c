/**
 * @file
 * The platform's store, as far as the system uses it: kv-key, kv-range,
 * kv-watch, kv-txn. One thread serves each connection.
 */
#include "world.h"

#include <arpa/inet.h>
#include <glib.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define ITEMS_MAX 256
#define EVENTS_MAX 4096
#define SEND_STEP_MS 5
#define ANSWER_US 4000
#define BYTES_PER_MBIT 125000
#define AGENTS_IP 100

typedef struct {
	char *key;
	char *value; /* base64; NULL: removed */
	uint64_t revision;
	uint64_t created;
} item_t;

static pthread_mutex_t lock_ = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed_ = PTHREAD_COND_INITIALIZER;
static item_t items_[ITEMS_MAX];
static int item_count_;
static uint64_t revision_ = 100;
static bool down_;

typedef struct {
	int fd;
	uint64_t bytes_per_s;
} connection_t;

static item_t *find_(const char *key)
{
	for (int i = 0; i < item_count_; i++) {
		if (strcmp(items_[i].key, key) == 0)
			return &items_[i];
	}
	return NULL;
}

static void write_(const char *key, const char *value)
{
	item_t *item = find_(key);

	if (!item) {
		item = &items_[item_count_++];
		item->key = g_strdup(key);
	}
	if (!item->value)
		item->created = revision_;
	g_free(item->value);
	item->value = g_strdup(value);
	item->revision = revision_;
}

uint64_t store_put(const char *key, const char *value, size_t len)
{
	char *text = g_base64_encode((const guchar *)value, len);
	uint64_t revision;

	pthread_mutex_lock(&lock_);
	revision = ++revision_;
	write_(key, text);
	pthread_cond_broadcast(&changed_);
	pthread_mutex_unlock(&lock_);
	g_free(text);
	return revision;
}

static void item_json_(GString *out, const item_t *item)
{
	if (!item->value) {
		g_string_append_printf(
			out,
			"{\"key\":\"%s\",\"revision\":%lu,\"deleted\":true}",
			item->key, (unsigned long)item->revision);
		return;
	}
	g_string_append_printf(out, "{\"key\":\"%s\",\"value\":\"", item->key);
	g_string_append(out, item->value);
	g_string_append_printf(
		out, "\",\"revision\":%lu,\"created\":%lu,\"lease\":0",
		(unsigned long)item->revision, (unsigned long)item->created);
}

static void store_revision_(GString *out)
{
	g_string_append_printf(out, ",\"store_revision\":%lu}",
			       (unsigned long)revision_);
}

static char *argument_(const char *query, const char *name)
{
	char **parts = g_strsplit(query ? query : "", "&", -1);
	char *found = NULL;
	size_t len = strlen(name);

	for (char **p = parts; *p; p++) {
		if (strncmp(*p, name, len) == 0 && (*p)[len] == '=')
			found = g_uri_unescape_string(*p + len + 1, NULL);
	}
	g_strfreev(parts);
	return found ? found : g_strdup("");
}

static int get_key_(const char *query, GString *out)
{
	char *key = argument_(query, "key");
	item_t *item = find_(key);
	bool found = item && item->value;

	if (found)
		item_json_(out, item);
	else
		g_string_append(out, "{\"error\":\"none\"");
	store_revision_(out);
	g_free(key);
	return found ? 200 : 404;
}

static int compare_(const void *a, const void *b)
{
	const item_t *left = a;
	const item_t *right = b;

	return strcmp(left->key, right->key);
}

static int get_range_(const char *query, GString *out)
{
	char *prefix = argument_(query, "prefix");
	char *after = argument_(query, "after");
	bool first = true;

	qsort(items_, (size_t)item_count_, sizeof(item_t), compare_);
	g_string_append(out, "{\"items\":[");
	for (int i = 0; i < item_count_; i++) {
		if (!items_[i].value ||
		    !g_str_has_prefix(items_[i].key, prefix) ||
		    strcmp(items_[i].key, after) <= 0)
			continue;
		if (!first)
			g_string_append_c(out, ',');
		first = false;
		item_json_(out, &items_[i]);
		g_string_append_c(out, '}');
	}
	g_string_append(out, "],\"has_more\":false");
	store_revision_(out);
	g_free(prefix);
	g_free(after);
	return 200;
}

/* Waits for changes of the prefix after a revision; called with the lock. */
static int watch_(const char *query, GString *out)
{
	char *prefix = argument_(query, "prefix");
	char *after_text = argument_(query, "after");
	char *wait_text = argument_(query, "wait_ms");
	uint64_t after = g_ascii_strtoull(after_text, NULL, 10);
	uint64_t end = now_ms() + g_ascii_strtoull(wait_text, NULL, 10);
	bool found = false;

	g_string_append(out, "{\"events\":[");
	while (!found && !world.stopping && !down_) {
		struct timespec until;

		for (int i = 0; i < item_count_; i++) {
			if (items_[i].revision <= after ||
			    !g_str_has_prefix(items_[i].key, prefix))
				continue;
			if (found)
				g_string_append_c(out, ',');
			found = true;
			item_json_(out, &items_[i]);
			if (items_[i].value)
				g_string_append_c(out, '}');
		}
		if (found || now_ms() >= end)
			break;
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += 20 * 1000000;
		if (until.tv_nsec >= 1000000000) {
			until.tv_sec++;
			until.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&changed_, &lock_, &until);
	}
	g_string_append_c(out, ']');
	store_revision_(out);
	g_free(prefix);
	g_free(after_text);
	g_free(wait_text);
	return 200;
}

static uint64_t current_revision_(const char *key)
{
	const item_t *item = find_(key);

	return item && item->value ? item->revision : 0;
}

static int transaction_(const char *body, GString *out)
{
	struct json_object *root = json_tokener_parse(body);
	struct json_object *list = NULL;
	bool holds = true;

	if (root && json_object_object_get_ex(root, "expect", &list)) {
		for (size_t i = 0; i < json_object_array_length(list); i++) {
			struct json_object *row =
				json_object_array_get_idx(list, i);
			struct json_object *key = NULL;
			struct json_object *revision = NULL;

			json_object_object_get_ex(row, "key", &key);
			json_object_object_get_ex(row, "revision", &revision);
			holds = holds &&
				current_revision_(
					json_object_get_string(key)) ==
					json_object_get_uint64(revision);
		}
	}
	if (!holds) {
		g_string_append(out, "{\"items\":[]");
		store_revision_(out);
		json_object_put(root);
		return 412;
	}
	revision_++;
	if (root && json_object_object_get_ex(root, "writes", &list)) {
		for (size_t i = 0; i < json_object_array_length(list); i++) {
			struct json_object *row =
				json_object_array_get_idx(list, i);
			struct json_object *key = NULL;
			struct json_object *value = NULL;

			json_object_object_get_ex(row, "key", &key);
			json_object_object_get_ex(row, "value", &value);
			write_(json_object_get_string(key),
			       json_object_get_string(value));
		}
	}
	if (root && json_object_object_get_ex(root, "remove", &list)) {
		for (size_t i = 0; i < json_object_array_length(list); i++) {
			item_t *item = find_(json_object_get_string(
				json_object_array_get_idx(list, i)));

			if (!item)
				continue;
			g_free(item->value);
			item->value = NULL;
			item->revision = revision_;
		}
	}
	pthread_cond_broadcast(&changed_);
	g_string_append_printf(out, "{\"revision\":%lu",
			       (unsigned long)revision_);
	store_revision_(out);
	json_object_put(root);
	return 200;
}

static int handle_(const char *method, const char *target, const char *body,
		   GString *out)
{
	char *path = g_strdup(target);
	char *query = strchr(path, '?');
	int status = 404;

	if (query)
		*query++ = '\0';
	pthread_mutex_lock(&lock_);
	if (down_)
		status = 503;
	else if (strcmp(path, "/v1/kv-key") == 0)
		status = get_key_(query, out);
	else if (strcmp(path, "/v1/kv-range") == 0)
		status = get_range_(query, out);
	else if (strcmp(path, "/v1/kv-watch") == 0)
		status = watch_(query, out);
	else if (strcmp(path, "/v1/kv-txn") == 0 && strcmp(method, "POST") == 0)
		status = transaction_(body, out);
	if (down_) {
		/* a watch that was waiting is cut */
		g_string_assign(out, "{}");
		status = 503;
	}
	pthread_mutex_unlock(&lock_);
	g_free(path);
	return status;
}

/* Sends at the pace of the machine's link. */
static bool send_all_(const connection_t *connection, const char *bytes,
		      size_t len)
{
	size_t step = connection->bytes_per_s ?
			      connection->bytes_per_s * SEND_STEP_MS / 1000 :
			      len;
	uint64_t start = now_ms();
	size_t sent = 0;

	while (sent < len) {
		size_t part = MIN(step, len - sent);
		ssize_t done =
			send(connection->fd, bytes + sent, part, MSG_NOSIGNAL);

		if (done <= 0)
			return false;
		sent += (size_t)done;
		while (connection->bytes_per_s &&
		       (now_ms() - start) * connection->bytes_per_s / 1000 <
			       sent)
			usleep(1000);
	}
	return true;
}

static bool serve_one_(const connection_t *connection, GString *in)
{
	char buffer[65536];
	char *end;
	char *length;
	size_t head_len;
	size_t body_len = 0;
	char **words;
	GString *out;
	GString *answer;
	int status;
	bool ok;

	while (!(end = strstr(in->str, "\r\n\r\n"))) {
		ssize_t got = recv(connection->fd, buffer, sizeof(buffer), 0);

		if (got <= 0)
			return false;
		g_string_append_len(in, buffer, got);
	}
	head_len = (size_t)(end - in->str) + 4;
	length = strcasestr(in->str, "content-length:");
	if (length && length < end)
		body_len = strtoul(length + 15, NULL, 10);
	while (in->len < head_len + body_len) {
		ssize_t got = recv(connection->fd, buffer, sizeof(buffer), 0);

		if (got <= 0)
			return false;
		g_string_append_len(in, buffer, got);
	}
	words = g_strsplit(in->str, " ", 3);
	usleep(ANSWER_US);
	out = g_string_new(NULL);
	{
		char *body = g_strndup(in->str + head_len, body_len);

		status = handle_(words[0], words[1], body, out);
		g_free(body);
	}
	answer = g_string_new(NULL);
	g_string_printf(answer,
			"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n",
			status, out->len);
	g_string_append_len(answer, out->str, (gssize)out->len);
	ok = send_all_(connection, answer->str, answer->len);
	g_string_free(out, TRUE);
	g_string_free(answer, TRUE);
	g_strfreev(words);
	g_string_erase(in, 0, (gssize)(head_len + body_len));
	return ok;
}

static void *serve_(void *ctx)
{
	connection_t *connection = ctx;
	GString *in = g_string_new(NULL);

	while (!world.stopping && serve_one_(connection, in))
		;
	close(connection->fd);
	g_string_free(in, TRUE);
	g_free(connection);
	return NULL;
}

/* A listener of the store, for one entry or for all agents. */
typedef struct {
	int fd;
	uint64_t bytes_per_s; /* 0: no limit */
} listener_t;

static void *accept_(void *ctx)
{
	const listener_t *listener = ctx;
	const int one = 1;
	int fd;

	while ((fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		connection_t *connection = g_new0(connection_t, 1);
		pthread_t thread;

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		connection->fd = fd;
		connection->bytes_per_s = listener->bytes_per_s;
		pthread_create(&thread, NULL, serve_, connection);
		pthread_detach(thread);
	}
	return NULL;
}

void store_set_up(bool up)
{
	pthread_mutex_lock(&lock_);
	down_ = !up;
	pthread_cond_broadcast(&changed_);
	pthread_mutex_unlock(&lock_);
	note("the store %s", up ? "serves again" : "answers 503");
}

bool store_names(const node_t *agent)
{
	char *end = g_strdup_printf("/%s:%d", ip_text(agent->ip),
				    world.base_port + 4);
	bool named = false;

	pthread_mutex_lock(&lock_);
	for (int i = 0; i < item_count_; i++)
		named = named || (items_[i].value &&
				  g_str_has_suffix(items_[i].key, end));
	pthread_mutex_unlock(&lock_);
	g_free(end);
	return named;
}

uint32_t store_ip(const node_t *node)
{
	return address(3, node->entry ? 1 + node->index : AGENTS_IP);
}

static void listen_(uint32_t ip, int link_mbps)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(world.base_port + 7),
				    .sin_addr.s_addr = htonl(ip) };
	const int one = 1;
	listener_t *listener = g_new0(listener_t, 1);
	pthread_t thread;

	listener->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	listener->bytes_per_s = (uint64_t)link_mbps * BYTES_PER_MBIT;
	setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listener->fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(listener->fd, 256) != 0) {
		fprintf(stderr, "cannot listen for the store\n");
		exit(2);
	}
	pthread_create(&thread, NULL, accept_, listener);
	pthread_detach(thread);
}

void store_start(void)
{
	for (int i = 0; i < ENTRIES_MAX; i++)
		listen_(address(3, 1 + i), world.entries[i].link_mbps);
	listen_(address(3, AGENTS_IP), 0);
}
