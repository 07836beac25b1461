/**
 * @file
 * Stand-in of the platform's store: keys, ranges, watches and transactions over
 * HTTP/1.1, a thread for each connection.
 */
#define _GNU_SOURCE
#include "store.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MACHINES_MAX 64
#define ITEMS_MAX 1024
#define EVENTS_MAX 8192
#define RANGE_MAX 500
#define REQUEST_MAX (2 * 1024 * 1024)
#define HEADER_MAX 8192
#define ANSWER_DELAY_US 4000

typedef struct {
	char *key;
	char *value; /* base64; NULL: deleted */
	uint64_t revision;
	uint64_t created;
} item_t;

static pthread_mutex_t lock_ = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed_;
static item_t items_[ITEMS_MAX];
static int item_count_;
static item_t events_[EVENTS_MAX];
static int event_count_;
static uint64_t revision_ = 100;
/* Addresses at which the store listens, one for each machine. */
typedef struct {
	int fd;
	bool refuses; /* answers 503 */
	unsigned int refused; /* calls answered with 503 */
} machine_t;

typedef struct {
	int fd;
	machine_t *machine;
} connection_t;

static machine_t machines_[MACHINES_MAX];
static int machine_count_;

static char *base64_(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = calloc(1, (len + 2) / 3 * 4 + 1);
	char *at = out;

	for (size_t i = 0; i < len; i += 3) {
		uint32_t group = (uint32_t)(uint8_t)text[i] << 16;

		if (i + 1 < len)
			group |= (uint32_t)(uint8_t)text[i + 1] << 8;
		if (i + 2 < len)
			group |= (uint8_t)text[i + 2];
		*at++ = digits[group >> 18 & 63];
		*at++ = digits[group >> 12 & 63];
		*at++ = i + 1 < len ? digits[group >> 6 & 63] : '=';
		*at++ = i + 2 < len ? digits[group & 63] : '=';
	}
	return out;
}

static item_t *find_(const char *key)
{
	for (int i = 0; i < item_count_; i++) {
		if (strcmp(items_[i].key, key) == 0)
			return &items_[i];
	}
	return NULL;
}

static uint64_t revision_of_(const char *key)
{
	const item_t *item = find_(key);

	return item && item->value ? item->revision : 0;
}

static void add_event_(const item_t *item)
{
	if (event_count_ == EVENTS_MAX)
		abort();
	events_[event_count_++] =
		(item_t){ strdup(item->key),
			  item->value ? strdup(item->value) : NULL,
			  item->revision, item->created };
}

/* Sets a key at the revision @p revision; NULL deletes it. */
static void set_(const char *key, const char *base64, uint64_t revision)
{
	item_t *item = find_(key);

	if (!item) {
		if (item_count_ == ITEMS_MAX)
			abort();
		item = &items_[item_count_++];
		item->key = strdup(key);
	}
	if (!item->value)
		item->created = revision;
	free(item->value);
	item->value = base64 ? strdup(base64) : NULL;
	item->revision = revision;
	add_event_(item);
}

uint64_t store_put(const char *key, const char *value)
{
	char *base64 = base64_(value);
	uint64_t revision;

	pthread_mutex_lock(&lock_);
	revision = ++revision_;
	set_(key, base64, revision);
	pthread_cond_broadcast(&changed_);
	pthread_mutex_unlock(&lock_);
	free(base64);
	return revision;
}

static struct json_object *item_json_(const item_t *item)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "key", json_object_new_string(item->key));
	json_object_object_add(json, "revision",
			       json_object_new_uint64(item->revision));
	if (!item->value) {
		json_object_object_add(json, "deleted",
				       json_object_new_boolean(1));
		return json;
	}
	json_object_object_add(json, "value",
			       json_object_new_string(item->value));
	json_object_object_add(json, "created",
			       json_object_new_uint64(item->created));
	json_object_object_add(json, "lease", json_object_new_int(0));
	return json;
}

static int digit_(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	return (c | 32) - 'a' + 10;
}

/* Copies the argument @p name of a query, decoded; "" if there is none. */
static void argument_(const char *query, const char *name, char *out,
		      size_t size)
{
	size_t len = strlen(name);
	const char *at = query;

	*out = '\0';
	while (at && *at) {
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			size_t n = 0;

			for (at += len + 1; *at && *at != '&' && n + 1 < size;
			     at++) {
				if (*at == '%' && at[1] && at[2]) {
					out[n++] = (char)(digit_(at[1]) << 4 |
							  digit_(at[2]));
					at += 2;
				} else {
					out[n++] = *at == '+' ? ' ' : *at;
				}
			}
			out[n] = '\0';
			return;
		}
		at = strchr(at, '&');
		if (at)
			at++;
	}
}

