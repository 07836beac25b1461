/**
 * @file
 * Types and functions shared by the source files of the view library.
 */
#ifndef PIMENTOLIFT_VIEW_PRIVATE_H
#define PIMENTOLIFT_VIEW_PRIVATE_H

#include <glib.h>
#include <pimentolift/list.h>
#include <pimentolift/ref.h>
#include <pimentolift/view.h>
#include <pimentolift/view_codec.h>

/** Observe values have 24 bits (RFC 7641 section 3.4). */
#define PL_VIEW_SEQUENCE_MASK 0xffffffu
/** Resolution of the wall clock that Observe values and message IDs follow. */
#define PL_VIEW_TICKS_PER_S 64
/** Max-Age of a response without a Max-Age option (RFC 7252 section 5.10.5). */
#define PL_VIEW_MAX_AGE_DEFAULT_S 60
/**
 * Increase of the Observe value at a handover, in clock ticks: 256 s. It keeps
 * notifications that the previous owner sends before it receives the
 * acceptance older than those of the new owner.
 */
#define PL_VIEW_HANDOVER_ADVANCE (1u << 14)
/**
 * Increase of the Observe value when a view is recovered from a replica, in
 * clock ticks: 68 minutes. An unreachable owner may continue to send for that
 * long and its notifications are still older than those of the new owner.
 */
#define PL_VIEW_RECOVERY_ADVANCE (1u << 18)
/** Maximum number of views per endpoint; more registrations are refused. */
#define PL_VIEW_MAX 20000
/** Maximum number of records or claims in one frame. */
#define PL_VIEW_BATCH_MAX 200

typedef struct pl_view_caller pl_view_caller_t;
typedef struct pl_view_resource pl_view_resource_t;
typedef struct pl_view pl_view_t;
typedef struct pl_view_offer pl_view_offer_t;
typedef struct pl_view_owner pl_view_owner_t;

/** Representation of a resource, shared by all views that sent it. */
typedef struct {
	pl_ref_t ref;
	uint64_t etag; /**< hash of code, format and body; never 0 */
	pl_ms_t received;
	int64_t max_age_s; /**< -1 when absent */
	int32_t content_format; /**< -1 when absent */
	uint8_t code;
	size_t len;
	uint8_t body[];
} pl_view_content_t;

/** State of the subscription of a resource. */
typedef enum {
	PL_VIEW_RESOURCE_IDLE, /**< the backend server is not reachable */
	PL_VIEW_RESOURCE_SUBSCRIBING, /**< no response yet */
	PL_VIEW_RESOURCE_LIVE, /**< notifications arrive */
	PL_VIEW_RESOURCE_RETRYING, /**< failed; a timer subscribes again */
	PL_VIEW_RESOURCE_ENDED, /**< ended permanently; never subscribed again */
	PL_VIEW_RESOURCE_STATE_COUNT,
} pl_view_resource_state_t;

/** Names of the values of @ref pl_view_resource_state_t, in their order. */
extern const char *const pl_view_resource_state_names[];

/** A resource of the backend server (path and query) and its views. */
struct pl_view_resource {
	pl_view_table_t *table;
	char *path;
	char *query;
	pl_view_resource_state_t state;
	uint64_t subscription; /**< ID; 0: not subscribed */
	pl_list_t views;
	pl_view_content_t *content; /**< NULL until the first response */
	pl_timer_t retry;
	pl_ms_t backoff_ms;
};

/** A registration that has not been answered yet. */
typedef struct {
	pl_timer_t timer;
	pl_ms_t deadline;
	pl_ms_t replica_deadline; /**< end of the wait for the replica */
	uint16_t mid; /**< message ID of the caller's request */
	bool confirmable;
	bool acknowledged; /**< by an empty ACK; the response is separate */
} pl_view_pending_t;

/** A confirmable notification that is not acknowledged yet. */
typedef struct {
	pl_timer_t timer;
	pl_list_t link; /**< in the caller's @c deliveries */
	pl_view_t *view;
	uint16_t mid;
	uint8_t attempts;
	uint32_t timeout_ms;
} pl_view_delivery_t;

