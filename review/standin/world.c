/**
 * @file
 * A small deployment for the cases of the review.
 */
#define _GNU_SOURCE
#include "world.h"

#include "store.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/** Ports, the same on all machines. */
#define PORT_STORE 8169
#define PORT_DATAGRAMS 8172
#define PORT_READY 8167
#define PORT_CONTROL 8166
#define PORT_OUTBOUND 8162
#define PORT_APP 8165
#define PORT_INNER 7720
#define PORT_ADMIN 9464

/** Packets of the platform. */
#define HEADER_BYTES 34
#define DATA_MAX 1200
#define FLAG_RST 1
#define FLAG_BOUNCED 4
#define FLAG_SYN 8
#define FLAG_ACK 32
#define FLAG_FIN 64
#define RESET_WINDOW 76800

#define CLIENTS_MAX 8
#define COPY_1_MS 200
#define COPY_2_MS 600
#define OPEN_MS 1400
#define RESEND_MS 200
#define RESEND_MAX_MS 1600
#define RESENDS_MAX 8
#define READY_PROBE_MS 500
#define CALL_TIMEOUT_MS 1000
#define FLOWS_PER_CLIENT 30000
#define PORT_FIRST 20000
#define REQUESTS_MAX 131072
#define STOP_MS 8000
/** Endpoints start this long after the system's processes. */
#define ENDPOINTS_AFTER_MS 500

typedef struct {
	uint32_t sum;
	uint32_t src;
	uint32_t dst;
	uint16_t sport;
	uint16_t dport;
	uint32_t echo;
	uint32_t seq;
	uint32_t ack;
	uint16_t len;
	uint8_t flags;
	uint8_t pad[3];
	const uint8_t *data;
} packet_t;

typedef enum { FLOW_OPENING, FLOW_OPEN, FLOW_ENDED } flow_state_t;

/** A flow, as its client sees it. */
typedef struct {
	flow_state_t state;
	int client;
	uint16_t sport;
	uint32_t dst;
	uint16_t dport;
	int every_ms;
	uint32_t seq; /**< next of the client */
	uint32_t server_seq; /**< next expected of the server */
	uint32_t unacked; /**< start of the request in flight */
	int64_t opened_at;
	int copies;
	int owner; /**< agent whose endpoint holds the flow, or -1 */
	uint64_t owner_born;
	int64_t open_at_owner; /**< when the flow opened at its endpoint */
	bool waiting; /**< for an answer */
	uint64_t request_id;
	int64_t asked_at;
	int64_t next_request;
	int64_t next_send;
	int resend_ms;
	char request[160];
	size_t request_len;
} flow_t;

typedef enum { HELD_HALF, HELD_OPEN, HELD_ENDED } held_state_t;

/** A flow, as an endpoint sees it. */
typedef struct {
	bool used;
	held_state_t state;
	uint32_t src;
	uint32_t dst;
	uint16_t sport;
	uint16_t dport;
	uint32_t isn;
	uint32_t seq; /**< next to send */
	uint32_t client_seq; /**< next expected */
	uint64_t request_id; /**< in work, or 0 */
	int64_t answer_at;
	uint32_t unacked;
	int64_t next_send;
	int resend_ms;
	int resends;
	char answer[192];
	size_t answer_len; /**< 0: nothing in flight */
} held_t;

typedef struct {
	char ip[32];
	char id[32];
	char address[48];
	uint64_t born;
	_Atomic uint64_t sequence;
	atomic_bool up;
	int fd; /* UDP, the address app */
	int listener;
	int connections[8];
	held_t *held; /* by number of the flow */
	/* flows with a request in work or an answer in flight */
	int *busy;
	int busy_count;
	pthread_t beats;
} endpoint_t;

typedef struct {
	bool entry;
	int index;
	char ip[32];
	char store_ip[32];
	int store; /* number of the machine in the store */
	char settings[256];
	char log[256];
	pid_t pid;
	atomic_bool in_rotation;
	pthread_t probes;
} node_t;

static world_spec_t spec_;
static char dir_[] = "/tmp/review-XXXXXX";
static unsigned int net_;
static node_t entries_[ENTRIES_MAX];
static node_t agents_[AGENTS_MAX];
static endpoint_t endpoints_[AGENTS_MAX];
static flow_t flows_[FLOWS_MAX];
static int flow_count_;
/* flows that have not ended */
static int active_[FLOWS_MAX];
static int active_count_;
static int client_fds_[CLIENTS_MAX];
static int client_count_;
static world_counts_t counts_;
static uint8_t ran_[REQUESTS_MAX];
static uint64_t next_request_id_ = 1;
static FILE *record_;
static pthread_mutex_t record_lock_ = PTHREAD_MUTEX_INITIALIZER;
static int64_t started_at_;

/* ---- time and the record ---- */

