/**
 * @file
 * Membership of a process: callbacks of its member table.
 */
#include "private/node_post.h"
#include "private/node_state.h"

#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <pimentolift/fault.h>

#include <sys/socket.h>
#include <time.h>

/** Burst size of the gossip budget. After a power loss of the whole fleet, this
 * burst lets the members find each other within a second, at the same average
 * rate. */
#define FLOW_GOSSIP_BURST_BYTES 32000

/* The inner socket is shared with the traffic threads. A datagram that the
 * kernel refuses counts as lost; gossip tolerates that. */
static void member_send_datagram_(void *ctx, pl_member_id_t to,
				  const uint8_t *buf, size_t len)
{
	pl_node_t *node = ctx;
	const pl_addr_t addr = pl_member_id_to_addr(to);
	struct sockaddr_storage storage;
	socklen_t storage_len = pl_addr_to_sockaddr(&addr, &storage);

	if (pl_fault_is_cut(to))
		return;
	if (sendto(node->inner_fd, buf, len, MSG_DONTWAIT,
		   (struct sockaddr *)&storage, storage_len) < 0)
		pl_counter_add(PL_COUNTER_DROP_SEND, 1);
}

static void member_send_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	pl_node_t *node = ctx;

	pl_peer_net_send(node->peers, frame);
}

static bool has_ended_(pl_member_state_t state)
{
	return state == PL_MEMBER_DEAD || state == PL_MEMBER_LEFT;
}

/* Notifies the role when an agent's process has ended: the agent is dead, has
 * left, or a new process has its address. */
static void track_agent_boot_(pl_node_t *node, const pl_member_t *member)
{
	pl_member_id_t id = pl_member_id(member);
	uint64_t boot = pl_member_boot(member);
	uint64_t *known = g_hash_table_lookup(node->boots, &id);

	if (known && (has_ended_(pl_member_state(member)) || *known != boot)) {
		node->role_ops->agent_boot_ended(node->role, id, *known);
		g_hash_table_remove(node->boots, &id);
		known = NULL;
	}
	if (!known && boot != 0 && !has_ended_(pl_member_state(member)))
		g_hash_table_insert(node->boots, g_memdup2(&id, sizeof(id)),
				    g_memdup2(&boot, sizeof(boot)));
}

static void report_agent_dead_(const pl_node_t *node, pl_member_id_t id)
{
	if (node->role && node->role_ops->agent_dead)
		node->role_ops->agent_dead(node->role, id);
}

static void member_absent_(void *ctx, pl_member_id_t id)
{
	const pl_node_t *node = ctx;
	const pl_addr_t addr = pl_member_id_to_addr(id);
	char text[PL_ADDR_TEXT_MAX];

	pl_event(PL_EVENT_MEMBER_ABSENT, "%s", pl_addr_format(&addr, text));
	report_agent_dead_(node, id);
}

static void log_member_(const pl_member_t *member, pl_member_state_t old)
{
	const pl_addr_t addr = pl_member_id_to_addr(pl_member_id(member));
	pl_member_state_t state = pl_member_state(member);
	char text[PL_ADDR_TEXT_MAX];

	pl_addr_format(&addr, text);
	if (state == old)
		return;
	if (state == PL_MEMBER_SUSPECT)
		pl_event(PL_EVENT_MEMBER_SUSPECT, "%s", text);
	else if (state == PL_MEMBER_DEAD)
		pl_event(PL_EVENT_MEMBER_DEAD, "%s", text);
	else if (state == PL_MEMBER_LEFT)
		pl_event(PL_EVENT_MEMBER_LEFT, "%s", text);
	else if (state == PL_MEMBER_ALIVE &&
		 (old == PL_MEMBER_STATE_COUNT || has_ended_(old)))
		pl_event(PL_EVENT_MEMBER_JOINED, "%s", text);
}

