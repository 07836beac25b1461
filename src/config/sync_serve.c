/**
 * @file
 * Answers to peers that pull, within bounds, and the sending of a new
 * revision to a few peers at once.
 */
#include "private/sync_private.h"

/** Bytes a second for answers to pulls, and how many may be saved up. */
#define SERVE_BYTES_S 4000
#define SERVE_BURST_BYTES (512 * 1024)
/** Pulls of one peer that are answered in a second. */
#define SERVE_PEER_PULLS 4
#define WINDOW_MS 1000
/** Time between two sendings; revisions in between go together. */
#define SPREAD_INTERVAL_MS 200
#define SPREAD_JITTER_MS 20
/** Sections up to this length are sent unasked, longer ones offered. */
#define SPREAD_INLINE_BYTES 1200

static void on_spread_(pl_timer_t *timer, void *ctx, pl_ms_t now);

void pl_sync_serve_init(pl_config_sync_t *sync)
{
	sync->serving.tokens = SERVE_BURST_BYTES;
	sync->serving.refilled = pl_sync_now(sync);
	sync->serving.pulls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, NULL);
	pl_timer_init(&sync->spread.timer, on_spread_, sync);
}

void pl_sync_serve_finish(pl_config_sync_t *sync)
{
	pl_timer_cancel(sync->timers, &sync->spread.timer);
	g_hash_table_destroy(sync->serving.pulls);
}

static void refill_(serving_t *serving, pl_ms_t now)
{
	pl_ms_t elapsed = now - serving->refilled;
	int64_t gained;

	if (elapsed < WINDOW_MS / 10)
		return;
	serving->refilled = now;
	if (elapsed > (pl_ms_t)SERVE_BURST_BYTES * 2 / SERVE_BYTES_S * 1000)
		gained = SERVE_BURST_BYTES * 2;
	else
		gained = (int64_t)(elapsed * SERVE_BYTES_S / 1000);
	serving->tokens += gained;
	if (serving->tokens > SERVE_BURST_BYTES)
		serving->tokens = SERVE_BURST_BYTES;
}

/* Whether the peer pulled too often in this second. */
static bool too_often_(serving_t *serving, pl_member_id_t peer, pl_ms_t now)
{
	guint count;

	if (now - serving->window >= WINDOW_MS) {
		g_hash_table_remove_all(serving->pulls);
		serving->window = now;
	}
	count = GPOINTER_TO_UINT(g_hash_table_lookup(serving->pulls, &peer));
	g_hash_table_replace(serving->pulls, g_memdup2(&peer, sizeof(peer)),
			     GUINT_TO_POINTER(count + 1));
	return count >= SERVE_PEER_PULLS;
}

/* Whether a peer may be answered now. */
static bool admit_(pl_config_sync_t *sync, pl_member_id_t peer)
{
	serving_t *serving = &sync->serving;
	pl_ms_t now = pl_sync_now(sync);
	bool often = too_often_(serving, peer, now);

	refill_(serving, now);
	return !often && serving->tokens > 0;
}

static void encode_offer_(const pl_config_sync_t *sync,
			  pl_config_push_kind_t kind, GByteArray *body)
{
	const pl_config_push_t push = {
		.kind = kind,
		.revision = pl_config_sync_revision(sync),
	};

	pl_config_encode_push(&push, body);
}

pl_result_t pl_sync_serve(pl_config_sync_t *sync, const pl_peer_frame_t *frame)
{
	uint64_t have = 0;
	pl_result_t result =
		pl_config_decode_pull(frame->body, frame->body_len, &have);
	GByteArray *body;

	if (result != PL_OK)
		return result;
	body = g_byte_array_new();
	if (have >= pl_config_sync_revision(sync)) {
		encode_offer_(sync, PL_CONFIG_PUSH_OFFER, body);
	} else if (!admit_(sync, frame->peer)) {
		sync->stats.busy++;
		encode_offer_(sync, PL_CONFIG_PUSH_BUSY, body);
	} else {
		sync->stats.served++;
		pl_holding_encode(sync->holding, have, body);
		sync->serving.tokens -= body->len;
	}
	pl_sync_send(sync, frame->peer, PL_PEER_CONFIG_PUSH, body);
	g_byte_array_free(body, TRUE);
	/* a peer that is ahead is worth asking */
	if (have != PL_CONFIG_HAVE_ASK)
		pl_sync_offer(sync, frame->peer, have);
	return PL_OK;
}

void pl_sync_spread(pl_config_sync_t *sync, uint64_t before)
{
	spread_t *spread = &sync->spread;
	pl_ms_t due =
		pl_sync_now(sync) + pl_sync_random(sync, SPREAD_JITTER_MS);

	if (pl_timer_armed(&spread->timer))
		return;
	spread->base = before;
	if (spread->last > 0 && due < spread->last + SPREAD_INTERVAL_MS)
		due = spread->last + SPREAD_INTERVAL_MS;
	pl_timer_arm(sync->timers, &spread->timer, due);
}

static void on_spread_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_config_sync_t *sync = ctx;
	pl_member_id_t peers[PL_CONFIG_FANOUT];
	size_t count = pl_sync_pick(sync, peers, PL_CONFIG_FANOUT);
	GByteArray *body = g_byte_array_new();

	(void)timer;
	sync->spread.last = now;
	if (sync->spread.base > 0)
		pl_holding_encode(sync->holding, sync->spread.base, body);
	if (body->len == 0 || body->len > SPREAD_INLINE_BYTES) {
		g_byte_array_set_size(body, 0);
		encode_offer_(sync, PL_CONFIG_PUSH_OFFER, body);
	}
	for (size_t i = 0; i < count; i++)
		pl_sync_send(sync, peers[i], PL_PEER_CONFIG_PUSH, body);
	sync->stats.offers += count;
	g_byte_array_free(body, TRUE);
}
