/**
 * @file
 * Records and functions shared by the files of the view package.
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
/** Steps of the clock that sequences and message IDs follow. */
#define PL_VIEW_TICKS_PER_S 64
/** Max-Age of an answer that names none (RFC 7252 section 5.10.5). */
#define PL_VIEW_MAX_AGE_DEFAULT_S 60
/**
 * Advance of the Observe value when a view is handed over, in ticks: 256 s.
 * What the former owner sends until it hears of the acceptance stays older.
 */
#define PL_VIEW_MOVE_STEP (1u << 14)
/**
 * Advance when a view is taken over without its owner's word: 68 minutes. An
 * owner that is cut off may go on for that long and stays older.
 */
#define PL_VIEW_RECOVERY_STEP (1u << 18)
/** Most views at one endpoint; further registrations are refused. */
#define PL_VIEW_MAX 20000
/** Most records or places in one frame. */
#define PL_VIEW_BATCH 200

typedef struct pl_view_caller pl_view_caller_t;
typedef struct pl_view_resource pl_view_resource_t;
typedef struct pl_view pl_view_t;
typedef struct pl_view_offer pl_view_offer_t;
typedef struct pl_view_owner pl_view_owner_t;

/** State of a resource, shared by the views that were sent it. */
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

/** How far the subscription of a resource is. */
typedef enum {
	PL_VIEW_RESOURCE_IDLE, /**< no backend server to subscribe at */
	PL_VIEW_RESOURCE_SUBSCRIBING, /**< no answer yet */
	PL_VIEW_RESOURCE_LIVE, /**< notifications arrive */
	PL_VIEW_RESOURCE_RETRYING, /**< failed, subscribed again by a timer */
	PL_VIEW_RESOURCE_ENDED, /**< the backend server ended it for good */
	PL_VIEW_RESOURCE_STATE_COUNT,
} pl_view_resource_state_t;

/** Names of @ref pl_view_resource_state_t, in its order. */
extern const char *const pl_view_resource_state_names[];

/** One path and query of the backend server, and who watches it. */
struct pl_view_resource {
	pl_view_table_t *table;
	char *path;
	char *query;
	pl_view_resource_state_t state;
	uint64_t subscription; /**< 0 when there is none */
	pl_list_t views;
	pl_view_content_t *content; /**< NULL until the first answer */
	pl_timer_t retry;
	pl_ms_t backoff_ms;
};

/** A registration whose answer is still due. */
typedef struct {
	pl_timer_t timer;
	pl_ms_t deadline;
	pl_ms_t copy_wait; /**< the answer waits for the copy until then */
	uint16_t mid; /**< of the caller's request */
	bool confirmable;
	bool acknowledged; /**< by an empty ACK; the answer comes by itself */
} pl_view_pending_t;

/** A confirmable notification that is not acknowledged. */
typedef struct {
	pl_timer_t timer;
	pl_list_t link; /**< in the caller's deliveries */
	pl_view_t *view;
	uint16_t mid;
	uint8_t attempts;
	uint32_t timeout_ms;
} pl_view_delivery_t;

/** One open view. */
struct pl_view {
	pl_view_key_t key;
	pl_addr_t address; /**< service address that the caller sent to */
	uint8_t szx; /**< block size that the caller asked for */
	uint32_t sequence; /**< last Observe value sent */
	int32_t accept; /**< -1 when absent */
	pl_view_table_t *table;
	pl_view_caller_t *caller;
	pl_view_resource_t *resource;
	pl_list_t caller_link;
	pl_list_t resource_link;
	pl_member_id_t entry; /**< through which the caller was last heard */
	pl_ms_t heard; /**< when the caller was last heard */
	uint64_t confirmed_etag; /**< content that the caller has; 0 unknown */
	pl_view_content_t *sent; /**< content last sent, or NULL */
	pl_view_pending_t *pending; /**< NULL when answered */
	pl_view_delivery_t *delivery; /**< NULL when none is in progress */
	pl_view_offer_t *offer; /**< NULL when not offered */
	pl_list_t move_link; /**< in the offer, or in the table's to_move */
	pl_member_id_t replica; /**< agent that holds the copy, or 0 */
	uint64_t replica_boot;
	bool replicated; /**< the holder said that it keeps the copy */
	uint32_t copied; /**< Observe value in the copy */
	pl_member_id_t origin; /**< who handed it over, until confirmed */
	uint64_t origin_offer;
	pl_member_id_t
		former; /**< owner that was cut off and may still serve */
	uint32_t taken; /**< Observe value when it was handed over */
	pl_list_t copy_link; /**< in the table's to_copy */
};

