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

struct registration {
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

registration_t *registration_new(coap_context_t *coap,
				 const backend_options_t *options,
				 const pl_addr_t *own)
{
	registration_t *registration = g_new0(registration_t, 1);

	registration->coap = coap;
	registration->options = options;
	registration->own = *own;
	if (options->agent)
		pl_addr_parse(options->agent, &registration->agent, NULL);
	return registration;
}

static void close_session_(registration_t *registration)
{
	if (registration->session)
		coap_session_release(registration->session);
	registration->session = NULL;
}

void registration_delete(registration_t *registration)
{
	close_session_(registration);
	g_free(registration);
}

static bool open_session_(registration_t *registration)
{
	struct sockaddr_storage storage;
	coap_address_t to;

	if (registration->session)
		return true;
	coap_address_init(&to);
	to.size = pl_addr_to_sockaddr(&registration->agent, &storage);
	memcpy(&to.addr, &storage, to.size);
	registration->session = coap_new_client_session(
		registration->coap, NULL, &to, COAP_PROTO_UDP);
	if (registration->session)
		coap_session_set_max_retransmit(registration->session, 1);
	return registration->session != NULL;
}

static coap_pdu_t *new_request_(registration_t *registration,
				coap_pdu_code_t code)
{
	coap_pdu_t *pdu =
		coap_new_pdu(COAP_MESSAGE_CON, code, registration->session);
	uint8_t token[8];
	size_t token_len;

	coap_session_new_token(registration->session, &token_len, token);
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

static void send_registration_(registration_t *registration)
{
	const backend_options_t *options = registration->options;
	char text[PL_ADDR_TEXT_MAX];
	coap_pdu_t *pdu;

	if (!open_session_(registration))
		return;
	pdu = new_request_(registration, COAP_REQUEST_CODE_POST);
	add_path_(pdu, "rd");
	add_query_(pdu, g_strdup_printf("ep=%s", options->name));
	add_query_(pdu, g_strdup_printf("d=%s", options->service));
	add_query_(pdu, g_strdup_printf("lt=%u", options->lifetime_s));
	add_query_(pdu,
		   g_strdup_printf("base=coap://%s",
				   pl_addr_format(&registration->own, text)));
	add_query_(pdu, g_strdup_printf("slots=%u", options->slots));
	coap_send(registration->session, pdu);
}

int registration_run(registration_t *registration)
{
	uint64_t now_ms = pl_now_ms();
	uint64_t renew_ms = (uint64_t)registration->options->lifetime_s *
			    MS_PER_S / RENEWALS_PER_LIFETIME;

	if (registration->agent.family == PL_ADDR_NONE)
		return -1;
	if (registration->failed) {
		close_session_(registration);
		registration->failed = false;
		registration->registered = false;
		registration->removing = false;
	}
	if (registration->removing)
		return RETRY_MS;
	if (now_ms >= registration->next_ms) {
		send_registration_(registration);
		registration->next_ms =
			now_ms +
			(registration->registered ? renew_ms : RETRY_MS);
	}
	return (int)(registration->next_ms - now_ms);
}

void registration_set_agent(registration_t *registration,
			    const pl_addr_t *agent)
{
	registration->agent = *agent;
	registration->registered = false;
	registration->removing = false;
	registration->next_ms = 0;
	close_session_(registration);
}

static void store_location_(registration_t *registration,
			    const coap_pdu_t *received)
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
		g_strlcpy(registration->location, path->str, LOCATION_MAX);
	g_string_free(path, TRUE);
}

void registration_response(registration_t *registration,
			   const coap_pdu_t *received)
{
	coap_pdu_code_t code = coap_pdu_get_code(received);

	/* 2.02 Deleted: the registration was removed; do not register again */
	if (code == COAP_RESPONSE_CODE(202)) {
		registration->registered = false;
		registration->removing = false;
		registration->agent.family = PL_ADDR_NONE;
		return;
	}
	if (COAP_RESPONSE_CLASS(code) != 2)
		return;
	store_location_(registration, received);
	if (!registration->registered)
		registration->next_ms =
			pl_now_ms() +
			(uint64_t)registration->options->lifetime_s * MS_PER_S /
				RENEWALS_PER_LIFETIME;
	registration->registered = true;
}

void registration_failed(registration_t *registration,
			 const coap_session_t *session)
{
	if (session == registration->session)
		registration->failed = true;
}

void registration_remove(registration_t *registration)
{
	if (!registration->registered || !open_session_(registration))
		return;
	coap_pdu_t *pdu = new_request_(registration, COAP_REQUEST_CODE_DELETE);

	add_path_(pdu,
		  registration->location[0] ? registration->location : "rd");
	coap_send(registration->session, pdu);
	registration->removing = true;
}

bool registration_active(const registration_t *registration)
{
	return registration->registered;
}

bool registration_removing(const registration_t *registration)
{
	return registration->removing;
}
