/**
 * @file
 * @defgroup config_sync Dissemination of the configuration
 *
 * Keeps the newest configuration document in force on one member. The module
 * has no sockets, threads or clock of its own. A member learns of a new
 * revision in three ways: it watches the key-value store, if it is one of the
 * few watchers (a watcher that the store fails hands over to another member);
 * peers announce their revision by gossip; and peers send an
 * offer as soon as they hold a new revision. The member then pulls the changed
 * sections from the peer that announced the revision. The revision in force
 * never decreases: older documents are ignored, whatever their source.
 *
 * A pull requests the sections that changed after a revision. A push carries
 * sections, or states only the sender's revision (an offer), or refuses a pull
 * (busy).
 *
 * A starting member asks three peers for their revision, asks the store too
 * when it knows fewer than three peers, and adopts the newest offer. A member
 * that knows no peer adopts the store's document even when other members have
 * a newer one in force, because it cannot detect this. See
 * docs/design/configuration.md.
 * @{
 */
#ifndef PIMENTOLIFT_CONFIG_SYNC_H
#define PIMENTOLIFT_CONFIG_SYNC_H

#include <pimentolift/document.h>
#include <pimentolift/peer.h>
#include <pimentolift/kv.h>
#include <pimentolift/timer.h>

/** Default number of members of each data centre that watch the store. */
#define PL_CONFIG_WATCHERS 2
/** Peers that a starting member asks for their revision. */
#define PL_CONFIG_START_PEERS 3
/** Peers to which a member announces a new revision directly. */
#define PL_CONFIG_FANOUT 4

typedef struct pl_config_sync pl_config_sync_t;

/** Callbacks into the owner. */
typedef struct {
	/** @p document has come into force; take a reference to keep it. */
	void (*in_force)(void *ctx, pl_document_t *document);
	/** Sends a frame to @c peer; the body is borrowed. */
	void (*send)(void *ctx, const pl_peer_frame_t *frame);
	/**
	 * Starts a read of the document's key; the owner reports the result
	 * with pl_config_sync_read_done().
	 */
	void (*read)(void *ctx);
	/**
	 * Starts a watch of the document's key for changes after @p after;
	 * with index 0 it returns the present value immediately. The owner
	 * reports the result with pl_config_sync_watch_done(). At most one
	 * watch is open.
	 */
	void (*watch)(void *ctx, pl_kv_position_t after);
	/** Cancels the open watch; no result is reported. */
	void (*unwatch)(void *ctx);
	/** Returns a random number; tests use a seeded generator. */
	uint64_t (*random)(void *ctx);
	/**
	 * Decodes the value of the document's key. May be NULL: the value is
	 * then decoded as an envelope (@ref envelope).
	 */
	pl_result_t (*decode)(void *ctx, const char *value, size_t len,
			      pl_document_t **document, pl_error_t *err);
} pl_config_sync_ops_t;

/** Counters since the start, for the status page and tests. */
typedef struct {
	uint64_t revision;
	bool watcher;
	uint64_t pulls; /**< pulls sent */
	uint64_t full_pulls; /**< pulls sent for the whole document */
	uint64_t served; /**< pulls answered with sections */
	uint64_t busy; /**< pulls refused by the rate limit */
	uint64_t behind_reads; /**< reads because a pull did not succeed */
	uint64_t offers; /**< pushes sent to announce a new revision */
	uint64_t bytes_out; /**< body bytes of frames sent */
	uint64_t bytes_in; /**< body bytes of frames received */
} pl_config_sync_stats_t;

/** Creates the configuration state of the member @p self; @p ops and @p timers
 * must outlive it. */
pl_config_sync_t *pl_config_sync_new(pl_member_id_t self,
				     pl_datacentre_id_t datacentre,
				     const pl_config_sync_ops_t *ops, void *ctx,
				     pl_timer_service_t *timers);
void pl_config_sync_delete(pl_config_sync_t *sync);

/** Parameters of a member. */
typedef struct {
	unsigned int watchers; /**< members of each data centre that watch */
	/**
	 * Delay before a watcher without a document reads the store again;
	 * other members wait ten times as long. A random delay of up to the
	 * same length is added.
	 */
	pl_ms_t read_delay_ms;
	bool repeat_read; /**< repeat the read until a document is held */
	/**
	 * The member only holds a replica for other members: it pulls revisions
	 * that peers announce and never contacts the store.
	 */
	bool replica_only;
	/**
	 * A member that has known of a newer revision for this time, and could
	 * not pull it, reads the store; again after the same time. 0: it never
	 * does. The time in which a change must be in force covers it twice.
	 */
	pl_ms_t behind_max_ms;
} pl_config_sync_params_t;

/** Replaces the default parameters, which suit a large fleet. */
void pl_config_sync_set_params(pl_config_sync_t *sync,
			       const pl_config_sync_params_t *params);

/**
 * Starts the dissemination. Call it once the member has joined the membership,
 * so that there are peers to ask, or at the latest 1 to 2 s after the first
 * attempt to join.
 */
void pl_config_sync_start(pl_config_sync_t *sync);

/**
 * The member @p peer of @p datacentre is reachable. A repeated call only
 * updates its data centre.
 */
void pl_config_sync_peer_up(pl_config_sync_t *sync, pl_member_id_t peer,
			    pl_datacentre_id_t datacentre);

/** The member @p peer is dead, has left or is unreachable. */
void pl_config_sync_peer_down(pl_config_sync_t *sync, pl_member_id_t peer);

/** The member @p peer announced by gossip that it holds @p revision. */
void pl_config_sync_peer_revision(pl_config_sync_t *sync, pl_member_id_t peer,
				  uint64_t revision);

/** Handles a frame of type PL_PEER_CONFIG_PULL, PL_PEER_CONFIG_PUSH or
 * PL_PEER_CONFIG_HANDOVER. */
pl_result_t pl_config_sync_frame(pl_config_sync_t *sync,
				 const pl_peer_frame_t *frame);

/** Reports that a frame given to the @c send callback was not delivered. */
void pl_config_sync_frame_failed(pl_config_sync_t *sync,
				 const pl_peer_frame_t *frame);

/** Reports the result of the read that the @c read callback started. */
void pl_config_sync_read_done(pl_config_sync_t *sync,
			      const pl_kv_reply_t *reply);

/** Reports the result of the watch that the @c watch callback started. */
void pl_config_sync_watch_done(pl_config_sync_t *sync,
			       const pl_kv_reply_t *reply);

/**
 * The store was restored from an older copy and is in @p generation: a watcher
 * reads the document again instead of waiting for a change after a position
 * that the store no longer has.
 */
void pl_config_sync_store_restored(pl_config_sync_t *sync, uint64_t generation);

/** Revision in force, 0 for none. */
uint64_t pl_config_sync_revision(const pl_config_sync_t *sync);

/** Document in force, borrowed, or NULL. */
pl_document_t *pl_config_sync_document(const pl_config_sync_t *sync);

void pl_config_sync_stats(const pl_config_sync_t *sync,
			  pl_config_sync_stats_t *stats);

#endif
/** @} */
