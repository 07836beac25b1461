/**
 * @file
 * Case 2: the operator changes the weights of a route, then an entry is
 * restarted.
 */
#include "world.h"

#include <signal.h>
#include <stdio.h>

#define ROUTE_HOST "198.18.0.1"
#define ROUTE_PORT 8443
/** Bounds of the site. */
#define CONTACT_MS 5000
#define CONFIG_MS 5000
#define FLOWS 24
#define FLOW_INTERVAL_MS 400
#define CONFIG_BYTES 2048

/* Writes a version of the configuration into @p text. The route sends new flows
 * to the services `desk` and `archive` by these weights. */
static void format_config_(char text[CONFIG_BYTES], int version, int desk,
			   int archive)
{
	snprintf(text, CONFIG_BYTES,
		 "{\"version\":%d,\"routes\":[{\"name\":\"r-1\","
		 "\"host\":\"198.18.0.1\",\"prefix\":\"/8443/\","
		 "\"kind\":\"safe\",\"timeout_ms\":2000,\"goal_ms\":400,"
		 "\"priority\":2,\"backends\":["
		 "{\"service\":\"desk\",\"weight\":%d},"
		 "{\"service\":\"archive\",\"weight\":%d}],"
		 "\"attempts\":2}],\"services\":["
		 "{\"name\":\"desk\",\"health_path\":\"/health\","
		 "\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false},"
		 "{\"name\":\"archive\",\"health_path\":\"/health\","
		 "\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}],"
		 "\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
		 "\"idle_timeout_ms\":15000}}",
		 version, desk, archive);
}

int main(void)
{
	char config[CONFIG_BYTES];
	world_spec_t spec = { .entries = 3,
			      .agents = 5,
			      .config = config,
			      .config_ms = CONFIG_MS };

	for (int i = 0; i < spec.agents; i++)
		spec.agent[i] =
			(agent_spec_t){ .service = i < 3 ? "desk" : "archive",
					.zone = "gent-dok",
					.slots = 5,
					.work_ms = 20 };
	format_config_(config, 7, 90, 10);
	world_start(&spec);
	world_wait_ready(15000);
	world_run(2500);
	for (int i = 0; i < FLOWS; i++) {
		world_open_flow(ROUTE_HOST, ROUTE_PORT, FLOW_INTERVAL_MS);
		world_run(20);
	}
	world_run(CONTACT_MS + 1000);
	if (world_trouble()) {
		format_config_(config, 9, 40, 60);
		world_put_config(config);
	}
	world_run(CONFIG_MS);
	world_signal_entry(0, SIGTERM);
	world_restart_entry(0, 600);
	world_run(4000);
	world_stop();
	return world_counts()->resets_broken > 0 ? CASE_BROKEN : CASE_HELD;
}
