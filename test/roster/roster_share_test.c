#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/roster_codec.h>
#include <pimentolift/roster_share.h>
#include <string.h>

#define ENTRIES 18
#define STORE_MS 4
#define FRAME_MS 1
#define MUTATIONS 20000

typedef struct fleet fleet_t;

/* An entry, with the results of its requests. */
typedef struct {
	fleet_t *fleet;
	pl_member_id_t id;
	pl_roster_share_t *share;
	bool up;
	bool ignores_frames;
	bool refused_by_store; /* the store refuses its reads */
	pl_ms_t requested_at; /* time of its last request */
	unsigned int answers;
	unsigned int unknown; /* answers without a roster */
	unsigned int reads;
	unsigned int reads_in_progress;
	/* longest time by which a read preceded its request */
	pl_ms_t max_read_lead;
	pl_ms_t max_answer_time; /* longest time from a request to its answer */
} entry_t;

/* A scheduled event: the arrival of a frame or the end of a read. */
typedef struct {
	pl_timer_t timer;
	pl_list_t link;
	fleet_t *fleet;
	int to;
	pl_peer_frame_t frame; /* type 0: end of a read */
	bool known; /* of a read: it succeeded */
	bool failed; /* of a frame: it was not delivered */
} event_t;

struct fleet {
	pl_timer_service_t *timers;
	pl_ms_t now;
	pl_ms_t frame_ms;
	entry_t entries[ENTRIES];
	pl_list_t events;
};

static int index_of_(pl_member_id_t id)
{
	return (int)id - 1;
}

static void on_event_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	event_t *event = ctx;
	entry_t *to = &event->fleet->entries[event->to];
	/* the second agent identity holds the time of the read */
	const pl_member_id_t agents[] = { 5, now - STORE_MS };

	(void)timer;
	pl_list_remove(&event->link);
	if (event->frame.type == 0) {
		to->reads_in_progress--;
		pl_roster_share_read_done(to->share, event->known, agents,
					  event->known ? 2 : 0);
	} else if (event->failed) {
		pl_roster_share_frame_failed(to->share, &event->frame);
	} else if (to->up && !to->ignores_frames) {
		pl_roster_share_frame(to->share, &event->frame);
	}
	g_free((void *)event->frame.body);
	g_free(event);
}

static event_t *schedule_event_(fleet_t *fleet, int to, pl_ms_t delay)
{
	event_t *event = g_new0(event_t, 1);

	event->fleet = fleet;
	event->to = to;
	pl_timer_init(&event->timer, on_event_, event);
	pl_timer_arm(fleet->timers, &event->timer, fleet->now + delay);
	pl_list_append(&fleet->events, &event->link);
	return event;
}

static void send_(void *ctx, const pl_peer_frame_t *frame)
{
	entry_t *from = ctx;
	bool up = from->fleet->entries[index_of_(frame->peer)].up;
	event_t *event = schedule_event_(from->fleet,
					 index_of_(up ? frame->peer : from->id),
					 from->fleet->frame_ms);

	event->frame = *frame;
	event->frame.peer = up ? from->id : frame->peer;
	event->frame.body = g_memdup2(frame->body, frame->body_len);
	event->failed = !up;
}

static void read_(void *ctx)
{
	entry_t *entry = ctx;
	event_t *event =
		schedule_event_(entry->fleet, index_of_(entry->id), STORE_MS);

	assert_int_equal(entry->reads_in_progress, 0);
	entry->reads++;
	entry->reads_in_progress++;
	event->known = !entry->refused_by_store;
}

static void answer_(void *ctx, bool known, const pl_member_id_t *agents,
		    size_t count)
{
	entry_t *entry = ctx;

	entry->answers++;
	entry->unknown += !known;
	entry->max_answer_time = MAX(entry->max_answer_time,
				     entry->fleet->now - entry->requested_at);
	if (!known)
		return;
	assert_int_equal(count, 2);
	if (agents[1] < entry->requested_at)
		entry->max_read_lead = MAX(entry->max_read_lead,
					   entry->requested_at - agents[1]);
}

static const pl_roster_share_ops_t ops_ = { send_, read_, answer_ };

static fleet_t *fleet_new_(void)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->now = 1000;
	fleet->frame_ms = FRAME_MS;
	fleet->timers = pl_timer_service_new(fleet->now);
	pl_list_init(&fleet->events);
	for (int i = 0; i < ENTRIES; i++) {
		entry_t *entry = &fleet->entries[i];

		*entry = (entry_t){ .fleet = fleet, .id = 1 + (uint64_t)i };
		entry->up = true;
		entry->share = pl_roster_share_new(entry->id, &ops_, entry,
						   fleet->timers);
		for (int k = 0; k < ENTRIES; k++)
			pl_roster_share_peer_up(entry->share, 1 + (uint64_t)k);
	}
	return fleet;
}