static int get_key_(const char *query, struct json_object **body)
{
	char key[256];
	const item_t *item;

	argument_(query, "key", key, sizeof(key));
	item = find_(key);
	*body = item && item->value ? item_json_(item) :
				      json_object_new_object();
	json_object_object_add(*body, "store_revision",
			       json_object_new_uint64(revision_));
	return item && item->value ? 200 : 404;
}

static int compare_(const void *a, const void *b)
{
	const item_t *const *left = a;
	const item_t *const *right = b;

	return strcmp((*left)->key, (*right)->key);
}

static int get_range_(const char *query, struct json_object **body)
{
	struct json_object *list = json_object_new_array();
	const item_t *found[ITEMS_MAX];
	char prefix[256];
	char after[256];
	int count = 0;

	argument_(query, "prefix", prefix, sizeof(prefix));
	argument_(query, "after", after, sizeof(after));
	for (int i = 0; i < item_count_; i++) {
		if (items_[i].value &&
		    strncmp(items_[i].key, prefix, strlen(prefix)) == 0 &&
		    strcmp(items_[i].key, after) > 0)
			found[count++] = &items_[i];
	}
	qsort(found, (size_t)count, sizeof(found[0]), compare_);
	for (int i = 0; i < count && i < RANGE_MAX; i++)
		json_object_array_add(list, item_json_(found[i]));
	*body = json_object_new_object();
	json_object_object_add(*body, "items", list);
	json_object_object_add(*body, "has_more",
			       json_object_new_boolean(count > RANGE_MAX));
	json_object_object_add(*body, "store_revision",
			       json_object_new_uint64(revision_));
	return 200;
}

static int get_watch_(const char *query, struct json_object **body)
{
	struct json_object *list = json_object_new_array();
	char prefix[256];
	char text[32];
	uint64_t after;
	struct timespec until;
	long wait_ms;
	int result = 0;

	argument_(query, "prefix", prefix, sizeof(prefix));
	argument_(query, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	argument_(query, "wait_ms", text, sizeof(text));
	wait_ms = strtol(text, NULL, 10);
	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	while (result == 0) {
		for (int i = 0; i < event_count_; i++) {
			if (events_[i].revision > after &&
			    strncmp(events_[i].key, prefix, strlen(prefix)) ==
				    0)
				json_object_array_add(list,
						      item_json_(&events_[i]));
		}
		if (json_object_array_length(list) > 0)
			break;
		result = pthread_cond_timedwait(&changed_, &lock_, &until);
	}
	*body = json_object_new_object();
	json_object_object_add(*body, "events", list);
	json_object_object_add(*body, "store_revision",
			       json_object_new_uint64(revision_));
	return 200;
}

static struct json_object *field_(struct json_object *object, const char *name)
{
	struct json_object *field = NULL;

	json_object_object_get_ex(object, name, &field);
	return field;
}

static const char *text_(struct json_object *object, const char *name)
{
	const char *text = json_object_get_string(field_(object, name));

	return text ? text : "";
}

static size_t length_(struct json_object *list)
{
	return list ? json_object_array_length(list) : 0;
}

static int post_txn_(const char *request, struct json_object **body)
{
	struct json_object *root = json_tokener_parse(request);
	struct json_object *expect = field_(root, "expect");
	struct json_object *writes = field_(root, "writes");
	struct json_object *remove = field_(root, "remove");

	*body = json_object_new_object();
	for (size_t i = 0; i < length_(expect); i++) {
		struct json_object *row = json_object_array_get_idx(expect, i);
		struct json_object *list;

		if (revision_of_(text_(row, "key")) ==
		    json_object_get_uint64(field_(row, "revision")))
			continue;
		list = json_object_new_array();
		if (revision_of_(text_(row, "key")) != 0)
			json_object_array_add(
				list, item_json_(find_(text_(row, "key"))));
		json_object_object_add(*body, "items", list);
		json_object_put(root);
		return 412;
	}
	revision_++;
	for (size_t i = 0; i < length_(writes); i++) {
		struct json_object *row = json_object_array_get_idx(writes, i);

		set_(text_(row, "key"), text_(row, "value"), revision_);
	}
	for (size_t i = 0; i < length_(remove); i++) {
		const char *key = json_object_get_string(
			json_object_array_get_idx(remove, i));

		if (revision_of_(key) != 0)
			set_(key, NULL, revision_);
	}
	json_object_object_add(*body, "revision",
			       json_object_new_uint64(revision_));
	json_object_put(root);
	pthread_cond_broadcast(&changed_);
	return 200;
}

static int handle_(const char *method, char *path, const char *request,
		   struct json_object **body)
{
	char *query = strchr(path, '?');

	if (query)
		*query++ = '\0';
	else
		query = path + strlen(path);
	if (strcmp(method, "GET") == 0 && strcmp(path, "/v1/kv-key") == 0)
		return get_key_(query, body);
	if (strcmp(method, "GET") == 0 && strcmp(path, "/v1/kv-range") == 0)
		return get_range_(query, body);
	if (strcmp(method, "GET") == 0 && strcmp(path, "/v1/kv-watch") == 0)
		return get_watch_(query, body);
	if (strcmp(method, "POST") == 0 && strcmp(path, "/v1/kv-txn") == 0)
		return post_txn_(request, body);
	*body = json_object_new_object();
	return 404;
}

static bool send_all_(int fd, const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t sent = send(fd, bytes, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		bytes += sent;
		len -= (size_t)sent;
	}
	return true;
}

/* Reads one request into @p buffer; returns the offset of its body, 0 at the
 * end of the connection. */
static size_t read_request_(int fd, char *buffer)
{
	size_t len = 0;
	size_t body_at = 0;
	size_t body_len = 0;

	for (;;) {
		ssize_t got = recv(fd, buffer + len, REQUEST_MAX - 1 - len, 0);
		const char *end;

		if (got <= 0)
			return 0;
		len += (size_t)got;
		buffer[len] = '\0';
		end = strstr(buffer, "\r\n\r\n");
		if (end && body_at == 0) {
			const char *field =
				strcasestr(buffer, "\r\ncontent-length:");

			body_at = (size_t)(end - buffer) + 4;
			if (field && field < end)
				body_len = strtoul(field + 17, NULL, 10);
		}
		if (body_at > 0 && len >= body_at + body_len)
			return body_at;
	}
}

/* Answers one request; false when the connection ends. */
static bool answer_(int fd, machine_t *machine, char *buffer, size_t body_at)
{
	char method[16] = "";
	char path[2048] = "";
	char head[HEADER_MAX];
	struct json_object *body = NULL;
	const char *text;
	int status;
	bool sent;

	if (sscanf(buffer, "%15s %2047s", method, path) != 2)
		return false;
	usleep(ANSWER_DELAY_US);
	pthread_mutex_lock(&lock_);
	if (machine->refuses) {
		machine->refused++;
		body = json_object_new_object();
		status = 503;
	} else {
		status = handle_(method, path, buffer + body_at, &body);
	}
	text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	pthread_mutex_unlock(&lock_);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 status, strlen(text));
	sent = send_all_(fd, head, strlen(head)) &&
	       send_all_(fd, text, strlen(text));
	json_object_put(body);
	return sent;
}

