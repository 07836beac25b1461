#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <platform/platform.h>
#include <string.h>

/* Examples in the platform's specification. */
static const uint8_t opening_packet_[] = {
	0xd5, 0xc3, 0xb2, 0xa1, 0x07, 0x00, 0x40, 0x64, 0x01, 0x00, 0x12, 0xc6,
	0x41, 0x9c, 0xbb, 0x01, 0x00, 0x00, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00,
};
static const uint8_t reset_packet_[] = {
	0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x12, 0xc6, 0x07, 0x00, 0x40, 0x64,
	0xbb, 0x01, 0x41, 0x9c, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00,
};

#define AT_ECHO 16
#define AT_LEN 28
#define AT_FLAGS 30
#define AT_PAD 31

static void header_is_read(void **state)
{
	pl_packet_t packet;

	(void)state;
	assert_true(pl_platform_packets.read(opening_packet_,
					     sizeof(opening_packet_), &packet));
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
	pl_platform_packets.read(opening_packet_, sizeof(opening_packet_),
				 &packet);
	flow = pl_packet_flow(&packet);
	assert_int_equal(pl_platform_packets.reset(&flow, 0, out, sizeof(out)),
			 sizeof(reset_packet_));
	assert_memory_equal(out, reset_packet_, sizeof(reset_packet_));
	assert_int_equal(pl_platform_packets.reset(&flow, 0, out, 10), 0);
}

static void marks_of_a_bounced_packet_are_cleared(void **state)
{
	uint8_t bytes[sizeof(opening_packet_)];

	(void)state;
	memcpy(bytes, opening_packet_, sizeof(bytes));
	bytes[AT_FLAGS] |= 4;
	bytes[AT_ECHO] = 9;
	bytes[AT_PAD] = 7;
	pl_platform_packets.clear_bounced(bytes, sizeof(bytes));
	assert_memory_equal(bytes, opening_packet_, sizeof(bytes));
}

static void malformed_packets_are_rejected(void **state)
{
	uint8_t bytes[sizeof(opening_packet_) + 1300] = { 0 };
	pl_packet_t packet;

	(void)state;
	memcpy(bytes, opening_packet_, sizeof(opening_packet_));
	for (size_t len = 0; len < sizeof(opening_packet_); len++)
		assert_false(pl_platform_packets.read(bytes, len, &packet));
	assert_false(pl_platform_packets.read(bytes, sizeof(bytes), &packet));
	/* the length field does not match the length of the data */
	bytes[AT_LEN] = 5;
	assert_false(pl_platform_packets.read(bytes, sizeof(opening_packet_),
					      &packet));
	assert_false(pl_platform_packets.read(
		bytes, sizeof(opening_packet_) + 4, &packet));
	assert_true(pl_platform_packets.read(bytes, sizeof(opening_packet_) + 5,
					     &packet));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(header_is_read),
		cmocka_unit_test(reset_is_written),
		cmocka_unit_test(marks_of_a_bounced_packet_are_cleared),
		cmocka_unit_test(malformed_packets_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
