/**
 * @file
 * @defgroup roster_share Shared reads of the roster
 *
 * The roster lists all agents that may own flows. To reset a flow of unknown
 * owner, an entry needs a roster that was read from the store after the lookup
 * of the flow began: every agent that this roster or membership lists must rule
 * the flow out. After a power failure every entry needs such a roster several
 * times a second. So the entries of a data centre select one of them as the
 * reader by rendezvous hashing; one read serves all requests that arrived
 * before it began. A reader that does not
 * answer in time, cannot be reached or reports a failed read is skipped for a
 * second. The module uses no sockets, threads or clock of its own.
 * @{
 */
#ifndef PIMENTOLIFT_ROSTER_SHARE_H
#define PIMENTOLIFT_ROSTER_SHARE_H

#include <pimentolift/peer.h>
#include <pimentolift/result.h>
#include <pimentolift/routing.h>
#include <pimentolift/timer.h>

typedef struct pl_roster_share pl_roster_share_t;

/** Callbacks to the owner. */
typedef struct {
	/** Sends a frame; its body is valid only during the call. The owner
	 * reports a frame that cannot be delivered by
	 * pl_roster_share_frame_failed(). */
	void (*send)(void *ctx, const pl_peer_frame_t *frame);
	/** Reads the roster from the store; the owner passes the result to
	 * pl_roster_share_read_done(). At most one read is in progress. */
	void (*read)(void *ctx);
	/** Result of pl_roster_share_request(); @p known is false if the roster
	 * could not be read. */
	void (*result)(void *ctx, bool known, const pl_member_id_t *agents,
		       size_t count);
} pl_roster_share_ops_t;

/** Creates the state of the entry @p self; @p ops and @p timers must outlive
 * it. */
pl_roster_share_t *pl_roster_share_new(pl_member_id_t self,
				       const pl_roster_share_ops_t *ops,
				       void *ctx, pl_timer_service_t *timers);
void pl_roster_share_delete(pl_roster_share_t *share);

/** Adds or removes the reachable entry @p peer of the own data centre. */
void pl_roster_share_peer_up(pl_roster_share_t *share, pl_member_id_t peer);
void pl_roster_share_peer_down(pl_roster_share_t *share, pl_member_id_t peer);

/** Requests a roster whose read begins after this call. */
void pl_roster_share_request(pl_roster_share_t *share);

/** Passes the result of a read that the read callback started; @p known is
 * false if it failed. */
void pl_roster_share_read_done(pl_roster_share_t *share, bool known,
			       const pl_member_id_t *agents, size_t count);

/** Handles a frame of type PL_PEER_ROSTER_REQUEST or PL_PEER_ROSTER. */
pl_result_t pl_roster_share_frame(pl_roster_share_t *share,
				  const pl_peer_frame_t *frame);

/** Handles the failed delivery of a frame that the send callback was given. */
void pl_roster_share_frame_failed(pl_roster_share_t *share,
				  const pl_peer_frame_t *frame);

#endif
/** @} */
