/**
 * @file
 * Case 1: a heartbeat with a field of another type arrives at an agent.
 */
#include "world.h"

#include <stdio.h>

#define ROUTE_HOST "198.18.0.1"
#define ROUTE_PORT 8443
/** Bounds of the site. */
#define CONTACT_MS 4000
#define CONFIG_MS 3000
#define FLOWS 24
#define FLOW_INTERVAL_MS 400

static const char config_[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\","
	"\"host\":\"198.18.0.1\",\"prefix\":\"/8443/\",\"kind\":\"safe\","
	"\"timeout_ms\":3000,\"goal_ms\":200,\"priority\":2,"
	"\"service\":\"desk\",\"attempts\":2}],"
	"\"services\":[{\"name\":\"desk\",\"health_path\":\"/health\","
	"\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/* Sends the agent a heartbeat that differs from those of its endpoint in one
 * field: `born` is text, not a number. */
static void send_foreign_heartbeat_(int agent)
{
	char body[512];

	snprintf(body, sizeof(body),
		 "{\"service\":\"desk\",\"address\":\"%s\","
		 "\"zone\":\"gent-dok\",\"version\":\"v1\","
		 "\"max_concurrency\":5,\"state\":\"ready\","
		 "\"warmup_left_ms\":0,\"sequence\":1,\"born\":\"%llu\"}",
		 world_endpoint_address(agent),
		 (unsigned long long)world_endpoint_born(agent));
	world_send_heartbeat(agent, world_endpoint_id(agent), body);
}

int main(void)
{
	world_spec_t spec = { .entries = 2,
			      .agents = 3,
			      .config = config_,
			      .config_ms = CONFIG_MS };
	int first = -1;

	for (int i = 0; i < spec.agents; i++)
		spec.agent[i] = (agent_spec_t){ .service = "desk",
						.zone = "gent-dok",
						.slots = 5,
						.work_ms = 20 };
	world_start(&spec);
	world_wait_ready(15000);
	world_run(2500);
	for (int i = 0; i < FLOWS; i++) {
		first = world_open_flow(ROUTE_HOST, ROUTE_PORT,
					FLOW_INTERVAL_MS);
		world_run(20);
	}
	world_run(CONTACT_MS + 1000);
	if (world_flow_owner(first) < 0) {
		world_stop();
		return CASE_FAILED;
	}
	if (world_trouble())
		send_foreign_heartbeat_(world_flow_owner(first));
	world_run(4000);
	world_stop();
	return world_counts()->resets_broken > 0 ? CASE_BROKEN : CASE_HELD;
}
