/**
 * @file
 * @defgroup member Membership
 *
 * Every process keeps its own table of all entries and agents. The tables are
 * kept in step peer to peer with a SWIM protocol (probes, indirect probes,
 * suspicion, incarnation numbers, changes piggybacked on probes) within a
 * budget of bytes per second. The table has no socket, thread or clock: its
 * owner passes in datagrams, frames and the time, and the table acts through
 * the callbacks in @ref pl_member_ops_t. Two runs with the same input and the
 * same random numbers behave identically. docs/design/membership.md gives the
 * reasons for the design.
 *
 * Order of calls in each iteration of the owner's event loop:
 * pl_member_tick(), then pl_timer_service_advance(), then the received
 * datagrams and frames.
 *
 * Pointers to a @ref pl_member_t are valid until the next call that passes a
 * datagram, a frame or the time to the table.
 * @{
 */
#ifndef PIMENTOLIFT_MEMBER_H
#define PIMENTOLIFT_MEMBER_H

#include <pimentolift/addr.h>
#include <pimentolift/evacuation.h>
#include <pimentolift/hash.h>
#include <pimentolift/peer.h>
#include <pimentolift/result.h>
#include <pimentolift/routing.h>
#include <pimentolift/timer.h>

/** Default budget for membership traffic, bytes per second in and out. */
#define PL_MEMBER_BUDGET_DEFAULT 4000
/** Largest membership datagram, in bytes. */
#define PL_MEMBER_DATAGRAM_MAX 1200
/** A process that was not scheduled for longer takes a new boot identity. */
#define PL_MEMBER_PAUSE_MS 2000

typedef struct pl_member pl_member_t;
typedef struct pl_member_table pl_member_table_t;

/** Role of a member. */
typedef enum {
	PL_MEMBER_ENTRY,
	PL_MEMBER_AGENT,
	PL_MEMBER_ROLE_COUNT,
} pl_member_role_t;

/** Names of @ref pl_member_role_t, in its order. */
extern const char *const pl_member_role_names[];

/** State of a member in the table. */
typedef enum {
	PL_MEMBER_ALIVE, /**< answers probes, or was last reported so */
	PL_MEMBER_SUSPECT, /**< did not answer; can refute for a few seconds */
	PL_MEMBER_UNREACHABLE, /**< its whole data centre is partitioned off */
	PL_MEMBER_DEAD, /**< did not refute the suspicion in time */
	PL_MEMBER_LEFT, /**< announced that it stops */
	PL_MEMBER_STATE_COUNT,
} pl_member_state_t;

/** Names of @ref pl_member_state_t, in its order. */
extern const char *const pl_member_state_names[];

/** Attributes that a member publishes about itself. */
typedef struct {
	pl_service_id_t service; /**< service of its backend server, or 0 */
	pl_endpoint_state_t endpoint; /**< SERVING or DRAINING */
	uint32_t slots; /**< requests its backend server runs at once */
	/** Unix time at which the backend server began to serve; the ramp of
	 * the endpoint's weight starts at it. */
	uint32_t serving_since_s;
} pl_member_attr_t;

/** Parameters of a new table. */
typedef struct {
	pl_member_id_t self;
	pl_member_role_t role;
	const char *name; /**< shown to operators; copied */
	const char *datacentre; /**< name of the data centre; copied */
	uint64_t boot; /**< random identity of this run of the process */
	uint64_t incarnation; /**< wall clock at the start, Unix seconds */
	uint32_t budget; /**< bytes per second in and out; 0 for the default */
	uint32_t burst; /**< bytes that may be sent at once; 0: what 250 ms of
				the sending share of the budget give */
	pl_key_t key; /**< derived with PL_KEY_GOSSIP */
} pl_member_params_t;

