/*
 * Stand-ins of the third review: endpoints, clients, routers and the operator,
 * in one process with a poll loop. The programs under test run as processes of
 * their own. All addresses are loopback addresses, the clock is the real one.
 *
 * An endpoint follows the users' pages: it takes packets from its own machine
 * only, answers a SYN with a SYN+ACK, returns packets of flows that it does not
 * hold with BOUNCED set, answers a copy of an answered request with a copy of
 * the answer, and sends heartbeats to the `control` address of its machine. A
 * client retransmits as the pages say and reports a reset of an open flow.
 */
#ifndef LAB_H
#define LAB_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define HEARTBEAT_MS 1200
#define CONTACT_MS 4000
/* Port of the first route. */
#define LAB_ROUTE 8443

typedef struct {
	char name[32];
	char role[8]; /* "entry" or "agent" */
	uint32_t ip;
	char service[32];
	char settings[256];
	char log[256];
	pid_t pid; /* 0: not running */
	uint64_t started; /* ms */
} node_t;

typedef struct {
	bool used;
	uint32_t src, dst;
	uint16_t sport, dport;
	uint32_t client_next, server_first, server_next;
	bool open;
	uint64_t opened; /* ms */
	char answer[256];
	size_t answer_len;
	uint32_t answer_seq;
	uint32_t request_end;
} held_t;

#define HELD_MAX 512

typedef struct {
	node_t *node; /* of its machine */
	char service[32];
	char id[32];
	uint64_t born; /* Unix ms */
	uint64_t started; /* ms */
	unsigned int sequence;
	bool alive;
	bool draining;
	int udp;
	int tcp; /* listener */
	int health[64];
	uint64_t next_beat; /* ms */
	unsigned int acked; /* heartbeats */
	unsigned int runs;
	held_t held[HELD_MAX];
	/* a heartbeat that is held back: sent, and on its way */
	char delayed[1024];
} endpoint_t;

typedef struct {
	int index;
	uint16_t port, route;
	uint32_t seq, ack; /* next own number, next expected of the server */
	uint32_t first;
	node_t *via;
	bool syn_sent, open, reset, done;
	uint64_t reset_at;
	bool waiting; /* for an answer */
	unsigned int requests, answers;
	uint64_t syn_at, sent_at, retry_at;
	unsigned int copies, retries;
	char request[256];
	size_t request_len;
	uint32_t request_seq;
	char request_id[32];
} flow_t;

#define FLOWS_MAX 2048
#define NODES_MAX 40
#define ENDPOINTS_MAX 32

extern node_t nodes[NODES_MAX];
extern int node_count;
extern endpoint_t endpoints[ENDPOINTS_MAX];
extern int endpoint_count;
extern flow_t flows[FLOWS_MAX];
extern int flow_count;

uint64_t lab_now(void); /* ms since the start */
void lab_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes and exits. 0: held, 1: broken, 2: could not run. */
void lab_exit(int code) __attribute__((noreturn));
void lab_fail(const char *format, ...)
	__attribute__((noreturn, format(printf, 1, 2)));

/* Starts the store and writes the first configuration. */
void lab_start(const char *directory, const char *const *services, int count);
void lab_store(const char *command);
/* Whether the roster in the store names the agent. */
bool lab_registered(const node_t *agent);

node_t *lab_entry(void);
/* A machine with an agent, and its endpoint, which is not started. */
endpoint_t *lab_machine(const char *service);
void lab_node_start(node_t *node);
void lab_node_signal(node_t *node, int signal);
/* Waits until the process has ended; with 0 only looks. */
void lab_node_reap(node_t *node, uint64_t timeout_ms);
bool lab_node_ready(node_t *entry);

void lab_endpoint_start(endpoint_t *endpoint, const char *id);
/* Ends at once, as a crash does; its flows are gone. */
void lab_endpoint_crash(endpoint_t *endpoint);
/* Composes the next heartbeat without sending it. */
void lab_endpoint_compose(endpoint_t *endpoint, char *out, size_t cap);
/* Sends a composed heartbeat; the status, or 0 if there is no answer. */
int lab_deliver_beat(const node_t *node, const char *request);
held_t *lab_holds(endpoint_t *endpoint, const flow_t *flow);

flow_t *lab_open(node_t *via);
flow_t *lab_open_route(node_t *via, uint16_t route);
/* Writes a configuration: a route for each service, and @extra for the first. */
void lab_configure(unsigned int version, int extra);
void lab_request(flow_t *flow, node_t *via);
endpoint_t *lab_owner(const flow_t *flow);

/* Runs the loop. */
void lab_run(uint64_t ms);

#endif
