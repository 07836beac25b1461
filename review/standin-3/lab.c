#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEAD 34
#define DATA_MAX 1200
#define F_RST 1
#define F_BOUNCED 4
#define F_SYN 8
#define F_ACK 32
#define F_FIN 64
#define WORK_MS 20

node_t nodes[NODES_MAX];
int node_count;
endpoint_t endpoints[ENDPOINTS_MAX];
int endpoint_count;
flow_t flows[FLOWS_MAX];
int flow_count;

static char dir_[200];
static FILE *record_;
static struct timespec start_;
static uint16_t base_; /* first of the ports, the same on all machines */
static pid_t store_pid_;
static int store_in_ = -1;
static int store_out_ = -1;
static uint16_t store_port_;
static int client_fd_ = -1;
static char services_[8][32];
static int service_count_;

enum {
	PORT_DATAGRAMS,
	PORT_READY,
	PORT_CONTROL,
	PORT_APP,
	PORT_OUTBOUND,
	PORT_INNER,
	PORT_ADMIN,
	PORT_COUNT
};

#define CLIENT_IP 0x7f000901U /* 127.0.9.1 */
#define ROUTE_IP 0x7f00c801U /* 127.0.200.1 */

uint64_t lab_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)((now.tv_sec - start_.tv_sec) * 1000 +
			  (now.tv_nsec - start_.tv_nsec) / 1000000);
}

static uint64_t unix_ms_(void)
{
	struct timeval now;

	gettimeofday(&now, NULL);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_usec / 1000;
}

void lab_record(const char *format, ...)
{
	va_list args;

	if (!record_)
		return;
	fprintf(record_, "%8.3f s  ", (double)lab_now() / 1000);
	va_start(args, format);
	vfprintf(record_, format, args);
	va_end(args);
	fputc('\n', record_);
	fflush(record_);
}

void lab_exit(int code)
{
	for (int i = 0; i < node_count; i++) {
		if (nodes[i].pid > 0) {
			kill(nodes[i].pid, SIGCONT);
			kill(nodes[i].pid, SIGKILL);
			waitpid(nodes[i].pid, NULL, 0);
		}
	}
	if (store_pid_ > 0) {
		kill(store_pid_, SIGKILL);
		waitpid(store_pid_, NULL, 0);
	}
	if (record_)
		fclose(record_);
	exit(code);
}

void lab_fail(const char *format, ...)
{
	char text[300];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	lab_record("could not run: %s", text);
	fprintf(stderr, "could not run: %s\n", text);
	lab_exit(2);
}

static void on_signal_(int number)
{
	(void)number;
	lab_exit(2);
}

static struct sockaddr_in addr_(uint32_t ip, uint16_t port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };

	addr.sin_addr.s_addr = htonl(ip);
	return addr;
}

static const char *ip_text_(uint32_t ip)
{
	static char text[8][20];
	static int next;
	char *out = text[next++ % 8];

	snprintf(out, 20, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255,
		 ip >> 8 & 255, ip & 255);
	return out;
}

static uint16_t port_(int which)
{
	return (uint16_t)(base_ + which);
}

static int bound_(int type, uint32_t ip, uint16_t port)
{
	int fd = socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct sockaddr_in addr = addr_(ip, port);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Finds ports that are free on all loopback addresses. */
static void find_ports_(void)
{
	for (int i = 0; i < 200; i++) {
		bool free = true;

		base_ = (uint16_t)(21000 +
				   ((unsigned)getpid() * 7 + i * 97) % 9000);
		for (int k = 0; k < PORT_COUNT && free; k++) {
			int udp = bound_(SOCK_DGRAM, INADDR_ANY, port_(k));
			int tcp = bound_(SOCK_STREAM, INADDR_ANY, port_(k));

			free = udp >= 0 && tcp >= 0;
			if (udp >= 0)
				close(udp);
			if (tcp >= 0)
				close(tcp);
		}
		if (free)
			return;
	}
	lab_fail("no free ports");
}

/* ---- HTTP client ---- */

/* Sends a request and reads the answer; returns its status, 0 if there is
 * none. */
static int http_(uint32_t ip, uint16_t port, const char *request, char *body,
		 size_t cap)
{
	struct sockaddr_in addr = addr_(ip, port);
	struct timeval timeout = { 1, 0 };
	char buffer[70000];
	size_t len = 0;
	int status = 0;
	char *end = NULL;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (body && cap)
		body[0] = '\0';
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) < 0 ||
	    send(fd, request, strlen(request), MSG_NOSIGNAL) < 0) {
		close(fd);
		return 0;
	}
	while (len < sizeof(buffer) - 1) {
		ssize_t got =
			recv(fd, buffer + len, sizeof(buffer) - 1 - len, 0);
		char *length;

		if (got <= 0)
			break;
		len += (size_t)got;
		buffer[len] = '\0';
		end = strstr(buffer, "\r\n\r\n");
		length = end ? strcasestr(buffer, "content-length:") : NULL;
		if (end && length &&
		    len >= (size_t)(end + 4 - buffer) +
				    strtoul(length + 15, NULL, 10))
			break;
	}
	close(fd);
	buffer[len] = '\0';
	if (sscanf(buffer, "HTTP/1.1 %d", &status) != 1)
		return 0;
	if (body && end)
		snprintf(body, cap, "%s", end + 4);
	return status;
}

