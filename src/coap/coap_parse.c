/**
 * @file
 * Parsing of CoAP datagrams with libcoap.
 */
#include <pimentolift/coap_msg.h>

#include <assert.h>
#include <coap3/coap.h>
#include <glib.h>
#include <string.h>

#define BLOCK_SZX_MAX 6
#define UINT_OPTION_BYTES_MAX 4

struct pl_coap_parser {
	coap_pdu_t *pdu;
};

pl_coap_parser_t *pl_coap_parser_new(void)
{
	pl_coap_parser_t *parser = g_new0(pl_coap_parser_t, 1);

	parser->pdu =
		coap_pdu_init(COAP_MESSAGE_CON, 0, 0, PL_COAP_DATAGRAM_MAX);
	assert(parser->pdu);
	return parser;
}

void pl_coap_parser_delete(pl_coap_parser_t *parser)
{
	if (!parser)
		return;
	coap_delete_pdu(parser->pdu);
	g_free(parser);
}

/* Appends a segment to @p text; false if it does not fit. */
static bool append_segment_(char text[PL_COAP_PATH_MAX], size_t *used,
			    char separator, const uint8_t *segment, size_t len,
			    bool first)
{
	size_t need = len + (first ? 0 : 1);

	if (*used + need + 1 > PL_COAP_PATH_MAX)
		return false;
	if (!first)
		text[(*used)++] = separator;
	memcpy(text + *used, segment, len);
	*used += len;
	text[*used] = '\0';
	return true;
}

static void read_block_(const uint8_t *value, size_t len,
			pl_coap_block_t *block)
{
	uint32_t bits = coap_decode_var_bytes(value, (unsigned int)len);

	block->present = true;
	block->num = bits >> 4;
	block->more = (bits & 0x8) != 0;
	block->szx = bits & 0x7;
}

/* Progress of joining the path segments and the query parameters. */
typedef struct {
	size_t path_used;
	size_t query_used;
	bool path_started;
	bool query_started;
} join_state_t;

static void read_path_or_query_(uint16_t number, const uint8_t *value,
				size_t len, join_state_t *state,
				pl_coap_msg_t *msg)
{
	bool fits;

	if (number == PL_COAP_OPT_URI_PATH) {
		fits = append_segment_(msg->path, &state->path_used, '/', value,
				       len, !state->path_started);
		state->path_started = true;
	} else {
		fits = append_segment_(msg->query, &state->query_used, '&',
				       value, len, !state->query_started);
		state->query_started = true;
	}
	if (!fits)
		msg->too_long = true;
}

/* Reads an option with an integer value; false for all other options. */
static bool read_uint_option_(uint16_t number, const uint8_t *value, size_t len,
			      pl_coap_msg_t *msg)
{
	uint32_t bits;

	if (len > UINT_OPTION_BYTES_MAX)
		return false;
	bits = coap_decode_var_bytes(value, (unsigned int)len);
	switch (number) {
	case PL_COAP_OPT_OBSERVE:
		msg->has_observe = true;
		msg->observe = bits;
		return true;
	case PL_COAP_OPT_CONTENT_FORMAT:
		msg->content_format = (int32_t)bits;
		return true;
	case PL_COAP_OPT_ACCEPT:
		msg->accept = (int32_t)bits;
		return true;
	case PL_COAP_OPT_MAX_AGE:
		msg->max_age_s = bits;
		return true;
	case PL_COAP_OPT_SIZE1:
		msg->size1 = bits;
		return true;
	case PL_COAP_OPT_NO_RESPONSE:
		msg->no_response = (uint8_t)bits;
		return true;
	case PL_COAP_OPT_BLOCK1:
		read_block_(value, len, &msg->block1);
		return true;
	case PL_COAP_OPT_BLOCK2:
		read_block_(value, len, &msg->block2);
		return true;
	default:
		return false;
	}
}

static void read_option_(uint16_t number, const uint8_t *value, size_t len,
			 join_state_t *state, pl_coap_msg_t *msg)
{
	if (read_uint_option_(number, value, len, msg))
		return;
	switch (number) {
	case PL_COAP_OPT_URI_PATH:
	case PL_COAP_OPT_URI_QUERY:
		read_path_or_query_(number, value, len, state, msg);
		break;
	case PL_COAP_OPT_ECHO:
		msg->echo = value;
		msg->echo_len = len;
		break;
	case PL_COAP_OPT_ETAG:
		msg->etag = value;
		msg->etag_len = len;
		break;
	case PL_COAP_OPT_REQUEST_TAG:
		msg->rtag = value;
		msg->rtag_len = len;
		break;
	case PL_COAP_OPT_URI_HOST:
	case PL_COAP_OPT_URI_PORT:
		break;
	default:
		/* an odd number marks a critical option (RFC 7252, 5.4.6) */
		if (number & 1)
			msg->unknown_critical = true;
		break;
	}
}

static void clear_msg_(pl_coap_msg_t *msg)
{
	/* of the large text buffers only the first byte is cleared */
	memset(msg, 0, offsetof(pl_coap_msg_t, path));
	msg->path[0] = '\0';
	msg->query[0] = '\0';
	msg->payload = NULL;
	msg->payload_len = 0;
	msg->content_format = -1;
	msg->accept = -1;
	msg->max_age_s = -1;
	msg->size1 = -1;
}

static pl_result_t read_options_(coap_pdu_t *pdu, pl_coap_msg_t *msg)
{
	coap_opt_iterator_t iterator;
	join_state_t state = { 0 };
	coap_opt_t *option;

	coap_option_iterator_init(pdu, &iterator, COAP_OPT_ALL);
	while ((option = coap_option_next(&iterator)))
		read_option_(iterator.number, coap_opt_value(option),
			     coap_opt_length(option), &state, msg);
	if (msg->etag_len > PL_COAP_ETAG_MAX ||
	    msg->rtag_len > PL_COAP_RTAG_MAX ||
	    msg->echo_len > PL_COAP_ECHO_MAX)
		return PL_ERR_MALFORMED;
	if (msg->block1.szx > BLOCK_SZX_MAX || msg->block2.szx > BLOCK_SZX_MAX)
		return PL_ERR_MALFORMED;
	return PL_OK;
}

pl_result_t pl_coap_parse(pl_coap_parser_t *parser, const uint8_t *datagram,
			  size_t len, pl_coap_msg_t *msg)
{
	coap_pdu_t *pdu = parser->pdu;
	coap_bin_const_t token;
	pl_result_t result;

	clear_msg_(msg);
	if (len > PL_COAP_DATAGRAM_MAX || len < 4)
		return PL_ERR_MALFORMED;
	if (!coap_pdu_parse(COAP_PROTO_UDP, datagram, len, pdu))
		return PL_ERR_MALFORMED;
	token = coap_pdu_get_token(pdu);
	if (token.length > PL_COAP_TOKEN_MAX)
		return PL_ERR_MALFORMED;
	msg->type = (pl_coap_type_t)coap_pdu_get_type(pdu);
	msg->code = (uint8_t)coap_pdu_get_code(pdu);
	msg->mid = (uint16_t)coap_pdu_get_mid(pdu);
	msg->token_len = (uint8_t)token.length;
	memcpy(msg->token, token.s, token.length);
	result = read_options_(pdu, msg);
	if (result != PL_OK)
		return result;
	if (!coap_get_data(pdu, &msg->payload_len, &msg->payload))
		msg->payload_len = 0;
	return PL_OK;
}
