/**
 * @file
 * HTTP server on a thread's loop, by libmicrohttpd in external event loop
 * mode.
 */
#ifndef PIMENTOLIFT_DAEMON_HTTP_H
#define PIMENTOLIFT_DAEMON_HTTP_H

#include <pimentolift/addr.h>
#include <pimentolift/loop.h>
#include <stddef.h>

typedef struct pl_http pl_http_t;
typedef struct pl_http_request pl_http_request_t;

/** A response; the server frees the body with g_free(). */
typedef struct {
	unsigned int status;
	const char *content_type;
	char *body; /**< NULL: empty */
} pl_http_response_t;

/** Values of pl_http_response_t.content_type. */
extern const char pl_http_json[];
extern const char pl_http_text[];

/** Returns the response to one request. */
typedef pl_http_response_t (*pl_http_handler_t)(
	void *ctx, const pl_http_request_t *request);

/** Listens on @p listen; a port of 0 is replaced by the bound port. */
pl_http_t *pl_http_new(pl_loop_t *loop, pl_addr_t *listen,
		       pl_http_handler_t handler, void *ctx, pl_error_t *err);
void pl_http_delete(pl_http_t *http);

const char *pl_http_method(const pl_http_request_t *request);
const char *pl_http_path(const pl_http_request_t *request);
const char *pl_http_body(const pl_http_request_t *request, size_t *len);

/** Value of the query argument @p name, or NULL. */
const char *pl_http_query_argument(const pl_http_request_t *request,
				   const char *name);

#endif