int64_t world_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static uint64_t unix_ms_(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void write_line_(const char *format, va_list args)
{
	pthread_mutex_lock(&record_lock_);
	fprintf(record_, "%8.3f ",
		(double)(world_now_ms() - started_at_) / 1000.0);
	vfprintf(record_, format, args);
	fputc('\n', record_);
	fflush(record_);
	pthread_mutex_unlock(&record_lock_);
}

void world_note(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_line_(format, args);
	va_end(args);
}

__attribute__((noreturn, format(printf, 1, 2))) static void
fail_(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_line_(format, args);
	va_end(args);
	for (int i = 0; i < ENTRIES_MAX; i++) {
		if (entries_[i].pid > 0)
			kill(entries_[i].pid, SIGKILL);
	}
	for (int i = 0; i < AGENTS_MAX; i++) {
		if (agents_[i].pid > 0)
			kill(agents_[i].pid, SIGKILL);
	}
	_exit(CASE_FAILED);
}

bool world_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

const world_counts_t *world_counts(void)
{
	return &counts_;
}

/* ---- packets ---- */

static uint32_t get32_(const uint8_t *at)
{
	return (uint32_t)at[0] | (uint32_t)at[1] << 8 | (uint32_t)at[2] << 16 |
	       (uint32_t)at[3] << 24;
}

static void put32_(uint8_t *at, uint32_t value)
{
	for (int i = 0; i < 4; i++)
		at[i] = (uint8_t)(value >> (8 * i));
}

static uint16_t get16_(const uint8_t *at)
{
	return (uint16_t)(at[0] | at[1] << 8);
}

static void put16_(uint8_t *at, uint16_t value)
{
	at[0] = (uint8_t)value;
	at[1] = (uint8_t)(value >> 8);
}

/* Keyed sum over all fields except echo, pad and BOUNCED. */
static uint32_t sum_(const uint8_t *bytes, size_t len)
{
	uint32_t sum = 0x9e3779b9;

	for (size_t i = 4; i < len; i++) {
		uint8_t byte = bytes[i];

		if ((i >= 16 && i < 20) || (i >= 31 && i < 34))
			continue;
		if (i == 30)
			byte &= (uint8_t)~FLAG_BOUNCED;
		sum = (sum ^ byte) * 16777619U;
	}
	return sum ? sum : 1;
}

static bool read_packet_(const uint8_t *bytes, size_t len, packet_t *packet)
{
	if (len < HEADER_BYTES)
		return false;
	packet->sum = get32_(bytes);
	packet->src = get32_(bytes + 4);
	packet->dst = get32_(bytes + 8);
	packet->sport = get16_(bytes + 12);
	packet->dport = get16_(bytes + 14);
	packet->echo = get32_(bytes + 16);
	packet->seq = get32_(bytes + 20);
	packet->ack = get32_(bytes + 24);
	packet->len = get16_(bytes + 28);
	packet->flags = bytes[30];
	memcpy(packet->pad, bytes + 31, 3);
	packet->data = bytes + HEADER_BYTES;
	return packet->len == len - HEADER_BYTES;
}

static size_t write_packet_(const packet_t *packet, uint8_t *out)
{
	memset(out, 0, HEADER_BYTES);
	put32_(out + 4, packet->src);
	put32_(out + 8, packet->dst);
	put16_(out + 12, packet->sport);
	put16_(out + 14, packet->dport);
	put32_(out + 20, packet->seq);
	put32_(out + 24, packet->ack);
	put16_(out + 28, packet->len);
	out[30] = packet->flags;
	if (packet->len > 0)
		memcpy(out + HEADER_BYTES, packet->data, packet->len);
	put32_(out, sum_(out, HEADER_BYTES + packet->len));
	return HEADER_BYTES + packet->len;
}

static bool is_unaltered_(const uint8_t *bytes, size_t len,
			  const packet_t *packet)
{
	static const uint8_t none[3];

	return packet->sum == sum_(bytes, len) && packet->echo == 0 &&
	       memcmp(packet->pad, none, sizeof(none)) == 0;
}

/* ---- addresses and sockets ---- */

static uint32_t ip_number_(const char *text)
{
	struct in_addr addr;

	inet_pton(AF_INET, text, &addr);
	return ntohl(addr.s_addr);
}

static struct sockaddr_in sockaddr_(const char *ip, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };

	inet_pton(AF_INET, ip, &addr.sin_addr);
	return addr;
}

static int open_udp_(const char *ip, uint16_t port)
{
	struct sockaddr_in addr = sockaddr_(ip, port);
	int size = 4 * 1024 * 1024;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0)
		fail_("cannot bind %s:%u: %s", ip, port, strerror(errno));
	return fd;
}

static int open_listener_(const char *ip, uint16_t port)
{
	struct sockaddr_in addr = sockaddr_(ip, port);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(fd, 16) != 0)
		fail_("cannot listen at %s:%u: %s", ip, port, strerror(errno));
	return fd;
}

static void send_to_(int fd, const char *ip, uint16_t port,
		     const uint8_t *bytes, size_t len)
{
	struct sockaddr_in addr = sockaddr_(ip, port);

	sendto(fd, bytes, len, MSG_DONTWAIT, (struct sockaddr *)&addr,
	       sizeof(addr));
}

/* Calls @p method @p path at @p ip:@p port and returns the status, 0 without an
 * answer within CALL_TIMEOUT_MS. */
static int call_(const char *ip, uint16_t port, const char *method,
		 const char *path, const char *body)
{
	struct sockaddr_in addr = sockaddr_(ip, port);
	struct sockaddr_in source = sockaddr_(ip, 0);
	struct timeval timeout = { .tv_sec = CALL_TIMEOUT_MS / 1000 };
	char buffer[4096];
	size_t len = 0;
	int status = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	/* calls of an endpoint come from its own machine */
	bind(fd, (struct sockaddr *)&source, sizeof(source));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0) {
		int n = snprintf(buffer, sizeof(buffer),
				 "%s %s HTTP/1.1\r\nHost: %s:%u\r\n"
				 "Content-Type: application/json\r\n"
				 "Content-Length: %zu\r\n\r\n%s",
				 method, path, ip, port, strlen(body), body);

		send(fd, buffer, (size_t)n, MSG_NOSIGNAL);
		while (len < sizeof(buffer) - 1) {
			ssize_t got = recv(fd, buffer + len,
					   sizeof(buffer) - 1 - len, 0);

			if (got <= 0)
				break;
			len += (size_t)got;
			buffer[len] = '\0';
			if (strstr(buffer, "\r\n\r\n")) {
				sscanf(buffer, "HTTP/1.1 %d", &status);
				break;
			}
		}
	}
	close(fd);
	return status;
}

