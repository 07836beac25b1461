#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/publish.h>
#include <platform/platform.h>
#include <pimentolift/seeds.h>
#include <kv_fake.h>
#include <store.h>
#include <string.h>

/** Long enough for an answer on a busy machine; one test waits for it to pass. */
#define TIMEOUT_MS 3000
#define WRITERS 6

typedef struct {
	pl_store_t *store;
	pl_kv_t *platform;
	char url[64];
	pl_stored_document_t stored;
	pl_error_t err;
} fixture_t;

static int set_up_(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->store = pl_store_new(0);
	assert_non_null(f->store);
	g_snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%u",
		   pl_store_port(f->store));
	f->platform = pl_platform_store_new(f->url, TIMEOUT_MS);
	*state = f;
	return 0;
}

static int tear_down_(void **state)
{
	fixture_t *f = *state;

	pl_stored_document_finish(&f->stored);
	pl_kv_delete(f->platform);
	pl_store_delete(f->store);
	g_free(f);
	return 0;
}

static pl_result_t apply_document_(fixture_t *f, const char *text,
				   uint64_t expect)
{
	const pl_publish_params_t publish = {
		.environment = "trial",
		.author = "test",
		.text = text,
		.text_len = strlen(text),
		.expect = expect,
		.timeout_ms = 1500,
	};

	pl_stored_document_finish(&f->stored);
	return pl_publish_apply(f->platform, &publish, &f->stored, &f->err);
}

static uint64_t count_writes_(fixture_t *f)
{
	pl_store_stats_t stats;

	pl_store_stats(f->store, &stats);
	return stats.writes;
}

static pl_result_t read_document_(fixture_t *f)
{
	pl_stored_document_finish(&f->stored);
	return pl_publish_read(f->platform, "trial", &f->stored, &f->err);
}

static void revisions_count_up(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(read_document_(f), PL_ERR_NOT_FOUND);
	assert_int_equal(apply_document_(f, "one", PL_PUBLISH_ANY_REVISION),
			 PL_OK);
	assert_int_equal(f->stored.envelope.revision, 1);
	assert_int_equal(apply_document_(f, "two", 1), PL_OK);
	assert_int_equal(f->stored.envelope.revision, 2);
	/* the same text again creates no revision */
	assert_int_equal(apply_document_(f, "two", PL_PUBLISH_ANY_REVISION),
			 PL_OK);
	assert_int_equal(f->stored.envelope.revision, 2);
	assert_int_equal(count_writes_(f), 2);
	assert_int_equal(apply_document_(f, "three", 1), PL_ERR_CONFLICT);
	assert_string_equal(f->stored.envelope.text, "two");
	assert_int_equal(read_document_(f), PL_OK);
	assert_int_equal(f->stored.envelope.history_count, 1);
}

static void lost_response_is_resolved_by_reading_back(void **state)
{
	fixture_t *f = *state;

	assert_int_equal(apply_document_(f, "one", PL_PUBLISH_ANY_REVISION),
			 PL_OK);
	pl_store_command(f->store, "lose-answers 1");
	assert_int_equal(apply_document_(f, "two", PL_PUBLISH_ANY_REVISION),
			 PL_OK);
	assert_int_equal(f->stored.envelope.revision, 2);
	assert_int_equal(read_document_(f), PL_OK);
	assert_int_equal(f->stored.envelope.revision, 2);
	assert_string_equal(f->stored.envelope.text, "two");
	/* the write was sent once */
	assert_int_equal(count_writes_(f), 2);
}

static void lost_write_is_sent_again(void **state)
{
	fixture_t *f = *state;

	pl_store_command(f->store, "lose-writes 2");
	assert_int_equal(apply_document_(f, "one", PL_PUBLISH_ANY_REVISION),
			 PL_OK);
	assert_int_equal(read_document_(f), PL_OK);
	assert_int_equal(f->stored.envelope.revision, 1);
	assert_int_equal(count_writes_(f), 3);
}

static void on_written_(void *ctx, const pl_kv_reply_t *reply)
{
	*(pl_result_t *)ctx = reply->result;
}

