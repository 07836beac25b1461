#include <kv_fake.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/registration.h>
#include <pimentolift/roster_reader.h>

#define SERVICE 7
#define AGENT_A 0x0a0000011b58U
#define AGENT_B 0x0a0000021b58U
#define STEP_MS 10
#define REGISTRATION_MS 2000
/** Time after which a generation is confirmed: registration and a retry. */
#define CONFIRMED_MS (REGISTRATION_MS + 1100)

typedef struct {
	kv_fake_t *store;
	pl_timer_service_t *timers;
	pl_ms_t now;
	pl_roster_reader_t *reader;
	unsigned int results;
	bool known;
	size_t count;
} fixture_t;

static void on_entry_(void *ctx, pl_service_id_t service, pl_member_id_t agent,
		      uint64_t modify_index)
{
	(void)ctx;
	(void)service;
	(void)agent;
	assert_true(modify_index > 0);
}

static void on_read_(void *ctx, bool known, const pl_member_id_t *agents,
		     size_t count)
{
	fixture_t *f = ctx;

	(void)agents;
	f->results++;
	f->known = known;
	f->count = count;
}

static pl_ms_t registration_ms_(void *ctx)
{
	(void)ctx;
	return REGISTRATION_MS;
}

static uint64_t random_(void *ctx)
{
	(void)ctx;
	return 12345;
}

static const pl_roster_reader_ops_t ops_ = { on_entry_, on_read_,
					     registration_ms_, random_ };

static void on_generation_(void *ctx, uint64_t generation, uint64_t before)
{
	fixture_t *f = ctx;

	(void)generation;
	(void)before;
	pl_roster_reader_generation_changed(f->reader);
}

/* Starts the reader as a new process, which knows nothing of the store. */
static void start_reader_(fixture_t *f)
{
	pl_roster_reader_delete(f->reader);
	f->store->kv.generation = 0;
	f->reader = pl_roster_reader_new("trial", &f->store->kv, &ops_, f,
					 f->timers);
	pl_kv_on_generation(&f->store->kv, on_generation_, f);
}

static int set_up_(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->store = kv_fake_new();
	f->now = 1;
	f->timers = pl_timer_service_new(f->now);
	start_reader_(f);
	*state = f;
	return 0;
}

static int tear_down_(void **state)
{
	fixture_t *f = *state;

	pl_roster_reader_delete(f->reader);
	pl_timer_service_delete(f->timers);
	kv_fake_delete(f->store);
	g_free(f);
	return 0;
}

static void run_(fixture_t *f, pl_ms_t duration)
{
	for (pl_ms_t end = f->now + duration; f->now < end;) {
		f->now += STEP_MS;
		pl_timer_service_advance(f->timers, f->now);
		pl_kv_poll(&f->store->kv);
	}
}

static void register_agent_of_(fixture_t *f, pl_service_id_t service,
			       pl_member_id_t agent)
{
	char *key = pl_roster_key("trial", service, agent);

	kv_fake_put(f->store, key, "");
	g_free(key);
}

static void register_agent_(fixture_t *f, pl_member_id_t agent)
{
	register_agent_of_(f, SERVICE, agent);
}

static bool read_(fixture_t *f)
{
	unsigned int before = f->results;

	pl_roster_reader_read(f->reader);
	for (int i = 0; i < 10 && f->results == before; i++)
		pl_kv_poll(&f->store->kv);
	assert_int_equal(f->results, before + 1);
	return f->known;
}

static void confirm_(fixture_t *f)
{
	read_(f);
	run_(f, CONFIRMED_MS);
}

/* A roster that lacks an agent lets entries reset flows of its server. */
static void
roster_is_unknown_until_agents_registered_after_a_restore(void **state)
{
	fixture_t *f = *state;

	register_agent_(f, AGENT_A);
	confirm_(f);
	kv_fake_copy(f->store);
	register_agent_(f, AGENT_B);
	assert_true(read_(f));
	assert_int_equal(f->count, 2);
	kv_fake_restore(f->store);
	assert_false(read_(f));
	run_(f, REGISTRATION_MS - 100);
	assert_false(read_(f));
	register_agent_(f, AGENT_B);
	run_(f, CONFIRMED_MS);
	assert_true(read_(f));
	assert_int_equal(f->count, 2);
}

/* All members restart right after the restore, so that nobody remembers the
 * generation before it. */
static void
restarted_reader_does_not_use_a_roster_of_a_restored_store(void **state)
{
	fixture_t *f = *state;

	register_agent_(f, AGENT_A);
	confirm_(f);
	kv_fake_copy(f->store);
	register_agent_(f, AGENT_B);
	kv_fake_restore(f->store);
	start_reader_(f);
	assert_false(read_(f));
	register_agent_(f, AGENT_B);
	run_(f, CONFIRMED_MS);
	assert_true(read_(f));
	assert_int_equal(f->count, 2);
}

/* After a power loss the first dead flows wait for the first roster. */
static void restarted_reader_uses_a_confirmed_generation_at_once(void **state)
{
	fixture_t *f = *state;

	register_agent_(f, AGENT_A);
	confirm_(f);
	start_reader_(f);
	assert_true(read_(f));
	assert_int_equal(f->count, 1);
}

static void roster_whose_pages_span_a_restore_is_unknown(void **state)
{
	fixture_t *f = *state;

	register_agent_(f, AGENT_A);
	register_agent_(f, AGENT_B);
	confirm_(f);
	kv_fake_copy(f->store);
	f->store->page = 1;
	pl_roster_reader_read(f->reader);
	pl_kv_poll(&f->store->kv);
	kv_fake_restore(f->store);
	f->results = 0;
	for (int i = 0; i < 10 && f->results == 0; i++)
		pl_kv_poll(&f->store->kv);
	assert_int_equal(f->results, 1);
	assert_false(f->known);
}

