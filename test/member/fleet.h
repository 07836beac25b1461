/**
 * @file Simulated cluster: membership tables on a simulated network in virtual
 * time, with packet loss, partitions, pauses and crashes.
 */
#ifndef PL_TEST_FLEET_H
#define PL_TEST_FLEET_H

#include <glib.h>
#include <pimentolift/member.h>

/** Step of the virtual time. */
#define FLEET_STEP_MS 10
/** Number of seeds; the first nodes of the fleet are the seeds. */
#define FLEET_SEEDS 2
/** Unix time at the virtual time 0. */
#define FLEET_EPOCH_S 1700000000U

typedef struct fleet fleet_t;

/** A simulated process. */
typedef struct {
	fleet_t *fleet;
	pl_member_id_t id;
	unsigned int datacentre;
	pl_member_role_t role;
	pl_timer_service_t *timers;
	pl_member_table_t *table; /* NULL while the process is down */
	bool paused;
	unsigned int group; /* nodes in different groups cannot communicate */
	uint64_t boot;
	uint64_t revision_heard;
	uint64_t generation_heard;
	unsigned int evacuation_calls;
	unsigned int paused_calls;
	unsigned int partition_calls;
	unsigned int absent_calls;
	uint64_t second_in; /* datagram bytes in the current second */
	uint64_t second_out;
	uint64_t worst_second; /* most datagram bytes, in and out */
	uint64_t datagram_bytes; /* in and out, since the start of the fleet */
	uint64_t frame_bytes; /* sent */
} node_t;

struct fleet {
	GRand *rand;
	pl_ms_t now;
	node_t *nodes;
	size_t count;
	double loss; /* share of datagrams lost, 0 to 1 */
	uint32_t clock_back_s; /* set-back of the wall clock at a start */
	uint32_t burst; /* pl_member_params_t.burst of the tables */
	pl_key_t key;
	GQueue *in_flight; /* packets in flight, by time of delivery */
	const node_t *recorded_node; /* sender to record, or NULL */
	GPtrArray *recording; /* its datagrams */
};

/** Creates a fleet of @p count nodes in @p datacentres; all nodes are down. */
fleet_t *fleet_new(uint32_t seed, size_t count, unsigned int datacentres);
void fleet_delete(fleet_t *fleet);

/** Starts node @p at with the seeds. */
void fleet_start(fleet_t *fleet, size_t at);
/** Starts all nodes 20 ms apart and runs until all list each other as alive,
 * for up to a minute, and 3 s more. */
void fleet_start_all(fleet_t *fleet);
/** Stops node @p at without an announcement. */
void fleet_kill(fleet_t *fleet, size_t at);

/** Delivers every recorded datagram again, to every running node. */
void fleet_replay(fleet_t *fleet);

/** Advances the virtual time by @p ms. */
void fleet_run(fleet_t *fleet, pl_ms_t ms);

/** State of node @p about in the table of node @p at; PL_MEMBER_STATE_COUNT
 * when unknown. */
pl_member_state_t fleet_state(const fleet_t *fleet, size_t at, size_t about);

/** Number of other running, unpaused nodes whose table does not list @p about
 * in @p state. */
size_t fleet_count_disagreeing(const fleet_t *fleet, size_t about,
			       pl_member_state_t state);

/** Runs until all nodes list @p about in @p state; returns the time taken, or
 * @p max. */
pl_ms_t fleet_until(fleet_t *fleet, size_t about, pl_member_state_t state,
		    pl_ms_t max);

/** Number of ordered pairs of running nodes of which the first does not list
 * the second as alive. */
size_t fleet_count_not_alive_pairs(const fleet_t *fleet);

/** Most datagram bytes that a node received and sent in one second. */
uint64_t fleet_worst_second(const fleet_t *fleet);
/** Resets the maxima of fleet_worst_second(). */
void fleet_reset_worst(fleet_t *fleet);

#endif
