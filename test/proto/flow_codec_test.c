#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/flow_codec.h>
#include <string.h>

#define ROUNDS 20000

static pl_key_t derive_key_(void)
{
	pl_key_t key;

	pl_key_derive("a secret of the fleet", "trial", PL_KEY_DATAGRAM, &key);
	return key;
}

static pl_flow_message_t make_message_(const uint8_t *packet, size_t len)
{
	return (pl_flow_message_t){
		.type = PL_FLOW_FORWARD,
		.sender = 0x0a0000011f40ULL,
		.service = 0x1122334455667788ULL,
		.flow = { 0x64400007, 0xc6120001, 40001, 443 },
		.flags = PL_FLOW_OWNER_KNOWN | PL_FLOW_LAST_OFFER,
		.verdict = PL_FLOW_ENDED,
		.load = { 5, 7, 4321 },
		.due_ms = 250,
		.priority = 2,
		.packet = packet,
		.packet_len = len,
	};
}

static pl_flow_message_t round_trip_(const pl_flow_message_t *message)
{
	const pl_key_t key = derive_key_();
	pl_flow_decoder_t *decoder = pl_flow_decoder_new(&key);
	uint8_t buf[PL_WIRE_DATAGRAM_MAX];
	size_t len = pl_flow_encode(&key, message, buf, sizeof(buf));
	pl_flow_message_t decoded = { 0 };

	assert_int_not_equal(len, 0);
	assert_int_equal(pl_flow_decode(decoder, buf, len, &decoded), PL_OK);
	pl_flow_decoder_delete(decoder);
	return decoded;
}

static void elements_of_one_type_round_trip(void **state)
{
	pl_flow_message_t message = make_message_(NULL, 0);
	pl_flow_message_t decoded;

	(void)state;
	message.timeout_ms = 4500;
	decoded = round_trip_(&message);
	assert_int_equal(decoded.timeout_ms, 4500);
	message.type = PL_FLOW_VERDICT;
	message.reason = PL_REASON_COLD;
	message.load.limit = 2500;
	message.load.request_ms = 47;
	message.load.waiting = 9;
	message.load.health = 5;
	decoded = round_trip_(&message);
	assert_int_equal(decoded.reason, PL_REASON_COLD);
	assert_memory_equal(&decoded.load, &message.load, sizeof(message.load));
	assert_int_equal(decoded.timeout_ms, 0);
}

static void items_round_trip(void **state)
{
	pl_flow_item_t items[PL_FLOW_ITEMS_MAX] = { 0 };
	uint8_t buf[PL_WIRE_DATAGRAM_MAX];
	pl_key_t key = derive_key_();
	pl_flow_decoder_t *decoder = pl_flow_decoder_new(&key);
	pl_flow_message_t sent = make_message_(NULL, 0);
	pl_flow_message_t decoded;
	size_t len;

	(void)state;
	for (uint32_t i = 0; i < PL_FLOW_ITEMS_MAX; i++)
		items[i] = (pl_flow_item_t){
			/* distinct addresses give the longest encoding */
			.flow = { 0xffffff00U + i, 0xffffff00U + i, 65535,
				  65535 },
			.ack = 0xfffffff0U + i,
			.verdict = PL_FLOW_UNSURE,
		};
	sent.items = items;
	sent.item_count = PL_FLOW_ITEMS_MAX;
	len = pl_flow_encode(&key, &sent, buf, sizeof(buf));
	assert_in_range(len, 1, 1300);
	assert_int_equal(pl_flow_decode(decoder, buf, len, &decoded), PL_OK);
	assert_int_equal(decoded.item_count, PL_FLOW_ITEMS_MAX);
	assert_memory_equal(decoded.items, items, sizeof(items));
	pl_flow_decoder_delete(decoder);
}

/* Guards against encoding an address once per item: thousands of flows share a
 * few service addresses, each of which is encoded once per message. */
