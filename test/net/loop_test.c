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

typedef struct {
	pl_loop_t *loop;
	unsigned int run;
} probe_t;

static void count_(void *ctx)
{
	probe_t *probe = ctx;

	if (++probe->run == THREADS * POSTS)
		pl_loop_stop(probe->loop);
}

static void *post_many_(void *ctx)
{
	probe_t *probe = ctx;

	for (int i = 0; i < POSTS; i++)
		pl_loop_post(probe->loop, count_, probe);
	return NULL;
}

static void posts_of_other_threads_all_run(void **state)
{
	probe_t probe = { .loop = pl_loop_new(NULL) };
	pthread_t threads[THREADS];

	(void)state;
	for (int i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, post_many_, &probe);
	pl_loop_run(probe.loop);
	for (int i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
	assert_int_equal(probe.run, THREADS * POSTS);
	pl_loop_delete(probe.loop);
}

typedef struct {
	pl_loop_t *loop;
	pl_loop_watch_t *watches[2];
	unsigned int calls;
} pair_t;

/* Both descriptors are ready in one turn; the first ends both watches. */
static void end_both_(void *ctx, uint32_t events)
{
	pair_t *pair = ctx;

	(void)events;
	pair->calls++;
	pl_loop_unwatch(pair->loop, pair->watches[0]);
	pl_loop_unwatch(pair->loop, pair->watches[1]);
	pl_loop_stop(pair->loop);
}

static void ended_watch_is_not_called(void **state)
{
	pair_t pair = { .loop = pl_loop_new(NULL) };
	int fds[2][2];

	(void)state;
	for (int i = 0; i < 2; i++) {
		assert_int_equal(pipe(fds[i]), 0);
		assert_int_equal(write(fds[i][1], "x", 1), 1);
		pair.watches[i] = pl_loop_watch(pair.loop, fds[i][0], EPOLLIN,
						end_both_, &pair);
	}
	pl_loop_run(pair.loop);
	assert_int_equal(pair.calls, 1);
	pl_loop_delete(pair.loop);
	for (int i = 0; i < 2; i++) {
		close(fds[i][0]);
		close(fds[i][1]);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(posts_of_other_threads_all_run),
		cmocka_unit_test(ended_watch_is_not_called),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
