/**
 * @file
 * Runs the real processes with stand-ins for what is outside, brings about
 * failures and checks what must always hold.
 */
#ifndef PL_TEST_LAB_H
#define PL_TEST_LAB_H

#include "common/process.h"
#include "common/standin.h"

#include <json-c/json.h>
#include <stdio.h>

#define LAB_ENTRIES 3
#define LAB_SERVICES 2
#define LAB_AGENTS 3
#define LAB_NODES (LAB_ENTRIES + LAB_SERVICES * LAB_AGENTS)
#define LAB_VIEWS 20
#define LAB_STATE "state/1"
/** Longest wait for something that must come, in milliseconds. */
#define LAB_PATIENCE_MS 60000

/** The promises, in the order of the users' list. */
typedef enum {
	PROMISE_VIEWS,
	PROMISE_ISOLATION,
	PROMISE_WHOLE_ANSWER,
	PROMISE_NOT_RUN,
	PROMISE_AT_MOST_ONCE,
	PROMISE_LEAVING,
	PROMISE_GRACEFUL,
	PROMISE_CONFIGURATION,
	PROMISE_COUNT,
} promise_t;

/** Texts of @ref promise_t, in its order. */
extern const char *const promise_texts[];

/** A daemon, and for an agent its backend server. */
typedef struct {
	char name[32];
	bool is_entry;
	int service; /**< of an agent */
	bool up; /**< takes part: started, not stopped, paused or cut off */
	pl_process_t *process;
	char *inner;
	char *admin;
	char *port; /**< for the fabric, or for the backend server */
	int64_t revision; /**< highest seen of this process */
	uint64_t up_since_ms;
	pl_process_t *backend;
	int lives;
} node_t;

/** A fault from its start to its end, for the judgement of results. */
typedef struct {
	const char *name;
	const struct fault *fault;
	node_t *node;
	uint64_t from_ms;
	uint64_t to_ms; /**< 0 while it lasts */
} episode_t;

/** A new state that the views have to show. */
typedef struct {
	int service;
	uint64_t version;
	uint64_t told_ms;
} update_t;

/** A change of the configuration that has to be in force everywhere. */
typedef struct {
	int64_t revision;
	uint64_t accepted_ms;
	bool pending;
} change_t;

typedef struct {
	char *dir;
	GRand *random;
	uint64_t started_ms;
	pl_process_t *store;
	pl_process_t *fabric;
	pl_process_t *caller;
	char *store_url;
	char *fabric_return;
	bool store_up;
	node_t nodes[LAB_NODES];
	uint64_t version;
	uint64_t next_update_ms;
	uint64_t next_poll_ms;
	uint64_t next_check_ms;
	GQueue updates;
	long long
		stale[LAB_SERVICES]; /**< views that a breach was counted for */
	change_t change;
	uint32_t change_count;
	GPtrArray *episodes; /**< of episode_t */
	GPtrArray *trace; /**< lines: what was done, and when */
	uint64_t trials[PROMISE_COUNT];
	uint64_t breaches[PROMISE_COUNT];
	GPtrArray *breach_texts;
	uint64_t view_delay_max_ms;
	uint64_t change_delay_max_ms;
	bool lossy; /**< the fabric loses datagrams, or did */
	bool verbose;
} lab_t;

/** Time within which a leaver gets no new work any more. */
#define LAB_LEAVE_MS 3000

/** How a fault is brought about and taken back. */
typedef struct fault {
	const char *name;
	/** An operator's own action, which must break nothing. */
	bool planned;
	/** Requests in progress may be lost to it. */
	bool cuts_requests;
	/** Views may wait until it is over, not only from its start. */
	bool views_wait_for_end;
	void (*inject)(lab_t *lab, episode_t *episode);
	void (*restore)(lab_t *lab, episode_t *episode);
} fault_t;

extern const fault_t faults[];
extern const char *const lab_services[LAB_SERVICES];
extern const char *const lab_addresses[LAB_SERVICES];

/** Starts everything; false when it did not come up. */
bool lab_start(lab_t *lab, uint32_t seed);
void lab_finish(lab_t *lab);
/** Updates states, polls the nodes and checks; sleeps a few milliseconds. */
void lab_tick(lab_t *lab);
/** Ticks for @p ms. */
void lab_run(lab_t *lab, uint64_t ms);
/** Adds a line to the trace. */
void lab_trace(lab_t *lab, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

bool node_start(lab_t *lab, node_t *node);
bool node_start_backend(lab_t *lab, node_t *node);
/** Sends SIGTERM and waits for the graceful end. */
void node_stop(lab_t *lab, node_t *node);
/** Ends the process at once. */
void node_kill(lab_t *lab, node_t *node);
/** Waits until the process is a member and has the configuration. */
bool node_wait_ready(lab_t *lab, node_t *node);
/** Status of the node, to be released; NULL when it did not answer. */
json_object *node_status(const node_t *node);
int64_t node_revision(const node_t *node);

/** GET or POST; the body, to be released, or NULL. */
char *http_request(const char *method, const char *url, const char *body);

/** Writes a changed document; false when it was not accepted. */
bool operator_apply(lab_t *lab);
/** Two operators change the same revision at once; one must be refused. */
void operator_race(lab_t *lab);

bool traffic_open_views(lab_t *lab);
/** Starts the steady mix for @p seconds. */
void traffic_start(lab_t *lab, uint32_t seconds);
/** Ends the mix and waits for the answers that are due. */
void traffic_settle(lab_t *lab);
/** Tells every backend server of a new state. */
void traffic_update(lab_t *lab);
/** The caller's report, to be released. */
json_object *traffic_report(lab_t *lab);

/** Checks that can be made at any time. */
void check_running(lab_t *lab);
/** Compares what callers were told with what ran. */
void check_records(lab_t *lab);
void check_breach(lab_t *lab, promise_t promise, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
uint64_t check_breaches(const lab_t *lab);

episode_t *fault_begin(lab_t *lab, const fault_t *fault);
void fault_end(lab_t *lab, episode_t *episode);
const fault_t *fault_find(const char *name);

void report_print(lab_t *lab);

int demo_run(void);
int soak_run(uint32_t seed, uint32_t seconds, const char *list, bool verbose);

#endif
