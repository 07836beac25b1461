/**
 * @file
 * Measures what membership costs a real daemon by size of the fleet:
 * `member_node DAEMON [size ...]`.
 *
 * Starts one entry and simulates all its peers in one process. A socket on all
 * loopback addresses answers probes for 127.1.x.y, serves the member table
 * over TCP, probes the daemon as often as real peers would, and gossips
 * changes: first the churn of an ordinary day, then the worst minute. The
 * daemon's CPU time and memory are read from the kernel. Each output line is
 * `name value unit baseline target`. PLATFORM_URL is the URL of a platform;
 * if it is not set, the daemon runs without a platform.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <math.h>
#include <netinet/in.h>
#include <pimentolift/counter.h>
#include <pimentolift/gossip.h>
#include <pimentolift/peer_net.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define SECRET "the secret of the capacity bench"
#define STEP_MS 20
#define DATACENTRES 7
#define SETTLE_MS 15000
#define DAY_MS 60000
#define WORST_MS 60000
/** 7 failures and 800 restarts per day at 6,050 members, three changes each. */
#define CHANGES_PER_S ((7.0 + 800.0) * 3.0 / 86400.0)
/** Number of members that CHANGES_PER_S is for. */
#define CHURN_MEMBERS 6050.0
/** In the worst minute, 650 members leave and 650 join. */
#define WORST_CHANGES_PER_S (2.0 * 650 / 60)
#define PROBES_PER_S 2.0
#define PEER_BYTES_PER_S 1600.0
#define RECORDS_PER_DATAGRAM 10
#define CHUNK_RECORDS 1000

/** Phase of a run; each prints its results when it ends. */
typedef enum {
	PHASE_SETTLE,
	PHASE_DAY,
	PHASE_WORST,
	PHASE_END,
} phase_t;

static const char *const phase_names_[] = { "join", "day", "worst_minute" };
static const pl_ms_t phase_ms_[] = { SETTLE_MS, DAY_MS, WORST_MS };

/** A change that is being gossiped to the daemon. */
typedef struct {
	size_t peer; /**< index of the peer that changed */
	unsigned int transmits_left;
} change_t;

typedef struct {
	size_t size;
	uint16_t port;
	int udp;
	pid_t daemon;
	pl_member_id_t daemon_id; /* 0 until its first datagram */
	bool table_served; /* the table was sent; only peer 1 is active before */
	pl_key_t key;
	pl_gossip_decoder_t *decoder;
	pl_loop_t *loop;
	pl_peer_net_t *net;
	pl_timer_t timer;
	GRand *rand;
	GArray *changes;
	uint32_t *incarnations; /* by peer */
	bool *has_left; /* by peer */
	phase_t phase;
	pl_ms_t phase_start;
	double cpu_start_s;
	double budget_bytes;
	uint64_t bytes_in; /* from the daemon, datagrams and frames */
	uint64_t bytes_out;
} peers_t;

static void exit_with_errno_(const char *what)
{
	perror(what);
	exit(1);
}

static pl_member_id_t peer_id_(const peers_t *peers, size_t peer)
{
	pl_addr_t addr = { .ip = { 127, 1, (uint8_t)(peer >> 8),
				   (uint8_t)peer },
			   .port = peers->port,
			   .family = PL_ADDR_IPV4 };

	return pl_member_id_from_addr(&addr);
}

static void make_record_(const peers_t *peers, size_t peer,
			 pl_gossip_record_t *record)
{
	g_autofree char *name = g_strdup_printf("dc-%zu", peer % DATACENTRES);
	bool entry = peer % 9 == 0;

	*record = (pl_gossip_record_t){
		.id = peer_id_(peers, peer),
		.incarnation = peers->incarnations[peer],
		.state = peers->has_left[peer] ? PL_MEMBER_LEFT :
						 PL_MEMBER_ALIVE,
		.role = entry ? PL_MEMBER_ENTRY : PL_MEMBER_AGENT,
		.full = !peers->has_left[peer],
		.boot = pl_hash(&peer, sizeof(peer), peers->incarnations[peer]),
		.datacentre = pl_hash_text(name),
		.started_s = peers->incarnations[peer],
		.attr = { .service = entry ? 0 : pl_hash_text("permit-desk"),
			  .slots = entry ? 0 : 5,
			  .serving_since_s = peers->incarnations[peer] },
	};
}

static void send_message_(peers_t *peers, size_t from,
			  pl_gossip_message_t *message)
{
	pl_addr_t to = pl_member_id_to_addr(peers->daemon_id);
	struct sockaddr_storage storage;
	socklen_t storage_len = pl_addr_to_sockaddr(&to, &storage);
	uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
	size_t len;

	message->sender = peer_id_(peers, from);
	message->incarnation = peers->incarnations[from];
	len = pl_gossip_encode(&peers->key, message, buf, sizeof(buf));
	if (sendto(peers->udp, buf, len, MSG_DONTWAIT,
		   (struct sockaddr *)&storage, storage_len) > 0)
		peers->bytes_out += len;
}