/** One open view. */
struct pl_view {
	pl_view_key_t key;
	pl_addr_t address; /**< service address the caller sent to */
	uint8_t szx; /**< block size exponent requested by the caller */
	uint32_t sequence; /**< last Observe value sent */
	int32_t accept; /**< -1 when absent */
	pl_view_table_t *table;
	pl_view_caller_t *caller;
	pl_view_resource_t *resource;
	pl_list_t caller_link;
	pl_list_t resource_link;
	pl_member_id_t entry; /**< entry of the last datagram from the caller */
	pl_ms_t last_heard; /**< time of the last datagram from the caller */
	/** ETag of the content the caller has; 0: unknown. */
	uint64_t confirmed_etag;
	pl_view_content_t *sent; /**< last content sent, or NULL */
	/** NULL when the registration is answered. */
	pl_view_pending_t *pending;
	/** NULL when no notification is unacknowledged. */
	pl_view_delivery_t *delivery;
	pl_view_offer_t *offer; /**< NULL when not offered */
	pl_list_t move_link; /**< in the offer or in the table's @c to_move */
	pl_member_id_t backup; /**< agent that keeps the replica, or 0 */
	uint64_t backup_boot;
	bool replica_confirmed; /**< acknowledged by the backup */
	uint32_t replicated_sequence; /**< Observe value of the replica */
	/**
	 * Agent that handed the view over; 0 once that agent confirmed that it
	 * received the acceptance of @c handover_offer.
	 */
	pl_member_id_t handover_sender;
	uint64_t handover_offer;
	/** Unreachable owner that may still serve the view, or 0. */
	pl_member_id_t previous_owner;
	uint32_t handover_sequence; /**< Observe value at the handover */
	pl_list_t replicate_link; /**< in the table's @c to_replicate */
};

/** A batch of views offered to another agent. */
struct pl_view_offer {
	pl_view_table_t *table;
	uint64_t id;
	pl_member_id_t receiver;
	unsigned int attempts;
	pl_list_t link; /**< in the table's @c offers */
	pl_list_t views;
	pl_timer_t timer;
};

/** Names the agent that took over a view that this agent owned. */
typedef struct {
	pl_view_key_t key;
	pl_view_caller_t *caller;
	pl_list_t caller_link;
	pl_list_t age_link; /**< in the table's @c redirects_by_age */
	pl_member_id_t owner;
	uint32_t sequence; /**< Observe value of the owner's claim */
	pl_ms_t expires;
} pl_view_redirect_t;

/** Record of a view that another agent serves, kept to recover the view. */
typedef struct {
	pl_view_key_t key;
	pl_view_record_t record; /**< its strings are interned */
	uint64_t boot; /**< run of the owner process that sent the record */
	pl_view_owner_t *owner;
	pl_view_caller_t *caller;
	pl_list_t owner_link;
	pl_list_t caller_link;
} pl_view_replica_t;

/** An agent that replicates views to this agent. */
struct pl_view_owner {
	pl_member_id_t agent;
	uint64_t boot; /**< boot in the routing table; 0: unknown */
	pl_list_t replicas;
};

/** A caller address and everything the table keeps for it. */
struct pl_view_caller {
	pl_addr_t addr;
	uint16_t mid; /**< last message ID used */
	pl_ms_t mid_at; /**< time when @c mid was used */
	pl_list_t views;
	pl_list_t deliveries;
	pl_list_t redirects; /**< newest last */
	pl_list_t replicas;
};

struct pl_view_table {
	pl_agent_params_t params;
	const pl_agent_ops_t *ops;
	void *ctx;
	pl_timer_service_t *timers;
	const pl_routing_t *routing; /**< borrowed */
	pl_service_id_t service_id;
	bool backend_present;
	bool draining; /**< accepts no more views */
	bool evacuating; /**< hands all views over */
	uint32_t load_ms; /**< sent with every datagram to a caller */
	uint64_t next_subscription;
	GHashTable *callers; /**< set of pl_view_caller_t by address */
	GHashTable *views; /**< set of pl_view_t by key */
	GHashTable *resources; /**< set of pl_view_resource_t */
	GHashTable *subscriptions; /**< pl_view_resource_t by subscription ID */
	uint64_t endpoints_hash; /**< hash of the service's endpoints */
	/* handover to other agents */
	pl_list_t to_move;
	pl_list_t offers;
	uint64_t next_offer;
	pl_timer_t move_timer;
	pl_timer_t backend_absent_timer;
	pl_ms_t move_backoff_ms;
	GArray *receiver_backoffs; /**< of receiver_backoff_t */
	/* ownership of views served by other agents */
	GHashTable *redirects; /**< set of pl_view_redirect_t by key */
	pl_list_t redirects_by_age;
	pl_timer_t redirect_timer;
	GHashTable *outgoing_claims; /**< GArray of pl_view_claim_t by agent */
	/* replication */
	pl_list_t to_replicate;
	pl_timer_t flush_timer;
	pl_timer_t unreachable_timer;
	pl_timer_t retransmit_timer;
	pl_timer_t liveness_timer;
	pl_timer_t balance_timer;
	GHashTable *replicas; /**< set of pl_view_replica_t by key */
	GHashTable *owners; /**< set of pl_view_owner_t by agent */
};

