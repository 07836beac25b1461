/**
 * @file
 * @defgroup udp UDP and TCP sockets
 *
 * Opens UDP and TCP sockets, and receives and sends datagrams in batches of up
 * to PL_UDP_BATCH per system call.
 * @{
 */
#ifndef PIMENTOLIFT_UDP_H
#define PIMENTOLIFT_UDP_H

#include <pimentolift/addr.h>
#include <stddef.h>

/** Largest number of datagrams per system call. */
#define PL_UDP_BATCH 32
/** Buffer size of one datagram, in bytes. */
#define PL_UDP_DATAGRAM_MAX 2048

/**
 * Opens a non-blocking UDP socket on @p addr and sets the port in @p addr to
 * the bound one, which the kernel chooses when @p addr has port 0. Several
 * sockets with @p shared can be bound to one port (SO_REUSEPORT); the kernel
 * distributes the datagrams among these sockets.
 */
pl_result_t pl_udp_open(pl_addr_t *addr, bool shared, int *fd, pl_error_t *err);

/** Opens a non-blocking listening TCP socket; @p addr as in pl_udp_open(). */
pl_result_t pl_tcp_listen(pl_addr_t *addr, int *fd, pl_error_t *err);

/**
 * Opens a TCP and a UDP socket on the same port, which the kernel chooses
 * when @p addr has port 0.
 */
pl_result_t pl_net_open_pair(pl_addr_t *addr, bool shared, int *tcp_fd,
			     int *udp_fd, pl_error_t *err);

/** Received datagram; the batch owns @c bytes. */
typedef struct {
	pl_addr_t from;
	const uint8_t *bytes;
	size_t len;
	bool truncated; /**< longer than PL_UDP_DATAGRAM_MAX */
} pl_datagram_t;

typedef struct pl_udp_batch pl_udp_batch_t;

/** Creates receive buffers and a send queue; one batch per thread. */
pl_udp_batch_t *pl_udp_batch_new(void);
void pl_udp_batch_delete(pl_udp_batch_t *batch);

/** Receives up to PL_UDP_BATCH datagrams, non-blocking; returns the number. */
size_t pl_udp_receive(pl_udp_batch_t *batch, int fd);

/** Datagram @p index of the last pl_udp_receive(). */
const pl_datagram_t *pl_udp_at(const pl_udp_batch_t *batch, size_t index);

/**
 * Buffer of PL_UDP_DATAGRAM_MAX bytes for the next datagram to send, which
 * pl_udp_queue() then queues. A full queue is flushed first.
 */
uint8_t *pl_udp_reserve(pl_udp_batch_t *batch);

/** Queues @p len bytes of the reserved buffer for sending to @p to on @p fd. */
void pl_udp_queue(pl_udp_batch_t *batch, int fd, const pl_addr_t *to,
		  size_t len);

/**
 * Sends the queued datagrams; those that the kernel refuses are counted as
 * PL_COUNTER_DROP_SEND.
 */
void pl_udp_flush(pl_udp_batch_t *batch);

#endif
/** @} */
