#include "view_fake.h"

#include <pimentolift/counter.h>
#include <stdio.h>
#include <string.h>

#define SERVICE "permits"
#define BODY_MAX 4096
#define FRAME_DELAY_MS 1
#define BACKEND_DELAY_MS 2
#define CALLER_DELAY_MS 3
#define START_UNIX_S 1700000000u
/** Token of the requests that fetch further blocks of a body. */
#define FETCH_TOKEN 0xfe
#define PDU_TYPE_MASK 0x30
#define PDU_ACK 0x20
#define SEQUENCE_HALF (1u << 23)

typedef enum {
	EVENT_FRAME,
	EVENT_FRAME_FAILED,
	EVENT_TO_CALLER,
	EVENT_TO_AGENT,
	EVENT_BACKEND,
} event_type_t;

typedef struct {
	pl_ms_t due;
	uint64_t order;
	event_type_t type;
	pl_member_id_t from;
	pl_member_id_t to;
	uint64_t boot; /**< run of the receiver it is addressed to */
	pl_peer_type_t frame_type;
	pl_addr_t caller;
	uint64_t subscription;
	unsigned int version;
	unsigned int hops;
	size_t len;
	uint8_t body[];
} event_t;

static pl_coap_parser_t *parser_;

static gint event_compare_(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const event_t *left = a;
	const event_t *right = b;

	if (left->due != right->due)
		return left->due < right->due ? -1 : 1;
	return left->order < right->order ? -1 : 1;
}

static event_t *schedule_event_(fake_t *fake, event_type_t type, pl_ms_t delay,
				const void *body, size_t len)
{
	event_t *event = g_malloc0(sizeof(*event) + len);
	GList *after;

	event->type = type;
	event->due = pl_timer_service_now(fake->timers) + delay;
	event->order = ++fake->order;
	event->len = len;
	if (len > 0)
		memcpy(event->body, body, len);
	/* search from the tail: most new events are due last */
	for (after = fake->events.tail; after; after = after->prev) {
		if (event_compare_(after->data, event, NULL) < 0)
			break;
	}
	if (after)
		g_queue_insert_after(&fake->events, after, event);
	else
		g_queue_push_head(&fake->events, event);
	return event;
}

static fake_agent_t *agent_by_id_(fake_t *fake, pl_member_id_t id)
{
	g_assert_true(id >= 1 && id <= fake->agent_count);
	return &fake->agents[id - 1];
}

static pl_service_id_t service_(void)
{
	return pl_service_id(SERVICE);
}

static void reply_(void *ctx, pl_member_id_t entry, const pl_flow_t *flow,
		   uint32_t load, const uint8_t *pdu, size_t pdu_len)
{
	fake_agent_t *agent = ctx;
	fake_t *fake = agent->fake;
	unsigned int lossy = 0;
	event_t *event;

	if (agent->isolated)
		return;
	g_assert_true(flow->service == service_());
	fake->datagrams++;
	/* a real caller repeats its request until it gets the piggybacked
	 * response; the fake callers do not, so that is never lost */
	if (pdu[1] == PL_COAP_EMPTY || (pdu[0] & PDU_TYPE_MASK) != PDU_ACK)
		lossy = fake->loss_percent;
	if ((unsigned int)g_rand_int_range(fake->rand, 0, 100) < lossy)
		return;
	event = schedule_event_(fake, EVENT_TO_CALLER, CALLER_DELAY_MS, pdu,
				pdu_len);
	event->caller = flow->caller;
	event->from = agent->id;
}

static void forward_(void *ctx, pl_member_id_t to, const pl_forward_t *forward)
{
	g_error("unexpected call: a view table must not forward");
}

static void dispatch_(void *ctx, uint64_t id,
		      const pl_backend_request_t *request)
{
	g_error("unexpected call: a view table must not dispatch");
}

static void cancel_(void *ctx, uint64_t id)
{
	g_error("unexpected call: a view table must not cancel");
}

static void backend_answer_(fake_agent_t *agent, uint64_t subscription,
			    unsigned int resource)
{
	event_t *event = schedule_event_(agent->fake, EVENT_BACKEND,
					 BACKEND_DELAY_MS, NULL, 0);

	event->to = agent->id;
	event->boot = agent->boot;
	event->subscription = subscription;
	event->version = agent->fake->versions[resource];
}

