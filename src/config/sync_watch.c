/**
 * @file
 * Watch of the platform, and the documents received.
 */
#include "private/sync_private.h"

#include <pimentolift/envelope.h>
#include <pimentolift/event.h>

/** Delay from a membership change to the selection of watchers. */
#define EVALUATE_DELAY_MS 500
/** Shortest time between the starts of two watches. */
#define WATCH_INTERVAL_MS 100
/** First delay after a failed watch; doubled after each further failure, also
 * by members that take over, so that an outage causes no more calls. */
#define WATCH_DELAY_MS 250
/** Longest delay after a failed watch. */
#define WATCH_DELAY_MAX_MS 3000
/** Failed calls in a row after which another member takes over; a waiting watch
 * alone may be cut at any time. */
#define HANDOVER_FAILURES 2
/** Longest delay of the read after a restore of the platform, so that the
 * watchers do not all read at once. */
#define RESTORED_READ_MS 100
/** Doublings after which the delay exceeds its maximum. */
#define WATCH_DOUBLINGS_MAX 4

static void on_evaluate_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now);
static void on_retry_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now);

void pl_sync_watch_init(pl_config_sync_t *sync)
{
	pl_timer_init(&sync->watch.evaluate, on_evaluate_timer_, sync);
	pl_timer_init(&sync->watch.retry, on_retry_timer_, sync);
}

void pl_sync_watch_finish(pl_config_sync_t *sync)
{
	pl_timer_cancel(sync->timers, &sync->watch.evaluate);
	pl_timer_cancel(sync->timers, &sync->watch.retry);
	if (sync->watch.open)
		sync->ops->unwatch(sync->ctx);
}

static void log_watch_(const pl_config_sync_t *sync)
{
	const pl_kv_position_t *position = &sync->watch.position;

	if (position->index == 0) {
		pl_event(PL_EVENT_CONFIG_WATCH, "reads the present value");
		return;
	}
	pl_event(PL_EVENT_CONFIG_WATCH,
		 "changes after index %" G_GUINT64_FORMAT
		 " of generation %" G_GUINT64_FORMAT,
		 position->index, position->generation);
}

static void open_watch_(pl_config_sync_t *sync)
{
	sync->watch.open = true;
	sync->watch.opened_at = pl_sync_now(sync);
	sync->ops->watch(sync->ctx, sync->watch.position);
}

/* Delay after the failed call @p number in a row, from 0 on. */
static pl_ms_t failure_delay_(pl_config_sync_t *sync, unsigned int number)
{
	pl_ms_t delay = (pl_ms_t)WATCH_DELAY_MS
			<< MIN(number, WATCH_DOUBLINGS_MAX);

	return pl_sync_jitter(sync, MIN(delay, WATCH_DELAY_MAX_MS));
}

static void start_watching_(pl_config_sync_t *sync, unsigned int failed_calls)
{
	if (failed_calls == 0) {
		log_watch_(sync);
		open_watch_(sync);
		return;
	}
	sync->watch.failures = failed_calls;
	pl_timer_arm(sync->timers, &sync->watch.retry,
		     pl_sync_now(sync) +
			     failure_delay_(sync, failed_calls - 1));
}

void pl_sync_watch_evaluate(pl_config_sync_t *sync, unsigned int failed_calls)
{
	watch_t *watch = &sync->watch;
	bool is_watcher = sync->phase == PHASE_RUNNING &&
			  !sync->params.replica_only &&
			  pl_sync_is_watcher(sync);

	if (is_watcher == watch->is_watcher)
		return;
	watch->is_watcher = is_watcher;
	watch->position = (pl_kv_position_t){ 0 };
	if (is_watcher) {
		start_watching_(sync, failed_calls);
		return;
	}
	pl_timer_cancel(sync->timers, &watch->retry);
	if (watch->open)
		sync->ops->unwatch(sync->ctx);
	watch->open = false;
}

static void on_evaluate_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	(void)timer;
	(void)now;
	pl_sync_watch_evaluate(ctx, 0);
}

void pl_sync_watch_evaluate_soon(pl_config_sync_t *sync)
{
	if (sync->phase == PHASE_RUNNING &&
	    !pl_timer_armed(&sync->watch.evaluate))
		pl_timer_arm(sync->timers, &sync->watch.evaluate,
			     pl_sync_now(sync) + EVALUATE_DELAY_MS);
}

static void on_retry_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_config_sync_t *sync = ctx;

	(void)timer;
	(void)now;
	if (!sync->watch.is_watcher || sync->watch.open)
		return;
	if (sync->watch.failures > 0)
		log_watch_(sync);
	open_watch_(sync);
}

/* Delay until the next watch after a failed one. */
static pl_ms_t note_failure_(pl_config_sync_t *sync)
{
	/* The platform may return from an older copy, with fewer changes than
	 * before: the next call reads the present value. */
	sync->watch.position = (pl_kv_position_t){ 0 };
	return failure_delay_(sync, sync->watch.failures++);
}

