/**
 * @file
 * A few agents with virtual time, no network and a backend server each that
 * ends requests when the test says so.
 */
#ifndef PIMENTOLIFT_AGENT_FIXTURE_H
#define PIMENTOLIFT_AGENT_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/agent.h>
#include <pimentolift/ticket.h>

#define FIXTURE_AGENTS 3

/** A datagram to a caller, or from one agent to another. */
typedef struct {
	int from; /**< agent that sent it */
	pl_member_id_t to; /**< agent it is for, 0 for the caller */
	pl_forward_t forward; /**< when it is for an agent */
	uint8_t pdu[PL_COAP_DATAGRAM_MAX];
	size_t len;
} sent_t;

/** A request at the backend server of an agent. */
typedef struct {
	int agent;
	unsigned int life; /**< of the agent */
	uint64_t id;
	uint8_t method;
	char *path;
	GBytes *body;
	bool cancelled;
	bool ended;
} backend_call_t;

typedef struct fixture fixture_t;

typedef struct {
	fixture_t *fixture;
	int index;
	pl_member_id_t id;
	uint64_t boot;
	unsigned int life;
	pl_agent_t *agent;
	pl_endpoint_state_t state;
} node_t;

struct fixture {
	pl_timer_service_t *timers;
	pl_ms_t now;
	GRand *rand;
	node_t nodes[FIXTURE_AGENTS];
	int node_count;
	pl_service_policy_t policy;
	pl_routing_t *routing; /**< last published */
	GPtrArray *sent; /**< sent_t, oldest first */
	GPtrArray *calls; /**< backend_call_t */
	pl_coap_parser_t *parser;
	pl_addr_t caller;
	uint16_t mid;
	unsigned int forwards; /**< datagrams from agent to agent */
	bool auto_forward; /**< agents' datagrams arrive at once */
};

/** New fixture with @p count agents that serve "permits" with 2 slots. */
fixture_t *fixture_new(int count, uint32_t seed);
void fixture_delete(fixture_t *fixture);

/** Publishes a routing table with the nodes' present boots and states. */
void fixture_route(fixture_t *fixture);

/** Replaces agent @p index by a new one that knows nothing. */
void fixture_restart(fixture_t *fixture, int index, uint64_t boot);

void fixture_advance(fixture_t *fixture, pl_ms_t by_ms);

/** Gives a datagram of the caller to agent @p to. */
void fixture_deliver(fixture_t *fixture, int to, const uint8_t *pdu,
		     size_t len);

/** Gives a datagram of @p flow to agent @p to. */
void fixture_deliver_flow(fixture_t *fixture, int to, const pl_flow_t *flow,
			  const uint8_t *pdu, size_t len);

/** Options of a request that a test writes. */
typedef struct {
	pl_coap_type_t type;
	uint8_t code;
	uint8_t token;
	uint32_t long_token; /**< used in its place unless 0 */
	const char *path;
	const uint8_t *echo;
	size_t echo_len;
	const char *rtag;
	const char *payload;
	size_t payload_len; /**< 0: length of the text */
	pl_coap_block_t block1;
	pl_coap_block_t block2;
	int observe; /**< value plus one, 0 for none */
	int mid; /**< 0 for the next one */
} ask_t;

/** Writes the request; returns its length. */
size_t fixture_write(fixture_t *fixture, const ask_t *ask, uint8_t *buf);

/** Writes and delivers the request. */
void fixture_ask(fixture_t *fixture, int to, const ask_t *ask);

/**
 * Takes the oldest datagram to a caller and parses it; false when there is
 * none. @p msg holds until the next call.
 */
bool fixture_reply(fixture_t *fixture, pl_coap_msg_t *msg);

/** Takes the one datagram to the caller, which must have code @p code. */
void fixture_expect(fixture_t *fixture, uint8_t code, pl_coap_msg_t *msg);

/** Ends @p call with @p code; a call of an earlier life reaches nobody. */
void fixture_end_call(fixture_t *fixture, backend_call_t *call,
		      pl_backend_status_t status, const char *body,
		      size_t body_len);

/** Number of calls to backend servers so far. */
size_t fixture_calls(const fixture_t *fixture);

/** Ends the call @p index, with @p body as the answer. */
void fixture_end(fixture_t *fixture, size_t index, pl_backend_status_t status,
		 const char *body, size_t body_len);

/** Asks without a ticket, expects 4.01, and asks again with its Echo. */
void fixture_ask_ticketed(fixture_t *fixture, int to, ask_t *ask,
			  uint8_t echo[PL_TICKET_BYTES]);

#endif
