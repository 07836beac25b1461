/**
 * @file
 * Helper functions shared by the commands.
 */
#include "private/ctl.h"

#include <platform/platform.h>

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_GATEWAY_TIMEOUT 504

const char *pl_ctl_value(const pl_ctl_t *ctl, int key, const char *fallback)
{
	return ctl->values[key] ? ctl->values[key] : fallback;
}

pl_result_t pl_ctl_number(const pl_ctl_t *ctl, int key, uint64_t fallback,
			  uint64_t *number, pl_error_t *err)
{
	const char *text = ctl->values[key];
	guint64 value = 0;

	*number = fallback;
	if (!text)
		return PL_OK;
	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &value, NULL))
		return pl_error_set(err, PL_ERR_USAGE,
				    "\"%s\" is not a revision", text);
	*number = value;
	return PL_OK;
}

pl_kv_t *pl_ctl_platform(const pl_ctl_t *ctl, pl_error_t *err)
{
	if (ctl->platform)
		return pl_platform_store_new(ctl->platform, ctl->timeout_ms);
	pl_error_set(err, PL_ERR_USAGE, "option --platform=URL is required");
	return NULL;
}

const char *pl_ctl_environment(const pl_ctl_t *ctl, pl_error_t *err)
{
	if (!ctl->environment)
		pl_error_set(err, PL_ERR_USAGE,
			     "option --environment=NAME is required");
	return ctl->environment;
}

pl_result_t pl_ctl_read_file(const char *path, char **text, size_t *len,
			     pl_error_t *err)
{
	GError *error = NULL;
	gsize size = 0;

	if (g_file_get_contents(path, text, &size, &error)) {
		*len = size;
		return PL_OK;
	}
	pl_error_set(err, PL_ERR_IO, "%s", error->message);
	g_error_free(error);
	return PL_ERR_IO;
}

static void print_problems_(const pl_ctl_t *ctl, const pl_problems_t *problems)
{
	struct json_object *root;
	struct json_object *list;

	if (!ctl->json) {
		fputs(pl_problems_text(problems), stderr);
		return;
	}
	root = json_object_new_object();
	list = json_object_new_array();
	for (size_t i = 0; i < pl_problems_count(problems); i++)
		json_object_array_add(
			list,
			json_object_new_string(pl_problems_at(problems, i)));
	json_object_object_add(root, "valid", json_object_new_boolean(false));
	json_object_object_add(root, "problems", list);
	pl_ctl_print_json(root);
}

pl_result_t pl_ctl_parse(const pl_ctl_t *ctl, const char *name,
			 const char *text, size_t len, pl_document_t **document,
			 pl_error_t *err)
{
	pl_problems_t *problems = pl_problems_new(name);
	pl_result_t result =
		pl_document_parse(text, len, 1, document, problems);

	if (result != PL_OK) {
		print_problems_(ctl, problems);
		pl_error_set(err, result, "%s is not valid", name);
	}
	pl_problems_delete(problems);
	return result;
}

void pl_ctl_print_json(struct json_object *object)
{
	puts(json_object_to_json_string_ext(
		object,
		JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(object);
}

static size_t append_body_(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

/*
 * Converts an HTTP error status to a result. The message is the member "error"
 * of a JSON body, or else the whole body.
 */
static pl_result_t set_http_error_(const char *admin, long status,
				   const char *body, pl_error_t *err)
{
	struct json_object *root = json_tokener_parse(body);
	struct json_object *text = NULL;
	bool has_error = root && json_object_is_type(root, json_type_object) &&
			 json_object_object_get_ex(root, "error", &text);
	pl_result_t result = PL_ERR_STATE;

	if (status == HTTP_BAD_REQUEST)
		result = PL_ERR_USAGE;
	else if (status == HTTP_NOT_FOUND)
		result = PL_ERR_NOT_FOUND;
	else if (status == HTTP_GATEWAY_TIMEOUT)
		result = PL_ERR_TIMEOUT;
	pl_error_set(err, result, "%s: %s", admin,
		     has_error ? json_object_get_string(text) : body);
	json_object_put(root);
	return result;
}

pl_result_t pl_ctl_call(const pl_ctl_t *ctl, const char *admin,
			const char *method, const char *path, char **body,
			pl_error_t *err)
{
	char *url = g_strdup_printf("http://%s%s", admin, path);
	GString *response = g_string_new("");
	CURL *curl = curl_easy_init();
	pl_result_t result = PL_OK;
	long status = 0;
	CURLcode code;

	*body = NULL;
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)ctl->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body_);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
	code = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK)
		result = pl_error_set(err, PL_ERR_UNAVAILABLE, "%s: %s", admin,
				      curl_easy_strerror(code));
	else if (status != HTTP_OK)
		result = set_http_error_(admin, status, response->str, err);
	curl_easy_cleanup(curl);
	g_free(url);
	*body = g_string_free(response, FALSE);
	return result;
}
