/**
 * @file
 * Configuration core: peers, the document in force, and the public functions.
 */
#include "private/sync_private.h"

/**
 * Default delay before the platform is read again. When a whole fleet starts
 * at once, the watchers' announcements arrive within this time.
 */
#define READ_DELAY_DEFAULT_MS 1500

#include <assert.h>
#include <pimentolift/event.h>
#include <string.h>

/** Divisor that gives the longest jitter of a delay. */
#define JITTER_FRACTION 4
/** Shortest time between log lines about offers of older revisions. */
#define OLDER_LOG_INTERVAL_MS 10000

pl_ms_t pl_sync_now(const pl_config_sync_t *sync)
{
	return pl_timer_service_now(sync->timers);
}

uint64_t pl_sync_random(pl_config_sync_t *sync, uint64_t bound)
{
	return bound > 0 ? sync->ops->random(sync->ctx) % bound : 0;
}

pl_ms_t pl_sync_jitter(pl_config_sync_t *sync, pl_ms_t ms)
{
	return ms + pl_sync_random(sync, ms / JITTER_FRACTION + 1);
}

static bool contains_member_(const pl_member_id_t *ids, size_t count,
			     pl_member_id_t id)
{
	for (size_t i = 0; i < count; i++) {
		if (ids[i] == id)
			return true;
	}
	return false;
}

size_t pl_sync_pick_peers(pl_config_sync_t *sync, pl_member_id_t *out,
			  size_t want)
{
	const GArray *peers = sync->peers;
	size_t count = 0;

	if (want > peers->len)
		want = peers->len;
	while (count < want) {
		guint index = (guint)pl_sync_random(sync, peers->len);

		/* linear probing past selected peers, so that the loop ends */
		while (contains_member_(out, count,
					g_array_index(peers, peer_t, index).id))
			index = (index + 1) % peers->len;
		out[count++] = g_array_index(peers, peer_t, index).id;
	}
	return count;
}

void pl_sync_send(pl_config_sync_t *sync, pl_member_id_t to,
		  pl_peer_type_t type, const GByteArray *body)
{
	const pl_peer_frame_t frame = {
		.peer = to,
		.type = type,
		.body = body->data,
		.body_len = body->len,
	};

	sync->stats.bytes_out += body->len;
	sync->ops->send(sync->ctx, &frame);
}

void pl_sync_log_older(pl_config_sync_t *sync, const char *source,
		       uint64_t revision)
{
	pl_ms_t now = pl_sync_now(sync);

	if (sync->older_logged_at > 0 &&
	    now - sync->older_logged_at < OLDER_LOG_INTERVAL_MS)
		return;
	sync->older_logged_at = now + (now == 0);
	pl_event(PL_EVENT_CONFIG_OLDER,
		 "%s offered revision %" G_GUINT64_FORMAT
		 ", older than revision %" G_GUINT64_FORMAT " in force",
		 source, revision, pl_config_sync_revision(sync));
}

void pl_sync_in_force_changed(pl_config_sync_t *sync, uint64_t before)
{
	pl_document_t *document = pl_config_replica_document(sync->replica);
	uint64_t revision = pl_document_revision(document);

	if (!PL_INVARIANT(revision > before,
			  "revision %" G_GUINT64_FORMAT
			  " came into force after %" G_GUINT64_FORMAT,
			  revision, before))
		return;
	pl_event(PL_EVENT_CONFIG_IN_FORCE,
		 "revision %" G_GUINT64_FORMAT ", %zu services", revision,
		 pl_document_count(document));
	sync->target.attempts = 0;
	sync->target.full = false;
	pl_sync_pull_caught_up(sync);
	sync->ops->in_force(sync->ctx, document);
	pl_sync_schedule_announcement(sync, before);
}

void pl_sync_put_in_force(pl_config_sync_t *sync, pl_document_t *document)
{
	uint64_t before = pl_config_sync_revision(sync);

	if (pl_document_revision(document) <= before)
		return;
	pl_config_replica_replace(sync->replica, document);
	pl_sync_in_force_changed(sync, before);
}

void pl_config_sync_set_params(pl_config_sync_t *sync,
			       const pl_config_sync_params_t *params)
{
	sync->params = *params;
}

