/**
 * @file
 * Registration of the backend server.
 */
#include "private/backend_registry.h"

#include <pimentolift/event.h>

#include <glib.h>
#include <string.h>

#define LIFETIME_DEFAULT_S 90
#define LIFETIME_MAX_S 86400
#define SLOTS_DEFAULT 1
#define SLOTS_MAX 65536
#define MS_PER_S 1000
#define BASE_SCHEME "coap://"

struct pl_backend_registry {
	pl_loop_t *loop;
	coap_context_t *coap;
	pl_backend_registration_changed_t changed;
	void *ctx;
	bool present;
	pl_backend_registration_t current;
	pl_timer_t expiry;
};

static void arm_expiry_(pl_backend_registry_t *registry)
{
	pl_timer_service_t *timers = pl_loop_timers(registry->loop);

	pl_timer_arm(timers, &registry->expiry,
		     pl_timer_service_now(timers) +
			     (pl_ms_t)registry->current.lifetime_s * MS_PER_S);
}

void pl_backend_registry_remove(pl_backend_registry_t *registry)
{
	if (!registry->present)
		return;
	registry->present = false;
	pl_timer_cancel(pl_loop_timers(registry->loop), &registry->expiry);
	pl_event(PL_EVENT_BACKEND_DOWN, "%s of %s", registry->current.name,
		 registry->current.service);
	registry->changed(registry->ctx, NULL);
}

static void on_expiry_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_backend_registry_remove(ctx);
}

/* Parses a number from 1 to @p max; false if it is out of range. */
static bool parse_uint_(const char *text, uint32_t max, uint32_t *value)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(text, 10, 1, max, &number, NULL))
		return false;
	*value = (uint32_t)number;
	return true;
}

static bool parse_base_(const char *text, pl_addr_t *base)
{
	if (!g_str_has_prefix(text, BASE_SCHEME))
		return false;
	return pl_addr_parse(text + strlen(BASE_SCHEME), base, NULL) == PL_OK;
}

static bool parse_name_(const char *text, char name[PL_NAME_MAX])
{
	return text[0] != '\0' &&
	       g_strlcpy(name, text, PL_NAME_MAX) < PL_NAME_MAX;
}

static bool parse_parameter_(const char *parameter,
			     pl_backend_registration_t *entry)
{
	const char *value = strchr(parameter, '=');

	if (!value)
		return true;
	value++;
	if (g_str_has_prefix(parameter, "ep="))
		return parse_name_(value, entry->name);
	if (g_str_has_prefix(parameter, "d="))
		return parse_name_(value, entry->service);
	if (g_str_has_prefix(parameter, "lt="))
		return parse_uint_(value, LIFETIME_MAX_S, &entry->lifetime_s);
	if (g_str_has_prefix(parameter, "slots="))
		return parse_uint_(value, SLOTS_MAX, &entry->slots);
	if (g_str_has_prefix(parameter, "base="))
		return parse_base_(value, &entry->base);
	return true;
}

/* Parses the query of a registration; false if it is invalid. */
static bool parse_registration_(const coap_string_t *query,
				pl_backend_registration_t *entry)
{
	char *text = g_strndup((const char *)query->s, query->length);
	char **parameters = g_strsplit(text, "&", -1);
	bool valid = true;

	memset(entry, 0, sizeof(*entry));
	entry->lifetime_s = LIFETIME_DEFAULT_S;
	entry->slots = SLOTS_DEFAULT;
	for (char **p = parameters; *p && valid; p++)
		valid = parse_parameter_(*p, entry);
	g_strfreev(parameters);
	g_free(text);
	return valid && entry->name[0] && entry->service[0] &&
	       entry->base.family != PL_ADDR_NONE;
}

static bool same_backend_(const pl_backend_registration_t *a,
			  const pl_backend_registration_t *b)
{
	return strcmp(a->service, b->service) == 0 && a->slots == b->slots &&
	       pl_addr_equal(&a->base, &b->base);
}

static void accept_registration_(pl_backend_registry_t *registry,
				 const pl_backend_registration_t *entry)
{
	bool known =
		registry->present && same_backend_(&registry->current, entry);

	registry->present = true;
	registry->current = *entry;
	arm_expiry_(registry);
	if (known)
		return;
	pl_event(PL_EVENT_BACKEND_UP, "%s of %s, %u slots", entry->name,
		 entry->service, entry->slots);
	registry->changed(registry->ctx, &registry->current);
}

