#include "sync_fake.h"

#include <pimentolift/envelope.h>
#include <stdlib.h>
#include <string.h>

/** Longest delay of a frame. */
#define FRAME_DELAY_MAX_MS 20
#define PLATFORM_DELAY_MS 2
/** Timeout of a call. */
#define CALL_TIMEOUT_MS 1000
/** Longest time in which an entry of flows ends a watch without an answer: 70 %
 * of the shortest bound of a change, and the timeout. */
#define SILENT_WATCH_MS 3100
#define GOSSIP_INTERVAL_MS 1000
#define STEP_MS 10
#define DEADLINE_MIN_MS 100

/* Type of a pending delivery. */
typedef enum {
	DELIVER_FRAME, /* a frame from a peer */
	DELIVER_FAILURE, /* the failure of a frame sent */
	DELIVER_READ, /* the platform's reply to a read */
	DELIVER_WATCH, /* the platform's reply to a watch */
} delivery_type_t;

typedef struct {
	pl_timer_t timer;
	delivery_type_t type;
	node_t *node;
	unsigned int start_count;
	unsigned int serial;
	pl_peer_frame_t frame;
	uint8_t *body;
} delivery_t;

static void make_reply_(const node_t *node, pl_kv_reply_t *reply)
{
	const fake_t *fake = node->fake;
	const char *value = fake->frozen ? fake->frozen : fake->value;

	memset(reply, 0, sizeof(*reply));
	reply->message = "";
	reply->position.generation = fake->generation;
	reply->position.index = fake->frozen ? fake->frozen_index : fake->index;
	reply->modify_index = reply->position.index;
	reply->result = node->platform_silent ? PL_ERR_TIMEOUT :
			fake->down || node->platform_blocked ?
						PL_ERR_UNAVAILABLE :
			value ? PL_OK :
				PL_ERR_NOT_FOUND;
	if (reply->result == PL_OK) {
		reply->value = value;
		reply->value_len = strlen(value);
	}
}

static void on_delivery_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	delivery_t *delivery = ctx;
	node_t *node = delivery->node;
	pl_kv_reply_t reply;

	(void)timer;
	(void)now;
	make_reply_(node, &reply);
	if (node->sync && node->start_count == delivery->start_count) {
		if (delivery->type == DELIVER_FRAME)
			pl_config_sync_frame(node->sync, &delivery->frame);
		else if (delivery->type == DELIVER_FAILURE)
			pl_config_sync_frame_failed(node->sync,
						    &delivery->frame);
		else if (delivery->type == DELIVER_READ)
			pl_config_sync_read_done(node->sync, &reply);
		else if (delivery->serial == node->watch_serial) {
			node->watching = false;
			pl_config_sync_watch_done(node->sync, &reply);
		}
	}
	g_free(delivery->body);
	g_free(delivery);
}

static delivery_t *schedule_delivery_(node_t *node, delivery_type_t type,
				      pl_ms_t delay)
{
	delivery_t *delivery = g_new0(delivery_t, 1);
	pl_timer_service_t *timers = node->fake->timers;

	delivery->type = type;
	delivery->node = node;
	delivery->start_count = node->start_count;
	delivery->serial = node->watch_serial;
	pl_timer_init(&delivery->timer, on_delivery_, delivery);
	pl_timer_arm(timers, &delivery->timer,
		     pl_timer_service_now(timers) + delay);
	return delivery;
}

static void in_force_(void *ctx, pl_document_t *document)
{
	node_t *node = ctx;

	if (pl_document_revision(document) <= node->revision)
		node->reverts++;
	node->revision = pl_document_revision(document);
	node->in_force_at = pl_timer_service_now(node->fake->timers);
}

static void send_(void *ctx, const pl_peer_frame_t *frame)
{
	node_t *node = ctx;
	fake_t *fake = node->fake;
	node_t *to = &fake->nodes[frame->peer - 1];
	bool reached = to->sync && to->group == node->group;
	delivery_t *delivery = schedule_delivery_(
		reached ? to : node, reached ? DELIVER_FRAME : DELIVER_FAILURE,
		(pl_ms_t)g_rand_int_range(fake->rand, 1, FRAME_DELAY_MAX_MS));

	delivery->frame = *frame;
	delivery->frame.peer = reached ? node->id : frame->peer;
	delivery->body = g_memdup2(frame->body, frame->body_len);
	delivery->frame.body = delivery->body;
	node->frame_bytes_out += frame->body_len;
	node->frames_out++;
}

static void read_(void *ctx)
{
	node_t *node = ctx;

	node->reads++;
	schedule_delivery_(node, DELIVER_READ, PLATFORM_DELAY_MS);
}

