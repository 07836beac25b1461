/** @file Probes a local listener with a TCP connection. */
#include <pimentolift/listener_watch.h>

#include <errno.h>
#include <glib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/** Time from the first refusal to the attempt that confirms it. */
#define REFUSAL_CONFIRM_MS 20
/** Consecutive refusals after which the listener counts as down. */
#define REFUSALS_UNTIL_DOWN 2
/** Interval between connection attempts while the listener is down. */
#define DOWN_RETRY_MS 200
/** Delay after a short-lived connection or a failed attempt. */
#define RETRY_MS 1000
/** A connection that was open for less than this time is short-lived. */
#define SHORT_LIVED_MS 1000
/** The local kernel answers at once unless the listener's backlog is full. */
#define CONNECT_TIMEOUT_MS 1000

struct pl_listener_watch {
	pl_loop_t *loop;
	pl_addr_t addr;
	pl_listener_down_t down;
	void *ctx;
	int fd; /* -1 between connections */
	pl_loop_watch_t *watch;
	pl_timer_t timer; /* next attempt, or time limit of connect() */
	bool connected;
	pl_ms_t connected_at;
	unsigned int refusals;
};

static pl_ms_t now_(const pl_listener_watch_t *watch)
{
	return pl_timer_service_now(pl_loop_timers(watch->loop));
}

static void arm_timer_(pl_listener_watch_t *watch, pl_ms_t delay)
{
	pl_timer_arm(pl_loop_timers(watch->loop), &watch->timer,
		     now_(watch) + delay);
}

static void close_connection_(pl_listener_watch_t *watch)
{
	if (watch->fd < 0)
		return;
	pl_loop_unwatch(watch->loop, watch->watch);
	close(watch->fd);
	watch->fd = -1;
	watch->connected = false;
}

static void on_refused_(pl_listener_watch_t *watch)
{
	close_connection_(watch);
	watch->refusals++;
	arm_timer_(watch, watch->refusals < REFUSALS_UNTIL_DOWN ?
				  REFUSAL_CONFIRM_MS :
				  DOWN_RETRY_MS);
	if (watch->refusals >= REFUSALS_UNTIL_DOWN)
		watch->down(watch->ctx);
}

static void on_connected_(pl_listener_watch_t *watch)
{
	watch->connected = true;
	watch->connected_at = now_(watch);
	watch->refusals = 0;
	pl_timer_cancel(pl_loop_timers(watch->loop), &watch->timer);
	pl_loop_watch_events(watch->loop, watch->watch, EPOLLIN | EPOLLRDHUP);
}

/* Handles the result of connect(), 0 or an errno value. */
static void on_connect_result_(pl_listener_watch_t *watch, int error)
{
	if (error == 0) {
		on_connected_(watch);
	} else if (error == ECONNREFUSED || error == ECONNRESET) {
		on_refused_(watch);
	} else {
		close_connection_(watch);
		arm_timer_(watch, RETRY_MS);
	}
}

static void on_ready_(void *ctx, uint32_t events)
{
	pl_listener_watch_t *watch = ctx;
	socklen_t len = sizeof(int);
	char discarded[64];
	int error = 0;
	bool short_lived;

	if (!watch->connected) {
		getsockopt(watch->fd, SOL_SOCKET, SO_ERROR, &error, &len);
		on_connect_result_(watch, error);
		return;
	}
	/* no request was sent, so received bytes are discarded */
	if (!(events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) &&
	    read(watch->fd, discarded, sizeof(discarded)) > 0)
		return;
	short_lived = now_(watch) - watch->connected_at < SHORT_LIVED_MS;
	close_connection_(watch);
	arm_timer_(watch, short_lived ? RETRY_MS : 0);
}

static void start_connect_(pl_listener_watch_t *watch)
{
	struct sockaddr_storage storage;
	socklen_t len = pl_addr_to_sockaddr(&watch->addr, &storage);

	watch->fd = socket(storage.ss_family,
			   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (watch->fd < 0) {
		arm_timer_(watch, RETRY_MS);
		return;
	}
	watch->watch = pl_loop_watch(watch->loop, watch->fd, EPOLLOUT,
				     on_ready_, watch);
	arm_timer_(watch, CONNECT_TIMEOUT_MS);
	if (connect(watch->fd, (struct sockaddr *)&storage, len) == 0)
		on_connected_(watch);
	else if (errno != EINPROGRESS)
		on_connect_result_(watch, errno);
}

static void on_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_listener_watch_t *watch = ctx;

	(void)timer;
	(void)now;
	close_connection_(watch);
	start_connect_(watch);
}

pl_listener_watch_t *pl_listener_watch_new(pl_loop_t *loop,
					   const pl_addr_t *addr,
					   pl_listener_down_t down, void *ctx)
{
	pl_listener_watch_t *watch = g_new0(pl_listener_watch_t, 1);

	watch->loop = loop;
	watch->addr = *addr;
	watch->down = down;
	watch->ctx = ctx;
	watch->fd = -1;
	pl_timer_init(&watch->timer, on_timer_, watch);
	arm_timer_(watch, 0);
	return watch;
}

void pl_listener_watch_delete(pl_listener_watch_t *watch)
{
	if (!watch)
		return;
	pl_timer_cancel(pl_loop_timers(watch->loop), &watch->timer);
	close_connection_(watch);
	g_free(watch);
}