/* view_table.c */

/** Present time of the table. */
pl_ms_t pl_view_now(const pl_view_table_t *table);

/** The routing table's record of the service, or NULL. */
const pl_route_service_t *pl_view_service(const pl_view_table_t *table);

/**
 * Hash and equality of @ref pl_view_key_t, for hash tables whose elements begin
 * with a key.
 */
guint pl_view_key_hash(gconstpointer key);
gboolean pl_view_key_equal(gconstpointer a, gconstpointer b);

/**
 * Hash of a 64-bit ID, for hash tables whose keys or elements begin with the
 * ID.
 */
guint pl_view_id_hash(gconstpointer id);

/** Finds the view with @p key; NULL when this agent does not own it. */
pl_view_t *pl_view_lookup(pl_view_table_t *table, const pl_view_key_t *key);

/** Creates a view of a resource; no view may have this key already. */
pl_view_t *pl_view_new(pl_view_table_t *table, const pl_view_key_t *key,
		       const char *path, const char *query);

/**
 * Creates a view from the record of its previous owner. The Observe value
 * starts @p advance ticks after the newer of the record's value and the clock.
 */
pl_view_t *pl_view_restore(pl_view_table_t *table,
			   const pl_view_record_t *record, uint32_t advance);

/** Records that a datagram from the caller arrived through @p entry. */
void pl_view_mark_heard(pl_view_t *view, pl_member_id_t entry);

/** Fills @p record; its strings are borrowed from the resource. */
void pl_view_record_fill(const pl_view_t *view, pl_view_record_t *record);

/** Closes a view and announces that to the agents that know the view. */
void pl_view_close(pl_view_t *view);

/** Removes @p view from all lists and tables and frees it. */
void pl_view_delete(pl_view_t *view);

/** Finds the caller @p addr, or NULL. */
pl_view_caller_t *pl_view_caller_find(const pl_view_table_t *table,
				      const pl_addr_t *addr);

/** Finds or creates the caller @p addr. */
pl_view_caller_t *pl_view_caller_get(pl_view_table_t *table,
				     const pl_addr_t *addr);

/** Frees @p caller unless it has views, redirects or replicas. */
void pl_view_caller_put(pl_view_table_t *table, pl_view_caller_t *caller);

/** Advances the Observe value of @p view and returns it. */
uint32_t pl_view_sequence_next(pl_view_t *view);

/** Whether Observe value @p a is newer than @p b (RFC 7641 section 3.4). */
bool pl_view_sequence_newer(uint32_t a, uint32_t b);

/** Observe value that corresponds to the present wall-clock time. */
uint32_t pl_view_sequence_clock(const pl_view_table_t *table);

/** Observe value @p advance ticks after @p sequence, with wrap-around. */
static inline uint32_t pl_view_sequence_add(uint32_t sequence, uint32_t advance)
{
	return (sequence + advance) & PL_VIEW_SEQUENCE_MASK;
}

/** Next message ID for @p caller; the highest bit is set. */
uint16_t pl_view_mid_next(pl_view_table_t *table, pl_view_caller_t *caller);

/* view_resource.c */

/** Hash and equality of resources by path and query. */
guint pl_view_resource_hash(gconstpointer resource);
gboolean pl_view_resource_equal(gconstpointer a, gconstpointer b);

/** Finds a resource by path and query, or creates it and subscribes. */
pl_view_resource_t *pl_view_resource_get(pl_view_table_t *table,
					 const char *path, const char *query);

/** Unsubscribes and frees @p resource when it has no views. */
void pl_view_resource_put(pl_view_resource_t *resource);

