/**
 * @file
 * Control plane of a process: membership, configuration, routing table, frames
 * and the admin port, all on the control thread. A role (entry or agent)
 * implements the data plane on its traffic threads, behind pl_role_ops_t.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_H
#define PIMENTOLIFT_DAEMON_NODE_H

#include <glib.h>
#include <json-c/json.h>
#include <pimentolift/document.h>
#include <pimentolift/flow_explain.h>
#include <pimentolift/loop.h>
#include <pimentolift/member.h>
#include <pimentolift/peer.h>
#include <pimentolift/ref.h>
#include <pimentolift/routing.h>
#include <pimentolift/settings.h>

typedef struct pl_node pl_node_t;

/** Live entries, through which agents can send responses; immutable and
 * reference counted. */
typedef struct {
	pl_ref_t ref;
	size_t count;
	pl_member_id_t at[]; /**< in ascending order */
} pl_entry_list_t;

/** Operations of a role; called on the control thread. */
typedef struct {
	const char *name;
	/** Starts the traffic threads; appends the listening addresses to
	 * @p ready. */
	void *(*start)(pl_node_t *node, const pl_settings_t *settings,
		       int inner_fd, GString *ready, pl_error_t *err);
	/** The routing table changed; it is also published under RCU. */
	void (*routing)(void *role, pl_routing_t *routing,
			pl_entry_list_t *entries);
	/**
	 * Result of pl_node_request_roster(): the agents that may own flows;
	 * @p known is false if the roster could not be read. May be NULL.
	 */
	void (*roster)(void *role, bool known, const pl_member_id_t *agents,
		       size_t count);
	/** A frame of a type that the control thread does not handle itself. */
	void (*frame)(void *role, const pl_peer_frame_t *frame);
	void (*frame_failed)(void *role, const pl_peer_frame_t *frame);
	/** The process @p boot of an agent has ended: the agent is dead, has
	 * left or has restarted. */
	void (*agent_boot_ended)(void *role, pl_member_id_t agent,
				 uint64_t boot);
	/**
	 * The agent @p agent is dead, or pl_node_check_agent() found that no
	 * member reaches it. May be NULL.
	 */
	void (*agent_dead)(void *role, pl_member_id_t agent);
	/** The data centre of this process is evacuated, or no longer. May be
	 * NULL. */
	void (*evacuated)(void *role, bool evacuated);
	/** The configuration in force gives the role's service @p policy. May be
	 * NULL. */
	void (*policy)(void *role, const pl_service_policy_t *policy);
	/** The process was suspended for so long that it continues under the
	 * new identity @p boot. */
	void (*paused)(void *role, uint64_t boot);
	/** Stops accepting new work. */
	void (*drain)(void *role);
	/** Whether the drain is complete, so that the process may exit. */
	bool (*drained)(void *role);
	/** Explains where the flow @p key would go now; waits for the traffic
	 * thread, PL_ERR_TIMEOUT if that takes too long. May be NULL. */
	pl_result_t (*explain)(void *role, const pl_flow_key_t *key,
			       pl_flow_explanation_t *explanation);
	/** Adds the role's statistics to @p status. */
	void (*status)(void *role, struct json_object *status);
	/** Stops the threads and frees the role. */
	void (*stop)(void *role);
} pl_role_ops_t;

extern const pl_role_ops_t pl_entry_role;
extern const pl_role_ops_t pl_agent_role;
extern const pl_role_ops_t pl_flow_entry_role;
extern const pl_role_ops_t pl_flow_agent_role;

/** Binds the inner port and the admin port; no traffic thread runs yet. */
pl_node_t *pl_node_new(const pl_settings_t *settings, pl_error_t *err);

/** Starts the role, joins the membership, and runs until a graceful shutdown is
 * complete. */
pl_result_t pl_node_run(pl_node_t *node, pl_error_t *err);
void pl_node_delete(pl_node_t *node);

/** Starts a drain; the process keeps running. */
void pl_node_drain(pl_node_t *node);

/** Starts a graceful shutdown; on the control thread. */
void pl_node_stop(pl_node_t *node);

const pl_settings_t *pl_node_settings(const pl_node_t *node);
pl_member_id_t pl_node_self(const pl_node_t *node);
uint64_t pl_node_boot(const pl_node_t *node);
pl_loop_t *pl_node_loop(pl_node_t *node);
pl_member_table_t *pl_node_members(pl_node_t *node);

/**
 * Current routing table, or NULL before the first one is built. The caller must
 * be inside an RCU read-side critical section or on the control thread.
 */
pl_routing_t *pl_node_routing(const pl_node_t *node);

/** Whether a graceful shutdown or a drain has started. */
bool pl_node_is_draining(const pl_node_t *node);

/** Passes a gossip datagram to the control thread; from any thread. */
void pl_node_gossip(pl_node_t *node, const uint8_t *bytes, size_t len);

/** See pl_role_ops_t.explain; PL_ERR_STATE if this process is no entry of
 * flows. On the control thread. */
pl_result_t pl_node_explain(pl_node_t *node, const pl_flow_key_t *key,
			    pl_flow_explanation_t *explanation);

/** Adds the evacuated data centres to @p status. */
void pl_node_evacuation_status(pl_node_t *node, struct json_object *status);

/** Number of evacuated data centres. */
size_t pl_node_evacuation_count(const pl_node_t *node);

/** Sends a frame; from any thread. */
void pl_node_send_frame(pl_node_t *node, const pl_peer_frame_t *frame);

/** Sets the service and slots of the agent's backend server, @p service 0: none
 * is registered; from any thread. */
void pl_node_set_backend(pl_node_t *node, pl_service_id_t service,
			 uint32_t slots);

/** Sets whether the agent's backend server accepts new flows; from any
 * thread. */
void pl_node_set_endpoint(pl_node_t *node, pl_service_id_t service,
			  uint32_t slots, bool serving);

/** The agent's backend server shuts down and will not return; from any
 * thread. */
void pl_node_backend_leaving(pl_node_t *node);

/** Whether this agent's entry is still to be removed from the roster after
 * pl_node_backend_leaving(); on the control thread. */
bool pl_node_is_deregistering(const pl_node_t *node);

/** Requests the agents that may own flows; from any thread. The result arrives
 * by pl_role_ops_t.roster. */
void pl_node_request_roster(pl_node_t *node);

/** Time in which all agents register again after a restore of the store; on the
 * control thread. */
pl_ms_t pl_node_registration_ms(const pl_node_t *node);

/** Has the membership probe the agent @p agent, which should answer and does
 * not; from any thread. If it is dead or unreachable, pl_role_ops_t.agent_dead
 * follows. */
void pl_node_check_agent(pl_node_t *node, pl_member_id_t agent);

/** Configuration document in force, or NULL; on the control thread. */
const pl_document_t *pl_node_document(const pl_node_t *node);

/** Revision of the document in force; 0 if there is none. */
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
