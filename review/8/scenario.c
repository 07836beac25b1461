/**
 * @file
 * Clients open a flow for one request, from a small range of ports, and later
 * use the ports again for flows that last. Meanwhile entries are restarted one
 * after the other. No server but the flow's own may reset an open flow, and the
 * system may not either.
 */
#include "../standin-2/world.h"

#include <signal.h>

#define ENTRIES 5
#define SERVERS 6
#define PORTS 240
#define FLOW_GAP_MS 12
/* time until a port is used again */
#define REUSE_MS 20000
#define REQUEST_MS 400
/* the platform restarts a process after a short delay */
#define RESTART_MS 500
#define ROLL_GAP_MS 2500

static void restart_(int entry)
{
	node_t *node = &world.entries[entry];

	if (!world.trouble) {
		run_ms(RESTART_MS + ROLL_GAP_MS);
		return;
	}
	node_signal(node, SIGTERM);
	node_wait(node);
	run_ms(RESTART_MS);
	node_start(node);
	run_ms(ROLL_GAP_MS);
}

int scenario(void)
{
	uint16_t ports[PORTS];
	client_t *clients[PORTS];
	int broken = 0;

	store_start();
	config_put(7, 110);
	for (int i = 0; i < SERVERS; i++)
		world.servers[i].service = "permitdesk";
	world_start(ENTRIES, SERVERS);
	if (!world_ready())
		return 2;
	for (int i = 0; i < PORTS; i++) {
		client_t *client = client_open_once(
			config_main_ip, config_main_port, "main", 0);

		run_ms(FLOW_GAP_MS);
		ports[i] = client->port;
		if (!client->ended)
			note("port %u: the flow has not ended", ports[i]);
		client_stop(client);
	}
	run_ms(REUSE_MS);
	restart_(0);
	for (int i = 0; i < PORTS; i++) {
		clients[i] = client_open_once(config_main_ip, config_main_port,
					      "main", ports[i]);
		clients[i]->closes = false;
		clients[i]->interval_ms = REQUEST_MS;
		run_ms(FLOW_GAP_MS);
	}
	run_ms(2000);
	note("the flows are in use");
	restart_(1);
	restart_(2);
	restart_(3);
	for (int i = 0; i < PORTS; i++)
		broken += clients[i]->held_reset;
	note("%d open flows were reset by another end while their server held "
	     "them",
	     broken);
	return broken > 0;
}
