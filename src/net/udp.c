/**
 * @file
 * UDP and TCP sockets; batched datagram I/O.
 */
#include <pimentolift/counter.h>
#include <pimentolift/udp.h>

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Socket buffer size; holds a burst of about 1,500 datagrams. */
#define SOCKET_BUFFER_BYTES (2 * 1024 * 1024)
#define LISTEN_BACKLOG 128
/** Attempts to find a port that is free for both TCP and UDP. */
#define PAIR_TRIES 16

typedef struct {
	int fd;
	struct sockaddr_storage to;
	struct iovec iov;
	uint8_t bytes[PL_UDP_DATAGRAM_MAX];
} outgoing_t;

struct pl_udp_batch {
	struct mmsghdr in_headers[PL_UDP_BATCH];
	struct iovec in_iov[PL_UDP_BATCH];
	struct sockaddr_storage in_from[PL_UDP_BATCH];
	uint8_t in_bytes[PL_UDP_BATCH][PL_UDP_DATAGRAM_MAX];
	pl_datagram_t datagrams[PL_UDP_BATCH];
	struct mmsghdr out_headers[PL_UDP_BATCH];
	outgoing_t out[PL_UDP_BATCH];
	size_t out_count;
};

static pl_result_t socket_error_(int fd, const pl_addr_t *addr,
				 const char *action, pl_error_t *err)
{
	char text[PL_ADDR_TEXT_MAX];
	int code = errno;

	if (fd >= 0)
		close(fd);
	return pl_error_set(err, PL_ERR_IO, "%s %s: %s", action,
			    pl_addr_format(addr, text), strerror(code));
}

static pl_result_t open_bound_(int type, pl_addr_t *addr, bool shared,
			       int *out_fd, pl_error_t *err)
{
	const int one = 1;
	struct sockaddr_storage storage;
	socklen_t len = pl_addr_to_sockaddr(addr, &storage);
	int fd = socket(storage.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC,
			0);

	if (fd < 0)
		return socket_error_(fd, addr, "cannot create socket for", err);
	if (shared)
		setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one));
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&storage, len) != 0)
		return socket_error_(fd, addr, "cannot bind", err);
	len = sizeof(storage);
	if (getsockname(fd, (struct sockaddr *)&storage, &len) != 0)
		return socket_error_(fd, addr,
				     "cannot get the bound address of", err);
	pl_addr_from_sockaddr(&storage, addr);
	*out_fd = fd;
	return PL_OK;
}

