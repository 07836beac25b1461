/**
 * @file
 * Relay between the fabric and backend servers, one socket per flow.
 */
#include "relay.h"

#include "common/standin.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAM_MAX 2048
#define ROUTES_MAX 8
#define POLL_MS 20

typedef struct {
	pl_addr_t service;
	pl_addr_t backend;
} route_t;

typedef struct {
	pl_addr_t caller;
	pl_addr_t service;
	int fd;
} flow_t;

struct relay {
	pthread_t thread;
	atomic_bool stop;
	pl_addr_t own;
	pl_addr_t fabric;
	int fd;
	route_t routes[ROUTES_MAX];
	size_t route_count;
	GArray *flows;
};

static int open_socket_(pl_addr_t *bound)
{
	struct sockaddr_storage storage = { 0 };
	struct sockaddr_in *ipv4 = (struct sockaddr_in *)&storage;
	socklen_t len = sizeof(storage);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	ipv4->sin_family = AF_INET;
	ipv4->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert(fd >= 0 &&
		 bind(fd, (struct sockaddr *)&storage, sizeof(*ipv4)) == 0);
	getsockname(fd, (struct sockaddr *)&storage, &len);
	pl_addr_from_sockaddr(&storage, bound);
	return fd;
}

static void send_datagram_(int fd, const pl_addr_t *to, const uint8_t *buf,
			   size_t len)
{
	struct sockaddr_storage storage;
	socklen_t storage_len = pl_addr_to_sockaddr(to, &storage);

	(void)!sendto(fd, buf, len, 0, (struct sockaddr *)&storage,
		      storage_len);
}

static const flow_t *get_flow_(relay_t *relay, const pl_addr_t *caller,
			       const pl_addr_t *service)
{
	flow_t flow = { .caller = *caller, .service = *service };
	pl_addr_t bound;

	for (guint i = 0; i < relay->flows->len; i++) {
		const flow_t *known = &g_array_index(relay->flows, flow_t, i);

		if (pl_addr_equal(&known->caller, caller) &&
		    pl_addr_equal(&known->service, service))
			return known;
	}
	flow.fd = open_socket_(&bound);
	g_array_append_val(relay->flows, flow);
	return &g_array_index(relay->flows, flow_t, relay->flows->len - 1);
}

static void forward_to_backends_(relay_t *relay)
{
	uint8_t buf[DATAGRAM_MAX];
	pl_addr_t caller;
	pl_addr_t service;
	ssize_t len;

	while ((len = recv(relay->fd, buf, sizeof(buf), 0)) >= 0) {
		if (!pl_proxy_read(buf, (size_t)len, &caller, &service))
			continue;
		for (size_t i = 0; i < relay->route_count; i++) {
			const route_t *route = &relay->routes[i];

			if (pl_addr_equal(&route->service, &service))
				send_datagram_(
					get_flow_(relay, &caller, &service)->fd,
					&route->backend,
					buf + PL_PROXY_HEADER_BYTES,
					(size_t)len - PL_PROXY_HEADER_BYTES);
		}
	}
}

static void forward_to_fabric_(const relay_t *relay, const flow_t *flow)
{
	uint8_t buf[DATAGRAM_MAX];
	ssize_t len;

	while ((len = recv(flow->fd, buf + PL_PROXY_HEADER_BYTES,
			   sizeof(buf) - PL_PROXY_HEADER_BYTES, 0)) >= 0) {
		pl_proxy_write(buf, &flow->service, &flow->caller);
		send_datagram_(relay->fd, &relay->fabric, buf,
			       (size_t)len + PL_PROXY_HEADER_BYTES);
	}
}

static void *run_relay_(void *arg)
{
	relay_t *relay = arg;

	while (!atomic_load(&relay->stop)) {
		guint count = relay->flows->len + 1;
		struct pollfd *fds = g_new0(struct pollfd, count);

		fds[0].fd = relay->fd;
		fds[0].events = POLLIN;
		for (guint i = 1; i < count; i++) {
			fds[i].fd =
				g_array_index(relay->flows, flow_t, i - 1).fd;
			fds[i].events = POLLIN;
		}
		(void)poll(fds, count, POLL_MS);
		g_free(fds);
		forward_to_backends_(relay);
		for (guint i = 0; i < relay->flows->len; i++)
			forward_to_fabric_(
				relay, &g_array_index(relay->flows, flow_t, i));
	}
	return NULL;
}

relay_t *relay_new(const pl_addr_t *fabric)
{
	relay_t *relay = g_new0(relay_t, 1);

	relay->fabric = *fabric;
	relay->fd = open_socket_(&relay->own);
	relay->flows = g_array_new(FALSE, FALSE, sizeof(flow_t));
	return relay;
}

void relay_add_route(relay_t *relay, const pl_addr_t *service,
		     const pl_addr_t *backend)
{
	bool first = relay->route_count == 0;

	relay->routes[relay->route_count].service = *service;
	relay->routes[relay->route_count++].backend = *backend;
	if (first)
		pthread_create(&relay->thread, NULL, run_relay_, relay);
}

const pl_addr_t *relay_addr(const relay_t *relay)
{
	return &relay->own;
}

void relay_delete(relay_t *relay)
{
	if (!relay)
		return;
	atomic_store(&relay->stop, true);
	if (relay->route_count > 0)
		pthread_join(relay->thread, NULL);
	for (guint i = 0; i < relay->flows->len; i++)
		close(g_array_index(relay->flows, flow_t, i).fd);
	g_array_free(relay->flows, TRUE);
	close(relay->fd);
	g_free(relay);
}
