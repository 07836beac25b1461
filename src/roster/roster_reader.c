/**
 * @file
 * Reads of the roster.
 */
#include <pimentolift/roster_reader.h>

#include <assert.h>
#include <pimentolift/event.h>
#include <pimentolift/registration.h>
#include <string.h>

/** Delay of another attempt to confirm a generation; doubles with each failed
 * one. */
#define CONFIRM_RETRY_MS 500
#define CONFIRM_DOUBLINGS_MAX 4
/** Longest random delay of an attempt, so that one reader writes and the others
 * read. */
#define CONFIRM_JITTER_MS 500

struct pl_roster_reader {
	char *environment;
	char *confirmation_key;
	pl_kv_t *kv;
	const pl_roster_reader_ops_t *ops;
	void *ctx;
	pl_timer_service_t *timers;
	uint64_t confirmed; /* generation of complete rosters; 0: none */
	uint64_t seen; /* generation last seen */
	pl_ms_t seen_at;
	unsigned int confirm_failures;
	bool no_generations; /* the store states none */
	bool confirming; /* a call for the confirmation is in progress */
	pl_timer_t confirm_timer;
};

/* A read in progress; a large roster takes several pages. Every agent that is
 * registered throughout the read is found, whatever changes between pages. */
typedef struct {
	pl_roster_reader_t *reader;
	bool started; /* the first page has arrived */
	uint64_t generation; /* of the first page */
	GArray *agents; /* pl_member_id_t */
} roster_read_t;

static pl_ms_t now_(const pl_roster_reader_t *reader)
{
	return pl_timer_service_now(reader->timers);
}

/* ---- confirmation ---- */

static void schedule_confirmation_(pl_roster_reader_t *reader, pl_ms_t due)
{
	pl_ms_t jitter = reader->ops->random(reader->ctx) % CONFIRM_JITTER_MS;

	pl_timer_arm(reader->timers, &reader->confirm_timer, due + jitter);
}

static void retry_confirmation_(pl_roster_reader_t *reader)
{
	unsigned int doublings =
		MIN(reader->confirm_failures, CONFIRM_DOUBLINGS_MAX);

	reader->confirm_failures++;
	schedule_confirmation_(reader, now_(reader) + ((pl_ms_t)CONFIRM_RETRY_MS
						       << doublings));
}

static void confirm_(pl_roster_reader_t *reader, uint64_t generation)
{
	reader->confirmed = generation;
	reader->confirm_failures = 0;
	pl_timer_cancel(reader->timers, &reader->confirm_timer);
	pl_event(PL_EVENT_ROSTER_CONFIRMED, "generation %" G_GUINT64_FORMAT,
		 generation);
}

/* Notes a generation that the store stated; 0: it states none, and no restore
 * can be noticed. */
static void note_generation_(pl_roster_reader_t *reader, uint64_t generation)
{
	if (generation <= reader->seen)
		return;
	reader->seen = generation;
	reader->seen_at = now_(reader);
	schedule_confirmation_(
		reader,
		reader->seen_at + reader->ops->registration_ms(reader->ctx));
}

static bool names_generation_(const pl_kv_reply_t *reply, uint64_t generation)
{
	char *expected = g_strdup_printf("%" G_GUINT64_FORMAT, generation);
	bool same = reply->value_len == strlen(expected) &&
		    memcmp(reply->value, expected, reply->value_len) == 0;

	g_free(expected);
	return same;
}

/* Whether a reply to a read of the confirmation names the generation in which
 * it was read. */
static bool read_confirmation_(pl_roster_reader_t *reader,
			       const pl_kv_reply_t *reply)
{
	uint64_t generation = reply->position.generation;

	if (reply->result != PL_OK && reply->result != PL_ERR_NOT_FOUND)
		return false;
	note_generation_(reader, generation);
	if (reply->result != PL_OK || generation == 0 ||
	    !names_generation_(reply, generation))
		return false;
	if (reader->confirmed != generation)
		confirm_(reader, generation);
	return true;
}

static void on_confirmed_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_roster_reader_t *reader = ctx;

	reader->confirming = false;
	/* in a conflict another reader was faster; its confirmation is read */
	if (reply->result == PL_OK &&
	    reply->position.generation == reader->seen)
		confirm_(reader, reader->seen);
	else
		retry_confirmation_(reader);
}

static void write_confirmation_(pl_roster_reader_t *reader,
				uint64_t expected_index)
{
	char *value = g_strdup_printf("%" G_GUINT64_FORMAT, reader->seen);

	reader->confirming = true;
	pl_kv_put(reader->kv,
		  &(pl_kv_write_t){ .key = reader->confirmation_key,
				    .value = value,
				    .value_len = strlen(value),
				    .expected_index = expected_index },
		  on_confirmed_, reader);
	g_free(value);
}

static void on_confirmation_read_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_roster_reader_t *reader = ctx;
	pl_ms_t due;

	reader->confirming = false;
	if (read_confirmation_(reader, reply))
		return;
	due = reader->seen_at + reader->ops->registration_ms(reader->ctx);
	if (reply->result != PL_OK && reply->result != PL_ERR_NOT_FOUND)
		retry_confirmation_(reader);
	else if (reply->position.generation == reader->seen &&
		 now_(reader) >= due)
		write_confirmation_(reader, reply->modify_index);
	else
		schedule_confirmation_(reader, due);
}

static void on_confirm_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_roster_reader_t *reader = ctx;

	(void)timer;
	(void)now;
	if (reader->confirming || reader->confirmed == reader->seen)
		return;
	reader->confirming = true;
	pl_kv_get(reader->kv, reader->confirmation_key, on_confirmation_read_,
		  reader);
}

