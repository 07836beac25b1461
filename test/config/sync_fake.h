/**
 * @file
 * Simulated fleet of configuration cores in virtual time, for tests. Frames
 * arrive after a random delay; the platform is simulated by one value.
 */
#ifndef PL_TEST_SYNC_FAKE_H
#define PL_TEST_SYNC_FAKE_H

#include <glib.h>
#include <pimentolift/config_sync.h>

typedef struct fake fake_t;

/** Maximum number of services of a model. */
#define MODEL_SERVICES_MAX 2048
/** Maximum number of addresses of each service. */
#define MODEL_ADDRESSES_MAX 250

/** One simulated member. */
typedef struct {
	fake_t *fake;
	pl_member_id_t id;
	pl_datacentre_id_t datacentre;
	pl_config_sync_t *sync; /**< NULL while the member is stopped */
	unsigned int start_count; /**< number of starts */
	unsigned int group; /**< members of other groups are unreachable */
	bool platform_blocked; /**< cannot reach the platform */
	bool platform_silent; /**< gets no answers from the platform */
	/**
	 * The member only holds a replica: it never contacts the platform and
	 * is not a peer of other members, but they receive its gossip.
	 */
	bool replica_only;
	bool watching;
	uint64_t watch_index;
	unsigned int watch_serial;
	uint64_t revision; /**< in force since the last start */
	pl_ms_t in_force_at;
	unsigned int reverts; /**< times that the revision did not increase */
	unsigned int reads;
	unsigned int watches;
	size_t frame_bytes_out;
	size_t frames_out;
} node_t;

struct fake {
	pl_timer_service_t *timers;
	GRand *rand;
	node_t *nodes;
	size_t count;
	pl_ms_t now;
	/* state of the platform */
	char *value;
	uint64_t generation;
	uint64_t index; /**< of the last write to any key */
	uint64_t changed_index; /**< of the last write to the document */
	char *previous; /**< value before the last write */
	/* state that fake_restore() returns to */
	char *copied_value;
	uint64_t copied_index;
	uint64_t copied_changed_index;
	uint64_t copied_revision;
	char *frozen; /**< value returned by reads instead, or NULL */
	uint64_t frozen_index;
	bool down; /**< the platform is unreachable for all members */
	pl_ms_t behind_max_ms; /**< of members that start from now on */
	uint64_t revision; /**< revision of @c value */
	pl_timer_t gossip;
};

fake_t *fake_new(uint32_t seed, size_t nodes, size_t datacentres);
void fake_delete(fake_t *fake);

/** Starts a member that knows all running members of its group. */
void fake_start(fake_t *fake, size_t node);
void fake_stop(fake_t *fake, size_t node);

/** Writes @p text to the platform as the next revision. */
void fake_apply(fake_t *fake, const char *text);

/** Writes other keys to the platform, @p count times. */
void fake_write_others(fake_t *fake, uint64_t count);

/** Remembers the platform's state for fake_restore(). */
void fake_copy(fake_t *fake);
/** Returns the platform to its state at fake_copy(): later writes are lost and
 * their indexes are assigned again. Open watches fail. */
void fake_restore(fake_t *fake);

/** Makes reads return the present value despite later writes, or ends this. */
void fake_freeze(fake_t *fake, bool frozen);

/** Makes reads return the value before the last write. */
void fake_serve_previous(fake_t *fake);

/** Makes the platform unreachable or reachable for one member. */
void fake_block_platform(fake_t *fake, size_t node, bool blocked);
/** Makes the platform answer one member no longer: its open watch ends when it
 * would without a change, and calls time out. */
void fake_silence_platform(fake_t *fake, size_t node);
/** Makes the platform unreachable or reachable for all members. */
void fake_set_down(fake_t *fake, bool down);

/** Advances virtual time by @p duration. */
void fake_run(fake_t *fake, pl_ms_t duration);

/** Whether every running member has @p revision in force. */
bool fake_all_at(const fake_t *fake, uint64_t revision);

/** Content of a generated document, which tests edit. */
typedef struct {
	/** Deadline of each service in ms; 0: the service is absent. */
	unsigned int deadline[MODEL_SERVICES_MAX];
	size_t services;
	size_t addresses; /**< of each service */
	bool objectives; /**< each service has one */
} model_t;

void model_init(model_t *model, size_t services, size_t addresses);
/** Changes, removes or adds one to three random services. */
void model_edit(model_t *model, GRand *rand);
/** The document as TOML; freed with g_free(). */
char *model_text(const model_t *model);

#endif
