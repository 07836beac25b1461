/**
 * @file What a real daemon costs at size: `member_node DAEMON [size ...]`.
 *
 * Starts one entry and plays all its peers from one process: a socket on all
 * loopback addresses answers probes for 127.1.x.y, serves the table over TCP,
 * probes the daemon as often as its peers would, and gossips changes: the
 * day's churn, then the worst minute. The daemon's processor time and memory
 * are read from the kernel. Each line is `name value unit baseline target`.
 * PLATFORM_URL names a platform; without one the daemon runs without it.
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
/** The day's failures and restarts at 6,050 members, three changes each. */
#define CHANGES_PER_S ((7.0 + 800.0) * 3.0 / 86400.0)
#define CHURN_SIZE 6050.0
/** 650 members leave and 650 join within the worst minute. */
#define WORST_CHANGES_PER_S (2.0 * 650 / 60)
#define PROBES_PER_S 2.0
#define PEER_BYTES_PER_S 1600.0
#define RECORDS_PER_DATAGRAM 10
#define CHUNK_RECORDS 1000

/** Part of a run. */
typedef enum {
	PHASE_SETTLE,
	PHASE_DAY,
	PHASE_WORST,
	PHASE_END,
} phase_t;

static const char *const phase_names_[] = { "join", "day", "worst_minute" };
static const pl_ms_t phase_ms_[] = { SETTLE_MS, DAY_MS, WORST_MS };

/** A change on its way to the daemon, heard so many times more. */
typedef struct {
	size_t about;
	unsigned int left;
} change_t;

typedef struct {
	size_t size;
	uint16_t port;
	int udp;
	pid_t daemon;
	pl_member_id_t daemon_id; /* 0 until it was heard */
	bool served; /* it has the table; before, only peer 1 talks to it */
	pl_key_t key;
	pl_gossip_decoder_t *decoder;
	pl_loop_t *loop;
	pl_peer_net_t *net;
	pl_timer_t step;
	GRand *rand;
	GArray *changes;
	uint32_t *incarnations;
	bool *gone;
	phase_t phase;
	pl_ms_t phase_start;
	double cpu_start_s;
	double credit;
	uint64_t in; /* bytes from the daemon, datagrams and frames */
	uint64_t out;
} peers_t;

static void die_(const char *what)
{
	perror(what);
	exit(1);
}

static pl_member_id_t id_of_(const peers_t *peers, size_t peer)
{
	pl_addr_t addr = { .ip = { 127, 1, (uint8_t)(peer >> 8),
				   (uint8_t)peer },
			   .port = peers->port,
			   .family = PL_ADDR_IPV4 };

	return pl_member_id_from_addr(&addr);
}

static void record_(const peers_t *peers, size_t peer,
		    pl_gossip_record_t *record)
{
	g_autofree char *name = g_strdup_printf("dc-%zu", peer % DATACENTRES);
	bool entry = peer % 9 == 0;

	*record = (pl_gossip_record_t){
		.id = id_of_(peers, peer),
		.incarnation = peers->incarnations[peer],
		.state = peers->gone[peer] ? PL_MEMBER_LEFT : PL_MEMBER_ALIVE,
		.role = entry ? PL_MEMBER_ENTRY : PL_MEMBER_AGENT,
		.whole = !peers->gone[peer],
		.boot = pl_hash(&peer, sizeof(peer), peers->incarnations[peer]),
		.datacentre = pl_hash_text(name),
		.started_s = peers->incarnations[peer],
		.attr = { .service = entry ? 0 : pl_hash_text("permit-desk"),
			  .slots = entry ? 0 : 5,
			  .serving_since_s = peers->incarnations[peer] },
	};
}

static void send_(peers_t *peers, size_t from, pl_gossip_message_t *message)
{
	pl_addr_t to = pl_member_id_to_addr(peers->daemon_id);
	struct sockaddr_storage storage;
	socklen_t storage_len = pl_addr_to_sockaddr(&to, &storage);
	uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
	size_t len;

	message->sender = id_of_(peers, from);
	message->incarnation = peers->incarnations[from];
	len = pl_gossip_encode(&peers->key, message, buf, sizeof(buf));
	if (sendto(peers->udp, buf, len, MSG_DONTWAIT,
		   (struct sockaddr *)&storage, storage_len) > 0)
		peers->out += len;
}