static void *connection_main_(void *ctx)
{
	connection_t *connection = ctx;
	char *buffer = malloc(REQUEST_MAX);
	size_t body_at;

	while ((body_at = read_request_(connection->fd, buffer)) > 0 &&
	       answer_(connection->fd, connection->machine, buffer, body_at))
		;
	free(buffer);
	close(connection->fd);
	free(connection);
	return NULL;
}

static void *listener_main_(void *ctx)
{
	machine_t *machine = ctx;

	for (;;) {
		int fd = accept4(machine->fd, NULL, NULL, SOCK_CLOEXEC);
		connection_t *connection;
		pthread_t thread;

		if (fd < 0)
			continue;
		connection = calloc(1, sizeof(*connection));
		connection->fd = fd;
		connection->machine = machine;
		pthread_create(&thread, NULL, connection_main_, connection);
		pthread_detach(thread);
	}
	return NULL;
}

void store_init(void)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&changed_, &attr);
}

int store_listen(const char *ip, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	machine_t *machine = &machines_[machine_count_];
	pthread_t thread;
	int on = 1;

	inet_pton(AF_INET, ip, &addr.sin_addr);
	machine->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(machine->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (machine_count_ == MACHINES_MAX ||
	    bind(machine->fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(machine->fd, 128) != 0)
		return -1;
	pthread_create(&thread, NULL, listener_main_, machine);
	pthread_detach(thread);
	return machine_count_++;
}

void store_refuse(int machine, bool refuses)
{
	pthread_mutex_lock(&lock_);
	machines_[machine].refuses = refuses;
	pthread_mutex_unlock(&lock_);
}

unsigned int store_refused(int machine)
{
	unsigned int refused;

	pthread_mutex_lock(&lock_);
	refused = machines_[machine].refused;
	pthread_mutex_unlock(&lock_);
	return refused;
}

bool store_has(const char *part)
{
	bool found = false;

	pthread_mutex_lock(&lock_);
	for (int i = 0; i < item_count_ && !found; i++)
		found = items_[i].value && strstr(items_[i].key, part);
	pthread_mutex_unlock(&lock_);
	return found;
}
