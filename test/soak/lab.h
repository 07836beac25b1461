/**
 * @file
 * Integration test: runs the real processes with stand-ins for callers, the
 * fabric, the store and backend servers, injects faults and checks the
 * guarantees.
 */
#ifndef PL_TEST_LAB_H
#define PL_TEST_LAB_H

#include "common/process.h"
#include "common/standin.h"

#include <json-c/json.h>
#include <stdio.h>

#define LAB_ENTRIES 3
#define LAB_SERVICES 2
#define LAB_AGENTS_PER_SERVICE 3
#define LAB_NODES (LAB_ENTRIES + LAB_SERVICES * LAB_AGENTS_PER_SERVICE)
#define LAB_VIEWS_PER_SERVICE 20
/** Path of the resource that the views observe. */
#define LAB_STATE_PATH "state/1"
/** Timeout for a condition that must become true. */
#define LAB_WAIT_TIMEOUT_MS 60000

/** The guarantees that the soak test checks. */
typedef enum {
	GUARANTEE_VIEWS,
	GUARANTEE_ISOLATION,
	GUARANTEE_WHOLE_ANSWER,
	GUARANTEE_NOT_RUN,
	GUARANTEE_AT_MOST_ONCE,
	GUARANTEE_DRAINING,
	GUARANTEE_GRACEFUL_STOP,
	GUARANTEE_CONFIGURATION,
	GUARANTEE_COUNT,
} guarantee_t;

/** Texts of @ref guarantee_t, in its order. */
extern const char *const guarantee_texts[];

/** A daemon, and for an agent its backend server. */
typedef struct {
	char name[32];
	bool is_entry;
	int service; /**< index of an agent's service */
	bool up; /**< started, and neither stopped nor paused */
	pl_process_t *process;
	char *inner; /**< internal address, for other members */
	char *admin; /**< address of the admin port */
	char *listen; /**< address for the fabric or the backend server */
	int64_t revision; /**< highest revision reported since the start */
	uint64_t up_since_ms;
	pl_process_t *backend;
	int starts; /**< number of starts; part of the log's name */
} node_t;

/** An injected fault or planned change, with its duration. */
typedef struct {
	const char *name;
	const struct fault *fault;
	node_t *node;
	uint64_t start_ms;
	uint64_t end_ms; /**< 0: not restored yet */
} injection_t;

/** A new version of a state that the views have to receive. */
typedef struct {
	int service;
	uint64_t version;
	uint64_t sent_ms; /**< time when the backend servers received it */
} update_t;

/** The latest configuration change. */
typedef struct {
	int64_t revision;
	uint64_t accepted_ms;
	bool pending; /**< not yet confirmed on every node */
} config_change_t;

typedef struct {
	char *dir;
	GRand *random;
	uint64_t started_ms;
	pl_process_t *store;
	pl_process_t *fabric;
	pl_process_t *caller;
	char *store_url;
	char *fabric_return; /**< address for the entries' answers */
	bool store_up;
	node_t nodes[LAB_NODES]; /**< entries, then agents by service */
	uint64_t version; /**< latest version of the observed states */
	uint64_t next_update_ms;
	uint64_t next_poll_ms;
	uint64_t next_check_ms;
	GQueue updates; /**< of update_t that some view may still lack */
	/** Number of outdated views per service when the last update was
	 * received or overdue. */
	long long stale_views[LAB_SERVICES];
	config_change_t change;
	uint32_t change_count;
	GPtrArray *injections; /**< of injection_t */
	GPtrArray *trace; /**< lines with time and action */
	/** Number of checks of each guarantee. */
	uint64_t check_counts[GUARANTEE_COUNT];
	uint64_t breaches[GUARANTEE_COUNT];
	GPtrArray *breach_texts;
	uint64_t view_delay_max_ms;
	uint64_t change_delay_max_ms;
	bool lossy; /**< the fabric drops datagrams */
	bool verbose;
} lab_t;

/** Time after the start of a drain from which no new work may arrive. */
#define LAB_DRAIN_LIMIT_MS 3000

/** A kind of fault, with the functions that inject and restore it. */
typedef struct fault {
	const char *name;
	/** An operator's planned change, which must breach no guarantee. */
	bool planned;
	/** Requests in progress may be lost. */
	bool loses_requests;
	/** Time limits for views start at the end of the fault, not at its
	 * start. */
	bool view_limits_start_at_end;
	void (*inject)(lab_t *lab, injection_t *injection);
	void (*restore)(lab_t *lab, injection_t *injection);
} fault_t;

extern const fault_t faults[];
extern const char *const lab_services[LAB_SERVICES];
extern const char *const lab_addresses[LAB_SERVICES];

/** Starts stand-ins and daemons; false when one did not become ready. */
bool lab_start(lab_t *lab, uint32_t seed);
/** Ends all processes and frees the run's data. */
void lab_finish(lab_t *lab);
/** Sends state updates, polls the nodes, checks, and sleeps for 10 ms. */
void lab_tick(lab_t *lab);
/** Calls lab_tick() for @p ms. */
void lab_run(lab_t *lab, uint64_t ms);
void lab_trace(lab_t *lab, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

bool node_start(lab_t *lab, node_t *node);
bool node_start_backend(lab_t *lab, node_t *node);
/** Sends SIGTERM and checks that the process exits in time with status 0. */
void node_stop(lab_t *lab, node_t *node);
/** Ends the process by SIGKILL. */
void node_kill(lab_t *lab, node_t *node);
/**
 * Waits until the node has the latest configuration and its backend server
 * is registered.
 */
bool node_wait_ready(lab_t *lab, node_t *node);
/** Status of the node, to be released; NULL when it did not answer. */
json_object *node_status(const node_t *node);
/** Configuration revision of the node; -1 when it did not answer. */
int64_t node_revision(const node_t *node);

/** Returns the response body, to be released, or NULL on failure. */
char *http_request(const char *method, const char *url, const char *body);

/** Applies a changed document; false when it was not accepted. */
bool operator_apply(lab_t *lab);
/** Starts two concurrent applies that both expect the current revision; exactly
 * one must succeed and the other end in a conflict. */
void operator_race(lab_t *lab);

bool traffic_open_views(lab_t *lab);
/** Starts the steady request load for @p seconds. */
void traffic_start(lab_t *lab, uint32_t seconds);
/** Stops the request load and waits for outstanding answers and updates. */
void traffic_stop(lab_t *lab);
/** Sends a new state version to every backend server. */
void traffic_update(lab_t *lab);
/** The caller's report, to be released. */
json_object *traffic_report(lab_t *lab);

/** Checks views and configuration during a run. */
void check_periodic(lab_t *lab);
/** Compares the outcomes that the callers recorded with the executions that the
 * backend servers recorded. */
void check_records(lab_t *lab);
void check_breach(lab_t *lab, guarantee_t guarantee, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/** Number of breaches of all guarantees. */
uint64_t check_breaches(const lab_t *lab);

injection_t *fault_inject(lab_t *lab, const fault_t *fault);
void fault_restore(lab_t *lab, injection_t *injection);
const fault_t *fault_find(const char *name);

void report_print(lab_t *lab);

int demo_run(void);
int soak_run(uint32_t seed, uint32_t seconds, const char *list, bool verbose);

#endif
