/**
 * @file
 * Parts of the configuration core: start (sync_start.c), pulls and received
 * pushes (sync_pull.c), responses and announcements to peers (sync_serve.c),
 * the platform (sync_watch.c), the choice of those that watch it
 * (sync_watchers.c), and the public functions (config_sync.c).
 */
#ifndef PL_CONFIG_SYNC_PRIVATE_H
#define PL_CONFIG_SYNC_PRIVATE_H

#include "private/config_replica.h"

#include <pimentolift/config_sync.h>

/** Phase of a core. */
typedef enum {
	PHASE_IDLE, /**< not started */
	PHASE_STARTING, /**< collects offers to find the newest revision */
	PHASE_RUNNING,
	PHASE_COUNT,
} phase_t;

/** Another member that is reachable. */
typedef struct {
	pl_member_id_t id;
	pl_datacentre_id_t datacentre;
} peer_t;

/** State of the start: offers of peers and of the platform. */
typedef struct {
	pl_timer_t timer; /**< end of the start, or next read */
	pl_member_id_t asked[PL_CONFIG_START_PEERS]; /**< 0 when answered */
	bool read_pending; /**< a read of the platform is open */
	pl_document_t *candidate; /**< document that the platform returned */
} start_t;

/** The newest revision known and the state of pulling it. */
typedef struct {
	pl_timer_t timer; /**< next attempt, or timeout of the pull */
	pl_timer_t read_timer; /**< read of the platform if still behind */
	pl_ms_t behind_since; /**< when this member fell behind */
	uint64_t revision;
	pl_member_id_t peer; /**< peer that offered the revision */
	pl_member_id_t pulled_from; /**< peer of the pending pull, or 0 */
	unsigned int attempts;
	bool full; /**< a delta had a wrong hash: pull the whole document */
} target_t;

/** Announcement of a new revision to a few peers. */
typedef struct {
	pl_timer_t timer;
	pl_ms_t last_sent; /**< time of the last announcement, or 0 */
	uint64_t base; /**< revision before the ones to announce */
} announcement_t;

/** Rate limits on responses to pulls: a token bucket and a limit per peer. */
typedef struct {
	int64_t tokens; /**< bytes that may be sent; may become negative */
	pl_ms_t refilled_at;
	pl_ms_t window_start; /**< start of the second that @c pulls covers */
	GHashTable *pulls; /**< member to number of pulls in this second */
} rate_limit_t;

/** Watch of the document's key on the platform. */
typedef struct {
	pl_timer_t evaluate; /**< next decision whether to watch */
	pl_timer_t retry; /**< next watch */

	bool is_watcher; /**< this member is a watcher */
	bool open; /**< a watch is pending */
	pl_ms_t opened_at; /**< start of the pending or last watch */
	pl_kv_position_t position; /**< of the last result */
	unsigned int failures;
	uint64_t reported_revision; /**< last revision reported as invalid */
} watch_t;

/** Failed watches of the members of this data centre. */
typedef struct {
	pl_timer_t timer; /**< next removal of old failures */
	GArray *failures; /**< failure_t, one for each member */
} watchers_t;

struct pl_config_sync {
	pl_member_id_t self;
	pl_datacentre_id_t datacentre;
	const pl_config_sync_ops_t *ops;
	void *ctx;
	pl_timer_service_t *timers;
	pl_config_sync_params_t params;
	phase_t phase;
	pl_config_replica_t *replica;
	GArray *peers; /**< peer_t */
	GHashTable *peer_index; /**< member to its index in @c peers, plus 1 */
	start_t start;
	target_t target;
	announcement_t announcement;
	rate_limit_t pull_limit;
	watch_t watch;
	watchers_t watchers;
	pl_ms_t older_logged_at;
	pl_config_sync_stats_t stats;
};

/* config_sync.c */

pl_ms_t pl_sync_now(const pl_config_sync_t *sync);

/** Random number below @p bound; 0 when @p bound is 0. */
uint64_t pl_sync_random(pl_config_sync_t *sync, uint64_t bound);

/** @p ms plus a random delay of up to a quarter of it. */
pl_ms_t pl_sync_jitter(pl_config_sync_t *sync, pl_ms_t ms);

/** Selects up to @p want distinct peers at random; returns how many. */
size_t pl_sync_pick_peers(pl_config_sync_t *sync, pl_member_id_t *out,
			  size_t want);

