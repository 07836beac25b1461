/**
 * @file
 * Three agents under lost, doubled and late datagrams, restarts, new lives,
 * drains and failing backend servers. What the backend servers ran is
 * compared with what the callers were told.
 */
#include "fixture.h"

#include <pimentolift/counter.h>
#include <string.h>

#define CALLERS 6
#define OPERATIONS 4000
#define STEPS 30000
#define FOLLOWED_MAX 4
#define BLOCK 64
#define SZX 2
#define BLOCKS 4
#define ANSWER_BYTES 300
#define GIVE_UP_MS 95000
#define TOKENS_MAX 200

/** One operation of a caller: its requests and what came of them. */
typedef struct {
	int caller;
	uint8_t method;
	bool upload;
	unsigned int ran;
	bool told_not_run;
	bool told_answer;
	bool told_any;
	uint32_t last_token; /**< tokens are op * 256 + n */
	unsigned int followed; /**< Echo values */
	uint32_t block; /**< of the upload */
	ask_t ask;
	uint8_t echo[PL_TICKET_BYTES];
	char payload[BLOCK];
	char path[16];
	uint8_t pdu[PL_COAP_DATAGRAM_MAX];
	size_t len;
	pl_ms_t started_at;
	pl_ms_t resend_at; /**< 0 when nothing is to be sent again */
	pl_ms_t timeout_ms;
	GByteArray *body; /**< of the answer */
	uint8_t etag[PL_COAP_ETAG_MAX];
} op_t;

/** A datagram on its way. */
typedef struct {
	pl_ms_t due;
	sent_t sent;
} packet_t;

typedef struct {
	fixture_t *f;
	GPtrArray *net;
	op_t ops[OPERATIONS];
	int op_count;
	int mixed; /**< answers given up because of their ETag */
	int whole; /**< answers that arrived whole */
	int current[CALLERS]; /**< index of the operation, or -1 */
	pl_flow_t flows[CALLERS];
	uint16_t mids[CALLERS];
	bool stale; /**< the routing tables are out of date */
	pl_coap_parser_t *parser;
} world_t;

static uint32_t below_(world_t *w, uint32_t limit)
{
	return (uint32_t)g_rand_int_range(w->f->rand, 0, (gint32)limit);
}

static void post_(world_t *w, const sent_t *sent)
{
	uint32_t copies = 1;

	if (below_(w, 100) < 6)
		copies = 0;
	else if (below_(w, 100) < 8)
		copies = 2;
	for (; copies > 0; copies--) {
		packet_t *packet = g_new0(packet_t, 1);

		packet->sent = *sent;
		packet->due = w->f->now + 1 + below_(w, 10);
		if (below_(w, 100) < 10)
			packet->due += below_(w, 6000);
		g_ptr_array_add(w->net, packet);
	}
}

/* An entry: by ticket, or mostly by the caller's home. */
static int route_(world_t *w, const op_t *op, const uint8_t *echo)
{
	pl_member_id_t agent;

	if (below_(w, 100) < 20)
		return (int)below_(w, FIXTURE_AGENTS);
	if (echo && pl_ticket_peek(echo, PL_TICKET_BYTES, &agent))
		return (int)(agent & 0xf);
	return op->caller % FIXTURE_AGENTS;
}

static void transmit_(world_t *w, op_t *op)
{
	sent_t sent = { .from = -1 };

	sent.to = (pl_member_id_t)route_(w, op, op->ask.echo) + 1;
	sent.forward.flow = w->flows[op->caller];
	memcpy(sent.pdu, op->pdu, op->len);
	sent.len = op->len;
	post_(w, &sent);
}

static void send_request_(world_t *w, op_t *op)
{
	op->ask.long_token = ++op->last_token;
	op->ask.mid = ++w->mids[op->caller];
	op->len = fixture_write(w->f, &op->ask, op->pdu);
	op->timeout_ms = 2000;
	op->resend_at = w->f->now + op->timeout_ms;
	transmit_(w, op);
}

static void set_block_(op_t *op)
{
	memset(op->payload, (int)op->block, sizeof(op->payload));
	g_snprintf(op->payload, sizeof(op->payload), "%u",
		   op->last_token / 256);
	op->ask.payload = op->payload;
	op->ask.payload_len = BLOCK;
	if (!op->upload)
		return;
	op->ask.rtag = op->path;
	op->ask.block1 = (pl_coap_block_t){ .present = true,
					    .more = op->block + 1 < BLOCKS,
					    .num = op->block,
					    .szx = SZX };
}

