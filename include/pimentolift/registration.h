/**
 * @file
 * @defgroup registration Registration in the roster
 *
 * An agent's entry in the roster of its service in the key-value store. An
 * agent registers before its backend server is offered flows and deregisters
 * once the server has shut down for good, so the roster names every agent that
 * may own a flow. The module has no sockets, threads or clock of its own.
 * @{
 */
#ifndef PIMENTOLIFT_REGISTRATION_H
#define PIMENTOLIFT_REGISTRATION_H

#include <pimentolift/kv.h>
#include <pimentolift/routing.h>
#include <pimentolift/timer.h>

/** The roster entry of an agent that stays dead for this long is removed. No
 * flow lives that long, and an agent that comes back writes its entry again. */
#define PL_ROSTER_REMOVE_DEAD_MS 600000

typedef struct pl_registration pl_registration_t;

/** Called once the agent is registered, or once registration has timed out. */
typedef void (*pl_registration_done_t)(void *ctx);

/** Parameters of an agent; strings are copied, the others must outlive it. */
typedef struct {
	const char *environment;
	pl_service_id_t service;
	pl_member_id_t agent;
	const char *name; /**< value of the entry, shown to operators */
	pl_kv_t *kv;
	pl_timer_service_t *timers;
	uint64_t (*random)(void); /**< spreads retries */
	/** Asks another member to write the entry, because the store refuses
	 * this agent or cannot be reached; pl_registration_delegate_wrote()
	 * follows if it did. May be NULL. */
	void (*delegate)(void *ctx);
	void *delegate_ctx;
} pl_registration_params_t;

/** Prefix of the keys of all entries in the roster; free with g_free(). */
char *pl_roster_prefix(const char *environment);

/** Key of an agent's entry; free with g_free(). */
char *pl_roster_key(const char *environment, pl_service_id_t service,
		    pl_member_id_t agent);

/** Reads the service and the agent from the key of an entry; false unless
 * pl_roster_key() returns exactly this key for them. */
bool pl_roster_parse_key(const char *environment, const char *key,
			 pl_service_id_t *service, pl_member_id_t *agent);

pl_registration_t *pl_registration_new(const pl_registration_params_t *params);
void pl_registration_delete(pl_registration_t *registration);

/** Writes this agent's entry and retries until that succeeds. */
void pl_registration_register(pl_registration_t *registration,
			      pl_registration_done_t done, void *ctx);

/** Another member wrote this agent's entry in @p generation of the store. */
void pl_registration_delegate_wrote(pl_registration_t *registration,
				    uint64_t generation);

/** Writes this agent's entry again if it is old: if membership declared the
 * agent dead, the readers of the roster may have removed its entry. */
void pl_registration_refresh(pl_registration_t *registration);

/** Removes this agent's entry, also one that an earlier process of the agent
 * wrote, because the backend server has shut down for good. */
void pl_registration_deregister(pl_registration_t *registration);

/**
 * The store was restored from an older copy and is in @p generation: what this
 * agent wrote or removed before may be undone, and is done again at a random
 * time within @p spread_ms.
 */
void pl_registration_store_restored(pl_registration_t *registration,
				    uint64_t generation, pl_ms_t spread_ms);

/** Whether the removal of the entry is still in progress. */
bool pl_registration_is_deregistering(const pl_registration_t *registration);

#endif
/** @} */