/** Callbacks from the table to its owner. */
typedef struct {
	/** Sends a datagram to the member at @p to. */
	void (*send_datagram)(void *ctx, pl_member_id_t to, const uint8_t *buf,
			      size_t len);
	/**
	 * Sends a frame of type PL_PEER_TABLE_PULL or PL_PEER_TABLE_PUSH. The
	 * owner reports a frame that cannot be delivered through
	 * pl_member_frame_failed(). The body is borrowed.
	 */
	void (*send_frame)(void *ctx, const pl_peer_frame_t *frame);
	/**
	 * The state, boot identity or attributes of @p member changed; @p old
	 * is its previous state, PL_MEMBER_STATE_COUNT for a new member. The
	 * callback may read the table but must not pass input to it.
	 */
	void (*changed)(void *ctx, const pl_member_t *member,
			pl_member_state_t old);
	/**
	 * The member @p from holds configuration @p revision, which is higher
	 * than every revision received or held before. May be NULL.
	 */
	void (*revision)(void *ctx, pl_member_id_t from, uint64_t revision);
	/**
	 * A member knows a higher generation of the store (@ref kv) than this
	 * one did. May be NULL.
	 */
	void (*store_generation)(void *ctx, uint64_t generation);
	/**
	 * Other data centres than before are to be evacuated. May be NULL.
	 */
	void (*evacuations)(void *ctx, const pl_evacuations_t *evacuations);
	/**
	 * The process was not scheduled for @p gap_ms, so other members may
	 * have declared it dead. Returns the new boot identity. Called before
	 * the table does anything else. May be NULL, then the table draws a
	 * random boot identity.
	 */
	uint64_t (*paused)(void *ctx, pl_ms_t gap_ms);
	/**
	 * Most members of the data centre @p name stopped answering at the
	 * same time (@p partitioned), or the data centre answers again. May
	 * be NULL.
	 */
	void (*datacentre)(void *ctx, pl_datacentre_id_t id, const char *name,
			   bool partitioned);
	/**
	 * No member reaches the member @p id that was passed to
	 * pl_member_check_liveness(), or @p id is already declared dead. May be
	 * NULL.
	 */
	void (*absent)(void *ctx, pl_member_id_t id);
	/** Returns a random number; tests use a seeded generator. */
	uint64_t (*random)(void *ctx);
} pl_member_ops_t;

/** Statistics for the status output. */
typedef struct {
	size_t members; /**< alive, suspect or unreachable, including the
				table's owner */
	size_t by_state[PL_MEMBER_STATE_COUNT];
	size_t by_role[PL_MEMBER_ROLE_COUNT]; /**< adds up to @c members */
	size_t updates_queued; /**< changes queued for gossip */
	uint64_t bytes_in; /**< datagram bytes since the start */
	uint64_t bytes_out;
	uint64_t refuted; /**< suspicions of the owner that it refuted */
	uint64_t paused; /**< pauses above PL_MEMBER_PAUSE_MS */
} pl_member_stats_t;

/** State of a data centre as seen by the table's owner. */
typedef struct {
	pl_datacentre_id_t id;
	const char *name; /**< "" while unknown */
	size_t by_state[PL_MEMBER_STATE_COUNT];
	bool partitioned; /**< considered partitioned off */
} pl_member_datacentre_t;

/**
 * Creates a table that holds only its owner. @p ops is copied; @p ctx and
 * @p timers must outlive the table.
 */
pl_member_table_t *pl_member_table_new(const pl_member_params_t *params,
				       const pl_member_ops_t *ops, void *ctx,
				       pl_timer_service_t *timers);
void pl_member_table_delete(pl_member_table_t *table);

/** Adds a seed address for joining; the owner's own address is ignored. */
void pl_member_add_seed(pl_member_table_t *table, const pl_addr_t *seed);

/**
 * Exchanges records with the process at @p addr, for members that may be
 * alive although no table on this side lists them.
 */
void pl_member_contact(pl_member_table_t *table, const pl_addr_t *addr);

/**
 * Starts probing, and asks the seeds in turn with a growing backoff until a
 * seed answers and a table has been pulled.
 */
void pl_member_join(pl_member_table_t *table);

/** Whether the table was pulled, or another live member is known. */
bool pl_member_joined(const pl_member_table_t *table);

/**
 * Announces that this member stops. Gossip continues so that the announcement
 * spreads; call this about a second before the process ends.
 */
void pl_member_leave(pl_member_table_t *table);

/**
 * Sets the current time. Call it first in each iteration of the owner's event
 * loop, at least four times per second. @p now must include the time during
 * which the machine was suspended (CLOCK_BOOTTIME).
 */
void pl_member_tick(pl_member_table_t *table, pl_ms_t now);

