/**
 * @file
 * Start of a member: collects the offers of peers and the platform and adopts
 * the newest.
 */
#include "private/sync_private.h"

/** Time limit for the responses of peers and the platform. */
#define START_TIMEOUT_MS 1000
/**
 * Time to wait for newer offers after the first one. The platform answers in a
 * few milliseconds, or in a few hundred when it is slow.
 */
#define NEWER_OFFER_WAIT_MS 300
/** Factor by which members that are not watchers delay repeated reads. */
#define NON_WATCHER_DELAY_FACTOR 10

static void on_start_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now);

void pl_sync_start_init(pl_config_sync_t *sync)
{
	pl_timer_init(&sync->start.timer, on_start_timer_, sync);
}

void pl_sync_start_finish(pl_config_sync_t *sync)
{
	pl_timer_cancel(sync->timers, &sync->start.timer);
	pl_document_put(sync->start.candidate);
}

void pl_sync_start_read(pl_config_sync_t *sync)
{
	if (sync->start.read_pending)
		return;
	sync->start.read_pending = true;
	sync->ops->read(sync->ctx);
}

static bool awaits_peers_(const start_t *start)
{
	for (size_t i = 0; i < PL_CONFIG_START_PEERS; i++) {
		if (start->asked[i] != 0)
			return true;
	}
	return false;
}

/* Schedules another read of the platform. Every member reads once at its start;
 * after that watchers read often and other members rarely, because the watchers
 * announce what they find. */
static void schedule_read_(pl_config_sync_t *sync)
{
	pl_ms_t delay = sync->params.read_delay_ms;

	if (!pl_sync_is_watcher(sync))
		delay *= NON_WATCHER_DELAY_FACTOR;
	pl_timer_arm(sync->timers, &sync->start.timer,
		     pl_sync_now(sync) + delay + pl_sync_random(sync, delay));
}

/* Ends the start: puts the newest offer in force, or pulls it. */
static void finish_start_(pl_config_sync_t *sync)
{
	pl_document_t *candidate = sync->start.candidate;
	uint64_t offered = sync->target.revision;

	pl_timer_cancel(sync->timers, &sync->start.timer);
	sync->phase = PHASE_RUNNING;
	if (candidate && pl_document_revision(candidate) >= offered) {
		sync->start.candidate = NULL;
		pl_sync_put_in_force(sync, candidate);
		pl_document_put(candidate);
	} else if (offered > 0) {
		pl_sync_pull(sync);
	} else if (!sync->start.read_pending) {
		schedule_read_(sync);
	}
	pl_sync_watch_evaluate_soon(sync);
}

static void finish_start_if_complete_(pl_config_sync_t *sync)
{
	if (sync->phase == PHASE_STARTING && !sync->start.read_pending &&
	    !awaits_peers_(&sync->start))
		finish_start_(sync);
}

static void on_start_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_config_sync_t *sync = ctx;

	(void)timer;
	(void)now;
	if (sync->phase == PHASE_STARTING)
		finish_start_(sync);
	else if (pl_config_sync_revision(sync) == 0 &&
		 (sync->target.revision == 0 || sync->params.repeat_read))
		pl_sync_start_read(sync);
}

void pl_sync_start_schedule_read(pl_config_sync_t *sync)
{
	if (sync->params.repeat_read && pl_config_sync_revision(sync) == 0 &&
	    !sync->start.read_pending)
		schedule_read_(sync);
}

void pl_config_sync_start(pl_config_sync_t *sync)
{
	static const uint64_t have = PL_CONFIG_PULL_REVISION_ONLY;
	pl_member_id_t peers[PL_CONFIG_START_PEERS] = { 0 };
	GByteArray *body;
	size_t count;

	if (sync->phase != PHASE_IDLE)
		return;
	if (sync->params.replica_only) {
		sync->phase = PHASE_RUNNING;
		return;
	}
	sync->phase = PHASE_STARTING;
	pl_timer_arm(sync->timers, &sync->start.timer,
		     pl_sync_now(sync) + START_TIMEOUT_MS);
	count = pl_sync_pick_peers(sync, peers, PL_CONFIG_START_PEERS);
	/* record all peers before sending, since a send may fail immediately */
	for (size_t i = 0; i < count; i++)
		sync->start.asked[i] = peers[i];
	if (count < PL_CONFIG_START_PEERS)
		pl_sync_start_read(sync);
	body = g_byte_array_new();
	pl_config_encode_pull(have, body);
	for (size_t i = 0; i < count; i++)
		pl_sync_send(sync, peers[i], PL_PEER_CONFIG_PULL, body);
	g_byte_array_free(body, TRUE);
}

static void shorten_start_(pl_config_sync_t *sync)
{
	pl_ms_t due = pl_sync_now(sync) + NEWER_OFFER_WAIT_MS;

	if (sync->start.timer.due > due)
		pl_timer_arm(sync->timers, &sync->start.timer, due);
}

void pl_sync_start_peer_revision(pl_config_sync_t *sync, pl_member_id_t peer,
				 uint64_t revision)
{
	for (size_t i = 0; i < PL_CONFIG_START_PEERS; i++) {
		if (sync->start.asked[i] == peer)
			sync->start.asked[i] = 0;
	}
	if (revision > sync->target.revision) {
		sync->target.revision = revision;
		sync->target.peer = peer;
		shorten_start_(sync);
	}
	finish_start_if_complete_(sync);
}

void pl_sync_start_read_done(pl_config_sync_t *sync, pl_document_t *document)
{
	sync->start.read_pending = false;
	if (sync->phase == PHASE_RUNNING) {
		if (document)
			pl_sync_put_in_force(sync, document);
		else if (sync->params.repeat_read)
			schedule_read_(sync);
		return;
	}
	if (document) {
		pl_document_get(document);
		pl_document_put(sync->start.candidate);
		sync->start.candidate = document;
	}
	finish_start_if_complete_(sync);
}
