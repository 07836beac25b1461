/**
 * @file
 * @defgroup udp UDP and TCP sockets
 *
 * Opens the sockets of a process and moves datagrams in batches, one system
 * call for up to PL_UDP_BATCH of them.
 * @{
 */
#ifndef PIMENTOLIFT_UDP_H
#define PIMENTOLIFT_UDP_H

#include <pimentolift/addr.h>
#include <stddef.h>

/** Datagrams moved by one system call. */
#define PL_UDP_BATCH 32
/** Room for one datagram, in bytes. */
#define PL_UDP_DATAGRAM_MAX 2048

/**
 * Opens a non-blocking UDP socket on @p addr and writes the port that the
 * kernel chose into it. Sockets with @p shared may share one port; the kernel
 * spreads the datagrams over them.
 */
pl_result_t pl_udp_open(pl_addr_t *addr, bool shared, int *fd, pl_error_t *err);

/** Opens a listening non-blocking TCP socket on @p addr. */
pl_result_t pl_tcp_listen(pl_addr_t *addr, int *fd, pl_error_t *err);

/**
 * Opens a TCP and a UDP socket on the same port, which the kernel chooses
 * when @p addr has port 0.
 */
pl_result_t pl_net_open_pair(pl_addr_t *addr, bool shared, int *tcp_fd,
			     int *udp_fd, pl_error_t *err);

/** One received datagram; the bytes belong to the batch. */
typedef struct {
	pl_addr_t from;
	const uint8_t *bytes;
	size_t len;
	bool truncated;
} pl_datagram_t;

typedef struct pl_udp_batch pl_udp_batch_t;

/** New receive buffers and send queue; one per thread. */
pl_udp_batch_t *pl_udp_batch_new(void);
void pl_udp_batch_delete(pl_udp_batch_t *batch);

/** Receives up to PL_UDP_BATCH datagrams; returns their number. */
size_t pl_udp_receive(pl_udp_batch_t *batch, int fd);

/** Datagram @p index of the last receive. */
const pl_datagram_t *pl_udp_at(const pl_udp_batch_t *batch, size_t index);

/**
 * Room of PL_UDP_DATAGRAM_MAX bytes for the next datagram to send, to be
 * completed by pl_udp_queue(). Flushes when the queue is full.
 */
uint8_t *pl_udp_reserve(pl_udp_batch_t *batch);

/** Queues the reserved room, @p len bytes, for @p fd and @p to. */
void pl_udp_queue(pl_udp_batch_t *batch, int fd, const pl_addr_t *to,
		  size_t len);

/** Sends what is queued; datagrams that the kernel refuses are counted. */
void pl_udp_flush(pl_udp_batch_t *batch);

#endif
/** @} */