/**
 * Moves @p view to a private resource that has ended with response code
 * @p code.
 */
void pl_view_resource_detach(pl_view_t *view, uint8_t code);

/** Whether the content is fresh enough to answer a registration. */
bool pl_view_resource_fresh(const pl_view_resource_t *resource);

/** Subscribes again, or becomes idle while the backend server is absent. */
void pl_view_resource_subscribe(pl_view_resource_t *resource);

/** Ends the subscription when the backend server is gone; keeps the content. */
void pl_view_resource_suspend(pl_view_resource_t *resource);

void pl_view_content_put(pl_view_content_t *content);

/* view_notify.c */

/** Starts a pending registration; replaces an older one. */
pl_view_pending_t *pl_view_pending_start(pl_view_t *view);

/**
 * Handles the registration request @p msg; the response is sent when the
 * resource's state is known.
 */
void pl_view_pending_request(pl_view_t *view, const pl_coap_msg_t *msg);

/** Sends an empty ACK for a registration whose response will be separate. */
void pl_view_pending_acknowledge(pl_view_t *view);

/**
 * Answers the pending registration or sends a notification if the resource's
 * state is fresh and was not sent yet. May free an ended view.
 */
void pl_view_update(pl_view_t *view);

/**
 * Sends the resource's state even when it was sent before, because the state
 * that the caller saw last is not known. May free an ended view.
 */
void pl_view_resend(pl_view_t *view);

/**
 * Schedules one extra transmission of every unacknowledged notification, in
 * addition to its retransmissions. Used when the routing changed, since
 * acknowledgements sent over the old route may be lost.
 */
void pl_view_retransmit_later(pl_view_table_t *table);
void pl_view_notify_init(pl_view_table_t *table);
void pl_view_notify_finish(pl_view_table_t *table);

/** Answers the pending registration with an error and closes the view. */
void pl_view_refuse(pl_view_t *view, uint8_t code);

/** Cancel and free the delivery or the pending registration, if any. */
void pl_view_delivery_end(pl_view_t *view);
void pl_view_pending_end(pl_view_t *view);

/* view_claim.c */

void pl_view_claim_init(pl_view_table_t *table);
void pl_view_claim_finish(pl_view_table_t *table);

/** Whether @p agent is another, reachable endpoint of the same service. */
bool pl_view_reachable(const pl_view_table_t *table, pl_member_id_t agent);

/** Finds the redirect of the view with @p key, or NULL. */
pl_view_redirect_t *pl_view_redirect_find(const pl_view_table_t *table,
					  const pl_view_key_t *key);
void pl_view_redirect_remove(pl_view_table_t *table,
			     pl_view_redirect_t *redirect);

/** Reachable agent that owns views of @p caller, or 0. */
pl_member_id_t pl_view_caller_owner(const pl_view_table_t *table,
				    const pl_view_caller_t *caller);

/**
 * Whether the first of two claims to the same view is valid: the one with the
 * newer Observe value, or with the lower agent ID if the values are equal.
 */
bool pl_view_claim_wins(uint32_t sequence, pl_member_id_t owner,
			uint32_t other_sequence, pl_member_id_t other_owner);

/**
 * Resolves a received ownership claim. If @p claim is newer than the state of
 * this table, a local view is given up to the claim's owner; if it is older,
 * the valid claim is sent to @p sender. A claim that names this agent means
 * that another owner gave up the view. Unless @p handed_over is set, which
 * means that this agent offered the view, an owner that gives up the view
 * announces that to the other owner. Returns whether the claim is valid.
 */
bool pl_view_claim_resolve(pl_view_table_t *table, pl_member_id_t sender,
			   const pl_view_claim_t *claim, bool handed_over);

/** Queues a claim that is sent to @p peer with the next flush. */
void pl_view_claim_queue(pl_view_table_t *table, pl_member_id_t peer,
			 const pl_view_key_t *key, pl_member_id_t owner,
			 uint32_t sequence);

/** Queues a message that lets the backup of @p view drop its replica. */
void pl_view_replica_release(const pl_view_t *view);

/** Queues the claims of an undelivered frame again. */
void pl_view_claim_send_failed(pl_view_table_t *table, pl_member_id_t peer,
			       const pl_view_message_t *message);

