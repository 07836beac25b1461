/**
 * @file
 * Three agents with lost, duplicated and delayed datagrams, restarts, new boot
 * IDs, drains and failing backend servers. Compares the requests that the
 * backend servers ran with the responses that the callers got.
 */
#include "fixture.h"

#include <pimentolift/counter.h>
#include <string.h>

#define CALLERS 6
#define OPERATIONS 4000
#define STEPS 30000
#define TICKETS_FOLLOWED_MAX 4
#define BLOCK 64
#define SZX 2
#define BLOCKS 4
#define ANSWER_BYTES 300
#define GIVE_UP_MS 95000
#define TOKENS_MAX 200

/** One operation of a caller: its requests and their results. */
typedef struct {
	int caller;
	uint8_t method;
	bool upload;
	unsigned int ran;
	bool got_not_run;
	bool got_answer;
	bool got_response;
	uint32_t last_token; /**< operation number * 256 + request number */
	unsigned int tickets_followed; /**< 4.01 responses acted on */
	uint32_t block; /**< current block of the upload */
	test_request_t request;
	uint8_t echo[PL_TICKET_BYTES];
	char payload[BLOCK];
	char path[16];
	uint8_t pdu[PL_COAP_DATAGRAM_MAX];
	size_t len;
	pl_ms_t started_at;
	pl_ms_t resend_at; /**< 0 when nothing is to be retransmitted */
	pl_ms_t timeout_ms;
	GByteArray *body; /**< blocks of the answer received so far */
	uint8_t etag[PL_COAP_ETAG_MAX];
} op_t;

/** A datagram in flight. */
typedef struct {
	pl_ms_t due;
	datagram_t sent;
} packet_t;

typedef struct {
	fixture_t *f;
	GPtrArray *in_flight;
	op_t ops[OPERATIONS];
	int op_count;
	int etag_mismatches; /**< transfers abandoned after an ETag change */
	int complete_answers; /**< answers received with all blocks */
	int current[CALLERS]; /**< index of the current operation, or -1 */
	pl_flow_t flows[CALLERS];
	uint16_t mids[CALLERS];
	bool routing_stale; /**< the routing tables are out of date */
	pl_coap_parser_t *parser;
} simulation_t;

static uint32_t random_below_(simulation_t *sim, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(sim->f->rand, 0, (gint32)limit);
}

static void enqueue_datagram_(simulation_t *sim, const datagram_t *sent)
{
	uint32_t copies = 1;

	if (random_below_(sim, 100) < 6)
		copies = 0;
	else if (random_below_(sim, 100) < 8)
		copies = 2;
	for (; copies > 0; copies--) {
		packet_t *packet = g_new0(packet_t, 1);

		packet->sent = *sent;
		packet->due = sim->f->now + 1 + random_below_(sim, 10);
		if (random_below_(sim, 100) < 10)
			packet->due += random_below_(sim, 6000);
		g_ptr_array_add(sim->in_flight, packet);
	}
}

/*
 * Routes like an entry: by ticket, or else to a fixed agent per caller. One
 * datagram in five goes to a random agent.
 */
static int choose_agent_(simulation_t *sim, const op_t *op, const uint8_t *echo)
{
	pl_member_id_t agent;

	if (random_below_(sim, 100) < 20)
		return (int)random_below_(sim, FIXTURE_AGENTS);
	if (echo && pl_ticket_peek(echo, PL_TICKET_BYTES, &agent))
		return (int)(agent & 0xf);
	return op->caller % FIXTURE_AGENTS;
}

static void transmit_(simulation_t *sim, op_t *op)
{
	datagram_t sent = { .from = -1 };

	sent.to = (pl_member_id_t)choose_agent_(sim, op, op->request.echo) + 1;
	sent.forward.flow = sim->flows[op->caller];
	memcpy(sent.pdu, op->pdu, op->len);
	sent.len = op->len;
	enqueue_datagram_(sim, &sent);
}

