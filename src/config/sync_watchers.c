/**
 * @file
 * Choice of the members that watch the platform. It may turn away some members
 * for long while it serves others, so members whose last watch failed come
 * after all others, those that failed most recently last.
 */
#include "private/sync_private.h"

#include <pimentolift/event.h>
#include <pimentolift/hash.h>

/** Time after which a member whose watch failed tries again, in case those that
 * took over have forgotten that they did. */
#define FAILURE_VALID_MS 30000
/** Others remember its failure for longer by this, so that they still watch
 * while it tries. */
#define FAILURE_MARGIN_MS 10000
/** Members that are told of a failure. */
#define HANDOVER_PEERS 8

typedef struct {
	pl_member_id_t member;
	pl_ms_t at;
} failure_t;

/* Position of a member in the order in which members should watch. */
typedef struct {
	pl_member_id_t member;
	pl_ms_t failed_at; /* 0: not known to fail */
	uint64_t score;
} rank_t;

static void on_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now);

void pl_sync_watchers_init(pl_config_sync_t *sync)
{
	sync->watchers.failures = g_array_new(FALSE, TRUE, sizeof(failure_t));
	pl_timer_init(&sync->watchers.timer, on_timer_, sync);
}

void pl_sync_watchers_finish(pl_config_sync_t *sync)
{
	pl_timer_cancel(sync->timers, &sync->watchers.timer);
	g_array_free(sync->watchers.failures, TRUE);
}

static failure_t *at_(const pl_config_sync_t *sync, guint index)
{
	return &g_array_index(sync->watchers.failures, failure_t, index);
}

static failure_t *find_(const pl_config_sync_t *sync, pl_member_id_t member)
{
	for (guint i = 0; i < sync->watchers.failures->len; i++) {
		if (at_(sync, i)->member == member)
			return at_(sync, i);
	}
	return NULL;
}

static pl_ms_t ends_at_(const pl_config_sync_t *sync, const failure_t *failure)
{
	return failure->at + FAILURE_VALID_MS +
	       (failure->member == sync->self ? 0 : FAILURE_MARGIN_MS);
}

static void arm_timer_(pl_config_sync_t *sync)
{
	pl_ms_t next = 0;

	for (guint i = 0; i < sync->watchers.failures->len; i++) {
		pl_ms_t ends = ends_at_(sync, at_(sync, i));

		if (next == 0 || ends < next)
			next = ends;
	}
	if (next == 0)
		pl_timer_cancel(sync->timers, &sync->watchers.timer);
	else
		pl_timer_arm(sync->timers, &sync->watchers.timer, next);
}

static void on_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_config_sync_t *sync = ctx;

	(void)timer;
	for (guint i = sync->watchers.failures->len; i-- > 0;) {
		if (ends_at_(sync, at_(sync, i)) <= now)
			g_array_remove_index_fast(sync->watchers.failures, i);
	}
	arm_timer_(sync);
	pl_sync_watch_evaluate(sync, 0);
}

static failure_t *oldest_(const pl_config_sync_t *sync)
{
	failure_t *oldest = at_(sync, 0);

	for (guint i = 1; i < sync->watchers.failures->len; i++) {
		if (at_(sync, i)->at < oldest->at)
			oldest = at_(sync, i);
	}
	return oldest;
}

static void record_(pl_config_sync_t *sync, pl_member_id_t member, pl_ms_t at)
{
	GArray *failures = sync->watchers.failures;
	const failure_t new = { .member = member, .at = at };
	failure_t *known = find_(sync, member);

	if (ends_at_(sync, &new) <= pl_sync_now(sync))
		return;
	if (known)
		known->at = MAX(known->at, at);
	else if (failures->len < PL_CONFIG_FAILURES_MAX)
		g_array_append_val(failures, new);
	else
		*oldest_(sync) = new;
	arm_timer_(sync);
}

/* Rendezvous hashing decides between members that did not fail. */
static rank_t rank_(const pl_config_sync_t *sync, pl_member_id_t member)
{
	const failure_t *failure = find_(sync, member);

	return (rank_t){
		.member = member,
		.failed_at = failure ? failure->at : 0,
		.score = pl_hash(&member, sizeof(member), sync->datacentre),
	};
}