/* Writes @p envelope directly, as another operator would. */
static void write_other_(fixture_t *f, const pl_envelope_t *envelope,
			 uint64_t replaces)
{
	char *json = pl_envelope_encode(envelope);
	pl_result_t result = PL_ERR_INTERNAL;

	pl_kv_put(f->platform,
		  &(pl_kv_write_t){ .key = "pimentolift/trial/document",
				    .value = json,
				    .value_len = strlen(json),
				    .expected_index = replaces },
		  on_written_, &result);
	while (pl_kv_pending(f->platform) > 0)
		pl_kv_wait(f->platform, 100);
	assert_int_equal(result, PL_OK);
	g_free(json);
}

static void own_write_is_found_after_a_later_one(void **state)
{
	fixture_t *f = *state;
	pl_envelope_t next;
	char own[PL_OPERATION_TEXT_MAX];

	assert_int_equal(apply_document_(f, "one", PL_PUBLISH_ANY_REVISION),
			 PL_OK);
	g_strlcpy(own, f->stored.envelope.operation, sizeof(own));
	assert_int_equal(read_document_(f), PL_OK);
	pl_envelope_init(&next, &f->stored.envelope, "other", "two", 3);
	write_other_(f, &next, f->stored.modify_index);
	pl_envelope_finish(&next);
	assert_int_equal(read_document_(f), PL_OK);
	assert_string_equal(f->stored.envelope.author, "other");
	assert_true(pl_envelope_includes(&f->stored.envelope, own));
	assert_false(pl_envelope_includes(&f->stored.envelope, "another"));
}

static void outage_is_reported_as_unavailable_or_timeout(void **state)
{
	fixture_t *f = *state;

	pl_store_command(f->store, "down");
	assert_int_equal(apply_document_(f, "one", PL_PUBLISH_ANY_REVISION),
			 PL_ERR_UNAVAILABLE);
	pl_store_command(f->store, "up");
	assert_int_equal(apply_document_(f, "one", PL_PUBLISH_ANY_REVISION),
			 PL_OK);
	pl_store_command(f->store, "slow 60000");
	assert_int_equal(apply_document_(f, "two", PL_PUBLISH_ANY_REVISION),
			 PL_ERR_TIMEOUT);
	pl_store_command(f->store, "up");
	/* the store answers slowly, but in time */
	pl_store_command(f->store, "slow 100");
	assert_int_equal(apply_document_(f, "two", 1), PL_OK);
}

static void outage_after_the_write_is_an_unknown_outcome(void **state)
{
	fixture_t *f = *state;

	pl_store_command(f->store, "down-after-write");
	assert_int_equal(apply_document_(f, "one", PL_PUBLISH_ANY_REVISION),
			 PL_ERR_UNKNOWN_OUTCOME);
	assert_non_null(strstr(f->err.text, "operation"));
	pl_store_command(f->store, "up");
	assert_int_equal(read_document_(f), PL_OK);
	assert_non_null(strstr(f->err.text, f->stored.envelope.operation));
}

typedef struct {
	fixture_t *f;
	int number;
	unsigned int written;
	unsigned int conflicts;
} writer_t;

/* Applies a series of documents. */
static gpointer write_many_(gpointer data)
{
	writer_t *writer = data;
	pl_kv_t *platform =
		pl_platform_store_new(writer->f->url, TIMEOUT_MS * 20);

	for (int i = 0; i < 15; i++) {
		char text[32];
		pl_publish_params_t publish = {
			.environment = "trial",
			.author = "test",
			.text = text,
			.expect = PL_PUBLISH_ANY_REVISION,
		};
		pl_stored_document_t stored;
		pl_result_t result;

		g_snprintf(text, sizeof(text), "%d-%d", writer->number, i);
		publish.text_len = strlen(text);
		result = pl_publish_apply(platform, &publish, &stored, NULL);
		if (result == PL_OK)
			writer->written++;
		else if (result == PL_ERR_CONFLICT)
			writer->conflicts++;
		pl_stored_document_finish(&stored);
	}
	pl_kv_delete(platform);
	return NULL;
}