static void subscribe_(void *ctx, uint64_t id, const char *path,
		       const char *query)
{
	fake_agent_t *agent = ctx;
	unsigned int resource = (unsigned int)(path[strlen(path) - 1] - '0');
	uint64_t *key = g_new(uint64_t, 1);

	g_assert_true(resource < FAKE_RESOURCES);
	*key = id;
	g_hash_table_insert(agent->subscriptions, key,
			    GUINT_TO_POINTER(resource));
	if (!agent->ignores_subscribe)
		backend_answer_(agent, id, resource);
}

static void unsubscribe_(void *ctx, uint64_t id)
{
	fake_agent_t *agent = ctx;

	g_assert_true(g_hash_table_remove(agent->subscriptions, &id));
}

static void send_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	fake_agent_t *agent = ctx;
	fake_t *fake = agent->fake;
	fake_frame_outcome_t outcome =
		fake->frame_outcome ? fake->frame_outcome(fake, frame) :
				      FAKE_FRAME_DELIVERED;
	event_t *event;

	g_assert_true(frame->peer != agent->id);
	fake->frames++;
	fake->frame_bytes += frame->body_len;
	if (agent->isolated || agent_by_id_(fake, frame->peer)->isolated)
		outcome = FAKE_FRAME_FAILED;
	if (outcome == FAKE_FRAME_LOST)
		return;
	event = schedule_event_(
		fake,
		outcome == FAKE_FRAME_FAILED ? EVENT_FRAME_FAILED : EVENT_FRAME,
		FRAME_DELAY_MS, frame->body, frame->body_len);
	event->from = agent->id;
	event->to = frame->peer;
	event->frame_type = frame->type;
}

static uint64_t random_(void *ctx)
{
	fake_agent_t *agent = ctx;

	return g_rand_int(agent->fake->rand);
}

static const pl_agent_ops_t ops_ = {
	.reply = reply_,
	.forward = forward_,
	.dispatch = dispatch_,
	.cancel = cancel_,
	.subscribe = subscribe_,
	.unsubscribe = unsubscribe_,
	.send_frame = send_frame_,
	.random = random_,
};

void fake_route(fake_t *fake)
{
	pl_service_policy_t policy = { .deadline_ms = 5000 };
	pl_routing_builder_t *builder = pl_routing_builder_new(1);

	pl_routing_builder_service(builder, SERVICE, &policy);
	for (unsigned int i = 0; i < fake->agent_count; i++) {
		const fake_agent_t *agent = &fake->agents[i];
		pl_endpoint_t endpoint = {
			.agent = agent->id,
			.boot = agent->boot,
			.service = service_(),
			.state = agent->state,
			.weight = PL_WEIGHT_FULL,
		};

		if (agent->isolated)
			endpoint.state = PL_ENDPOINT_UNREACHABLE;
		/* the routing table has no agent that was declared dead */
		if (agent->boot != 0 && agent->state != PL_ENDPOINT_UNREACHABLE)
			pl_routing_builder_endpoint(builder, &endpoint);
	}
	fake->routing = pl_routing_builder_finish(builder);
	for (unsigned int i = 0; i < fake->agent_count; i++) {
		if (fake->agents[i].table && !fake->agents[i].isolated)
			pl_view_set_routing(fake->agents[i].table,
					    fake->routing, service_());
	}
	/* kept: an isolated agent continues with an old routing table */
	g_ptr_array_add(fake->routings, fake->routing);
}

void fake_start(fake_t *fake, unsigned int index)
{
	fake_agent_t *agent = &fake->agents[index];
	pl_agent_params_t params = {
		.self = agent->id,
		.boot = g_rand_int(fake->rand) + 1ull,
		.unix_time_s = START_UNIX_S,
	};

	g_assert_true(!agent->table);
	agent->boot = params.boot;
	agent->state = PL_ENDPOINT_SERVING;
	agent->subscriptions = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	agent->table = pl_view_table_new(&params, &ops_, agent, fake->timers);
	pl_view_set_backend_present(agent->table, true);
}

