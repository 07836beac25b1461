/**
 * @file
 * Peer frames over TCP connections.
 */
#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <pimentolift/fault.h>
#include <pimentolift/frame.h>
#include <pimentolift/list.h>
#include <pimentolift/peer_net.h>

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/** Largest number of bytes per read. */
#define READ_BYTES 65536
/** A connection is closed after this time without traffic. */
#define IDLE_MS 15000
/** Time limit for connect() and for receiving the challenge. When it expires,
 * the frames queued for the peer fail. */
#define CONNECT_TIMEOUT_MS 2000
/** Interval at which connections are checked for their time limits. */
#define SWEEP_MS 500
/** Limit of concurrent incoming connections. */
#define INCOMING_MAX 4096

typedef enum {
	CONN_OUT_CONNECTING, /**< outgoing, challenge not yet received */
	CONN_OUT_READY, /**< outgoing, challenge received */
	CONN_IN, /**< accepted, challenge sent or still in out_buf */
} conn_state_t;

/* Frame that is not fully written, or whose failure is not yet reported. */
typedef struct {
	pl_list_t link;
	pl_member_id_t peer;
	pl_peer_type_t type;
	uint8_t *body;
	size_t body_len;
	/* offset in the connection's output just after this frame; 0: not
	 * encoded yet */
	size_t stream_end;
} queued_frame_t;

typedef struct {
	pl_list_t link;
	pl_peer_net_t *net;
	pl_member_id_t peer; /* only of outgoing connections */
	conn_state_t state;
	int fd;
	pl_loop_watch_t *watch;
	pl_frame_channel_t channel;
	GByteArray *in_buf;
	GByteArray *out_buf;
	size_t written; /* bytes of the output stream that were written */
	pl_list_t queue;
	pl_ms_t last_used;
} conn_t;

struct pl_peer_net {
	pl_loop_t *loop;
	int listen_fd;
	pl_loop_watch_t *watch;
	pl_member_id_t self;
	pl_key_t key;
	pl_peer_net_ops_t ops;
	void *ctx;
	pl_list_t conns;
	size_t incoming;
	GHashTable *by_peer;
	pl_timer_t sweep_timer;
	pl_list_t failures; /* frames whose failure is not yet reported */
	pl_timer_t failure_timer;
	size_t pending;
};

static void on_conn_ready_(void *ctx, uint32_t events);

static pl_ms_t now_(const pl_peer_net_t *net)
{
	return pl_timer_service_now(pl_loop_timers(net->loop));
}

static conn_t *conn_new_(pl_peer_net_t *net, int fd, conn_state_t state,
			 uint32_t events)
{
	conn_t *conn = g_new0(conn_t, 1);

	conn->net = net;
	conn->fd = fd;
	conn->state = state;
	conn->in_buf = g_byte_array_new();
	conn->out_buf = g_byte_array_new();
	conn->last_used = now_(net);
	pl_list_init(&conn->queue);
	pl_list_append(&net->conns, &conn->link);
	conn->watch =
		pl_loop_watch(net->loop, fd, events, on_conn_ready_, conn);
	return conn;
}

static queued_frame_t *queued_frame_new_(pl_peer_net_t *net,
					 const pl_peer_frame_t *frame)
{
	queued_frame_t *queued = g_new0(queued_frame_t, 1);

	pl_list_init(&queued->link);
	queued->peer = frame->peer;
	queued->type = frame->type;
	queued->body = g_memdup2(frame->body, frame->body_len);
	queued->body_len = frame->body_len;
	net->pending++;
	return queued;
}

static void queued_frame_free_(pl_peer_net_t *net, queued_frame_t *queued)
{
	pl_list_remove(&queued->link);
	net->pending--;
	g_free(queued->body);
	g_free(queued);
}

/* Reports a failure from a timer, so that pl_peer_net_send() never calls back
 * into the owner. */
static void defer_failure_(pl_peer_net_t *net, queued_frame_t *queued)
{
	pl_list_remove(&queued->link);
	pl_list_append(&net->failures, &queued->link);
	pl_timer_arm(pl_loop_timers(net->loop), &net->failure_timer, now_(net));
}

static void report_failures_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_peer_net_t *net = ctx;

	/* a failure that is added during this loop arms the timer again */
	pl_list_for_each_safe(node, &net->failures) {
		queued_frame_t *queued =
			PL_CONTAINER_OF(node, queued_frame_t, link);
		const pl_peer_frame_t frame = { .peer = queued->peer,
						.type = queued->type,
						.body = queued->body,
						.body_len = queued->body_len };

		net->ops.failed(net->ctx, &frame);
		queued_frame_free_(net, queued);
	}
}

