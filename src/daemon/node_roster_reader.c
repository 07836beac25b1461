/**
 * @file
 * Reader of the roster, for entries.
 */
#include "private/node_roster_reader.h"

#include <pimentolift/event.h>
#include <pimentolift/hash.h>
#include <pimentolift/registration.h>
#include <pimentolift/roster_reader.h>
#include <pimentolift/roster_share.h>
#include <string.h>

/** Agents contacted by a starting entry; it learns the others by gossip. */
#define CONTACTS_MAX 64
#define MS_PER_S 1000

struct pl_node_roster_reader {
	pl_node_t *node;
	pl_kv_t *kv;
	pl_roster_reader_t *reads;
	pl_roster_share_t *share;
	pl_datacentre_id_t datacentre;
	GHashTable *dead_since; /* agent to time in ms */
	pl_node_roster_result_t result;
	void *ctx;
};

static const char *environment_(const pl_node_roster_reader_t *reader)
{
	return pl_node_settings(reader->node)->environment;
}

static pl_ms_t now_(const pl_node_roster_reader_t *reader)
{
	return pl_timer_service_now(pl_loop_timers(pl_node_loop(reader->node)));
}

static void on_removed_(void *ctx, const pl_kv_reply_t *reply)
{
	(void)ctx;
	/* conflict: the agent has registered again in the meantime */
	if (reply->result != PL_OK && reply->result != PL_ERR_CONFLICT)
		pl_event(PL_EVENT_ROSTER_FAILED, "%s: %s",
			 pl_result_name(reply->result), reply->message);
}

static bool is_live_(const pl_member_t *member)
{
	return member && pl_member_state(member) != PL_MEMBER_DEAD &&
	       pl_member_state(member) != PL_MEMBER_LEFT;
}

/* No flow may outlive the time after which an entry is removed. */
static pl_ms_t remove_after_ms_(const pl_node_roster_reader_t *reader)
{
	double flow_max_s = pl_node_settings(reader->node)->flows.flow_max_s;

	return MAX((pl_ms_t)(flow_max_s * MS_PER_S), PL_ROSTER_REMOVE_DEAD_MS);
}

/* Whether every read of the last remove_after_ms_() found the agent dead or
 * unknown to the membership. */
static bool is_dead_for_long_(pl_node_roster_reader_t *reader,
			      pl_member_id_t agent)
{
	const pl_member_t *member =
		pl_member_find(pl_node_members(reader->node), agent);
	const pl_ms_t *since = g_hash_table_lookup(reader->dead_since, &agent);
	pl_ms_t now = now_(reader);

	if (is_live_(member)) {
		g_hash_table_remove(reader->dead_since, &agent);
		return false;
	}
	if (!since)
		g_hash_table_insert(reader->dead_since,
				    g_memdup2(&agent, sizeof(agent)),
				    g_memdup2(&now, sizeof(now)));
	return since && now - *since >= remove_after_ms_(reader);
}

/* Removes the entry of an agent that has been dead for so long that it is not
 * expected to return. */
static void op_entry_(void *ctx, pl_service_id_t service, pl_member_id_t agent,
		      uint64_t modify_index)
{
	pl_node_roster_reader_t *reader = ctx;
	char *key;

	if (!is_dead_for_long_(reader, agent))
		return;
	key = pl_roster_key(environment_(reader), service, agent);
	pl_event(PL_EVENT_ROSTER_FORGOTTEN, "%s", key);
	pl_kv_remove(reader->kv, key, modify_index, on_removed_, reader);
	g_hash_table_remove(reader->dead_since, &agent);
	g_free(key);
}

static void op_read_done_(void *ctx, bool known, const pl_member_id_t *agents,
			  size_t count)
{
	pl_node_roster_reader_t *reader = ctx;

	pl_roster_share_read_done(reader->share, known, agents, count);
}

static pl_ms_t op_registration_ms_(void *ctx)
{
	pl_node_roster_reader_t *reader = ctx;

	return pl_node_registration_ms(reader->node);
}

static uint64_t op_random_(void *ctx)
{
	(void)ctx;
	return pl_random_identity();
}