/* Fills @p records with changes to gossip; returns their number. */
static size_t pack_changes_(peers_t *peers, pl_gossip_record_t *records)
{
	size_t count = 0;

	while (count < RECORDS_PER_DATAGRAM && peers->changes->len > 0) {
		guint at = (guint)g_rand_int_range(peers->rand, 0,
						   (gint32)peers->changes->len);
		change_t *change = &g_array_index(peers->changes, change_t, at);

		make_record_(peers, change->peer, &records[count++]);
		if (--change->transmits_left == 0)
			g_array_remove_index_fast(peers->changes, at);
	}
	return count;
}

static void send_changes_(peers_t *peers, size_t from, pl_gossip_type_t type,
			  uint32_t sequence)
{
	pl_gossip_record_t records[RECORDS_PER_DATAGRAM];
	pl_gossip_message_t message = { .type = type,
					.sequence = sequence,
					.records = records };

	message.record_count = pack_changes_(peers, records);
	send_message_(peers, from, &message);
}

static void answer_message_(peers_t *peers, size_t peer,
			    const pl_gossip_message_t *message)
{
	pl_gossip_record_t record;
	pl_gossip_message_t update = { .type = PL_GOSSIP_UPDATE,
				       .records = &record,
				       .record_count = 1 };

	peers->daemon_id = message->sender;
	if (peers->has_left[peer])
		return;
	if (message->type == PL_GOSSIP_PING)
		send_changes_(peers, peer, PL_GOSSIP_ACK, message->sequence);
	if (message->flags & (PL_GOSSIP_WANT_RECORD | PL_GOSSIP_WANT_PEERS)) {
		make_record_(peers, peer, &record);
		send_message_(peers, peer, &update);
	}
}

/* Index of the peer that a datagram was sent to, from its destination. */
static size_t destination_peer_(struct msghdr *header)
{
	for (struct cmsghdr *part = CMSG_FIRSTHDR(header); part;
	     part = CMSG_NXTHDR(header, part)) {
		struct in_pktinfo info;

		if (part->cmsg_level != IPPROTO_IP ||
		    part->cmsg_type != IP_PKTINFO)
			continue;
		memcpy(&info, CMSG_DATA(part), sizeof(info));
		return ntohl(info.ipi_addr.s_addr) & 0xffffU;
	}
	return 0;
}

static void on_readable_(void *ctx, uint32_t events)
{
	peers_t *peers = ctx;

	(void)events;
	for (;;) {
		uint8_t buf[2048];
		uint8_t control[256];
		struct iovec part = { .iov_base = buf, .iov_len = sizeof(buf) };
		struct msghdr header = { .msg_iov = &part,
					 .msg_iovlen = 1,
					 .msg_control = control,
					 .msg_controllen = sizeof(control) };
		pl_gossip_message_t message;
		ssize_t len = recvmsg(peers->udp, &header, MSG_DONTWAIT);
		size_t peer;

		if (len < 0)
			return;
		peers->bytes_in += (size_t)len;
		peer = destination_peer_(&header);
		if (peer > 0 && peer < peers->size &&
		    pl_gossip_decode(peers->decoder, buf, (size_t)len,
				     &message) == PL_OK)
			answer_message_(peers, peer, &message);
	}
}

static void push_records_(peers_t *peers, pl_member_id_t to, size_t first)
{
	pl_gossip_record_t records[CHUNK_RECORDS];
	pl_gossip_frame_t push = { .records = records };
	pl_peer_frame_t frame = { .peer = to, .type = PL_PEER_TABLE_PUSH };
	uint8_t *body;

	for (size_t i = first;
	     i < peers->size && push.record_count < CHUNK_RECORDS; i++)
		make_record_(peers, i, &records[push.record_count++]);
	push.last = first + push.record_count >= peers->size;
	body = pl_gossip_encode_frame(&push, &frame.body_len);
	frame.body = body;
	peers->bytes_out += frame.body_len;
	pl_peer_net_send(peers->net, &frame);
	g_free(body);
}

static void on_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	peers_t *peers = ctx;

	peers->bytes_in += frame->body_len;
	if (frame->type != PL_PEER_TABLE_PULL)
		return;
	peers->table_served = true;
	for (size_t i = 1; i < peers->size; i += CHUNK_RECORDS)
		push_records_(peers, frame->peer, i);
}

