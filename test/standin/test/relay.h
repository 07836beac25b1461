/**
 * @file
 * A relay that takes the place of entries and agents: it strips the header
 * of the fabric and speaks to one backend server per service address.
 */
#ifndef PL_TEST_RELAY_H
#define PL_TEST_RELAY_H

#include <pimentolift/addr.h>

typedef struct relay relay_t;

/** Starts a relay in a thread; answers go to @p fabric. */
relay_t *relay_new(const pl_addr_t *fabric);
/** Datagrams to @p service go to @p backend. */
void relay_add(relay_t *relay, const pl_addr_t *service,
	       const pl_addr_t *backend);
/** Address that the fabric hands datagrams to. */
const pl_addr_t *relay_addr(const relay_t *relay);
void relay_delete(relay_t *relay);

#endif