/* ---- endpoints ---- */

static int endpoint_of_(const endpoint_t *endpoint)
{
	return (int)(endpoint - endpoints_);
}

/* Flows have one number, which gives their client and port. */
static int client_of_(int number)
{
	return number / FLOWS_PER_CLIENT;
}

static uint16_t port_of_(int number)
{
	return (uint16_t)(PORT_FIRST + number % FLOWS_PER_CLIENT);
}

static int flow_number_(uint32_t client_ip, uint16_t port)
{
	int client = (int)(client_ip & 255) - 1;

	if (port < PORT_FIRST || client < 0)
		return -1;
	return client * FLOWS_PER_CLIENT + port - PORT_FIRST;
}

static flow_t *flow_of_packet_(uint32_t client_ip, uint16_t port)
{
	int number = flow_number_(client_ip, port);

	return number >= 0 && number < flow_count_ ? &flows_[number] : NULL;
}

/* Record of the packet's flow, whether it is in use or not; NULL for a packet
 * that no client sent. */
static held_t *held_of_(endpoint_t *endpoint, const packet_t *packet)
{
	int number = flow_number_(packet->src, packet->sport);

	return number >= 0 && number < FLOWS_MAX ? &endpoint->held[number] :
						   NULL;
}

static void endpoint_send_(endpoint_t *endpoint, const held_t *held,
			   uint8_t flags, uint32_t seq, const char *data,
			   size_t len)
{
	const packet_t packet = {
		.src = held->dst,
		.dst = held->src,
		.sport = held->dport,
		.dport = held->sport,
		.seq = seq,
		.ack = held->client_seq,
		.len = (uint16_t)len,
		.flags = flags,
		.data = (const uint8_t *)data,
	};
	uint8_t bytes[HEADER_BYTES + DATA_MAX];
	size_t size = write_packet_(&packet, bytes);

	send_to_(endpoint->fd, endpoint->ip, PORT_OUTBOUND, bytes, size);
}

static void endpoint_run_(endpoint_t *endpoint, held_t *held,
			  const packet_t *packet)
{
	char text[DATA_MAX + 1];
	const char *field;
	uint64_t id;

	memcpy(text, packet->data, packet->len);
	text[packet->len] = '\0';
	field = strstr(text, "Request-Id: ");
	id = field ? strtoull(field + 12, NULL, 10) : 0;
	if (id == 0 || id >= REQUESTS_MAX) {
		counts_.altered++;
		return;
	}
	if (ran_[id]++ > 0)
		counts_.twice++;
	world_note("endpoint %d (%s) runs request %llu", endpoint_of_(endpoint),
		   endpoint->id, (unsigned long long)id);
	held->request_id = id;
	endpoint->busy[endpoint->busy_count++] = (int)(held - endpoint->held);
	held->answer_at =
		world_now_ms() + spec_.agent[endpoint_of_(endpoint)].work_ms;
}

static void endpoint_on_held_(endpoint_t *endpoint, held_t *held,
			      const packet_t *packet)
{
	if (held->state == HELD_HALF) {
		flow_t *flow;

		if (packet->ack != held->isn + 1)
			return;
		held->state = HELD_OPEN;
		flow = flow_of_packet_(packet->src, packet->sport);
		if (flow) {
			flow->owner = endpoint_of_(endpoint);
			flow->owner_born = endpoint->born;
			flow->open_at_owner = world_now_ms();
			world_note("flow %d is open at endpoint %d",
				   (int)(flow - flows_), flow->owner);
		}
	}
	if (held->answer_len > 0 &&
	    (int32_t)(packet->ack - held->unacked) >= (int32_t)held->answer_len)
		held->answer_len = 0;
	if (packet->flags & FLAG_FIN) {
		held->state = HELD_ENDED;
		held->client_seq = packet->seq + packet->len + 1;
		endpoint_send_(endpoint, held, FLAG_ACK | FLAG_FIN, held->seq,
			       NULL, 0);
		return;
	}
	if (packet->len == 0)
		return;
	if (held->state == HELD_ENDED) {
		endpoint_send_(endpoint, held, FLAG_RST, held->seq, NULL, 0);
		return;
	}
	if (packet->seq == held->client_seq) {
		held->client_seq += packet->len;
		endpoint_run_(endpoint, held, packet);
	}
	endpoint_send_(endpoint, held, FLAG_ACK, held->seq, NULL, 0);
}

static void endpoint_on_syn_(endpoint_t *endpoint, held_t *held,
			     const packet_t *packet)
{
	if (!held->used) {
		*held = (held_t){ .used = true,
				  .state = HELD_HALF,
				  .src = packet->src,
				  .dst = packet->dst,
				  .sport = packet->sport,
				  .dport = packet->dport,
				  .isn = (uint32_t)random() * 2U,
				  .client_seq = packet->seq + 1 };
		held->seq = held->isn + 1;
	}
	endpoint_send_(endpoint, held, FLAG_SYN | FLAG_ACK, held->isn, NULL, 0);
}