static void conn_close_(conn_t *conn)
{
	pl_peer_net_t *net = conn->net;

	pl_loop_unwatch(net->loop, conn->watch);
	close(conn->fd);
	pl_list_remove(&conn->link);
	if (conn->state == CONN_IN)
		net->incoming--;
	else
		g_hash_table_remove(net->by_peer, &conn->peer);
	pl_list_for_each_safe(node, &conn->queue)
		defer_failure_(net,
			       PL_CONTAINER_OF(node, queued_frame_t, link));
	g_byte_array_unref(conn->in_buf);
	g_byte_array_unref(conn->out_buf);
	g_free(conn);
}

/* Encodes the queued frames that are not yet encoded. */
static void encode_queued_frames_(conn_t *conn)
{
	pl_list_for_each(node, &conn->queue) {
		queued_frame_t *queued =
			PL_CONTAINER_OF(node, queued_frame_t, link);

		if (queued->stream_end != 0)
			continue;
		pl_frame_encode(&conn->channel, conn->net->self, queued->type,
				queued->body, queued->body_len, conn->out_buf);
		queued->stream_end = conn->written + conn->out_buf->len;
	}
}

static void free_written_frames_(conn_t *conn)
{
	pl_list_for_each_safe(node, &conn->queue) {
		queued_frame_t *queued =
			PL_CONTAINER_OF(node, queued_frame_t, link);

		if (queued->stream_end == 0 ||
		    queued->stream_end > conn->written)
			return;
		queued_frame_free_(conn->net, queued);
	}
}

