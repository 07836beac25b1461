/**
 * @file
 * A small deployment on loopback: the platform's store, routers, servers with
 * their heartbeats, clients, and the project's daemon as separate processes.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define ENTRIES_MAX 8
#define SERVERS_MAX 24
#define CLIENTS_MAX 512
#define FLOWS_MAX 4096
#define PACKET_MAX 1234
#define ZONES 3

enum { SYN = 8, ACK = 32, FIN = 64, RST = 1, BOUNCED = 4 };

/** Header of a packet, in host byte order. */
typedef struct {
	uint32_t sum;
	uint32_t src;
	uint32_t dst;
	uint16_t sport;
	uint16_t dport;
	uint32_t seq;
	uint32_t ack;
	uint16_t len;
	uint8_t flags;
} head_t;

/** A process of the system. */
typedef struct {
	bool entry;
	int index;
	int zone;
	uint32_t ip;
	pid_t pid;
	char name[32];
	char settings[256];
	char log[256];
	/* of an entry, as the routers see it */
	bool in_rotation;
	int misses;
	int link_mbps; /* its link to the store has this rate */
} node_t;

/** A flow at a server. */
typedef struct {
	bool used;
	bool started;
	bool open; /* the server has the end of the handshake */
	bool ended; /* both ends have sent a FIN */
	uint32_t client_isn;
	uint32_t src, dst;
	uint16_t sport, dport;
	uint32_t isn;
	uint32_t next; /* sequence number of the server's next byte */
	uint32_t expected; /* next byte of the client */
	int requests;
} server_flow_t;

/** An endpoint. */
typedef struct {
	int index;
	int zone;
	uint32_t ip;
	const char *service;
	char id[32];
	uint64_t born;
	uint64_t sequence;
	bool draining;
	bool drain_acked;
	bool up;
	int udp;
	int listener;
	server_flow_t flows[FLOWS_MAX];
	int flow_count;
} server_t;

/** A client with one flow. */
typedef struct {
	bool used;
	uint32_t ip;
	uint16_t port;
	uint32_t dst;
	uint16_t dport;
	uint32_t isn;
	uint32_t next;
	uint32_t peer; /* next byte expected from the server */
	int state; /* 0: opening, 1: open, 2: ended */
	int syn_sent;
	uint64_t syn_at;
	uint64_t opened_at;
	uint64_t next_request_at;
	uint64_t interval_ms;
	bool closes; /* a flow for one request: FIN after the answer */
	bool fin_sent;
	bool ended; /* both ends have sent a FIN */
	/* request in flight */
	bool waiting;
	uint64_t sent_at;
	uint64_t retry_at;
	uint64_t retry_ms;
	int answers;
	int resets; /* resets of the system on an open flow */
	int held_reset; /* those of them while a server held the flow */
	int refused; /* resets before the flow was open */
	uint64_t reset_at;
	int first_entry; /* that got the opening packet */
	int last_entry;
	const char *route;
} client_t;

typedef struct {
	node_t entries[ENTRIES_MAX];
	int entry_count;
	node_t agents[SERVERS_MAX];
	server_t servers[SERVERS_MAX];
	int server_count;
	client_t clients[CLIENTS_MAX];
	int client_count;
	int client_udp;
	uint16_t base_port;
	int net; /* second byte of all addresses */
	char folder[200];
	FILE *record;
	bool trouble;
	bool stopping;
	int zones; /* in use */
	int config_ms;
	uint64_t heartbeat_ms;
	/* number of a server's first heartbeat */
	uint64_t first_sequence;
} world_t;

extern world_t world;

uint64_t now_ms(void);
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* store.c */
/** Answers at an address for each entry, at the rate of its link, and at one for
 * all agents. */
void store_start(void);
/** The store is up, or answers all calls with 503. */
void store_set_up(bool up);
/** Whether the roster in the store names the agent. */
bool store_names(const node_t *agent);
/** Address of the store for a process. */
uint32_t store_ip(const node_t *node);
/** Writes a key as the operator; returns its revision. */
uint64_t store_put(const char *key, const char *value, size_t len);

/* world.c */
void world_init(const char *folder, const char *record, bool trouble);
void world_start(int entries, int servers);
void world_finish(void);
/** Waits until all entries are in rotation; false if they are not. */
bool world_ready(void);
/** Starts another agent, beside which server_add() starts a server. */
void agent_add(const char *service);
void server_add(int index);
void node_start(node_t *node);
void node_signal(node_t *node, int signal);
/** Waits for the end of the process. */
void node_wait(node_t *node);
/** Whether the process has ended; does not wait. */
bool node_ended(node_t *node);
int entries_ready(void);
client_t *client_open(uint32_t dst, uint16_t dport, const char *route,
		      uint64_t interval_ms);
/** Sends one opening packet straight to an entry. */
client_t *client_probe(int entry, uint32_t dst, uint16_t dport,
		       const char *route);
void client_stop(client_t *client);
/** Opens a flow for one request, from a port that was used before, or from a new
 * one if @p port is 0. */
client_t *client_open_once(uint32_t dst, uint16_t dport, const char *route,
			   uint16_t port);
/** Lets the world run; packets, timers and heartbeats are served. */
void run_ms(uint64_t ms);
/** Called when a server takes the opening packet of a flow; may be NULL. */
extern void (*on_flow_taken)(const server_t *server, uint16_t port);
/** Server that holds the client's flow, or NULL. */
server_t *holder_of(const client_t *client);
uint32_t address(int c, int d);
const char *ip_text(uint32_t ip);

/* config.c */
/** Writes the configuration @p version: the route of the clients, to
 * "permitdesk", and @p others more; returns its size in bytes. */
size_t config_put(int version, int others);
/** Address of another route, from 0 on; its port is 80. */
uint32_t config_route(int index);
extern const uint32_t config_main_ip;
extern const uint16_t config_main_port;

/** The case: 0 if the rule held, 1 if it was broken, 2 if it could not run. */
int scenario(void);

#endif