void fake_kill(fake_t *fake, unsigned int index)
{
	fake_agent_t *agent = &fake->agents[index];

	pl_view_table_delete(agent->table);
	agent->table = NULL;
	g_hash_table_destroy(agent->subscriptions);
	agent->subscriptions = NULL;
}

void fake_drain(fake_t *fake, unsigned int index)
{
	fake->agents[index].state = PL_ENDPOINT_DRAINING;
	pl_view_drain(fake->agents[index].table);
}

void fake_declare_dead(fake_t *fake, unsigned int index)
{
	fake_agent_t *dead = &fake->agents[index];

	dead->state = PL_ENDPOINT_UNREACHABLE;
	fake_route(fake);
	for (unsigned int i = 0; i < fake->agent_count; i++) {
		if (i != index && fake->agents[i].table)
			pl_view_peer_boot_ended(fake->agents[i].table, dead->id,
						dead->boot);
	}
}

static void routing_free_(gpointer routing)
{
	pl_routing_put(routing);
}

static void callers_init_(fake_t *fake, unsigned int count)
{
	fake->callers = g_new0(fake_caller_t, count);
	fake->caller_count = count;
	for (unsigned int i = 0; i < count; i++) {
		fake_caller_t *caller = &fake->callers[i];

		caller->addr.family = PL_ADDR_IPV4;
		caller->addr.ip[2] = (uint8_t)(i >> 8);
		caller->addr.ip[3] = (uint8_t)i;
		caller->addr.port = 5000;
		caller->token = (uint8_t)(i * 7 % FETCH_TOKEN);
		caller->resource = i % FAKE_RESOURCES;
	}
}

fake_t *fake_new(uint32_t seed, unsigned int agents, unsigned int started,
		 unsigned int callers)
{
	fake_t *fake = g_new0(fake_t, 1);

	g_assert_true(agents <= FAKE_AGENTS_MAX && started <= agents);
	parser_ = pl_coap_parser_new();
	fake->timers = pl_timer_service_new(1000);
	fake->rand = g_rand_new_with_seed(seed);
	g_queue_init(&fake->events);
	fake->routings = g_ptr_array_new_with_free_func(routing_free_);
	fake->agent_count = agents;
	for (unsigned int i = 0; i < agents; i++) {
		fake->agents[i].fake = fake;
		fake->agents[i].id = i + 1;
		if (i < started)
			fake_start(fake, i);
	}
	callers_init_(fake, callers);
	fake_route(fake);
	return fake;
}

void fake_delete(fake_t *fake)
{
	event_t *event;

	for (unsigned int i = 0; i < fake->agent_count; i++) {
		if (fake->agents[i].table)
			fake_kill(fake, i);
	}
	while ((event = g_queue_pop_head(&fake->events)))
		g_free(event);
	g_assert_cmpuint(pl_counter_get(PL_COUNTER_INVARIANT_BROKEN), ==, 0);
	/* every table must have cancelled its timers */
	g_assert_true(pl_timer_service_armed(fake->timers) == 0);
	g_ptr_array_free(fake->routings, TRUE);
	pl_timer_service_delete(fake->timers);
	g_rand_free(fake->rand);
	g_free(fake->callers);
	g_free(fake);
	pl_coap_parser_delete(parser_);
	parser_ = NULL;
}

static fake_caller_t *caller_by_addr_(fake_t *fake, const pl_addr_t *addr)
{
	unsigned int index = (unsigned int)addr->ip[2] << 8 | addr->ip[3];

	g_assert_true(index < fake->caller_count);
	return &fake->callers[index];
}

unsigned int fake_home(const fake_t *fake, const fake_caller_t *caller)
{
	const pl_endpoint_t *home = pl_placement_home(
		pl_routing_service_at(fake->routing, 0), &caller->addr);

	g_assert_true(home);
	return (unsigned int)home->agent - 1;
}