/* ---- store ---- */

static void base64_(const char *in, char *out)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				  "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(in);

	for (size_t i = 0; i < len; i += 3) {
		uint32_t word = (uint32_t)(unsigned char)in[i] << 16;

		if (i + 1 < len)
			word |= (uint32_t)(unsigned char)in[i + 1] << 8;
		if (i + 2 < len)
			word |= (unsigned char)in[i + 2];
		*out++ = set[word >> 18];
		*out++ = set[word >> 12 & 63];
		*out++ = i + 1 < len ? set[word >> 6 & 63] : '=';
		*out++ = i + 2 < len ? set[word & 63] : '=';
	}
	*out = '\0';
}

static void put_(const char *key, const char *value)
{
	size_t cap = strlen(value) * 2 + 1024;
	char *encoded = malloc(cap);
	char *body = malloc(cap);
	char *request = malloc(cap);

	base64_(value, encoded);
	snprintf(
		body, cap,
		"{\"expect\":[],\"writes\":[{\"key\":\"%s\",\"value\":\"%s\"}],"
		"\"remove\":[]}",
		key, encoded);
	snprintf(request, cap,
		 "POST /v1/kv-txn HTTP/1.1\r\nHost: store\r\nContent-Type: "
		 "application/json\r\nContent-Length: %zu\r\nConnection: "
		 "close\r\n\r\n%s",
		 strlen(body), body);
	if (http_(INADDR_LOOPBACK, store_port_, request, NULL, 0) != 200)
		lab_fail("the store refused %s", key);
	free(encoded);
	free(body);
	free(request);
}

void lab_configure(unsigned int version, int extra)
{
	size_t cap = 4096 + (size_t)(service_count_ + extra) * 220;
	char *text = malloc(cap);
	size_t len = 0;

	len += (size_t)snprintf(text + len, cap - len,
				"{\"version\":%u,\"routes\":[", version);
	for (int i = 0; i < service_count_ + extra; i++)
		len += (size_t)snprintf(
			text + len, cap - len,
			"%s{\"name\":\"r-%d\",\"host\":\"%s\",\"prefix\":\"/%d/\","
			"\"kind\":\"safe\",\"timeout_ms\":3000,\"goal_ms\":200,"
			"\"priority\":2,\"service\":\"%s\",\"attempts\":2}",
			i ? "," : "", i, ip_text_(ROUTE_IP), LAB_ROUTE + i,
			services_[i < service_count_ ? i : 0]);
	len += (size_t)snprintf(text + len, cap - len, "],\"services\":[");
	for (int i = 0; i < service_count_; i++)
		len += (size_t)snprintf(
			text + len, cap - len,
			"%s{\"name\":\"%s\",\"health_path\":\"/health\","
			"\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}",
			i ? "," : "", services_[i]);
	snprintf(text + len, cap - len,
		 "],\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
		 "\"idle_timeout_ms\":15000}}");
	put_("op/config", text);
	free(text);
	if (version > 1)
		lab_record("operator: version %u is acknowledged", version);
}

void lab_store(const char *command)
{
	lab_record("platform: the store is told: %s", command);
	if (dprintf(store_in_, "%s\n", command) < 0)
		lab_fail("the store has ended");
}

