/**
 * @file
 * State of the control thread, shared by node.c, node_members.c (membership),
 * node_routing.c (routing tables) and node_stop.c (graceful shutdown).
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_STATE_H
#define PIMENTOLIFT_DAEMON_NODE_STATE_H

#include "private/admin.h"
#include "private/flow_ready.h"
#include "private/node.h"
#include "private/node_config.h"
#include "private/node_roster_reader.h"
#include "private/node_seeds.h"

#include <pimentolift/peer_net.h>
#include <pimentolift/registration.h>

/** Agents of its own service that an agent probes at the faster rate. */
#define WATCHED_AGENTS 2

/** Phases of a graceful shutdown. */
typedef enum {
	NODE_RUNNING,
	NODE_DRAINING, /**< waits until the role is drained */
	NODE_LEAVING, /**< waits after the leave message; late
			datagrams are still handled */
} node_phase_t;

/** A data centre that is evacuated. */
typedef struct {
	pl_datacentre_id_t datacentre;
	pl_ms_t since; /**< when this process learned of it */
} pl_node_evacuation_t;

struct pl_node {
	const pl_settings_t *settings;
	const pl_role_ops_t *role_ops;
	void *role;
	pl_loop_t *loop;
	pl_member_id_t self;
	uint64_t boot;
	int inner_fd;
	pl_peer_net_t *peers;
	pl_member_table_t *members;
	GHashTable *boots; /* agent to the last boot that was seen */
	pl_member_id_t watched[WATCHED_AGENTS];
	size_t watched_count;
	pl_node_config_t *config;
	pl_node_seeds_t *seeds;
	pl_registration_t *registration; /* on agents of flows */
	uint32_t register_sequence; /* of the last request to a delegate */
	pl_node_roster_reader_t *roster_reader; /* on entries of flows */
	bool serving; /* last reported by the backend server */
	bool registered; /* in the roster, or registration timed out */
	pl_admin_t *admin;
	pl_flow_ready_t *ready; /* with traffic of flows */
	pl_routing_t *routing; /* published under RCU */
	pl_timer_t rebuild;
	pl_ms_t rebuild_earliest;
	pl_timer_t stop_poll;
	node_phase_t phase;
	bool stopping;
	pl_ms_t stop_started;
	pl_ms_t leave_started;
	pl_member_attr_t attr;
	pl_node_evacuation_t evacuations[PL_EVACUATIONS_MAX];
	size_t evacuation_count;
	int signal_fd;
	pl_loop_watch_t *signal_watch;
	pl_addr_t admin_addr;
};

static inline pl_timer_service_t *pl_node_timers_(const pl_node_t *node)
{
	return pl_loop_timers(node->loop);
}

static inline pl_ms_t pl_node_now_(const pl_node_t *node)
{
	return pl_timer_service_now(pl_node_timers_(node));
}

/* node_members.c */
/** Creates the member table, with the seeds of the settings. */
void pl_node_members_init_(pl_node_t *node);
void pl_node_add_seeds_(pl_node_t *node, const pl_settings_t *settings);

/* node_routing.c */
void pl_node_routing_init_(pl_node_t *node);
/** Builds a new routing table soon, because the members or the configuration
 * changed. */
void pl_node_schedule_rebuild_(pl_node_t *node);
/** Called when a configuration document has come into force. */
void pl_node_document_in_force_(void *node);
/** Whether the published routing table was built from a document. */
bool pl_node_is_configured_(const pl_node_t *node);

/* node_evacuate.c */
/** Puts other evacuations in force. */
void pl_node_evacuate_changed_(pl_node_t *node,
			       const pl_evacuations_t *evacuations);

/* node_stop.c */
void pl_node_stop_init_(pl_node_t *node);

#endif
