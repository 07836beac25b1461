/**
 * @file
 * Registration of agents through other members.
 */
#include "private/node_register.h"
#include "private/node_state.h"

#include <pimentolift/event.h>
#include <pimentolift/hash.h>
#include <pimentolift/roster_codec.h>
#include <string.h>

/** A write for another member. */
typedef struct {
	pl_node_t *node;
	pl_member_id_t agent;
	uint32_t sequence;
} write_t;

static void send_(pl_node_t *node, pl_member_id_t to, pl_peer_type_t type,
		  const GByteArray *body)
{
	const pl_peer_frame_t frame = { .peer = to,
					.type = type,
					.body = body->data,
					.body_len = body->len };

	pl_peer_net_send(node->peers, &frame);
}

static bool may_write_(const pl_node_t *node, const pl_member_t *member,
		       pl_member_role_t role)
{
	return pl_member_state(member) == PL_MEMBER_ALIVE &&
	       pl_member_role(member) == role &&
	       pl_member_id(member) != node->self;
}

/* Selects a live member of @p role at random; 0 if there is none. */
static pl_member_id_t select_delegate_(const pl_node_t *node,
				       pl_member_role_t role)
{
	size_t count = pl_member_count(node->members);
	size_t first = (size_t)(pl_random_identity() % (count + 1));

	for (size_t i = 0; i < count; i++) {
		const pl_member_t *member =
			pl_member_at(node->members, (first + i) % count);

		if (may_write_(node, member, role))
			return pl_member_id(member);
	}
	return 0;
}

void pl_node_register_by_delegate(pl_node_t *node)
{
	pl_member_id_t to = select_delegate_(node, PL_MEMBER_ENTRY);
	pl_roster_register_t request = {
		.sequence = ++node->register_sequence,
		.service = pl_service_id(node->settings->flows.service),
	};
	GByteArray *body;

	if (to == 0)
		to = select_delegate_(node, PL_MEMBER_AGENT);
	if (to == 0)
		return;
	g_strlcpy(request.name, node->settings->name, sizeof(request.name));
	body = g_byte_array_new();
	pl_roster_encode_register(&request, body);
	send_(node, to, PL_PEER_REGISTER, body);
	g_byte_array_free(body, TRUE);
}

static void on_written_(void *ctx, const pl_kv_reply_t *reply)
{
	write_t *write = ctx;
	GByteArray *body;

	/* without an answer the agent asks another member */
	if (reply->result == PL_OK) {
		body = g_byte_array_new();
		pl_roster_encode_registered(write->sequence,
					    reply->position.generation, body);
		send_(write->node, write->agent, PL_PEER_REGISTERED, body);
		g_byte_array_free(body, TRUE);
	}
	g_free(write);
}

/* Writes the sender's entry; a member cannot write that of another one. */
static void write_entry_(pl_node_t *node, const pl_peer_frame_t *frame)
{
	pl_roster_register_t request;
	write_t *write;
	char *key;

	if (pl_roster_decode_register(frame->body, frame->body_len, &request) !=
	    PL_OK)
		return;
	write = g_new0(write_t, 1);
	*write = (write_t){ node, frame->peer, request.sequence };
	key = pl_roster_key(node->settings->environment, request.service,
			    frame->peer);
	pl_event(PL_EVENT_ROSTER_DELEGATED, "%s", key);
	pl_kv_put(pl_node_config_platform(node->config),
		  &(pl_kv_write_t){ .key = key,
				    .value = request.name,
				    .value_len = strlen(request.name),
				    .expected_index = PL_KV_ANY },
		  on_written_, write);
	g_free(key);
}

static void handle_registered_(pl_node_t *node, const pl_peer_frame_t *frame)
{
	uint32_t sequence;
	uint64_t generation;

	if (pl_roster_decode_registered(frame->body, frame->body_len, &sequence,
					&generation) == PL_OK &&
	    sequence == node->register_sequence && node->registration)
		pl_registration_delegate_wrote(node->registration, generation);
}

void pl_node_register_frame(pl_node_t *node, const pl_peer_frame_t *frame)
{
	if (node->settings->traffic != PL_TRAFFIC_FLOWS)
		return;
	if (frame->type == PL_PEER_REGISTER)
		write_entry_(node, frame);
	else
		handle_registered_(node, frame);
}