static void endpoint_on_packet_(endpoint_t *endpoint, uint8_t *bytes,
				size_t len)
{
	packet_t packet;
	held_t *held;

	if (!read_packet_(bytes, len, &packet) ||
	    !is_unaltered_(bytes, len, &packet)) {
		counts_.altered++;
		world_note("endpoint %d got a packet that was altered",
			   endpoint_of_(endpoint));
		return;
	}
	held = held_of_(endpoint, &packet);
	if (!held) {
		counts_.altered++;
		return;
	}
	if ((packet.flags & (FLAG_SYN | FLAG_ACK)) == FLAG_SYN) {
		endpoint_on_syn_(endpoint, held, &packet);
		return;
	}
	if (held->used) {
		endpoint_on_held_(endpoint, held, &packet);
		return;
	}
	bytes[30] |= FLAG_BOUNCED;
	memset(bytes + 31, 0, 3);
	send_to_(endpoint->fd, endpoint->ip, PORT_OUTBOUND, bytes, len);
}

static void endpoint_answer_(endpoint_t *endpoint, held_t *held)
{
	char body[128];

	snprintf(body, sizeof(body), "answer to %llu",
		 (unsigned long long)held->request_id);
	held->answer_len = (size_t)snprintf(
		held->answer, sizeof(held->answer),
		"HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nRequest-Id: %llu\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		endpoint->id, (unsigned long long)held->request_id,
		strlen(body), body);
	held->request_id = 0;
	held->unacked = held->seq;
	held->seq += (uint32_t)held->answer_len;
	held->next_send = 0;
	held->resend_ms = RESEND_MS;
	held->resends = 0;
}

/* Answers the flow's request, sends its answer again, or neither; false once
 * the answer has arrived. */
static bool endpoint_serve_(endpoint_t *endpoint, held_t *held, int64_t now)
{
	if (held->request_id != 0 && now < held->answer_at)
		return true;
	if (held->request_id != 0)
		endpoint_answer_(endpoint, held);
	if (held->answer_len == 0)
		return false;
	if (now < held->next_send)
		return true;
	if (held->resends++ > RESENDS_MAX) {
		held->answer_len = 0;
		return false;
	}
	endpoint_send_(endpoint, held, FLAG_ACK, held->unacked, held->answer,
		       held->answer_len);
	held->next_send = now + held->resend_ms;
	held->resend_ms = held->resend_ms * 2 > RESEND_MAX_MS ?
				  RESEND_MAX_MS :
				  held->resend_ms * 2;
	return true;
}

static void endpoint_step_(endpoint_t *endpoint)
{
	int64_t now = world_now_ms();

	for (int i = endpoint->busy_count; i-- > 0;) {
		held_t *held = &endpoint->held[endpoint->busy[i]];

		if (!endpoint_serve_(endpoint, held, now))
			endpoint->busy[i] =
				endpoint->busy[--endpoint->busy_count];
	}
}

static void send_beat_(endpoint_t *endpoint)
{
	const agent_spec_t *spec = &spec_.agent[endpoint_of_(endpoint)];
	char path[64];
	char body[512];

	snprintf(path, sizeof(path), "/v1/instances/%s", endpoint->id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"max_concurrency\":%d,"
		 "\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":%llu,"
		 "\"born\":%llu}",
		 spec->service, endpoint->address, spec->zone, spec->slots,
		 (unsigned long long)atomic_fetch_add(&endpoint->sequence, 1) +
			 1,
		 (unsigned long long)endpoint->born);
	call_(endpoint->ip, PORT_CONTROL, "PUT", path, body);
}

static void *beats_main_(void *ctx)
{
	endpoint_t *endpoint = ctx;

	for (;;) {
		if (atomic_load(&endpoint->up))
			send_beat_(endpoint);
		for (int waited = 0; waited < HEARTBEAT_MS; waited += 50) {
			usleep(50000);
			if (atomic_load(&endpoint->up) &&
			    atomic_load(&endpoint->sequence) == 0)
				break;
		}
	}
	return NULL;
}

static void start_endpoint_(int agent)
{
	endpoint_t *endpoint = &endpoints_[agent];

	endpoint->born = unix_ms_();
	snprintf(endpoint->id, sizeof(endpoint->id), "i-%02d%08x", agent,
		 (unsigned int)random());
	snprintf(endpoint->address, sizeof(endpoint->address), "%s:%d",
		 endpoint->ip, PORT_APP);
	atomic_store(&endpoint->sequence, 0);
	memset(endpoint->held, 0, FLOWS_MAX * sizeof(held_t));
	endpoint->busy_count = 0;
	endpoint->fd = open_udp_(endpoint->ip, PORT_APP);
	endpoint->listener = open_listener_(endpoint->ip, PORT_APP);
	for (int i = 0; i < 8; i++)
		endpoint->connections[i] = -1;
	world_note("endpoint %d starts as %s of %s", agent, endpoint->id,
		   spec_.agent[agent].service);
	atomic_store(&endpoint->up, true);
}

const char *world_endpoint_id(int agent)
{
	return endpoints_[agent].id;
}

const char *world_endpoint_address(int agent)
{
	return endpoints_[agent].address;
}