static void member_changed_(void *ctx, const pl_member_t *member,
			    pl_member_state_t old)
{
	pl_node_t *node = ctx;

	/* a starting node learns all members at once and does not log them */
	if (pl_node_is_configured_(node))
		log_member_(member, old);
	if (node->role && pl_member_role(member) == PL_MEMBER_AGENT &&
	    pl_member_id(member) != node->self)
		track_agent_boot_(node, member);
	if (pl_member_role(member) == PL_MEMBER_AGENT &&
	    pl_member_state(member) == PL_MEMBER_DEAD)
		report_agent_dead_(node, pl_member_id(member));
	if (node->config)
		pl_node_config_member_changed(node->config, member);
	if (node->roster_reader)
		pl_node_roster_reader_member_changed(node->roster_reader,
						     member);
	/* a higher incarnation of this agent's record may refute a report that
	 * it is dead */
	if (node->registration && pl_member_id(member) == node->self)
		pl_registration_refresh(node->registration);
	pl_node_schedule_rebuild_(node);
}

static void member_revision_(void *ctx, pl_member_id_t from, uint64_t revision)
{
	pl_node_t *node = ctx;

	if (node->config)
		pl_node_config_peer_revision(node->config, from, revision);
}

static void member_store_generation_(void *ctx, uint64_t generation)
{
	pl_node_t *node = ctx;

	if (node->config)
		pl_kv_note_generation(pl_node_config_platform(node->config),
				      generation);
}

static void member_evacuations_(void *ctx, const pl_evacuations_t *evacuations)
{
	pl_node_evacuate_changed_(ctx, evacuations);
}

static uint64_t member_paused_(void *ctx, pl_ms_t gap_ms)
{
	pl_node_t *node = ctx;

	node->boot = pl_random_identity();
	pl_event(PL_EVENT_PAUSED, "for %" G_GUINT64_FORMAT " ms",
		 (guint64)gap_ms);
	if (node->role)
		node->role_ops->paused(node->role, node->boot);
	return node->boot;
}

static void member_datacentre_(void *ctx, pl_datacentre_id_t id,
			       const char *name, bool partitioned)
{
	pl_event(partitioned ? PL_EVENT_DATACENTRE_CUT :
			       PL_EVENT_DATACENTRE_BACK,
		 "%s", name);
}

void pl_node_add_seeds_(pl_node_t *node, const pl_settings_t *settings)
{
	for (size_t i = 0; i < settings->seeds.count; i++) {
		pl_addr_t seed = settings->seeds.at[i];

		if (settings->seed_port != 0)
			seed.port = (uint16_t)settings->seed_port;
		pl_member_add_seed(node->members, &seed);
	}
}

static uint64_t random_(void *ctx)
{
	return pl_random_identity();
}

static const pl_member_ops_t member_ops_ = {
	.send_datagram = member_send_datagram_,
	.send_frame = member_send_frame_,
	.changed = member_changed_,
	.revision = member_revision_,
	.store_generation = member_store_generation_,
	.evacuations = member_evacuations_,
	.paused = member_paused_,
	.datacentre = member_datacentre_,
	.absent = member_absent_,
	.random = random_,
};

void pl_node_members_init_(pl_node_t *node)
{
	const pl_settings_t *settings = node->settings;
	pl_member_params_t params = {
		.self = node->self,
		.role = settings->role == PL_ROLE_ENTRY ? PL_MEMBER_ENTRY :
							  PL_MEMBER_AGENT,
		.name = settings->name,
		.datacentre = settings->datacentre,
		.boot = node->boot,
		.incarnation = (uint64_t)time(NULL),
	};

	if (settings->traffic == PL_TRAFFIC_FLOWS)
		params.burst = FLOW_GOSSIP_BURST_BYTES;
	pl_key_derive(settings->secret, settings->environment, PL_KEY_GOSSIP,
		      &params.key);
	node->members = pl_member_table_new(&params, &member_ops_, node,
					    pl_node_timers_(node));
	pl_node_add_seeds_(node, settings);
	if (settings->traffic == PL_TRAFFIC_FLOWS &&
	    settings->role == PL_ROLE_AGENT)
		pl_node_set_endpoint_on_control_thread(
			node, pl_service_id(settings->flows.service), 0, false);
}