bool lab_registered(const node_t *agent)
{
	char body[65536];
	char name[64];
	const char *request =
		"GET /v1/kv-range?prefix=pimentolift/ HTTP/1.1\r\nHost: store\r\n"
		"Connection: close\r\n\r\n";

	if (http_(INADDR_LOOPBACK, store_port_, request, body, sizeof(body)) !=
	    200)
		return false;
	snprintf(name, sizeof(name), "/%s:%u\"", ip_text_(agent->ip),
		 port_(PORT_INNER));
	for (char *at = body; *at; at++) {
		if (at[0] == '\\' && at[1] == '/')
			memmove(at, at + 1, strlen(at));
	}
	return strstr(body, name) != NULL;
}

static void start_store_(void)
{
	const char *program = getenv("LAB_STORE");
	int in[2];
	int out[2];
	char line[128];
	size_t len = 0;
	unsigned int port;

	if (!program || pipe2(in, O_CLOEXEC) < 0 || pipe2(out, O_CLOEXEC) < 0)
		lab_fail("no store");
	store_pid_ = fork();
	if (store_pid_ == 0) {
		dup2(in[0], 0);
		dup2(out[1], 1);
		execl(program, program, (char *)NULL);
		_exit(127);
	}
	close(in[0]);
	close(out[1]);
	store_in_ = in[1];
	store_out_ = out[0];
	while (len < sizeof(line) - 1 && read(store_out_, line + len, 1) == 1 &&
	       line[len] != '\n')
		len++;
	line[len] = '\0';
	if (sscanf(line, "ready listen=127.0.0.1:%u", &port) != 1)
		lab_fail("the store does not start");
	store_port_ = (uint16_t)port;
	fcntl(store_out_, F_SETFL, O_NONBLOCK);
}

void lab_start(const char *directory, const char *const *services, int count)
{
	char path[256];

	clock_gettime(CLOCK_MONOTONIC, &start_);
	snprintf(dir_, sizeof(dir_), "%s", directory);
	snprintf(path, sizeof(path), "%s/record.txt", directory);
	record_ = fopen(path, "w");
	if (!record_)
		lab_fail("%s", path);
	signal(SIGTERM, on_signal_);
	signal(SIGINT, on_signal_);
	signal(SIGALRM, on_signal_);
	signal(SIGPIPE, SIG_IGN);
	alarm(118);
	srandom((unsigned int)(unix_ms_() ^ (uint64_t)getpid()));
	for (int i = 0; i < count; i++)
		snprintf(services_[i], sizeof(services_[i]), "%s", services[i]);
	service_count_ = count;
	find_ports_();
	client_fd_ = bound_(SOCK_DGRAM, CLIENT_IP, port_(PORT_DATAGRAMS));
	if (client_fd_ < 0)
		lab_fail("no socket for clients");
	start_store_();
	lab_configure(7, 0);
}

/* ---- processes ---- */

static node_t *add_node_(const char *role, uint32_t ip)
{
	node_t *node = &nodes[node_count++];

	node->ip = ip;
	snprintf(node->role, sizeof(node->role), "%s", role);
	snprintf(node->name, sizeof(node->name), "%s-%u",
		 strcmp(role, "entry") == 0 ? "front" : "side", ip & 255);
	snprintf(node->settings, sizeof(node->settings), "%s/%s.toml",
		 getenv("LAB_TMP"), node->name);
	snprintf(node->log, sizeof(node->log), "%s/%s.log", getenv("LAB_TMP"),
		 node->name);
	return node;
}

/* As the templates of the deploy file render them. */
static void write_settings_(const node_t *node)
{
	bool agent = strcmp(node->role, "agent") == 0;
	const char *ip = ip_text_(node->ip);
	FILE *file = fopen(node->settings, "w");

	if (!file)
		lab_fail("%s", node->settings);
	fprintf(file,
		"role = \"%s\"\ntraffic = \"flows\"\nname = \"%s\"\n"
		"environment = \"platform\"\ndatacentre = \"gent-dok\"\n"
		"inner = \"%s:%u\"\nsecret = \"pimentolift-127.0.0.1:%u\"\n"
		"admin = \"%s:%u\"\nseeds = [\"127.0.1.1:%u\", "
		"\"127.0.1.2:%u\"]\nseed_port = %u\n\n[platform]\n"
		"url = \"http://127.0.0.1:%u\"\ntimeout_ms = 1000\n\n[flows]\n"
		"listen = \"%s:%u\"\nready = \"%s:%u\"\nlink_mbps = 1000.0\n"
		"config_ms = 3000\nflow_max_s = 60\n",
		node->role, node->name, ip, port_(PORT_INNER), store_port_, ip,
		port_(PORT_ADMIN), port_(PORT_CONTROL), port_(PORT_CONTROL),
		port_(PORT_INNER), store_port_, ip, port_(PORT_DATAGRAMS), ip,
		port_(PORT_READY));
	if (agent)
		fprintf(file,
			"backend = \"%s:%u\"\noutbound = \"%s:%u\"\n"
			"reports = \"%s:%u\"\nservice = \"%s\"\nreport_ms = %d\n"
			"backend_listens = true\n",
			ip, port_(PORT_APP), ip, port_(PORT_OUTBOUND), ip,
			port_(PORT_CONTROL), node->service, HEARTBEAT_MS);
	fclose(file);
}

