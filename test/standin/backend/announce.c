/**
 * @file
 * Registration of a backend server at its agent (RFC 9176 section 5),
 * renewed four times per lifetime.
 */
#include "backend.h"

#include <string.h>

#define RETRY_MS 300
#define RENEWALS_PER_LIFETIME 4
#define MS_PER_S 1000
#define LOCATION_MAX 128

struct announce {
	coap_context_t *coap;
	const backend_options_t *options;
	pl_addr_t own;
	pl_addr_t agent;
	coap_session_t *session;
	uint64_t next_ms;
	bool registered;
	bool removing;
	bool failed;
	char location[LOCATION_MAX];
};

announce_t *announce_new(coap_context_t *coap, const backend_options_t *options,
			 const pl_addr_t *own)
{
	announce_t *announce = g_new0(announce_t, 1);

	announce->coap = coap;
	announce->options = options;
	announce->own = *own;
	if (options->agent)
		pl_addr_parse(options->agent, &announce->agent, NULL);
	return announce;
}

static void close_session_(announce_t *announce)
{
	if (announce->session)
		coap_session_release(announce->session);
	announce->session = NULL;
}

void announce_delete(announce_t *announce)
{
	close_session_(announce);
	g_free(announce);
}

static bool open_session_(announce_t *announce)
{
	struct sockaddr_storage storage;
	coap_address_t to;

	if (announce->session)
		return true;
	coap_address_init(&to);
	to.size = pl_addr_to_sockaddr(&announce->agent, &storage);
	memcpy(&to.addr, &storage, to.size);
	announce->session = coap_new_client_session(announce->coap, NULL, &to,
						    COAP_PROTO_UDP);
	if (announce->session)
		coap_session_set_max_retransmit(announce->session, 1);
	return announce->session != NULL;
}

static coap_pdu_t *new_request_(announce_t *announce, coap_pdu_code_t code)
{
	coap_pdu_t *pdu =
		coap_new_pdu(COAP_MESSAGE_CON, code, announce->session);
	uint8_t token[8];
	size_t token_len;

	coap_session_new_token(announce->session, &token_len, token);
	coap_add_token(pdu, token_len, token);
	return pdu;
}

static void add_path_(coap_pdu_t *pdu, const char *path)
{
	char **segments = g_strsplit(path, "/", -1);

	for (char **s = segments; *s; s++) {
		if (**s)
			coap_add_option(pdu, COAP_OPTION_URI_PATH, strlen(*s),
					(const uint8_t *)*s);
	}
	g_strfreev(segments);
}

static void add_query_(coap_pdu_t *pdu, char *query)
{
	coap_add_option(pdu, COAP_OPTION_URI_QUERY, strlen(query),
			(const uint8_t *)query);
	g_free(query);
}

static void send_registration_(announce_t *announce)
{
	const backend_options_t *options = announce->options;
	char text[PL_ADDR_TEXT_MAX];
	coap_pdu_t *pdu;

	if (!open_session_(announce))
		return;
	pdu = new_request_(announce, COAP_REQUEST_CODE_POST);
	add_path_(pdu, "rd");
	add_query_(pdu, g_strdup_printf("ep=%s", options->name));
	add_query_(pdu, g_strdup_printf("d=%s", options->service));
	add_query_(pdu, g_strdup_printf("lt=%u", options->lifetime_s));
	add_query_(pdu, g_strdup_printf("base=coap://%s",
					pl_addr_format(&announce->own, text)));
	add_query_(pdu, g_strdup_printf("slots=%u", options->slots));
	coap_send(announce->session, pdu);
}

int announce_run(announce_t *announce)
{
	uint64_t now_ms = pl_now_ms();
	uint64_t renew_ms = (uint64_t)announce->options->lifetime_s * MS_PER_S /
			    RENEWALS_PER_LIFETIME;

	if (announce->agent.family == PL_ADDR_NONE)
		return -1;
	if (announce->failed) {
		close_session_(announce);
		announce->failed = false;
		announce->registered = false;
		announce->removing = false;
	}
	if (announce->removing)
		return RETRY_MS;
	if (now_ms >= announce->next_ms) {
		send_registration_(announce);
		announce->next_ms =
			now_ms + (announce->registered ? renew_ms : RETRY_MS);
	}
	return (int)(announce->next_ms - now_ms);
}

void announce_set_agent(announce_t *announce, const pl_addr_t *agent)
{
	announce->agent = *agent;
	announce->registered = false;
	announce->removing = false;
	announce->next_ms = 0;
	close_session_(announce);
}

static void store_location_(announce_t *announce, const coap_pdu_t *received)
{
	coap_opt_iterator_t it;
	coap_opt_filter_t filter;
	coap_opt_t *option;
	GString *path = g_string_new(NULL);

	coap_option_filter_clear(&filter);
	coap_option_filter_set(&filter, COAP_OPTION_LOCATION_PATH);
	coap_option_iterator_init(received, &it, &filter);
	while ((option = coap_option_next(&it)))
		g_string_append_printf(path, "/%.*s",
				       (int)coap_opt_length(option),
				       (const char *)coap_opt_value(option));
	if (path->len > 0)
		g_strlcpy(announce->location, path->str, LOCATION_MAX);
	g_string_free(path, TRUE);
}

void announce_response(announce_t *announce, const coap_pdu_t *received)
{
	coap_pdu_code_t code = coap_pdu_get_code(received);

	/* 2.02 Deleted: the registration was removed; do not register again */
	if (code == COAP_RESPONSE_CODE(202)) {
		announce->registered = false;
		announce->removing = false;
		announce->agent.family = PL_ADDR_NONE;
		return;
	}
	if (COAP_RESPONSE_CLASS(code) != 2)
		return;
	store_location_(announce, received);
	if (!announce->registered)
		announce->next_ms =
			pl_now_ms() + (uint64_t)announce->options->lifetime_s *
					      MS_PER_S / RENEWALS_PER_LIFETIME;
	announce->registered = true;
}

void announce_failed(announce_t *announce, const coap_session_t *session)
{
	if (session == announce->session)
		announce->failed = true;
}

void announce_remove(announce_t *announce)
{
	if (!announce->registered || !open_session_(announce))
		return;
	coap_pdu_t *pdu = new_request_(announce, COAP_REQUEST_CODE_DELETE);

	add_path_(pdu, announce->location[0] ? announce->location : "rd");
	coap_send(announce->session, pdu);
	announce->removing = true;
}

bool announce_registered(const announce_t *announce)
{
	return announce->registered;
}

bool announce_removing(const announce_t *announce)
{
	return announce->removing;
}
