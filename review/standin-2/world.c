/**
 * @file
 * Processes, routers, servers and clients of the small deployment. The main
 * thread runs all sockets; heartbeats have a thread each.
 */
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORT_DATAGRAMS 0
#define PORT_READY 1
#define PORT_CONTROL 2
#define PORT_OUTBOUND 3
#define PORT_INNER 4
#define PORT_ADMIN 5
#define PORT_APP 6
#define PORT_STORE 7
#define HEAD_BYTES 34
#define PROBE_MS 500
#define COPY_1_MS 200
#define COPY_2_MS 600
#define OPEN_TIMEOUT_MS 1400
#define RETRY_FIRST_MS 200
#define RETRY_MAX_MS 1600
#define WORK_MS 20
#define WINDOW 76800
#define START_MS 15000

world_t world;
void (*on_flow_taken)(const server_t *server, uint16_t port);
static const char *const zones_[ZONES] = { "gent-dok", "antwerpen-zuid",
					   "brugge-vaart" };
static uint64_t started_;
static pthread_mutex_t record_lock_ = PTHREAD_MUTEX_INITIALIZER;

uint64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static uint64_t unix_ms_(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void note(const char *format, ...)
{
	uint64_t at = now_ms() - started_;
	va_list args;

	pthread_mutex_lock(&record_lock_);
	fprintf(world.record, "%4lu.%03lu  ", (unsigned long)(at / 1000),
		(unsigned long)(at % 1000));
	va_start(args, format);
	vfprintf(world.record, format, args);
	va_end(args);
	fputc('\n', world.record);
	fflush(world.record);
	pthread_mutex_unlock(&record_lock_);
}

uint32_t address(int c, int d)
{
	return 127U << 24 | (uint32_t)world.net << 16 | (uint32_t)c << 8 |
	       (uint32_t)d;
}

const char *ip_text(uint32_t ip)
{
	static __thread char texts[4][16];
	static __thread int next;
	char *text = texts[next++ % 4];

	snprintf(text, 16, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255,
		 ip >> 8 & 255, ip & 255);
	return text;
}

static struct sockaddr_in socket_address_(uint32_t ip, int port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)(world.base_port + port)),
		.sin_addr.s_addr = htonl(ip),
	};
}

static int bind_(int type, uint32_t ip, int port)
{
	struct sockaddr_in addr = socket_address_(ip, port);
	const int one = 1;
	const int bytes = 4 << 20;
	int fd = socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	else
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    (type == SOCK_STREAM && listen(fd, 64) != 0)) {
		close(fd);
		return -1;
	}
	return fd;
}

/* ---- packets ---- */

static void put16_(uint8_t *at, uint16_t v)
{
	at[0] = (uint8_t)v;
	at[1] = (uint8_t)(v >> 8);
}

static void put32_(uint8_t *at, uint32_t v)
{
	put16_(at, (uint16_t)v);
	put16_(at + 2, (uint16_t)(v >> 16));
}

static uint16_t get16_(const uint8_t *at)
{
	return (uint16_t)(at[0] | at[1] << 8);
}

static uint32_t get32_(const uint8_t *at)
{
	return get16_(at) | (uint32_t)get16_(at + 2) << 16;
}

/* Sum over all fields but echo, pad and BOUNCED. */
static uint32_t sum_(const uint8_t *bytes, size_t len)
{
	uint32_t sum = 2166136261U;

	for (size_t i = 4; i < len; i++) {
		uint8_t byte = bytes[i];

		if ((i >= 16 && i < 20) || (i >= 31 && i < HEAD_BYTES))
			continue;
		if (i == 30)
			byte &= (uint8_t)~BOUNCED;
		sum = (sum ^ byte) * 16777619U;
	}
	return sum | 1;
}

static size_t write_packet_(const head_t *head, const char *data, uint8_t *out)
{
	memset(out, 0, HEAD_BYTES);
	put32_(out + 4, head->src);
	put32_(out + 8, head->dst);
	put16_(out + 12, head->sport);
	put16_(out + 14, head->dport);
	put32_(out + 20, head->seq);
	put32_(out + 24, head->ack);
	put16_(out + 28, head->len);
	out[30] = head->flags;
	if (head->len > 0)
		memcpy(out + HEAD_BYTES, data, head->len);
	put32_(out, sum_(out, HEAD_BYTES + head->len));
	return HEAD_BYTES + (size_t)head->len;
}

