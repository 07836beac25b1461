/**
 * @file
 * Traffic thread and sockets, shared by the entry and the agent of flows.
 */
#ifndef PIMENTOLIFT_DAEMON_FLOW_ROLE_H
#define PIMENTOLIFT_DAEMON_FLOW_ROLE_H

#include "private/node.h"

#include <pimentolift/flow.h>
#include <pimentolift/flow_codec.h>
#include <pimentolift/udp.h>
#include <pthread.h>

/** Called for each message from another process. */
typedef void (*pl_flow_thread_on_message_t)(void *ctx,
					    const pl_flow_message_t *message);

/** Called for each packet on the traffic socket; the callee may modify
 * @p bytes. */
typedef void (*pl_flow_thread_on_packet_t)(void *ctx, uint8_t *bytes,
					   size_t len);

typedef struct pl_flow_socket pl_flow_socket_t;

typedef struct {
	pl_node_t *node;
	pl_key_t key;
	pthread_t thread;
	pl_loop_t *loop;
	pl_udp_batch_t *batch;
	pl_flow_decoder_t *decoder;
	int inner_fd; /**< UDP socket for messages between members */
	pl_loop_watch_t *inner_watch;
	pl_flow_socket_t *socket;
	uint16_t caller_port;
	pl_flow_thread_on_message_t on_message;
	void *ctx;
} pl_flow_thread_t;

/** Creates the loop and watches @p inner_fd; pl_flow_thread_start() starts the
 * thread. */
pl_result_t pl_flow_thread_init(pl_flow_thread_t *thread, pl_node_t *node,
				int inner_fd,
				pl_flow_thread_on_message_t on_message,
				void *ctx, pl_error_t *err);

/** Opens the UDP traffic socket on @p listen and passes its packets to
 * @p on_packet. */
pl_result_t pl_flow_thread_listen(pl_flow_thread_t *thread, pl_addr_t *listen,
				  pl_flow_thread_on_packet_t on_packet,
				  pl_error_t *err);

void pl_flow_thread_start(pl_flow_thread_t *thread);

/** Stops the thread and waits for it; its loop and sockets stay open. */
void pl_flow_thread_join(pl_flow_thread_t *thread);

/** Closes the sockets and frees the resources, after pl_flow_thread_join(). */
void pl_flow_thread_finish(pl_flow_thread_t *thread);

/** Sends a message to the process @p to. Call only on the traffic thread. */
void pl_flow_thread_send_message(pl_flow_thread_t *thread, pl_member_id_t to,
				 const pl_flow_message_t *message);

/** Sends a packet to the caller of @p flow. Call only on the traffic thread. */
void pl_flow_thread_send_to_caller(pl_flow_thread_t *thread,
				   const pl_flow_key_t *flow,
				   const uint8_t *bytes, size_t len);

/** Sends a packet to @p to from the traffic socket. Call only on the traffic
 * thread. */
void pl_flow_thread_send_packet(pl_flow_thread_t *thread, const pl_addr_t *to,
				const uint8_t *bytes, size_t len);

#endif
