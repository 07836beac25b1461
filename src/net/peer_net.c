/**
 * @file
 * TCP connections that carry peer frames.
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

#define READ_BYTES 65536
/** A connection without traffic for this long is closed. */
#define IDLE_MS 15000
/** A peer that does not take a connection within this time is down. */
#define CONNECT_TIMEOUT_MS 2000
#define SWEEP_MS 500
/** Connections that members may open towards this one. */
#define INCOMING_MAX 4096

/** Life of a connection. */
typedef enum {
	CONN_CONNECTING, /**< outgoing, no challenge yet */
	CONN_OPEN, /**< frames flow */
	CONN_INCOMING, /**< accepted; challenge sent or queued */
} conn_state_t;

/* A frame that waits for its connection, or for the report of its failure. */
typedef struct {
	pl_list_t link;
	pl_member_id_t peer;
	pl_peer_type_t type;
	uint8_t *body;
	size_t body_len;
	size_t end; /* position in the output stream after its last byte */
} queued_t;

typedef struct {
	pl_list_t link;
	pl_peer_net_t *net;
	pl_member_id_t peer; /* of outgoing connections */
	conn_state_t state;
	int fd;
	pl_loop_watch_t *watch;
	pl_frame_channel_t channel;
	GByteArray *in;
	GByteArray *out;
	size_t written; /* bytes of the output stream written so far */
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
	pl_timer_t sweep;
	pl_list_t failures; /* queued_t that the owner is told of next */
	pl_timer_t report;
	size_t pending;
};

static void conn_ready_(void *ctx, uint32_t events);

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
	conn->in = g_byte_array_new();
	conn->out = g_byte_array_new();
	conn->last_used = now_(net);
	pl_list_init(&conn->queue);
	pl_list_append(&net->conns, &conn->link);
	conn->watch = pl_loop_watch(net->loop, fd, events, conn_ready_, conn);
	return conn;
}

static queued_t *queued_new_(pl_peer_net_t *net, const pl_peer_frame_t *frame)
{
	queued_t *queued = g_new0(queued_t, 1);

	pl_list_init(&queued->link);
	queued->peer = frame->peer;
	queued->type = frame->type;
	queued->body = g_memdup2(frame->body, frame->body_len);
	queued->body_len = frame->body_len;
	net->pending++;
	return queued;
}

static void queued_free_(pl_peer_net_t *net, queued_t *queued)
{
	pl_list_remove(&queued->link);
	net->pending--;
	g_free(queued->body);
	g_free(queued);
}

/* Reports a failure by timer, so that the owner is not called from inside
 * its own send. */
static void fail_(pl_peer_net_t *net, queued_t *queued)
{
	pl_list_remove(&queued->link);
	pl_list_append(&net->failures, &queued->link);
	pl_timer_arm(pl_loop_timers(net->loop), &net->report, now_(net));
}

static void report_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_peer_net_t *net = ctx;

	/* a failure that is added meanwhile arms the timer again */
	pl_list_for_each_safe(node, &net->failures) {
		queued_t *queued = PL_CONTAINER_OF(node, queued_t, link);
		const pl_peer_frame_t frame = { .peer = queued->peer,
						.type = queued->type,
						.body = queued->body,
						.body_len = queued->body_len };

		net->ops.failed(net->ctx, &frame);
		queued_free_(net, queued);
	}
}

static void conn_close_(conn_t *conn)
{
	pl_peer_net_t *net = conn->net;

	pl_loop_unwatch(net->loop, conn->watch);
	close(conn->fd);
	pl_list_remove(&conn->link);
	if (conn->state == CONN_INCOMING)
		net->incoming--;
	else
		g_hash_table_remove(net->by_peer, &conn->peer);
	pl_list_for_each_safe(node, &conn->queue)
		fail_(net, PL_CONTAINER_OF(node, queued_t, link));
	g_byte_array_unref(conn->in);
	g_byte_array_unref(conn->out);
	g_free(conn);
}

/* Encodes the frames that wait for the challenge. */
static void encode_queue_(conn_t *conn)
{
	pl_list_for_each(node, &conn->queue) {
		queued_t *queued = PL_CONTAINER_OF(node, queued_t, link);

		if (queued->end != 0)
			continue;
		pl_frame_encode(&conn->channel, conn->net->self, queued->type,
				queued->body, queued->body_len, conn->out);
		queued->end = conn->written + conn->out->len;
	}
}

static void release_written_(conn_t *conn)
{
	pl_list_for_each_safe(node, &conn->queue) {
		queued_t *queued = PL_CONTAINER_OF(node, queued_t, link);

		if (queued->end == 0 || queued->end > conn->written)
			return;
		queued_free_(conn->net, queued);
	}
}

