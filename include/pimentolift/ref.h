/**
 * @file
 * @defgroup ref Reference counts
 *
 * Shared objects embed a @ref pl_ref_t. The holder of a pointer holds a
 * reference; the release function runs when the last reference is dropped. The
 * count is atomic, so that any thread may take and drop references.
 * @{
 */
#ifndef PIMENTOLIFT_REF_H
#define PIMENTOLIFT_REF_H

#include <assert.h>
#include <stdatomic.h>
#include <stdbool.h>

typedef struct pl_ref pl_ref_t;

/** Releases the object that embeds @p ref. */
typedef void (*pl_ref_release_t)(pl_ref_t *ref);

/** Reference count, embedded in the shared object. */
struct pl_ref {
	atomic_uint count;
	pl_ref_release_t release;
};

/** Sets the count to one reference, which the creator holds. */
static inline void pl_ref_init(pl_ref_t *ref, pl_ref_release_t release)
{
	atomic_init(&ref->count, 1);
	ref->release = release;
}

/** Takes another reference. */
static inline void pl_ref_get(pl_ref_t *ref)
{
	atomic_fetch_add_explicit(&ref->count, 1, memory_order_relaxed);
}

/** Drops a reference; dropping the last reference releases the object. */
static inline void pl_ref_put(pl_ref_t *ref)
{
	unsigned int before =
		atomic_fetch_sub_explicit(&ref->count, 1, memory_order_acq_rel);

	assert(before > 0);
	if (before == 1)
		ref->release(ref);
}

#endif
/** @} */