static void send_request_(simulation_t *sim, op_t *op)
{
	op->request.long_token = ++op->last_token;
	op->request.mid = ++sim->mids[op->caller];
	op->len = fixture_write(sim->f, &op->request, op->pdu);
	op->timeout_ms = 2000;
	op->resend_at = sim->f->now + op->timeout_ms;
	transmit_(sim, op);
}

static void set_block_(op_t *op)
{
	memset(op->payload, (int)op->block, sizeof(op->payload));
	g_snprintf(op->payload, sizeof(op->payload), "%u",
		   op->last_token / 256);
	op->request.payload = op->payload;
	op->request.payload_len = BLOCK;
	if (!op->upload)
		return;
	op->request.rtag = op->path;
	op->request.block1 = (pl_coap_block_t){ .present = true,
						.more = op->block + 1 < BLOCKS,
						.num = op->block,
						.szx = SZX };
}

static void start_operation_(simulation_t *sim, int caller)
{
	op_t *op = &sim->ops[sim->op_count];

	if (sim->op_count == OPERATIONS)
		return;
	memset(op, 0, sizeof(*op));
	sim->current[caller] = sim->op_count++;
	op->caller = caller;
	op->last_token = (uint32_t)sim->op_count * 256;
	op->method = random_below_(sim, 4) == 0 ? PL_COAP_GET : PL_COAP_POST;
	op->upload = op->method == PL_COAP_POST && random_below_(sim, 3) == 0;
	op->started_at = sim->f->now;
	op->body = g_byte_array_new();
	op->request.code = op->method;
	op->request.path = "permits";
	if (op->method == PL_COAP_GET)
		op->request.path = op->path;
	g_snprintf(op->path, sizeof(op->path), "get/%d", sim->op_count);
	op->request.block2 = (pl_coap_block_t){ .present = true, .szx = SZX };
	set_block_(op);
	send_request_(sim, op);
}

static op_t *find_op_(simulation_t *sim, const pl_coap_msg_t *msg)
{
	uint32_t token;

	if (msg->token_len != sizeof(token))
		return NULL;
	memcpy(&token, msg->token, sizeof(token));
	return &sim->ops[token / 256 - 1];
}

static void answer_text_(uint32_t op, char text[ANSWER_BYTES])
{
	memset(text, 'a' + (int)(op % 26), ANSWER_BYTES);
	g_snprintf(text, ANSWER_BYTES, "%u", op);
}

/* All callers but the first return the Echo option, as libcoap does. */
static void store_echo_(op_t *op, const pl_coap_msg_t *msg)
{
	op->request.echo = NULL;
	if (op->caller == 0 || msg->echo_len == 0)
		return;
	assert_int_equal(msg->echo_len, PL_TICKET_BYTES);
	memcpy(op->echo, msg->echo, PL_TICKET_BYTES);
	op->request.echo = op->echo;
	op->request.echo_len = PL_TICKET_BYTES;
}

/* Handles a block of the answer, and compares it with the expected body. */
static void handle_answer_block_(simulation_t *sim, op_t *op,
				 const pl_coap_msg_t *msg)
{
	char want[ANSWER_BYTES];

	op->got_response = true;
	op->got_answer = true;
	op->resend_at = 0;
	if (msg->block2.num * BLOCK != op->body->len)
		return;
	/*
	 * The blocks belong to different bodies, so the caller abandons the
	 * transfer. This happens only without the Echo option.
	 */
	if (msg->block2.num > 0 &&
	    memcmp(op->etag, msg->etag, sizeof(op->etag)) != 0) {
		sim->etag_mismatches++;
		assert_int_equal(op->caller, 0);
		return;
	}
	assert_int_equal(msg->etag_len, sizeof(op->etag));
	memcpy(op->etag, msg->etag, sizeof(op->etag));
	g_byte_array_append(op->body, msg->payload, (guint)msg->payload_len);
	answer_text_((uint32_t)(op - sim->ops) + 1, want);
	assert_true(op->body->len <= ANSWER_BYTES);
	assert_memory_equal(op->body->data, want, op->body->len);
	if (!msg->block2.more) {
		assert_int_equal(op->body->len, ANSWER_BYTES);
		sim->complete_answers++;
		return;
	}
	store_echo_(op, msg);
	op->request.block1.present = false;
	op->request.block2 = (pl_coap_block_t){ .present = true,
						.num = msg->block2.num + 1,
						.szx = SZX };
	send_request_(sim, op);
}

