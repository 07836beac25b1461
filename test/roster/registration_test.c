#include <kv_fake.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/registration.h>

#define SERVICE 7
#define AGENT 0x0a0000011b58U
#define STEP_MS 10
#define SPREAD_MS 1000

typedef struct {
	kv_fake_t *store;
	pl_timer_service_t *timers;
	pl_ms_t now;
	pl_registration_t *registration;
	char *key;
	unsigned int done;
	unsigned int delegated; /* requests to other members */
} fixture_t;

static uint64_t random_(void)
{
	return 12345;
}

static void on_delegate_(void *ctx)
{
	fixture_t *f = ctx;

	f->delegated++;
}

static void on_generation_(void *ctx, uint64_t generation, uint64_t before)
{
	fixture_t *f = ctx;

	(void)before;
	pl_registration_store_restored(f->registration, generation, SPREAD_MS);
}

static int set_up_(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	f->store = kv_fake_new();
	f->now = 1;
	f->timers = pl_timer_service_new(f->now);
	f->registration = pl_registration_new(&(pl_registration_params_t){
		.environment = "trial",
		.service = SERVICE,
		.agent = AGENT,
		.name = "agent-1",
		.kv = &f->store->kv,
		.timers = f->timers,
		.random = random_,
		.delegate = on_delegate_,
		.delegate_ctx = f,
	});
	pl_kv_on_generation(&f->store->kv, on_generation_, f);
	f->key = pl_roster_key("trial", SERVICE, AGENT);
	*state = f;
	return 0;
}

