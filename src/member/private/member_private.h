/** @file Internal structures and functions of the membership table. */
#ifndef PL_MEMBER_PRIVATE_H
#define PL_MEMBER_PRIVATE_H

#include <pimentolift/gossip.h>
#include <pimentolift/list.h>
#include <pimentolift/member.h>

#include <glib.h>

/** Interval of the periodic work of the table. */
#define PL_MEMBER_TIMER_MS 100
/** SWIM protocol period: one member is probed in each. */
#define PL_MEMBER_PROTOCOL_PERIOD_MS 500
/** Timeout of a probe with all its retries. */
#define PL_MEMBER_PROBE_TIMEOUT_MS 700
/** Most retries of one probe, and the interval between them. */
#define PL_MEMBER_PROBE_RETRIES 3
#define PL_MEMBER_PROBE_RETRY_MS 150
/** Probe interval of watched members and of suspects. */
#define PL_MEMBER_WATCH_MS 500
/** Members asked to probe a silent target on behalf of this member. */
#define PL_MEMBER_INDIRECT_PROBES 3
/** Timeout of a suspicion: minimum, step per power of ten of the number of
 * members, maximum. */
#define PL_MEMBER_SUSPICION_MIN_MS 2000
#define PL_MEMBER_SUSPICION_STEP_MS 400
#define PL_MEMBER_SUSPICION_MAX_MS 4000
/** Gossip beside the probes while changes are queued: interval, receivers. */
#define PL_MEMBER_GOSSIP_MS 200
#define PL_MEMBER_GOSSIP_FANOUT 3
/** Interval of datagrams to the successor on the ring. */
#define PL_MEMBER_RING_MS 300
/** Upper limit of how often a member transmits one change. */
#define PL_MEMBER_TRANSMITS_MAX 24
/** Timeout for the next frame of a pulled table. */
#define PL_MEMBER_PULL_TIMEOUT_MS 3000
/** Mean interval of anti-entropy, the comparison of tables; it also runs when
 * nothing seems to differ. */
#define PL_MEMBER_SYNC_MS 30000
/** Retention of the records of dead and left members. */
#define PL_MEMBER_TOMBSTONE_MS (6 * 3600 * 1000ULL)
/** Members of a partitioned data centre are declared dead after this time. */
#define PL_MEMBER_PARTITION_MAX_MS (2 * 3600 * 1000ULL)

typedef struct pl_member_dc pl_member_dc_t;

struct pl_member_dc {
	pl_datacentre_id_t id;
	char *name; /* NULL while unknown */
	size_t by_state[PL_MEMBER_STATE_COUNT];
	uint32_t buckets[PL_GOSSIP_BUCKETS]; /* XOR of hashes of live members */
	pl_ms_t last_heard; /* last datagram from one of its members */
	bool partitioned;
	pl_ms_t partitioned_since;
	pl_ms_t next_contact; /* next probe while partitioned */
	/* partition check: a few members are probed to tell a partition from
	 * single failures */
	bool checking;
	pl_ms_t check_deadline;
	pl_ms_t next_check; /* earliest start of the next check */
	unsigned int check_probed;
	unsigned int check_acked;
	unsigned int frame_mark; /* last pushed table that carried the name */
};

struct pl_member {
	pl_member_id_t id;
	uint64_t boot;
	pl_member_dc_t *dc; /* NULL for a tombstone of an unknown member */
	char *name; /* NULL while unknown */
	uint64_t revision;
	pl_ms_t deadline; /* SUSPECT: declared dead; DEAD, LEFT: removed */
	pl_ms_t next_probe; /* SUSPECT */
	pl_list_t suspect_link; /* on table->suspects */
	pl_list_t update_link; /* on table->updates[] */
	pl_list_t ring_link; /* on table->ring_due */
	pl_member_attr_t attr;
	uint32_t incarnation;
	uint32_t started_s;
	uint32_t index; /* in table->members */
	uint8_t state;
	uint8_t role;
	uint8_t transmits; /* transmissions of the queued change */
	bool want_names;
	bool own_suspicion; /* SUSPECT after a failed probe by this process */
	bool ring_skipped; /* from a bulk update, so not queued */
	bool reported_dead; /* by others, during a partition */
	bool stale; /* the fields belong to an earlier incarnation */
};

