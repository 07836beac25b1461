#include "fixture.h"

#include <pimentolift/counter.h>
#include <string.h>

#define SERVICE "permits"
#define ENTRY 0x0a00000100001000ULL

static node_t *node_by_id_(fixture_t *fixture, pl_member_id_t id)
{
	for (int i = 0; i < fixture->node_count; i++) {
		if (fixture->nodes[i].id == id)
			return &fixture->nodes[i];
	}
	return NULL;
}

static void reply_(void *ctx, pl_member_id_t entry, const pl_flow_t *flow,
		   uint32_t load, const uint8_t *pdu, size_t pdu_len)
{
	node_t *node = ctx;
	datagram_t *sent = g_new0(datagram_t, 1);

	assert_int_equal(entry, ENTRY);
	assert_true(pdu_len > 0 && pdu_len <= sizeof(sent->pdu));
	sent->from = node->index;
	sent->forward.flow = *flow;
	memcpy(sent->pdu, pdu, pdu_len);
	sent->len = pdu_len;
	g_ptr_array_add(node->fixture->sent, sent);
}

static void forward_(void *ctx, pl_member_id_t agent,
		     const pl_forward_t *forward)
{
	node_t *node = ctx;
	node_t *to = node_by_id_(node->fixture, agent);
	datagram_t *sent;

	assert_true(forward->hops <= PL_WIRE_HOPS_MAX);
	assert_true(forward->origin == node->id);
	node->fixture->forward_count++;
	if (node->fixture->auto_forward) {
		uint8_t pdu[PL_COAP_DATAGRAM_MAX];
		pl_forward_t copy = *forward;

		memcpy(pdu, forward->pdu, forward->pdu_len);
		copy.pdu = pdu;
		if (to && to->agent)
			pl_agent_datagram(to->agent, &copy);
		return;
	}
	sent = g_new0(datagram_t, 1);
	sent->from = node->index;
	sent->to = agent;
	sent->forward = *forward;
	memcpy(sent->pdu, forward->pdu, forward->pdu_len);
	sent->len = forward->pdu_len;
	g_ptr_array_add(node->fixture->sent, sent);
}

static void dispatch_(void *ctx, uint64_t request_id,
		      const pl_backend_request_t *request)
{
	node_t *node = ctx;
	backend_call_t *call = g_new0(backend_call_t, 1);

	call->agent = node->index;
	call->generation = node->generation;
	call->id = request_id;
	call->method = request->method;
	call->path = g_strdup(request->path);
	call->body = g_bytes_new(request->body, request->body_len);
	g_ptr_array_add(node->fixture->calls, call);
}

static void cancel_(void *ctx, uint64_t request_id)
{
	node_t *node = ctx;

	for (guint i = 0; i < node->fixture->calls->len; i++) {
		backend_call_t *call = node->fixture->calls->pdata[i];

		if (call->agent == node->index && call->id == request_id)
			call->cancelled = true;
	}
}

static void subscribe_(void *ctx, uint64_t subscription_id, const char *path,
		       const char *query)
{
}

static void unsubscribe_(void *ctx, uint64_t subscription_id)
{
}

static void send_frame_(void *ctx, const pl_peer_frame_t *frame)
{
}

