#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/coap_msg.h>
#include <string.h>

#define FUZZ_SEED 20261204
#define FUZZ_ROUNDS 200000

static const uint8_t token_[] = { 1, 2, 3, 4 };

static size_t write_sample_(uint8_t *buf, size_t cap)
{
	const pl_coap_block_t block1 = { true, true, 6, 300 };
	pl_coap_writer_t writer;

	pl_coap_write_start(&writer, buf, cap, PL_COAP_CON, PL_COAP_POST,
			    0xabcd, token_, sizeof(token_));
	pl_coap_write_uint(&writer, PL_COAP_OPT_OBSERVE, 0);
	pl_coap_write_segments(&writer, PL_COAP_OPT_URI_PATH, "a/bc/def", '/');
	pl_coap_write_uint(&writer, PL_COAP_OPT_CONTENT_FORMAT, 60);
	pl_coap_write_segments(&writer, PL_COAP_OPT_URI_QUERY, "x=1&y=2", '&');
	pl_coap_write_block(&writer, PL_COAP_OPT_BLOCK1, &block1);
	pl_coap_write_option(&writer, PL_COAP_OPT_ECHO, "echo", 4);
	pl_coap_write_option(&writer, PL_COAP_OPT_REQUEST_TAG, "tag", 3);
	pl_coap_write_payload(&writer, "body", 4);
	return pl_coap_write_end(&writer);
}

static void written_message_is_parsed_back(void **state)
{
	pl_coap_parser_t *parser = pl_coap_parser_new();
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	size_t len = write_sample_(buf, sizeof(buf));
	pl_coap_msg_t msg;

	(void)state;
	assert_true(len > 0);
	assert_int_equal(pl_coap_parse(parser, buf, len, &msg), PL_OK);
	assert_int_equal(msg.type, PL_COAP_CON);
	assert_int_equal(msg.code, PL_COAP_POST);
	assert_int_equal(msg.mid, 0xabcd);
	assert_memory_equal(msg.token, token_, sizeof(token_));
	assert_true(msg.has_observe && msg.observe == 0);
	assert_string_equal(msg.path, "a/bc/def");
	assert_string_equal(msg.query, "x=1&y=2");
	assert_int_equal(msg.content_format, 60);
	assert_true(msg.block1.present && msg.block1.more);
	assert_int_equal(msg.block1.num, 300);
	assert_false(msg.block2.present);
	assert_memory_equal(msg.echo, "echo", 4);
	assert_memory_equal(msg.rtag, "tag", 3);
	assert_int_equal(msg.payload_len, 4);
	assert_memory_equal(msg.payload, "body", 4);
	assert_int_equal(msg.max_age_s, -1);
	pl_coap_parser_delete(parser);
}

static void message_that_does_not_fit_has_length_0(void **state)
{
	uint8_t buf[PL_COAP_DATAGRAM_MAX];
	size_t len = write_sample_(buf, sizeof(buf));

	(void)state;
	for (size_t cap = 0; cap < len; cap++)
		assert_int_equal(write_sample_(buf, cap), 0);
}

static void unknown_critical_option_is_reported(void **state)
{
	pl_coap_parser_t *parser = pl_coap_parser_new();
	pl_coap_writer_t writer;
	uint8_t buf[64];
	pl_coap_msg_t msg;

	(void)state;
	pl_coap_write_start(&writer, buf, sizeof(buf), PL_COAP_NON, PL_COAP_GET,
			    1, NULL, 0);
	pl_coap_write_option(&writer, 2049, "x", 1);
	assert_int_equal(
		pl_coap_parse(parser, buf, pl_coap_write_end(&writer), &msg),
		PL_OK);
	assert_true(msg.unknown_critical);
	pl_coap_parser_delete(parser);
}

/* Guards against reads past the datagram: the lengths in a parsed message stay
 * within their limits for any input. */
static void mutated_messages_are_parsed_within_limits(void **state)
{
	pl_coap_parser_t *parser = pl_coap_parser_new();
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	uint8_t original[PL_COAP_DATAGRAM_MAX];
	size_t original_len = write_sample_(original, sizeof(original));
	size_t accepted = 0;

	(void)state;
	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		uint8_t buf[PL_COAP_DATAGRAM_MAX];
		size_t len = original_len;
		pl_coap_msg_t msg;

		memcpy(buf, original, len);
		for (int i = g_rand_int_range(rand, 1, 6); i > 0; i--)
			buf[g_rand_int_range(rand, 0, (gint32)len)] =
				(uint8_t)g_rand_int(rand);
		if (g_rand_boolean(rand))
			len = (size_t)g_rand_int_range(rand, 0, (gint32)len);
		if (pl_coap_parse(parser, buf, len, &msg) != PL_OK)
			continue;
		accepted++;
		assert_true(msg.payload_len <= len);
		assert_true(strlen(msg.path) < PL_COAP_PATH_MAX);
		assert_true(msg.token_len <= PL_COAP_TOKEN_MAX);
	}
	assert_true(accepted > 0 && accepted < FUZZ_ROUNDS);
	g_rand_free(rand);
	pl_coap_parser_delete(parser);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(written_message_is_parsed_back),
		cmocka_unit_test(message_that_does_not_fit_has_length_0),
		cmocka_unit_test(unknown_critical_option_is_reported),
		cmocka_unit_test(mutated_messages_are_parsed_within_limits),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
