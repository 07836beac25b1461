/**
 * @file
 * Registration of the backend server, RFC 9176 section 5: POST /rd with the
 * parameters ep (name), d (service), lt (lifetime in seconds), base (URI) and
 * slots. POST to the location /rd/1 renews the registration, DELETE ends it.
 */
#ifndef PIMENTOLIFT_DAEMON_BACKEND_REGISTRY_H
#define PIMENTOLIFT_DAEMON_BACKEND_REGISTRY_H

#include <coap3/coap.h>
#include <pimentolift/addr.h>
#include <pimentolift/loop.h>
#include <pimentolift/routing.h>

typedef struct pl_backend_registry pl_backend_registry_t;

/** Parameters of a registration. */
typedef struct {
	char name[PL_NAME_MAX];
	char service[PL_NAME_MAX];
	pl_addr_t base;
	uint32_t slots;
	uint32_t lifetime_s;
} pl_backend_registration_t;

/** Called with the new registration, or NULL once there is none. */
typedef void (*pl_backend_registration_changed_t)(
	void *ctx, const pl_backend_registration_t *registration);

/** Serves /rd on @p listen within @p coap; a port of 0 is replaced by the bound
 * port. */
pl_backend_registry_t *pl_backend_registry_new(
	pl_loop_t *loop, coap_context_t *coap, pl_addr_t *listen,
	pl_backend_registration_changed_t changed, void *ctx, pl_error_t *err);
void pl_backend_registry_delete(pl_backend_registry_t *registry);

/** Removes the registration of a backend server that is unreachable. */
void pl_backend_registry_remove(pl_backend_registry_t *registry);

#endif
