/**
 * @file
 * Calls to the platform's key-value service through libcurl's multi
 * interface.
 */
#include <pimentolift/platform.h>

#include "private/kv.h"

#include <assert.h>
#include <curl/curl.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <pimentolift/list.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_LARGE 413
/** base64 of the largest value, and room for the rest of the JSON. */
#define BODY_MAX (PL_PLATFORM_VALUE_MAX / 3 * 4 + 4096)
/** The service may add a sixteenth to a watch's wait. */
#define WAIT_SPREAD 16

typedef enum {
	CALL_READ,
	CALL_WATCH,
	CALL_WRITE,
} call_type_t;

struct pl_platform {
	CURLM *multi;
	char *url;
	uint32_t timeout_ms;
	bool down;
	size_t pending;
	pl_list_t calls;
};

struct pl_platform_call {
	pl_list_t link;
	pl_platform_t *platform;
	call_type_t type;
	CURL *easy;
	GString *body; /* of the answer */
	char *value; /* of a write */
	uint64_t watch_index;
	bool too_large;
	pl_platform_done_t done;
	void *ctx;
	char error[CURL_ERROR_SIZE];
};

static size_t on_body_(char *data, size_t size, size_t count, void *ctx)
{
	pl_platform_call_t *call = ctx;

	if (call->body->len + size * count > BODY_MAX) {
		call->too_large = true;
		return 0;
	}
	g_string_append_len(call->body, data, (gssize)(size * count));
	return size * count;
}

static size_t on_header_(char *data, size_t size, size_t count, void *ctx)
{
	static const char name[] = "X-Consul-Index:";
	pl_platform_call_t *call = ctx;
	size_t len = size * count;
	char *text;

	if (len > strlen(name) &&
	    g_ascii_strncasecmp(data, name, strlen(name)) == 0) {
		text = g_strndup(data + strlen(name), len - strlen(name));
		call->watch_index =
			g_ascii_strtoull(g_strstrip(text), NULL, 10);
		g_free(text);
	}
	return len;
}

static void call_free_(pl_platform_call_t *call)
{
	pl_list_remove(&call->link);
	call->platform->pending--;
	curl_multi_remove_handle(call->platform->multi, call->easy);
	curl_easy_cleanup(call->easy);
	g_string_free(call->body, TRUE);
	g_free(call->value);
	g_free(call);
}

static pl_platform_call_t *call_new_(pl_platform_t *platform, call_type_t type,
				     pl_platform_done_t done, void *ctx)
{
	pl_platform_call_t *call = g_new0(pl_platform_call_t, 1);

	assert(done);
	call->platform = platform;
	call->type = type;
	call->easy = curl_easy_init();
	call->body = g_string_new("");
	call->done = done;
	call->ctx = ctx;
	pl_list_append(&platform->calls, &call->link);
	platform->pending++;
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_ERRORBUFFER, call->error);
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_body_);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, on_header_);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)platform->timeout_ms);
	return call;
}

/* Sends @p call for @p url, which is freed. */
static pl_platform_call_t *start_(pl_platform_call_t *call, char *url,
				  uint32_t wait_ms)
{
	pl_platform_t *platform = call->platform;

	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS,
			 (long)platform->timeout_ms + wait_ms +
				 wait_ms / WAIT_SPREAD);
	curl_multi_add_handle(platform->multi, call->easy);
	pl_counter_add(PL_COUNTER_PLATFORM_CALLS, 1);
	g_free(url);
	return call;
}

pl_platform_t *pl_platform_new(const char *url, uint32_t timeout_ms)
{
	pl_platform_t *platform = g_new0(pl_platform_t, 1);
	size_t len;

	assert(url);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	platform->multi = curl_multi_init();
	platform->url = g_strdup(url);
	len = strlen(platform->url);
	if (len > 0 && platform->url[len - 1] == '/')
		platform->url[len - 1] = '\0';
	platform->timeout_ms = timeout_ms;
	pl_list_init(&platform->calls);
	return platform;
}

void pl_platform_delete(pl_platform_t *platform)
{
	if (!platform)
		return;
	pl_list_for_each_safe(node, &platform->calls)
		call_free_(PL_CONTAINER_OF(node, pl_platform_call_t, link));
	curl_multi_cleanup(platform->multi);
	curl_global_cleanup();
	g_free(platform->url);
	g_free(platform);
}

pl_platform_call_t *pl_platform_get(pl_platform_t *platform, const char *key,
				    pl_platform_done_t done, void *ctx)
{
	pl_platform_call_t *call = call_new_(platform, CALL_READ, done, ctx);

	return start_(call, g_strdup_printf("%s/v1/kv/%s", platform->url, key),
		      0);
}

pl_platform_call_t *pl_platform_watch(pl_platform_t *platform, const char *key,
				      uint64_t index, pl_platform_done_t done,
				      void *ctx)
{
	pl_platform_call_t *call = call_new_(platform, CALL_WATCH, done, ctx);

	return start_(call,
		      g_strdup_printf("%s/v1/kv/%s?index=%" G_GUINT64_FORMAT
				      "&wait=%dms",
				      platform->url, key, index,
				      PL_PLATFORM_WAIT_MS),
		      PL_PLATFORM_WAIT_MS);
}

