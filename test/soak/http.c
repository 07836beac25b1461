/**
 * @file
 * HTTP requests to the admin interfaces.
 */
#include "lab.h"

#include <curl/curl.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 2000L

static size_t append_body_(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

char *http_request(const char *method, const char *url, const char *body)
{
	static CURL *curl;
	GString *response = g_string_new(NULL);
	CURLcode code;

	if (!curl)
		curl = curl_easy_init();
	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body_);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	if (strcmp(method, "GET") != 0)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body ? body : "");
	code = curl_easy_perform(curl);
	if (code == CURLE_OK)
		return g_string_free(response, FALSE);
	g_string_free(response, TRUE);
	return NULL;
}
