/**
 * @file
 * HTTP requests to the store and the admin ports, by libcurl.
 */
#include "lab.h"

#include <curl/curl.h>
#include <string.h>

#define TIMEOUT_MS 2000L

static size_t collect_(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

char *http_request(const char *method, const char *url, const char *body)
{
	static CURL *curl;
	GString *answer = g_string_new(NULL);
	CURLcode code;

	if (!curl)
		curl = curl_easy_init();
	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect_);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	if (strcmp(method, "GET") != 0)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body ? body : "");
	code = curl_easy_perform(curl);
	if (code == CURLE_OK)
		return g_string_free(answer, FALSE);
	g_string_free(answer, TRUE);
	return NULL;
}
