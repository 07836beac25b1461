#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <platform/platform.h>
#include <string.h>

/* The platform's page gives these bytes. */
static const uint8_t opening_[] = {
	0xd5, 0xc3, 0xb2, 0xa1, 0x07, 0x00, 0x40, 0x64, 0x01, 0x00, 0x12, 0xc6,
	0x41, 0x9c, 0xbb, 0x01, 0x00, 0x00, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00,
};
static const uint8_t reset_[] = {
	0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x12, 0xc6, 0x07, 0x00, 0x40, 0x64,
	0xbb, 0x01, 0x41, 0x9c, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00,
};

#define AT_ECHO 16
#define AT_LEN 28
#define AT_FLAGS 30
#define AT_PAD 31

static void head_is_read(void **state)
{
	pl_packet_t packet;

	(void)state;
	assert_true(
		pl_platform_packets.read(opening_, sizeof(opening_), &packet));
	assert_int_equal(packet.src.ip, 0x64400007);
	assert_int_equal(packet.src.port, 40001);
	assert_int_equal(packet.dst.ip, 0xc6120001);
	assert_int_equal(packet.dst.port, 443);
	assert_int_equal(packet.seq, 0x11223344);
	assert_int_equal(packet.data_len, 0);
	assert_true(pl_packet_opens(&packet));
}

static void reset_is_written(void **state)
{
	uint8_t out[64];
	pl_packet_t packet;
	pl_flow_key_t flow;

	(void)state;
	pl_platform_packets.read(opening_, sizeof(opening_), &packet);
	flow = pl_packet_flow(&packet);
	assert_int_equal(pl_platform_packets.reset(&flow, 0, out, sizeof(out)),
			 sizeof(reset_));
	assert_memory_equal(out, reset_, sizeof(reset_));
	assert_int_equal(pl_platform_packets.reset(&flow, 0, out, 10), 0);
}

static void packet_that_was_handed_back_is_cleaned(void **state)
{
	uint8_t bytes[sizeof(opening_)];

	(void)state;
	memcpy(bytes, opening_, sizeof(bytes));
	bytes[AT_FLAGS] |= 4;
	bytes[AT_ECHO] = 9;
	bytes[AT_PAD] = 7;
	pl_platform_packets.clean(bytes, sizeof(bytes));
	assert_memory_equal(bytes, opening_, sizeof(bytes));
}

static void malformed_packets_are_refused(void **state)
{
	uint8_t bytes[sizeof(opening_) + 1300] = { 0 };
	pl_packet_t packet;

	(void)state;
	memcpy(bytes, opening_, sizeof(opening_));
	for (size_t len = 0; len < sizeof(opening_); len++)
		assert_false(pl_platform_packets.read(bytes, len, &packet));
	assert_false(pl_platform_packets.read(bytes, sizeof(bytes), &packet));
	/* the length that it names is not the one that it has */
	bytes[AT_LEN] = 5;
	assert_false(
		pl_platform_packets.read(bytes, sizeof(opening_), &packet));
	assert_false(
		pl_platform_packets.read(bytes, sizeof(opening_) + 4, &packet));
	assert_true(
		pl_platform_packets.read(bytes, sizeof(opening_) + 5, &packet));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(head_is_read),
		cmocka_unit_test(reset_is_written),
		cmocka_unit_test(packet_that_was_handed_back_is_cleaned),
		cmocka_unit_test(malformed_packets_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