static void start_(world_t *w, int caller)
{
	op_t *op = &w->ops[w->op_count];

	if (w->op_count == OPERATIONS)
		return;
	memset(op, 0, sizeof(*op));
	w->current[caller] = w->op_count++;
	op->caller = caller;
	op->last_token = (uint32_t)w->op_count * 256;
	op->method = below_(w, 4) == 0 ? PL_COAP_GET : PL_COAP_POST;
	op->upload = op->method == PL_COAP_POST && below_(w, 3) == 0;
	op->started_at = w->f->now;
	op->body = g_byte_array_new();
	op->ask.code = op->method;
	op->ask.path = "permits";
	if (op->method == PL_COAP_GET)
		op->ask.path = op->path;
	g_snprintf(op->path, sizeof(op->path), "get/%d", w->op_count);
	op->ask.block2 = (pl_coap_block_t){ .present = true, .szx = SZX };
	set_block_(op);
	send_request_(w, op);
}

static op_t *op_of_(world_t *w, const pl_coap_msg_t *msg)
{
	uint32_t token;

	if (msg->token_len != sizeof(token))
		return NULL;
	memcpy(&token, msg->token, sizeof(token));
	return &w->ops[token / 256 - 1];
}

static void answer_text_(uint32_t op, char text[ANSWER_BYTES])
{
	memset(text, 'a' + (int)(op % 26), ANSWER_BYTES);
	g_snprintf(text, ANSWER_BYTES, "%u", op);
}

/* Most callers return the Echo of a response, as libcoap does. */
static void keep_echo_(op_t *op, const pl_coap_msg_t *msg)
{
	op->ask.echo = NULL;
	if (op->caller == 0 || msg->echo_len == 0)
		return;
	assert_int_equal(msg->echo_len, PL_TICKET_BYTES);
	memcpy(op->echo, msg->echo, PL_TICKET_BYTES);
	op->ask.echo = op->echo;
	op->ask.echo_len = PL_TICKET_BYTES;
}

/* A block of the answer; the whole must be that of this operation. */
static void take_answer_(world_t *w, op_t *op, const pl_coap_msg_t *msg)
{
	char want[ANSWER_BYTES];

	op->told_any = true;
	op->told_answer = true;
	op->resend_at = 0;
	if (msg->block2.num * BLOCK != op->body->len)
		return;
	/* the blocks are not of one body: the caller gives up */
	if (msg->block2.num > 0 &&
	    memcmp(op->etag, msg->etag, sizeof(op->etag)) != 0) {
		w->mixed++;
		assert_int_equal(op->caller, 0);
		return;
	}
	assert_int_equal(msg->etag_len, sizeof(op->etag));
	memcpy(op->etag, msg->etag, sizeof(op->etag));
	g_byte_array_append(op->body, msg->payload, (guint)msg->payload_len);
	answer_text_((uint32_t)(op - w->ops) + 1, want);
	assert_true(op->body->len <= ANSWER_BYTES);
	assert_memory_equal(op->body->data, want, op->body->len);
	if (!msg->block2.more) {
		assert_int_equal(op->body->len, ANSWER_BYTES);
		w->whole++;
		return;
	}
	keep_echo_(op, msg);
	op->ask.block1.present = false;
	op->ask.block2 = (pl_coap_block_t){ .present = true,
					    .num = msg->block2.num + 1,
					    .szx = SZX };
	send_request_(w, op);
}

static void follow_ticket_(world_t *w, op_t *op, const pl_coap_msg_t *msg)
{
	assert_int_equal(msg->echo_len, PL_TICKET_BYTES);
	if (op->followed++ == FOLLOWED_MAX)
		return;
	memcpy(op->echo, msg->echo, PL_TICKET_BYTES);
	op->ask.echo = op->echo;
	op->ask.echo_len = PL_TICKET_BYTES;
	send_request_(w, op);
}

static void take_reply_(world_t *w, op_t *op, const pl_coap_msg_t *msg)
{
	uint32_t token;
	bool newest;

	memcpy(&token, msg->token, sizeof(token));
	newest = token == op->last_token;
	switch (msg->code) {
	case PL_COAP_UNAUTHORIZED:
		if (newest && !op->told_any)
			follow_ticket_(w, op, msg);
		break;
	case PL_COAP_CONTINUE:
		if (!newest || op->told_any)
			break;
		assert_true(op->block + 1 < BLOCKS);
		op->block++;
		keep_echo_(op, msg);
		set_block_(op);
		send_request_(w, op);
		break;
	case PL_COAP_CONTENT:
	case PL_COAP_CHANGED:
		take_answer_(w, op, msg);
		break;
	case PL_COAP_UNAVAILABLE:
	case PL_COAP_INCOMPLETE:
	case PL_COAP_TOO_LARGE:
		if (op->told_answer)
			break;
		op->told_any = true;
		op->told_not_run = true;
		op->resend_at = 0;
		break;
	default:
		assert_int_equal(msg->code, PL_COAP_GATEWAY_TIMEOUT);
		op->told_any = true;
		op->resend_at = 0;
	}
}