static bool read_packet_(const uint8_t *in, size_t len, head_t *head)
{
	if (len < HEAD_BYTES)
		return false;
	*head = (head_t){ .sum = get32_(in),
			  .src = get32_(in + 4),
			  .dst = get32_(in + 8),
			  .sport = get16_(in + 12),
			  .dport = get16_(in + 14),
			  .seq = get32_(in + 20),
			  .ack = get32_(in + 24),
			  .len = get16_(in + 28),
			  .flags = in[30] };
	return head->len == len - HEAD_BYTES;
}

/* ---- processes ---- */

static void write_settings_(node_t *node)
{
	FILE *file = fopen(node->settings, "w");
	const server_t *server =
		node->entry ? NULL : &world.servers[node->index];

	if (!file) {
		fprintf(stderr, "cannot write %s\n", node->settings);
		exit(2);
	}
	fprintf(file,
		"role = \"%s\"\ntraffic = \"flows\"\nname = \"%s\"\n"
		"environment = \"platform\"\ndatacentre = \"%s\"\n"
		"inner = \"%s:%d\"\nsecret = \"pimentolift-%s:%d\"\n"
		"admin = \"%s:%d\"\n",
		node->entry ? "entry" : "agent", node->name, zones_[node->zone],
		ip_text(node->ip), world.base_port + PORT_INNER,
		ip_text(address(3, 1)), world.base_port + PORT_STORE,
		ip_text(node->ip), world.base_port + PORT_ADMIN);
	fprintf(file,
		"seeds = [\"%s:%d\",\"%s:%d\",\"%s:%d\"]\nseed_port = %d\n",
		ip_text(world.entries[0].ip), world.base_port + PORT_CONTROL,
		ip_text(world.entries[1 % world.entry_count].ip),
		world.base_port + PORT_CONTROL,
		ip_text(world.entries[2 % world.entry_count].ip),
		world.base_port + PORT_CONTROL, world.base_port + PORT_INNER);
	fprintf(file,
		"\n[platform]\nurl = \"http://%s:%d\"\ntimeout_ms = 1000\n\n"
		"[flows]\nlisten = \"%s:%d\"\nready = \"%s:%d\"\n"
		"link_mbps = %d\nconfig_ms = %d\nflow_max_s = 60\n",
		ip_text(store_ip(node)), world.base_port + PORT_STORE,
		ip_text(node->ip), world.base_port + PORT_DATAGRAMS,
		ip_text(node->ip), world.base_port + PORT_READY,
		node->link_mbps, world.config_ms);
	if (server)
		fprintf(file,
			"backend = \"%s:%d\"\noutbound = \"%s:%d\"\n"
			"reports = \"%s:%d\"\nservice = \"%s\"\n"
			"report_ms = %lu\nbackend_listens = true\n",
			ip_text(node->ip), world.base_port + PORT_APP,
			ip_text(node->ip), world.base_port + PORT_OUTBOUND,
			ip_text(node->ip), world.base_port + PORT_CONTROL,
			server->service, (unsigned long)world.heartbeat_ms);
	fclose(file);
}