static bool precedes_(const rank_t *a, const rank_t *b)
{
	if (a->failed_at != b->failed_at)
		return a->failed_at < b->failed_at;
	return a->score > b->score;
}

bool pl_sync_is_watcher(const pl_config_sync_t *sync)
{
	const rank_t own = rank_(sync, sync->self);
	unsigned int before = 0;

	for (guint i = 0; i < sync->peers->len; i++) {
		const peer_t *peer = &g_array_index(sync->peers, peer_t, i);
		const rank_t rank = rank_(sync, peer->id);

		if (peer->datacentre == sync->datacentre &&
		    precedes_(&rank, &own))
			before++;
	}
	return before < sync->params.watchers;
}

/* The members of the data centre that should watch first, in order. */
static size_t first_members_(const pl_config_sync_t *sync,
			     rank_t first[HANDOVER_PEERS])
{
	size_t count = 0;

	for (guint i = 0; i < sync->peers->len; i++) {
		const peer_t *peer = &g_array_index(sync->peers, peer_t, i);
		const rank_t rank = rank_(sync, peer->id);
		size_t at;

		if (peer->datacentre != sync->datacentre ||
		    (count == HANDOVER_PEERS &&
		     precedes_(&first[count - 1], &rank)))
			continue;
		at = count < HANDOVER_PEERS ? count++ : count - 1;
		for (; at > 0 && precedes_(&rank, &first[at - 1]); at--)
			first[at] = first[at - 1];
		first[at] = rank;
	}
	return count;
}

static void send_handover_(pl_config_sync_t *sync, pl_member_id_t to)
{
	pl_config_handover_t handover = { .failed_calls =
						  sync->watch.failures };
	GByteArray *body = g_byte_array_new();
	pl_ms_t now = pl_sync_now(sync);

	for (guint i = 0; i < sync->watchers.failures->len; i++) {
		const failure_t *failure = at_(sync, i);

		handover.failures[handover.count++] = (pl_config_failure_t){
			.member = failure->member,
			.age_ms = now - failure->at,
		};
	}
	pl_config_encode_handover(&handover, body);
	pl_sync_send(sync, to, PL_PEER_CONFIG_HANDOVER, body);
	g_byte_array_free(body, TRUE);
}

void pl_sync_watch_hand_over(pl_config_sync_t *sync)
{
	rank_t first[HANDOVER_PEERS];
	size_t count;

	if (!sync->watch.is_watcher)
		return;
	record_(sync, sync->self, pl_sync_now(sync));
	if (pl_sync_is_watcher(sync))
		return;
	count = first_members_(sync, first);
	pl_event(PL_EVENT_CONFIG_HANDOVER, "%u calls failed; told %zu members",
		 sync->watch.failures, count);
	for (size_t i = 0; i < count; i++)
		send_handover_(sync, first[i].member);
	pl_sync_watch_evaluate(sync, 0);
}

void pl_sync_watch_succeeded(pl_config_sync_t *sync)
{
	const failure_t *own = find_(sync, sync->self);

	if (!own)
		return;
	g_array_remove_index_fast(sync->watchers.failures,
				  (guint)(own - at_(sync, 0)));
	arm_timer_(sync);
}

void pl_sync_watchers_peer_up(pl_config_sync_t *sync, const peer_t *peer)
{
	if (peer->datacentre == sync->datacentre && find_(sync, sync->self))
		send_handover_(sync, peer->id);
}

pl_result_t pl_sync_handle_handover(pl_config_sync_t *sync,
				    const pl_peer_frame_t *frame)
{
	pl_config_handover_t handover;
	pl_ms_t now = pl_sync_now(sync);
	pl_result_t result = pl_config_decode_handover(
		frame->body, frame->body_len, &handover);

	if (result != PL_OK)
		return result;
	for (size_t i = 0; i < handover.count; i++) {
		const pl_config_failure_t *failure = &handover.failures[i];

		if (failure->member != sync->self && failure->age_ms < now)
			record_(sync, failure->member, now - failure->age_ms);
	}
	pl_sync_watch_evaluate(
		sync, (unsigned int)MIN(handover.failed_calls, UINT8_MAX));
	return PL_OK;
}
