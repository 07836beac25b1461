#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/wire.h>
#include <string.h>

#define FUZZ_SEED 7
#define FUZZ_ROUNDS 200000

static pl_key_t key_;
static const uint8_t pdu_[] = "a datagram of a caller";

static pl_flow_t make_flow_(void)
{
	pl_flow_t flow = { .service = 0x1122334455667788u };

	pl_addr_parse("198.51.100.7:40000", &flow.caller, NULL);
	pl_addr_parse("[2001:db8::5]:5683", &flow.address, NULL);
	return flow;
}

static size_t encode_sample_(uint8_t *buf, size_t cap)
{
	const pl_forward_t forward = {
		.flow = make_flow_(),
		.entry = 0x7f0000011234u,
		.origin = 0,
		.revision = 77,
		.hops = 2,
		.pdu = pdu_,
		.pdu_len = sizeof(pdu_),
	};

	return pl_wire_encode_forward(&key_, &forward, buf, cap);
}

static void forward_round_trip(void **state)
{
	pl_wire_decoder_t *decoder = pl_wire_decoder_new(&key_);
	const pl_flow_t flow = make_flow_();
	uint8_t buf[PL_WIRE_DATAGRAM_MAX];
	size_t len = encode_sample_(buf, sizeof(buf));
	pl_wire_message_t message;

	(void)state;
	assert_int_equal(pl_wire_peek_type(buf, len), PL_WIRE_FORWARD);
	assert_int_equal(pl_wire_decode(decoder, buf, len, &message), PL_OK);
	assert_int_equal(message.type, PL_WIRE_FORWARD);
	assert_memory_equal(&message.forward.flow, &flow, sizeof(flow));
	assert_int_equal(message.forward.entry, 0x7f0000011234u);
	assert_int_equal(message.forward.revision, 77);
	assert_int_equal(message.forward.hops, 2);
	assert_int_equal(message.forward.pdu_len, sizeof(pdu_));
	assert_memory_equal(message.forward.pdu, pdu_, sizeof(pdu_));
	pl_wire_decoder_delete(decoder);
}

static void reply_round_trip(void **state)
{
	pl_wire_decoder_t *decoder = pl_wire_decoder_new(&key_);
	const pl_reply_t reply = { .flow = make_flow_(),
				   .agent = 5,
				   .load_ms = 1234,
				   .revision = 9,
				   .pdu = pdu_,
				   .pdu_len = sizeof(pdu_) };
	uint8_t buf[PL_WIRE_DATAGRAM_MAX];
	size_t len = pl_wire_encode_reply(&key_, &reply, buf, sizeof(buf));
	pl_wire_message_t message;

	(void)state;
	assert_int_equal(pl_wire_decode(decoder, buf, len, &message), PL_OK);
	assert_int_equal(message.type, PL_WIRE_REPLY);
	assert_int_equal(message.reply.load_ms, 1234);
	assert_int_equal(message.reply.agent, 5);
	assert_memory_equal(message.reply.pdu, pdu_, sizeof(pdu_));
	pl_wire_decoder_delete(decoder);
}

static void changed_bytes_fail_authentication(void **state)
{
	pl_wire_decoder_t *decoder = pl_wire_decoder_new(&key_);
	uint8_t buf[PL_WIRE_DATAGRAM_MAX];
	size_t len = encode_sample_(buf, sizeof(buf));
	pl_wire_message_t message;

	(void)state;
	for (size_t i = 0; i < len; i++) {
		buf[i] ^= 0x40;
		assert_int_equal(pl_wire_decode(decoder, buf, len, &message),
				 PL_ERR_AUTH);
		buf[i] ^= 0x40;
	}
	pl_wire_decoder_delete(decoder);
}

/* Each mutated datagram gets a valid MAC, so that the decoder reads its
 * elements. */
static void mutated_messages_are_decoded_or_rejected(void **state)
{
	pl_wire_decoder_t *decoder = pl_wire_decoder_new(&key_);
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	uint8_t original[PL_WIRE_DATAGRAM_MAX];
	size_t body = encode_sample_(original, sizeof(original)) - PL_MAC_BYTES;
	size_t accepted = 0;

	(void)state;
	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		uint8_t buf[PL_WIRE_DATAGRAM_MAX];
		size_t len = body;
		pl_wire_message_t message;

		memcpy(buf, original, len);
		for (int i = g_rand_int_range(rand, 1, 5); i > 0; i--)
			buf[g_rand_int_range(rand, 0, (gint32)len)] =
				(uint8_t)g_rand_int(rand);
		if (g_rand_int_range(rand, 0, 4) == 0)
			len = (size_t)g_rand_int_range(rand, 1, (gint32)len);
		pl_mac(&key_, buf, len, buf + len);
		if (pl_wire_decode(decoder, buf, len + PL_MAC_BYTES,
				   &message) != PL_OK)
			continue;
		accepted++;
		assert_true(message.type == PL_WIRE_FORWARD ||
			    message.type == PL_WIRE_REPLY);
	}
	assert_true(accepted > 0 && accepted < FUZZ_ROUNDS);
	g_rand_free(rand);
	pl_wire_decoder_delete(decoder);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(forward_round_trip),
		cmocka_unit_test(reply_round_trip),
		cmocka_unit_test(changed_bytes_fail_authentication),
		cmocka_unit_test(mutated_messages_are_decoded_or_rejected),
	};

	pl_key_derive("a secret of the fleet", "test", PL_KEY_DATAGRAM, &key_);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
