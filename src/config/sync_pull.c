/**
 * @file
 * Pulls of newer revisions, and the handling of offers and pushes.
 */
#include "private/sync_private.h"

#include <pimentolift/counter.h>
#include <pimentolift/event.h>

/** Time limit for the response to a pull. */
#define PULL_TIMEOUT_MS 1000
/** First delay between pull attempts; doubled after each failed attempt. */
#define PULL_DELAY_MS 100
/** Longest delay between pull attempts. */
#define PULL_DELAY_MAX_MS 30000
/** Doublings after which the delay exceeds its maximum. */
#define PULL_DOUBLINGS_MAX 9

static void on_pull_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now);
static void on_read_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now);

void pl_sync_pull_init(pl_config_sync_t *sync)
{
	pl_timer_init(&sync->target.timer, on_pull_timer_, sync);
	pl_timer_init(&sync->target.read_timer, on_read_timer_, sync);
}

void pl_sync_pull_finish(pl_config_sync_t *sync)
{
	pl_timer_cancel(sync->timers, &sync->target.timer);
	pl_timer_cancel(sync->timers, &sync->target.read_timer);
}

static bool pull_needed_(const pl_config_sync_t *sync)
{
	return sync->phase == PHASE_RUNNING &&
	       sync->target.revision > pl_config_sync_revision(sync);
}

/* Limits the time for which this member stays behind: pulls may be refused by
 * all peers while many members pull many large changes. */
static void limit_time_behind_(pl_config_sync_t *sync)
{
	target_t *target = &sync->target;

	if (sync->params.replica_only || sync->params.behind_max_ms == 0 ||
	    pl_timer_armed(&target->read_timer))
		return;
	target->behind_since = pl_sync_now(sync);
	pl_timer_arm(sync->timers, &target->read_timer,
		     target->behind_since + sync->params.behind_max_ms);
}

static void on_read_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_config_sync_t *sync = ctx;
	const target_t *target = &sync->target;

	if (!pull_needed_(sync))
		return;
	pl_event(PL_EVENT_CONFIG_BEHIND,
		 "revision %" G_GUINT64_FORMAT
		 " is known for %" G_GUINT64_FORMAT
		 " ms and was not pulled in %u attempts; revision "
		 "%" G_GUINT64_FORMAT " is in force",
		 target->revision, now - target->behind_since, target->attempts,
		 pl_config_sync_revision(sync));
	pl_counter_add(PL_COUNTER_CONFIG_BEHIND, 1);
	sync->stats.behind_reads++;
	pl_sync_start_read(sync);
	pl_timer_arm(sync->timers, timer, now + sync->params.behind_max_ms);
}

void pl_sync_pull_caught_up(pl_config_sync_t *sync)
{
	if (!pull_needed_(sync))
		pl_timer_cancel(sync->timers, &sync->target.read_timer);
}

/* The first attempt goes to the peer that offered the revision, later attempts
 * go to random peers. */
static pl_member_id_t choose_peer_(pl_config_sync_t *sync)
{
	pl_member_id_t peer = 0;

	if (sync->target.attempts == 0 && sync->target.peer != 0)
		return sync->target.peer;
	if (pl_sync_pick_peers(sync, &peer, 1) == 1)
		return peer;
	return sync->target.peer;
}

/* Puts the platform's document from the start in force, although a newer
 * revision is known that could not be pulled. */
static void use_platform_document_(pl_config_sync_t *sync)
{
	pl_document_t *candidate = sync->start.candidate;

	sync->start.candidate = NULL;
	if (!candidate)
		return;
	pl_sync_put_in_force(sync, candidate);
	pl_document_put(candidate);
}

static void schedule_retry_(pl_config_sync_t *sync)
{
	target_t *target = &sync->target;
	unsigned int doublings = target->attempts < PULL_DOUBLINGS_MAX ?
					 target->attempts :
					 PULL_DOUBLINGS_MAX;
	pl_ms_t delay = (pl_ms_t)PULL_DELAY_MS << doublings;

	if (delay > PULL_DELAY_MAX_MS)
		delay = PULL_DELAY_MAX_MS;
	target->pulled_from = 0;
	target->attempts++;
	pl_timer_arm(sync->timers, &target->timer,
		     pl_sync_now(sync) + pl_sync_jitter(sync, delay));
}

void pl_sync_pull(pl_config_sync_t *sync)
{
	target_t *target = &sync->target;
	uint64_t have = target->full ? 0 : pl_config_sync_revision(sync);
	pl_member_id_t peer;
	GByteArray *body;

	if (!pull_needed_(sync))
		return;
	limit_time_behind_(sync);
	if (target->pulled_from != 0)
		return;
	peer = choose_peer_(sync);
	if (peer == 0) {
		schedule_retry_(sync);
		return;
	}
	target->pulled_from = peer;
	pl_timer_arm(sync->timers, &target->timer,
		     pl_sync_now(sync) + PULL_TIMEOUT_MS);
	sync->stats.pulls++;
	sync->stats.full_pulls += have == 0;
	body = g_byte_array_new();
	pl_config_encode_pull(have, body);
	pl_sync_send(sync, peer, PL_PEER_CONFIG_PULL, body);
	g_byte_array_free(body, TRUE);
}