/* Takes changes that are on their way. */
static size_t carry_(peers_t *peers, pl_gossip_record_t *records)
{
	size_t count = 0;

	while (count < RECORDS_PER_DATAGRAM && peers->changes->len > 0) {
		guint at = (guint)g_rand_int_range(peers->rand, 0,
						   (gint32)peers->changes->len);
		change_t *change = &g_array_index(peers->changes, change_t, at);

		record_(peers, change->about, &records[count++]);
		if (--change->left == 0)
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

	message.record_count = carry_(peers, records);
	send_(peers, from, &message);
}

static void answer_(peers_t *peers, size_t peer,
		    const pl_gossip_message_t *message)
{
	pl_gossip_record_t record;
	pl_gossip_message_t update = { .type = PL_GOSSIP_UPDATE,
				       .records = &record,
				       .record_count = 1 };

	peers->daemon_id = message->sender;
	if (peers->gone[peer])
		return;
	if (message->type == PL_GOSSIP_PING)
		send_changes_(peers, peer, PL_GOSSIP_ACK, message->sequence);
	if (message->flags & (PL_GOSSIP_WANT_RECORD | PL_GOSSIP_WANT_PEERS)) {
		record_(peers, peer, &record);
		send_(peers, peer, &update);
	}
}

/* The destination address tells which peer a datagram is for. */
static size_t peer_of_(struct msghdr *header)
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

static void readable_(void *ctx, uint32_t events)
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
		peers->in += (size_t)len;
		peer = peer_of_(&header);
		if (peer > 0 && peer < peers->size &&
		    pl_gossip_decode(peers->decoder, buf, (size_t)len,
				     &message) == PL_OK)
			answer_(peers, peer, &message);
	}
}

static void push_(peers_t *peers, pl_member_id_t to, size_t first)
{
	pl_gossip_record_t records[CHUNK_RECORDS];
	pl_gossip_frame_t push = { .records = records };
	pl_peer_frame_t frame = { .peer = to, .type = PL_PEER_TABLE_PUSH };
	uint8_t *body;

	for (size_t i = first;
	     i < peers->size && push.record_count < CHUNK_RECORDS; i++)
		record_(peers, i, &records[push.record_count++]);
	push.last = first + push.record_count >= peers->size;
	body = pl_gossip_encode_frame(&push, &frame.body_len);
	frame.body = body;
	peers->out += frame.body_len;
	pl_peer_net_send(peers->net, &frame);
	g_free(body);
}

static void frame_(void *ctx, const pl_peer_frame_t *frame)
{
	peers_t *peers = ctx;

	peers->in += frame->body_len;
	if (frame->type != PL_PEER_TABLE_PULL)
		return;
	peers->served = true;
	for (size_t i = 1; i < peers->size; i += CHUNK_RECORDS)
		push_(peers, frame->peer, i);
}

static void failed_(void *ctx, const pl_peer_frame_t *frame)
{
	(void)ctx;
	fprintf(stderr, "a frame of type %d failed\n", (int)frame->type);
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
	peers->in = 0;
	peers->out = 0;
}

static void end_phase_(peers_t *peers, pl_ms_t now)
{
	const char *name = phase_names_[peers->phase];
	double seconds = (double)(now - peers->phase_start) / 1000;

	printf("control_bytes_%s_%zu %.0f bytes/s - 6000\n", name, peers->size,
	       (double)(peers->in + peers->out) / seconds);
	printf("control_cpu_%s_%zu %.3f percent - 1.1\n", name, peers->size,
	       100 * (cpu_s_(peers) - peers->cpu_start_s) / seconds);
	printf("control_rss_%s_%zu %.1f MB - 64\n", name, peers->size,
	       rss_mb_(peers));
	fflush(stdout);
	if (peers->phase + 1 == PHASE_END)
		pl_loop_stop(peers->loop);
	start_phase_(peers, peers->phase + 1, now);
}

static bool happens_(peers_t *peers, double per_s)
{
	return g_rand_double(peers->rand) < per_s * STEP_MS / 1000;
}

static size_t any_peer_(peers_t *peers)
{
	size_t peer;

	do {
		peer = (size_t)g_rand_int_range(peers->rand, 2,
						(gint32)peers->size);
	} while (peers->gone[peer]);
	return peer;
}