/* Sends a datagram from a caller to the caller's home, as an entry does. */
static void send_to_home_(fake_t *fake, const fake_caller_t *caller,
			  const pl_coap_writer_t *writer)
{
	event_t *event;
	const pl_endpoint_t *home = NULL;
	bool request = writer->buf[1] != PL_COAP_EMPTY;

	if (!request && (unsigned int)g_rand_int_range(fake->rand, 0, 100) <
				fake->loss_percent)
		return;
	if (pl_placement_rank(pl_routing_service_at(fake->routing, 0),
			      &caller->addr, PL_RANK_REACHABLE, 0, &home,
			      1) == 0)
		return;
	/* prefer a serving agent to a draining one */
	pl_placement_rank(pl_routing_service_at(fake->routing, 0),
			  &caller->addr, PL_RANK_SERVING, 0, &home, 1);
	event = schedule_event_(fake, EVENT_TO_AGENT, CALLER_DELAY_MS,
				writer->buf, pl_coap_write_end(writer));
	event->caller = caller->addr;
	event->to = home->agent;
}

void fake_send_empty(fake_t *fake, const fake_caller_t *caller,
		     pl_coap_type_t type, uint16_t mid)
{
	uint8_t buf[64];
	pl_coap_writer_t writer;

	pl_coap_write_start(&writer, buf, sizeof(buf), type, PL_COAP_EMPTY, mid,
			    NULL, 0);
	send_to_home_(fake, caller, &writer);
}

static void write_path_(pl_coap_writer_t *writer, const fake_caller_t *caller)
{
	char path[] = "view/0";

	path[sizeof(path) - 2] = (char)('0' + caller->resource);
	pl_coap_write_segments(writer, PL_COAP_OPT_URI_PATH, path, '/');
}

static char fill_char_(unsigned int version)
{
	return (char)('a' + version % 26);
}

static void send_get_(fake_t *fake, fake_caller_t *caller, uint32_t observe)
{
	uint8_t buf[128];
	pl_coap_writer_t writer;

	pl_coap_write_start(&writer, buf, sizeof(buf), PL_COAP_CON, PL_COAP_GET,
			    ++caller->last_mid, &caller->token, 1);
	pl_coap_write_uint(&writer, PL_COAP_OPT_OBSERVE, observe);
	write_path_(&writer, caller);
	send_to_home_(fake, caller, &writer);
}

void fake_open(fake_t *fake, fake_caller_t *caller)
{
	caller->closed = false;
	send_get_(fake, caller, 0);
}

void fake_open_all(fake_t *fake)
{
	for (unsigned int i = 0; i < fake->caller_count; i++)
		fake_open(fake, &fake->callers[i]);
}

void fake_close(fake_t *fake, fake_caller_t *caller)
{
	caller->closed = true;
	send_get_(fake, caller, 1);
}

void fake_update(fake_t *fake, unsigned int resource)
{
	fake->versions[resource]++;
	for (unsigned int i = 0; i < fake->agent_count; i++) {
		fake_agent_t *agent = &fake->agents[i];
		GHashTableIter iter;
		gpointer key;
		gpointer value;

		if (!agent->table)
			continue;
		g_hash_table_iter_init(&iter, agent->subscriptions);
		while (g_hash_table_iter_next(&iter, &key, &value)) {
			if (GPOINTER_TO_UINT(value) == resource)
				backend_answer_(agent, *(uint64_t *)key,
						resource);
		}
	}
}

/* RFC 7641 section 3.4, without the condition on elapsed time. */
static bool observe_newer_(uint32_t now, uint32_t last)
{
	return (last < now && now - last < SEQUENCE_HALF) ||
	       (last > now && last - now > SEQUENCE_HALF);
}

static void send_fetch_(fake_t *fake, fake_caller_t *caller,
			const pl_coap_block_t *last)
{
	uint8_t buf[128];
	uint8_t token = FETCH_TOKEN;
	pl_coap_block_t next = { .num = last->num + 1, .szx = last->szx };
	pl_coap_writer_t writer;

	pl_coap_write_start(&writer, buf, sizeof(buf), PL_COAP_CON, PL_COAP_GET,
			    ++caller->last_mid, &token, 1);
	write_path_(&writer, caller);
	pl_coap_write_block(&writer, PL_COAP_OPT_BLOCK2, &next);
	send_to_home_(fake, caller, &writer);
}