pl_result_t pl_udp_open(pl_addr_t *addr, bool shared, int *fd, pl_error_t *err)
{
	const int bytes = SOCKET_BUFFER_BYTES;
	pl_result_t result = open_bound_(SOCK_DGRAM, addr, shared, fd, err);

	if (result != PL_OK)
		return result;
	/* a size above the kernel's limit is reduced without an error */
	setsockopt(*fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	setsockopt(*fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	return PL_OK;
}

pl_result_t pl_tcp_listen(pl_addr_t *addr, int *fd, pl_error_t *err)
{
	pl_result_t result = open_bound_(SOCK_STREAM, addr, false, fd, err);

	if (result != PL_OK)
		return result;
	if (listen(*fd, LISTEN_BACKLOG) != 0)
		return socket_error_(*fd, addr, "cannot listen on", err);
	return PL_OK;
}

pl_result_t pl_net_open_pair(pl_addr_t *addr, bool shared, int *tcp_fd,
			     int *udp_fd, pl_error_t *err)
{
	const bool kernel_chooses = addr->port == 0;
	pl_result_t result = PL_ERR_IO;

	for (int i = 0; i < PAIR_TRIES; i++) {
		if (kernel_chooses)
			addr->port = 0;
		result = pl_tcp_listen(addr, tcp_fd, err);
		if (result != PL_OK)
			return result;
		result = pl_udp_open(addr, shared, udp_fd, err);
		if (result == PL_OK)
			return PL_OK;
		close(*tcp_fd);
		if (!kernel_chooses)
			return result;
	}
	return result;
}

pl_udp_batch_t *pl_udp_batch_new(void)
{
	pl_udp_batch_t *batch = g_new0(pl_udp_batch_t, 1);

	for (size_t i = 0; i < PL_UDP_BATCH; i++) {
		batch->in_iov[i].iov_base = batch->in_bytes[i];
		batch->in_iov[i].iov_len = PL_UDP_DATAGRAM_MAX;
		batch->in_headers[i].msg_hdr.msg_iov = &batch->in_iov[i];
		batch->in_headers[i].msg_hdr.msg_iovlen = 1;
		batch->in_headers[i].msg_hdr.msg_name = &batch->in_from[i];
		batch->out[i].iov.iov_base = batch->out[i].bytes;
		batch->out_headers[i].msg_hdr.msg_iov = &batch->out[i].iov;
		batch->out_headers[i].msg_hdr.msg_iovlen = 1;
		batch->out_headers[i].msg_hdr.msg_name = &batch->out[i].to;
	}
	return batch;
}

void pl_udp_batch_delete(pl_udp_batch_t *batch)
{
	g_free(batch);
}

size_t pl_udp_receive(pl_udp_batch_t *batch, int fd)
{
	int count;

	for (size_t i = 0; i < PL_UDP_BATCH; i++)
		batch->in_headers[i].msg_hdr.msg_namelen =
			sizeof(batch->in_from[i]);
	count = recvmmsg(fd, batch->in_headers, PL_UDP_BATCH, MSG_DONTWAIT,
			 NULL);
	if (count <= 0)
		return 0;
	for (int i = 0; i < count; i++) {
		pl_datagram_t *datagram = &batch->datagrams[i];

		pl_addr_from_sockaddr(&batch->in_from[i], &datagram->from);
		datagram->bytes = batch->in_bytes[i];
		datagram->len = batch->in_headers[i].msg_len;
		datagram->truncated = (batch->in_headers[i].msg_hdr.msg_flags &
				       MSG_TRUNC) != 0;
	}
	return (size_t)count;
}

const pl_datagram_t *pl_udp_at(const pl_udp_batch_t *batch, size_t index)
{
	return &batch->datagrams[index];
}

uint8_t *pl_udp_reserve(pl_udp_batch_t *batch)
{
	if (batch->out_count == PL_UDP_BATCH)
		pl_udp_flush(batch);
	return batch->out[batch->out_count].bytes;
}

void pl_udp_queue(pl_udp_batch_t *batch, int fd, const pl_addr_t *to,
		  size_t len)
{
	outgoing_t *out = &batch->out[batch->out_count];

	out->fd = fd;
	out->iov.iov_len = len;
	batch->out_headers[batch->out_count].msg_hdr.msg_namelen =
		pl_addr_to_sockaddr(to, &out->to);
	batch->out_count++;
}

/* Number of consecutive datagrams from @p start on with the same socket. */
static size_t same_socket_count_(const pl_udp_batch_t *batch, size_t start)
{
	size_t end = start;

	while (end < batch->out_count &&
	       batch->out[end].fd == batch->out[start].fd)
		end++;
	return end - start;
}

void pl_udp_flush(pl_udp_batch_t *batch)
{
	size_t start = 0;

	while (start < batch->out_count) {
		size_t run_len = same_socket_count_(batch, start);
		int sent = sendmmsg(batch->out[start].fd,
				    &batch->out_headers[start],
				    (unsigned int)run_len, MSG_DONTWAIT);

		if (sent > 0) {
			start += (size_t)sent;
			continue;
		}
		/* only the first datagram was refused; go on with the next */
		pl_counter_add(PL_COUNTER_DROP_SEND, 1);
		start++;
	}
	batch->out_count = 0;
}