void pl_sync_send(pl_config_sync_t *sync, pl_member_id_t to,
		  pl_peer_type_t type, const GByteArray *body);

/** Puts @p document in force if it is newer than the one in force. */
void pl_sync_put_in_force(pl_config_sync_t *sync, pl_document_t *document);

/** Logs, at a limited rate, that @p source offered the older @p revision. */
void pl_sync_log_older(pl_config_sync_t *sync, const char *source,
		       uint64_t revision);

/**
 * Logs the new revision in force, notifies the owner and schedules the
 * announcement; @p before is the previous revision.
 */
void pl_sync_in_force_changed(pl_config_sync_t *sync, uint64_t before);

/* sync_start.c */

/** Reads the platform, unless a read is open. */
void pl_sync_start_read(pl_config_sync_t *sync);

void pl_sync_start_init(pl_config_sync_t *sync);
void pl_sync_start_finish(pl_config_sync_t *sync);

/** Records the revision of a peer, or 0 when the peer could not be asked. */
void pl_sync_start_peer_revision(pl_config_sync_t *sync, pl_member_id_t peer,
				 uint64_t revision);

/**
 * After a failed pull, schedules another read of the platform if this member
 * has no document and may repeat the read.
 */
void pl_sync_start_schedule_read(pl_config_sync_t *sync);

/** The read of the platform returned @p document, or NULL for none. */
void pl_sync_start_read_done(pl_config_sync_t *sync, pl_document_t *document);

/* sync_pull.c */

void pl_sync_pull_init(pl_config_sync_t *sync);
void pl_sync_pull_finish(pl_config_sync_t *sync);

/** Handles an offer of @p revision by @p peer; pulls it if it is newer. */
void pl_sync_handle_offer(pl_config_sync_t *sync, pl_member_id_t peer,
			  uint64_t revision);

/** Starts a pull if a newer revision is known and no pull is pending. */
void pl_sync_pull(pl_config_sync_t *sync);
/** Called when a revision has come into force. */
void pl_sync_pull_caught_up(pl_config_sync_t *sync);

pl_result_t pl_sync_handle_push(pl_config_sync_t *sync,
				const pl_peer_frame_t *frame);
void pl_sync_pull_failed(pl_config_sync_t *sync, pl_member_id_t peer);

/* sync_serve.c */

void pl_sync_serve_init(pl_config_sync_t *sync);
void pl_sync_serve_finish(pl_config_sync_t *sync);
pl_result_t pl_sync_handle_pull(pl_config_sync_t *sync,
				const pl_peer_frame_t *frame);

/**
 * Schedules the announcement of the revision in force to a few peers;
 * @p before is the revision before it.
 */
void pl_sync_schedule_announcement(pl_config_sync_t *sync, uint64_t before);

/* sync_watch.c */

void pl_sync_watch_init(pl_config_sync_t *sync);
void pl_sync_watch_finish(pl_config_sync_t *sync);

/** Schedules the decision whether to watch, after a membership change. */
void pl_sync_watch_evaluate_soon(pl_config_sync_t *sync);

/** Starts or ends the watch as this member is one of the watchers or not.
 * @p failed_calls of earlier watchers in a row delay the start. */
void pl_sync_watch_evaluate(pl_config_sync_t *sync, unsigned int failed_calls);

/**
 * Returns the document in a reply of the platform if it is valid and newer
 * than the one in force, else NULL.
 */
pl_document_t *pl_sync_reply_document(pl_config_sync_t *sync,
				      const pl_kv_reply_t *reply);

/* sync_watchers.c */

void pl_sync_watchers_init(pl_config_sync_t *sync);
void pl_sync_watchers_finish(pl_config_sync_t *sync);

/**
 * Whether this member is among the first of its data centre that should watch
 * the platform.
 */
bool pl_sync_is_watcher(const pl_config_sync_t *sync);

/** Hands the watch over to other members after it has failed repeatedly; goes
 * on if all others failed more recently. */
void pl_sync_watch_hand_over(pl_config_sync_t *sync);

/** The platform answered this member's watch. */
void pl_sync_watch_succeeded(pl_config_sync_t *sync);

/** Tells a member that may have restarted that this one does not watch. */
void pl_sync_watchers_peer_up(pl_config_sync_t *sync, const peer_t *peer);

pl_result_t pl_sync_handle_handover(pl_config_sync_t *sync,
				    const pl_peer_frame_t *frame);

#endif