static void post_rd_(coap_resource_t *resource, coap_session_t *session,
		     const coap_pdu_t *request, const coap_string_t *query,
		     coap_pdu_t *response)
{
	pl_backend_registry_t *registry = coap_resource_get_userdata(resource);
	pl_backend_registration_t entry;

	if (!query || !parse_registration_(query, &entry)) {
		coap_pdu_set_code(response, COAP_RESPONSE_CODE_BAD_REQUEST);
		return;
	}
	accept_registration_(registry, &entry);
	coap_pdu_set_code(response, COAP_RESPONSE_CODE_CREATED);
	coap_add_option(response, COAP_OPTION_LOCATION_PATH, 2,
			(const uint8_t *)"rd");
	coap_add_option(response, COAP_OPTION_LOCATION_PATH, 1,
			(const uint8_t *)"1");
}

static void post_registration_(coap_resource_t *resource,
			       coap_session_t *session,
			       const coap_pdu_t *request,
			       const coap_string_t *query, coap_pdu_t *response)
{
	pl_backend_registry_t *registry = coap_resource_get_userdata(resource);

	if (!registry->present) {
		coap_pdu_set_code(response, COAP_RESPONSE_CODE_NOT_FOUND);
		return;
	}
	arm_expiry_(registry);
	coap_pdu_set_code(response, COAP_RESPONSE_CODE_CHANGED);
}

static void delete_registration_(coap_resource_t *resource,
				 coap_session_t *session,
				 const coap_pdu_t *request,
				 const coap_string_t *query,
				 coap_pdu_t *response)
{
	pl_backend_registry_remove(coap_resource_get_userdata(resource));
	coap_pdu_set_code(response, COAP_RESPONSE_CODE_DELETED);
}

static void add_resources_(pl_backend_registry_t *registry)
{
	coap_resource_t *rd = coap_resource_init(coap_make_str_const("rd"), 0);
	coap_resource_t *location =
		coap_resource_init(coap_make_str_const("rd/1"), 0);

	coap_resource_set_userdata(rd, registry);
	coap_resource_set_userdata(location, registry);
	coap_register_handler(rd, COAP_REQUEST_POST, post_rd_);
	coap_register_handler(location, COAP_REQUEST_POST, post_registration_);
	coap_register_handler(location, COAP_REQUEST_DELETE,
			      delete_registration_);
	coap_add_resource(registry->coap, rd);
	coap_add_resource(registry->coap, location);
}

/* libcoap returns the bound address only as text, "127.0.0.1:5683 UDP". */
static void read_bound_addr_(const coap_endpoint_t *endpoint, pl_addr_t *listen)
{
	char **words = g_strsplit(coap_endpoint_str(endpoint), " ", 2);

	pl_addr_parse(words[0], listen, NULL);
	g_strfreev(words);
}

pl_backend_registry_t *pl_backend_registry_new(
	pl_loop_t *loop, coap_context_t *coap, pl_addr_t *listen,
	pl_backend_registration_changed_t changed, void *ctx, pl_error_t *err)
{
	pl_backend_registry_t *registry = g_new0(pl_backend_registry_t, 1);
	struct sockaddr_storage storage;
	char text[PL_ADDR_TEXT_MAX];
	coap_address_t address;
	coap_endpoint_t *endpoint;

	registry->loop = loop;
	registry->coap = coap;
	registry->changed = changed;
	registry->ctx = ctx;
	pl_timer_init(&registry->expiry, on_expiry_, registry);
	coap_address_init(&address);
	address.size = pl_addr_to_sockaddr(listen, &storage);
	memcpy(&address.addr, &storage, address.size);
	endpoint = coap_new_endpoint(coap, &address, COAP_PROTO_UDP);
	if (!endpoint) {
		pl_error_set(err, PL_ERR_IO, "cannot bind CoAP endpoint to %s",
			     pl_addr_format(listen, text));
		g_free(registry);
		return NULL;
	}
	read_bound_addr_(endpoint, listen);
	add_resources_(registry);
	return registry;
}

void pl_backend_registry_delete(pl_backend_registry_t *registry)
{
	if (!registry)
		return;
	pl_timer_cancel(pl_loop_timers(registry->loop), &registry->expiry);
	g_free(registry);
}