static void on_send_failed_(void *ctx, const pl_peer_frame_t *frame)
{
	(void)ctx;
	fprintf(stderr, "sending a frame of type %d failed\n",
		(int)frame->type);
}

static double cpu_s_(const peers_t *peers)
{
	clockid_t clock;
	struct timespec time;

	if (clock_getcpuclockid(peers->daemon, &clock) != 0 ||
	    clock_gettime(clock, &time) != 0)
		return 0;
	return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static double rss_mb_(const peers_t *peers)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%d/status", (int)peers->daemon);
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	line = strstr(text, "VmRSS:");
	return line ? strtod(line + strlen("VmRSS:"), NULL) / 1024 : 0;
}

static void start_phase_(peers_t *peers, phase_t phase, pl_ms_t now)
{
	peers->phase = phase;
	peers->phase_start = now;
	peers->cpu_start_s = cpu_s_(peers);
	peers->bytes_in = 0;
	peers->bytes_out = 0;
}

static void end_phase_(peers_t *peers, pl_ms_t now)
{
	const char *name = phase_names_[peers->phase];
	double seconds = (double)(now - peers->phase_start) / 1000;

	printf("control_bytes_%s_%zu %.0f bytes/s - 6000\n", name, peers->size,
	       (double)(peers->bytes_in + peers->bytes_out) / seconds);
	printf("control_cpu_%s_%zu %.3f percent - 1.1\n", name, peers->size,
	       100 * (cpu_s_(peers) - peers->cpu_start_s) / seconds);
	printf("control_rss_%s_%zu %.1f MB - 64\n", name, peers->size,
	       rss_mb_(peers));
	fflush(stdout);
	if (peers->phase + 1 == PHASE_END)
		pl_loop_stop(peers->loop);
	start_phase_(peers, peers->phase + 1, now);
}

static bool random_event_(peers_t *peers, double per_s)
{
	return g_rand_double(peers->rand) < per_s * STEP_MS / 1000;
}

static size_t random_running_peer_(peers_t *peers)
{
	size_t peer;

	do {
		peer = (size_t)g_rand_int_range(peers->rand, 2,
						(gint32)peers->size);
	} while (peers->has_left[peer]);
	return peer;
}

static void add_change_(peers_t *peers)
{
	/* peer 1 serves the table and never leaves */
	change_t change = { .peer = (size_t)g_rand_int_range(
				    peers->rand, 2, (gint32)peers->size) };

	change.transmits_left =
		5 + (unsigned int)(2 * log((double)peers->size));
	peers->incarnations[change.peer]++;
	peers->has_left[change.peer] = !peers->has_left[change.peer];
	g_array_append_val(peers->changes, change);
}

static void on_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	peers_t *peers = ctx;
	double per_s =
		peers->phase == PHASE_DAY ?
			CHANGES_PER_S * (double)peers->size / CHURN_MEMBERS :
		peers->phase == PHASE_WORST ? WORST_CHANGES_PER_S :
					      0;
	uint64_t before = peers->bytes_out;

	pl_timer_arm(pl_loop_timers(peers->loop), timer, now + STEP_MS);
	if (!peers->table_served)
		return;
	if (random_event_(peers, per_s))
		add_change_(peers);
	if (random_event_(peers, PROBES_PER_S))
		send_changes_(peers, random_running_peer_(peers),
			      PL_GOSSIP_PING, 1);
	peers->budget_bytes =
		MIN(peers->budget_bytes + PEER_BYTES_PER_S * STEP_MS / 1000,
		    PEER_BYTES_PER_S / 4);
	if (peers->budget_bytes > 0 && peers->changes->len > 0)
		send_changes_(peers, random_running_peer_(peers),
			      PL_GOSSIP_UPDATE, 0);
	peers->budget_bytes -= (double)(peers->bytes_out - before);
	if (now - peers->phase_start >= phase_ms_[peers->phase])
		end_phase_(peers, now);
}

/*
 * Binds a UDP and a TCP socket to every loopback address, on the same port.
 * Returns the TCP socket.
 */
static int bind_loopback_(peers_t *peers)
{
	struct sockaddr_in any = { .sin_family = AF_INET };
	socklen_t len = sizeof(any);
	int on = 1;
	int tcp;

	peers->udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	setsockopt(peers->udp, IPPROTO_IP, IP_PKTINFO, &on, sizeof(on));
	tcp = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (peers->udp < 0 || tcp < 0)
		exit_with_errno_("socket");
	if (setsockopt(peers->udp, SOL_SOCKET, SO_BINDTODEVICE, "lo", 3) < 0 ||
	    setsockopt(tcp, SOL_SOCKET, SO_BINDTODEVICE, "lo", 3) < 0)
		exit_with_errno_("bind to the loopback device");
	if (bind(peers->udp, (struct sockaddr *)&any, sizeof(any)) < 0 ||
	    getsockname(peers->udp, (struct sockaddr *)&any, &len) < 0 ||
	    bind(tcp, (struct sockaddr *)&any, sizeof(any)) < 0 ||
	    listen(tcp, 16) < 0)
		exit_with_errno_("bind");
	peers->port = ntohs(any.sin_port);
	return tcp;
}