/** A batch of views that another agent was asked to take. */
struct pl_view_offer {
	pl_view_table_t *table;
	uint64_t id;
	pl_member_id_t receiver;
	unsigned int attempts;
	pl_list_t link; /**< in the table's offers */
	pl_list_t views;
	pl_timer_t timer;
};

/** Where a view went that was here. */
typedef struct {
	pl_view_key_t key;
	pl_view_caller_t *caller;
	pl_list_t caller_link;
	pl_list_t age_link; /**< in the table's tombstones by age */
	pl_member_id_t next;
	uint32_t sequence; /**< of the view when it went */
	pl_ms_t expires;
} pl_view_tombstone_t;

/** Copy of a view that another agent serves. */
typedef struct {
	pl_view_key_t key;
	pl_view_record_t record; /**< its text is interned */
	uint64_t boot; /**< life of the owner */
	pl_view_owner_t *owner;
	pl_view_caller_t *caller;
	pl_list_t owner_link;
	pl_list_t caller_link;
} pl_view_replica_t;

/** An agent whose views have copies here. */
struct pl_view_owner {
	pl_member_id_t agent;
	uint64_t boot; /**< life that the routing table shows; 0 unknown */
	pl_list_t replicas;
};

/** What is known of one caller. */
struct pl_view_caller {
	pl_addr_t addr;
	uint16_t mid; /**< last message ID used */
	pl_ms_t mid_at; /**< when it was used */
	pl_list_t views;
	pl_list_t deliveries;
	pl_list_t tombstones; /**< latest last */
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
	bool draining; /**< takes nothing any more */
	bool leaving; /**< hands its views over */
	uint32_t load_ms; /**< goes with every datagram to a caller */
	uint64_t next_subscription;
	GHashTable *callers; /**< set of pl_view_caller_t by address */
	GHashTable *views; /**< set of pl_view_t by key */
	GHashTable *resources; /**< set of pl_view_resource_t */
	GHashTable *subscriptions; /**< subscription to pl_view_resource_t */
	uint64_t endpoints_hash; /**< of the service's endpoints */
	/* hand-over */
	pl_list_t to_move;
	pl_list_t offers;
	uint64_t next_offer;
	pl_timer_t move_timer;
	pl_timer_t absent_timer;
	pl_ms_t move_backoff_ms;
	GArray *holds; /**< agents that are not offered anything for a while */
	/* where views are that are not here */
	GHashTable *tombstones; /**< set of pl_view_tombstone_t by key */
	pl_list_t tombstones_by_age;
	pl_timer_t tombstone_timer;
	GHashTable *outbox; /**< agent to GArray of pl_view_place_t */
	/* copies */
	pl_list_t to_copy;
	pl_timer_t flush_timer;
	pl_timer_t cut_timer;
	pl_timer_t nudge_timer;
	pl_timer_t check_timer;
	pl_timer_t balance_timer;
	GHashTable *replicas; /**< set of pl_view_replica_t by key */
	GHashTable *owners; /**< set of pl_view_owner_t by agent */
};

/* view_table.c */

/** Present time of the table. */
pl_ms_t pl_view_now(const pl_view_table_t *table);

/** The service's entry in the routing table, or NULL. */
const pl_route_service_t *pl_view_service(const pl_view_table_t *table);

/** Hash of a key and equality of two, for tables whose elements begin so. */
guint pl_view_key_hash(gconstpointer key);
gboolean pl_view_key_equal(gconstpointer a, gconstpointer b);

/** Hash of a number, for tables whose keys or elements begin with one. */
guint pl_view_number_hash(gconstpointer number);

/** The view @p key, or NULL. */
pl_view_t *pl_view_lookup(pl_view_table_t *table, const pl_view_key_t *key);

/** New view of a resource; there must be none with this key. */
pl_view_t *pl_view_new(pl_view_table_t *table, const pl_view_key_t *key,
		       const char *path, const char *query);

/**
 * Goes on with a view that another agent served. Its Observe value is
 * @p step ahead of what the record and the clock say.
 */
pl_view_t *pl_view_restore(pl_view_table_t *table,
			   const pl_view_record_t *record, uint32_t step);

/** Notes that the caller was heard through @p entry. */
void pl_view_heard(pl_view_t *view, pl_member_id_t entry);

/** Fills @p record; its text is borrowed from the resource. */
void pl_view_record_fill(const pl_view_t *view, pl_view_record_t *record);

/** Ends a view for good: others who know of it are told. */
void pl_view_close(pl_view_t *view);

/** Takes @p view off every list and frees it. */
void pl_view_delete(pl_view_t *view);

