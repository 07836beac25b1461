/**
 * @file
 * A relay that replaces entries and agents in tests: it removes the PROXY header
 * of the fabric and forwards datagrams to one backend server per service
 * address.
 */
#ifndef PL_TEST_RELAY_H
#define PL_TEST_RELAY_H

#include <pimentolift/addr.h>

typedef struct relay relay_t;

/** Creates a relay that sends responses to @p fabric. */
relay_t *relay_new(const pl_addr_t *fabric);
/**
 * Adds a route from @p service to @p backend. The first route starts the thread
 * of the relay.
 */
void relay_add_route(relay_t *relay, const pl_addr_t *service,
		     const pl_addr_t *backend);
/** Address to which the fabric sends datagrams. */
const pl_addr_t *relay_addr(const relay_t *relay);
void relay_delete(relay_t *relay);

#endif
