/**
 * @file
 * @defgroup coap_msg CoAP messages as datagrams
 *
 * Callers speak CoAP over UDP (RFC 7252) with Observe (RFC 7641), block-wise
 * transfer (RFC 7959), and Echo and Request-Tag (RFC 9175). This module parses
 * one datagram into a @ref pl_coap_msg_t, whose pointers refer to memory of the
 * parser and of the datagram, and writes a datagram into a buffer that the
 * calling function provides. libcoap does the parsing and the encoding of
 * options. Neither parsing nor writing allocates memory per message.
 * @{
 */
#ifndef PIMENTOLIFT_COAP_MSG_H
#define PIMENTOLIFT_COAP_MSG_H

#include <pimentolift/result.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Longest token (RFC 7252 section 3), in bytes. */
#define PL_COAP_TOKEN_MAX 8
/** Largest stored path or query, terminating NUL included, in bytes. */
#define PL_COAP_PATH_MAX 256
/** Longest ETag value (RFC 7252 section 5.10.6), in bytes. */
#define PL_COAP_ETAG_MAX 8
/** Longest Request-Tag value (RFC 9175 section 3.2.1), in bytes. */
#define PL_COAP_RTAG_MAX 8
/** Longest Echo value (RFC 9175 section 2.2.1), in bytes. */
#define PL_COAP_ECHO_MAX 40
/** Largest CoAP datagram that is accepted or sent, in bytes. */
#define PL_COAP_DATAGRAM_MAX 1400
/** Largest block of a block-wise transfer (SZX 6), in bytes. */
#define PL_COAP_BLOCK_MAX 1024

/** Encodes a code such as 4.01 in one byte. */
#define PL_COAP_CODE(class, detail) ((uint8_t)(((class) << 5) | (detail)))

/** Message type (RFC 7252 section 3). */
typedef enum {
	PL_COAP_CON = 0,
	PL_COAP_NON = 1,
	PL_COAP_ACK = 2,
	PL_COAP_RST = 3,
} pl_coap_type_t;

/** Method and response codes in use. */
typedef enum {
	PL_COAP_EMPTY = 0,
	PL_COAP_GET = PL_COAP_CODE(0, 1),
	PL_COAP_POST = PL_COAP_CODE(0, 2),
	PL_COAP_PUT = PL_COAP_CODE(0, 3),
	PL_COAP_DELETE = PL_COAP_CODE(0, 4),
	PL_COAP_FETCH = PL_COAP_CODE(0, 5),
	PL_COAP_CREATED = PL_COAP_CODE(2, 1),
	PL_COAP_DELETED = PL_COAP_CODE(2, 2),
	PL_COAP_VALID = PL_COAP_CODE(2, 3),
	PL_COAP_CHANGED = PL_COAP_CODE(2, 4),
	PL_COAP_CONTENT = PL_COAP_CODE(2, 5),
	PL_COAP_CONTINUE = PL_COAP_CODE(2, 31),
	PL_COAP_BAD_REQUEST = PL_COAP_CODE(4, 0),
	PL_COAP_UNAUTHORIZED = PL_COAP_CODE(4, 1),
	PL_COAP_BAD_OPTION = PL_COAP_CODE(4, 2),
	PL_COAP_NOT_FOUND = PL_COAP_CODE(4, 4),
	PL_COAP_NOT_ALLOWED = PL_COAP_CODE(4, 5),
	PL_COAP_INCOMPLETE = PL_COAP_CODE(4, 8),
	PL_COAP_TOO_LARGE = PL_COAP_CODE(4, 13),
	PL_COAP_INTERNAL_ERROR = PL_COAP_CODE(5, 0),
	PL_COAP_BAD_GATEWAY = PL_COAP_CODE(5, 2),
	PL_COAP_UNAVAILABLE = PL_COAP_CODE(5, 3),
	PL_COAP_GATEWAY_TIMEOUT = PL_COAP_CODE(5, 4),
} pl_coap_code_t;

/** Option numbers in use. */
typedef enum {
	PL_COAP_OPT_URI_HOST = 3,
	PL_COAP_OPT_ETAG = 4,
	PL_COAP_OPT_OBSERVE = 6,
	PL_COAP_OPT_URI_PORT = 7,
	PL_COAP_OPT_LOCATION_PATH = 8,
	PL_COAP_OPT_URI_PATH = 11,
	PL_COAP_OPT_CONTENT_FORMAT = 12,
	PL_COAP_OPT_MAX_AGE = 14,
	PL_COAP_OPT_URI_QUERY = 15,
	PL_COAP_OPT_ACCEPT = 17,
	PL_COAP_OPT_BLOCK2 = 23,
	PL_COAP_OPT_BLOCK1 = 27,
	PL_COAP_OPT_SIZE2 = 28,
	PL_COAP_OPT_SIZE1 = 60,
	PL_COAP_OPT_ECHO = 252,
	PL_COAP_OPT_NO_RESPONSE = 258,
	PL_COAP_OPT_REQUEST_TAG = 292,
} pl_coap_option_t;