/**
 * Processes a received membership datagram; the sender is named inside the
 * datagram. Returns PL_ERR_AUTH, PL_ERR_VERSION or PL_ERR_MALFORMED when the
 * datagram was dropped.
 */
pl_result_t pl_member_receive(pl_member_table_t *table, const uint8_t *buf,
			      size_t len);

/** Processes a received PL_PEER_TABLE_PULL or PL_PEER_TABLE_PUSH frame. */
pl_result_t pl_member_frame(pl_member_table_t *table,
			    const pl_peer_frame_t *frame);

/** Reports that a frame sent by the table could not be delivered. */
void pl_member_frame_failed(pl_member_table_t *table,
			    const pl_peer_frame_t *frame);

/** Sets the owner's attributes and gossips a change of them at once. */
void pl_member_set_attributes(pl_member_table_t *table,
			      const pl_member_attr_t *attr);

/** Sets the owner's configuration revision and gossips it at once. */
void pl_member_set_revision(pl_member_table_t *table, uint64_t revision);

/** Sets the highest generation of the store known to the owner; gossips it at
 * once unless it is the first one. Lower generations are ignored. */
void pl_member_set_store_generation(pl_member_table_t *table,
				    uint64_t generation);

/** Sets the data centres to evacuate, unless those known are as new, and gossips
 * a change at once. */
void pl_member_set_evacuations(pl_member_table_t *table,
			       const pl_evacuations_t *evacuations);

/** The newest evacuations known to the owner. */
const pl_evacuations_t *pl_member_evacuations(const pl_member_table_t *table);

/**
 * Probes the member @p id every 500 ms, so that its crash is detected sooner.
 * Meant for the few agents that hold replicas for one another. The member may
 * still be unknown. Each call needs a matching pl_member_unwatch().
 */
void pl_member_watch(pl_member_table_t *table, pl_member_id_t id);
void pl_member_unwatch(pl_member_table_t *table, pl_member_id_t id);

/**
 * Checks on the member @p id, which should be running but does not respond. A
 * member that the table lists as alive is probed at once, unless several others
 * are already; then it waits for its turn. A dead member is reported through the
 * callback @c absent at once. A member that left or is unknown is probed for a
 * while, and then either becomes alive in the table or is reported as absent.
 */
void pl_member_check_liveness(pl_member_table_t *table, pl_member_id_t id);

/** The owner's record. */
const pl_member_t *pl_member_self(const pl_member_table_t *table);

/** The member @p id in any state, or NULL when it is unknown. */
const pl_member_t *pl_member_find(const pl_member_table_t *table,
				  pl_member_id_t id);

/**
 * Number of records in any state, and the record at @p index, in no particular
 * order. The owner's record is included.
 */
size_t pl_member_count(const pl_member_table_t *table);
const pl_member_t *pl_member_at(const pl_member_table_t *table, size_t index);

/** Number of data centres, and the one at @p index. */
size_t pl_member_datacentre_count(const pl_member_table_t *table);
void pl_member_datacentre_at(const pl_member_table_t *table, size_t index,
			     pl_member_datacentre_t *out);

void pl_member_stats(const pl_member_table_t *table, pl_member_stats_t *stats);

/** Fields of a member. */
pl_member_id_t pl_member_id(const pl_member_t *member);
pl_member_state_t pl_member_state(const pl_member_t *member);
pl_member_role_t pl_member_role(const pl_member_t *member);
/** Boot identity of the member's current run; 0 while unknown. */
uint64_t pl_member_boot(const pl_member_t *member);
uint64_t pl_member_incarnation(const pl_member_t *member);
/** Name, "" while unknown; the name may arrive after the record. */
const char *pl_member_name(const pl_member_t *member);
pl_datacentre_id_t pl_member_datacentre(const pl_member_t *member);
const char *pl_member_datacentre_name(const pl_member_t *member);
/** Unix time at which the member's current run began, in seconds. */
uint32_t pl_member_started_s(const pl_member_t *member);
const pl_member_attr_t *pl_member_attr(const pl_member_t *member);
/** Highest configuration revision in datagrams of the member's current run. */
uint64_t pl_member_revision(const pl_member_t *member);

#endif
/** @} */
