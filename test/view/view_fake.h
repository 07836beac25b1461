/**
 * @file
 * A few view tables joined by queues in virtual time, with one fake caller
 * per view and backend servers that all hold the same resources. Frames and
 * datagrams can be lost; agents can drain, die and pause.
 */
#ifndef PIMENTOLIFT_VIEW_FAKE_H
#define PIMENTOLIFT_VIEW_FAKE_H

#include <glib.h>
#include <pimentolift/view.h>

#define FAKE_AGENTS_MAX 7
#define FAKE_RESOURCES 4
#define FAKE_ENTRY 9000

typedef struct fake fake_t;

/** What becomes of a frame. */
typedef enum {
	FAKE_FRAME_DELIVERED,
	FAKE_FRAME_LOST, /**< without a notice to the sender */
	FAKE_FRAME_FAILED, /**< the sender is told */
} fake_frame_outcome_t;

/** An agent with its backend server. */
typedef struct {
	fake_t *fake;
	pl_member_id_t id;
	uint64_t boot;
	pl_view_table_t *table; /**< NULL when dead or not started */
	pl_endpoint_state_t state;
	bool isolated; /**< nothing reaches it and nothing leaves it */
	bool ignores_subscribe; /**< does not answer its subscriptions */
	GHashTable *subscriptions; /**< identifier to resource index */
} fake_agent_t;

/** What the caller of one view saw. */
typedef struct {
	pl_addr_t addr;
	uint8_t token;
	unsigned int resource;
	bool answered;
	uint32_t sequence;
	unsigned int version; /**< of the content */
	uint8_t code;
	unsigned int fresh_count; /**< fresh ones */
	unsigned int stale_count; /**< ignored by the freshness rule */
	uint16_t last_mid;
	bool unresponsive; /**< does not acknowledge */
	uint64_t etag; /**< of the body that is fetched block by block */
	size_t fetched_bytes; /**< bytes of it */
	unsigned int fetched_bodies; /**< bodies fetched to their end */
	bool closed;
} fake_caller_t;

struct fake {
	pl_timer_service_t *timers;
	pl_routing_t *routing; /**< the newest of @c routings */
	GPtrArray *routings;
	GRand *rand;
	GQueue events;
	uint64_t order;
	fake_agent_t agents[FAKE_AGENTS_MAX];
	unsigned int agent_count;
	fake_caller_t *callers;
	unsigned int caller_count;
	unsigned int versions[FAKE_RESOURCES];
	size_t body_len; /**< padding of contents */
	/** Share of datagrams to callers that is lost. */
	unsigned int loss_percent;
	/** Decides over each frame; NULL delivers all. */
	fake_frame_outcome_t (*frame_outcome)(fake_t *fake,
					      const pl_peer_frame_t *frame);
	pl_peer_type_t lost_type; /**< for @c fate */
	unsigned int frames;
	size_t frame_bytes;
	unsigned int datagrams;
};

/** @p agents tables, @p callers callers; agents from @p started on are off. */
fake_t *fake_new(uint32_t seed, unsigned int agents, unsigned int started,
		 unsigned int callers);
void fake_delete(fake_t *fake);

/** Starts or restarts an agent; ends one without notice; drains one. */
void fake_start(fake_t *fake, unsigned int agent);
void fake_kill(fake_t *fake, unsigned int agent);
void fake_drain(fake_t *fake, unsigned int agent);

/** Tells everybody that @p agent failed, or left when it was drained. */
void fake_declare_dead(fake_t *fake, unsigned int agent);

/** Rebuilds the routing table from the agents' states. */
void fake_route(fake_t *fake);

/** Lets @p ms milliseconds pass. */
void fake_run(fake_t *fake, pl_ms_t ms);

/** Registers the view of every caller, or of one. */
void fake_open_all(fake_t *fake);
void fake_open(fake_t *fake, fake_caller_t *caller);
void fake_close(fake_t *fake, fake_caller_t *caller);

/** Changes a resource at all backend servers. */
void fake_update(fake_t *fake, unsigned int resource);

/** Callers whose last fresh content is not the present one. */
unsigned int fake_behind(const fake_t *fake);

/** Open views over all agents. */
size_t fake_views(const fake_t *fake);

/** Index of the home of @p caller. */
unsigned int fake_home(const fake_t *fake, const fake_caller_t *caller);

/** Sends an empty message of @p type for @p mid on the caller's behalf. */
void fake_send_empty(fake_t *fake, const fake_caller_t *caller,
		     pl_coap_type_t type, uint16_t mid);

#endif