static void follow_ticket_(simulation_t *sim, op_t *op,
			   const pl_coap_msg_t *msg)
{
	assert_int_equal(msg->echo_len, PL_TICKET_BYTES);
	if (op->tickets_followed++ == TICKETS_FOLLOWED_MAX)
		return;
	memcpy(op->echo, msg->echo, PL_TICKET_BYTES);
	op->request.echo = op->echo;
	op->request.echo_len = PL_TICKET_BYTES;
	send_request_(sim, op);
}

static void handle_reply_(simulation_t *sim, op_t *op, const pl_coap_msg_t *msg)
{
	uint32_t token;
	bool newest;

	memcpy(&token, msg->token, sizeof(token));
	newest = token == op->last_token;
	switch (msg->code) {
	case PL_COAP_UNAUTHORIZED:
		if (newest && !op->got_response)
			follow_ticket_(sim, op, msg);
		break;
	case PL_COAP_CONTINUE:
		if (!newest || op->got_response)
			break;
		assert_true(op->block + 1 < BLOCKS);
		op->block++;
		store_echo_(op, msg);
		set_block_(op);
		send_request_(sim, op);
		break;
	case PL_COAP_CONTENT:
	case PL_COAP_CHANGED:
		handle_answer_block_(sim, op, msg);
		break;
	case PL_COAP_UNAVAILABLE:
	case PL_COAP_INCOMPLETE:
	case PL_COAP_TOO_LARGE:
		if (op->got_answer)
			break;
		op->got_response = true;
		op->got_not_run = true;
		op->resend_at = 0;
		break;
	default:
		assert_int_equal(msg->code, PL_COAP_GATEWAY_TIMEOUT);
		op->got_response = true;
		op->resend_at = 0;
	}
}

static void deliver_to_caller_(simulation_t *sim, const datagram_t *sent)
{
	pl_coap_msg_t msg;
	datagram_t ack = { .from = -1 };
	op_t *op;

	assert_int_equal(pl_coap_parse(sim->parser, sent->pdu, sent->len, &msg),
			 PL_OK);
	op = find_op_(sim, &msg);
	if (!op) {
		/* An empty ACK; the separate response follows. */
		assert_int_equal(msg.code, PL_COAP_EMPTY);
		return;
	}
	assert_true(pl_addr_equal(&sim->flows[op->caller].caller,
				  &sent->forward.flow.caller));
	if (msg.type == PL_COAP_CON) {
		test_request_t request = { .type = PL_COAP_ACK,
					   .mid = msg.mid };

		ack.to = (pl_member_id_t)random_below_(sim, FIXTURE_AGENTS) + 1;
		ack.forward.flow = sent->forward.flow;
		ack.len = fixture_write(sim->f, &request, ack.pdu);
		enqueue_datagram_(sim, &ack);
	}
	handle_reply_(sim, op, &msg);
}

static void deliver_(simulation_t *sim, datagram_t *sent)
{
	if (sent->from < 0) {
		fixture_deliver_flow(sim->f, (int)sent->to - 1,
				     &sent->forward.flow, sent->pdu, sent->len);
	} else if (sent->to != 0) {
		sent->forward.pdu = sent->pdu;
		sent->forward.pdu_len = sent->len;
		pl_agent_datagram(sim->f->nodes[sent->to & 0xf].agent,
				  &sent->forward);
	} else {
		deliver_to_caller_(sim, sent);
	}
}

static void deliver_due_datagrams_(simulation_t *sim)
{
	for (guint i = 0; i < sim->in_flight->len;) {
		packet_t *packet = sim->in_flight->pdata[i];

		if (packet->due > sim->f->now) {
			i++;
			continue;
		}
		g_ptr_array_steal_index_fast(sim->in_flight, i);
		deliver_(sim, &packet->sent);
		g_free(packet);
	}
	while (sim->f->sent->len > 0) {
		datagram_t *sent = g_ptr_array_steal_index(sim->f->sent, 0);

		enqueue_datagram_(sim, sent);
		g_free(sent);
	}
}