static void failed_read_is_unknown(void **state)
{
	fixture_t *f = *state;

	register_agent_(f, AGENT_A);
	f->store->down = true;
	assert_false(read_(f));
	f->store->down = false;
	confirm_(f);
	f->store->down = true;
	assert_false(read_(f));
}

static void outage_causes_few_attempts_to_confirm(void **state)
{
	fixture_t *f = *state;

	f->store->down = true;
	/* another member reports the generation */
	pl_kv_note_generation(&f->store->kv, 1);
	run_(f, 60000);
	assert_in_range(f->store->started, 1, 12);
	f->store->down = false;
	run_(f, 10000);
	assert_true(read_(f));
}

/* Generation 0: the store states none, so a restore cannot be noticed. */
static void roster_of_a_store_without_generations_is_used(void **state)
{
	fixture_t *f = *state;

	unsigned int calls;

	f->store->generation = 0;
	register_agent_(f, AGENT_A);
	assert_true(read_(f));
	assert_int_equal(f->count, 1);
	/* no further call for a confirmation */
	calls = f->store->started;
	assert_true(read_(f));
	assert_int_equal(f->store->started, calls + 1);
	/* the store is upgraded */
	f->store->generation = 1;
	assert_false(read_(f));
	run_(f, CONFIRMED_MS);
	assert_true(read_(f));
}

/* A flow may have been opened at any service. */
static void roster_spans_all_services(void **state)
{
	fixture_t *f = *state;

	register_agent_(f, AGENT_A);
	register_agent_of_(f, SERVICE + 1, AGENT_B);
	confirm_(f);
	assert_true(read_(f));
	assert_int_equal(f->count, 2);
}

/* Guards against a key of another writer that made every read of the roster
 * fail, so that flows of ended servers were not reset. */
static void keys_of_other_writers_name_no_agent(void **state)
{
#define SERVICE_KEY "0000000000000007/"
	static const char *const names[] = { "!",
					     "10.0.0.1:7000",
					     "7/10.0.0.1:7000",
					     "000000000000000G/10.0.0.1:7000",
					     SERVICE_KEY,
					     SERVICE_KEY "x",
					     SERVICE_KEY "10.0.0.1",
					     SERVICE_KEY "10.0.0.1:",
					     SERVICE_KEY "10.0.0.1:0",
					     SERVICE_KEY "10.0.0.1: 7000",
					     SERVICE_KEY "10.0.0.1:+7000",
					     SERVICE_KEY "10.0.0.1:07000",
					     SERVICE_KEY "10.0.0.1:70000",
					     SERVICE_KEY "[::1]:7000",
					     SERVICE_KEY "10.0.0.1:7000/x",
					     "~" };
	fixture_t *f = *state;
	char *prefix = pl_roster_prefix("trial");

	register_agent_(f, AGENT_A);
	register_agent_(f, AGENT_B);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *key = g_strconcat(prefix, names[i], NULL);

		kv_fake_put(f->store, key, "");
		g_free(key);
	}
	g_free(prefix);
	confirm_(f);
	assert_true(read_(f));
	assert_int_equal(f->count, 2);
	f->store->page = 4;
	assert_true(read_(f));
	assert_int_equal(f->count, 2);
}

/* The first page holds no agent; the store is restored before the second. */
static void restore_after_a_page_without_agents_is_noticed(void **state)
{
	fixture_t *f = *state;
	char *prefix = pl_roster_prefix("trial");
	char *key = g_strconcat(prefix, "!", NULL);

	kv_fake_put(f->store, key, "");
	register_agent_(f, AGENT_A);
	confirm_(f);
	kv_fake_copy(f->store);
	f->store->page = 1;
	f->results = 0;
	pl_roster_reader_read(f->reader);
	pl_kv_poll(&f->store->kv);
	kv_fake_restore(f->store);
	for (int i = 0; i < 10 && f->results == 0; i++)
		pl_kv_poll(&f->store->kv);
	assert_int_equal(f->results, 1);
	assert_false(f->known);
	g_free(key);
	g_free(prefix);
}

/* A confirmation that is not exactly a generation confirms nothing. */
static void malformed_confirmation_confirms_nothing(void **state)
{
	fixture_t *f = *state;

	register_agent_(f, AGENT_A);
	kv_fake_put(f->store, "pimentolift/trial/roster-generation", "1x");
	assert_false(read_(f));
	run_(f, CONFIRMED_MS);
	assert_true(read_(f));
}

int main(void)
{
#define TEST_(name) cmocka_unit_test_setup_teardown(name, set_up_, tear_down_)
	const struct CMUnitTest tests[] = {
		TEST_(roster_is_unknown_until_agents_registered_after_a_restore),
		TEST_(restarted_reader_does_not_use_a_roster_of_a_restored_store),
		TEST_(restarted_reader_uses_a_confirmed_generation_at_once),
		TEST_(roster_whose_pages_span_a_restore_is_unknown),
		TEST_(failed_read_is_unknown),
		TEST_(outage_causes_few_attempts_to_confirm),
		TEST_(roster_of_a_store_without_generations_is_used),
		TEST_(roster_spans_all_services),
		TEST_(keys_of_other_writers_name_no_agent),
		TEST_(restore_after_a_page_without_agents_is_noticed),
		TEST_(malformed_confirmation_confirms_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