void node_start(node_t *node)
{
	const char *program = "target/src/daemon/pimentoliftd";

	write_settings_(node);
	node->pid = fork();
	if (node->pid == 0) {
		/* ends with the case, whatever happens to that */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		int log = open(node->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(log, 1);
		dup2(log, 2);
		execl(program, program, "-c", node->settings, (char *)NULL);
		_exit(127);
	}
	note("%s started", node->name);
}

void node_signal(node_t *node, int signal)
{
	if (node->pid <= 0)
		return;
	note("%s gets signal %d", node->name, signal);
	kill(node->pid, signal);
}

bool node_ended(node_t *node)
{
	int status;

	if (node->pid > 0 && waitpid(node->pid, &status, WNOHANG) != 0) {
		note("%s ended", node->name);
		node->pid = 0;
	}
	return node->pid <= 0;
}

void node_wait(node_t *node)
{
	while (!node_ended(node))
		run_ms(2);
}

static void node_init_(node_t *node, bool entry, int index)
{
	node->entry = entry;
	node->index = index;
	node->zone = index % world.zones;
	node->ip = address(entry ? 1 : 2, 10 + index);
	snprintf(node->name, sizeof(node->name), "%s-%d",
		 entry ? "entry" : "agent", index + 1);
	snprintf(node->settings, sizeof(node->settings), "%s/%s.toml",
		 world.folder, node->name);
	snprintf(node->log, sizeof(node->log), "%s/%s.log", world.folder,
		 node->name);
}

/* ---- HTTP calls, blocking, of routers and servers ---- */

/* Status of the response; 0: none within a second. */
static int call_(uint32_t ip, int port, const char *text)
{
	struct sockaddr_in addr = socket_address_(ip, port);
	const struct timeval limit = { .tv_sec = 1 };
	char answer[512];
	ssize_t got;
	int status = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    send(fd, text, strlen(text), MSG_NOSIGNAL) > 0 &&
	    (got = recv(fd, answer, sizeof(answer) - 1, 0)) > 12) {
		answer[got] = '\0';
		status = atoi(answer + 9);
	}
	close(fd);
	return status;
}

