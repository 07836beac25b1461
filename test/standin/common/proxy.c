/**
 * @file
 * PROXY protocol version 2 header for UDP over IPv4.
 */
#include "common/standin.h"

#include <string.h>

#define SIGNATURE_BYTES 12
#define VERSION_COMMAND 0x21
#define FAMILY_UDP4 0x12
#define ADDRESS_BYTES 12
#define IPV4_BYTES 4

static const uint8_t signature_[SIGNATURE_BYTES] = { 0x0d, 0x0a, 0x0d, 0x0a,
						     0x00, 0x0d, 0x0a, 0x51,
						     0x55, 0x49, 0x54, 0x0a };

void pl_proxy_write(uint8_t header[PL_PROXY_HEADER_BYTES],
		    const pl_addr_t *source, const pl_addr_t *destination)
{
	memcpy(header, signature_, SIGNATURE_BYTES);
	header[12] = VERSION_COMMAND;
	header[13] = FAMILY_UDP4;
	header[14] = 0;
	header[15] = ADDRESS_BYTES;
	memcpy(header + 16, source->ip, IPV4_BYTES);
	memcpy(header + 20, destination->ip, IPV4_BYTES);
	header[24] = (uint8_t)(source->port >> 8);
	header[25] = (uint8_t)source->port;
	header[26] = (uint8_t)(destination->port >> 8);
	header[27] = (uint8_t)destination->port;
}

bool pl_proxy_read(const uint8_t *buf, size_t len, pl_addr_t *source,
		   pl_addr_t *destination)
{
	if (len < PL_PROXY_HEADER_BYTES ||
	    memcmp(buf, signature_, SIGNATURE_BYTES) != 0 ||
	    buf[12] != VERSION_COMMAND || buf[13] != FAMILY_UDP4 ||
	    buf[14] != 0 || buf[15] != ADDRESS_BYTES)
		return false;
	memset(source, 0, sizeof(*source));
	memset(destination, 0, sizeof(*destination));
	source->family = PL_ADDR_IPV4;
	destination->family = PL_ADDR_IPV4;
	memcpy(source->ip, buf + 16, IPV4_BYTES);
	memcpy(destination->ip, buf + 20, IPV4_BYTES);
	source->port = (uint16_t)(buf[24] << 8 | buf[25]);
	destination->port = (uint16_t)(buf[26] << 8 | buf[27]);
	return true;
}
