/** @file The operator's configurations. */
#include "world.h"

#include <glib.h>

#define ROUTES_PER_HOST_BYTE 250

const uint32_t config_main_ip = 127U << 24 | 200U << 16 | 1;
const uint16_t config_main_port = 8443;

uint32_t config_route(int index)
{
	return 127U << 24 | 201U << 16 |
	       (uint32_t)(index / ROUTES_PER_HOST_BYTE) << 8 |
	       (uint32_t)(index % ROUTES_PER_HOST_BYTE + 1);
}

static void add_route_(GString *text, const char *name, uint32_t ip, int port,
		       const char *service)
{
	g_string_append_printf(
		text,
		"{\"name\":\"r-%s\",\"host\":\"%s\",\"prefix\":\"/%d/\","
		"\"kind\":\"safe\",\"timeout_ms\":3000,\"goal_ms\":200,"
		"\"priority\":2,\"service\":\"%s\",\"attempts\":2}",
		name, ip_text(ip), port, service);
}

size_t config_put(int version, int others)
{
	GString *text = g_string_new(NULL);
	size_t len;

	g_string_printf(text, "{\"version\":%d,\"routes\":[", version);
	add_route_(text, "main", config_main_ip, config_main_port,
		   "permitdesk");
	for (int i = 0; i < others; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "x%06d", i);
		g_string_append_c(text, ',');
		add_route_(text, name, config_route(i), 80,
			   i % 3 ? "permitdesk" : "meterbox");
	}
	g_string_append(
		text,
		"],\"services\":[{\"name\":\"permitdesk\",\"health_path\":"
		"\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":"
		"false},{\"name\":\"meterbox\",\"health_path\":\"/health\","
		"\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}],"
		"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
		"262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
		"}");
	len = text->len;
	store_put("op/config", text->str, text->len);
	g_string_free(text, TRUE);
	return len;
}