pl_platform_call_t *pl_platform_put(pl_platform_t *platform, const char *key,
				    const void *value, size_t value_len,
				    uint64_t replaces, pl_platform_done_t done,
				    void *ctx)
{
	pl_platform_call_t *call = call_new_(platform, CALL_WRITE, done, ctx);

	assert(value && value_len <= PL_PLATFORM_VALUE_MAX);
	call->value = g_memdup2(value, value_len + (value_len == 0));
	/* a repeat by libcurl would turn a lost answer into a conflict */
	curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, "PUT");
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->value);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE, (long)value_len);
	return start_(call,
		      g_strdup_printf("%s/v1/kv/%s?cas=%" G_GUINT64_FORMAT,
				      platform->url, key, replaces),
		      0);
}

void pl_platform_cancel(pl_platform_call_t *call)
{
	call_free_(call);
}

/* Result of a call that got no HTTP answer. */
static pl_result_t transport_result_(const pl_platform_call_t *call,
				     CURLcode code)
{
	if (call->too_large)
		return PL_ERR_LIMIT;
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return PL_ERR_UNAVAILABLE;
	if (call->type == CALL_WRITE)
		return PL_ERR_UNKNOWN_OUTCOME;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return PL_ERR_TIMEOUT;
	return PL_ERR_UNAVAILABLE;
}

/* Result of a call that was answered with @p status. */
static pl_result_t answer_result_(const pl_platform_call_t *call, long status)
{
	if (status == HTTP_TOO_LARGE)
		return PL_ERR_LIMIT;
	if (call->type == CALL_WRITE) {
		if (status != HTTP_OK)
			return PL_ERR_UNKNOWN_OUTCOME;
		return g_str_has_prefix(call->body->str, "true") ?
			       PL_OK :
			       PL_ERR_CONFLICT;
	}
	if (status == HTTP_NOT_FOUND)
		return PL_ERR_NOT_FOUND;
	return status == HTTP_OK ? PL_OK : PL_ERR_UNAVAILABLE;
}

static bool is_outage_(pl_result_t result)
{
	return result == PL_ERR_UNAVAILABLE || result == PL_ERR_TIMEOUT ||
	       result == PL_ERR_UNKNOWN_OUTCOME;
}

/* Counts the outcome and logs when the service goes down or comes back. */
static void note_outcome_(pl_platform_t *platform, pl_result_t result,
			  const char *message)
{
	bool down = is_outage_(result);

	if (down || result == PL_ERR_MALFORMED || result == PL_ERR_LIMIT)
		pl_counter_add(PL_COUNTER_PLATFORM_ERRORS, 1);
	if (down && !platform->down)
		pl_event(PL_EVENT_PLATFORM_DOWN, "%s: %s", platform->url,
			 message);
	if (!down && platform->down)
		pl_event(PL_EVENT_PLATFORM_UP, "%s", platform->url);
	platform->down = down;
}

static void finish_(pl_platform_call_t *call, CURLcode code)
{
	pl_platform_reply_t reply = { .watch_index = call->watch_index };
	char *value = NULL;
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	reply.result = code == CURLE_OK ? answer_result_(call, status) :
					  transport_result_(call, code);
	if (reply.result == PL_OK && call->type != CALL_WRITE)
		reply.result =
			pl_kv_decode(call->body->str, call->body->len, &value,
				     &reply.value_len, &reply.modify_index);
	reply.value = value;
	reply.message = "";
	if (reply.result != PL_OK)
		reply.message = *call->error ? call->error :
				code != CURLE_OK ?
					       curl_easy_strerror(code) :
					       pl_result_meaning(reply.result);
	note_outcome_(call->platform, reply.result, reply.message);
	call->done(call->ctx, &reply);
	g_free(value);
	call_free_(call);
}

void pl_platform_poll(pl_platform_t *platform)
{
	int running = 0;
	int left = 0;
	CURLMsg *message;

	curl_multi_perform(platform->multi, &running);
	message = curl_multi_info_read(platform->multi, &left);
	while (message) {
		CURLcode code = message->data.result;
		void *call = NULL;

		if (message->msg == CURLMSG_DONE) {
			curl_easy_getinfo(message->easy_handle,
					  CURLINFO_PRIVATE, (char **)&call);
			finish_(call, code);
		}
		message = curl_multi_info_read(platform->multi, &left);
	}
}

void pl_platform_wait(pl_platform_t *platform, uint32_t wait_ms)
{
	curl_multi_poll(platform->multi, NULL, 0, (int)wait_ms, NULL);
	pl_platform_poll(platform);
}

size_t pl_platform_pending(const pl_platform_t *platform)
{
	return platform->pending;
}

bool pl_platform_is_down(const pl_platform_t *platform)
{
	return platform->down;
}