/* Delay until the next watch after a successful one. */
static pl_ms_t success_delay_(pl_config_sync_t *sync, pl_kv_position_t position)
{
	watch_t *watch = &sync->watch;
	pl_ms_t earliest = watch->opened_at + WATCH_INTERVAL_MS;
	pl_ms_t now = pl_sync_now(sync);

	watch->failures = 0;
	pl_sync_watch_succeeded(sync);
	/* the index decreased: the store was reset, so start from 0 */
	if (position.index < watch->position.index)
		position.index = 0;
	watch->position = position;
	return earliest > now ? earliest - now : 0;
}

/* Reports an invalid document once per revision. */
static void report_invalid_(pl_config_sync_t *sync, uint64_t revision,
			    const char *reason)
{
	if (sync->watch.reported_revision == revision)
		return;
	sync->watch.reported_revision = revision;
	pl_event(PL_EVENT_CONFIG_REFUSED,
		 "revision %" G_GUINT64_FORMAT
		 " of the platform is invalid: %s; revision %" G_GUINT64_FORMAT
		 " stays in force",
		 revision, reason, pl_config_sync_revision(sync));
}

static pl_document_t *parse_envelope_(pl_config_sync_t *sync,
				      const pl_envelope_t *envelope)
{
	pl_problems_t *problems = pl_problems_new("document");
	pl_document_t *document = NULL;

	if (pl_document_parse(envelope->text, envelope->text_len,
			      envelope->revision, &document, problems) != PL_OK)
		report_invalid_(sync, envelope->revision,
				pl_problems_at(problems, 0));
	pl_problems_delete(problems);
	return document;
}

/* Decodes a reply with the owner's decoder; NULL if it is invalid or not newer
 * than the document in force. */
static pl_document_t *decode_reply_(pl_config_sync_t *sync,
				    const pl_kv_reply_t *reply)
{
	uint64_t held = pl_config_sync_revision(sync);
	pl_document_t *document = NULL;
	pl_error_t err = PL_ERROR_INIT;
	uint64_t revision;

	if (sync->ops->decode(sync->ctx, reply->value, reply->value_len,
			      &document, &err) != PL_OK) {
		report_invalid_(sync, reply->modify_index, err.text);
		return NULL;
	}
	revision = pl_document_revision(document);
	if (revision > held)
		return document;
	if (revision < held)
		pl_sync_log_older(sync, "the platform", revision);
	pl_document_put(document);
	return NULL;
}

pl_document_t *pl_sync_reply_document(pl_config_sync_t *sync,
				      const pl_kv_reply_t *reply)
{
	uint64_t held = pl_config_sync_revision(sync);
	pl_document_t *document = NULL;
	pl_error_t err = PL_ERROR_INIT;
	pl_envelope_t envelope;

	if (reply->result != PL_OK)
		return NULL;
	if (sync->ops->decode)
		return decode_reply_(sync, reply);
	if (pl_envelope_decode(reply->value, reply->value_len, &envelope,
			       &err) != PL_OK) {
		report_invalid_(sync, reply->modify_index, err.text);
		return NULL;
	}
	if (envelope.revision < held)
		pl_sync_log_older(sync, "the platform", envelope.revision);
	else if (envelope.revision > held)
		document = parse_envelope_(sync, &envelope);
	pl_envelope_finish(&envelope);
	return document;
}

void pl_config_sync_read_done(pl_config_sync_t *sync,
			      const pl_kv_reply_t *reply)
{
	pl_document_t *document = pl_sync_reply_document(sync, reply);

	pl_sync_start_read_done(sync, document);
	pl_document_put(document);
}

void pl_config_sync_watch_done(pl_config_sync_t *sync,
			       const pl_kv_reply_t *reply)
{
	pl_document_t *document;
	pl_ms_t delay;

	sync->watch.open = false;
	if (reply->result == PL_OK || reply->result == PL_ERR_NOT_FOUND)
		delay = success_delay_(sync, reply->position);
	else
		delay = note_failure_(sync);
	document = pl_sync_reply_document(sync, reply);
	if (document)
		pl_sync_put_in_force(sync, document);
	pl_document_put(document);
	/* a call that timed out took longer than several that were refused */
	if (sync->watch.failures >= HANDOVER_FAILURES ||
	    reply->result == PL_ERR_TIMEOUT)
		pl_sync_watch_hand_over(sync);
	if (sync->watch.is_watcher)
		pl_timer_arm(sync->timers, &sync->watch.retry,
			     pl_sync_now(sync) + delay);
}

void pl_config_sync_store_restored(pl_config_sync_t *sync, uint64_t generation)
{
	watch_t *watch = &sync->watch;

	/* the platform assigns the revisions of lost documents again */
	watch->reported_revision = 0;
	if (!watch->is_watcher || watch->position.generation == generation)
		return;
	if (watch->open)
		sync->ops->unwatch(sync->ctx);
	watch->open = false;
	watch->position = (pl_kv_position_t){ 0 };
	pl_timer_arm(sync->timers, &watch->retry,
		     pl_sync_now(sync) +
			     pl_sync_random(sync, RESTORED_READ_MS));
}
