/**
 * @file
 * @defgroup seeds Seeds in the platform's service
 *
 * The key `pimentolift/ENVIRONMENT/seeds` holds a JSON array of up to
 * @ref PL_SEEDS_MAX members "IP:PORT" that a newcomer can ask for the
 * membership. Members correct it by compare-and-swap when most of it is out
 * of date, and of several that try at once one succeeds; it is no record of
 * who belongs to the fleet.
 * @{
 */
#ifndef PIMENTOLIFT_SEEDS_H
#define PIMENTOLIFT_SEEDS_H

#include <pimentolift/addr.h>
#include <pimentolift/kv.h>
#include <stdbool.h>

/** Most seeds in the list. */
#define PL_SEEDS_MAX 16

/** Called once, when a read or a write ended. */
typedef void (*pl_seeds_done_t)(void *ctx, pl_result_t result);

/** Value of the key; it must live until the call on it has ended. */
typedef struct {
	pl_addr_t at[PL_SEEDS_MAX];
	size_t count;
	uint64_t modify_index; /**< 0 when there is none */
	pl_seeds_done_t done; /**< of the call in progress */
	void *ctx;
} pl_seeds_t;

/**
 * Reads the seeds of @p environment into @p seeds, which is empty when there
 * is no such key (PL_ERR_NOT_FOUND).
 */
void pl_seeds_read(pl_kv_t *platform, const char *environment,
		   pl_seeds_t *seeds, pl_seeds_done_t done, void *ctx);

/** Writes @p seeds in place of the value that they were read from. */
void pl_seeds_write(pl_kv_t *platform, const char *environment,
		    pl_seeds_t *seeds, pl_seeds_done_t done, void *ctx);

/** Puts @p addr into the list, in the place of @p victim when it is full. */
bool pl_seeds_add(pl_seeds_t *seeds, const pl_addr_t *addr, size_t victim);

/**
 * Corrects @p seeds when fewer than half of the places that @p alive could
 * fill hold a member that is alive: drops the others and fills up in the
 * order of @p alive. Returns whether there is something to write.
 */
bool pl_seeds_correct(pl_seeds_t *seeds, const pl_addr_t *alive, size_t count);

#endif
/** @} */