/** Sends all queued claims. */
void pl_view_claim_flush(pl_view_table_t *table);

/* view_handover.c */

void pl_view_handover_init(pl_view_table_t *table);
void pl_view_handover_finish(pl_view_table_t *table);

/** Queues @p view for handover; pl_view_handover_send_offers() offers it. */
void pl_view_handover_later(pl_view_t *view);

/** Removes @p view from the handover queue or from its offer. */
void pl_view_handover_cancel(pl_view_t *view);

/**
 * Starts the handover of all views when the backend server stays absent;
 * cancels the handover when the backend server is present.
 */
void pl_view_handover_backend_changed(pl_view_table_t *table, bool present);

/** Offers the queued views to other agents. */
void pl_view_handover_send_offers(pl_view_table_t *table);

/** Withdraws all offers to @p agent, which failed. */
void pl_view_offers_withdraw(pl_view_table_t *table, pl_member_id_t agent);

void pl_view_receive_offer(pl_view_table_t *table, pl_member_id_t peer,
			   const pl_view_message_t *message);
void pl_view_receive_accept(pl_view_table_t *table, pl_member_id_t peer,
			    const pl_view_message_t *message);

/** Handles the confirmation that @p peer received the acceptance of @p offer. */
void pl_view_receive_confirm(pl_view_table_t *table, pl_member_id_t peer,
			     uint64_t offer);
void pl_view_offer_send_failed(pl_view_table_t *table, pl_member_id_t peer,
			       const pl_view_message_t *message);

/* view_replica.c */

void pl_view_replica_init(pl_view_table_t *table);
void pl_view_replica_finish(pl_view_table_t *table);

/** Sends the record of @p view to its backup with the next flush. */
void pl_view_replicate_later(pl_view_t *view);

/**
 * Sends the record of @p view to its backup within a few milliseconds, because
 * the response to the caller waits for the replica.
 */
void pl_view_replicate_soon(pl_view_t *view);

/** Whether @p view has a backup that has not acknowledged the replica yet. */
bool pl_view_replica_missing(const pl_view_t *view);

/**
 * Handles the acknowledgement of replicas by the backup @p peer; answers the
 * registrations that wait for it.
 */
void pl_view_receive_copied(pl_view_table_t *table, pl_member_id_t peer,
			    const pl_view_message_t *message);

/** Arms the timer that sends queued records and claims. */
void pl_view_flush_later(pl_view_table_t *table);

/** Sends queued records and claims now. */
void pl_view_flush(pl_view_table_t *table);

/** Chooses the backups again after the service's endpoints changed. */
void pl_view_replica_reassign(pl_view_table_t *table);

/** Finds the replica of the view with @p key, or NULL. */
pl_view_replica_t *pl_view_replica_find(const pl_view_table_t *table,
					const pl_view_key_t *key);
void pl_view_replica_remove(pl_view_table_t *table, pl_view_replica_t *replica);

/**
 * Removes a replica because @p claim, sent by @p peer, is newer; sends the claim
 * to the owner of the replica.
 */
void pl_view_replica_supersede(pl_view_table_t *table,
			       pl_view_replica_t *replica, pl_member_id_t peer,
			       const pl_view_claim_t *claim);

void pl_view_receive_copy(pl_view_table_t *table, pl_member_id_t peer,
			  const pl_view_message_t *message);
void pl_view_replica_send_failed(pl_view_table_t *table, pl_member_id_t peer,
				 const pl_view_message_t *message);

/* view_recovery.c */

void pl_view_recovery_init(pl_view_table_t *table);
void pl_view_recovery_finish(pl_view_table_t *table);

/**
 * Recovers the views of owners that restarted, after the service's endpoints
 * changed, and watches the owners that are unreachable.
 */
void pl_view_recovery_check(pl_view_table_t *table);

/* view_balance.c */

void pl_view_balance_init(pl_view_table_t *table);
void pl_view_balance_finish(pl_view_table_t *table);

/**
 * Starts moving views to their callers' homes once the endpoints have not
 * changed for a while.
 */
void pl_view_balance_later(pl_view_table_t *table);

/* view_frame.c */

/** Sets the boot and service of @p message and sends it to @p peer. */
void pl_view_send(pl_view_table_t *table, pl_member_id_t peer,
		  pl_peer_type_t type, pl_view_message_t *message);

#endif