/** Purpose of an outstanding probe. */
typedef enum {
	PL_PROBE_DETECT, /* failure detection */
	PL_PROBE_RELAY, /* on behalf of another member */
	PL_PROBE_PARTITION, /* partition check of a data centre */
	PL_PROBE_LIVENESS, /* member passed to pl_member_check_liveness() */
	PL_PROBE_CONTACT, /* reconnection attempt; a timeout has no effect */
} pl_probe_kind_t;

/** An outstanding probe. */
typedef struct {
	pl_list_t link;
	pl_probe_kind_t kind;
	pl_member_id_t target;
	uint32_t sequence;
	pl_ms_t next_retry;
	pl_ms_t deadline;
	unsigned int retries;
	pl_member_id_t requester; /* PL_PROBE_RELAY: sender of the PING_REQ */
	uint32_t requester_sequence;
} pl_probe_t;

/** A member probed through pl_member_watch(). */
typedef struct {
	pl_list_t link;
	pl_member_id_t id;
	unsigned int count;
	pl_ms_t next;
} pl_watch_t;

/** Progress of joining. */
typedef enum {
	PL_JOIN_IDLE, /* pl_member_join() not called yet */
	PL_JOIN_SEED, /* asking seeds for members */
	PL_JOIN_PULL, /* waiting for the table of a member */
	PL_JOIN_DONE,
} pl_join_state_t;

/** Contents of a datagram beside the queued changes. */
typedef struct {
	uint32_t flags; /* set of pl_gossip_flag_t */
	bool own_record; /* record of this member */
	bool own_names; /* names of this member with it */
	const pl_member_t *subject; /* member whose record to send, or NULL */
	/* another member, whose record is newer here than at the receiver, or
	 * NULL */
	const pl_member_t *correction;
	bool ring; /* changes not yet sent on the ring go first */
} pl_send_opts_t;

struct pl_member_table {
	pl_member_ops_t ops;
	void *ctx;
	pl_timer_service_t *timers;
	pl_timer_t timer;
	pl_ms_t now;
	pl_ms_t last_tick;
	pl_key_t key;
	pl_gossip_decoder_t *decoder;
	pl_member_t *self;
	pl_datacentre_id_t self_dc;
	GHashTable *by_id;
	GPtrArray *members; /* in random order, probed round-robin */
	GPtrArray *dcs;
	GPtrArray *ring; /* members by ring position */
	size_t by_state[PL_MEMBER_STATE_COUNT];
	size_t by_role[PL_MEMBER_ROLE_COUNT];
	bool leaving;

	/* probe.c */
	pl_list_t probes;
	pl_list_t watches;
	pl_list_t suspects; /* by deadline */
	pl_list_t liveness_checks; /* liveness.c */
	size_t detections; /* see pl_member_detections_(), at detections_at */
	pl_ms_t detections_at;
	uint32_t sequence;
	size_t probe_index;
	size_t sweep_index;
	pl_ms_t next_period;
	pl_ms_t last_heard;

	/* spread.c */
	/* queued changes, indexed by the number of transmissions, urgent ones
	 * by half of it */
	pl_list_t updates[PL_MEMBER_TRANSMITS_MAX];
	pl_list_t ring_due; /* changes not yet sent on the ring */
	pl_ms_t next_ring;
	size_t updates_queued;
	bool bulk_update; /* applying records that other members already have */
	uint32_t budget; /* bytes per second for sending */
	int64_t burst; /* capacity of the token bucket */
	int64_t tokens; /* thousandths of a byte */
	pl_ms_t refilled_at;
	pl_ms_t next_gossip;
	unsigned int urgent_rounds; /* rounds even without queued changes */
	uint64_t store_generation;
	pl_ms_t generation_stated_until; /* in all datagrams */
	pl_evacuations_t evacuations;
	bool evacuations_changed; /* since the start: digests state them */
	pl_ms_t evacuations_stated_until; /* in all datagrams */
	uint64_t revision;
	uint64_t revision_heard;
	uint64_t bytes_in;
	uint64_t bytes_out;
	/* member whose record here is newer than in the datagram just applied,
	 * or NULL */
	pl_member_t *correction;
	uint64_t refuted;
	uint64_t paused;

