/**
 * @file
 * @defgroup proxy PROXY protocol version 2
 *
 * The network fabric prepends a PROXY protocol v2 header for UDP to each
 * datagram of a caller, which tells the entry the caller's address and the
 * service address. Answers carry the same header with source and destination
 * swapped. Specified in section 2.2 of the published PROXY protocol.
 * @{
 */
#ifndef PIMENTOLIFT_PROXY_H
#define PIMENTOLIFT_PROXY_H

#include <pimentolift/addr.h>
#include <stddef.h>

/** Largest header that this module writes, in bytes. */
#define PL_PROXY_HEADER_MAX 52

/** Source and destination address in a header. */
typedef struct {
	pl_addr_t source;
	pl_addr_t destination;
} pl_proxy_t;

/** Whether @p buf begins with the signature of a PROXY v2 header. */
bool pl_proxy_present(const uint8_t *buf, size_t len);

/**
 * Parses the header at the start of @p buf; @p header_len is set to the length
 * of the header, after which the datagram begins. Returns PL_ERR_MALFORMED when
 * @p buf does not begin with a complete header for UDP.
 */
pl_result_t pl_proxy_read(const uint8_t *buf, size_t len, pl_proxy_t *proxy,
			  size_t *header_len);

/**
 * Writes a header into @p buf, which has PL_PROXY_HEADER_MAX bytes. Returns the
 * length of the header, or 0 when the address families differ.
 */
size_t pl_proxy_write(const pl_proxy_t *proxy, uint8_t *buf);

#endif
/** @} */
