/**
 * @file
 * Calls that wait for the thread of an event loop.
 */
#include <pimentolift/loop.h>

#include <glib.h>
#include <pthread.h>
#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

/** A call; freed by the thread that ends with it last. */
typedef struct {
	pthread_mutex_t lock; /**< held while the callback runs */
	pthread_cond_t changed;
	pl_loop_callback_t callback;
	void *ctx;
	bool done;
	bool abandoned; /**< the wait is over; the loop frees the call */
} call_t;

static call_t *call_new_(pl_loop_callback_t callback, void *ctx)
{
	call_t *call = g_new0(call_t, 1);
	pthread_condattr_t attr;

	call->callback = callback;
	call->ctx = ctx;
	pthread_mutex_init(&call->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&call->changed, &attr);
	pthread_condattr_destroy(&attr);
	return call;
}

static void call_free_(call_t *call)
{
	pthread_cond_destroy(&call->changed);
	pthread_mutex_destroy(&call->lock);
	g_free(call);
}

static void run_(void *ctx)
{
	call_t *call = ctx;
	bool abandoned;

	pthread_mutex_lock(&call->lock);
	abandoned = call->abandoned;
	if (!abandoned)
		call->callback(call->ctx);
	call->done = true;
	pthread_cond_signal(&call->changed);
	pthread_mutex_unlock(&call->lock);
	if (abandoned)
		call_free_(call);
}

/* Waits with the lock held; returns false if the time is over. */
static bool await_(call_t *call, pl_ms_t wait_ms)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += (time_t)(wait_ms / MS_PER_S);
	until.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
	until.tv_sec += until.tv_nsec / NS_PER_S;
	until.tv_nsec %= NS_PER_S;
	while (!call->done) {
		if (pthread_cond_timedwait(&call->changed, &call->lock,
					   &until) != 0)
			return call->done;
	}
	return true;
}

bool pl_loop_call(pl_loop_t *loop, pl_loop_callback_t callback, void *ctx,
		  pl_ms_t wait_ms)
{
	call_t *call = call_new_(callback, ctx);
	bool done;

	pl_loop_post(loop, run_, call);
	pthread_mutex_lock(&call->lock);
	done = await_(call, wait_ms);
	call->abandoned = !done;
	pthread_mutex_unlock(&call->lock);
	if (done)
		call_free_(call);
	return done;
}