void lab_node_start(node_t *node)
{
	const char *program = getenv("LAB_DAEMON");

	write_settings_(node);
	node->pid = fork();
	if (node->pid == 0) {
		int fd = open(node->log, O_CREAT | O_APPEND | O_WRONLY, 0644);

		dup2(fd, 1);
		dup2(fd, 2);
		execl(program, program, "-c", node->settings, (char *)NULL);
		_exit(127);
	}
	node->started = lab_now();
	lab_record("%s starts", node->name);
}

void lab_node_signal(node_t *node, int number)
{
	lab_record("%s gets signal %d (%s)", node->name, number,
		   strsignal(number));
	if (node->pid > 0)
		kill(node->pid, number);
}

void lab_node_reap(node_t *node, uint64_t timeout_ms)
{
	uint64_t until = lab_now() + timeout_ms;

	for (;;) {
		if (node->pid == 0 ||
		    waitpid(node->pid, NULL, WNOHANG) == node->pid) {
			if (node->pid > 0)
				lab_record("%s has ended", node->name);
			node->pid = 0;
			return;
		}
		if (timeout_ms == 0)
			return;
		if (lab_now() >= until) {
			/* the platform sends SIGKILL after grace_s */
			lab_node_signal(node, SIGKILL);
			until += 1000;
		}
		lab_run(5);
	}
}

node_t *lab_entry(void)
{
	static uint32_t next = 0x7f000101U; /* 127.0.1.1 */

	return add_node_("entry", next++);
}

endpoint_t *lab_machine(const char *service)
{
	static uint32_t next = 0x7f000201U; /* 127.0.2.1 */
	endpoint_t *endpoint = &endpoints[endpoint_count++];

	endpoint->node = add_node_("agent", next++);
	snprintf(endpoint->node->service, sizeof(endpoint->node->service), "%s",
		 service);
	snprintf(endpoint->service, sizeof(endpoint->service), "%s", service);
	endpoint->udp = endpoint->tcp = -1;
	for (int i = 0; i < 64; i++)
		endpoint->health[i] = -1;
	return endpoint;
}

bool lab_node_ready(node_t *entry)
{
	return http_(entry->ip, port_(PORT_READY),
		     "GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: "
		     "close\r\n\r\n",
		     NULL, 0) == 200;
}

/* ---- endpoints ---- */

void lab_endpoint_start(endpoint_t *endpoint, const char *id)
{
	uint32_t ip = endpoint->node->ip;

	memset(endpoint->held, 0, sizeof(endpoint->held));
	snprintf(endpoint->id, sizeof(endpoint->id), "%s", id);
	endpoint->born = unix_ms_();
	endpoint->started = lab_now();
	endpoint->sequence = 0;
	endpoint->alive = true;
	endpoint->draining = false;
	endpoint->acked = 0;
	endpoint->udp = bound_(SOCK_DGRAM, ip, port_(PORT_APP));
	endpoint->tcp = bound_(SOCK_STREAM, ip, port_(PORT_APP));
	if (endpoint->udp < 0 || endpoint->tcp < 0 ||
	    listen(endpoint->tcp, 64) < 0)
		lab_fail("endpoint %s", id);
	endpoint->next_beat = lab_now();
	lab_record("endpoint %s of %s starts beside %s", id, endpoint->service,
		   endpoint->node->name);
}

void lab_endpoint_crash(endpoint_t *endpoint)
{
	struct linger hard = { 1, 0 };

	lab_record("endpoint %s crashes", endpoint->id);
	for (int i = 0; i < 64; i++) {
		if (endpoint->health[i] < 0)
			continue;
		setsockopt(endpoint->health[i], SOL_SOCKET, SO_LINGER, &hard,
			   sizeof(hard));
		close(endpoint->health[i]);
		endpoint->health[i] = -1;
	}
	close(endpoint->udp);
	close(endpoint->tcp);
	endpoint->udp = endpoint->tcp = -1;
	endpoint->alive = false;
	memset(endpoint->held, 0, sizeof(endpoint->held));
}