static void on_pull_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_config_sync_t *sync = ctx;

	(void)timer;
	(void)now;
	if (!pull_needed_(sync))
		return;
	if (sync->target.pulled_from != 0)
		pl_sync_pull_failed(sync, sync->target.pulled_from);
	else
		pl_sync_pull(sync);
}

void pl_sync_pull_failed(pl_config_sync_t *sync, pl_member_id_t peer)
{
	if (sync->target.pulled_from != peer)
		return;
	sync->target.pulled_from = 0;
	use_platform_document_(sync);
	pl_sync_start_schedule_read(sync);
	if (pull_needed_(sync))
		schedule_retry_(sync);
}

void pl_sync_handle_offer(pl_config_sync_t *sync, pl_member_id_t peer,
			  uint64_t revision)
{
	target_t *target = &sync->target;

	if (sync->phase == PHASE_STARTING) {
		pl_sync_start_peer_revision(sync, peer, revision);
		return;
	}
	if (revision <= pl_config_sync_revision(sync) ||
	    revision < target->revision)
		return;
	/* a further peer offers the same revision: use it only if the last
	 * attempt failed */
	if (revision == target->revision &&
	    (target->pulled_from != 0 || target->attempts == 0))
		return;
	target->revision = revision;
	target->peer = peer;
	target->attempts = 0;
	pl_sync_pull(sync);
}

/* After a push, schedules another attempt if a newer revision is known. */
static void retry_if_behind_(pl_config_sync_t *sync)
{
	target_t *target = &sync->target;

	if (!pull_needed_(sync)) {
		pl_timer_cancel(sync->timers, &target->timer);
		return;
	}
	if (target->pulled_from == 0 && !pl_timer_armed(&target->timer))
		schedule_retry_(sync);
}

/* Pulls the whole document from @p peer, after a delta whose result had the
 * wrong hash. */
static void pull_full_(pl_config_sync_t *sync, pl_member_id_t peer,
		       uint64_t revision)
{
	target_t *target = &sync->target;

	if (revision > target->revision)
		target->revision = revision;
	target->peer = peer;
	target->full = true;
	target->attempts = 0;
	pl_sync_pull(sync);
}

static void check_divergence_(pl_config_sync_t *sync,
			      const pl_config_push_t *push, pl_member_id_t peer)
{
	const pl_document_t *held = pl_config_sync_document(sync);

	if (push->revision == pl_config_sync_revision(sync) && held &&
	    pl_document_hash(held) != push->hash)
		pl_event(PL_EVENT_CONFIG_DIVERGED,
			 "revision %" G_GUINT64_FORMAT
			 " of member %" G_GINT64_MODIFIER
			 "x differs from the same revision in force here",
			 push->revision, peer);
}

static void apply_sections_(pl_config_sync_t *sync,
			    const pl_config_push_t *push, pl_member_id_t peer)
{
	uint64_t before = pl_config_sync_revision(sync);
	pl_error_t err = PL_ERROR_INIT;
	pl_result_t result;

	if (push->revision <= before) {
		if (push->revision < before)
			pl_sync_log_older(sync, "a member", push->revision);
		check_divergence_(sync, push, peer);
		return;
	}
	if (push->base > before) {
		pl_sync_handle_offer(sync, peer, push->revision);
		return;
	}
	result = pl_config_replica_apply_push(sync->replica, push, &err);
	if (result == PL_OK)
		pl_sync_in_force_changed(sync, before);
	else if (result == PL_ERR_CONFLICT && push->base > 0)
		pull_full_(sync, peer, push->revision);
	else
		pl_event(PL_EVENT_CONFIG_REFUSED,
			 "push from member %" G_GINT64_MODIFIER "x: %s", peer,
			 err.text);
}

pl_result_t pl_sync_handle_push(pl_config_sync_t *sync,
				const pl_peer_frame_t *frame)
{
	pl_config_push_t push;
	pl_result_t result =
		pl_config_decode_push(frame->body, frame->body_len, &push);

	if (result != PL_OK)
		return result;
	if (sync->phase != PHASE_RUNNING) {
		if (sync->phase == PHASE_STARTING)
			pl_sync_start_peer_revision(sync, frame->peer,
						    push.revision);
		pl_config_push_finish(&push);
		return PL_OK;
	}
	if (sync->target.pulled_from == frame->peer) {
		sync->target.pulled_from = 0;
		pl_timer_cancel(sync->timers, &sync->target.timer);
	}
	if (push.kind == PL_CONFIG_PUSH_SECTIONS)
		apply_sections_(sync, &push, frame->peer);
	else if (push.kind == PL_CONFIG_PUSH_OFFER)
		pl_sync_handle_offer(sync, frame->peer, push.revision);
	retry_if_behind_(sync);
	pl_config_push_finish(&push);
	return PL_OK;
}
