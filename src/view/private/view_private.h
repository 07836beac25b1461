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

/** Observe values have 24 bits (RFC 7641 section 3.4). */
#define PL_VIEW_SEQUENCE_MASK 0xffffffu
/** Steps of the clock that sequences and message IDs follow. */
#define PL_VIEW_TICKS_PER_S 64
/** Max-Age of an answer that names none (RFC 7252 section 5.10.5). */
#define PL_VIEW_MAX_AGE_DEFAULT_S 60

typedef struct pl_view_caller pl_view_caller_t;
typedef struct pl_view_resource pl_view_resource_t;
typedef struct pl_view pl_view_t;

/** What names a view: the caller and its token. */
typedef struct {
	pl_addr_t caller;
	uint8_t token_len;
	uint8_t token[PL_COAP_TOKEN_MAX];
	uint8_t zero; /**< fills the last byte; keys are compared as bytes */
} pl_view_key_t;

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
	uint64_t confirmed_etag; /**< content that the caller has; 0 unknown */
	pl_view_content_t *sent; /**< content last sent, or NULL */
	pl_view_pending_t *pending; /**< NULL when answered */
	pl_view_delivery_t *delivery; /**< NULL when none is in progress */
};

/** What is known of one caller. */
struct pl_view_caller {
	pl_addr_t addr;
	uint16_t mid; /**< last message ID used */
	pl_ms_t mid_at; /**< when it was used */
	pl_list_t views;
	pl_list_t deliveries;
};

struct pl_view_table {
	pl_agent_params_t params;
	const pl_agent_ops_t *ops;
	void *ctx;
	pl_timer_service_t *timers;
	const pl_routing_t *routing; /**< borrowed */
	pl_service_id_t service_id;
	bool backend_present;
	bool draining;
	uint64_t next_subscription;
	GHashTable *callers; /**< set of pl_view_caller_t by address */
	GHashTable *views; /**< set of pl_view_t by key */
	GHashTable *resources; /**< set of pl_view_resource_t */
	GHashTable *subscriptions; /**< subscription to pl_view_resource_t */
};

/* view_table.c */

/** Present time of the table. */
pl_ms_t pl_view_now(const pl_view_table_t *table);

/** The service's entry in the routing table, or NULL. */
const pl_route_service_t *pl_view_service(const pl_view_table_t *table);

/** Hash of a key and equality of two, for tables whose elements begin so. */
guint pl_view_key_hash(gconstpointer key);
gboolean pl_view_key_equal(gconstpointer a, gconstpointer b);

/** Key of the view that a message belongs to. */
void pl_view_key_set(pl_view_key_t *key, const pl_addr_t *caller,
		     const uint8_t *token, size_t token_len);

/** The view @p key, or NULL. */
pl_view_t *pl_view_lookup(pl_view_table_t *table, const pl_view_key_t *key);

/** New view of a resource; there must be none with this key. */
pl_view_t *pl_view_new(pl_view_table_t *table, const pl_view_key_t *key,
		       const char *path, const char *query);

/** Takes @p view off every list and frees it. */
void pl_view_delete(pl_view_t *view);

/** The caller @p addr, or NULL. */
pl_view_caller_t *pl_view_caller_find(const pl_view_table_t *table,
				      const pl_addr_t *addr);

/** Next Observe value of @p view. */
uint32_t pl_view_sequence_next(pl_view_t *view);

/** Whether Observe value @p a is newer than @p b (RFC 7641 section 3.4). */
bool pl_view_sequence_newer(uint32_t a, uint32_t b);

/** Observe value that the clock stands at. */
uint32_t pl_view_sequence_clock(const pl_view_table_t *table);

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

/** Ends the pending registration with an error and the view with it. */
void pl_view_refuse(pl_view_t *view, uint8_t code);

/** Frees the delivery and the pending registration. */
void pl_view_delivery_end(pl_view_t *view);
void pl_view_pending_end(pl_view_t *view);

#endif