static void *probe_entries_(void *ctx)
{
	node_t *node = ctx;

	while (!world.stopping) {
		int status = call_(node->ip, PORT_READY,
				   "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
		bool before = node->in_rotation;

		node->misses = status == 200 ? 0 : node->misses + 1;
		if (node->misses == 0)
			node->in_rotation = true;
		else if (node->misses >= 2)
			node->in_rotation = false;
		if (before != node->in_rotation)
			note("routers: %s is %s rotation", node->name,
			     node->in_rotation ? "in" : "out of");
		usleep(PROBE_MS * 1000);
	}
	return NULL;
}

static void *beat_(void *ctx)
{
	server_t *server = ctx;
	char body[512];
	char text[1024];
	bool acked = false;

	while (!world.stopping) {
		bool draining = server->draining;
		int status;

		if (!server->up) {
			usleep(10000);
			continue;
		}
		snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":"
			 "\"%s\",\"version\":\"v1\",\"max_concurrency\":5,"
			 "\"state\":\"%s\",\"warmup_left_ms\":0,\"sequence\":"
			 "%lu,\"born\":%lu}",
			 server->service, ip_text(server->ip),
			 world.base_port + PORT_APP, zones_[server->zone],
			 draining ? "draining" : "ready",
			 (unsigned long)server->sequence++,
			 (unsigned long)server->born);
		snprintf(text, sizeof(text),
			 "PUT /v1/instances/%s HTTP/1.1\r\nHost: x\r\n"
			 "Content-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 server->id, strlen(body), body);
		status = call_(server->ip, PORT_CONTROL, text);
		if (!acked && status == 200)
			note("server %s: heartbeat %lu acknowledged",
			     server->id, (unsigned long)server->sequence - 1);
		acked = status == 200;
		if (draining && acked)
			server->drain_acked = true;
		for (uint64_t slept = 0;
		     slept < (acked ? world.heartbeat_ms : 200) &&
		     !world.stopping;
		     slept += 20)
			usleep(20000);
	}
	return NULL;
}

int entries_ready(void)
{
	int count = 0;

	for (int i = 0; i < world.entry_count; i++)
		count += world.entries[i].in_rotation;
	return count;
}

/* ---- servers ---- */

static server_flow_t *server_flow_(server_t *server, const head_t *head,
				   bool add)
{
	server_flow_t *flow;

	for (int i = 0; i < server->flow_count; i++) {
		flow = &server->flows[i];
		if (flow->used && flow->src == head->src &&
		    flow->sport == head->sport && flow->dst == head->dst &&
		    flow->dport == head->dport)
			return flow;
	}
	if (!add || server->flow_count == FLOWS_MAX)
		return NULL;
	flow = &server->flows[server->flow_count++];
	*flow = (server_flow_t){ .used = true,
				 .src = head->src,
				 .dst = head->dst,
				 .sport = head->sport,
				 .dport = head->dport,
				 .isn = (uint32_t)random() };
	return flow;
}

static void server_send_(const server_t *server, const server_flow_t *flow,
			 uint32_t seq, unsigned int flags, const char *data,
			 size_t len)
{
	const head_t head = { .src = flow->dst,
			      .dst = flow->src,
			      .sport = flow->dport,
			      .dport = flow->sport,
			      .seq = seq,
			      .ack = flow->expected,
			      .len = (uint16_t)len,
			      .flags = (uint8_t)flags };
	struct sockaddr_in to = socket_address_(server->ip, PORT_OUTBOUND);
	uint8_t bytes[PACKET_MAX];
	size_t size = write_packet_(&head, data, bytes);

	sendto(server->udp, bytes, size, 0, (struct sockaddr *)&to, sizeof(to));
}

static void bounce_(const server_t *server, uint8_t *bytes, size_t len)
{
	struct sockaddr_in to = socket_address_(server->ip, PORT_OUTBOUND);

	bytes[30] |= BOUNCED;
	memset(bytes + 31, 0, 3);
	sendto(server->udp, bytes, len, 0, (struct sockaddr *)&to, sizeof(to));
}

/* On a flow that has ended, data is answered with a reset. */
static void server_reset_(const server_t *server, const server_flow_t *flow,
			  const head_t *head)
{
	note("server %s: data on a flow of port %u that has ended", server->id,
	     flow->sport);
	server_send_(server, flow, head->ack, RST, NULL, 0);
}

/* Takes the opening packet of a new flow, also of one whose client uses the port
 * of an ended flow again. */
static void server_take_(server_t *server, server_flow_t *flow,
			 const head_t *head)
{
	flow->started = true;
	flow->open = false;
	flow->ended = false;
	flow->requests = 0;
	flow->isn = (uint32_t)random();
	flow->client_isn = head->seq;
	flow->expected = head->seq + 1;
	flow->next = flow->isn + 1;
	note("server %s: takes a flow of port %u", server->id, head->sport);
	if (on_flow_taken)
		on_flow_taken(server, head->sport);
}

static void server_packet_(server_t *server, uint8_t *bytes, size_t len)
{
	char answer[200];
	head_t head;
	server_flow_t *flow;

	if (!read_packet_(bytes, len, &head))
		return;
	if (head.sum != sum_(bytes, len)) {
		note("server %s: a packet that no client wrote so", server->id);
		return;
	}
	if ((head.flags & (SYN | ACK)) == SYN) {
		flow = server_flow_(server, &head, true);
		if (!flow->started || flow->ended ||
		    flow->client_isn != head.seq)
			server_take_(server, flow, &head);
		server_send_(server, flow, flow->isn, SYN | ACK, NULL, 0);
		return;
	}
	flow = server_flow_(server, &head, false);
	if (!flow) {
		bounce_(server, bytes, len);
		return;
	}
	if (head.flags & RST) {
		flow->used = false;
		return;
	}
	if (flow->ended) {
		if (head.flags & FIN)
			server_send_(server, flow, flow->next, ACK, NULL, 0);
		else if (head.len > 0)
			server_reset_(server, flow, &head);
		return;
	}
	if (!flow->open && (head.flags & ACK) &&
	    head.ack - flow->isn <= WINDOW && head.ack != flow->isn) {
		flow->open = true;
		note("server %s: flow %s:%u is open", server->id,
		     ip_text(flow->src), flow->sport);
	}
	if ((head.flags & FIN) && head.seq == flow->expected) {
		flow->expected++;
		flow->ended = true;
		server_send_(server, flow, flow->next, FIN | ACK, NULL, 0);
		flow->next++;
		return;
	}
	if (head.len == 0)
		return;
	if (head.seq == flow->expected) {
		flow->expected += head.len;
		flow->requests++;
		note("server %s: runs request %d of port %u", server->id,
		     flow->requests, flow->sport);
	}
	/* answers of 100 bytes; a repeated request gets the same answer */
	memset(answer, 'a', 100);
	server_send_(server, flow,
		     flow->isn + 1 + 100 * (uint32_t)(flow->requests - 1), ACK,
		     answer, 100);
	flow->next = flow->isn + 1 + 100 * (uint32_t)flow->requests;
}

static void server_accept_(server_t *server)
{
	int fd = accept4(server->listener, NULL, NULL,
			 SOCK_CLOEXEC | SOCK_NONBLOCK);

	/* kept open; the agent only watches the listener */
	(void)fd;
}

static void server_start_(server_t *server)
{
	server->udp = bind_(SOCK_DGRAM, server->ip, PORT_APP);
	server->listener = bind_(SOCK_STREAM, server->ip, PORT_APP);
	if (server->udp < 0 || server->listener < 0) {
		fprintf(stderr, "cannot bind a server\n");
		exit(2);
	}
	server->born = unix_ms_();
	server->sequence = world.first_sequence;
	server->up = true;
}

void server_add(int index)
{
	pthread_t thread;

	server_start_(&world.servers[index]);
	note("server %s of %s starts beside %s", world.servers[index].id,
	     world.servers[index].service, world.agents[index].name);
	pthread_create(&thread, NULL, beat_, &world.servers[index]);
}

server_t *holder_of(const client_t *client)
{
	const head_t head = { .src = client->ip,
			      .dst = client->dst,
			      .sport = client->port,
			      .dport = client->dport };

	for (int i = 0; i < world.server_count; i++) {
		server_flow_t *flow =
			server_flow_(&world.servers[i], &head, false);

		if (flow && flow->open && !flow->ended &&
		    flow->client_isn == client->isn)
			return &world.servers[i];
	}
	return NULL;
}

/* ---- clients and routers ---- */

static uint32_t hash_(const client_t *client)
{
	uint32_t words[4] = { client->ip, client->dst, client->port,
			      client->dport };
	uint32_t hash = 2166136261U;

	for (int i = 0; i < 4; i++) {
		hash = (hash ^ words[i]) * 16777619U;
		hash ^= hash >> 13;
	}
	return hash;
}

/* Entry that the routers select; all of them if none is in rotation. */
static node_t *select_entry_(const client_t *client)
{
	node_t *nodes[ENTRIES_MAX];
	int count = 0;

	for (int i = 0; i < world.entry_count; i++) {
		if (world.entries[i].in_rotation)
			nodes[count++] = &world.entries[i];
	}
	if (count == 0)
		return &world.entries[hash_(client) %
				      (uint32_t)world.entry_count];
	return nodes[hash_(client) % (uint32_t)count];
}

static void client_send_to_(client_t *client, node_t *entry, uint32_t seq,
			    uint32_t ack, unsigned int flags, const char *data,
			    size_t len)
{
	const head_t head = { .src = client->ip,
			      .dst = client->dst,
			      .sport = client->port,
			      .dport = client->dport,
			      .seq = seq,
			      .ack = ack,
			      .len = (uint16_t)len,
			      .flags = (uint8_t)flags };
	struct sockaddr_in to = socket_address_(entry->ip, PORT_DATAGRAMS);
	uint8_t bytes[PACKET_MAX];
	size_t size = write_packet_(&head, data, bytes);

	client->last_entry = entry->index;
	sendto(world.client_udp, bytes, size, 0, (struct sockaddr *)&to,
	       sizeof(to));
}

static void client_send_(client_t *client, uint32_t seq, uint32_t ack,
			 unsigned int flags, const char *data, size_t len)
{
	client_send_to_(client, select_entry_(client), seq, ack, flags, data,
			len);
}

static client_t *client_new_(uint32_t dst, uint16_t dport, const char *route)
{
	static uint16_t port = 20000;
	client_t *client = NULL;

	for (int i = 0; i < CLIENTS_MAX && !client; i++) {
		if (!world.clients[i].used)
			client = &world.clients[i];
	}
	if (!client)
		return NULL;
	*client = (client_t){ .used = true,
			      .ip = address(9, 1),
			      .port = ++port,
			      .dst = dst,
			      .dport = dport,
			      .isn = (uint32_t)random(),
			      .syn_at = now_ms(),
			      .syn_sent = 1,
			      .route = route };
	client->next = client->isn + 1;
	return client;
}

client_t *client_open(uint32_t dst, uint16_t dport, const char *route,
		      uint64_t interval_ms)
{
	client_t *client = client_new_(dst, dport, route);

	if (!client)
		return NULL;
	client->interval_ms = interval_ms;
	client_send_(client, client->isn, 0, SYN, NULL, 0);
	client->first_entry = client->last_entry;
	note("client port %u opens a flow of %s through entry-%d", client->port,
	     route, client->first_entry + 1);
	return client;
}

client_t *client_open_once(uint32_t dst, uint16_t dport, const char *route,
			   uint16_t port)
{
	client_t *client = client_new_(dst, dport, route);

	if (!client)
		return NULL;
	if (port != 0)
		client->port = port;
	client->closes = true;
	client->interval_ms = 1;
	client_send_(client, client->isn, 0, SYN, NULL, 0);
	client->first_entry = client->last_entry;
	note("client port %u opens a flow of %s through entry-%d", client->port,
	     route, client->first_entry + 1);
	return client;
}

client_t *client_probe(int entry, uint32_t dst, uint16_t dport,
		       const char *route)
{
	client_t *client = client_new_(dst, dport, route);

	if (!client)
		return NULL;
	client->syn_sent = 3; /* no copies */
	client_send_to_(client, &world.entries[entry], client->isn, 0, SYN,
			NULL, 0);
	client->first_entry = entry;
	note("client port %u opens a flow of %s through entry-%d", client->port,
	     route, entry + 1);
	return client;
}

void client_stop(client_t *client)
{
	client->used = false;
}

static void client_request_(client_t *client, uint64_t now)
{
	char data[60];

	memset(data, 'q', sizeof(data));
	client_send_(client, client->next, client->peer, ACK, data,
		     sizeof(data));
	client->retry_at = now + client->retry_ms;
	client->retry_ms = client->retry_ms * 2 > RETRY_MAX_MS ?
				   RETRY_MAX_MS :
				   client->retry_ms * 2;
}

static void client_close_(client_t *client, uint64_t now)
{
	client->fin_sent = true;
	client->retry_at = now + RETRY_FIRST_MS;
	client_send_(client, client->next, client->peer, FIN | ACK, NULL, 0);
}

static void client_timer_(client_t *client, uint64_t now)
{
	uint64_t age = now - client->syn_at;

	if (client->state == 0) {
		if (age >= OPEN_TIMEOUT_MS) {
			client->state = 2;
		} else if ((client->syn_sent == 1 && age >= COPY_1_MS) ||
			   (client->syn_sent == 2 && age >= COPY_2_MS)) {
			client_send_(client, client->isn,
				     (uint32_t)client->syn_sent, SYN, NULL, 0);
			client->syn_sent++;
		}
		return;
	}
	if (client->state != 1)
		return;
	if (client->fin_sent) {
		if (now >= client->retry_at)
			client_close_(client, now);
	} else if (client->waiting) {
		if (now >= client->retry_at)
			client_request_(client, now);
	} else if (client->interval_ms && now >= client->next_request_at) {
		client->waiting = true;
		client->sent_at = now;
		client->retry_ms = RETRY_FIRST_MS;
		client_request_(client, now);
		note("client port %u sends request %d through entry-%d",
		     client->port, client->answers + 1, client->last_entry + 1);
	}
}

static void client_reset_(client_t *client, const head_t *head)
{
	server_t *holder = holder_of(client);

	client->reset_at = now_ms();
	if (client->state == 0) {
		client->refused++;
		client->state = 2;
		note("client port %u gets a reset of the system before the "
		     "flow is open",
		     client->port);
		return;
	}
	if (client->state != 1 ||
	    client->peer - head->seq + WINDOW > 2 * WINDOW)
		return;
	client->state = 2;
	client->resets++;
	client->held_reset += holder != NULL;
	note("client port %u of %s gets a reset of the system on an open flow; "
	     "%s%s holds it; opened %lu ms ago through entry-%d, last packet "
	     "through entry-%d, %d answers",
	     client->port, client->route, holder ? "server " : "no server",
	     holder ? holder->id : "",
	     (unsigned long)(now_ms() - client->opened_at),
	     client->first_entry + 1, client->last_entry + 1, client->answers);
}

/* A reset that a server sent; only that of the flow's own server may come. */
static void client_server_reset_(client_t *client, const head_t *head)
{
	server_t *holder = holder_of(client);

	if (client->state != 1 ||
	    client->peer - head->seq + WINDOW > 2 * WINDOW)
		return;
	client->state = 2;
	if (!holder)
		return;
	client->held_reset++;
	note("client port %u of %s gets a reset of another server on an open "
	     "flow; server %s holds it; opened %lu ms ago, %d answers",
	     client->port, client->route, holder->id,
	     (unsigned long)(now_ms() - client->opened_at), client->answers);
}

static void client_packet_(const uint8_t *bytes, size_t len)
{
	client_t *client = NULL;
	uint64_t now = now_ms();
	head_t head;

	if (!read_packet_(bytes, len, &head))
		return;
	for (int i = 0; i < CLIENTS_MAX && !client; i++) {
		if (world.clients[i].used &&
		    world.clients[i].port == head.dport &&
		    world.clients[i].dst == head.src &&
		    world.clients[i].dport == head.sport)
			client = &world.clients[i];
	}
	if (!client)
		return;
	if ((head.flags & RST) && head.sum == 0) {
		client_reset_(client, &head);
		return;
	}
	if (head.sum != sum_(bytes, len)) {
		note("client gets a packet that no server wrote so");
		return;
	}
	if (head.flags & RST) {
		client_server_reset_(client, &head);
		return;
	}
	if ((head.flags & (SYN | ACK)) == (SYN | ACK) && client->state == 0) {
		client->state = 1;
		client->peer = head.seq + 1;
		client->opened_at = now;
		client->next_request_at = now + 1;
		client_send_(client, client->next, client->peer, ACK, NULL, 0);
	}
	if (head.len > 0 && client->state == 1 && client->waiting &&
	    head.seq == client->peer) {
		client->peer += head.len;
		client->next += 60;
		client->waiting = false;
		client->answers++;
		note("client port %u gets answer %d", client->port,
		     client->answers);
		client->next_request_at = now + client->interval_ms;
		if (client->closes)
			client_close_(client, now);
		else
			client_send_(client, client->next, client->peer, ACK,
				     NULL, 0);
	}
	if ((head.flags & FIN) && client->state == 1 &&
	    head.seq == client->peer) {
		client->peer++;
		client->next++;
		client->state = 2;
		client->ended = true;
		client_send_(client, client->next, client->peer, ACK, NULL, 0);
		note("client port %u: the flow has ended", client->port);
	}
}

/* ---- the loop ---- */

static void receive_(int fd, void (*handle)(void *ctx, uint8_t *, size_t),
		     void *ctx)
{
	uint8_t bytes[2048];
	ssize_t got;

	while ((got = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		handle(ctx, bytes, (size_t)got);
}

static void on_client_bytes_(void *ctx, uint8_t *bytes, size_t len)
{
	(void)ctx;
	client_packet_(bytes, len);
}

static void on_server_bytes_(void *ctx, uint8_t *bytes, size_t len)
{
	server_packet_(ctx, bytes, len);
}

void run_ms(uint64_t ms)
{
	uint64_t end = now_ms() + ms;
	struct pollfd fds[1 + 2 * SERVERS_MAX];

	do {
		int count = 0;
		uint64_t now;

		fds[count++] = (struct pollfd){ world.client_udp, POLLIN, 0 };
		for (int i = 0; i < world.server_count; i++) {
			fds[count++] = (struct pollfd){ world.servers[i].udp,
							POLLIN, 0 };
			fds[count++] =
				(struct pollfd){ world.servers[i].listener,
						 POLLIN, 0 };
		}
		poll(fds, (nfds_t)count, 1);
		receive_(world.client_udp, on_client_bytes_, NULL);
		for (int i = 0; i < world.server_count; i++) {
			receive_(world.servers[i].udp, on_server_bytes_,
				 &world.servers[i]);
			if (fds[2 + 2 * i].revents & POLLIN)
				server_accept_(&world.servers[i]);
		}
		now = now_ms();
		for (int i = 0; i < CLIENTS_MAX; i++) {
			if (world.clients[i].used)
				client_timer_(&world.clients[i], now);
		}
	} while (now_ms() < end);
}

/* ---- start and end ---- */

static bool ports_free_(void)
{
	for (int port = 0; port <= PORT_STORE; port++) {
		for (int type = 0; type < 2; type++) {
			int fd = bind_(type ? SOCK_DGRAM : SOCK_STREAM,
				       INADDR_ANY, port);

			if (fd < 0)
				return false;
			close(fd);
		}
	}
	return true;
}

void world_init(const char *folder, const char *record, bool trouble)
{
	started_ = now_ms();
	srandom((unsigned int)getpid());
	signal(SIGPIPE, SIG_IGN);
	snprintf(world.folder, sizeof(world.folder), "%s", folder);
	world.record = fopen(record, "w");
	world.trouble = trouble;
	world.net = 16 + getpid() % 200;
	world.heartbeat_ms = 1200;
	world.zones = ZONES;
	world.config_ms = 3000;
	for (int i = 0; i < ENTRIES_MAX; i++)
		world.entries[i].link_mbps = 1000;
	for (int i = 0; i < SERVERS_MAX; i++)
		world.agents[i].link_mbps = 1000;
	world.first_sequence = 1;
	if (!world.record) {
		fprintf(stderr, "cannot write %s\n", record);
		exit(2);
	}
	for (int i = 0; i < 50; i++) {
		world.base_port =
			(uint16_t)(10000 + (getpid() * 16 + i * 160) % 18000);
		if (ports_free_())
			return;
	}
	fprintf(stderr, "no free ports\n");
	exit(2);
}

static void server_init_(int index)
{
	server_t *server = &world.servers[index];

	node_init_(&world.agents[index], false, index);
	server->index = index;
	server->zone = index % world.zones;
	server->ip = world.agents[index].ip;
	server->udp = -1;
	server->listener = -1;
	snprintf(server->id, sizeof(server->id), "i-%08lx",
		 (unsigned long)random());
}

void world_start(int entries, int servers)
{
	pthread_t thread;

	world.entry_count = entries;
	world.server_count = servers;
	world.client_udp = bind_(SOCK_DGRAM, address(9, 1), PORT_DATAGRAMS);
	if (world.client_udp < 0) {
		fprintf(stderr, "cannot bind the clients' address\n");
		exit(2);
	}
	for (int i = 0; i < entries; i++)
		node_init_(&world.entries[i], true, i);
	for (int i = 0; i < servers; i++) {
		if (!world.servers[i].service)
			world.servers[i].service = i < servers * 7 / 10 ?
							   "permitdesk" :
							   "meterbox";
		server_init_(i);
	}
	for (int i = 0; i < entries; i++)
		node_start(&world.entries[i]);
	for (int i = 0; i < servers; i++)
		node_start(&world.agents[i]);
	for (int i = 0; i < entries; i++)
		pthread_create(&thread, NULL, probe_entries_,
			       &world.entries[i]);
	run_ms(1000);
	for (int i = 0; i < servers; i++)
		server_add(i);
}

void agent_add(const char *service)
{
	int index = world.server_count;
	server_t *server = &world.servers[index];

	server->service = service;
	server_init_(index);
	world.server_count++;
	node_start(&world.agents[index]);
}

bool world_ready(void)
{
	uint64_t end = now_ms() + START_MS;

	while (entries_ready() < world.entry_count && now_ms() < end)
		run_ms(50);
	run_ms(3000);
	return entries_ready() == world.entry_count;
}

void world_finish(void)
{
	node_t *nodes[ENTRIES_MAX + SERVERS_MAX];
	int count = 0;

	world.stopping = true;
	for (int i = 0; i < world.entry_count; i++)
		nodes[count++] = &world.entries[i];
	for (int i = 0; i < world.server_count; i++)
		nodes[count++] = &world.agents[i];
	for (int i = 0; i < count; i++) {
		if (nodes[i]->pid > 0) {
			kill(nodes[i]->pid, SIGCONT);
			kill(nodes[i]->pid, SIGKILL);
			waitpid(nodes[i]->pid, NULL, 0);
		}
	}
	fclose(world.record);
}

/* world FOLDER RECORD: runs the scenario; TROUBLE=0 leaves the disruption out. */
int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	int result;

	if (argc != 3)
		return 2;
	world_init(argv[1], argv[2], !trouble || strcmp(trouble, "0") != 0);
	result = scenario();
	world_finish();
	return result;
}