static void concurrent_operators_lose_no_revision(void **state)
{
	fixture_t *f = *state;
	writer_t writers[WRITERS];
	GThread *threads[WRITERS];
	unsigned int written = 0;
	unsigned int conflicts = 0;

	/* some responses are lost as well */
	pl_store_command(f->store, "lose-answers 5");
	for (int i = 0; i < WRITERS; i++) {
		writers[i] = (writer_t){ .f = f, .number = i };
		threads[i] = g_thread_new("writer", write_many_, &writers[i]);
	}
	for (int i = 0; i < WRITERS; i++) {
		g_thread_join(threads[i]);
		written += writers[i].written;
		conflicts += writers[i].conflicts;
	}
	assert_int_equal(written + conflicts, WRITERS * 15);
	assert_int_equal(read_document_(f), PL_OK);
	/* each write reported as successful created one revision */
	assert_int_equal(f->stored.envelope.revision, written);
}

/* Members keep the highest revision in force. A document written after a restore
 * of the store got the revision of a lost one, and no member put it in force. */
static void revision_after_a_restore_exceeds_lost_ones(void **state)
{
	fixture_t *f = *state;
	uint64_t lost;

	assert_int_equal(apply_document_(f, "one", 0), PL_OK);
	assert_true(pl_store_command(f->store, "copy"));
	assert_int_equal(apply_document_(f, "two", 1), PL_OK);
	assert_int_equal(apply_document_(f, "three", 2), PL_OK);
	lost = f->stored.envelope.revision;
	assert_true(pl_store_command(f->store, "restore"));
	/* also the document that the store has: members hold a later one */
	assert_int_equal(apply_document_(f, "one", 1), PL_OK);
	assert_true(f->stored.envelope.revision > lost);
	lost = f->stored.envelope.revision;
	assert_int_equal(apply_document_(f, "four", lost), PL_OK);
	assert_int_equal(f->stored.envelope.revision, lost + 1);
}

/* A restore of the store and the write of another operator, between two calls of
 * pl_publish_apply(). */
typedef struct {
	kv_fake_t *store;
	unsigned int calls;
	unsigned int before_call;
	char *other;
} interruption_t;

static void restore_before_call_(void *ctx)
{
	interruption_t *interruption = ctx;

	if (++interruption->calls != interruption->before_call)
		return;
	kv_fake_restore(interruption->store);
	kv_fake_put(interruption->store, "pimentolift/trial/document",
		    interruption->other);
}

static char *encode_document_(const char *text)
{
	pl_envelope_t envelope;
	char *value;

	pl_envelope_init(&envelope, NULL, "other", text, strlen(text));
	value = pl_envelope_encode(&envelope);
	pl_envelope_finish(&envelope);
	return value;
}

/* Writes a document while the store is restored before the call @p before_call;
 * the answers to @p lost writes are lost. */
static pl_result_t apply_across_a_restore_(unsigned int before_call,
					   unsigned int lost)
{
	kv_fake_t *store = kv_fake_new();
	interruption_t interruption = { .store = store,
					.before_call = before_call,
					.other = encode_document_("other") };
	const pl_publish_params_t publish = {
		.environment = "trial",
		.author = "test",
		.text = "two",
		.text_len = 3,
		.expect = PL_PUBLISH_ANY_REVISION,
	};
	char *first = encode_document_("one");
	pl_stored_document_t stored;
	pl_error_t err = PL_ERROR_INIT;
	pl_result_t result;

	kv_fake_copy(store);
	kv_fake_put(store, "pimentolift/trial/document", first);
	store->lose_answers = lost;
	store->before_wait = restore_before_call_;
	store->wait_ctx = &interruption;
	result = pl_publish_apply(&store->kv, &publish, &stored, &err);
	assert_true(interruption.calls >= before_call);
	pl_stored_document_finish(&stored);
	g_free(first);
	g_free(interruption.other);
	kv_fake_delete(store);
	return result;
}

/* After the restore the document of another operator has the index of the one
 * that was read. A write whose answer was lost was sent again over it. */
static void write_across_a_restore_replaces_no_other_document(void **state)
{
	(void)state;
	/* the calls: read, write, read back */
	assert_int_equal(apply_across_a_restore_(3, 1), PL_ERR_CONFLICT);
}

/* The restore between read and write cannot be excluded by the condition of the
 * write; the operator is told. */
