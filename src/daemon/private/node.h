/**
 * @file
 * The control state of a process: membership, configuration, routing table,
 * frames and the admin port, all on the control thread. A role adds the
 * traffic threads through a table of function pointers.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_H
#define PIMENTOLIFT_DAEMON_NODE_H

#include <glib.h>
#include <json-c/json.h>
#include <pimentolift/document.h>
#include <pimentolift/loop.h>
#include <pimentolift/member.h>
#include <pimentolift/peer.h>
#include <pimentolift/ref.h>
#include <pimentolift/routing.h>
#include <pimentolift/settings.h>

typedef struct pl_node pl_node_t;

/** Entries that answers can go through; immutable and reference counted. */
typedef struct {
	pl_ref_t ref;
	size_t count;
	pl_member_id_t at[]; /**< ascending */
} pl_entry_list_t;

/** What a role does; called on the control thread. */
typedef struct {
	const char *name;
	/** Starts the traffic threads; writes what it listens on to @p ready. */
	void *(*start)(pl_node_t *node, const pl_settings_t *settings,
		       int inner_fd, GString *ready, pl_error_t *err);
	/** A new routing table, also published under RCU. */
	void (*routing)(void *role, pl_routing_t *routing,
			pl_entry_list_t *entries);
	/**
	 * Answer to pl_node_ask_roster(): agents that may own flows of
	 * @p service; @p known is false when nobody could tell. May be NULL.
	 */
	void (*roster)(void *role, pl_service_id_t service, bool known,
		       const pl_member_id_t *agents, size_t count);
	/** A frame that is neither the membership's nor the configuration's. */
	void (*frame)(void *role, const pl_peer_frame_t *frame);
	void (*frame_failed)(void *role, const pl_peer_frame_t *frame);
	/** The membership gave up an agent in its life @p boot. */
	void (*agent_boot_ended)(void *role, pl_member_id_t agent,
				 uint64_t boot);
	/**
	 * The agent @p agent is dead, or nobody reaches it though
	 * pl_node_expect() named it. May be NULL.
	 */
	void (*agent_dead)(void *role, pl_member_id_t agent);
	/** The process was paused and has the new identity @p boot. */
	void (*paused)(void *role, uint64_t boot);
	/** Takes no new work. */
	void (*drain)(void *role);
	/** Whether the role may end after a drain. */
	bool (*drained)(void *role);
	/** Adds the role's figures to the status. */
	void (*status)(void *role, struct json_object *status);
	/** Ends the threads and frees the role. */
	void (*stop)(void *role);
} pl_role_ops_t;

extern const pl_role_ops_t pl_entry_role;
extern const pl_role_ops_t pl_agent_role;
extern const pl_role_ops_t pl_flow_entry_role;
extern const pl_role_ops_t pl_flow_agent_role;

/** New node; binds the inner and the admin port. */
pl_node_t *pl_node_new(const pl_settings_t *settings, pl_error_t *err);

/** Starts the role, joins, and runs until a graceful shutdown has ended. */
pl_result_t pl_node_run(pl_node_t *node, pl_error_t *err);
void pl_node_delete(pl_node_t *node);

/** Starts a drain without ending the process. */
void pl_node_drain(pl_node_t *node);

/** Starts a graceful shutdown; callable on the control thread. */
void pl_node_stop(pl_node_t *node);

const pl_settings_t *pl_node_settings(const pl_node_t *node);
pl_member_id_t pl_node_self(const pl_node_t *node);
uint64_t pl_node_boot(const pl_node_t *node);
pl_loop_t *pl_node_loop(pl_node_t *node);
pl_member_table_t *pl_node_members(pl_node_t *node);

/**
 * Present routing table, or NULL before the first configuration. The caller
 * is inside an RCU read-side section, or on the control thread.
 */
pl_routing_t *pl_node_routing(const pl_node_t *node);

/** Whether a graceful shutdown or a drain was asked for. */
bool pl_node_draining(const pl_node_t *node);

/** Hands a membership datagram to the control thread; from any thread. */
void pl_node_gossip(pl_node_t *node, const uint8_t *bytes, size_t len);

/** Sends a frame; from any thread. */
void pl_node_send_frame(pl_node_t *node, const pl_peer_frame_t *frame);

/** Says what the agent's backend server is; from any thread. */
void pl_node_set_backend(pl_node_t *node, pl_service_id_t service,
			 uint32_t slots);

/** Says whether the agent's backend server takes new flows; from any
 * thread. */
void pl_node_set_endpoint(pl_node_t *node, pl_service_id_t service,
			  uint32_t slots, bool serving);

/** Says that the agent's backend server has ended for good; from any
 * thread. */
void pl_node_backend_leaving(pl_node_t *node);

/** Whether the roster still names this agent, whose backend server has ended;
 * on the control thread. */
bool pl_node_is_deregistering(const pl_node_t *node);

/** Asks who may own flows of @p service; from any thread. Ends by
 * pl_role_ops_t.roster. */
void pl_node_request_roster(pl_node_t *node, pl_service_id_t service);

/** The agent @p agent should be there and is silent; from any thread. When it
 * is gone, pl_role_ops_t.agent_gone follows. */
void pl_node_check_agent(pl_node_t *node, pl_member_id_t agent);

/** Document in force, or NULL; on the control thread. */
const pl_document_t *pl_node_document(const pl_node_t *node);

/** Revision in force, 0 before the first. */
uint64_t pl_node_revision(const pl_node_t *node);

static inline void pl_entry_list_get(pl_entry_list_t *list)
{
	pl_ref_get(&list->ref);
}

static inline void pl_entry_list_put(pl_entry_list_t *list)
{
	pl_ref_put(&list->ref);
}

#endif
