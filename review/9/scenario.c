/**
 * @file
 * A server leaves: it reports that it drains, which its agent acknowledges. A
 * client uses ports again whose flows have ended. No flow that opens later than
 * the bound may reach the server.
 */
#include "../standin-2/world.h"

#define SERVERS 10
#define PORTS 120
#define FLOW_GAP_MS 25
#define DRAIN_MS 3000
/* time until a port is used again, besides DRAIN_MS */
#define REUSE_MS 30000

static uint64_t acked_at_;
static int late_;

static void on_taken_(const server_t *server, uint16_t port)
{
	uint64_t now = now_ms();

	if (server != &world.servers[0] || acked_at_ == 0 ||
	    now - acked_at_ <= DRAIN_MS)
		return;
	late_++;
	note("server %s takes a flow of port %u %lu ms after its draining was "
	     "acknowledged",
	     server->id, port, (unsigned long)(now - acked_at_));
}

/* Opens a flow for one request from each port in turn. */
static void use_ports_(uint16_t ports[PORTS])
{
	for (int i = 0; i < PORTS; i++) {
		client_t *client = client_open_once(
			config_main_ip, config_main_port, "main", ports[i]);

		run_ms(FLOW_GAP_MS);
		ports[i] = client->port;
		client_stop(client);
	}
}

int scenario(void)
{
	uint16_t ports[PORTS] = { 0 };

	on_flow_taken = on_taken_;
	store_start();
	config_put(7, 110);
	world_start(3, SERVERS);
	if (!world_ready())
		return 2;
	use_ports_(ports);
	run_ms(REUSE_MS);
	if (world.trouble) {
		world.servers[0].draining = true;
		while (!world.servers[0].drain_acked)
			run_ms(10);
		acked_at_ = now_ms();
		note("server %s: draining is acknowledged",
		     world.servers[0].id);
	}
	run_ms(DRAIN_MS + 200);
	use_ports_(ports);
	note("%d flows were taken too late", late_);
	return late_ > 0;
}
