/**
 * @file
 * Randomized fault-injection test of the roles for flows. Entries and agents
 * run as processes on loopback; callers, routers and backend servers are
 * simulated in this process.
 */
#ifndef PL_TEST_FLOW_SOAK_H
#define PL_TEST_FLOW_SOAK_H

#include <common/process.h>
#include <store.h>
#include <world.h>

#include <curl/curl.h>

#define SOAK_NODES_MAX 64
#define SOAK_CALLERS 16
/** Time after an acknowledged drain from which no new flow may arrive. */
#define SOAK_DRAIN_LIMIT_MS 1000
/** Time after an acknowledged evacuation, with the store in order, from which
 * no new flow may arrive. */
#define SOAK_EVACUATE_LIMIT_MS 5000
/** Time after an acknowledged configuration, with the store in order, from which
 * it has to be followed: the default of the processes' settings. */
#define SOAK_CONFIG_LIMIT_MS 3000
#define SOAK_DATACENTRES 3

/** A process under test. */
typedef struct {
	char *settings_path;
	char *log_path;
	bool entry;
	int index;
	pl_process_t *process; /* NULL while it is down */
	pl_ms_t restart_at; /* 0: no restart is due */
	pl_ms_t resume_at; /* 0: not stopped by SIGSTOP */
	pl_ms_t frozen_at; /* when it was last stopped by SIGSTOP */
	bool answered; /* a request, since all processes were killed */
	bool exit_expected; /* SIGTERM or SIGKILL was sent */
	int failed_probes; /* ready probes that failed in a row */
	CURL *request; /* ready probe or heartbeat in progress, or NULL */
	char *request_body;
	bool request_drains; /* the heartbeat in progress says draining */
	bool request_foreign; /* it is to be rejected */
} soak_node_t;

typedef struct {
	world_t *world;
	pl_store_t *store;
	char *dir; /* settings and logs of the processes */
	/*
	 * Base port of every address. Offsets: 0 flows and callers, 1 ready,
	 * 2 outbound, 3 inner, 4 admin, 5 reports, 6 backend server.
	 */
	uint16_t port;
	int entries;
	int agents;
	soak_node_t nodes[2 * SOAK_NODES_MAX]; /* entries, then agents */
	int caller_fds[SOAK_CALLERS];
	int server_fds[SOAK_NODES_MAX];
	int listener_fds[SOAK_NODES_MAX]; /* TCP; -1: draining or down */
	pl_ms_t server_restart_at[SOAK_NODES_MAX]; /* 0: not crashed */
	pl_ms_t drain_acked_at[SOAK_NODES_MAX]; /* 0: no drain acknowledged */
	GHashTable *started_requests; /* caller address, port and sequence */
	GRand *random;
	CURLM *multi;
	pl_ms_t store_up_at; /* 0: the store has no fault */
	bool store_goes_back; /* it comes back from its last copy */
	unsigned int version; /* of the configuration */
	const char *target; /* service that the route sends new flows to */
	bool weighted; /* the route names both services instead */
	unsigned int weights[WORLD_SERVICES]; /* desk, other */
	/* Acknowledged end of new flows, or the last fault after which a process
	 * may not know of it; 0: the service takes new flows. */
	pl_ms_t closed_since[WORLD_SERVICES];
	int evacuated; /* data centre that operators evacuate, or -1 */
	pl_ms_t evacuated_since; /* acknowledged, or the store's last fault */
	uint64_t opened[SOAK_NODES_MAX]; /* flows, at the last check */
	bool left_out; /* the configuration does not name the other service */
	bool all_killed; /* all processes were killed at the same time */
	unsigned int breaches;
	unsigned int faults;
	const char *last_fault;
	char **allowed_faults; /* NULL: all */
	bool reuses_ports; /* callers use ports again whose flows have ended */
} soak_t;

/** Counts and prints the breach of a guarantee. */
void soak_report_breach(soak_t *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Opens the TCP listener of a server and returns its descriptor. */
int soak_open_listener(const soak_t *soak, int index);

/** Replaces draining servers; without it a service may be left with none that
 * takes requests. */
void soak_end_drains(soak_t *soak);

/** Restarts crashed servers when due; closes listeners of drained servers. */
void soak_step_servers(soak_t *soak);

/** Writes the settings files and starts the store and all processes. */
bool soak_start(soak_t *soak);
void soak_stop(soak_t *soak);

bool soak_node_start(soak_t *soak, soak_node_t *node);

/** Writes the operators' configuration to the store. */
bool soak_store_config(soak_t *soak);
/** Sends new flows to another service, and may leave the former one out. */
void soak_change_config(soak_t *soak);
/** Gives the route both services, with weights of which one may be 0. */
void soak_change_weights(soak_t *soak);
/** Defers the check of shares while processes cannot learn of a change. */
void soak_step_shares(soak_t *soak);
/** Reports a flow whose service had no share when its caller opened it. */
void soak_check_share(soak_t *soak, const server_t *server,
		      const pl_flow_key_t *key);
/** Evacuates a data centre, or withdraws the request. */
void soak_change_evacuation(soak_t *soak);
/** Withdraws the request to evacuate, if there is one. */
void soak_withdraw_evacuation(soak_t *soak);
/** Writes the operators' request again, or removes it, after a restore. */
bool soak_store_evacuation(soak_t *soak);
/** Reports each server that got a flow although its data centre is evacuated. */
void soak_check_evacuation(soak_t *soak);
/** Writes a key among those of the roster that no agent would write. */
void soak_store_foreign_entry(soak_t *soak);
/** Body of a heartbeat; free with g_free(). */
char *soak_format_report(const soak_t *soak, int index,
			 const pl_backend_report_t *report);
/** Sends an agent a heartbeat that is malformed or describes another server. */
void soak_send_foreign_report(soak_t *soak);
/** Reports each flow that was reset although its server holds it. */
void soak_check_resets(soak_t *soak);
/** Ends the fault of the store when due. */
void soak_step_store(soak_t *soak);
/** Reports each agent whose server serves and that the roster lacks. */
void soak_check_roster(soak_t *soak);

/** Restarts and resumes processes when due, and finds those that ended. */
void soak_step_nodes(soak_t *soak);

/** Drives heartbeats and ready probes in progress. */
void soak_step_http(soak_t *soak);
/** Sends a heartbeat of a backend server to its agent. */
void soak_send_heartbeat(void *ctx, server_t *server,
			 const pl_backend_report_t *report);
/** Sends the heartbeat in @c request_body of an agent's node under @p id. */
void soak_send_report(soak_t *soak, soak_node_t *node, const char *id);
/** Sends a ready probe to each entry that has none in progress. */
void soak_probe_entries(soak_t *soak);

/** Injects one fault, chosen at random. */
void soak_inject_fault(soak_t *soak);

#endif
