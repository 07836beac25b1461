#include "fixture.h"

#include <string.h>

/** A ticket and the inputs of its verification. */
typedef struct {
	pl_key_t key;
	pl_flow_t flow;
	pl_ticket_t ticket;
	pl_ticket_t own;
	uint8_t echo[PL_TICKET_BYTES];
} case_t;

static void setup_(case_t *c)
{
	memset(c, 0, sizeof(*c));
	pl_key_derive("a secret of the test fleet", "test", PL_KEY_TICKET,
		      &c->key);
	pl_addr_parse("192.0.2.1:1000", &c->flow.caller, NULL);
	c->flow.service = 7;
	c->ticket = (pl_ticket_t){ 11, 12, 13, 1000 };
	c->own = (pl_ticket_t){ 11, 12, 0, 1000 + PL_TICKET_LIFE_S - 1 };
	pl_ticket_issue(&c->key, &c->ticket, &c->flow, 99, c->echo);
}

static pl_ticket_verdict_t check_(const case_t *c, uint64_t digest,
				  pl_ticket_t *out)
{
	return pl_ticket_check(&c->key, &c->own, &c->flow, digest, c->echo,
			       sizeof(c->echo), out);
}

static void check_returns_the_issued_fields(void **state)
{
	pl_member_id_t agent = 0;
	pl_ticket_t out;
	case_t c;

	(void)state;
	setup_(&c);
	assert_int_equal(check_(&c, 99, &out), PL_TICKET_VALID);
	assert_int_equal(out.agent, c.ticket.agent);
	assert_int_equal(out.boot, c.ticket.boot);
	assert_int_equal(out.nonce, c.ticket.nonce);
	assert_int_equal(out.issued_s, c.ticket.issued_s);
	assert_true(pl_ticket_peek(c.echo, sizeof(c.echo), &agent));
	assert_int_equal(agent, 11);
	assert_false(pl_ticket_peek(c.echo, sizeof(c.echo) - 1, &agent));
	assert_false(pl_ticket_peek(NULL, 0, &agent));
}

static void foreign_and_expired_tickets_are_distinguished(void **state)
{
	pl_ticket_t out;
	case_t c;

	(void)state;
	setup_(&c);
	c.own.issued_s++;
	assert_int_equal(check_(&c, 99, &out), PL_TICKET_EXPIRED);
	c.own.boot++;
	assert_int_equal(check_(&c, 99, &out), PL_TICKET_FOREIGN_BOOT);
	c.own.agent++;
	assert_int_equal(check_(&c, 99, &out), PL_TICKET_FOREIGN_AGENT);
}

static void any_changed_byte_is_detected(void **state)
{
	pl_ticket_t out;
	case_t c;

	(void)state;
	setup_(&c);
	for (size_t i = 0; i < sizeof(c.echo); i++) {
		c.echo[i] ^= 1;
		assert_int_equal(check_(&c, 99, &out), PL_TICKET_FORGED);
		c.echo[i] ^= 1;
	}
	assert_int_equal(check_(&c, 98, &out), PL_TICKET_FORGED);
	c.flow.caller.port++;
	assert_int_equal(check_(&c, 99, &out), PL_TICKET_FORGED);
	c.flow.caller.port--;
	c.flow.service++;
	assert_int_equal(check_(&c, 99, &out), PL_TICKET_FORGED);
}

static void retransmission_gets_the_same_nonce(void **state)
{
	pl_coap_msg_t msg = { .code = PL_COAP_POST, .mid = 5, .token_len = 1 };
	uint64_t nonce;
	case_t c;

	(void)state;
	setup_(&c);
	nonce = pl_ticket_nonce(&c.key, &c.flow, 12, &msg);
	assert_int_equal(nonce, pl_ticket_nonce(&c.key, &c.flow, 12, &msg));
	assert_int_not_equal(nonce, pl_ticket_nonce(&c.key, &c.flow, 13, &msg));
	msg.mid++;
	assert_int_not_equal(nonce, pl_ticket_nonce(&c.key, &c.flow, 12, &msg));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(check_returns_the_issued_fields),
		cmocka_unit_test(foreign_and_expired_tickets_are_distinguished),
		cmocka_unit_test(any_changed_byte_is_detected),
		cmocka_unit_test(retransmission_gets_the_same_nonce),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