void lab_endpoint_compose(endpoint_t *endpoint, char *out, size_t cap)
{
	char body[600];

	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":"
		 "\"gent-dok\",\"version\":\"v1\",\"max_concurrency\":5,"
		 "\"state\":\"%s\",\"warmup_left_ms\":0,\"sequence\":%u,"
		 "\"born\":%llu}",
		 endpoint->service, ip_text_(endpoint->node->ip),
		 port_(PORT_APP), endpoint->draining ? "draining" : "ready",
		 ++endpoint->sequence, (unsigned long long)endpoint->born);
	snprintf(out, cap,
		 "PUT /v1/instances/%s HTTP/1.1\r\nHost: node\r\nContent-Type: "
		 "application/json\r\nContent-Length: %zu\r\nConnection: "
		 "close\r\n\r\n%s",
		 endpoint->id, strlen(body), body);
}

int lab_deliver_beat(const node_t *node, const char *request)
{
	return http_(node->ip, port_(PORT_CONTROL), request, NULL, 0);
}

static void beat_(endpoint_t *endpoint)
{
	char request[1024];
	int status;

	lab_endpoint_compose(endpoint, request, sizeof(request));
	status = lab_deliver_beat(endpoint->node, request);
	if (status / 100 == 2)
		endpoint->acked++;
	lab_record("heartbeat %u of %s: %d", endpoint->sequence, endpoint->id,
		   status);
}

static void put32_(uint8_t *at, uint32_t value)
{
	for (int i = 0; i < 4; i++)
		at[i] = (uint8_t)(value >> (8 * i));
}

static uint32_t get32_(const uint8_t *at)
{
	return (uint32_t)at[0] | (uint32_t)at[1] << 8 | (uint32_t)at[2] << 16 |
	       (uint32_t)at[3] << 24;
}

static uint16_t get16_(const uint8_t *at)
{
	return (uint16_t)(at[0] | at[1] << 8);
}

/* A keyed sum over all fields but echo, pad and BOUNCED. */
static uint32_t sum_(const uint8_t *packet, size_t len)
{
	uint64_t hash = 0x9e3779b97f4a7c15ULL;

	for (size_t i = 4; i < len; i++) {
		uint8_t byte = packet[i];

		if ((i >= 16 && i < 20) || (i >= 31 && i < 34))
			continue;
		if (i == 30)
			byte &= (uint8_t)~F_BOUNCED;
		hash = (hash ^ byte) * 0x100000001b3ULL;
		hash ^= hash >> 29;
	}
	return (uint32_t)(hash | 1);
}

static size_t packet_(uint8_t *out, uint32_t src, uint16_t sport, uint32_t dst,
		      uint16_t dport, uint8_t flags, uint32_t seq, uint32_t ack,
		      const void *data, size_t len)
{
	memset(out, 0, HEAD);
	put32_(out + 4, src);
	put32_(out + 8, dst);
	out[12] = (uint8_t)sport;
	out[13] = (uint8_t)(sport >> 8);
	out[14] = (uint8_t)dport;
	out[15] = (uint8_t)(dport >> 8);
	put32_(out + 20, seq);
	put32_(out + 24, ack);
	out[28] = (uint8_t)len;
	out[29] = (uint8_t)(len >> 8);
	out[30] = flags;
	if (len)
		memcpy(out + HEAD, data, len);
	put32_(out, sum_(out, HEAD + len));
	return HEAD + len;
}

static void send_(int fd, uint32_t ip, uint16_t port, const uint8_t *bytes,
		  size_t len)
{
	struct sockaddr_in to = addr_(ip, port);

	sendto(fd, bytes, len, MSG_DONTWAIT, (struct sockaddr *)&to,
	       sizeof(to));
}

static held_t *find_held_(endpoint_t *endpoint, uint32_t src, uint16_t sport,
			  uint16_t dport)
{
	for (int i = 0; i < HELD_MAX; i++) {
		held_t *held = &endpoint->held[i];

		if (held->used && held->src == src && held->sport == sport &&
		    held->dport == dport)
			return held;
	}
	return NULL;
}