/* Ends a call at random as answered, refused, or lost with or without a run. */
static void end_call_(simulation_t *sim, backend_call_t *call)
{
	const char *name = call->method == PL_COAP_GET ?
				   call->path + strlen("get/") :
				   g_bytes_get_data(call->body, NULL);
	uint32_t number = (uint32_t)g_ascii_strtoull(name, NULL, 10);
	op_t *op = &sim->ops[number - 1];
	char text[ANSWER_BYTES];
	uint32_t outcome = random_below_(sim, 100);

	if (op->upload)
		assert_int_equal(g_bytes_get_size(call->body), BLOCKS * BLOCK);
	answer_text_(number, text);
	if (outcome < 5) {
		fixture_end_call(sim->f, call, PL_BACKEND_REFUSED, NULL, 0);
		return;
	}
	if (outcome < 90 || outcome % 2 == 0)
		op->ran++;
	fixture_end_call(sim->f, call,
			 outcome < 90 ? PL_BACKEND_ANSWERED : PL_BACKEND_LOST,
			 text, sizeof(text));
}

static void run_backend_servers_(simulation_t *sim)
{
	for (guint i = 0; i < sim->f->calls->len; i++) {
		backend_call_t *call = sim->f->calls->pdata[i];

		if (!call->ended && random_below_(sim, 8) == 0)
			end_call_(sim, call);
	}
	for (guint i = sim->f->calls->len; i > 0; i--) {
		backend_call_t *call = sim->f->calls->pdata[i - 1];

		if (call->ended)
			g_ptr_array_remove_index(sim->f->calls, i - 1);
	}
}

/* Retransmits the datagram, or in one of four cases sends a new request. */
static void resend_(simulation_t *sim, op_t *op)
{
	pl_ms_t timeout_ms = op->timeout_ms * 2;

	if (random_below_(sim, 4) == 0 && op->last_token % 256 < TOKENS_MAX)
		send_request_(sim, op);
	else
		transmit_(sim, op);
	op->timeout_ms = timeout_ms;
	op->resend_at = sim->f->now + timeout_ms;
}

static void drive_callers_(simulation_t *sim, bool start)
{
	for (int i = 0; i < CALLERS; i++) {
		op_t *op =
			sim->current[i] < 0 ? NULL : &sim->ops[sim->current[i]];

		if (op && op->resend_at != 0 && op->resend_at <= sim->f->now) {
			resend_(sim, op);
		}
		if (!op || (op->got_response && op->resend_at == 0) ||
		    sim->f->now > op->started_at + GIVE_UP_MS) {
			if (op)
				op->resend_at = 0;
			sim->current[i] = -1;
			if (start)
				start_operation_(sim, i);
		}
	}
}

/* Injects a random fault or recovery at a random agent. */
static void inject_fault_(simulation_t *sim)
{
	int index = (int)random_below_(sim, FIXTURE_AGENTS);
	node_t *node = &sim->f->nodes[index];
	pl_service_id_t service = pl_service_id("permits");
	uint64_t boot = g_rand_int(sim->f->rand) + 1000ULL;

	switch (random_below_(sim, 7)) {
	case 0:
		fixture_restart(sim->f, index, boot);
		break;
	case 1:
		pl_agent_rejoin(node->agent, boot);
		node->boot = boot;
		break;
	case 2:
		pl_agent_drain(node->agent);
		node->state = PL_ENDPOINT_DRAINING;
		break;
	case 3:
		pl_agent_set_backend(node->agent, 0, 0);
		break;
	case 4:
		pl_agent_set_backend(node->agent, pl_service_id("meters"), 2);
		break;
	default:
		pl_agent_set_backend(node->agent, service, 2);
	}
	sim->routing_stale = true;
}