static void change_(peers_t *peers)
{
	/* peer 1 serves the table and stays */
	change_t change = { .about = (size_t)g_rand_int_range(
				    peers->rand, 2, (gint32)peers->size) };

	change.left = 5 + (unsigned int)(2 * log((double)peers->size));
	peers->incarnations[change.about]++;
	peers->gone[change.about] = !peers->gone[change.about];
	g_array_append_val(peers->changes, change);
}

static void step_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	peers_t *peers = ctx;
	double per_s =
		peers->phase == PHASE_DAY ?
			CHANGES_PER_S * (double)peers->size / CHURN_SIZE :
		peers->phase == PHASE_WORST ? WORST_CHANGES_PER_S :
					      0;
	uint64_t before = peers->out;

	pl_timer_arm(pl_loop_timers(peers->loop), timer, now + STEP_MS);
	if (!peers->served)
		return;
	if (happens_(peers, per_s))
		change_(peers);
	if (happens_(peers, PROBES_PER_S))
		send_changes_(peers, any_peer_(peers), PL_GOSSIP_PING, 1);
	peers->credit = MIN(peers->credit + PEER_BYTES_PER_S * STEP_MS / 1000,
			    PEER_BYTES_PER_S / 4);
	if (peers->credit > 0 && peers->changes->len > 0)
		send_changes_(peers, any_peer_(peers), PL_GOSSIP_UPDATE, 0);
	peers->credit -= (double)(peers->out - before);
	if (now - peers->phase_start >= phase_ms_[peers->phase])
		end_phase_(peers, now);
}

/* Binds to every loopback address, on a port that is free for both. */
static int bind_all_(peers_t *peers)
{
	struct sockaddr_in any = { .sin_family = AF_INET };
	socklen_t len = sizeof(any);
	int on = 1;
	int tcp;

	peers->udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	setsockopt(peers->udp, IPPROTO_IP, IP_PKTINFO, &on, sizeof(on));
	tcp = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (peers->udp < 0 || tcp < 0)
		die_("socket");
	if (setsockopt(peers->udp, SOL_SOCKET, SO_BINDTODEVICE, "lo", 3) < 0 ||
	    setsockopt(tcp, SOL_SOCKET, SO_BINDTODEVICE, "lo", 3) < 0)
		die_("bind to the loopback device");
	if (bind(peers->udp, (struct sockaddr *)&any, sizeof(any)) < 0 ||
	    getsockname(peers->udp, (struct sockaddr *)&any, &len) < 0 ||
	    bind(tcp, (struct sockaddr *)&any, sizeof(any)) < 0 ||
	    listen(tcp, 16) < 0)
		die_("bind");
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
		die_("bind");
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

static void measure_(const char *program, size_t size)
{
	static const pl_peer_net_ops_t net_ops = { frame_, failed_ };
	peers_t peers = { .size = size };
	pl_key_t frame_key;
	int tcp = bind_all_(&peers);

	pl_key_derive(SECRET, "bench", PL_KEY_GOSSIP, &peers.key);
	pl_key_derive(SECRET, "bench", PL_KEY_FRAME, &frame_key);
	peers.decoder = pl_gossip_decoder_new(&peers.key);
	peers.rand = g_rand_new_with_seed((guint32)size);
	peers.changes = g_array_new(FALSE, FALSE, sizeof(change_t));
	peers.incarnations = g_new(uint32_t, size);
	peers.gone = g_new0(bool, size);
	for (size_t i = 0; i < size; i++)
		peers.incarnations[i] = (uint32_t)time(NULL);
	peers.loop = pl_loop_new(NULL);
	peers.net = pl_peer_net_new(peers.loop, tcp, id_of_(&peers, 1),
				    &frame_key, &net_ops, &peers);
	pl_loop_watch(peers.loop, peers.udp, EPOLLIN, readable_, &peers);
	pl_timer_init(&peers.step, step_, &peers);
	pl_timer_arm(pl_loop_timers(peers.loop), &peers.step,
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
	g_free(peers.gone);
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
		measure_(argv[1], strtoul(argv[i], NULL, 10));
	for (size_t i = 0; argc == 2 && i < G_N_ELEMENTS(sizes); i++)
		measure_(argv[1], sizes[i]);
	return 0;
}