/* Writes until the socket would block; false on a connection error. */
static bool conn_write_(conn_t *conn)
{
	while (conn->out_buf->len > 0) {
		ssize_t sent =
			send(conn->fd, conn->out_buf->data, conn->out_buf->len,
			     MSG_NOSIGNAL | MSG_DONTWAIT);

		if (sent < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (sent <= 0)
			return false;
		pl_counter_add(PL_COUNTER_PEER_OUT_BYTES, (uint64_t)sent);
		g_byte_array_remove_range(conn->out_buf, 0, (guint)sent);
		conn->written += (size_t)sent;
		conn->last_used = now_(conn->net);
	}
	free_written_frames_(conn);
	pl_loop_watch_events(conn->net->loop, conn->watch,
			     conn->out_buf->len > 0 ? EPOLLIN | EPOLLOUT :
						      EPOLLIN);
	return true;
}

/* Reads the challenge on an outgoing connection; false if incomplete. */
static bool read_challenge_(conn_t *conn)
{
	if (conn->in_buf->len < PL_FRAME_CHALLENGE_BYTES)
		return false;
	pl_frame_channel_init(&conn->channel, &conn->net->key,
			      conn->in_buf->data);
	g_byte_array_set_size(conn->in_buf, 0);
	conn->state = CONN_OUT_READY;
	encode_queued_frames_(conn);
	return true;
}

/* Passes complete frames to the owner; false if the connection must be closed
 * because a frame was invalid. */
static bool deliver_frames_(conn_t *conn)
{
	pl_peer_net_t *net = conn->net;
	size_t offset = 0;
	pl_result_t result;

	while (true) {
		pl_peer_frame_t frame;
		size_t used = 0;

		result = pl_frame_decode(
			&conn->channel, conn->in_buf->data + offset,
			conn->in_buf->len - offset, &used, &frame);
		if (result != PL_OK)
			break;
		offset += used;
		if (!pl_fault_is_cut(frame.peer))
			net->ops.frame(net->ctx, &frame);
		g_free((void *)frame.body);
	}
	g_byte_array_remove_range(conn->in_buf, 0, (guint)offset);
	if (result == PL_ERR_AUTH) {
		pl_counter_add(PL_COUNTER_DROP_AUTH, 1);
		pl_event(PL_EVENT_AUTH_FAILED, "frame on a peer connection");
	}
	/* PL_ERR_TIMEOUT: the rest of the frame has not arrived yet */
	return result == PL_ERR_TIMEOUT;
}

/* Reads available bytes; false if the connection must be closed. */
static bool conn_read_(conn_t *conn)
{
	uint8_t bytes[READ_BYTES];
	ssize_t received = recv(conn->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (received < 0)
		return errno == EAGAIN || errno == EINTR;
	if (received == 0)
		return false;
	pl_counter_add(PL_COUNTER_PEER_IN_BYTES, (uint64_t)received);
	conn->last_used = now_(conn->net);
	g_byte_array_append(conn->in_buf, bytes, (guint)received);
	if (conn->state == CONN_IN)
		return deliver_frames_(conn);
	if (conn->state == CONN_OUT_CONNECTING && read_challenge_(conn))
		return conn_write_(conn);
	return true;
}

static void on_conn_ready_(void *ctx, uint32_t events)
{
	conn_t *conn = ctx;

	if ((events & EPOLLIN) && !conn_read_(conn)) {
		conn_close_(conn);
		return;
	}
	if ((events & EPOLLOUT) && !conn_write_(conn)) {
		conn_close_(conn);
		return;
	}
	if ((events & (EPOLLERR | EPOLLHUP)) && !(events & EPOLLIN))
		conn_close_(conn);
}

static void accept_connection_(pl_peer_net_t *net, int fd)
{
	uint8_t challenge[PL_FRAME_CHALLENGE_BYTES];
	conn_t *conn = conn_new_(net, fd, CONN_IN, EPOLLIN);

	net->incoming++;
	randombytes_buf(challenge, sizeof(challenge));
	pl_frame_channel_init(&conn->channel, &net->key, challenge);
	g_byte_array_append(conn->out_buf, challenge, sizeof(challenge));
	if (!conn_write_(conn))
		conn_close_(conn);
}

static void on_listener_ready_(void *ctx, uint32_t events)
{
	pl_peer_net_t *net = ctx;
	int fd;

	while ((fd = accept4(net->listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (net->incoming >= INCOMING_MAX)
			close(fd);
		else
			accept_connection_(net, fd);
	}
}

static void close_expired_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_peer_net_t *net = ctx;

	pl_list_for_each_safe(node, &net->conns) {
		conn_t *conn = PL_CONTAINER_OF(node, conn_t, link);
		pl_ms_t limit = conn->state == CONN_OUT_CONNECTING ?
					CONNECT_TIMEOUT_MS :
					IDLE_MS;

		if (now - conn->last_used > limit)
			conn_close_(conn);
	}
	pl_timer_arm(pl_loop_timers(net->loop), timer, now + SWEEP_MS);
}

pl_peer_net_t *pl_peer_net_new(pl_loop_t *loop, int listen_fd,
			       pl_member_id_t self, const pl_key_t *key,
			       const pl_peer_net_ops_t *ops, void *ctx)
{
	pl_peer_net_t *net = g_new0(pl_peer_net_t, 1);

	net->loop = loop;
	net->listen_fd = listen_fd;
	net->self = self;
	net->key = *key;
	net->ops = *ops;
	net->ctx = ctx;
	pl_list_init(&net->conns);
	pl_list_init(&net->failures);
	net->by_peer = g_hash_table_new(g_int64_hash, g_int64_equal);
	net->watch = pl_loop_watch(loop, listen_fd, EPOLLIN, on_listener_ready_,
				   net);
	pl_timer_init(&net->failure_timer, report_failures_, net);
	pl_timer_init(&net->sweep_timer, close_expired_, net);
	pl_timer_arm(pl_loop_timers(loop), &net->sweep_timer,
		     now_(net) + SWEEP_MS);
	return net;
}

void pl_peer_net_delete(pl_peer_net_t *net)
{
	if (!net)
		return;
	pl_list_for_each_safe(node, &net->conns)
		conn_close_(PL_CONTAINER_OF(node, conn_t, link));
	pl_list_for_each_safe(node, &net->failures)
		queued_frame_free_(net,
				   PL_CONTAINER_OF(node, queued_frame_t, link));
	pl_timer_cancel(pl_loop_timers(net->loop), &net->failure_timer);
	pl_timer_cancel(pl_loop_timers(net->loop), &net->sweep_timer);
	pl_loop_unwatch(net->loop, net->watch);
	close(net->listen_fd);
	g_hash_table_unref(net->by_peer);
	g_free(net);
}

/* Starts a connection to @p peer; NULL if socket() or connect() fails. */
static conn_t *open_connection_(pl_peer_net_t *net, pl_member_id_t peer)
{
	const pl_addr_t addr = pl_member_id_to_addr(peer);
	const int one = 1;
	struct sockaddr_storage storage;
	socklen_t len = pl_addr_to_sockaddr(&addr, &storage);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	conn_t *conn;

	if (fd < 0)
		return NULL;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&storage, len) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	conn = conn_new_(net, fd, CONN_OUT_CONNECTING, EPOLLIN);
	conn->peer = peer;
	g_hash_table_insert(net->by_peer, &conn->peer, conn);
	return conn;
}

void pl_peer_net_send(pl_peer_net_t *net, const pl_peer_frame_t *frame)
{
	conn_t *conn = g_hash_table_lookup(net->by_peer, &frame->peer);
	queued_frame_t *queued = queued_frame_new_(net, frame);

	if (pl_fault_is_cut(frame->peer)) {
		defer_failure_(net, queued);
		return;
	}
	if (!conn)
		conn = open_connection_(net, frame->peer);
	if (!conn) {
		defer_failure_(net, queued);
		return;
	}
	pl_list_append(&conn->queue, &queued->link);
	if (conn->state != CONN_OUT_READY)
		return;
	encode_queued_frames_(conn);
	if (!conn_write_(conn))
		conn_close_(conn);
}

size_t pl_peer_net_pending(const pl_peer_net_t *net)
{
	return net->pending;
}