static void reply_(endpoint_t *endpoint, const held_t *held, uint8_t flags,
		   uint32_t seq, const void *data, size_t len)
{
	uint8_t out[HEAD + DATA_MAX];
	size_t size =
		packet_(out, held->dst, held->dport, held->src, held->sport,
			flags, seq, held->client_next, data, len);

	send_(endpoint->udp, endpoint->node->ip, port_(PORT_OUTBOUND), out,
	      size);
}

static void take_request_(endpoint_t *endpoint, held_t *held,
			  const uint8_t *data, size_t len)
{
	char text[DATA_MAX + 1];
	char id[32] = "";
	char *at;

	memcpy(text, data, len);
	text[len] = '\0';
	at = strstr(text, "Request-Id: ");
	if (at)
		sscanf(at + 12, "%31s", id);
	lab_record("endpoint %s runs request %s of port %u", endpoint->id, id,
		   held->sport);
	endpoint->runs++;
	held->answer_len = (size_t)snprintf(
		held->answer, sizeof(held->answer),
		"HTTP/1.1 200 OK\r\nServer-Stamp: %s/%s\r\nContent-Length: 2\r\n"
		"\r\nok",
		endpoint->id, id);
	held->answer_seq = held->server_next;
	held->server_next += (uint32_t)held->answer_len;
	usleep(1000);
	reply_(endpoint, held, F_ACK, held->answer_seq, held->answer,
	       held->answer_len);
}

static void endpoint_packet_(endpoint_t *endpoint, uint8_t *bytes, size_t len)
{
	uint32_t src = get32_(bytes + 4), dst = get32_(bytes + 8);
	uint16_t sport = get16_(bytes + 12), dport = get16_(bytes + 14);
	uint32_t seq = get32_(bytes + 20), ack = get32_(bytes + 24);
	uint8_t flags = bytes[30];
	size_t data = len - HEAD;
	held_t *held = find_held_(endpoint, src, sport, dport);

	if (get32_(bytes) != sum_(bytes, len) || (flags & F_BOUNCED)) {
		lab_record("UNASKED: endpoint %s gets a packet of port %u that "
			   "its sender did not write so",
			   endpoint->id, sport);
		return;
	}
	if (flags & F_SYN) {
		if (held && held->client_next == seq + 1) {
			reply_(endpoint, held, F_SYN | F_ACK,
			       held->server_first, NULL, 0);
			return;
		}
		for (int i = 0; !held && i < HELD_MAX; i++) {
			if (!endpoint->held[i].used)
				held = &endpoint->held[i];
		}
		if (!held)
			return;
		*held = (held_t){ .used = true,
				  .src = src,
				  .dst = dst,
				  .sport = sport,
				  .dport = dport,
				  .client_next = seq + 1,
				  .server_first = (uint32_t)random() * 2U };
		held->server_next = held->server_first + 1;
		reply_(endpoint, held, F_SYN | F_ACK, held->server_first, NULL,
		       0);
		return;
	}
	if (!held || (!held->open && ack != held->server_first + 1)) {
		bytes[30] |= F_BOUNCED;
		memset(bytes + 31, 0, 3);
		lab_record("endpoint %s returns a packet of port %u",
			   endpoint->id, sport);
		send_(endpoint->udp, endpoint->node->ip, port_(PORT_OUTBOUND),
		      bytes, len);
		return;
	}
	if (flags & F_RST) {
		held->used = false;
		return;
	}
	if (!held->open) {
		held->open = true;
		held->opened = lab_now();
		lab_record("endpoint %s has the flow of port %u", endpoint->id,
			   sport);
	}
	if (data == 0)
		return;
	if (seq == held->client_next) {
		held->client_next += (uint32_t)data;
		held->request_end = held->client_next;
		take_request_(endpoint, held, bytes + HEAD, data);
	} else if (held->answer_len > 0 &&
		   seq + (uint32_t)data == held->request_end) {
		reply_(endpoint, held, F_ACK, held->answer_seq, held->answer,
		       held->answer_len);
	} else {
		reply_(endpoint, held, F_ACK, held->server_next, NULL, 0);
	}
}

held_t *lab_holds(endpoint_t *endpoint, const flow_t *flow)
{
	held_t *held = find_held_(endpoint, CLIENT_IP, flow->port, flow->route);

	return endpoint->alive && held && held->open ? held : NULL;
}

endpoint_t *lab_owner(const flow_t *flow)
{
	for (int i = 0; i < endpoint_count; i++) {
		if (lab_holds(&endpoints[i], flow))
			return &endpoints[i];
	}
	return NULL;
}