static void watch_(void *ctx, pl_kv_position_t after)
{
	node_t *node = ctx;
	fake_t *fake = node->fake;
	uint64_t present = fake->frozen ? fake->frozen_index : fake->index;
	bool at_once = fake->down || node->platform_blocked ||
		       after.index == 0 || after.index > present ||
		       (!fake->frozen && fake->changed_index > after.index);

	node->watches++;
	node->watching = true;
	node->watch_index = after.index;
	node->watch_serial++;
	schedule_delivery_(node, DELIVER_WATCH,
			   node->platform_silent ? CALL_TIMEOUT_MS :
			   at_once		 ? PLATFORM_DELAY_MS :
						   PL_KV_WAIT_MS);
}

static void unwatch_(void *ctx)
{
	node_t *node = ctx;

	node->watching = false;
	node->watch_serial++;
}

static uint64_t random_(void *ctx)
{
	node_t *node = ctx;

	return (uint64_t)g_rand_int(node->fake->rand) << 32 |
	       g_rand_int(node->fake->rand);
}

static const pl_config_sync_ops_t ops_ = {
	.in_force = in_force_,
	.send = send_,
	.read = read_,
	.watch = watch_,
	.unwatch = unwatch_,
	.random = random_,
};

/* Every member receives the revision of one random other member. */
static void on_gossip_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	fake_t *fake = ctx;

	for (size_t i = 0; i < fake->count; i++) {
		node_t *node = &fake->nodes[i];
		size_t step = (size_t)g_rand_int_range(fake->rand, 1,
						       (gint32)fake->count);
		node_t *other = &fake->nodes[(i + step) % fake->count];

		if (node->sync && other->sync && node->group == other->group)
			pl_config_sync_peer_revision(node->sync, other->id,
						     other->revision);
	}
	pl_timer_arm(fake->timers, timer, now + GOSSIP_INTERVAL_MS);
}

fake_t *fake_new(uint32_t seed, size_t nodes, size_t datacentres)
{
	fake_t *fake = g_new0(fake_t, 1);

	fake->timers = pl_timer_service_new(1);
	fake->now = 1;
	fake->rand = g_rand_new_with_seed(seed);
	fake->nodes = g_new0(node_t, nodes);
	fake->count = nodes;
	fake->generation = 1;
	fake->index = 1;
	for (size_t i = 0; i < nodes; i++) {
		fake->nodes[i].fake = fake;
		fake->nodes[i].id = i + 1;
		fake->nodes[i].datacentre = 100 + i % datacentres;
	}
	pl_timer_init(&fake->gossip, on_gossip_, fake);
	pl_timer_arm(fake->timers, &fake->gossip, GOSSIP_INTERVAL_MS);
	return fake;
}

void fake_delete(fake_t *fake)
{
	for (size_t i = 0; i < fake->count; i++) {
		if (fake->nodes[i].sync)
			fake_stop(fake, i);
	}
	/* run until all pending deliveries have ended, which frees them */
	pl_timer_cancel(fake->timers, &fake->gossip);
	fake_run(fake, PL_KV_WAIT_MS + GOSSIP_INTERVAL_MS);
	pl_timer_service_delete(fake->timers);
	g_rand_free(fake->rand);
	g_free(fake->nodes);
	g_free(fake->value);
	g_free(fake->previous);
	g_free(fake->frozen);
	g_free(fake->copied_value);
	g_free(fake);
}

static const pl_config_sync_params_t replica_params_ = { .replica_only = true };

void fake_start(fake_t *fake, size_t index)
{
	node_t *node = &fake->nodes[index];

	node->start_count++;
	node->revision = 0;
	node->sync = pl_config_sync_new(node->id, node->datacentre, &ops_, node,
					fake->timers);
	if (node->replica_only)
		pl_config_sync_set_params(node->sync, &replica_params_);
	else if (fake->behind_max_ms > 0)
		pl_config_sync_set_params(
			node->sync,
			&(pl_config_sync_params_t){
				.watchers = PL_CONFIG_WATCHERS,
				.read_delay_ms = 100,
				.behind_max_ms = fake->behind_max_ms });
	for (size_t i = 0; i < fake->count; i++) {
		node_t *other = &fake->nodes[i];

		if (i == index || !other->sync || other->group != node->group)
			continue;
		if (!other->replica_only)
			pl_config_sync_peer_up(node->sync, other->id,
					       other->datacentre);
		if (!node->replica_only)
			pl_config_sync_peer_up(other->sync, node->id,
					       node->datacentre);
	}
	pl_config_sync_start(node->sync);
}

void fake_stop(fake_t *fake, size_t index)
{
	node_t *node = &fake->nodes[index];

	pl_config_sync_delete(node->sync);
	node->sync = NULL;
	for (size_t i = 0; i < fake->count; i++) {
		if (fake->nodes[i].sync)
			pl_config_sync_peer_down(fake->nodes[i].sync, node->id);
	}
}

