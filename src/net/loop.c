/**
 * @file
 * Event loop on epoll and eventfd.
 */
#include <pimentolift/loop.h>

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

/** Largest number of events per epoll_wait(). */
#define EVENTS_MAX 64
/** Longest wait, so that the loop makes at least four turns per second. */
#define WAIT_MAX_MS 200

struct pl_loop_watch {
	pl_list_t removed_link;
	int fd;
	pl_loop_ready_t ready;
	void *ctx;
	bool removed;
};

typedef struct {
	pl_list_t link;
	pl_loop_callback_t callback;
	void *ctx;
} post_t;

struct pl_loop {
	int epoll_fd;
	int wake_fd;
	atomic_bool stopping;
	pl_timer_service_t *timers;
	pl_loop_watch_t *wake_watch;
	pl_list_t removed;
	pl_loop_turn_t turn;
	void *turn_ctx;
	pl_loop_callback_t idle;
	void *idle_ctx;
	pthread_mutex_t lock;
	pl_list_t posts;
};

pl_ms_t pl_loop_clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (pl_ms_t)now.tv_sec * 1000 + (pl_ms_t)now.tv_nsec / 1000000;
}

static void run_posts_(pl_loop_t *loop)
{
	pl_list_t batch;

	pl_list_init(&batch);
	pthread_mutex_lock(&loop->lock);
	pl_list_for_each_safe(node, &loop->posts) {
		pl_list_remove(node);
		pl_list_append(&batch, node);
	}
	pthread_mutex_unlock(&loop->lock);
	pl_list_for_each_safe(node, &batch) {
		post_t *post = PL_CONTAINER_OF(node, post_t, link);

		pl_list_remove(node);
		post->callback(post->ctx);
		g_free(post);
	}
}

static void on_wake_(void *ctx, uint32_t events)
{
	pl_loop_t *loop = ctx;
	uint64_t value;

	while (read(loop->wake_fd, &value, sizeof(value)) > 0)
		;
}

static void wake_up_(pl_loop_t *loop)
{
	const uint64_t one = 1;

	/* a write to a full counter fails, but the loop then wakes up anyway */
	if (write(loop->wake_fd, &one, sizeof(one)) < 0)
		return;
}

pl_loop_t *pl_loop_new(pl_error_t *err)
{
	pl_loop_t *loop = g_new0(pl_loop_t, 1);

	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (loop->epoll_fd < 0 || loop->wake_fd < 0) {
		pl_error_set(err, PL_ERR_IO, "cannot create event loop: %s",
			     strerror(errno));
		g_free(loop);
		return NULL;
	}
	loop->timers = pl_timer_service_new(pl_loop_clock_ms());
	pthread_mutex_init(&loop->lock, NULL);
	pl_list_init(&loop->posts);
	pl_list_init(&loop->removed);
	loop->wake_watch =
		pl_loop_watch(loop, loop->wake_fd, EPOLLIN, on_wake_, loop);
	return loop;
}

static void free_removed_watches_(pl_loop_t *loop)
{
	pl_list_for_each_safe(node, &loop->removed) {
		pl_list_remove(node);
		g_free(PL_CONTAINER_OF(node, pl_loop_watch_t, removed_link));
	}
}

void pl_loop_delete(pl_loop_t *loop)
{
	if (!loop)
		return;
	run_posts_(loop);
	pl_loop_unwatch(loop, loop->wake_watch);
	free_removed_watches_(loop);
	pl_timer_service_delete(loop->timers);
	pthread_mutex_destroy(&loop->lock);
	close(loop->wake_fd);
	close(loop->epoll_fd);
	g_free(loop);
}

/* Time until the next timer is due, at most WAIT_MAX_MS. */
static int wait_time_ms_(const pl_loop_t *loop)
{
	pl_ms_t now = pl_loop_clock_ms();
	pl_ms_t next = pl_timer_service_next(loop->timers, now + WAIT_MAX_MS);

	return next > now ? (int)(next - now) : 0;
}

void pl_loop_run(pl_loop_t *loop)
{
	struct epoll_event events[EVENTS_MAX];

	while (!atomic_load(&loop->stopping)) {
		int count = epoll_wait(loop->epoll_fd, events, EVENTS_MAX,
				       wait_time_ms_(loop));

		pl_ms_t now = pl_loop_clock_ms();

		if (loop->turn)
			loop->turn(loop->turn_ctx, now);
		pl_timer_service_advance(loop->timers, now);
		for (int i = 0; i < count; i++) {
			pl_loop_watch_t *watch = events[i].data.ptr;

			if (!watch->removed)
				watch->ready(watch->ctx, events[i].events);
		}
		run_posts_(loop);
		free_removed_watches_(loop);
		if (loop->idle)
			loop->idle(loop->idle_ctx);
	}
}

void pl_loop_stop(pl_loop_t *loop)
{
	atomic_store(&loop->stopping, true);
	wake_up_(loop);
}

pl_timer_service_t *pl_loop_timers(pl_loop_t *loop)
{
	return loop->timers;
}

void pl_loop_on_turn(pl_loop_t *loop, pl_loop_turn_t turn, void *ctx)
{
	loop->turn = turn;
	loop->turn_ctx = ctx;
}

void pl_loop_on_idle(pl_loop_t *loop, pl_loop_callback_t idle, void *ctx)
{
	loop->idle = idle;
	loop->idle_ctx = ctx;
}

pl_loop_watch_t *pl_loop_watch(pl_loop_t *loop, int fd, uint32_t events,
			       pl_loop_ready_t ready, void *ctx)
{
	pl_loop_watch_t *watch = g_new0(pl_loop_watch_t, 1);
	struct epoll_event event = { .events = events, .data.ptr = watch };

	assert(ready);
	watch->fd = fd;
	watch->ready = ready;
	watch->ctx = ctx;
	pl_list_init(&watch->removed_link);
	if (epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
		g_error("epoll_ctl(EPOLL_CTL_ADD) failed: %s", strerror(errno));
	return watch;
}

void pl_loop_watch_events(pl_loop_t *loop, pl_loop_watch_t *watch,
			  uint32_t events)
{
	struct epoll_event event = { .events = events, .data.ptr = watch };

	epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, watch->fd, &event);
}

void pl_loop_unwatch(pl_loop_t *loop, pl_loop_watch_t *watch)
{
	if (!watch || watch->removed)
		return;
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
	watch->removed = true;
	pl_list_append(&loop->removed, &watch->removed_link);
}

void pl_loop_post(pl_loop_t *loop, pl_loop_callback_t callback, void *ctx)
{
	post_t *post = g_new0(post_t, 1);

	post->callback = callback;
	post->ctx = ctx;
	pl_list_init(&post->link);
	pthread_mutex_lock(&loop->lock);
	pl_list_append(&loop->posts, &post->link);
	pthread_mutex_unlock(&loop->lock);
	wake_up_(loop);
}