/* Receives one block; checks that it belongs to the body being fetched. */
static void receive_block_(fake_t *fake, fake_caller_t *caller,
			   const pl_coap_msg_t *msg)
{
	size_t size = (size_t)16 << msg->block2.szx;
	uint64_t etag = 0;

	g_assert_cmpuint(msg->etag_len, ==, sizeof(etag));
	memcpy(&etag, msg->etag, sizeof(etag));
	if (msg->block2.num == 0) {
		caller->etag = etag;
		caller->fetched_bytes = 0;
	}
	/* a block of an older body, or a duplicate */
	if (etag != caller->etag ||
	    caller->fetched_bytes != msg->block2.num * size)
		return;
	g_assert_cmpint(msg->payload[msg->payload_len - 1], ==,
			fill_char_(caller->version));
	caller->fetched_bytes += msg->payload_len;
	if (msg->block2.more)
		send_fetch_(fake, caller, &msg->block2);
	else if (caller->fetched_bytes == fake->body_len)
		caller->fetched_bodies++;
}

static void receive_notification_(fake_t *fake, fake_caller_t *caller,
				  const pl_coap_msg_t *msg)
{
	char text[16] = "";
	unsigned int version = 0;

	if (caller->answered && msg->has_observe &&
	    !observe_newer_(msg->observe, caller->sequence)) {
		caller->stale_count++;
		return;
	}
	memcpy(text, msg->payload,
	       msg->payload_len < sizeof(text) ? msg->payload_len :
						 sizeof(text) - 1);
	g_assert_true(sscanf(text, "v%u", &version) == 1);
	caller->answered = true;
	caller->sequence = msg->observe;
	caller->version = version;
	caller->fresh_count++;
	if (msg->block2.present)
		receive_block_(fake, caller, msg);
}

static void deliver_to_caller_(fake_t *fake, const event_t *event)
{
	fake_caller_t *caller = caller_by_addr_(fake, &event->caller);
	pl_coap_msg_t msg;
	bool mine;

	g_assert_true(pl_coap_parse(parser_, event->body, event->len, &msg) ==
		      PL_OK);
	if (msg.code == PL_COAP_EMPTY || caller->unresponsive)
		return;
	if (msg.token_len == 1 && msg.token[0] == FETCH_TOKEN) {
		receive_block_(fake, caller, &msg);
		return;
	}
	mine = msg.token_len == 1 && msg.token[0] == caller->token &&
	       !caller->closed;
	caller->code = msg.code;
	if (msg.type == PL_COAP_CON) {
		g_assert_true(msg.mid & 0x8000);
		fake_send_empty(fake, caller, mine ? PL_COAP_ACK : PL_COAP_RST,
				msg.mid);
	}
	if (mine && msg.code == PL_COAP_CONTENT)
		receive_notification_(fake, caller, &msg);
}

/* Best-ranked agent except @p self and the sender of @p event, or 0. */
static pl_member_id_t next_ranked_(fake_t *fake, const event_t *event,
				   pl_member_id_t self)
{
	const pl_endpoint_t *ranked[2];
	size_t count = pl_placement_rank(
		pl_routing_service_at(fake->routing, 0), &event->caller,
		PL_RANK_REACHABLE, self, ranked, 2);

	for (size_t i = 0; i < count; i++) {
		if (ranked[i]->agent != event->from)
			return ranked[i]->agent;
	}
	return 0;
}

/* Handles a datagram for a view as the agent core does. */
static void deliver_to_agent_(fake_t *fake, const event_t *event)
{
	fake_agent_t *agent = agent_by_id_(fake, event->to);
	pl_forward_t forward = { .entry = FAKE_ENTRY,
				 .hops = (uint8_t)event->hops };
	pl_view_verdict_t verdict = PL_VIEW_HANDLED;
	pl_member_id_t next = 0;
	pl_coap_msg_t msg;
	event_t *forwarded;

	if (!agent->table || agent->isolated)
		return;
	forward.flow.caller = event->caller;
	forward.flow.service = service_();
	g_assert_true(pl_coap_parse(parser_, event->body, event->len, &msg) ==
		      PL_OK);
	if (msg.code == PL_COAP_EMPTY) {
		verdict = pl_view_ack(agent->table, &forward, &msg, &next);
	} else if (!msg.has_observe) {
		pl_view_serve_block(agent->table, &forward, &msg);
	} else if (msg.observe == 1) {
		verdict =
			pl_view_deregister(agent->table, &forward, &msg, &next);
	} else {
		pl_view_register(agent->table, &forward, &msg);
	}
	if (verdict == PL_VIEW_UNKNOWN && msg.code == PL_COAP_EMPTY)
		next = next_ranked_(fake, event, agent->id);
	if (next == 0 || event->hops == PL_WIRE_HOPS_MAX)
		return;
	forwarded = schedule_event_(fake, EVENT_TO_AGENT, FRAME_DELAY_MS,
				    event->body, event->len);
	forwarded->caller = event->caller;
	forwarded->from = agent->id;
	forwarded->to = next;
	forwarded->hops = event->hops + 1;
}

