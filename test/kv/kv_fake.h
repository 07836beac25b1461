/**
 * @file
 * Key-value store in memory, for tests. Calls end in pl_kv_poll(), in the order
 * in which they started.
 */
#ifndef PL_TEST_KV_FAKE_H
#define PL_TEST_KV_FAKE_H

#include <glib.h>
#include <pimentolift/kv.h>

typedef struct {
	pl_kv_t kv;
	GHashTable *items; /* by key */
	GHashTable *copy; /* items at kv_fake_copy() */
	uint64_t index;
	uint64_t copied_index;
	uint64_t generation;
	guint page; /* most items in a reply to a list; 0: no limit */
	unsigned int started; /* number of calls */
	unsigned int lose_answers; /* writes that take effect without answer */
	void (*before_wait)(void *ctx); /* called by pl_kv_wait(), or NULL */
	void *wait_ctx;
	bool down; /* calls fail and do nothing */
	GQueue *calls; /* started, not ended */
} kv_fake_t;

kv_fake_t *kv_fake_new(void);
void kv_fake_delete(kv_fake_t *fake);

bool kv_fake_has(const kv_fake_t *fake, const char *key);

/** Writes @p key at once. */
void kv_fake_put(kv_fake_t *fake, const char *key, const char *value);

/** Writes another key @p count times. */
void kv_fake_write_others(kv_fake_t *fake, uint64_t count);

/** Remembers the state for kv_fake_restore(). */
void kv_fake_copy(kv_fake_t *fake);
/** Returns to the state at kv_fake_copy(), as a new generation that clients do
 * not know yet. */
void kv_fake_restore(kv_fake_t *fake);

#endif