	/* join.c and sync.c */
	GArray *seeds;
	pl_join_state_t join;
	bool seed_heard; /* a datagram of a seed arrived since the start */
	size_t seed_index;
	pl_ms_t next_join;
	pl_ms_t join_backoff;
	pl_member_id_t pull_from;
	pl_ms_t next_sync;
	unsigned int catch_up_syncs; /* comparisons left at short interval */
	unsigned int agreeing_syncs; /* in succession, without difference */
	unsigned int frame_mark; /* number of tables pushed */
};

/* join.c */
void pl_member_join_on_timer_(pl_member_table_t *table);
/** Notes a datagram from @p sender, which may be a seed. */
void pl_member_note_seed_(pl_member_table_t *table, pl_member_id_t sender);
/** Sends the record of this member to the seeds. */
void pl_member_notify_seeds_(pl_member_table_t *table);
/** Sends the records of a few live members to a joining member. */
void pl_member_send_peers_(pl_member_table_t *table, pl_member_id_t to);

/* table.c */
uint64_t pl_member_random_below_(pl_member_table_t *table, uint64_t limit);
pl_member_t *pl_member_lookup_(const pl_member_table_t *table,
			       pl_member_id_t id);
pl_member_t *pl_member_add_(pl_member_table_t *table, pl_member_id_t id);
void pl_member_forget_(pl_member_table_t *table, pl_member_t *member);
pl_member_dc_t *pl_member_dc_(pl_member_table_t *table, pl_datacentre_id_t id);
bool pl_member_live_(const pl_member_t *member);
uint32_t pl_member_bucket_(pl_member_id_t id);
/** Number of live members except the table's owner. */
size_t pl_member_others_(const pl_member_table_t *table);
/** Removes @p member from counts and digests before a change of its fields. */
void pl_member_uncount_(pl_member_table_t *table, pl_member_t *member);
/** Adds @p member to counts and digests again and notifies the owner. */
void pl_member_recount_(pl_member_table_t *table, pl_member_t *member,
			pl_member_state_t old);
void pl_member_set_state_(pl_member_table_t *table, pl_member_t *member,
			  pl_member_state_t state);
/** Picks a random member in the state ALIVE, or NULL. */
pl_member_t *pl_member_pick_(pl_member_table_t *table,
			     const pl_member_t *except);
/** Picks a random member of @p dc in @p state, or NULL. */
pl_member_t *pl_member_pick_in_(pl_member_table_t *table,
				const pl_member_dc_t *dc,
				pl_member_state_t state);

/* ring.c */
void pl_member_ring_insert_(pl_member_table_t *table, pl_member_t *member);
void pl_member_ring_remove_(pl_member_table_t *table, pl_member_t *member);
/** The next member in the state ALIVE on the ring, or NULL. */
pl_member_t *pl_member_ring_next_(pl_member_table_t *table);

/* merge.c */
void pl_member_apply_(pl_member_table_t *table,
		      const pl_gossip_record_t *record, pl_member_id_t sender);
/** Raises the incarnation of this member above @p above and queues it. */
void pl_member_raise_incarnation_(pl_member_table_t *table, uint32_t above);
void pl_member_suspect_(pl_member_table_t *table, pl_member_t *member);
/** Sets the state DEAD or LEFT and starts the retention of the record. */
void pl_member_set_tombstone_(pl_member_table_t *table, pl_member_t *member,
			      pl_member_state_t state);
/** Fills in @p record: a full record or a change of state. */
void pl_member_make_record_(const pl_member_t *member, bool full,
			    pl_gossip_record_t *record);

/* probe.c */
void pl_member_probe_on_timer_(pl_member_table_t *table);
void pl_member_probe_(pl_member_table_t *table, pl_probe_kind_t kind,
		      pl_member_id_t target);
/** Whether a probe of kind PL_PROBE_DETECT is outstanding. */
bool pl_member_probing_(const pl_member_table_t *table, pl_member_id_t target);
/** Number of members that this process probes to detect a failure, or suspects
 * after such a probe. */