static void fleet_delete_(fleet_t *fleet)
{
	for (int i = 0; i < ENTRIES; i++)
		pl_roster_share_delete(fleet->entries[i].share);
	pl_list_for_each_safe(link, &fleet->events) {
		event_t *event = PL_CONTAINER_OF(link, event_t, link);

		pl_timer_cancel(fleet->timers, &event->timer);
		g_free((void *)event->frame.body);
		g_free(event);
	}
	pl_timer_service_delete(fleet->timers);
	g_free(fleet);
}

static void run_(fleet_t *fleet, pl_ms_t ms)
{
	for (pl_ms_t until = fleet->now + ms; fleet->now < until;) {
		fleet->now++;
		pl_timer_service_advance(fleet->timers, fleet->now);
	}
}

static void request_roster_(entry_t *entry)
{
	entry->requested_at = entry->fleet->now;
	pl_roster_share_request(entry->share);
}

/* All entries make requests as after a power failure: each makes the next one
 * once the last was answered, at most one every 60 ms. */
static void request_repeatedly_(fleet_t *fleet, pl_ms_t ms)
{
	unsigned int requests[ENTRIES] = { 0 };

	for (pl_ms_t until = fleet->now + ms; fleet->now < until;) {
		for (int i = 0; i < ENTRIES; i++) {
			entry_t *entry = &fleet->entries[i];

			if (entry->up && requests[i] == entry->answers &&
			    fleet->now - entry->requested_at >= 60) {
				requests[i]++;
				request_roster_(entry);
			}
		}
		run_(fleet, 1);
	}
	run_(fleet, 1000);
}

static unsigned int count_reads_(const fleet_t *fleet)
{
	unsigned int reads = 0;

	for (int i = 0; i < ENTRIES; i++)
		reads += fleet->entries[i].reads;
	return reads;
}

/* The only entry that has read the roster, or -1. */
static int find_only_reader_(const fleet_t *fleet)
{
	int reader = -1;

	for (int i = 0; i < ENTRIES; i++) {
		if (fleet->entries[i].reads == 0)
			continue;
		if (reader >= 0)
			return -1;
		reader = i;
	}
	return reader;
}

static void one_entry_reads_for_all(void **state)
{
	fleet_t *fleet = fleet_new_();

	(void)state;
	request_repeatedly_(fleet, 10000);
	assert_true(find_only_reader_(fleet) >= 0);
	/* one read in 100 ms, independent of the number of entries */
	assert_in_range(count_reads_(fleet), 50, 102);
	for (int i = 0; i < ENTRIES; i++) {
		assert_int_equal(fleet->entries[i].unknown, 0);
		assert_true(fleet->entries[i].answers >= 50);
		assert_true(fleet->entries[i].max_answer_time <= 120);
	}
	fleet_delete_(fleet);
}

/* Guards against answers from reads that began before the request: the proof
 * that a flow is dead relies on a later read. */
static void no_answer_was_read_before_its_request(void **state)
{
	fleet_t *fleet = fleet_new_();

	(void)state;
	for (pl_ms_t frame_ms = 1; frame_ms <= 400; frame_ms += 133) {
		fleet->frame_ms = frame_ms;
		request_repeatedly_(fleet, 5000);
	}
	for (int i = 0; i < ENTRIES; i++)
		assert_int_equal(fleet->entries[i].max_read_lead, 0);
	fleet_delete_(fleet);
}

static void unreachable_or_unresponsive_reader_is_skipped(void **state)
{
	(void)state;
	for (int ignores_frames = 0; ignores_frames <= 1; ignores_frames++) {
		fleet_t *fleet = fleet_new_();
		int reader;

		request_repeatedly_(fleet, 500);
		reader = find_only_reader_(fleet);
		fleet->entries[reader].up = ignores_frames;
		fleet->entries[reader].ignores_frames = ignores_frames;
		request_repeatedly_(fleet, 5000);
		for (int i = 0; i < ENTRIES; i++) {
			if (i == reader)
				continue;
			assert_int_equal(fleet->entries[i].unknown, 0);
			assert_true(fleet->entries[i].max_answer_time <= 400);
			assert_int_equal(fleet->entries[i].max_read_lead, 0);
		}
		fleet_delete_(fleet);
	}
}