static const pl_roster_reader_ops_t reader_ops_ = { op_entry_, op_read_done_,
						    op_registration_ms_,
						    op_random_ };

static void op_read_(void *ctx)
{
	pl_node_roster_reader_t *reader = ctx;

	pl_roster_reader_read(reader->reads);
}

static void op_send_(void *ctx, const pl_peer_frame_t *frame)
{
	pl_node_roster_reader_t *reader = ctx;

	pl_node_send_frame(reader->node, frame);
}

static void op_result_(void *ctx, bool known, const pl_member_id_t *agents,
		       size_t count)
{
	pl_node_roster_reader_t *reader = ctx;

	reader->result(reader->ctx, known, agents, count);
}

static const pl_roster_share_ops_t share_ops_ = { op_send_, op_read_,
						  op_result_ };

pl_node_roster_reader_t *
pl_node_roster_reader_new(pl_node_t *node, pl_kv_t *kv,
			  pl_node_roster_result_t result, void *ctx)
{
	pl_node_roster_reader_t *reader = g_new0(pl_node_roster_reader_t, 1);

	reader->node = node;
	reader->kv = kv;
	reader->result = result;
	reader->ctx = ctx;
	reader->datacentre = pl_hash_text(pl_node_settings(node)->datacentre);
	reader->dead_since = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	reader->reads = pl_roster_reader_new(
		environment_(reader), kv, &reader_ops_, reader,
		pl_loop_timers(pl_node_loop(node)));
	reader->share =
		pl_roster_share_new(pl_node_self(node), &share_ops_, reader,
				    pl_loop_timers(pl_node_loop(node)));
	return reader;
}

void pl_node_roster_reader_delete(pl_node_roster_reader_t *reader)
{
	if (!reader)
		return;
	pl_roster_share_delete(reader->share);
	pl_roster_reader_delete(reader->reads);
	g_hash_table_destroy(reader->dead_since);
	g_free(reader);
}

void pl_node_roster_reader_request(pl_node_roster_reader_t *reader)
{
	pl_roster_share_request(reader->share);
}

void pl_node_roster_reader_member_changed(pl_node_roster_reader_t *reader,
					  const pl_member_t *member)
{
	pl_member_id_t id = pl_member_id(member);

	if (pl_member_role(member) != PL_MEMBER_ENTRY ||
	    pl_member_datacentre(member) != reader->datacentre)
		return;
	if (pl_member_state(member) == PL_MEMBER_ALIVE)
		pl_roster_share_peer_up(reader->share, id);
	else
		pl_roster_share_peer_down(reader->share, id);
}

void pl_node_roster_reader_frame(pl_node_roster_reader_t *reader,
				 const pl_peer_frame_t *frame)
{
	pl_roster_share_frame(reader->share, frame);
}

void pl_node_roster_reader_frame_failed(pl_node_roster_reader_t *reader,
					const pl_peer_frame_t *frame)
{
	pl_roster_share_frame_failed(reader->share, frame);
}

static void on_agents_listed_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_node_roster_reader_t *reader = ctx;
	size_t contacts = 0;

	for (size_t i = 0; i < reply->item_count && contacts < CONTACTS_MAX;
	     i++) {
		pl_service_id_t service;
		pl_member_id_t agent;
		pl_addr_t addr;

		if (!pl_roster_parse_key(environment_(reader),
					 reply->items[i].key, &service, &agent))
			continue;
		addr = pl_member_id_to_addr(agent);
		pl_member_contact(pl_node_members(reader->node), &addr);
		contacts++;
	}
}

void pl_node_roster_reader_generation_changed(pl_node_roster_reader_t *reader)
{
	pl_roster_reader_generation_changed(reader->reads);
}

void pl_node_roster_reader_contact_agents(pl_node_roster_reader_t *reader)
{
	char *prefix = pl_roster_prefix(environment_(reader));

	/* agents missing from a stale list become known by gossip */
	pl_kv_list(reader->kv,
		   &(pl_kv_range_t){ .prefix = prefix, .stale = true },
		   on_agents_listed_, reader);
	g_free(prefix);
}