static uint64_t random_(void *ctx)
{
	node_t *node = ctx;

	return (uint64_t)g_rand_int(node->fixture->rand) << 32 |
	       g_rand_int(node->fixture->rand);
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

static void free_call_(gpointer data)
{
	backend_call_t *call = data;

	g_free(call->path);
	g_bytes_unref(call->body);
	g_free(call);
}

static void start_node_(fixture_t *fixture, int index, uint64_t boot)
{
	node_t *node = &fixture->nodes[index];
	pl_agent_params_t params = {
		.slots = 2,
		.unix_time_s = 1000000,
		.memory_max = 4 * 1024 * 1024,
	};

	node->fixture = fixture;
	node->index = index;
	node->id = 0x0a00000200001000ULL + (uint64_t)index;
	node->boot = boot;
	node->generation++;
	node->state = PL_ENDPOINT_SERVING;
	params.self = node->id;
	params.boot = node->boot;
	pl_key_derive("a secret of the test fleet", "test", PL_KEY_TICKET,
		      &params.ticket_key);
	node->agent = pl_agent_new(&params, &ops_, node, fixture->timers);
	pl_agent_set_backend(node->agent, pl_service_id(SERVICE), params.slots);
}

fixture_t *fixture_new(int count, uint32_t seed)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	assert_true(count <= FIXTURE_AGENTS);
	fixture->now = 1000;
	fixture->timers = pl_timer_service_new(fixture->now);
	fixture->rand = g_rand_new_with_seed(seed);
	fixture->sent = g_ptr_array_new_with_free_func(g_free);
	fixture->calls = g_ptr_array_new_with_free_func(free_call_);
	fixture->parser = pl_coap_parser_new();
	fixture->node_count = count;
	fixture->auto_forward = true;
	fixture->policy = (pl_service_policy_t){
		.deadline_ms = 4000,
		.short_slots = 1,
		.queue_max = 16,
		.upload_max_bytes = 300000,
		.retry_percent = 100,
		.answer_keep_ms = 200000,
	};
	pl_addr_parse("192.0.2.7:40000", &fixture->caller, NULL);
	for (int i = 0; i < count; i++)
		start_node_(fixture, i, 100 + (uint64_t)i);
	fixture_publish_routing(fixture);
	return fixture;
}

void fixture_delete(fixture_t *fixture)
{
	assert_int_equal(pl_counter_get(PL_COUNTER_INVARIANT_BROKEN), 0);
	for (int i = 0; i < fixture->node_count; i++)
		pl_agent_delete(fixture->nodes[i].agent);
	pl_routing_put(fixture->routing);
	pl_timer_service_delete(fixture->timers);
	pl_coap_parser_delete(fixture->parser);
	g_rand_free(fixture->rand);
	g_ptr_array_free(fixture->sent, TRUE);
	g_ptr_array_free(fixture->calls, TRUE);
	g_free(fixture);
}

void fixture_publish_routing(fixture_t *fixture)
{
	pl_routing_builder_t *builder = pl_routing_builder_new(1);
	pl_routing_t *routing;

	pl_routing_builder_service(builder, SERVICE, &fixture->policy);
	for (int i = 0; i < fixture->node_count; i++) {
		pl_endpoint_t endpoint = {
			.agent = fixture->nodes[i].id,
			.boot = fixture->nodes[i].boot,
			.service = pl_service_id(SERVICE),
			.datacentre = 1,
			.state = fixture->nodes[i].state,
			.weight = PL_WEIGHT_FULL,
			.slots = 2,
		};

		if (fixture->nodes[i].id != 0)
			pl_routing_builder_endpoint(builder, &endpoint);
	}
	routing = pl_routing_builder_finish(builder);
	for (int i = 0; i < fixture->node_count; i++) {
		if (fixture->nodes[i].agent)
			pl_agent_set_routing(fixture->nodes[i].agent, routing);
	}
	if (fixture->routing)
		pl_routing_put(fixture->routing);
	fixture->routing = routing;
}

void fixture_advance(fixture_t *fixture, pl_ms_t by_ms)
{
	fixture->now += by_ms;
	pl_timer_service_advance(fixture->timers, fixture->now);
}

void fixture_deliver_flow(fixture_t *fixture, int to, const pl_flow_t *flow,
			  const uint8_t *pdu, size_t len)
{
	pl_forward_t forward = {
		.flow = *flow,
		.entry = ENTRY,
		.pdu = pdu,
		.pdu_len = len,
	};

	forward.flow.service = pl_service_id(SERVICE);
	pl_addr_parse("198.51.100.1:5683", &forward.flow.address, NULL);
	pl_agent_datagram(fixture->nodes[to].agent, &forward);
}

void fixture_deliver(fixture_t *fixture, int to, const uint8_t *pdu, size_t len)
{
	pl_flow_t flow = { .caller = fixture->caller };

	fixture_deliver_flow(fixture, to, &flow, pdu, len);
}

void fixture_restart(fixture_t *fixture, int index, uint64_t boot)
{
	pl_agent_delete(fixture->nodes[index].agent);
	start_node_(fixture, index, boot);
}

