#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/loop.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <unistd.h>

#define THREADS 4
#define POSTS 5000
/** Far longer than a running loop needs. */
#define WAIT_MS 30000

typedef struct {
	pl_loop_t *loop;
	unsigned int posts_run;
} post_counter_t;

static void count_post_(void *ctx)
{
	post_counter_t *counter = ctx;

	if (++counter->posts_run == THREADS * POSTS)
		pl_loop_stop(counter->loop);
}

static void *post_from_thread_(void *ctx)
{
	post_counter_t *counter = ctx;

	for (int i = 0; i < POSTS; i++)
		pl_loop_post(counter->loop, count_post_, counter);
	return NULL;
}

static void all_posts_from_other_threads_run(void **state)
{
	post_counter_t counter = { .loop = pl_loop_new(NULL) };
	pthread_t threads[THREADS];

	(void)state;
	for (int i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, post_from_thread_, &counter);
	pl_loop_run(counter.loop);
	for (int i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
	assert_int_equal(counter.posts_run, THREADS * POSTS);
	pl_loop_delete(counter.loop);
}

typedef struct {
	pl_loop_t *loop;
	pl_loop_watch_t *watches[2];
	unsigned int calls;
} watch_pair_t;

/* Both descriptors are ready in the same turn; the first callback removes both
 * watches. */
static void remove_both_watches_(void *ctx, uint32_t events)
{
	watch_pair_t *pair = ctx;

	(void)events;
	pair->calls++;
	pl_loop_unwatch(pair->loop, pair->watches[0]);
	pl_loop_unwatch(pair->loop, pair->watches[1]);
	pl_loop_stop(pair->loop);
}

static void removed_watch_is_not_called(void **state)
{
	watch_pair_t pair = { .loop = pl_loop_new(NULL) };
	int fds[2][2];

	(void)state;
	for (int i = 0; i < 2; i++) {
		assert_int_equal(pipe(fds[i]), 0);
		assert_int_equal(write(fds[i][1], "x", 1), 1);
		pair.watches[i] = pl_loop_watch(pair.loop, fds[i][0], EPOLLIN,
						remove_both_watches_, &pair);
	}
	pl_loop_run(pair.loop);
	assert_int_equal(pair.calls, 1);
	pl_loop_delete(pair.loop);
	for (int i = 0; i < 2; i++) {
		close(fds[i][0]);
		close(fds[i][1]);
	}
}

static void *run_loop_(void *ctx)
{
	pl_loop_run(ctx);
	return NULL;
}

static void note_thread_(void *ctx)
{
	*(pthread_t *)ctx = pthread_self();
}

static void call_runs_on_the_loops_thread(void **state)
{
	pl_loop_t *loop = pl_loop_new(NULL);
	pthread_t thread;
	pthread_t ran_on = pthread_self();

	(void)state;
	pthread_create(&thread, NULL, run_loop_, loop);
	assert_true(pl_loop_call(loop, note_thread_, &ran_on, WAIT_MS));
	assert_true(pthread_equal(ran_on, thread));
	pl_loop_stop(loop);
	pthread_join(thread, NULL);
	pl_loop_delete(loop);
}

static void count_call_(void *ctx)
{
	++*(unsigned int *)ctx;
}

static void stop_(void *ctx)
{
	pl_loop_stop(ctx);
}

/* A thread that does not get to the call in time must not run it later: what it
 * would fill in is gone. */
static void call_that_timed_out_never_runs(void **state)
{
	pl_loop_t *loop = pl_loop_new(NULL);
	unsigned int calls = 0;

	(void)state;
	assert_false(pl_loop_call(loop, count_call_, &calls, 1));
	assert_false(pl_loop_call(loop, count_call_, &calls, 0));
	pl_loop_post(loop, stop_, loop);
	pl_loop_run(loop);
	assert_false(pl_loop_call(loop, count_call_, &calls, 0));
	/* deletes the last call with the loop */
	pl_loop_delete(loop);
	assert_int_equal(calls, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(all_posts_from_other_threads_run),
		cmocka_unit_test(removed_watch_is_not_called),
		cmocka_unit_test(call_runs_on_the_loops_thread),
		cmocka_unit_test(call_that_timed_out_never_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
