/**
 * @file
 * @defgroup addr Network addresses
 *
 * An IPv4 or IPv6 address with a port. Unused bytes are zero, so that two
 * addresses can be compared with memcmp() and the structure can be hashed
 * byte by byte.
 * @{
 */
#ifndef PIMENTOLIFT_ADDR_H
#define PIMENTOLIFT_ADDR_H

#include <pimentolift/result.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

/** Size of a printed address and port, in bytes, terminating NUL included. */
#define PL_ADDR_TEXT_MAX 56

typedef enum {
	PL_ADDR_NONE = 0,
	PL_ADDR_IPV4 = 4,
	PL_ADDR_IPV6 = 6,
} pl_addr_family_t;

/** Address and port; @c ip in network byte order, @c port in host order. */
typedef struct {
	uint8_t ip[16];
	uint16_t port;
	uint16_t family;
} pl_addr_t;

/** Whether @p a and @p b are the same address and port. */
bool pl_addr_equal(const pl_addr_t *a, const pl_addr_t *b);

/** Hash of @p addr, seeded with @p seed. */
uint64_t pl_addr_hash(const pl_addr_t *addr, uint64_t seed);

/** Parses "192.0.2.1:5683" or "[2001:db8::1]:5683". */
pl_result_t pl_addr_parse(const char *text, pl_addr_t *addr, pl_error_t *err);

/** Formats @p addr into @p text and returns @p text. */
const char *pl_addr_format(const pl_addr_t *addr, char text[PL_ADDR_TEXT_MAX]);

/** Fills @p storage; returns the length for connect() and sendto(). */
socklen_t pl_addr_to_sockaddr(const pl_addr_t *addr,
			      struct sockaddr_storage *storage);

/** Converts a socket address; false unless its family is IPv4 or IPv6. */
bool pl_addr_from_sockaddr(const struct sockaddr_storage *storage,
			   pl_addr_t *addr);

/**
 * Identifier of a member: its inner IPv4 address and data port in one number,
 * so that a ticket which carries the identifier can be routed without a lookup.
 */
typedef uint64_t pl_member_id_t;

/** Identifier of the member at @p addr, which must be IPv4. */
pl_member_id_t pl_member_id_from_addr(const pl_addr_t *addr);

/** Data address of the member @p id. */
pl_addr_t pl_member_id_to_addr(pl_member_id_t id);

#endif
/** @} */