uint64_t world_endpoint_born(int agent)
{
	return endpoints_[agent].born;
}

int world_send_heartbeat(int agent, const char *id, const char *body)
{
	char path[128];
	int status;

	snprintf(path, sizeof(path), "/v1/instances/%s", id);
	status = call_(endpoints_[agent].ip, PORT_CONTROL, "PUT", path, body);
	world_note("PUT %s at agent %d: %d, %s", path, agent, status, body);
	return status;
}

/* ---- router and clients ---- */

static void *probes_main_(void *ctx)
{
	node_t *node = ctx;
	int misses = 2;

	for (;;) {
		int status =
			call_(node->ip, PORT_READY, "GET", "/v1/ready", "");
		bool before = atomic_load(&node->in_rotation);

		misses = status == 200 ? 0 : misses + 1;
		atomic_store(&node->in_rotation, misses < 2);
		if (before != (misses < 2))
			world_note("entry %d %s rotation", node->index,
				   misses < 2 ? "joins the" : "leaves the");
		usleep(READY_PROBE_MS * 1000);
	}
	return NULL;
}

/* The entry that the routers choose for a flow, by a hash modulo the number of
 * entries in rotation. */
static const node_t *route_(const flow_t *flow)
{
	const node_t *ready[ENTRIES_MAX];
	unsigned int count = 0;
	unsigned int hash = (flow->sport * 2654435761U) >> 8;

	for (int i = 0; i < spec_.entries; i++) {
		if (atomic_load(&entries_[i].in_rotation))
			ready[count++] = &entries_[i];
	}
	if (count == 0)
		return &entries_[hash % (unsigned int)spec_.entries];
	return ready[hash % count];
}

static void client_send_(const flow_t *flow, uint8_t flags, uint32_t seq,
			 uint32_t ack, const char *data, size_t len)
{
	char ip[32];
	packet_t packet = {
		.dst = flow->dst,
		.sport = flow->sport,
		.dport = flow->dport,
		.seq = seq,
		.ack = ack,
		.len = (uint16_t)len,
		.flags = flags,
		.data = (const uint8_t *)data,
	};
	uint8_t bytes[HEADER_BYTES + DATA_MAX];
	size_t size;

	snprintf(ip, sizeof(ip), "127.%u.3.%d", net_, flow->client + 1);
	packet.src = ip_number_(ip);
	size = write_packet_(&packet, bytes);
	send_to_(client_fds_[flow->client], route_(flow)->ip, PORT_DATAGRAMS,
		 bytes, size);
}

static void open_client_(int client)
{
	char ip[32];

	while (client_count_ <= client) {
		snprintf(ip, sizeof(ip), "127.%u.3.%d", net_,
			 client_count_ + 1);
		client_fds_[client_count_++] = open_udp_(ip, PORT_DATAGRAMS);
	}
}

static flow_t *open_flow_(int number, const char *host, uint16_t port)
{
	flow_t *flow = &flows_[number];

	open_client_(client_of_(number));
	*flow = (flow_t){
		.client = client_of_(number),
		.sport = port_of_(number),
		.dst = ip_number_(host),
		.dport = port,
		.seq = (uint32_t)random() * 2U,
		.owner = -1,
	};
	active_[active_count_++] = number;
	flow->opened_at = world_now_ms();
	client_send_(flow, FLAG_SYN, flow->seq, 0, NULL, 0);
	flow->copies = 1;
	return flow;
}

int world_open_flow(const char *host, uint16_t port, int every_ms)
{
	if (flow_count_ == FLOWS_MAX)
		fail_("too many flows");
	open_flow_(flow_count_, host, port)->every_ms = every_ms;
	return flow_count_++;
}

int world_flow_owner(int flow)
{
	return flows_[flow].owner;
}

static void start_request_(flow_t *flow, int64_t now)
{
	if (next_request_id_ == REQUESTS_MAX)
		fail_("too many requests");
	flow->request_id = next_request_id_++;
	flow->request_len = (size_t)snprintf(
		flow->request, sizeof(flow->request),
		"POST /apply HTTP/1.1\r\nHost: desk\r\nRequest-Id: %llu\r\n"
		"Content-Length: 0\r\n\r\n",
		(unsigned long long)flow->request_id);
	flow->waiting = true;
	flow->asked_at = now;
	flow->unacked = flow->seq;
	flow->seq += (uint32_t)flow->request_len;
	flow->next_send = now;
	flow->resend_ms = RESEND_MS;
	counts_.requests++;
	world_note("flow %d sends request %llu", (int)(flow - flows_),
		   (unsigned long long)flow->request_id);
}

/* Whether the endpoint that holds the flow lives and holds it. */
static bool is_held_(const flow_t *flow)
{
	const endpoint_t *endpoint;

	if (flow->owner < 0)
		return false;
	endpoint = &endpoints_[flow->owner];
	return atomic_load(&endpoint->up) && endpoint->born == flow->owner_born;
}

static void client_on_reset_(flow_t *flow, const packet_t *packet)
{
	uint32_t distance = packet->seq - flow->server_seq;
	int number = (int)(flow - flows_);

	if (flow->state != FLOW_OPEN) {
		world_note("flow %d gets a reset while it opens", number);
		flow->state = FLOW_ENDED;
		return;
	}
	counts_.resets_open++;
	if (packet->sum != 0 ||
	    (distance > RESET_WINDOW && -distance > RESET_WINDOW)) {
		world_note("flow %d gets a reset that is none", number);
		counts_.altered++;
		return;
	}
	world_note("flow %d gets a reset of the system%s; its endpoint %d %s",
		   number, flow->waiting ? ", a request is cut off" : "",
		   flow->owner,
		   is_held_(flow) ? "lives and holds it" : "is gone");
	if (is_held_(flow)) {
		counts_.resets_broken++;
		counts_.requests_cut += flow->waiting;
	}
	flow->state = FLOW_ENDED;
	flow->waiting = false;
}