static void caller_receives_(world_t *w, const sent_t *sent)
{
	pl_coap_msg_t msg;
	sent_t ack = { .from = -1 };
	op_t *op;

	assert_int_equal(pl_coap_parse(w->parser, sent->pdu, sent->len, &msg),
			 PL_OK);
	op = op_of_(w, &msg);
	if (!op) {
		/* an empty ACK: the answer will come by itself */
		assert_int_equal(msg.code, PL_COAP_EMPTY);
		return;
	}
	assert_true(pl_addr_equal(&w->flows[op->caller].caller,
				  &sent->forward.flow.caller));
	if (msg.type == PL_COAP_CON) {
		ask_t ask = { .type = PL_COAP_ACK, .mid = msg.mid };

		ack.to = (pl_member_id_t)below_(w, FIXTURE_AGENTS) + 1;
		ack.forward.flow = sent->forward.flow;
		ack.len = fixture_write(w->f, &ask, ack.pdu);
		post_(w, &ack);
	}
	take_reply_(w, op, &msg);
}

static void deliver_(world_t *w, sent_t *sent)
{
	if (sent->from < 0) {
		fixture_deliver_flow(w->f, (int)sent->to - 1,
				     &sent->forward.flow, sent->pdu, sent->len);
	} else if (sent->to != 0) {
		sent->forward.pdu = sent->pdu;
		sent->forward.pdu_len = sent->len;
		pl_agent_datagram(w->f->nodes[sent->to & 0xf].agent,
				  &sent->forward);
	} else {
		caller_receives_(w, sent);
	}
}

static void move_datagrams_(world_t *w)
{
	for (guint i = 0; i < w->net->len;) {
		packet_t *packet = w->net->pdata[i];

		if (packet->due > w->f->now) {
			i++;
			continue;
		}
		g_ptr_array_steal_index_fast(w->net, i);
		deliver_(w, &packet->sent);
		g_free(packet);
	}
	while (w->f->sent->len > 0) {
		sent_t *sent = g_ptr_array_steal_index(w->f->sent, 0);

		post_(w, sent);
		g_free(sent);
	}
}

/* The backend server ends a call; only it knows whether it ran. */
static void end_call_(world_t *w, backend_call_t *call)
{
	const char *name = call->method == PL_COAP_GET ?
				   call->path + strlen("get/") :
				   g_bytes_get_data(call->body, NULL);
	uint32_t number = (uint32_t)g_ascii_strtoull(name, NULL, 10);
	op_t *op = &w->ops[number - 1];
	char text[ANSWER_BYTES];
	uint32_t fate = below_(w, 100);

	if (op->upload)
		assert_int_equal(g_bytes_get_size(call->body), BLOCKS * BLOCK);
	answer_text_(number, text);
	if (fate < 5) {
		fixture_end_call(w->f, call, PL_BACKEND_REFUSED, NULL, 0);
		return;
	}
	if (fate < 90 || fate % 2 == 0)
		op->ran++;
	fixture_end_call(w->f, call,
			 fate < 90 ? PL_BACKEND_ANSWERED : PL_BACKEND_LOST,
			 text, sizeof(text));
}

static void work_(world_t *w)
{
	for (guint i = 0; i < w->f->calls->len; i++) {
		backend_call_t *call = w->f->calls->pdata[i];

		if (!call->ended && below_(w, 8) == 0)
			end_call_(w, call);
	}
	for (guint i = w->f->calls->len; i > 0; i--) {
		backend_call_t *call = w->f->calls->pdata[i - 1];

		if (call->ended)
			g_ptr_array_remove_index(w->f->calls, i - 1);
	}
}

/* Mostly the same datagram again, at times under a new message ID. */
static void resend_(world_t *w, op_t *op)
{
	pl_ms_t timeout_ms = op->timeout_ms * 2;

	if (below_(w, 4) == 0 && op->last_token % 256 < TOKENS_MAX)
		send_request_(w, op);
	else
		transmit_(w, op);
	op->timeout_ms = timeout_ms;
	op->resend_at = w->f->now + timeout_ms;
}

