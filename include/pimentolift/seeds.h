/**
 * @file
 * @defgroup seeds Seed list in the platform's key-value store
 *
 * The key `pimentolift/ENVIRONMENT/seeds` holds a JSON array of up to
 * @ref PL_SEEDS_MAX members as "IP:PORT", which a starting member contacts to
 * join the membership. When the list holds too few live members, members
 * rewrite it (pl_seeds_refresh()) by compare-and-swap, so that one of several
 * concurrent writers succeeds. The list is not a record of the fleet's members.
 * @{
 */
#ifndef PIMENTOLIFT_SEEDS_H
#define PIMENTOLIFT_SEEDS_H

#include <pimentolift/addr.h>
#include <pimentolift/kv.h>
#include <stdbool.h>

/** Maximum number of seeds in the list. */
#define PL_SEEDS_MAX 16

/** Called once when a read or write has ended. */
typedef void (*pl_seeds_done_t)(void *ctx, pl_result_t result);

/** The seed list; it must stay valid until the pending call on it ends. */
typedef struct {
	pl_addr_t at[PL_SEEDS_MAX];
	size_t count;
	uint64_t modify_index; /**< 0 when the key is absent */
	pl_seeds_done_t done; /**< callback of the pending call */
	void *ctx;
} pl_seeds_t;

/**
 * Reads the seeds of @p environment into @p seeds. When the key does not exist,
 * the list is empty and the result is PL_ERR_NOT_FOUND.
 */
void pl_seeds_read(pl_kv_t *platform, const char *environment,
		   pl_seeds_t *seeds, pl_seeds_done_t done, void *ctx);

/** Writes @p seeds if the value is still the one they were read from. */
void pl_seeds_write(pl_kv_t *platform, const char *environment,
		    pl_seeds_t *seeds, pl_seeds_done_t done, void *ctx);

/**
 * Adds @p addr to the list; when the list is full, replaces the entry at
 * @p victim modulo @ref PL_SEEDS_MAX. Returns false when @p addr is listed
 * already.
 */
bool pl_seeds_add(pl_seeds_t *seeds, const pl_addr_t *addr, size_t victim);

/**
 * The list should hold as many live members as @p count, but at most
 * @ref PL_SEEDS_MAX. If it holds fewer than half of that number, removes the
 * seeds that are not in @p alive and fills the list in the order of @p alive.
 * Returns whether the list changed and must be written.
 */
bool pl_seeds_refresh(pl_seeds_t *seeds, const pl_addr_t *alive, size_t count);

#endif
/** @} */