static void client_on_data_(flow_t *flow, const packet_t *packet)
{
	char text[DATA_MAX + 1];
	char wanted[64];

	if (packet->seq == flow->server_seq) {
		memcpy(text, packet->data, packet->len);
		text[packet->len] = '\0';
		snprintf(wanted, sizeof(wanted), "\r\n\r\nanswer to %llu",
			 (unsigned long long)flow->request_id);
		flow->server_seq += packet->len;
		if (!strstr(text, wanted)) {
			counts_.altered++;
			world_note("flow %d gets a wrong answer",
				   (int)(flow - flows_));
		} else if (flow->waiting) {
			counts_.answered++;
			world_note("flow %d gets the answer to request %llu",
				   (int)(flow - flows_),
				   (unsigned long long)flow->request_id);
		}
		flow->waiting = false;
		flow->next_request = world_now_ms() + flow->every_ms;
	}
	client_send_(flow, FLAG_ACK, flow->seq, flow->server_seq, NULL, 0);
}

static void client_on_packet_(const uint8_t *bytes, size_t len)
{
	packet_t packet;
	flow_t *flow;

	if (!read_packet_(bytes, len, &packet)) {
		counts_.altered++;
		return;
	}
	flow = flow_of_packet_(packet.dst, packet.dport);
	if (!flow || packet.src != flow->dst || packet.sport != flow->dport) {
		counts_.altered++;
		world_note("a client gets a packet that is not its own");
		return;
	}
	if (flow->state == FLOW_ENDED)
		return;
	if (packet.flags & FLAG_RST) {
		client_on_reset_(flow, &packet);
		return;
	}
	if (packet.sum != sum_(bytes, len)) {
		counts_.altered++;
		world_note("a client gets a packet that was altered");
		return;
	}
	if (packet.flags & FLAG_SYN) {
		if (flow->state != FLOW_OPENING)
			return;
		flow->state = FLOW_OPEN;
		flow->seq++;
		flow->server_seq = packet.seq + 1;
		client_send_(flow, FLAG_ACK, flow->seq, flow->server_seq, NULL,
			     0);
		flow->next_request = world_now_ms();
		return;
	}
	if (flow->state == FLOW_OPEN && packet.len > 0)
		client_on_data_(flow, &packet);
}

static void open_step_(flow_t *flow, int64_t now)
{
	int64_t age = now - flow->opened_at;

	if (age >= OPEN_MS) {
		world_note("flow %d did not open", (int)(flow - flows_));
		flow->state = FLOW_ENDED;
	} else if ((flow->copies == 1 && age >= COPY_1_MS) ||
		   (flow->copies == 2 && age >= COPY_2_MS)) {
		client_send_(flow, FLAG_SYN, flow->seq, (uint32_t)flow->copies,
			     NULL, 0);
		flow->copies++;
	}
}

static void client_step_(flow_t *flow)
{
	int64_t now = world_now_ms();

	if (flow->state == FLOW_OPENING) {
		open_step_(flow, now);
		return;
	}
	if (flow->state != FLOW_OPEN)
		return;
	if (!flow->waiting) {
		if (now < flow->next_request)
			return;
		start_request_(flow, now);
	}
	if (now - flow->asked_at >= REQUEST_DEADLINE_MS) {
		counts_.unanswered++;
		world_note("flow %d gives up request %llu at its deadline",
			   (int)(flow - flows_),
			   (unsigned long long)flow->request_id);
		flow->state = FLOW_ENDED;
		return;
	}
	if (now < flow->next_send)
		return;
	client_send_(flow, FLAG_ACK, flow->unacked, flow->server_seq,
		     flow->request, flow->request_len);
	flow->next_send = now + flow->resend_ms;
	flow->resend_ms = flow->resend_ms * 2 > RESEND_MAX_MS ?
				  RESEND_MAX_MS :
				  flow->resend_ms * 2;
}

/* ---- the loop ---- */

static void accept_connections_(endpoint_t *endpoint)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\n"
				     "Content-Length: 0\r\n\r\n";
	char bytes[1024];

	for (int i = 0; i < 8; i++) {
		int *fd = &endpoint->connections[i];
		ssize_t got;

		if (*fd < 0)
			*fd = accept4(endpoint->listener, NULL, NULL,
				      SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (*fd < 0)
			continue;
		got = recv(*fd, bytes, sizeof(bytes), 0);
		if (got > 0)
			send(*fd, answer, strlen(answer), MSG_NOSIGNAL);
		if (got > 0 || (got < 0 && errno == EAGAIN))
			continue;
		close(*fd);
		*fd = -1;
	}
}