/* ---- clients ---- */

static void client_send_(flow_t *flow, uint8_t flags, uint32_t seq,
			 uint32_t ack, const void *data, size_t len)
{
	uint8_t out[HEAD + DATA_MAX];
	size_t size = packet_(out, CLIENT_IP, flow->port, ROUTE_IP, flow->route,
			      flags, seq, ack, data, len);

	send_(client_fd_, flow->via->ip, port_(PORT_DATAGRAMS), out, size);
}

flow_t *lab_open_route(node_t *via, uint16_t route)
{
	flow_t *flow = &flows[flow_count];

	flow->index = flow_count++;
	flow->port = (uint16_t)(1024 + flow->index);
	flow->first = (uint32_t)random() * 2U;
	flow->seq = flow->first + 1;
	flow->via = via;
	flow->route = route;
	flow->syn_sent = true;
	flow->syn_at = lab_now();
	lab_record("client port %u opens a flow through %s", flow->port,
		   via->name);
	client_send_(flow, F_SYN, flow->first, 0, NULL, 0);
	return flow;
}

flow_t *lab_open(node_t *via)
{
	return lab_open_route(via, LAB_ROUTE);
}

void lab_request(flow_t *flow, node_t *via)
{
	if (!flow->open || flow->reset || flow->waiting)
		return;
	flow->via = via;
	snprintf(flow->request_id, sizeof(flow->request_id), "q%d-%u",
		 flow->index, ++flow->requests);
	flow->request_len = (size_t)snprintf(
		flow->request, sizeof(flow->request),
		"GET /view HTTP/1.1\r\nHost: r\r\nRequest-Id: %s\r\n\r\n",
		flow->request_id);
	flow->request_seq = flow->seq;
	flow->seq += (uint32_t)flow->request_len;
	flow->waiting = true;
	flow->sent_at = lab_now();
	flow->retries = 0;
	flow->retry_at = lab_now() + 200;
	lab_record("client port %u sends request %s through %s", flow->port,
		   flow->request_id, via->name);
	client_send_(flow, F_ACK, flow->request_seq, flow->ack, flow->request,
		     flow->request_len);
}

static void client_packet_(const uint8_t *bytes, size_t len)
{
	uint16_t port = get16_(bytes + 14);
	uint32_t seq = get32_(bytes + 20);
	uint8_t flags = bytes[30];
	flow_t *flow;

	if (port < 1024 || port >= 1024 + flow_count)
		return;
	flow = &flows[port - 1024];
	if (flags & F_RST) {
		bool own = get32_(bytes) == 0;

		if (flow->reset)
			return;
		if (flow->open && seq - flow->ack + 76800U > 2 * 76800U)
			return;
		flow->reset = true;
		flow->reset_at = lab_now();
		lab_record("client port %u gets a reset %s", port,
			   own ? "of the system" : "of an endpoint");
		return;
	}
	if (get32_(bytes) != sum_(bytes, len)) {
		lab_record(
			"MIXED: client port %u gets a packet that its sender "
			"did not write so",
			port);
		return;
	}
	if (flow->reset)
		return;
	if (flags & F_SYN) {
		if (!flow->open) {
			flow->open = true;
			flow->ack = seq + 1;
		}
		if (seq + 1 == flow->ack || flow->requests == 0)
			client_send_(flow, F_ACK, flow->seq, flow->ack, NULL,
				     0);
		return;
	}
	if (len > HEAD && seq == flow->ack) {
		char text[300];
		char stamp[64] = "";
		char *at;

		flow->ack += (uint32_t)(len - HEAD);
		snprintf(text, sizeof(text), "%.*s", (int)(len - HEAD),
			 (const char *)bytes + HEAD);
		at = strstr(text, "Server-Stamp: ");
		if (at)
			sscanf(at + 14, "%63s", stamp);
		if (flow->waiting && strchr(stamp, '/') &&
		    strcmp(strchr(stamp, '/') + 1, flow->request_id) == 0) {
			flow->waiting = false;
			flow->answers++;
			lab_record("client port %u gets the answer %s", port,
				   stamp);
		} else {
			lab_record("MIXED: client port %u gets the answer %s "
				   "while it waits for %s",
				   port, stamp, flow->request_id);
		}
	}
	if (len > HEAD)
		client_send_(flow, F_ACK, flow->seq, flow->ack, NULL, 0);
}