static void drive_callers_(world_t *w, bool start)
{
	for (int i = 0; i < CALLERS; i++) {
		op_t *op = w->current[i] < 0 ? NULL : &w->ops[w->current[i]];

		if (op && op->resend_at != 0 && op->resend_at <= w->f->now) {
			resend_(w, op);
		}
		if (!op || (op->told_any && op->resend_at == 0) ||
		    w->f->now > op->started_at + GIVE_UP_MS) {
			if (op)
				op->resend_at = 0;
			w->current[i] = -1;
			if (start)
				start_(w, i);
		}
	}
}

/* One of the things that may happen to an agent. */
static void fault_(world_t *w)
{
	int index = (int)below_(w, FIXTURE_AGENTS);
	node_t *node = &w->f->nodes[index];
	pl_service_id_t service = pl_service_id("permits");
	uint64_t boot = g_rand_int(w->f->rand) + 1000ULL;

	switch (below_(w, 7)) {
	case 0:
		fixture_restart(w->f, index, boot);
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
	w->stale = true;
}

static void finish_drains_(world_t *w)
{
	for (int i = 0; i < FIXTURE_AGENTS; i++) {
		if (!pl_agent_drained(w->f->nodes[i].agent))
			continue;
		fixture_restart(w->f, i, g_rand_int(w->f->rand) + 1000ULL);
		w->stale = true;
	}
}

static void step_(world_t *w, bool busy)
{
	fixture_advance(w->f, 1 + below_(w, 25));
	move_datagrams_(w);
	work_(w);
	drive_callers_(w, busy);
	if (busy && below_(w, 400) == 0)
		fault_(w);
	if (below_(w, 40) == 0)
		finish_drains_(w);
	if (w->stale && below_(w, 60) == 0) {
		fixture_route(w->f);
		w->stale = false;
	}
}

/* Compares what ran with what was told; returns the answered ones. */
static int judge_(const world_t *w, uint32_t seed)
{
	int answered = 0;

	for (int i = 0; i < w->op_count; i++) {
		const op_t *op = &w->ops[i];
		bool once = op->method == PL_COAP_GET || op->ran <= 1;
		bool told_truly = op->method == PL_COAP_GET ||
				  !op->told_not_run || op->ran == 0;

		if (!once || !told_truly || (op->told_answer && op->ran == 0))
			fail_msg("seed %u operation %d: ran %u, not run %d, "
				 "answered %d, upload %d",
				 seed, i + 1, op->ran, op->told_not_run,
				 op->told_answer, op->upload);
		answered += op->told_answer;
	}
	return answered;
}

/* Operations of all seeds, and those that were answered. */
static int all_;
static int all_answered_;

static void run_(uint32_t seed)
{
	world_t *w = g_new0(world_t, 1);
	int answered;

	w->f = fixture_new(FIXTURE_AGENTS, seed);
	w->f->auto_forward = false;
	w->net = g_ptr_array_new_with_free_func(g_free);
	w->parser = pl_coap_parser_new();
	for (int i = 0; i < CALLERS; i++) {
		w->current[i] = -1;
		w->flows[i].caller = w->f->caller;
		w->flows[i].caller.port = (uint16_t)(50000 + i);
	}
	for (int i = 0; i < STEPS; i++)
		step_(w, true);
	for (int i = 0; i < STEPS / 3; i++)
		step_(w, false);
	answered = judge_(w, seed);
	print_message("seed %u: %d operations, %d answered, %d whole, %d "
		      "mixed\n",
		      seed, w->op_count, answered, w->whole, w->mixed);
	all_ += w->op_count;
	all_answered_ += answered;
	for (int i = 0; i < w->op_count; i++)
		g_byte_array_free(w->ops[i].body, TRUE);
	g_ptr_array_free(w->net, TRUE);
	pl_coap_parser_delete(w->parser);
	fixture_delete(w->f);
	g_free(w);
}

/* Seeds of the run; one argument chooses a single one. */
static uint32_t first_seed_ = 1;
static uint32_t last_seed_ = 6;

static void what_ran_is_what_was_told(void **state)
{
	(void)state;
	for (uint32_t seed = first_seed_; seed <= last_seed_; seed++)
		run_(seed);
	/* the faults leave most of the work alone */
	assert_true(all_answered_ > all_ / 2);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(what_ran_is_what_was_told),
	};

	if (argc > 1) {
		first_seed_ = (uint32_t)g_ascii_strtoull(argv[1], NULL, 10);
		last_seed_ = argc > 2 ? (uint32_t)g_ascii_strtoull(argv[2],
								   NULL, 10) :
					first_seed_;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