static void read_sockets_(void)
{
	uint8_t bytes[2048];
	ssize_t got;

	for (int i = 0; i < spec_.agents; i++) {
		endpoint_t *endpoint = &endpoints_[i];

		if (!atomic_load(&endpoint->up))
			continue;
		accept_connections_(endpoint);
		while ((got = recv(endpoint->fd, bytes, sizeof(bytes), 0)) > 0)
			endpoint_on_packet_(endpoint, bytes, (size_t)got);
		endpoint_step_(endpoint);
	}
	for (int i = 0; i < client_count_; i++) {
		while ((got = recv(client_fds_[i], bytes, sizeof(bytes), 0)) >
		       0)
			client_on_packet_(bytes, (size_t)got);
	}
	for (int i = active_count_; i-- > 0;) {
		client_step_(&flows_[active_[i]]);
		if (flows_[active_[i]].state == FLOW_ENDED)
			active_[i] = active_[--active_count_];
	}
}

static void check_nodes_(void)
{
	for (int i = 0; i < spec_.entries + spec_.agents; i++) {
		node_t *node = i < spec_.entries ? &entries_[i] :
						   &agents_[i - spec_.entries];
		int status;

		if (node->pid > 0 &&
		    waitpid(node->pid, &status, WNOHANG) == node->pid) {
			world_note("%s %d ended, status 0x%x",
				   node->entry ? "entry" : "agent", node->index,
				   status);
			node->pid = 0;
		}
	}
}

void world_run(int ms)
{
	int64_t until = world_now_ms() + ms;

	while (world_now_ms() < until) {
		struct pollfd fds[AGENTS_MAX + CLIENTS_MAX];
		nfds_t count = 0;

		for (int i = 0; i < spec_.agents; i++) {
			if (atomic_load(&endpoints_[i].up))
				fds[count++] =
					(struct pollfd){ endpoints_[i].fd,
							 POLLIN, 0 };
		}
		for (int i = 0; i < client_count_; i++)
			fds[count++] =
				(struct pollfd){ client_fds_[i], POLLIN, 0 };
		poll(fds, count, 1);
		read_sockets_();
		check_nodes_();
	}
}

void world_wait_ready(int ms)
{
	int64_t until = world_now_ms() + ms;

	for (;;) {
		int ready = 0;

		for (int i = 0; i < spec_.entries; i++)
			ready += atomic_load(&entries_[i].in_rotation);
		if (ready == spec_.entries)
			return;
		if (world_now_ms() >= until)
			fail_("the entries did not become ready");
		world_run(50);
	}
}

/* ---- store and operator ---- */

void world_put_config(const char *text)
{
	uint64_t revision = store_put("op/config", text);

	world_note("the operator writes op/config, revision %llu: %s",
		   (unsigned long long)revision, text);
}

void world_store_refuse_agent(int agent, bool refuses)
{
	store_refuse(agents_[agent].store, refuses);
	world_note("the store %s agent %d", refuses ? "turns away" : "serves",
		   agent);
}

unsigned int world_store_refused(int agent)
{
	return store_refused(agents_[agent].store);
}

bool world_is_registered(int agent)
{
	char part[64];

	snprintf(part, sizeof(part), "/%s:%d", agents_[agent].ip, PORT_INNER);
	return store_has(part);
}

/* ---- processes ---- */

static void write_settings_(const node_t *node)
{
	const agent_spec_t *agent = &spec_.agent[node->index];
	FILE *file = fopen(node->settings, "w");

	if (!file)
		fail_("cannot write %s", node->settings);
	fprintf(file,
		"role = \"%s\"\ntraffic = \"flows\"\n"
		"name = \"%s-%d\"\nenvironment = \"platform\"\n"
		"datacentre = \"%s\"\ninner = \"%s:%d\"\n"
		"secret = \"pimentolift-127.%u.0.1:%d\"\n"
		"admin = \"%s:%d\"\nseeds = [",
		node->entry ? "entry" : "agent", node->entry ? "front" : "side",
		node->index + 1, node->entry ? "gent-dok" : agent->zone,
		node->ip, PORT_INNER, net_, PORT_STORE, node->ip, PORT_ADMIN);
	for (int i = 0; i < spec_.entries && i < 3; i++)
		fprintf(file, "%s\"%s:%d\"", i > 0 ? "," : "", entries_[i].ip,
			PORT_CONTROL);
	fprintf(file,
		"]\nseed_port = %d\n\n[platform]\n"
		"url = \"http://%s:%d\"\ntimeout_ms = 1000\n\n"
		"[flows]\nlisten = \"%s:%d\"\nready = \"%s:%d\"\n"
		"link_mbps = 1000.0\nconfig_ms = %d\nflow_max_s = 60\n",
		PORT_INNER, node->store_ip, PORT_STORE, node->ip,
		PORT_DATAGRAMS, node->ip, PORT_READY, spec_.config_ms);
	if (!node->entry)
		fprintf(file,
			"backend = \"%s:%d\"\noutbound = \"%s:%d\"\n"
			"reports = \"%s:%d\"\nservice = \"%s\"\n"
			"report_ms = %d\nbackend_listens = true\n",
			node->ip, PORT_APP, node->ip, PORT_OUTBOUND, node->ip,
			PORT_CONTROL, agent->service, HEARTBEAT_MS);
	fclose(file);
}

static void start_node_(node_t *node)
{
	const char *daemon = getenv("DAEMON");
	pid_t pid = fork();

	if (pid < 0)
		fail_("fork: %s", strerror(errno));
	if (pid == 0) {
		int fd = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		int null = open("/dev/null", O_RDONLY);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(null, STDIN_FILENO);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(daemon, daemon, "-c", node->settings, (char *)NULL);
		_exit(127);
	}
	node->pid = pid;
	world_note("%s %d starts", node->entry ? "entry" : "agent",
		   node->index);
}