size_t pl_member_detections_(const pl_member_table_t *table);
/** Handles a received PL_GOSSIP_PING_REQ. */
void pl_member_ping_req_(pl_member_table_t *table,
			 const pl_gossip_message_t *message);
/** Handles a received PL_GOSSIP_ACK or PL_GOSSIP_INDIRECT_ACK. */
void pl_member_ack_(pl_member_table_t *table,
		    const pl_gossip_message_t *message);
void pl_member_probes_clear_(pl_member_table_t *table);

/* spread.c */
/** Queues the record of @p member for gossip. */
void pl_member_queue_(pl_member_table_t *table, pl_member_t *member);
void pl_member_unqueue_(pl_member_table_t *table, pl_member_t *member);
/** Drops queued changes except the own record and urgent changes. */
void pl_member_drop_queued_(pl_member_table_t *table);
/** Notes that another member sent a change known here. */
void pl_member_note_duplicate_(pl_member_table_t *table, pl_member_t *member);
/**
 * Fills in the header of @p message, adds the records selected by @p opts and
 * then queued changes as far as the budget allows, and sends the datagram.
 * @p opts may be NULL.
 */
void pl_member_send_(pl_member_table_t *table, pl_member_id_t to,
		     pl_gossip_message_t *message, const pl_send_opts_t *opts);
void pl_member_spread_on_timer_(pl_member_table_t *table);
/** Sends queued changes to @p fanout random members now. */
void pl_member_spread_now_(pl_member_table_t *table, unsigned int fanout);

/** Sets a higher generation of the store; if @p urgent, gossips it at once. */
void pl_member_raise_generation_(pl_member_table_t *table, uint64_t generation,
				 bool urgent);
/** Handles the evacuations that a datagram states. */
void pl_member_note_evacuations_(pl_member_table_t *table,
				 const pl_evacuations_t *evacuations);
/** Whether the budget allows datagrams other than probes now. */
bool pl_member_has_budget_(pl_member_table_t *table);
/** Refills the token bucket to one second's budget, for messages that must go
 * out even after the budget was spent. */
void pl_member_credit_(pl_member_table_t *table);
/** Deducts @p bytes that were sent from the budget. */
void pl_member_charge_(pl_member_table_t *table, size_t bytes);

/* sync.c */
void pl_member_sync_on_timer_(pl_member_table_t *table);
void pl_member_send_digest_(pl_member_table_t *table, pl_member_id_t to);
void pl_member_digest_(pl_member_table_t *table,
		       const pl_gossip_message_t *message);
void pl_member_bucket_digest_(pl_member_table_t *table,
			      const pl_gossip_message_t *message);
/** Sends a frame; large frames and those sent while catching up after the join
 * are not charged to the budget. */
void pl_member_send_frame_(pl_member_table_t *table, pl_member_id_t to,
			   pl_peer_type_t type,
			   const pl_gossip_frame_t *content);

/* liveness.c */
void pl_member_liveness_on_timer_(pl_member_table_t *table);
/** Handles the answer to a probe of kind PL_PROBE_LIVENESS. */
void pl_member_liveness_acked_(pl_member_table_t *table, pl_member_id_t id);
/** Postpones the deadlines by a time in which this process did not run. */
void pl_member_liveness_shift_(pl_member_table_t *table, pl_ms_t by);
void pl_member_liveness_clear_(pl_member_table_t *table);

/* partition.c */
void pl_member_partition_on_timer_(pl_member_table_t *table);
/** Starts a partition check when enough members of @p dc are suspect. */
void pl_member_partition_suspect_(pl_member_table_t *table, pl_member_dc_t *dc);
/** Whether a partition, or a check for one, keeps @p member from being declared
 * dead. */
bool pl_member_partition_blocks_death_(pl_member_table_t *table,
				       pl_member_t *member);
/** Notes a datagram received from @p member itself. */
void pl_member_partition_heard_(pl_member_table_t *table, pl_member_t *member);
/** Handles the answer to a probe of kind PL_PROBE_PARTITION. */
void pl_member_partition_acked_(pl_member_table_t *table, pl_member_dc_t *dc);
/** Adopts the partitions found in a table that was just pulled. */
void pl_member_partition_adopt_(pl_member_table_t *table);

#endif
