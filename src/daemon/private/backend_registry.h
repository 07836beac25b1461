/**
 * @file
 * Registration of the backend server, RFC 9176 section 5: POST /rd with the
 * parameters ep (name), d (service), lt (lifetime in seconds), base (URI) and
 * slots; the location /rd/1 can be renewed by POST and ended by DELETE.
 */
#ifndef PIMENTOLIFT_DAEMON_BACKEND_REGISTRY_H
#define PIMENTOLIFT_DAEMON_BACKEND_REGISTRY_H

#include <coap3/coap.h>
#include <pimentolift/addr.h>
#include <pimentolift/loop.h>
#include <pimentolift/routing.h>

typedef struct pl_backend_registry pl_backend_registry_t;

/** What a backend server said of itself. */
typedef struct {
	char name[PL_NAME_MAX];
	char service[PL_NAME_MAX];
	pl_addr_t base;
	uint32_t slots;
	uint32_t lifetime_s;
} pl_backend_registration_t;

/** The registration changed; NULL when there is none any more. */
typedef void (*pl_backend_registration_changed_t)(
	void *ctx, const pl_backend_registration_t *registration);

/** Serves /rd on @p listen within @p coap; the port is written back. */
pl_backend_registry_t *pl_backend_registry_new(
	pl_loop_t *loop, coap_context_t *coap, pl_addr_t *listen,
	pl_backend_registration_changed_t changed, void *ctx, pl_error_t *err);
void pl_backend_registry_delete(pl_backend_registry_t *registry);

/** Drops the registration, for a backend server that does not answer. */
void pl_backend_registry_remove(pl_backend_registry_t *registry);

#endif