static void add_node_(node_t *node, bool entry, int index)
{
	node->entry = entry;
	node->index = index;
	snprintf(node->ip, sizeof(node->ip), "127.%u.%d.%d", net_,
		 entry ? 1 : 2, index + 1);
	snprintf(node->settings, sizeof(node->settings), "%s/%s-%d.toml", dir_,
		 entry ? "entry" : "agent", index);
	snprintf(node->log, sizeof(node->log), "%s/%s-%d.log", dir_,
		 entry ? "entry" : "agent", index);
	snprintf(node->store_ip, sizeof(node->store_ip), "127.%u.%d.%d", net_,
		 entry ? 8 : 9, index + 1);
	node->store = store_listen(node->store_ip, PORT_STORE);
	if (node->store < 0)
		fail_("the store cannot listen at %s", node->store_ip);
	store_refuse(node->store,
		     !entry && spec_.agent[index].refused_by_store);
}

static void start_agent_(int agent)
{
	write_settings_(&agents_[agent]);
	start_node_(&agents_[agent]);
}

static void start_beats_(int agent)
{
	endpoint_t *endpoint = &endpoints_[agent];

	start_endpoint_(agent);
	pthread_create(&endpoint->beats, NULL, beats_main_, endpoint);
}

void world_start(const world_spec_t *spec)
{
	const char *record = getenv("RECORD");
	spec_ = *spec;
	signal(SIGPIPE, SIG_IGN);
	started_at_ = world_now_ms();
	srandom((unsigned int)unix_ms_() ^ (unsigned int)getpid());
	net_ = 40 + (unsigned int)getpid() % 180;
	record_ = fopen(record ? record : "record.txt", "w");
	if (!record_ || !mkdtemp(dir_) || !getenv("DAEMON"))
		_exit(CASE_FAILED);
	store_init();
	world_put_config(spec->config);
	for (int i = 0; i < spec->entries; i++)
		add_node_(&entries_[i], true, i);
	for (int i = 0; i < spec->agents; i++)
		add_node_(&agents_[i], false, i);
	for (int i = 0; i < spec->entries; i++) {
		write_settings_(&entries_[i]);
		start_node_(&entries_[i]);
		pthread_create(&entries_[i].probes, NULL, probes_main_,
			       &entries_[i]);
	}
	for (int i = 0; i < spec->agents; i++) {
		endpoint_t *endpoint = &endpoints_[i];

		snprintf(endpoint->ip, sizeof(endpoint->ip), "%s",
			 agents_[i].ip);
		endpoint->held = calloc(FLOWS_MAX, sizeof(held_t));
		endpoint->busy = calloc(FLOWS_MAX, sizeof(int));
		if (!spec->agent[i].added_later)
			start_agent_(i);
	}
	world_run(ENDPOINTS_AFTER_MS);
	for (int i = 0; i < spec->agents; i++) {
		if (!spec->agent[i].added_later)
			start_beats_(i);
	}
}

void world_add_agent(int agent)
{
	start_agent_(agent);
	world_run(ENDPOINTS_AFTER_MS);
	start_beats_(agent);
}

static node_t *running_(node_t *node)
{
	if (node->pid <= 0)
		fail_("%s %d does not run", node->entry ? "entry" : "agent",
		      node->index);
	return node;
}

void world_signal_entry(int entry, int number)
{
	world_note("entry %d gets signal %d", entry, number);
	kill(running_(&entries_[entry])->pid, number);
}

void world_signal_agent(int agent, int number)
{
	world_note("agent %d gets signal %d", agent, number);
	kill(running_(&agents_[agent])->pid, number);
}

static void restart_(node_t *node, int delay_ms)
{
	int64_t until = world_now_ms() + STOP_MS;

	while (node->pid > 0) {
		if (world_now_ms() >= until)
			fail_("a process did not end");
		world_run(10);
	}
	world_run(delay_ms);
	start_node_(node);
}

void world_restart_entry(int entry, int delay_ms)
{
	restart_(&entries_[entry], delay_ms);
}

void world_restart_agent(int agent, int delay_ms)
{
	restart_(&agents_[agent], delay_ms);
}

static void end_node_(node_t *node)
{
	if (node->pid <= 0)
		return;
	kill(node->pid, SIGCONT);
	kill(node->pid, SIGKILL);
	waitpid(node->pid, NULL, 0);
	node->pid = 0;
}

static void remove_files_(const node_t *node)
{
	unlink(node->settings);
	unlink(node->log);
}

void world_stop(void)
{
	for (int i = 0; i < spec_.entries; i++)
		end_node_(&entries_[i]);
	for (int i = 0; i < spec_.agents; i++)
		end_node_(&agents_[i]);
	world_note("requests %u, answered %u, without answer %u, resets of "
		   "open flows %u, of live ones %u, requests cut off %u, "
		   "altered %u, run twice %u",
		   counts_.requests, counts_.answered, counts_.unanswered,
		   counts_.resets_open, counts_.resets_broken,
		   counts_.requests_cut, counts_.altered, counts_.twice);
	if (getenv("KEEP")) {
		world_note("logs in %s", dir_);
		return;
	}
	for (int i = 0; i < spec_.entries; i++)
		remove_files_(&entries_[i]);
	for (int i = 0; i < spec_.agents; i++)
		remove_files_(&agents_[i]);
	rmdir(dir_);
}
