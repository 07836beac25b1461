/**
 * @file
 * @defgroup proxy PROXY protocol version 2
 *
 * The fabric puts a PROXY protocol v2 header in its UDP form before each
 * caller's datagram, so that the entry learns who sent it and to which
 * service address; answers go back behind the same header with source and
 * destination exchanged. Source: the published PROXY protocol, section 2.2.
 * @{
 */
#ifndef PIMENTOLIFT_PROXY_H
#define PIMENTOLIFT_PROXY_H

#include <pimentolift/addr.h>
#include <stddef.h>

/** Largest header that this module writes, in bytes. */
#define PL_PROXY_HEADER_MAX 52

/** Source and destination that a header carries. */
typedef struct {
	pl_addr_t source;
	pl_addr_t destination;
} pl_proxy_t;

/** Whether @p buf begins with the signature of a header. */
bool pl_proxy_present(const uint8_t *buf, size_t len);

/**
 * Reads the header at the start of @p buf; @p header_len is where the
 * datagram begins. Returns PL_ERR_MALFORMED when it is not a UDP header.
 */
pl_result_t pl_proxy_read(const uint8_t *buf, size_t len, pl_proxy_t *proxy,
			  size_t *header_len);

/**
 * Writes a header into @p buf, which has PL_PROXY_HEADER_MAX bytes; returns
 * its length, 0 when the two families differ.
 */
size_t pl_proxy_write(const pl_proxy_t *proxy, uint8_t *buf);

#endif
/** @} */
