/**
 * @file
 * PROXY protocol v2 headers, UDP over IPv4 and IPv6.
 */
#include <pimentolift/proxy.h>

#include <string.h>

#define SIGNATURE_BYTES 12
/** Length of the part before the addresses. */
#define FIXED_BYTES 16
/** Version 2, command PROXY. */
#define VERSION_2_PROXY 0x21
#define UDP_IPV4 0x12
#define UDP_IPV6 0x22
#define IPV4_BYTES 4
#define IPV6_BYTES 16
#define PORT_BYTES 2

static const uint8_t signature_[SIGNATURE_BYTES] = {
	0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a,
};

static uint16_t get_be16_(const uint8_t *bytes)
{
	return (uint16_t)(bytes[0] << 8 | bytes[1]);
}

static void put_be16_(uint8_t *bytes, uint16_t value)
{
	bytes[0] = (uint8_t)(value >> 8);
	bytes[1] = (uint8_t)value;
}

static void get_addr_(const uint8_t *ip, const uint8_t *port, size_t ip_len,
		      pl_addr_t *addr)
{
	memset(addr, 0, sizeof(*addr));
	memcpy(addr->ip, ip, ip_len);
	addr->port = get_be16_(port);
	addr->family = ip_len == IPV4_BYTES ? PL_ADDR_IPV4 : PL_ADDR_IPV6;
}

bool pl_proxy_present(const uint8_t *buf, size_t len)
{
	return len >= FIXED_BYTES &&
	       memcmp(buf, signature_, SIGNATURE_BYTES) == 0;
}

pl_result_t pl_proxy_read(const uint8_t *buf, size_t len, pl_proxy_t *proxy,
			  size_t *header_len)
{
	size_t body_len;
	size_t ip_len;
	const uint8_t *body = buf + FIXED_BYTES;

	if (!pl_proxy_present(buf, len) || buf[12] != VERSION_2_PROXY)
		return PL_ERR_MALFORMED;
	if (buf[13] == UDP_IPV4)
		ip_len = IPV4_BYTES;
	else if (buf[13] == UDP_IPV6)
		ip_len = IPV6_BYTES;
	else
		return PL_ERR_MALFORMED;
	body_len = get_be16_(buf + 14);
	if (body_len < 2 * (ip_len + PORT_BYTES) ||
	    FIXED_BYTES + body_len > len)
		return PL_ERR_MALFORMED;
	get_addr_(body, body + 2 * ip_len, ip_len, &proxy->source);
	get_addr_(body + ip_len, body + 2 * ip_len + PORT_BYTES, ip_len,
		  &proxy->destination);
	*header_len = FIXED_BYTES + body_len;
	return PL_OK;
}

size_t pl_proxy_write(const pl_proxy_t *proxy, uint8_t *buf)
{
	size_t ip_len =
		proxy->source.family == PL_ADDR_IPV4 ? IPV4_BYTES : IPV6_BYTES;
	uint8_t *body = buf + FIXED_BYTES;
	size_t body_len = 2 * (ip_len + PORT_BYTES);

	if (proxy->source.family != proxy->destination.family)
		return 0;
	memcpy(buf, signature_, SIGNATURE_BYTES);
	buf[12] = VERSION_2_PROXY;
	buf[13] = ip_len == IPV4_BYTES ? UDP_IPV4 : UDP_IPV6;
	put_be16_(buf + 14, (uint16_t)body_len);
	memcpy(body, proxy->source.ip, ip_len);
	memcpy(body + ip_len, proxy->destination.ip, ip_len);
	put_be16_(body + 2 * ip_len, proxy->source.port);
	put_be16_(body + 2 * ip_len + PORT_BYTES, proxy->destination.port);
	return FIXED_BYTES + body_len;
}
