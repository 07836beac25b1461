/**
 * @file
 * @defgroup roster_reader Reads of the roster
 *
 * Reads the roster, which lists the agents of all services, from the key-value
 * store. An entry concludes from a roster that no other agent owns a flow, so a
 * roster must be complete. After a restore of the store (@ref kv) it is not:
 * entries written since the copy are lost until their agents register again.
 * Therefore a key in the store names the generation in which all agents have had
 * the time to do that. It is written a while after the generation was first
 * seen, outlives restarts of all members, and goes back together with the
 * roster. A roster of any other generation is unknown.
 *
 * The module has no sockets, threads or clock of its own.
 * @{
 */
#ifndef PIMENTOLIFT_ROSTER_READER_H
#define PIMENTOLIFT_ROSTER_READER_H

#include <glib.h>

#include <pimentolift/kv.h>
#include <pimentolift/routing.h>
#include <pimentolift/timer.h>

typedef struct pl_roster_reader pl_roster_reader_t;

/** Callbacks into the owner. */
typedef struct {
	/** An agent's entry was read; it has @p modify_index. */
	void (*entry)(void *ctx, pl_service_id_t service, pl_member_id_t agent,
		      uint64_t modify_index);
	/** Result of pl_roster_reader_read(); @p known is false if the roster
	 * could not be read or may be incomplete. */
	void (*done)(void *ctx, bool known, const pl_member_id_t *agents,
		     size_t count);
	/** Time in which all agents register again after a restore. */
	pl_ms_t (*registration_ms)(void *ctx);
	uint64_t (*random)(void *ctx);
} pl_roster_reader_ops_t;

/** @p ops, @p kv and @p timers must outlive the reader. */
pl_roster_reader_t *pl_roster_reader_new(const char *environment, pl_kv_t *kv,
					 const pl_roster_reader_ops_t *ops,
					 void *ctx, pl_timer_service_t *timers);
void pl_roster_reader_delete(pl_roster_reader_t *reader);

/** Reads the roster. */
void pl_roster_reader_read(pl_roster_reader_t *reader);

/** The generation of the store has risen. Once all agents have had the time to
 * register again, the reader confirms that unless another one has done so. */
void pl_roster_reader_generation_changed(pl_roster_reader_t *reader);

#endif
/** @} */