/* The store refuses one reader and serves the others. */
static void reader_refused_by_store_is_skipped(void **state)
{
	fleet_t *fleet = fleet_new_();
	int reader;

	(void)state;
	request_repeatedly_(fleet, 500);
	reader = find_only_reader_(fleet);
	fleet->entries[reader].refused_by_store = true;
	request_repeatedly_(fleet, 5000);
	for (int i = 0; i < ENTRIES; i++) {
		const entry_t *entry = &fleet->entries[i];

		if (i != reader)
			assert_true(entry->unknown * 5 < entry->answers);
	}
	fleet_delete_(fleet);
}

/* While the store is down, entries make few reads and each request is still
 * answered. */
static void store_outage_causes_few_reads(void **state)
{
	fleet_t *fleet = fleet_new_();

	(void)state;
	for (int i = 0; i < ENTRIES; i++)
		fleet->entries[i].refused_by_store = true;
	for (int round = 0; round < 20; round++) {
		for (int i = 0; i < ENTRIES; i++)
			request_roster_(&fleet->entries[i]);
		run_(fleet, 250);
		for (int i = 0; i < ENTRIES; i++)
			assert_int_equal(fleet->entries[i].unknown, round + 1);
	}
	/* 18 entries make 20 requests each within 5 s */
	assert_in_range(count_reads_(fleet), 10, 20 * ENTRIES / 4);
	fleet_delete_(fleet);
}

static void requests_to_register_are_decoded(void **state)
{
	const pl_roster_register_t request = { 7, UINT64_MAX, "agent-1" };
	pl_roster_register_t decoded;
	GByteArray *body = g_byte_array_new();
	uint32_t sequence;
	uint64_t generation;

	(void)state;
	pl_roster_encode_register(&request, body);
	assert_int_equal(
		pl_roster_decode_register(body->data, body->len, &decoded),
		PL_OK);
	assert_int_equal(decoded.sequence, 7);
	assert_true(decoded.service == UINT64_MAX);
	assert_string_equal(decoded.name, "agent-1");
	assert_int_equal(
		pl_roster_decode_register(body->data, body->len - 1, &decoded),
		PL_ERR_MALFORMED);
	g_byte_array_set_size(body, 0);
	pl_roster_encode_registered(7, 3, body);
	assert_int_equal(pl_roster_decode_registered(body->data, body->len,
						     &sequence, &generation),
			 PL_OK);
	assert_int_equal(sequence, 7);
	assert_int_equal(generation, 3);
	g_byte_array_free(body, TRUE);
}

/* A frame with a changed byte is rejected or decoded as another valid message;
 * there is no memory error. */
static void mutated_frames_are_decoded_safely(void **state)
{
	fleet_t *fleet = fleet_new_();
	GByteArray *body = g_byte_array_new();
	GRand *random = g_rand_new_with_seed(7);
	const pl_member_id_t agents[] = { 1, UINT64_MAX, 99 };

	(void)state;
	pl_roster_encode_response(3, true, agents, 3, body);
	for (int i = 0; i < MUTATIONS; i++) {
		GArray *out = g_array_new(FALSE, FALSE, sizeof(pl_member_id_t));
		g_autofree uint8_t *bytes = g_memdup2(body->data, body->len);
		size_t len = (size_t)g_rand_int_range(random, 0,
						      (gint)body->len + 1);
		pl_roster_register_t registration;
		uint32_t sequence;
		uint64_t generation;
		bool known;

		bytes[g_rand_int_range(random, 0, (gint)body->len)] =
			(uint8_t)g_rand_int(random);
		pl_roster_decode_response(bytes, len, &sequence, &known, out);
		pl_roster_decode_request(bytes, len, &sequence);
		pl_roster_decode_register(bytes, len, &registration);
		pl_roster_decode_registered(bytes, len, &sequence, &generation);
		g_array_free(out, TRUE);
	}
	g_rand_free(random);
	g_byte_array_free(body, TRUE);
	fleet_delete_(fleet);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_entry_reads_for_all),
		cmocka_unit_test(no_answer_was_read_before_its_request),
		cmocka_unit_test(unreachable_or_unresponsive_reader_is_skipped),
		cmocka_unit_test(reader_refused_by_store_is_skipped),
		cmocka_unit_test(store_outage_causes_few_reads),
		cmocka_unit_test(requests_to_register_are_decoded),
		cmocka_unit_test(mutated_frames_are_decoded_safely),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