/** The caller @p addr, or NULL. */
pl_view_caller_t *pl_view_caller_find(const pl_view_table_t *table,
				      const pl_addr_t *addr);

/** The caller @p addr, made when new; freed when nothing is known of it. */
pl_view_caller_t *pl_view_caller_get(pl_view_table_t *table,
				     const pl_addr_t *addr);
void pl_view_caller_put(pl_view_table_t *table, pl_view_caller_t *caller);

/** Next Observe value of @p view. */
uint32_t pl_view_sequence_next(pl_view_t *view);

/** Whether Observe value @p a is newer than @p b (RFC 7641 section 3.4). */
bool pl_view_sequence_newer(uint32_t a, uint32_t b);

/** Observe value that the clock stands at. */
uint32_t pl_view_sequence_clock(const pl_view_table_t *table);

/** Observe value @p step after @p sequence. */
static inline uint32_t pl_view_sequence_add(uint32_t sequence, uint32_t step)
{
	return (sequence + step) & PL_VIEW_SEQUENCE_MASK;
}

/** Next message ID for a message to @p caller; the highest bit is set. */
uint16_t pl_view_mid_next(pl_view_table_t *table, pl_view_caller_t *caller);

/* view_resource.c */

/** Hash and equality by path and query. */
guint pl_view_resource_hash(gconstpointer resource);
gboolean pl_view_resource_equal(gconstpointer a, gconstpointer b);

/** Resource for a path and query; made and subscribed when new. */
pl_view_resource_t *pl_view_resource_get(pl_view_table_t *table,
					 const char *path, const char *query);

/** Ends the subscription and frees @p resource when nobody watches it. */
void pl_view_resource_put(pl_view_resource_t *resource);

/** Gives @p view a resource of its own that ended with @p code. */
void pl_view_resource_detach(pl_view_t *view, uint8_t code);

/** Whether the content may answer a new registration. */
bool pl_view_resource_fresh(const pl_view_resource_t *resource);

/** Subscribes at the backend server, or waits for one. */
void pl_view_resource_subscribe(pl_view_resource_t *resource);

/** The backend server is gone: keeps what is known. */
void pl_view_resource_suspend(pl_view_resource_t *resource);

void pl_view_content_put(pl_view_content_t *content);

/* view_notify.c */

/** Starts a registration whose answer is due, in place of an older one. */
pl_view_pending_t *pl_view_pending_start(pl_view_t *view);

/** Notes a registration; its answer goes out when the state is known. */
void pl_view_pend(pl_view_t *view, const pl_coap_msg_t *msg);

/** Acknowledges a registration whose answer will come later. */
void pl_view_pend_acknowledge(pl_view_t *view);

/** Sends the resource's state to @p view unless it is on its way. */
void pl_view_update(pl_view_t *view);

/**
 * Sends the resource's state even when it went out before: what the caller
 * saw last is not known. May free an ended view.
 */
void pl_view_resend(pl_view_t *view);

/**
 * The way of acknowledgements changed: sends what is unacknowledged once
 * more, soon, beside its retransmissions.
 */
void pl_view_nudge_later(pl_view_table_t *table);
void pl_view_notify_init(pl_view_table_t *table);
void pl_view_notify_finish(pl_view_table_t *table);

/** Ends the pending registration with an error and the view with it. */
void pl_view_refuse(pl_view_t *view, uint8_t code);

/** Frees the delivery and the pending registration. */
void pl_view_delivery_end(pl_view_t *view);
void pl_view_pending_end(pl_view_t *view);

/* view_place.c */

void pl_view_place_init(pl_view_table_t *table);
void pl_view_place_finish(pl_view_table_t *table);

/** Whether @p agent is another endpoint of the service and may be asked. */
bool pl_view_reachable(const pl_view_table_t *table, pl_member_id_t agent);

/** Tombstone of the view @p key, or NULL. */
pl_view_tombstone_t *pl_view_tombstone(const pl_view_table_t *table,
				       const pl_view_key_t *key);
void pl_view_tombstone_remove(pl_view_table_t *table,
			      pl_view_tombstone_t *tombstone);

/** Agent that has views of @p caller, or 0. */
pl_member_id_t pl_view_elsewhere(const pl_view_table_t *table,
				 const pl_view_caller_t *caller);

/**
 * Whether the first of two claims to one view holds: the newer Observe
 * value, and of two equal ones the lower agent.
 */
bool pl_view_claim_wins(uint32_t sequence, pl_member_id_t owner,
			uint32_t other_sequence, pl_member_id_t other_owner);