size_t fixture_write(fixture_t *fixture, const test_request_t *request,
		     uint8_t *buf)
{
	pl_coap_writer_t writer;
	uint16_t mid = request->mid ? (uint16_t)request->mid : ++fixture->mid;
	size_t len = request->payload_len;
	size_t token_len = request->long_token ? 4 : 1;

	if (!pl_coap_is_request(request->code))
		token_len = 0;
	pl_coap_write_start(&writer, buf, PL_COAP_DATAGRAM_MAX, request->type,
			    request->code, mid,
			    request->long_token ?
				    (const void *)&request->long_token :
				    &request->token,
			    token_len);
	if (request->observe)
		pl_coap_write_uint(&writer, PL_COAP_OPT_OBSERVE,
				   (uint32_t)request->observe - 1);
	if (request->path)
		pl_coap_write_segments(&writer, PL_COAP_OPT_URI_PATH,
				       request->path, '/');
	if (request->block2.present)
		pl_coap_write_block(&writer, PL_COAP_OPT_BLOCK2,
				    &request->block2);
	if (request->block1.present)
		pl_coap_write_block(&writer, PL_COAP_OPT_BLOCK1,
				    &request->block1);
	if (request->echo)
		pl_coap_write_option(&writer, PL_COAP_OPT_ECHO, request->echo,
				     request->echo_len);
	if (request->rtag)
		pl_coap_write_option(&writer, PL_COAP_OPT_REQUEST_TAG,
				     request->rtag, strlen(request->rtag));
	if (request->payload && len == 0)
		len = strlen(request->payload);
	if (len > 0)
		pl_coap_write_payload(&writer, request->payload, len);
	return pl_coap_write_end(&writer);
}

void fixture_send(fixture_t *fixture, int to, const test_request_t *request)
{
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	size_t len = fixture_write(fixture, request, buf);

	assert_true(len > 0);
	fixture_deliver(fixture, to, buf, len);
}

bool fixture_take_reply(fixture_t *fixture, pl_coap_msg_t *msg)
{
	static datagram_t taken;

	if (fixture->sent->len == 0)
		return false;
	taken = *(datagram_t *)fixture->sent->pdata[0];
	g_ptr_array_remove_index(fixture->sent, 0);
	assert_int_equal(taken.to, 0);
	assert_int_equal(
		pl_coap_parse(fixture->parser, taken.pdu, taken.len, msg),
		PL_OK);
	return true;
}

void fixture_expect_reply(fixture_t *fixture, uint8_t code, pl_coap_msg_t *msg)
{
	memset(msg, 0, sizeof(*msg));
	assert_int_equal(fixture->sent->len, 1);
	assert_true(fixture_take_reply(fixture, msg));
	assert_int_equal(msg->code, code);
}

size_t fixture_call_count(const fixture_t *fixture)
{
	return fixture->calls->len;
}

void fixture_end_call(fixture_t *fixture, backend_call_t *call,
		      pl_backend_status_t status, const char *body,
		      size_t body_len)
{
	node_t *node = &fixture->nodes[call->agent];
	pl_backend_reply_t reply = {
		.status = status,
		.code = call->method == PL_COAP_GET ? PL_COAP_CONTENT :
						      PL_COAP_CHANGED,
		.content_format = -1,
		.max_age_s = -1,
		.body = (const uint8_t *)body,
		.body_len = body_len,
	};

	assert_false(call->ended);
	call->ended = true;
	if (call->generation == node->generation)
		pl_agent_backend_reply(node->agent, call->id, &reply);
}

void fixture_end_call_at(fixture_t *fixture, size_t index,
			 pl_backend_status_t status, const char *body,
			 size_t body_len)
{
	fixture_end_call(fixture, fixture->calls->pdata[index], status, body,
			 body_len);
}

void fixture_send_with_ticket(fixture_t *fixture, int to,
			      test_request_t *request,
			      uint8_t echo[PL_TICKET_BYTES])
{
	pl_coap_msg_t msg;

	fixture_send(fixture, to, request);
	fixture_expect_reply(fixture, PL_COAP_UNAUTHORIZED, &msg);
	assert_int_equal(msg.echo_len, PL_TICKET_BYTES);
	if (msg.echo)
		memcpy(echo, msg.echo, PL_TICKET_BYTES);
	request->token++;
	request->mid = 0;
	request->echo = echo;
	request->echo_len = PL_TICKET_BYTES;
	fixture_send(fixture, to, request);
}
