/**
 * @file
 * Addresses: text form, sockaddr, and member IDs. A member ID is the IPv4
 * address in bits 16 to 47 and the port in bits 0 to 15.
 */
#include <pimentolift/addr.h>

#include <arpa/inet.h>
#include <assert.h>
#include <netinet/in.h>
#include <pimentolift/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IPV4_BYTES 4
#define IPV6_BYTES 16
#define PORT_MAX 65535
/** Size of the text of an IP address, in bytes, terminating NUL included. */
#define HOST_TEXT_MAX 64

bool pl_addr_equal(const pl_addr_t *a, const pl_addr_t *b)
{
	return memcmp(a, b, sizeof(*a)) == 0;
}

uint64_t pl_addr_hash(const pl_addr_t *addr, uint64_t seed)
{
	return pl_hash(addr, sizeof(*addr), seed);
}

/* Splits "host:port" or "[host]:port"; returns the text of the port, or NULL
 * if @p text has neither form. */
static const char *split_host_port_(const char *text, char host[HOST_TEXT_MAX],
				    int *family)
{
	const char *end;
	const char *start = text;

	*family = text[0] == '[' ? AF_INET6 : AF_INET;
	if (*family == AF_INET6) {
		start = text + 1;
		end = strchr(start, ']');
		if (!end || end[1] != ':')
			return NULL;
	} else {
		end = strchr(start, ':');
		if (!end)
			return NULL;
	}
	if ((size_t)(end - start) >= HOST_TEXT_MAX)
		return NULL;
	memcpy(host, start, (size_t)(end - start));
	host[end - start] = '\0';
	return *family == AF_INET6 ? end + 2 : end + 1;
}

pl_result_t pl_addr_parse(const char *text, pl_addr_t *addr, pl_error_t *err)
{
	char host[HOST_TEXT_MAX];
	char *end = NULL;
	int family;
	const char *port_text = split_host_port_(text, host, &family);
	long port;

	memset(addr, 0, sizeof(*addr));
	if (!port_text || *port_text == '\0')
		return pl_error_set(err, PL_ERR_CONFIG,
				    "\"%s\" is not an IP address and port",
				    text);
	port = strtol(port_text, &end, 10);
	if (*end != '\0' || port < 0 || port > PORT_MAX)
		return pl_error_set(err, PL_ERR_CONFIG,
				    "\"%s\" has no port from 0 to %d", text,
				    PORT_MAX);
	if (inet_pton(family, host, addr->ip) != 1)
		return pl_error_set(err, PL_ERR_CONFIG,
				    "\"%s\" is not an IP address and port",
				    text);
	addr->port = (uint16_t)port;
	addr->family = family == AF_INET ? PL_ADDR_IPV4 : PL_ADDR_IPV6;
	return PL_OK;
}

const char *pl_addr_format(const pl_addr_t *addr, char text[PL_ADDR_TEXT_MAX])
{
	char host[INET6_ADDRSTRLEN] = "";

	if (addr->family == PL_ADDR_IPV4) {
		inet_ntop(AF_INET, addr->ip, host, sizeof(host));
		snprintf(text, PL_ADDR_TEXT_MAX, "%s:%u", host, addr->port);
	} else if (addr->family == PL_ADDR_IPV6) {
		inet_ntop(AF_INET6, addr->ip, host, sizeof(host));
		snprintf(text, PL_ADDR_TEXT_MAX, "[%s]:%u", host, addr->port);
	} else {
		snprintf(text, PL_ADDR_TEXT_MAX, "none");
	}
	return text;
}

socklen_t pl_addr_to_sockaddr(const pl_addr_t *addr,
			      struct sockaddr_storage *storage)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)storage;

	if (addr->family == PL_ADDR_IPV6) {
		memset(v6, 0, sizeof(*v6));
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(addr->port);
		memcpy(&v6->sin6_addr, addr->ip, IPV6_BYTES);
		return sizeof(*v6);
	}
	memset(v4, 0, sizeof(*v4));
	v4->sin_family = AF_INET;
	v4->sin_port = htons(addr->port);
	memcpy(&v4->sin_addr, addr->ip, IPV4_BYTES);
	return sizeof(*v4);
}

bool pl_addr_from_sockaddr(const struct sockaddr_storage *storage,
			   pl_addr_t *addr)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)storage;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)storage;

	memset(addr, 0, sizeof(*addr));
	if (storage->ss_family == AF_INET) {
		addr->family = PL_ADDR_IPV4;
		addr->port = ntohs(v4->sin_port);
		memcpy(addr->ip, &v4->sin_addr, IPV4_BYTES);
		return true;
	}
	if (storage->ss_family == AF_INET6) {
		addr->family = PL_ADDR_IPV6;
		addr->port = ntohs(v6->sin6_port);
		memcpy(addr->ip, &v6->sin6_addr, IPV6_BYTES);
		return true;
	}
	return false;
}

pl_member_id_t pl_member_id_from_addr(const pl_addr_t *addr)
{
	assert(addr->family == PL_ADDR_IPV4);
	return (uint64_t)addr->ip[0] << 40 | (uint64_t)addr->ip[1] << 32 |
	       (uint64_t)addr->ip[2] << 24 | (uint64_t)addr->ip[3] << 16 |
	       addr->port;
}

pl_addr_t pl_member_id_to_addr(pl_member_id_t id)
{
	pl_addr_t addr = { .family = PL_ADDR_IPV4, .port = (uint16_t)id };

	addr.ip[0] = (uint8_t)(id >> 40);
	addr.ip[1] = (uint8_t)(id >> 32);
	addr.ip[2] = (uint8_t)(id >> 24);
	addr.ip[3] = (uint8_t)(id >> 16);
	return addr;
}
