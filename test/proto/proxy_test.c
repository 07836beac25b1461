#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/proxy.h>

static void header_round_trip(void **state)
{
	const char *texts[][2] = {
		{ "198.51.100.7:40000", "192.0.2.10:5683" },
		{ "[2001:db8::7]:40000", "[2001:db8::1]:5683" },
	};
	uint8_t buf[PL_PROXY_HEADER_MAX];

	(void)state;
	for (int i = 0; i < 2; i++) {
		pl_proxy_t proxy;
		pl_proxy_t parsed;
		size_t len;
		size_t header_len;

		pl_addr_parse(texts[i][0], &proxy.source, NULL);
		pl_addr_parse(texts[i][1], &proxy.destination, NULL);
		len = pl_proxy_write(&proxy, buf);
		assert_int_equal(pl_proxy_read(buf, len, &parsed, &header_len),
				 PL_OK);
		assert_int_equal(header_len, len);
		assert_true(pl_addr_equal(&proxy.source, &parsed.source));
		assert_true(
			pl_addr_equal(&proxy.destination, &parsed.destination));
		for (size_t prefix = 0; prefix < len; prefix++)
			assert_int_equal(pl_proxy_read(buf, prefix, &parsed,
						       &header_len),
					 PL_ERR_MALFORMED);
	}
}

static void tcp_and_local_headers_are_rejected(void **state)
{
	pl_proxy_t proxy;
	uint8_t buf[PL_PROXY_HEADER_MAX];
	size_t len;
	size_t header_len;

	(void)state;
	pl_addr_parse("198.51.100.7:40000", &proxy.source, NULL);
	pl_addr_parse("192.0.2.10:5683", &proxy.destination, NULL);
	len = pl_proxy_write(&proxy, buf);
	buf[13] = 0x11; /* TCP over IPv4 */
	assert_int_equal(pl_proxy_read(buf, len, &proxy, &header_len),
			 PL_ERR_MALFORMED);
	buf[13] = 0x12;
	buf[12] = 0x20; /* LOCAL command */
	assert_int_equal(pl_proxy_read(buf, len, &proxy, &header_len),
			 PL_ERR_MALFORMED);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(header_round_trip),
		cmocka_unit_test(tcp_and_local_headers_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