/** A Block1 or Block2 option (RFC 7959 section 2.2). */
typedef struct {
	bool present;
	bool more;
	uint8_t szx; /**< block size is 2^(szx + 4) bytes */
	uint32_t num;
} pl_coap_block_t;

/**
 * Parsed message. Pointers refer to the datagram and to the parser's memory;
 * the message does not own them.
 */
typedef struct {
	pl_coap_type_t type;
	uint8_t code;
	uint16_t mid; /**< Message ID */
	uint8_t token_len;
	uint8_t token[PL_COAP_TOKEN_MAX];
	bool has_observe;
	uint32_t observe;
	pl_coap_block_t block1;
	pl_coap_block_t block2;
	const uint8_t *echo;
	size_t echo_len;
	const uint8_t *etag;
	size_t etag_len;
	const uint8_t *rtag; /**< Request-Tag */
	size_t rtag_len;
	int32_t content_format; /**< -1 when absent */
	int32_t accept; /**< -1 when absent */
	int64_t max_age_s; /**< -1 when absent */
	int64_t size1; /**< -1 when absent */
	uint8_t no_response; /**< No-Response (RFC 7967), 0 when absent */
	bool unknown_critical; /**< an unknown critical option is present */
	bool too_long; /**< path or query exceeds PL_COAP_PATH_MAX */
	char path[PL_COAP_PATH_MAX]; /**< segments joined by '/' */
	char query[PL_COAP_PATH_MAX]; /**< parameters joined by '&' */
	const uint8_t *payload;
	size_t payload_len;
} pl_coap_msg_t;

typedef struct pl_coap_parser pl_coap_parser_t;

/** Creates a parser; one per thread, for one message at a time. */
pl_coap_parser_t *pl_coap_parser_new(void);
void pl_coap_parser_delete(pl_coap_parser_t *parser);

/**
 * Parses @p len bytes at @p datagram. @p msg stays valid until the next parse
 * with the same parser and only as long as @p datagram exists. Returns
 * PL_ERR_MALFORMED when @p datagram is not a CoAP message.
 */
pl_result_t pl_coap_parse(pl_coap_parser_t *parser, const uint8_t *datagram,
			  size_t len, pl_coap_msg_t *msg);

/** Whether @p code is a request method, 0.01 to 0.31. */
static inline bool pl_coap_is_request(uint8_t code)
{
	return code != 0 && code < 32;
}

/**
 * Writer of one message into a buffer. Once the message has overflowed the
 * buffer, further writes have no effect and pl_coap_write_end() returns 0.
 */
typedef struct {
	uint8_t *buf;
	size_t cap;
	size_t len;
	uint16_t last_option;
	bool overflow;
} pl_coap_writer_t;

/** Starts a message in @p buf, which has @p cap bytes. */
void pl_coap_write_start(pl_coap_writer_t *writer, uint8_t *buf, size_t cap,
			 pl_coap_type_t type, uint8_t code, uint16_t mid,
			 const uint8_t *token, size_t token_len);

/** Adds an option; options must be added in ascending order of @p number. */
void pl_coap_write_option(pl_coap_writer_t *writer, uint16_t number,
			  const void *value, size_t len);

/** Adds an option with an unsigned integer in its shortest encoding. */
void pl_coap_write_uint(pl_coap_writer_t *writer, uint16_t number,
			uint32_t value);

/** Adds a Block1 or Block2 option. */
void pl_coap_write_block(pl_coap_writer_t *writer, uint16_t number,
			 const pl_coap_block_t *block);

/** Splits @p text at @p separator and adds one option per segment. */
void pl_coap_write_segments(pl_coap_writer_t *writer, uint16_t number,
			    const char *text, char separator);

/** Adds the payload as the last part; an empty payload adds nothing. */
void pl_coap_write_payload(pl_coap_writer_t *writer, const void *data,
			   size_t len);

/** Length of the message, or 0 when it did not fit into the buffer. */
size_t pl_coap_write_end(const pl_coap_writer_t *writer);

#endif
/** @} */