/* Writes what it can; false when the connection broke. */
static bool conn_write_(conn_t *conn)
{
	while (conn->out->len > 0) {
		ssize_t sent = send(conn->fd, conn->out->data, conn->out->len,
				    MSG_NOSIGNAL | MSG_DONTWAIT);

		if (sent < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (sent <= 0)
			return false;
		pl_counter_add(PL_COUNTER_PEER_OUT_BYTES, (uint64_t)sent);
		g_byte_array_remove_range(conn->out, 0, (guint)sent);
		conn->written += (size_t)sent;
		conn->last_used = now_(conn->net);
	}
	release_written_(conn);
	pl_loop_watch_events(conn->net->loop, conn->watch,
			     conn->out->len > 0 ? EPOLLIN | EPOLLOUT : EPOLLIN);
	return true;
}

/* Takes the challenge of an outgoing connection; false when incomplete. */
static bool take_challenge_(conn_t *conn)
{
	if (conn->in->len < PL_FRAME_CHALLENGE_BYTES)
		return false;
	pl_frame_channel_init(&conn->channel, &conn->net->key, conn->in->data);
	g_byte_array_set_size(conn->in, 0);
	conn->state = CONN_OPEN;
	encode_queue_(conn);
	return true;
}

/* Hands complete frames to the owner; false when the connection is bad. */
static bool take_frames_(conn_t *conn)
{
	pl_peer_net_t *net = conn->net;
	size_t offset = 0;
	pl_result_t result;

	while (true) {
		pl_peer_frame_t frame;
		size_t used = 0;

		result =
			pl_frame_decode(&conn->channel, conn->in->data + offset,
					conn->in->len - offset, &used, &frame);
		if (result != PL_OK)
			break;
		offset += used;
		if (!pl_fault_is_cut(frame.peer))
			net->ops.frame(net->ctx, &frame);
		g_free((void *)frame.body);
	}
	g_byte_array_remove_range(conn->in, 0, (guint)offset);
	if (result == PL_ERR_AUTH) {
		pl_counter_add(PL_COUNTER_DROP_AUTH, 1);
		pl_event(PL_EVENT_AUTH_FAILED, "frame on a connection");
	}
	return result == PL_ERR_TIMEOUT;
}

/* Reads what is there; false when the connection ended. */
static bool conn_read_(conn_t *conn)
{
	uint8_t bytes[READ_BYTES];
	ssize_t got = recv(conn->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (got < 0)
		return errno == EAGAIN || errno == EINTR;
	if (got == 0)
		return false;
	pl_counter_add(PL_COUNTER_PEER_IN_BYTES, (uint64_t)got);
	conn->last_used = now_(conn->net);
	g_byte_array_append(conn->in, bytes, (guint)got);
	if (conn->state == CONN_INCOMING)
		return take_frames_(conn);
	if (conn->state == CONN_CONNECTING && take_challenge_(conn))
		return conn_write_(conn);
	return true;
}

static void conn_ready_(void *ctx, uint32_t events)
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

static void accept_one_(pl_peer_net_t *net, int fd)
{
	uint8_t challenge[PL_FRAME_CHALLENGE_BYTES];
	conn_t *conn = conn_new_(net, fd, CONN_INCOMING, EPOLLIN);

	net->incoming++;
	randombytes_buf(challenge, sizeof(challenge));
	pl_frame_channel_init(&conn->channel, &net->key, challenge);
	g_byte_array_append(conn->out, challenge, sizeof(challenge));
	if (!conn_write_(conn))
		conn_close_(conn);
}

static void listen_ready_(void *ctx, uint32_t events)
{
	pl_peer_net_t *net = ctx;
	int fd;

	while ((fd = accept4(net->listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (net->incoming >= INCOMING_MAX)
			close(fd);
		else
			accept_one_(net, fd);
	}
}

static void sweep_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_peer_net_t *net = ctx;

	pl_list_for_each_safe(node, &net->conns) {
		conn_t *conn = PL_CONTAINER_OF(node, conn_t, link);
		pl_ms_t limit = conn->state == CONN_CONNECTING ?
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
	net->watch =
		pl_loop_watch(loop, listen_fd, EPOLLIN, listen_ready_, net);
	pl_timer_init(&net->report, report_, net);
	pl_timer_init(&net->sweep, sweep_, net);
	pl_timer_arm(pl_loop_timers(loop), &net->sweep, now_(net) + SWEEP_MS);
	return net;
}

void pl_peer_net_delete(pl_peer_net_t *net)
{
	if (!net)
		return;
	pl_list_for_each_safe(node, &net->conns)
		conn_close_(PL_CONTAINER_OF(node, conn_t, link));
	pl_list_for_each_safe(node, &net->failures)
		queued_free_(net, PL_CONTAINER_OF(node, queued_t, link));
	pl_timer_cancel(pl_loop_timers(net->loop), &net->report);
	pl_timer_cancel(pl_loop_timers(net->loop), &net->sweep);
	pl_loop_unwatch(net->loop, net->watch);
	close(net->listen_fd);
	g_hash_table_unref(net->by_peer);
	g_free(net);
}

/* Opens a connection to @p peer; NULL when the kernel refuses at once. */
static conn_t *connect_(pl_peer_net_t *net, pl_member_id_t peer)
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
	conn = conn_new_(net, fd, CONN_CONNECTING, EPOLLIN);
	conn->peer = peer;
	g_hash_table_insert(net->by_peer, &conn->peer, conn);
	return conn;
}

void pl_peer_net_send(pl_peer_net_t *net, const pl_peer_frame_t *frame)
{
	conn_t *conn = g_hash_table_lookup(net->by_peer, &frame->peer);
	queued_t *queued = queued_new_(net, frame);

	if (pl_fault_is_cut(frame->peer)) {
		fail_(net, queued);
		return;
	}
	if (!conn)
		conn = connect_(net, frame->peer);
	if (!conn) {
		fail_(net, queued);
		return;
	}
	pl_list_append(&conn->queue, &queued->link);
	if (conn->state != CONN_OPEN)
		return;
	encode_queue_(conn);
	if (!conn_write_(conn))
		conn_close_(conn);
}

size_t pl_peer_net_pending(const pl_peer_net_t *net)
{
	return net->pending;
}
