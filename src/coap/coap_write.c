/**
 * @file
 * Encoding of CoAP datagrams; libcoap encodes the options.
 */
#include <pimentolift/coap_msg.h>

#include <assert.h>
#include <coap3/coap.h>
#include <string.h>

#define COAP_VERSION 1
#define HEADER_BYTES 4
#define PAYLOAD_MARKER 0xff
#define UINT_OPTION_BYTES_MAX 4

void pl_coap_write_start(pl_coap_writer_t *writer, uint8_t *buf, size_t cap,
			 pl_coap_type_t type, uint8_t code, uint16_t mid,
			 const uint8_t *token, size_t token_len)
{
	assert(token_len <= PL_COAP_TOKEN_MAX);
	*writer = (pl_coap_writer_t){ .buf = buf, .cap = cap };
	if (cap < HEADER_BYTES + token_len) {
		writer->overflow = true;
		return;
	}
	buf[0] = (uint8_t)(COAP_VERSION << 6 | type << 4 | token_len);
	buf[1] = code;
	buf[2] = (uint8_t)(mid >> 8);
	buf[3] = (uint8_t)mid;
	if (token_len > 0)
		memcpy(buf + HEADER_BYTES, token, token_len);
	writer->len = HEADER_BYTES + token_len;
}

void pl_coap_write_option(pl_coap_writer_t *writer, uint16_t number,
			  const void *value, size_t len)
{
	size_t used;

	assert(number >= writer->last_option);
	if (writer->overflow)
		return;
	used = coap_opt_encode(writer->buf + writer->len,
			       writer->cap - writer->len,
			       number - writer->last_option, value, len);
	if (used == 0) {
		writer->overflow = true;
		return;
	}
	writer->len += used;
	writer->last_option = number;
}

void pl_coap_write_uint(pl_coap_writer_t *writer, uint16_t number,
			uint32_t value)
{
	uint8_t bytes[UINT_OPTION_BYTES_MAX];
	unsigned int len = coap_encode_var_safe(bytes, sizeof(bytes), value);

	pl_coap_write_option(writer, number, bytes, len);
}

void pl_coap_write_block(pl_coap_writer_t *writer, uint16_t number,
			 const pl_coap_block_t *block)
{
	pl_coap_write_uint(writer, number,
			   block->num << 4 | (block->more ? 0x8u : 0u) |
				   block->szx);
}

void pl_coap_write_segments(pl_coap_writer_t *writer, uint16_t number,
			    const char *text, char separator)
{
	const char *start = text;

	if (*text == '\0')
		return;
	while (true) {
		const char *end = strchr(start, separator);
		size_t len = end ? (size_t)(end - start) : strlen(start);

		pl_coap_write_option(writer, number, start, len);
		if (!end)
			return;
		start = end + 1;
	}
}

void pl_coap_write_payload(pl_coap_writer_t *writer, const void *data,
			   size_t len)
{
	if (len == 0 || writer->overflow)
		return;
	if (writer->cap - writer->len < len + 1) {
		writer->overflow = true;
		return;
	}
	writer->buf[writer->len++] = PAYLOAD_MARKER;
	memcpy(writer->buf + writer->len, data, len);
	writer->len += len;
}

size_t pl_coap_write_end(const pl_coap_writer_t *writer)
{
	return writer->overflow ? 0 : writer->len;
}
