/**
 * @file
 * @defgroup ref Reference counts
 *
 * Shared objects embed a @ref pl_ref_t. Whoever keeps a pointer takes a
 * reference; the last one to put it back runs the release function. The
 * counter is atomic, so references may be taken and put on any thread.
 * @{
 */
#ifndef PIMENTOLIFT_REF_H
#define PIMENTOLIFT_REF_H

#include <assert.h>
#include <stdatomic.h>
#include <stdbool.h>

typedef struct pl_ref pl_ref_t;

/** Frees the object that embeds @p ref. */
typedef void (*pl_ref_release_t)(pl_ref_t *ref);

/** A reference count; embed it in the shared object. */
struct pl_ref {
	atomic_uint count;
	pl_ref_release_t release;
};

/** Starts with one reference, which belongs to the creator. */
static inline void pl_ref_init(pl_ref_t *ref, pl_ref_release_t release)
{
	atomic_init(&ref->count, 1);
	ref->release = release;
}

/** Takes one more reference. */
static inline void pl_ref_get(pl_ref_t *ref)
{
	atomic_fetch_add_explicit(&ref->count, 1, memory_order_relaxed);
}

/** Puts a reference back; releases the object with the last one. */
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