static uint16_t free_port_(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) < 0 ||
	    getsockname(fd, (struct sockaddr *)&addr, &len) < 0)
		exit_with_errno_("bind");
	close(fd);
	return ntohs(addr.sin_port);
}

static void start_daemon_(peers_t *peers, const char *program)
{
	const char *platform = g_getenv("PLATFORM_URL");
	g_autofree char *dir = g_dir_make_tmp("member-node-XXXXXX", NULL);
	g_autofree char *path = g_build_filename(dir, "entry.toml", NULL);
	g_autofree char *text = g_strdup_printf(
		"role = \"entry\"\nname = \"real\"\n"
		"environment = \"bench\"\ndatacentre = \"dc-0\"\n"
		"inner = \"127.0.0.1:%u\"\nsecret = \"" SECRET "\"\n"
		"admin = \"127.0.0.1:%u\"\nseeds = [\"127.1.0.1:%u\"]\n"
		"traffic_threads = 1\nlog = \"text\"\n"
		"[platform]\nurl = \"%s\"\ntimeout_ms = 2000\n"
		"[entry]\nlisten = [\"127.0.0.1:%u\"]\n",
		free_port_(), free_port_(), peers->port,
		platform ? platform : "http://127.0.0.1:9", free_port_());
	char *argv[] = { (char *)program, "--config", path, NULL };
	GError *error = NULL;

	if (!g_file_set_contents(path, text, -1, &error) ||
	    !g_spawn_async(NULL, argv, NULL,
			   G_SPAWN_DO_NOT_REAP_CHILD |
				   G_SPAWN_STDOUT_TO_DEV_NULL |
				   G_SPAWN_STDERR_TO_DEV_NULL,
			   NULL, NULL, &peers->daemon, &error)) {
		fprintf(stderr, "%s\n", error->message);
		exit(1);
	}
	peers->phase_start = pl_loop_clock_ms();
}

static void measure_size_(const char *program, size_t size)
{
	static const pl_peer_net_ops_t net_ops = { on_frame_, on_send_failed_ };
	peers_t peers = { .size = size };
	pl_key_t frame_key;
	int tcp = bind_loopback_(&peers);

	pl_key_derive(SECRET, "bench", PL_KEY_GOSSIP, &peers.key);
	pl_key_derive(SECRET, "bench", PL_KEY_FRAME, &frame_key);
	peers.decoder = pl_gossip_decoder_new(&peers.key);
	peers.rand = g_rand_new_with_seed((guint32)size);
	peers.changes = g_array_new(FALSE, FALSE, sizeof(change_t));
	peers.incarnations = g_new(uint32_t, size);
	peers.has_left = g_new0(bool, size);
	for (size_t i = 0; i < size; i++)
		peers.incarnations[i] = (uint32_t)time(NULL);
	peers.loop = pl_loop_new(NULL);
	peers.net = pl_peer_net_new(peers.loop, tcp, peer_id_(&peers, 1),
				    &frame_key, &net_ops, &peers);
	pl_loop_watch(peers.loop, peers.udp, EPOLLIN, on_readable_, &peers);
	pl_timer_init(&peers.timer, on_timer_, &peers);
	pl_timer_arm(pl_loop_timers(peers.loop), &peers.timer,
		     pl_loop_clock_ms());
	start_daemon_(&peers, program);
	pl_loop_run(peers.loop);
	kill(peers.daemon, SIGTERM);
	waitpid(peers.daemon, NULL, 0);
	pl_peer_net_delete(peers.net);
	pl_loop_delete(peers.loop);
	pl_gossip_decoder_delete(peers.decoder);
	g_array_free(peers.changes, TRUE);
	g_rand_free(peers.rand);
	g_free(peers.incarnations);
	g_free(peers.has_left);
	close(peers.udp);
}

int main(int argc, char **argv)
{
	static const size_t sizes[] = { 100, 500, 1500, 6050 };

	if (argc < 2) {
		fprintf(stderr, "usage: member_node DAEMON [size ...]\n");
		return 1;
	}
	for (int i = 2; i < argc; i++)
		measure_size_(argv[1], strtoul(argv[i], NULL, 10));
	for (size_t i = 0; argc == 2 && i < G_N_ELEMENTS(sizes); i++)
		measure_size_(argv[1], sizes[i]);
	return 0;
}