void pl_roster_reader_generation_changed(pl_roster_reader_t *reader)
{
	note_generation_(reader, pl_kv_generation(reader->kv));
}

/* ---- reads ---- */

static void log_unconfirmed_(const pl_roster_reader_t *reader,
			     uint64_t generation)
{
	pl_event(PL_EVENT_ROSTER_UNCONFIRMED,
		 "read in generation %" G_GUINT64_FORMAT
		 ", confirmed is %" G_GUINT64_FORMAT,
		 generation, reader->confirmed);
}

static void log_invalid_(const pl_kv_reply_t *reply, size_t count)
{
	char *first = g_strescape(reply->items[0].key, NULL);

	pl_event(PL_EVENT_ROSTER_INVALID,
		 "%zu of %zu keys from %s on name no agent", count,
		 reply->item_count, first);
	g_free(first);
}

static void finish_read_(roster_read_t *read, bool known)
{
	pl_roster_reader_t *reader = read->reader;

	reader->ops->done(reader->ctx, known,
			  (const pl_member_id_t *)read->agents->data,
			  known ? read->agents->len : 0);
	g_array_free(read->agents, TRUE);
	g_free(read);
}

static void on_page_(void *ctx, const pl_kv_reply_t *reply);

/* Requests the page after the key @p after; NULL: the first page. */
static void request_page_(roster_read_t *read, const char *after)
{
	char *prefix = pl_roster_prefix(read->reader->environment);

	pl_kv_list(read->reader->kv,
		   &(pl_kv_range_t){ .prefix = prefix, .after = after },
		   on_page_, read);
	g_free(prefix);
}

/* Whether a page read in @p generation belongs to a complete roster. */
static bool is_complete_(roster_read_t *read, uint64_t generation)
{
	pl_roster_reader_t *reader = read->reader;

	if (!read->started)
		read->generation = generation;
	read->started = true;
	note_generation_(reader, generation);
	if (read->generation != generation ||
	    (generation != 0 && generation != reader->confirmed)) {
		log_unconfirmed_(reader, generation);
		return false;
	}
	return true;
}

/* Adds the agents of a page. A key that no agent writes names no agent. */
static void add_agents_(roster_read_t *read, const pl_kv_reply_t *reply)
{
	pl_roster_reader_t *reader = read->reader;
	size_t invalid = 0;

	for (size_t i = 0; i < reply->item_count; i++) {
		const pl_kv_item_t *item = &reply->items[i];
		pl_service_id_t service;
		pl_member_id_t agent;

		if (!pl_roster_parse_key(reader->environment, item->key,
					 &service, &agent)) {
			invalid++;
			continue;
		}
		g_array_append_val(read->agents, agent);
		reader->ops->entry(reader->ctx, service, agent,
				   item->modify_index);
	}
	if (invalid > 0)
		log_invalid_(reply, invalid);
}

static void on_page_(void *ctx, const pl_kv_reply_t *reply)
{
	roster_read_t *read = ctx;

	if (reply->result != PL_OK ||
	    !is_complete_(read, reply->position.generation) ||
	    (reply->more && reply->item_count == 0)) {
		finish_read_(read, false);
		return;
	}
	add_agents_(read, reply);
	if (reply->more)
		request_page_(read, reply->items[reply->item_count - 1].key);
	else
		finish_read_(read, true);
}

/* Before the first read in a generation, the reader checks whether another one
 * has confirmed it. */
static void on_confirmation_for_read_(void *ctx, const pl_kv_reply_t *reply)
{
	roster_read_t *read = ctx;
	uint64_t generation = reply->position.generation;

	bool answered =
		reply->result == PL_OK || reply->result == PL_ERR_NOT_FOUND;

	read->reader->no_generations = answered && generation == 0;
	if (read_confirmation_(read->reader, reply) ||
	    read->reader->no_generations) {
		request_page_(read, NULL);
		return;
	}
	if (answered)
		log_unconfirmed_(read->reader, generation);
	finish_read_(read, false);
}

/* Whether a page that is read now belongs to a complete roster, unless the store
 * is restored before. */
static bool is_confirmed_(const pl_roster_reader_t *reader)
{
	return reader->confirmed == pl_kv_generation(reader->kv) &&
	       (reader->confirmed != 0 || reader->no_generations);
}

void pl_roster_reader_read(pl_roster_reader_t *reader)
{
	roster_read_t *read = g_new0(roster_read_t, 1);

	read->reader = reader;
	read->agents = g_array_new(FALSE, FALSE, sizeof(pl_member_id_t));
	if (is_confirmed_(reader))
		request_page_(read, NULL);
	else
		pl_kv_get(reader->kv, reader->confirmation_key,
			  on_confirmation_for_read_, read);
}

pl_roster_reader_t *pl_roster_reader_new(const char *environment, pl_kv_t *kv,
					 const pl_roster_reader_ops_t *ops,
					 void *ctx, pl_timer_service_t *timers)
{
	pl_roster_reader_t *reader = g_new0(pl_roster_reader_t, 1);

	assert(ops->entry && ops->done && ops->registration_ms && ops->random);
	reader->environment = g_strdup(environment);
	reader->confirmation_key = g_strdup_printf(
		"pimentolift/%s/roster-generation", environment);
	reader->kv = kv;
	reader->ops = ops;
	reader->ctx = ctx;
	reader->timers = timers;
	pl_timer_init(&reader->confirm_timer, on_confirm_timer_, reader);
	return reader;
}

void pl_roster_reader_delete(pl_roster_reader_t *reader)
{
	if (!reader)
		return;
	pl_timer_cancel(reader->timers, &reader->confirm_timer);
	g_free(reader->environment);
	g_free(reader->confirmation_key);
	g_free(reader);
}