static void client_timers_(flow_t *flow)
{
	static const unsigned int copy_at[] = { 200, 600 };
	uint64_t now = lab_now();

	if (flow->reset || flow->done)
		return;
	if (!flow->open) {
		if (flow->copies < 2 &&
		    now - flow->syn_at >= copy_at[flow->copies]) {
			flow->copies++;
			client_send_(flow, F_SYN, flow->first, flow->copies,
				     NULL, 0);
		}
		if (now - flow->syn_at >= 1400) {
			lab_record("client port %u: its flow did not open",
				   flow->port);
			flow->done = true;
		}
		return;
	}
	if (flow->waiting && now - flow->sent_at >= 3000) {
		lab_record("client port %u gives request %s up", flow->port,
			   flow->request_id);
		flow->waiting = false;
		flow->done = true;
	} else if (flow->waiting && now >= flow->retry_at) {
		unsigned int pause = 200U << ++flow->retries;

		flow->retry_at = now + (pause > 1600 ? 1600 : pause);
		client_send_(flow, F_ACK, flow->request_seq, flow->ack,
			     flow->request, flow->request_len);
	}
}

/* ---- loop ---- */

static void accept_(endpoint_t *endpoint)
{
	int fd = accept4(endpoint->tcp, NULL, NULL,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	for (int i = 0; fd >= 0 && i < 64; i++) {
		if (endpoint->health[i] < 0) {
			endpoint->health[i] = fd;
			return;
		}
	}
	if (fd >= 0)
		close(fd);
}

static void health_ready_(endpoint_t *endpoint, int index)
{
	char text[512];
	int fd = endpoint->health[index];
	ssize_t got = recv(fd, text, sizeof(text) - 1, 0);
	const char *answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

	if (got > 0) {
		send(fd, answer, strlen(answer), MSG_NOSIGNAL);
	} else if (got == 0 || errno != EAGAIN) {
		close(fd);
		endpoint->health[index] = -1;
	}
}

static void receive_(int fd, endpoint_t *endpoint)
{
	uint8_t bytes[2048];
	ssize_t len;

	while ((len = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) >= HEAD) {
		if (endpoint)
			endpoint_packet_(endpoint, bytes, (size_t)len);
		else
			client_packet_(bytes, (size_t)len);
	}
}

static void turn_(int timeout_ms)
{
	static struct pollfd fds[ENDPOINTS_MAX * 66 + 1];
	static struct {
		endpoint_t *endpoint;
		int health; /* -1: UDP, -2: listener */
	} of[ENDPOINTS_MAX * 66 + 1];
	int count = 0;

	fds[count] = (struct pollfd){ client_fd_, POLLIN, 0 };
	of[count++].endpoint = NULL;
	for (int i = 0; i < endpoint_count; i++) {
		endpoint_t *endpoint = &endpoints[i];

		if (!endpoint->alive)
			continue;
		fds[count] = (struct pollfd){ endpoint->udp, POLLIN, 0 };
		of[count].endpoint = endpoint;
		of[count++].health = -1;
		fds[count] = (struct pollfd){ endpoint->tcp, POLLIN, 0 };
		of[count].endpoint = endpoint;
		of[count++].health = -2;
		for (int k = 0; k < 64; k++) {
			if (endpoint->health[k] < 0)
				continue;
			fds[count] = (struct pollfd){ endpoint->health[k],
						      POLLIN, 0 };
			of[count].endpoint = endpoint;
			of[count++].health = k;
		}
	}
	poll(fds, (nfds_t)count, timeout_ms);
	for (int i = 0; i < count; i++) {
		if (!fds[i].revents)
			continue;
		if (!of[i].endpoint)
			receive_(client_fd_, NULL);
		else if (of[i].health == -1)
			receive_(fds[i].fd, of[i].endpoint);
		else if (of[i].health == -2)
			accept_(of[i].endpoint);
		else
			health_ready_(of[i].endpoint, of[i].health);
	}
	for (int i = 0; i < endpoint_count; i++) {
		endpoint_t *endpoint = &endpoints[i];

		if (!endpoint->alive || lab_now() < endpoint->next_beat)
			continue;
		endpoint->next_beat = lab_now() + HEARTBEAT_MS;
		beat_(endpoint);
	}
	for (int i = 0; i < flow_count; i++)
		client_timers_(&flows[i]);
}

void lab_run(uint64_t ms)
{
	uint64_t until = lab_now() + ms;

	do {
		turn_(1);
	} while (lab_now() < until);
}