static void shared_addresses_are_encoded_once(void **state)
{
	pl_flow_item_t items[PL_FLOW_ITEMS_MAX] = { 0 };
	uint8_t buf[PL_WIRE_DATAGRAM_MAX];
	pl_key_t key = derive_key_();
	pl_flow_decoder_t *decoder = pl_flow_decoder_new(&key);
	pl_flow_message_t sent = make_message_(NULL, 0);
	pl_flow_message_t decoded;
	size_t empty = pl_flow_encode(&key, &sent, buf, sizeof(buf));
	size_t len;

	(void)state;
	for (uint32_t i = 0; i < PL_FLOW_ITEMS_MAX; i++)
		items[i] = (pl_flow_item_t){
			.flow = { 0xffffff00U + i, 0xc6120001U + i % 2, 65535,
				  8443 },
			.ack = 0xfffffff0U + i,
		};
	sent.items = items;
	sent.item_count = PL_FLOW_ITEMS_MAX;
	len = pl_flow_encode(&key, &sent, buf, sizeof(buf));
	assert_in_range((len - empty) / PL_FLOW_ITEMS_MAX, 1, 15);
	assert_int_equal(pl_flow_decode(decoder, buf, len, &decoded), PL_OK);
	assert_memory_equal(decoded.items, items, sizeof(items));
	pl_flow_decoder_delete(decoder);
}

static void message_round_trips(void **state)
{
	uint8_t packet[PL_PACKET_MAX];
	uint8_t buf[PL_WIRE_DATAGRAM_MAX];
	pl_key_t key = derive_key_();
	pl_flow_decoder_t *decoder = pl_flow_decoder_new(&key);
	pl_flow_message_t sent = make_message_(packet, 1234);
	pl_flow_message_t decoded;
	size_t len;

	(void)state;
	memset(packet, 0x5a, sizeof(packet));
	len = pl_flow_encode(&key, &sent, buf, sizeof(buf));
	assert_true(len > 0);
	assert_int_equal(pl_flow_decode(decoder, buf, len, &decoded), PL_OK);
	assert_memory_equal(decoded.packet, packet, 1234);
	decoded.packet = sent.packet;
	assert_int_equal(decoded.type, sent.type);
	assert_int_equal(decoded.sender, sent.sender);
	assert_int_equal(decoded.service, sent.service);
	assert_memory_equal(&decoded.flow, &sent.flow, sizeof(sent.flow));
	assert_int_equal(decoded.flags, sent.flags);
	assert_int_equal(decoded.verdict, sent.verdict);
	assert_memory_equal(&decoded.load, &sent.load, sizeof(sent.load));
	assert_int_equal(decoded.due_ms, sent.due_ms);
	assert_int_equal(decoded.priority, sent.priority);
	pl_flow_decoder_delete(decoder);
}

/* Truncated and changed datagrams are rejected, and changed datagrams with a
 * valid MAC do not make the decoder read past their end. */
static void changed_datagrams_are_rejected(void **state)
{
	uint8_t packet[100] = { 1, 2, 3 };
	uint8_t buf[PL_WIRE_DATAGRAM_MAX];
	pl_key_t key = derive_key_();
	pl_flow_decoder_t *decoder = pl_flow_decoder_new(&key);
	pl_flow_message_t sent = make_message_(packet, sizeof(packet));
	size_t len = pl_flow_encode(&key, &sent, buf, sizeof(buf));
	GRand *rand = g_rand_new_with_seed(7);
	pl_flow_message_t decoded;

	(void)state;
	for (size_t prefix = 0; prefix < len; prefix++)
		assert_int_not_equal(
			pl_flow_decode(decoder, buf, prefix, &decoded), PL_OK);
	for (int i = 0; i < ROUNDS; i++) {
		uint8_t changed[PL_WIRE_DATAGRAM_MAX];
		size_t at = (size_t)g_rand_int_range(rand, 0, (gint32)len);

		memcpy(changed, buf, len);
		changed[at] ^= (uint8_t)g_rand_int_range(rand, 1, 256);
		assert_int_not_equal(
			pl_flow_decode(decoder, changed, len, &decoded), PL_OK);
		/* the same datagram with a valid MAC */
		pl_mac(&key, changed, len - PL_MAC_BYTES,
		       changed + len - PL_MAC_BYTES);
		if (pl_flow_decode(decoder, changed, len, &decoded) == PL_OK)
			assert_true(decoded.packet_len <= len);
	}
	g_rand_free(rand);
	pl_flow_decoder_delete(decoder);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(message_round_trips),
		cmocka_unit_test(elements_of_one_type_round_trip),
		cmocka_unit_test(items_round_trip),
		cmocka_unit_test(shared_addresses_are_encoded_once),
		cmocka_unit_test(changed_datagrams_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
