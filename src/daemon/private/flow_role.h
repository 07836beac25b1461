/**
 * @file
 * What both roles of flows share: the traffic thread with its sockets.
 */
#ifndef PIMENTOLIFT_DAEMON_FLOW_ROLE_H
#define PIMENTOLIFT_DAEMON_FLOW_ROLE_H

#include "private/node.h"

#include <pimentolift/flow.h>
#include <pimentolift/flow_codec.h>
#include <pimentolift/udp.h>
#include <pthread.h>

/** Called for a message of another process. */
typedef void (*pl_flow_thread_message_t)(void *ctx,
					 const pl_flow_message_t *message);

/** Called for a packet on one of the role's own sockets; it may be changed. */
typedef void (*pl_flow_thread_packet_t)(void *ctx, uint8_t *bytes, size_t len);

/** A socket for packets. */
typedef struct pl_flow_socket pl_flow_socket_t;

/** The traffic thread. */
typedef struct {
	pl_node_t *node;
	pl_key_t key;
	pthread_t thread;
	pl_loop_t *loop;
	pl_udp_batch_t *batch;
	pl_flow_decoder_t *decoder;
	int inner_fd;
	pl_loop_watch_t *inner_watch;
	pl_flow_socket_t *socket;
	uint16_t caller_port;
	pl_flow_thread_message_t message;
	void *ctx;
} pl_flow_thread_t;

/** Sets up the thread, which does not run yet. */
pl_result_t pl_flow_thread_init(pl_flow_thread_t *thread, pl_node_t *node,
				int inner_fd, pl_flow_thread_message_t message,
				void *ctx, pl_error_t *err);

/** Opens the socket on @p listen that packets arrive at. */
pl_result_t pl_flow_thread_listen(pl_flow_thread_t *thread, pl_addr_t *listen,
				  pl_flow_thread_packet_t packet,
				  pl_error_t *err);

/** Starts the thread. */
void pl_flow_thread_start(pl_flow_thread_t *thread);

/** Ends the thread; its loop and sockets stay. */
void pl_flow_thread_join(pl_flow_thread_t *thread);

/** Closes the sockets of a thread that has ended, and frees its parts. */
void pl_flow_thread_finish(pl_flow_thread_t *thread);

/** Sends a message; on the thread. */
void pl_flow_thread_send_message(pl_flow_thread_t *thread, pl_member_id_t to,
				 const pl_flow_message_t *message);

/** Sends a packet to the caller of @p flow; on the thread. */
void pl_flow_thread_send_to_caller(pl_flow_thread_t *thread,
				   const pl_flow_key_t *flow,
				   const uint8_t *bytes, size_t len);

/** Sends a packet to @p to from the packets' socket; on the thread. */
void pl_flow_thread_send_packet(pl_flow_thread_t *thread, const pl_addr_t *to,
				const uint8_t *bytes, size_t len);

#endif