static void deliver_backend_(fake_t *fake, const event_t *event)
{
	fake_agent_t *agent = agent_by_id_(fake, event->to);
	char body[BODY_MAX];
	pl_backend_reply_t reply = { .status = PL_BACKEND_ANSWERED,
				     .code = PL_COAP_CONTENT,
				     .content_format = 0,
				     .max_age_s = -1,
				     .body = (const uint8_t *)body };

	if (!agent->table || agent->boot != event->boot)
		return;
	reply.body_len =
		(size_t)snprintf(body, sizeof(body), "v%u ", event->version);
	if (fake->body_len > reply.body_len) {
		memset(body + reply.body_len, fill_char_(event->version),
		       sizeof(body) - reply.body_len);
		reply.body_len = fake->body_len;
	}
	pl_view_notify(agent->table, event->subscription, &reply);
}

static void deliver_frame_(fake_t *fake, const event_t *event)
{
	fake_agent_t *from = agent_by_id_(fake, event->from);
	fake_agent_t *to = agent_by_id_(fake, event->to);
	pl_peer_frame_t frame = { .type = event->frame_type,
				  .body = event->body,
				  .body_len = event->len };
	bool failed = event->type == EVENT_FRAME_FAILED;
	fake_agent_t *target = failed ? from : to;

	frame.peer = failed ? to->id : from->id;
	if (target->table && failed) {
		pl_view_frame_failed(target->table, &frame);
	} else if (target->table) {
		pl_view_frame(target->table, &frame);
	} else if (!failed) {
		event_t *notice = schedule_event_(fake, EVENT_FRAME_FAILED,
						  FRAME_DELAY_MS, event->body,
						  event->len);

		notice->from = event->from;
		notice->to = event->to;
		notice->frame_type = event->frame_type;
	}
}

static void deliver_event_(fake_t *fake, const event_t *event)
{
	switch (event->type) {
	case EVENT_FRAME:
	case EVENT_FRAME_FAILED:
		deliver_frame_(fake, event);
		break;
	case EVENT_TO_CALLER:
		deliver_to_caller_(fake, event);
		break;
	case EVENT_TO_AGENT:
		deliver_to_agent_(fake, event);
		break;
	case EVENT_BACKEND:
		deliver_backend_(fake, event);
		break;
	}
}

void fake_run(fake_t *fake, pl_ms_t ms)
{
	pl_ms_t start = pl_timer_service_now(fake->timers);

	for (pl_ms_t now = start; now <= start + ms; now++) {
		event_t *event;

		pl_timer_service_advance(fake->timers, now);
		while ((event = g_queue_peek_head(&fake->events)) &&
		       event->due <= now) {
			g_queue_pop_head(&fake->events);
			deliver_event_(fake, event);
			g_free(event);
		}
	}
}

unsigned int fake_outdated_callers(const fake_t *fake)
{
	unsigned int behind = 0;

	for (unsigned int i = 0; i < fake->caller_count; i++) {
		const fake_caller_t *caller = &fake->callers[i];

		if (!caller->closed &&
		    (!caller->answered ||
		     caller->version != fake->versions[caller->resource]))
			behind++;
	}
	return behind;
}

size_t fake_views(const fake_t *fake)
{
	size_t views = 0;

	for (unsigned int i = 0; i < fake->agent_count; i++) {
		if (fake->agents[i].table)
			views += pl_view_count(fake->agents[i].table);
	}
	return views;
}
