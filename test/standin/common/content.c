/**
 * @file
 * Response content derived from the service and the path. A caller can verify
 * that a response is complete, belongs to its request, and comes from the
 * service that it called.
 */
#include "common/standin.h"

#include <inttypes.h>
#include <pimentolift/hash.h>
#include <string.h>

char *pl_content_text(const char *service, const char *path)
{
	uint64_t sum = pl_hash(path, strlen(path), pl_hash_text(service));

	return g_strdup_printf("service=%s path=%s sum=%016" PRIx64 "\n",
			       service, path, sum);
}

char *pl_content_state(const char *service, const char *path, uint64_t version)
{
	return g_strdup_printf("service=%s path=%s version=%" PRIu64 "\n",
			       service, path, version);
}

uint8_t *pl_content_body(const char *first, size_t size)
{
	size_t first_len = MIN(strlen(first), size);
	uint8_t *body = g_malloc0(size + 1);
	uint64_t state = pl_hash_text(first);

	for (size_t i = 0; i < first_len; i++)
		body[i] = (uint8_t)first[i];
	for (size_t i = first_len; i < size; i++) {
		state = state * UINT64_C(6364136223846793005) +
			UINT64_C(1442695040888963407);
		body[i] = (uint8_t)(state >> 56);
	}
	return body;
}

char *pl_content_field(const char *text, size_t len, const char *name)
{
	const char *line_end = memchr(text, '\n', len);
	char *line =
		g_strndup(text, line_end ? (size_t)(line_end - text) : len);
	char **fields = g_strsplit(line, " ", -1);
	size_t name_len = strlen(name);
	char *value = NULL;

	for (char **field = fields; *field && !value; field++) {
		if (strncmp(*field, name, name_len) == 0 &&
		    (*field)[name_len] == '=')
			value = g_strdup(*field + name_len + 1);
	}
	g_strfreev(fields);
	g_free(line);
	return value;
}
