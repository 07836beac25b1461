#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <pimentolift/listener_watch.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct {
	pl_loop_t *loop;
	pl_listener_watch_t *watch;
	pl_addr_t addr;
	int listener;
	pl_loop_watch_t *listener_watch;
	int connections;
	int down_reports;
	int stop_at; /* the loop stops after this number of down reports */
} fixture_t;

static int open_listener_(pl_addr_t *addr)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t len = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&in, len), 0);
	assert_int_equal(listen(fd, 8), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&in, &len), 0);
	*addr = (pl_addr_t){ .ip = { 127, 0, 0, 1 },
			     .port = ntohs(in.sin_port),
			     .family = PL_ADDR_IPV4 };
	return fd;
}

static void on_down_(void *ctx)
{
	fixture_t *fixture = ctx;

	if (++fixture->down_reports == fixture->stop_at)
		pl_loop_stop(fixture->loop);
}

/* Closes the first connection like a listener that drops idle connections. At
 * the second connection the listener closes too, as when its process ends. */
static void on_listener_ready_(void *ctx, uint32_t events)
{
	fixture_t *fixture = ctx;
	int fd = accept(fixture->listener, NULL, NULL);

	(void)events;
	assert_true(fd >= 0);
	assert_int_equal(fixture->down_reports, 0);
	if (++fixture->connections == 2) {
		pl_loop_unwatch(fixture->loop, fixture->listener_watch);
		close(fixture->listener);
	}
	close(fd);
}

static void refused_connections_are_reported_as_down(void **state)
{
	fixture_t fixture = { .loop = pl_loop_new(NULL), .stop_at = 2 };

	(void)state;
	close(open_listener_(&fixture.addr));
	fixture.watch = pl_listener_watch_new(fixture.loop, &fixture.addr,
					      on_down_, &fixture);
	pl_loop_run(fixture.loop);
	assert_int_equal(fixture.down_reports, 2);
	pl_listener_watch_delete(fixture.watch);
	pl_loop_delete(fixture.loop);
}

/* Guards against a closed connection being taken for the end of the listener,
 * and against the end of the listener being missed. */
static void only_a_closed_listener_is_reported_as_down(void **state)
{
	fixture_t fixture = { .loop = pl_loop_new(NULL), .stop_at = 1 };

	(void)state;
	fixture.listener = open_listener_(&fixture.addr);
	fixture.listener_watch =
		pl_loop_watch(fixture.loop, fixture.listener, EPOLLIN,
			      on_listener_ready_, &fixture);
	fixture.watch = pl_listener_watch_new(fixture.loop, &fixture.addr,
					      on_down_, &fixture);
	pl_loop_run(fixture.loop);
	assert_int_equal(fixture.down_reports, 1);
	assert_int_equal(fixture.connections, 2);
	pl_listener_watch_delete(fixture.watch);
	pl_loop_delete(fixture.loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(refused_connections_are_reported_as_down),
		cmocka_unit_test(only_a_closed_listener_is_reported_as_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