static int tear_down_(void **state)
{
	fixture_t *f = *state;

	pl_registration_delete(f->registration);
	pl_timer_service_delete(f->timers);
	kv_fake_delete(f->store);
	g_free(f->key);
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

static void on_done_(void *ctx)
{
	fixture_t *f = ctx;

	f->done++;
}

static void ignore_(void *ctx, const pl_kv_reply_t *reply)
{
	(void)ctx;
	(void)reply;
}

static void register_(fixture_t *f)
{
	pl_registration_register(f->registration, on_done_, f);
	run_(f, 100);
	assert_int_equal(f->done, 1);
	assert_true(kv_fake_has(f->store, f->key));
}

/* The agent reports that it may serve although the store is unavailable, and
 * its entry is written once the store is back. */
static void
registration_without_the_store_times_out_and_is_retried(void **state)
{
	fixture_t *f = *state;

	f->store->down = true;
	pl_registration_register(f->registration, on_done_, f);
	run_(f, 2100);
	assert_int_equal(f->done, 1);
	f->store->down = false;
	run_(f, 15000);
	assert_true(kv_fake_has(f->store, f->key));
}

/* Guards against an agent that the store refuses and that served without an
 * entry: while it was restarted nothing named it, and its flows were reset. */
static void refused_agent_is_registered_by_another_member(void **state)
{
	fixture_t *f = *state;
	unsigned int started;

	f->store->down = true;
	pl_registration_register(f->registration, on_done_, f);
	run_(f, 1000);
	/* one request after each failed write */
	assert_int_equal(f->delegated, f->store->started);
	assert_true(f->delegated >= 2);
	assert_int_equal(f->done, 0);
	pl_registration_delegate_wrote(f->registration, 1);
	assert_int_equal(f->done, 1);
	started = f->store->started;
	run_(f, 60000);
	assert_int_equal(f->store->started, started);
	assert_int_equal(f->done, 1);
}

/* The answer arrives after the agent has deregistered. */
static void late_registration_by_another_member_changes_nothing(void **state)
{
	fixture_t *f = *state;

	f->store->down = true;
	pl_registration_register(f->registration, on_done_, f);
	run_(f, 300);
	pl_registration_deregister(f->registration);
	pl_registration_delegate_wrote(f->registration, 1);
	assert_int_equal(f->done, 0);
	assert_true(pl_registration_is_deregistering(f->registration));
	f->store->down = false;
	run_(f, 15000);
	assert_false(kv_fake_has(f->store, f->key));
	assert_false(pl_registration_is_deregistering(f->registration));
}

/* A roster without the agent lets entries reset flows of its server. */
static void entry_lost_in_a_restore_is_written_again(void **state)
{
	fixture_t *f = *state;

	kv_fake_copy(f->store);
	register_(f);
	kv_fake_restore(f->store);
	assert_false(kv_fake_has(f->store, f->key));
	/* the agent learns of it from another member */
	pl_kv_note_generation(&f->store->kv, 2);
	run_(f, SPREAD_MS + 100);
	assert_true(kv_fake_has(f->store, f->key));
}

/* The restore takes place while the write of the entry is on its way. */
static void entry_lost_while_it_is_written_is_written_again(void **state)
{
	fixture_t *f = *state;

	kv_fake_copy(f->store);
	pl_registration_register(f->registration, on_done_, f);
	pl_timer_service_advance(f->timers, f->now += STEP_MS);
	pl_kv_note_generation(&f->store->kv, 2);
	/* executed by the old generation, then lost */
	pl_kv_poll(&f->store->kv);
	kv_fake_restore(f->store);
	run_(f, SPREAD_MS + 1000);
	assert_true(kv_fake_has(f->store, f->key));
}

/* An entry of an agent that no longer owns flows holds up proofs. */
static void entry_that_a_restore_brings_back_is_removed_again(void **state)
{
	fixture_t *f = *state;

	register_(f);
	kv_fake_copy(f->store);
	pl_registration_deregister(f->registration);
	run_(f, 100);
	assert_false(kv_fake_has(f->store, f->key));
	kv_fake_restore(f->store);
	assert_true(kv_fake_has(f->store, f->key));
	pl_kv_note_generation(&f->store->kv, 2);
	run_(f, SPREAD_MS + 100);
	assert_false(kv_fake_has(f->store, f->key));
	assert_false(pl_registration_is_deregistering(f->registration));
}

/* The entry was read for removal before the restore, and has another index
 * after it. */
static void removal_across_a_restore_reads_the_entry_again(void **state)
{
	fixture_t *f = *state;

	register_(f);
	kv_fake_copy(f->store);
	kv_fake_write_others(f->store, 3);
	pl_kv_put(&f->store->kv,
		  &(pl_kv_write_t){ .key = f->key,
				    .value = "",
				    .expected_index = PL_KV_ANY },
		  ignore_, NULL);
	pl_kv_poll(&f->store->kv);
	pl_registration_deregister(f->registration);
	pl_timer_service_advance(f->timers, f->now += STEP_MS);
	pl_kv_poll(&f->store->kv); /* read; the removal is on its way */
	kv_fake_restore(f->store);
	run_(f, SPREAD_MS + 1000);
	assert_false(kv_fake_has(f->store, f->key));
	assert_false(pl_registration_is_deregistering(f->registration));
}

/* Guards against an entry that is left behind: the store was away when the agent
 * stopped, and the pause before the next attempt was longer than the agent waits
 * for its removal. */
static void entry_is_removed_soon_after_the_store_is_back(void **state)
{
	fixture_t *f = *state;

	register_(f);
	f->store->down = true;
	pl_registration_deregister(f->registration);
	run_(f, 2500);
	assert_true(kv_fake_has(f->store, f->key));
	f->store->down = false;
	run_(f, 500);
	assert_false(kv_fake_has(f->store, f->key));
	assert_false(pl_registration_is_deregistering(f->registration));
}

/* Guards against a store that is called three times a second by each agent whose
 * server is gone. */
static void removals_from_a_dead_store_become_rare(void **state)
{
	fixture_t *f = *state;
	unsigned int calls;

	register_(f);
	f->store->down = true;
	pl_registration_deregister(f->registration);
	run_(f, 10000);
	calls = f->store->started;
	run_(f, 60000);
	assert_in_range(f->store->started - calls, 1, 15);
}

int main(void)
{
#define TEST_(name) cmocka_unit_test_setup_teardown(name, set_up_, tear_down_)
	const struct CMUnitTest tests[] = {
		TEST_(registration_without_the_store_times_out_and_is_retried),
		TEST_(entry_is_removed_soon_after_the_store_is_back),
		TEST_(removals_from_a_dead_store_become_rare),
		TEST_(refused_agent_is_registered_by_another_member),
		TEST_(late_registration_by_another_member_changes_nothing),
		TEST_(entry_lost_in_a_restore_is_written_again),
		TEST_(entry_lost_while_it_is_written_is_written_again),
		TEST_(entry_that_a_restore_brings_back_is_removed_again),
		TEST_(removal_across_a_restore_reads_the_entry_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
