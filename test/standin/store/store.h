/**
 * @file
 * Stand-in for the platform's key-value service: the part of its HTTP interface
 * that pimentolift uses, with fault injection. Test code.
 */
#ifndef PL_STANDIN_STORE_H
#define PL_STANDIN_STORE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct pl_store pl_store_t;

/** Number of calls since the start, and bytes of values sent. */
typedef struct {
	uint64_t reads;
	uint64_t writes;
	uint64_t watches;
	uint64_t watches_waiting; /**< at present */
	uint64_t value_bytes_out;
} pl_store_stats_t;

/** Starts a store on 127.0.0.1:@p port; port 0: any free port. */
pl_store_t *pl_store_new(uint16_t port);
void pl_store_delete(pl_store_t *store);

uint16_t pl_store_port(const pl_store_t *store);

/**
 * Runs one command; false if it is unknown.
 * - `down`: connections are closed without a response
 * - `up`: ends all faults; `page` stays
 * - `slow MS`: delays every response
 * - `lose-answers N`: the next N writes take effect but get no response
 * - `lose-writes N`: the next N writes are dropped before they take effect
 * - `down-after-write`: the next write takes effect, then the store goes down
 * - `page N`: lists return at most N items per response; 0: no limit
 * - `deaf`: watches report no changes
 * - `copy`: remembers the present state
 * - `restore`: returns to the state of the last `copy`; false without one. All
 *   later changes and leases are lost, their numbers are assigned again, and
 *   the era in the responses rises
 * - `freeze`: reads return the state at the time of this command
 */
bool pl_store_command(pl_store_t *store, const char *command);

/** Whether the store has a value for @p key. */
bool pl_store_has(pl_store_t *store, const char *key);

void pl_store_stats(pl_store_t *store, pl_store_stats_t *stats);

#endif
