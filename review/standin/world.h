/**
 * @file
 * A small deployment for the cases of the review: the platform's store, its
 * routers, clients and endpoints as stand-ins in this process, and the
 * project's daemons as processes of their own. All addresses are loopback
 * addresses; each machine has one of its own, and ports are the same on all
 * machines.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#define ENTRIES_MAX 4
#define AGENTS_MAX 16
#define FLOWS_MAX 65536

/** Result of a case, the exit status of its script. */
#define CASE_HELD 0
#define CASE_BROKEN 1
#define CASE_FAILED 2

#define HEARTBEAT_MS 1200
#define REQUEST_DEADLINE_MS 4000

typedef struct {
	const char *service;
	const char *zone;
	int slots;
	int work_ms;
	bool refused_by_store; /**< from the start on */
	bool added_later; /**< by world_add_agent() */
} agent_spec_t;

typedef struct {
	int entries;
	int agents;
	agent_spec_t agent[AGENTS_MAX];
	const char *config; /**< first value of op/config */
	int config_ms; /**< bound of the site */
} world_spec_t;

/** Counts of what clients and endpoints saw. */
typedef struct {
	unsigned int requests;
	unsigned int answered;
	unsigned int unanswered; /**< no answer by the deadline */
	unsigned int resets_open; /**< system resets of open flows */
	unsigned int resets_broken; /**< of those, FLOW (a) is broken */
	unsigned int requests_cut; /**< requests that such a reset cut off */
	unsigned int
		altered; /**< packets that were not as their sender wrote */
	unsigned int twice; /**< requests that were run twice */
} world_counts_t;

/** Starts the deployment; exits with CASE_FAILED if it can't. */
void world_start(const world_spec_t *spec);
/** Ends all processes and prints the counts. */
void world_stop(void);

/** Lets the deployment run for @p ms milliseconds. */
void world_run(int ms);
/** Adds an agent's machine with its endpoint. */
void world_add_agent(int agent);
/** Waits until all entries are in rotation; exits with CASE_FAILED otherwise. */
void world_wait_ready(int ms);

/** The operator writes op/config. */
void world_put_config(const char *text);

/** The store turns the agent's machine away (503) and serves the others. */
void world_store_refuse_agent(int agent, bool refuses);
/** Number of the agent's calls that the store has turned away. */
unsigned int world_store_refused(int agent);
/** Whether the store has a key that names the agent's address. */
bool world_is_registered(int agent);

/** Opens a flow to the route @p host:@p port. Requests follow, each @p every_ms
 * after the answer to the one before. Returns the number of the flow. */
int world_open_flow(const char *host, uint16_t port, int every_ms);
/** Index of the agent whose endpoint holds the flow, or -1. */
int world_flow_owner(int flow);

/** Sends a heartbeat with @p body under @p id to the agent's control address
 * and returns the status of the answer. */
int world_send_heartbeat(int agent, const char *id, const char *body);
/** Identity, start and address of the agent's endpoint. */
const char *world_endpoint_id(int agent);
const char *world_endpoint_address(int agent);
uint64_t world_endpoint_born(int agent);

/** Signals to the processes of entries and agents. */
void world_signal_entry(int entry, int signal);
void world_signal_agent(int agent, int signal);
/** Waits until the process has ended and starts it again. */
void world_restart_entry(int entry, int delay_ms);
void world_restart_agent(int agent, int delay_ms);

bool world_trouble(void);
void world_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
const world_counts_t *world_counts(void);
int64_t world_now_ms(void);

#endif