/**
 * Settles where a view lives. When the claim in @p place is newer than what
 * is known here, a view that is here goes there; when it is older, @p sender
 * is told. A place that names this agent says that another owner gave way.
 * Unless the claim was @p agreed, by a hand-over from here, an owner that
 * gives way tells the other. Returns whether the claim holds.
 */
bool pl_view_settle(pl_view_table_t *table, pl_member_id_t sender,
		    const pl_view_place_t *place, bool agreed);

/** Tells @p peer where a view lives, with the next flush. */
void pl_view_tell(pl_view_table_t *table, pl_member_id_t peer,
		  const pl_view_key_t *key, pl_member_id_t owner,
		  uint32_t sequence);

/** Tells the holder of the copy of @p view that it need not keep it. */
void pl_view_release(const pl_view_t *view);

/** Tells @p peer again what it did not hear. */
void pl_view_tell_failed(pl_view_table_t *table, pl_member_id_t peer,
			 const pl_view_message_t *message);

/** Sends what pl_view_tell() gathered. */
void pl_view_tell_flush(pl_view_table_t *table);

/* view_handover.c */

void pl_view_handover_init(pl_view_table_t *table);
void pl_view_handover_finish(pl_view_table_t *table);

/** Marks @p view as one that has to go; pl_view_move_pump() offers it. */
void pl_view_move_later(pl_view_t *view);

/** Takes @p view out of the hand-over. */
void pl_view_move_cancel(pl_view_t *view);

/** The backend server is there, or it is gone and may stay away. */
void pl_view_move_backend(pl_view_table_t *table, bool present);

/** Offers the views that have to go. */
void pl_view_move_pump(pl_view_table_t *table);

/** Gives up the offers to @p agent, which failed. */
void pl_view_offers_abandon(pl_view_table_t *table, pl_member_id_t agent);

void pl_view_take_offer(pl_view_table_t *table, pl_member_id_t peer,
			const pl_view_message_t *message);
void pl_view_take_accept(pl_view_table_t *table, pl_member_id_t peer,
			 const pl_view_message_t *message);
/** The acceptance of @p offer arrived at @p peer. */
void pl_view_take_confirm(pl_view_table_t *table, pl_member_id_t peer,
			  uint64_t offer);
void pl_view_offer_failed(pl_view_table_t *table, pl_member_id_t peer,
			  const pl_view_message_t *message);

/* view_copy.c */

void pl_view_copy_init(pl_view_table_t *table);
void pl_view_copy_finish(pl_view_table_t *table);

/** Sends a copy of @p view with the next flush. */
void pl_view_copy_later(pl_view_t *view);

/** Sends a copy of @p view in a few milliseconds: its caller waits for it. */
void pl_view_copy_soon(pl_view_t *view);

/** Whether a copy of @p view should be kept elsewhere and is not yet. */
bool pl_view_copy_missing(const pl_view_t *view);

/** The holder @p peer keeps copies whose registrations wait for that. */
void pl_view_take_copied(pl_view_table_t *table, pl_member_id_t peer,
			 const pl_view_message_t *message);

/** Arms the timer that sends copies and places. */
void pl_view_flush_later(pl_view_table_t *table);

/** Sends copies and places now. */
void pl_view_flush(pl_view_table_t *table);

/** The service's endpoints changed: copies follow the rank. */
void pl_view_copy_reroute(pl_view_table_t *table);

/** Copy of the view @p key that is kept here, or NULL. */
pl_view_replica_t *pl_view_replica(const pl_view_table_t *table,
				   const pl_view_key_t *key);
void pl_view_replica_remove(pl_view_table_t *table, pl_view_replica_t *replica);

/**
 * Removes a copy after @p peer 's claim in @p place won over its owner, who
 * is told.
 */
void pl_view_replica_supersede(pl_view_table_t *table,
			       pl_view_replica_t *replica, pl_member_id_t peer,
			       const pl_view_place_t *place);

void pl_view_take_copy(pl_view_table_t *table, pl_member_id_t peer,
		       const pl_view_message_t *message);
void pl_view_copy_failed(pl_view_table_t *table, pl_member_id_t peer,
			 const pl_view_message_t *message);

/* view_balance.c */

void pl_view_balance_init(pl_view_table_t *table);
void pl_view_balance_finish(pl_view_table_t *table);

/** The endpoints changed: views follow their homes when it is quiet. */
void pl_view_balance_later(pl_view_table_t *table);

/* view_frame.c */

/** Sends @p message, whose boot and service are filled in. */
void pl_view_send(pl_view_table_t *table, pl_member_id_t peer,
		  pl_peer_type_t type, pl_view_message_t *message);

#endif