static void write_after_a_restore_reports_what_it_replaced(void **state)
{
	(void)state;
	assert_int_equal(apply_across_a_restore_(2, 0), PL_ERR_UNKNOWN_OUTCOME);
}

static void revision_exceeds_the_given_minimum(void **state)
{
	fixture_t *f = *state;
	pl_publish_params_t publish = {
		.environment = "trial",
		.author = "test",
		.text = "one",
		.text_len = 3,
		.expect = 0,
		.above = 41,
	};

	assert_int_equal(
		pl_publish_apply(f->platform, &publish, &f->stored, &f->err),
		PL_OK);
	assert_int_equal(f->stored.envelope.revision, 42);
}

static void store_result_(void *ctx, pl_result_t result)
{
	*(pl_result_t *)ctx = result;
}

static pl_result_t read_seeds_(fixture_t *f, pl_seeds_t *seeds)
{
	pl_result_t result = PL_ERR_INTERNAL;

	pl_seeds_read(f->platform, "trial", seeds, store_result_, &result);
	while (pl_kv_pending(f->platform) > 0)
		pl_kv_wait(f->platform, 100);
	return result;
}

static pl_result_t write_seeds_(fixture_t *f, pl_seeds_t *seeds)
{
	pl_result_t result = PL_ERR_INTERNAL;

	pl_seeds_write(f->platform, "trial", seeds, store_result_, &result);
	while (pl_kv_pending(f->platform) > 0)
		pl_kv_wait(f->platform, 100);
	return result;
}

static void seeds_are_rewritten_only_when_most_are_stale(void **state)
{
	fixture_t *f = *state;
	pl_addr_t alive[20];
	pl_seeds_t seeds;
	pl_seeds_t other;

	for (int i = 0; i < 20; i++) {
		char text[PL_ADDR_TEXT_MAX];

		g_snprintf(text, sizeof(text), "10.0.0.%d:7946", i + 1);
		assert_int_equal(pl_addr_parse(text, &alive[i], NULL), PL_OK);
	}
	assert_int_equal(read_seeds_(f, &seeds), PL_ERR_NOT_FOUND);
	assert_int_equal(seeds.count, 0);
	other = seeds;
	assert_true(pl_seeds_refresh(&seeds, alive, 20));
	assert_int_equal(seeds.count, PL_SEEDS_MAX);
	assert_int_equal(write_seeds_(f, &seeds), PL_OK);
	/* of two concurrent writers one succeeds */
	assert_true(pl_seeds_add(&other, &alive[3], 0));
	assert_int_equal(write_seeds_(f, &other), PL_ERR_CONFLICT);
	assert_int_equal(read_seeds_(f, &seeds), PL_OK);
	assert_int_equal(seeds.count, PL_SEEDS_MAX);
	assert_true(pl_addr_equal(&seeds.at[15], &alive[15]));
	assert_false(pl_seeds_add(&seeds, &alive[3], 0));
	assert_true(pl_seeds_add(&seeds, &alive[18], 2));
	assert_true(pl_addr_equal(&seeds.at[2], &alive[18]));
	/* half of the entries are still alive: nothing to write */
	assert_false(pl_seeds_refresh(&seeds, alive + 8, 12));
	assert_true(pl_seeds_refresh(&seeds, alive + 16, 4));
	assert_int_equal(seeds.count, 4);
}

int main(void)
{
#define TEST_(name) cmocka_unit_test_setup_teardown(name, set_up_, tear_down_)
	const struct CMUnitTest tests[] = {
		TEST_(revisions_count_up),
		TEST_(lost_response_is_resolved_by_reading_back),
		TEST_(lost_write_is_sent_again),
		TEST_(own_write_is_found_after_a_later_one),
		TEST_(outage_is_reported_as_unavailable_or_timeout),
		TEST_(outage_after_the_write_is_an_unknown_outcome),
		TEST_(concurrent_operators_lose_no_revision),
		TEST_(revision_after_a_restore_exceeds_lost_ones),
		TEST_(write_across_a_restore_replaces_no_other_document),
		TEST_(write_after_a_restore_reports_what_it_replaced),
		TEST_(revision_exceeds_the_given_minimum),
		TEST_(seeds_are_rewritten_only_when_most_are_stale),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