static void restart_drained_agents_(simulation_t *sim)
{
	for (int i = 0; i < FIXTURE_AGENTS; i++) {
		if (!pl_agent_drained(sim->f->nodes[i].agent))
			continue;
		fixture_restart(sim->f, i, g_rand_int(sim->f->rand) + 1000ULL);
		sim->routing_stale = true;
	}
}

static void step_(simulation_t *sim, bool busy)
{
	fixture_advance(sim->f, 1 + random_below_(sim, 25));
	deliver_due_datagrams_(sim);
	run_backend_servers_(sim);
	drive_callers_(sim, busy);
	if (busy && random_below_(sim, 400) == 0)
		inject_fault_(sim);
	if (random_below_(sim, 40) == 0)
		restart_drained_agents_(sim);
	if (sim->routing_stale && random_below_(sim, 60) == 0) {
		fixture_publish_routing(sim->f);
		sim->routing_stale = false;
	}
}

/*
 * Checks each operation: no POST ran twice, none that ran was reported as "not
 * run", and none was answered without a run. Returns the number of answered
 * operations.
 */
static int check_operations_(const simulation_t *sim, uint32_t seed)
{
	int answered = 0;

	for (int i = 0; i < sim->op_count; i++) {
		const op_t *op = &sim->ops[i];
		bool once = op->method == PL_COAP_GET || op->ran <= 1;
		bool not_run_is_true = op->method == PL_COAP_GET ||
				       !op->got_not_run || op->ran == 0;

		if (!once || !not_run_is_true ||
		    (op->got_answer && op->ran == 0))
			fail_msg("seed %u operation %d: ran %u, not run %d, "
				 "answered %d, upload %d",
				 seed, i + 1, op->ran, op->got_not_run,
				 op->got_answer, op->upload);
		answered += op->got_answer;
	}
	return answered;
}

/* Operations over all seeds. */
static int total_operations_;
/* Answered operations over all seeds. */
static int total_answered_;

static void run_simulation_(uint32_t seed)
{
	simulation_t *sim = g_new0(simulation_t, 1);
	int answered;

	sim->f = fixture_new(FIXTURE_AGENTS, seed);
	sim->f->auto_forward = false;
	sim->in_flight = g_ptr_array_new_with_free_func(g_free);
	sim->parser = pl_coap_parser_new();
	for (int i = 0; i < CALLERS; i++) {
		sim->current[i] = -1;
		sim->flows[i].caller = sim->f->caller;
		sim->flows[i].caller.port = (uint16_t)(50000 + i);
	}
	for (int i = 0; i < STEPS; i++)
		step_(sim, true);
	for (int i = 0; i < STEPS / 3; i++)
		step_(sim, false);
	answered = check_operations_(sim, seed);
	print_message("seed %u: %d operations, %d answered, %d whole, %d "
		      "mixed\n",
		      seed, sim->op_count, answered, sim->complete_answers,
		      sim->etag_mismatches);
	total_operations_ += sim->op_count;
	total_answered_ += answered;
	for (int i = 0; i < sim->op_count; i++)
		g_byte_array_free(sim->ops[i].body, TRUE);
	g_ptr_array_free(sim->in_flight, TRUE);
	pl_coap_parser_delete(sim->parser);
	fixture_delete(sim->f);
	g_free(sim);
}

/* Seeds to run; the arguments set the first and, optionally, the last. */
static uint32_t first_seed_ = 1;
static uint32_t last_seed_ = 6;

static void responses_match_executions(void **state)
{
	(void)state;
	for (uint32_t seed = first_seed_; seed <= last_seed_; seed++)
		run_simulation_(seed);
	/* Despite the faults, most operations get an answer. */
	assert_true(total_answered_ > total_operations_ / 2);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(responses_match_executions),
	};

	if (argc > 1) {
		first_seed_ = (uint32_t)g_ascii_strtoull(argv[1], NULL, 10);
		last_seed_ = argc > 2 ? (uint32_t)g_ascii_strtoull(argv[2],
								   NULL, 10) :
					first_seed_;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