pl_config_sync_t *pl_config_sync_new(pl_member_id_t self,
				     pl_datacentre_id_t datacentre,
				     const pl_config_sync_ops_t *ops, void *ctx,
				     pl_timer_service_t *timers)
{
	pl_config_sync_t *sync = g_new0(pl_config_sync_t, 1);

	assert(ops && ops->in_force && ops->send && ops->read && ops->watch &&
	       ops->unwatch && ops->random);
	sync->self = self;
	sync->datacentre = datacentre;
	sync->ops = ops;
	sync->params = (pl_config_sync_params_t){
		.watchers = PL_CONFIG_WATCHERS,
		.read_delay_ms = READ_DELAY_DEFAULT_MS,
	};
	sync->ctx = ctx;
	sync->timers = timers;
	sync->phase = PHASE_IDLE;
	sync->replica = pl_config_replica_new();
	sync->peers = g_array_new(FALSE, TRUE, sizeof(peer_t));
	sync->peer_index = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	pl_sync_start_init(sync);
	pl_sync_pull_init(sync);
	pl_sync_serve_init(sync);
	pl_sync_watchers_init(sync);
	pl_sync_watch_init(sync);
	return sync;
}

void pl_config_sync_delete(pl_config_sync_t *sync)
{
	if (!sync)
		return;
	pl_sync_watch_finish(sync);
	pl_sync_watchers_finish(sync);
	pl_sync_serve_finish(sync);
	pl_sync_pull_finish(sync);
	pl_sync_start_finish(sync);
	g_hash_table_destroy(sync->peer_index);
	g_array_free(sync->peers, TRUE);
	pl_config_replica_delete(sync->replica);
	g_free(sync);
}

static guint find_peer_index_(const pl_config_sync_t *sync, pl_member_id_t id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(sync->peer_index, &id));
}

static void set_peer_index_(pl_config_sync_t *sync, pl_member_id_t id,
			    guint index)
{
	g_hash_table_replace(sync->peer_index, g_memdup2(&id, sizeof(id)),
			     GUINT_TO_POINTER(index + 1));
}

void pl_config_sync_peer_up(pl_config_sync_t *sync, pl_member_id_t peer,
			    pl_datacentre_id_t datacentre)
{
	const peer_t item = { .id = peer, .datacentre = datacentre };
	guint index = find_peer_index_(sync, peer);

	if (peer == sync->self)
		return;
	if (index > 0) {
		g_array_index(sync->peers, peer_t, index - 1) = item;
	} else {
		g_array_append_val(sync->peers, item);
		set_peer_index_(sync, peer, sync->peers->len - 1);
	}
	pl_sync_watchers_peer_up(sync, &item);
	pl_sync_watch_evaluate_soon(sync);
}

void pl_config_sync_peer_down(pl_config_sync_t *sync, pl_member_id_t peer)
{
	guint index = find_peer_index_(sync, peer);

	if (index == 0)
		return;
	g_array_remove_index_fast(sync->peers, index - 1);
	if (index - 1 < sync->peers->len)
		set_peer_index_(
			sync, g_array_index(sync->peers, peer_t, index - 1).id,
			index - 1);
	g_hash_table_remove(sync->peer_index, &peer);
	pl_sync_watch_evaluate_soon(sync);
}

void pl_config_sync_peer_revision(pl_config_sync_t *sync, pl_member_id_t peer,
				  uint64_t revision)
{
	pl_sync_handle_offer(sync, peer, revision);
}

pl_result_t pl_config_sync_frame(pl_config_sync_t *sync,
				 const pl_peer_frame_t *frame)
{
	sync->stats.bytes_in += frame->body_len;
	if (frame->type == PL_PEER_CONFIG_PULL)
		return pl_sync_handle_pull(sync, frame);
	if (frame->type == PL_PEER_CONFIG_HANDOVER)
		return pl_sync_handle_handover(sync, frame);
	assert(frame->type == PL_PEER_CONFIG_PUSH);
	return pl_sync_handle_push(sync, frame);
}

void pl_config_sync_frame_failed(pl_config_sync_t *sync,
				 const pl_peer_frame_t *frame)
{
	if (frame->type != PL_PEER_CONFIG_PULL)
		return;
	if (sync->phase == PHASE_STARTING)
		pl_sync_start_peer_revision(sync, frame->peer, 0);
	else
		pl_sync_pull_failed(sync, frame->peer);
}

uint64_t pl_config_sync_revision(const pl_config_sync_t *sync)
{
	return pl_config_replica_revision(sync->replica);
}

pl_document_t *pl_config_sync_document(const pl_config_sync_t *sync)
{
	return pl_config_replica_document(sync->replica);
}

void pl_config_sync_stats(const pl_config_sync_t *sync,
			  pl_config_sync_stats_t *stats)
{
	*stats = sync->stats;
	stats->revision = pl_config_sync_revision(sync);
	stats->watcher = sync->watch.is_watcher;
}
