/**
 * @file
 * Simulation of several view tables in virtual time, with one fake caller per
 * view and one fake backend server per agent. All backend servers have the same
 * resources. Frames and datagrams can be lost; agents can drain, fail and be
 * cut off from the network.
 */
#ifndef PIMENTOLIFT_VIEW_FAKE_H
#define PIMENTOLIFT_VIEW_FAKE_H

#include <glib.h>
#include <pimentolift/view.h>

#define FAKE_AGENTS_MAX 7
#define FAKE_RESOURCES 4
#define FAKE_ENTRY 9000

typedef struct fake fake_t;

/** What happens to a frame between agents. */
typedef enum {
	FAKE_FRAME_DELIVERED,
	FAKE_FRAME_LOST, /**< the sender is not notified */
	FAKE_FRAME_FAILED, /**< the sender is notified */
} fake_frame_outcome_t;

/** A simulated agent and its backend server. */
typedef struct {
	fake_t *fake;
	pl_member_id_t id;
	uint64_t boot;
	pl_view_table_t *table; /**< NULL when failed or not started */
	pl_endpoint_state_t state;
	bool isolated; /**< exchanges no frames or datagrams */
	bool ignores_subscribe; /**< the backend server does not respond */
	GHashTable *subscriptions; /**< resource index by ID */
} fake_agent_t;

/** A simulated caller and what it received. */
typedef struct {
	pl_addr_t addr;
	uint8_t token;
	unsigned int resource;
	bool answered;
	uint32_t sequence;
	unsigned int version; /**< version of the last content */
	uint8_t code;
	unsigned int fresh_count; /**< notifications that were fresh */
	unsigned int stale_count; /**< ignored: older Observe value */
	uint16_t last_mid;
	bool unresponsive; /**< ignores all messages */
	uint64_t etag; /**< ETag of the body fetched blockwise */
	size_t fetched_bytes; /**< bytes of that body received so far */
	unsigned int fetched_bodies; /**< bodies fetched completely */
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
	size_t body_len; /**< contents are padded to this; 0: not padded */
	/** Share of lost datagrams to and from callers. */
	unsigned int loss_percent;
	/** Decides what happens to each frame; NULL: all are delivered. */
	fake_frame_outcome_t (*frame_outcome)(fake_t *fake,
					      const pl_peer_frame_t *frame);
	pl_peer_type_t lost_type; /**< used by @c frame_outcome */
	unsigned int frames;
	size_t frame_bytes;
	unsigned int datagrams;
};

/** Creates a simulation of which the first @p started agents run. */
fake_t *fake_new(uint32_t seed, unsigned int agents, unsigned int started,
		 unsigned int callers);
void fake_delete(fake_t *fake);

/** Starts or restarts an agent with a new boot. */
void fake_start(fake_t *fake, unsigned int agent);

/** Ends an agent without notice to the other agents. */
void fake_kill(fake_t *fake, unsigned int agent);

/** Starts the drain of an agent. */
void fake_drain(fake_t *fake, unsigned int agent);

/** Reports to all other agents that @p agent failed or left. */
void fake_declare_dead(fake_t *fake, unsigned int agent);

/** Rebuilds the routing table from the agents' states and distributes it. */
void fake_route(fake_t *fake);

/** Advances the virtual time by @p ms milliseconds. */
void fake_run(fake_t *fake, pl_ms_t ms);

/** Registers the views of all callers. */
void fake_open_all(fake_t *fake);

/** Registers the view of one caller, or refreshes it. */
void fake_open(fake_t *fake, fake_caller_t *caller);
void fake_close(fake_t *fake, fake_caller_t *caller);

/** Changes a resource on all backend servers. */
void fake_update(fake_t *fake, unsigned int resource);

/** Number of callers with an open view that lack the current content. */
unsigned int fake_outdated_callers(const fake_t *fake);

/** Number of open views of all agents. */
size_t fake_views(const fake_t *fake);

/** Index of the agent that is the home of @p caller. */
unsigned int fake_home(const fake_t *fake, const fake_caller_t *caller);

/** Sends an empty message of @p type with message ID @p mid from @p caller. */
void fake_send_empty(fake_t *fake, const fake_caller_t *caller,
		     pl_coap_type_t type, uint16_t mid);

#endif
