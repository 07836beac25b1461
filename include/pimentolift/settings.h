/**
 * @file
 * @defgroup settings Settings of the daemon
 *
 * Start-up settings of one process: its role, addresses, data centre and the
 * secret of the fleet. They do not change while the process runs. Services are
 * configured in the configuration document instead (@ref document).
 * @{
 */
#ifndef PIMENTOLIFT_SETTINGS_H
#define PIMENTOLIFT_SETTINGS_H

#include <pimentolift/addr.h>
#include <pimentolift/problem.h>
#include <pimentolift/result.h>
#include <pimentolift/routing.h>
#include <stdbool.h>
#include <stdint.h>

/** Role of a process. */
typedef enum {
	PL_ROLE_ENTRY, /**< receives callers' datagrams and forwards them */
	PL_ROLE_AGENT, /**< runs beside one backend server */
	PL_ROLE_COUNT,
} pl_role_t;

/** Names of @ref pl_role_t, indexed by its values. */
extern const char *const pl_role_names[];

/** Type of the callers' traffic. */
typedef enum {
	PL_TRAFFIC_COAP, /**< CoAP requests, each routed independently */
	PL_TRAFFIC_FLOWS, /**< packets of flows; see @ref flow */
	PL_TRAFFIC_COUNT,
} pl_traffic_t;

/** Names of @ref pl_traffic_t, indexed by its values. */
extern const char *const pl_traffic_names[];

/** Log output format. */
typedef enum {
	PL_LOG_FORMAT_TEXT, /**< lines on standard error */
	PL_LOG_FORMAT_JOURNAL, /**< structured fields for journald */
	PL_LOG_FORMAT_COUNT,
} pl_log_format_t;

/** Names of @ref pl_log_format_t, indexed by its values. */
extern const char *const pl_log_format_names[];

typedef struct {
	pl_addr_t *at;
	size_t count;
} pl_addr_list_t;

/** Section `[platform]`. */
typedef struct {
	char *url; /**< base URL of the key-value service */
	uint32_t timeout_ms; /**< per call, excluding the wait of a watch */
} pl_settings_platform_t;

/** Section `[entry]`. */
typedef struct {
	pl_addr_list_t listen; /**< listen addresses for callers' datagrams */
	/** Whether answers go to @c fabric, not directly to the caller. */
	bool has_fabric;
	/** Address of the load-balancing network in front of the entries. */
	pl_addr_t fabric;
} pl_settings_entry_t;

/** Section `[agent]`. */
typedef struct {
	pl_addr_t backend_listen; /**< where the backend server registers */
	uint32_t memory_max_mb; /**< limit on buffered message bodies */
} pl_settings_agent_t;

/** Section `[flows]`, used with @ref PL_TRAFFIC_FLOWS. */
typedef struct {
	/** Listen address for callers' packets; callers listen on the same port. */
	pl_addr_t listen;
	pl_addr_t ready; /**< HTTP readiness check for the routers */
	double link_mbps; /**< bandwidth of the host's network link */
	uint32_t config_ms; /**< time limit for a document to come into force */
	double flow_max_s; /**< idle time after which a flow's state expires */
	/* the following are for agents only */
	pl_addr_t backend; /**< address that receives packets */
	/** Listen address for packets that the backend server sends. */
	pl_addr_t outbound;
	/** HTTP listen address for the backend server's reports. */
	pl_addr_t reports;
	char service[PL_NAME_MAX]; /**< service of the backend server */
	/** Interval between reports of the backend server. */
	uint32_t report_ms;
	/**
	 * The backend server also accepts TCP connections at @c backend while
	 * it is in service.
	 */
	bool backend_listens;
} pl_settings_flows_t;

/** Settings after defaults have been applied. */
typedef struct {
	char *path; /**< path of the settings file, or NULL */
	pl_role_t role;
	pl_traffic_t traffic;
	char name[PL_NAME_MAX];
	char environment[PL_NAME_MAX];
	char datacentre[PL_NAME_MAX];
	pl_addr_t inner; /**< for traffic between members; IPv4, UDP and TCP */
	char *secret; /**< at least PL_SECRET_MIN_BYTES */
	pl_addr_t admin; /**< HTTP address for operators */
	pl_addr_list_t seeds; /**< members contacted to join; may be empty */
	uint32_t seed_port; /**< replaces the ports of @c seeds; 0: no change */
	uint32_t traffic_threads;
	pl_log_format_t log;
	bool allow_faults; /**< allow fault injection, for tests */
	uint32_t stop_timeout_ms; /**< time limit of a graceful shutdown */
	pl_settings_platform_t platform;
	pl_settings_entry_t entry;
	pl_settings_agent_t agent;
	pl_settings_flows_t flows;
} pl_settings_t;

/**
 * Reads the settings file @p path.
 *
 * @param settings  receives the settings, or NULL on failure
 * @param problems  receives every error found in the file
 * @return PL_OK, or PL_ERR_CONFIG with at least one problem
 */
pl_result_t pl_settings_load(const char *path, pl_settings_t **settings,
			     pl_problems_t *problems);

/** Like pl_settings_load(), for a text in memory. */
pl_result_t pl_settings_parse(const char *text, size_t len,
			      pl_settings_t **settings,
			      pl_problems_t *problems);

/** Erases the secret and frees @p settings, which may be NULL. */
void pl_settings_free(pl_settings_t *settings);

/**
 * The settings as TOML, without the secret; the caller frees the text
 * with free().
 */
char *pl_settings_print(const pl_settings_t *settings);

#endif
/** @} */