/* Answers every open watch. */
static void answer_watches_(fake_t *fake)
{
	for (size_t i = 0; i < fake->count; i++) {
		node_t *node = &fake->nodes[i];

		if (!node->sync || !node->watching || node->platform_silent)
			continue;
		node->watch_serial++;
		schedule_delivery_(node, DELIVER_WATCH, PLATFORM_DELAY_MS);
	}
}

void fake_apply(fake_t *fake, const char *text)
{
	pl_envelope_t previous = { .revision = fake->revision };
	pl_envelope_t next;

	pl_envelope_init(&next, &previous, "test", text, strlen(text));
	g_free(fake->previous);
	fake->previous = fake->value;
	fake->value = pl_envelope_encode(&next);
	fake->revision = next.revision;
	fake->changed_index = ++fake->index;
	pl_envelope_finish(&next);
	if (!fake->frozen)
		answer_watches_(fake);
}

void fake_write_others(fake_t *fake, uint64_t count)
{
	fake->index += count;
}

void fake_copy(fake_t *fake)
{
	g_free(fake->copied_value);
	fake->copied_value = g_strdup(fake->value);
	fake->copied_index = fake->index;
	fake->copied_changed_index = fake->changed_index;
	fake->copied_revision = fake->revision;
}

void fake_restore(fake_t *fake)
{
	bool down = fake->down;

	fake_set_down(fake, true);
	fake_run(fake, 2 * STEP_MS);
	g_free(fake->value);
	fake->value = g_strdup(fake->copied_value);
	fake->index = fake->copied_index;
	fake->changed_index = fake->copied_changed_index;
	fake->revision = fake->copied_revision;
	fake->generation++;
	fake_set_down(fake, down);
}

void fake_freeze(fake_t *fake, bool frozen)
{
	g_clear_pointer(&fake->frozen, g_free);
	if (frozen) {
		fake->frozen = g_strdup(fake->value);
		fake->frozen_index = fake->index;
	}
	answer_watches_(fake);
}

void fake_serve_previous(fake_t *fake)
{
	g_free(fake->frozen);
	fake->frozen = g_strdup(fake->previous);
	fake->frozen_index = fake->index - 1;
	answer_watches_(fake);
}

void fake_block_platform(fake_t *fake, size_t node, bool blocked)
{
	fake->nodes[node].platform_blocked = blocked;
	answer_watches_(fake);
}

void fake_silence_platform(fake_t *fake, size_t index)
{
	node_t *node = &fake->nodes[index];

	node->platform_silent = true;
	if (!node->watching)
		return;
	node->watch_serial++;
	schedule_delivery_(node, DELIVER_WATCH, SILENT_WATCH_MS);
}

void fake_set_down(fake_t *fake, bool down)
{
	fake->down = down;
	if (down)
		answer_watches_(fake);
}

void fake_run(fake_t *fake, pl_ms_t duration)
{
	pl_ms_t end = fake->now + duration;

	while (fake->now < end) {
		fake->now += STEP_MS;
		pl_timer_service_advance(fake->timers, fake->now);
	}
}

bool fake_all_at(const fake_t *fake, uint64_t revision)
{
	for (size_t i = 0; i < fake->count; i++) {
		const node_t *node = &fake->nodes[i];

		if (node->sync &&
		    pl_config_sync_revision(node->sync) != revision)
			return false;
	}
	return true;
}

void model_init(model_t *model, size_t services, size_t addresses)
{
	model->services = services;
	model->addresses = addresses;
	model->objectives = false;
	for (size_t i = 0; i < services; i++)
		model->deadline[i] = DEADLINE_MIN_MS;
}

void model_edit(model_t *model, GRand *rand)
{
	size_t edits = (size_t)g_rand_int_range(rand, 1, 4);

	while (edits-- > 0) {
		size_t service = (size_t)g_rand_int_range(
			rand, 0, (gint32)model->services);

		/* few values, so that changes are often reverted */
		model->deadline[service] =
			g_rand_int_range(rand, 0, 5) == 0 ?
				0 :
				DEADLINE_MIN_MS +
					(unsigned int)g_rand_int_range(rand, 0,
								       3);
	}
}

char *model_text(const model_t *model)
{
	GString *text = g_string_new("format = 1\n");

	for (size_t i = 0; i < model->services; i++) {
		if (model->deadline[i] == 0)
			continue;
		g_string_append_printf(text,
				       "[[service]]\nname = \"service-%zu\"\n"
				       "deadline_ms = %u\naddresses = [",
				       i, model->deadline[i]);
		for (size_t j = 0; j < model->addresses; j++)
			g_string_append_printf(
				text, "%s\"10.%zu.%zu.%zu:5683\"",
				j ? ", " : "", i / 256, i % 256, j + 1);
		g_string_append(text, "]\n");
		if (model->objectives)
			g_string_append(text, "[[service.objective]]\n"
					      "kind = \"availability\"\n"
					      "target = 0.999\n");
	}
	return g_string_free(text, FALSE);
}
