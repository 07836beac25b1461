/**
 * @file
 * Responses to pulls, with rate limits, and the announcement of a new
 * revision to a few peers.
 */
#include "private/sync_private.h"

/** Token bucket for responses to pulls: rate in bytes per second. */
#define PULL_RATE_BYTES_S 4000
/** Token bucket for responses to pulls: capacity. */
#define PULL_BURST_BYTES (512 * 1024)
/** Pulls of one peer that are answered with sections per second. */
#define PULLS_PER_PEER 4
/** Period in which the pulls of a peer are counted. */
#define PULL_WINDOW_MS 1000
/** Shortest time between announcements; revisions in between are combined. */
#define ANNOUNCE_INTERVAL_MS 200
/** Longest random delay of an announcement. */
#define ANNOUNCE_JITTER_MS 20
/** Longest push in an announcement; above it only an offer is sent. */
#define ANNOUNCE_INLINE_BYTES 1200

static void on_announce_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now);

void pl_sync_serve_init(pl_config_sync_t *sync)
{
	sync->pull_limit.tokens = PULL_BURST_BYTES;
	sync->pull_limit.refilled_at = pl_sync_now(sync);
	sync->pull_limit.pulls = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	pl_timer_init(&sync->announcement.timer, on_announce_timer_, sync);
}

void pl_sync_serve_finish(pl_config_sync_t *sync)
{
	pl_timer_cancel(sync->timers, &sync->announcement.timer);
	g_hash_table_destroy(sync->pull_limit.pulls);
}

static void refill_tokens_(rate_limit_t *pull_limit, pl_ms_t now)
{
	pl_ms_t elapsed = now - pull_limit->refilled_at;
	int64_t gained;

	if (elapsed < PULL_WINDOW_MS / 10)
		return;
	pull_limit->refilled_at = now;
	if (elapsed > (pl_ms_t)PULL_BURST_BYTES * 2 / PULL_RATE_BYTES_S * 1000)
		gained = PULL_BURST_BYTES * 2;
	else
		gained = (int64_t)(elapsed * PULL_RATE_BYTES_S / 1000);
	pull_limit->tokens += gained;
	if (pull_limit->tokens > PULL_BURST_BYTES)
		pull_limit->tokens = PULL_BURST_BYTES;
}

/* Counts a pull; returns whether the peer exceeded its limit in this second. */
static bool count_pull_(rate_limit_t *pull_limit, pl_member_id_t peer,
			pl_ms_t now)
{
	guint count;

	if (now - pull_limit->window_start >= PULL_WINDOW_MS) {
		g_hash_table_remove_all(pull_limit->pulls);
		pull_limit->window_start = now;
	}
	count = GPOINTER_TO_UINT(g_hash_table_lookup(pull_limit->pulls, &peer));
	g_hash_table_replace(pull_limit->pulls, g_memdup2(&peer, sizeof(peer)),
			     GUINT_TO_POINTER(count + 1));
	return count >= PULLS_PER_PEER;
}

/* Whether the rate limits allow a response with sections. */
static bool admit_pull_(pl_config_sync_t *sync, pl_member_id_t peer)
{
	rate_limit_t *pull_limit = &sync->pull_limit;
	pl_ms_t now = pl_sync_now(sync);
	bool over_limit = count_pull_(pull_limit, peer, now);

	refill_tokens_(pull_limit, now);
	return !over_limit && pull_limit->tokens > 0;
}

static void encode_empty_push_(const pl_config_sync_t *sync,
			       pl_config_push_kind_t kind, GByteArray *body)
{
	const pl_config_push_t push = {
		.kind = kind,
		.revision = pl_config_sync_revision(sync),
	};

	pl_config_encode_push(&push, body);
}

pl_result_t pl_sync_handle_pull(pl_config_sync_t *sync,
				const pl_peer_frame_t *frame)
{
	uint64_t have = 0;
	pl_result_t result =
		pl_config_decode_pull(frame->body, frame->body_len, &have);
	GByteArray *body;

	if (result != PL_OK)
		return result;
	body = g_byte_array_new();
	if (have >= pl_config_sync_revision(sync)) {
		encode_empty_push_(sync, PL_CONFIG_PUSH_OFFER, body);
	} else if (!admit_pull_(sync, frame->peer)) {
		sync->stats.busy++;
		encode_empty_push_(sync, PL_CONFIG_PUSH_BUSY, body);
	} else {
		sync->stats.served++;
		pl_config_replica_encode_push(sync->replica, have, body);
		sync->pull_limit.tokens -= body->len;
	}
	pl_sync_send(sync, frame->peer, PL_PEER_CONFIG_PUSH, body);
	g_byte_array_free(body, TRUE);
	/* the pull states the revision of the peer, which may be newer */
	if (have != PL_CONFIG_PULL_REVISION_ONLY)
		pl_sync_handle_offer(sync, frame->peer, have);
	return PL_OK;
}

void pl_sync_schedule_announcement(pl_config_sync_t *sync, uint64_t before)
{
	announcement_t *announcement = &sync->announcement;
	pl_ms_t due =
		pl_sync_now(sync) + pl_sync_random(sync, ANNOUNCE_JITTER_MS);

	if (pl_timer_armed(&announcement->timer))
		return;
	announcement->base = before;
	if (announcement->last_sent > 0 &&
	    due < announcement->last_sent + ANNOUNCE_INTERVAL_MS)
		due = announcement->last_sent + ANNOUNCE_INTERVAL_MS;
	pl_timer_arm(sync->timers, &announcement->timer, due);
}

static void on_announce_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_config_sync_t *sync = ctx;
	pl_member_id_t peers[PL_CONFIG_FANOUT];
	size_t count = pl_sync_pick_peers(sync, peers, PL_CONFIG_FANOUT);
	GByteArray *body = g_byte_array_new();

	(void)timer;
	sync->announcement.last_sent = now;
	if (sync->announcement.base > 0)
		pl_config_replica_encode_push(sync->replica,
					      sync->announcement.base, body);
	if (body->len == 0 || body->len > ANNOUNCE_INLINE_BYTES) {
		g_byte_array_set_size(body, 0);
		encode_empty_push_(sync, PL_CONFIG_PUSH_OFFER, body);
	}
	for (size_t i = 0; i < count; i++)
		pl_sync_send(sync, peers[i], PL_PEER_CONFIG_PUSH, body);
	sync->stats.offers += count;
	g_byte_array_free(body, TRUE);
}
