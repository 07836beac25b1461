/**
 * @file
 * Control thread of a daemon (pl_node_t): owns the event loop, the membership,
 * the configuration and the role.
 */
#include "private/node_post.h"
#include "private/node_register.h"
#include "private/node_state.h"

#include <pimentolift/event.h>
#include <pimentolift/problem.h>
#include <pimentolift/udp.h>

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>

/** After a restore of the store the agents register again at random times within
 * this time per member: 200 writes a second. */
#define REGISTRATION_MS_PER_MEMBER 5
/** Time in which all agents know of a restore, with retries of their writes. */
#define RESTORE_KNOWN_MS 2000

const pl_settings_t *pl_node_settings(const pl_node_t *node)
{
	return node->settings;
}

pl_member_id_t pl_node_self(const pl_node_t *node)
{
	return node->self;
}

uint64_t pl_node_boot(const pl_node_t *node)
{
	return node->boot;
}

pl_loop_t *pl_node_loop(pl_node_t *node)
{
	return node->loop;
}

pl_member_table_t *pl_node_members(pl_node_t *node)
{
	return node->members;
}

pl_routing_t *pl_node_routing(const pl_node_t *node)
{
	return rcu_dereference(node->routing);
}

/* Whether routers may send packets of flows to this process. */
static bool accepts_flow_packets_(void *ctx)
{
	const pl_node_t *node = ctx;

	return node->phase == NODE_RUNNING && pl_node_is_configured_(node) &&
	       pl_member_joined(node->members);
}

bool pl_node_is_draining(const pl_node_t *node)
{
	return node->phase != NODE_RUNNING;
}

const pl_document_t *pl_node_document(const pl_node_t *node)
{
	return pl_node_config_document(node->config);
}

uint64_t pl_node_revision(const pl_node_t *node)
{
	return pl_node_config_revision(node->config);
}

pl_result_t pl_node_explain(pl_node_t *node, const pl_flow_key_t *key,
			    pl_flow_explanation_t *explanation)
{
	if (!node->role || !node->role_ops->explain)
		return PL_ERR_STATE;
	return node->role_ops->explain(node->role, key, explanation);
}

void pl_node_role_status(pl_node_t *node, struct json_object *status)
{
	if (node->role)
		node->role_ops->status(node->role, status);
}

void pl_node_send_frame_on_control_thread(pl_node_t *node,
					  const pl_peer_frame_t *frame)
{
	pl_peer_net_send(node->peers, frame);
}

void pl_node_set_backend_on_control_thread(pl_node_t *node,
					   pl_service_id_t service,
					   uint32_t slots)
{
	node->attr.service = service;
	node->attr.slots = slots;
	if (service != 0)
		node->attr.serving_since_s = (uint32_t)time(NULL);
	pl_member_set_attributes(node->members, &node->attr);
	pl_node_schedule_rebuild_(node);
}

/* The endpoint is announced as serving once its backend server accepts flows
 * and every entry can know that the agent may own flows: the agent is in the
 * roster, or its registration has timed out, by which time the membership has
 * announced the agent. */
static void announce_endpoint_(pl_node_t *node)
{
	node->attr.endpoint = node->serving && node->registered ?
				      PL_ENDPOINT_SERVING :
				      PL_ENDPOINT_DRAINING;
	pl_member_set_attributes(node->members, &node->attr);
}

static void on_registered_(void *ctx)
{
	pl_node_t *node = ctx;

	node->registered = true;
	announce_endpoint_(node);
}

void pl_node_set_endpoint_on_control_thread(pl_node_t *node,
					    pl_service_id_t service,
					    uint32_t slots, bool serving)
{
	node->attr.service = service;
	node->attr.slots = slots;
	node->serving = serving;
	/* register when the backend server first reports that it serves */
	if (serving && !node->registered)
		pl_registration_register(node->registration, on_registered_,
					 node);
	announce_endpoint_(node);
}

void pl_node_backend_leaving_on_control_thread(pl_node_t *node)
{
	node->registered = false;
	pl_registration_deregister(node->registration);
	announce_endpoint_(node);
}

bool pl_node_is_deregistering(const pl_node_t *node)
{
	return node->registration &&
	       pl_registration_is_deregistering(node->registration);
}

static void on_roster_(void *ctx, bool known, const pl_member_id_t *agents,
		       size_t count)
{
	pl_node_t *node = ctx;

	if (node->role)
		node->role_ops->roster(node->role, known, agents, count);
}

void pl_node_request_roster_on_control_thread(pl_node_t *node)
{
	pl_node_roster_reader_request(node->roster_reader);
}

static void on_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	pl_node_t *node = ctx;

	switch (frame->type) {
	case PL_PEER_TABLE_PULL:
	case PL_PEER_TABLE_PUSH:
		pl_member_frame(node->members, frame);
		break;
	case PL_PEER_CONFIG_PULL:
	case PL_PEER_CONFIG_PUSH:
	case PL_PEER_CONFIG_HANDOVER:
		pl_node_config_frame(node->config, frame);
		break;
	case PL_PEER_ROSTER_REQUEST:
	case PL_PEER_ROSTER:
		if (node->roster_reader)
			pl_node_roster_reader_frame(node->roster_reader, frame);
		break;
	case PL_PEER_REGISTER:
	case PL_PEER_REGISTERED:
		pl_node_register_frame(node, frame);
		break;
	default:
		node->role_ops->frame(node->role, frame);
		break;
	}
}

static void on_frame_failed_(void *ctx, const pl_peer_frame_t *frame)
{
	pl_node_t *node = ctx;

	switch (frame->type) {
	case PL_PEER_TABLE_PULL:
	case PL_PEER_TABLE_PUSH:
		pl_member_frame_failed(node->members, frame);
		break;
	case PL_PEER_CONFIG_PULL:
	case PL_PEER_CONFIG_PUSH:
	case PL_PEER_CONFIG_HANDOVER:
		pl_node_config_frame_failed(node->config, frame);
		break;
	case PL_PEER_ROSTER_REQUEST:
	case PL_PEER_ROSTER:
		if (node->roster_reader)
			pl_node_roster_reader_frame_failed(node->roster_reader,
							   frame);
		break;
	case PL_PEER_REGISTER:
	case PL_PEER_REGISTERED:
		/* the agent asks another member */
		break;
	default:
		node->role_ops->frame_failed(node->role, frame);
		break;
	}
}

static const pl_peer_net_ops_t peer_ops_ = { on_frame_, on_frame_failed_ };

static void on_loop_turn_(void *ctx, pl_ms_t now)
{
	pl_node_t *node = ctx;

	pl_member_tick(node->members, now);
}

/* Reads the settings file again. Only new seeds take effect; all other settings
 * concern sockets and identities and need a restart. An invalid file changes
 * nothing. */
static void reload_settings_(pl_node_t *node)
{
	pl_problems_t *problems = pl_problems_new(node->settings->path);
	pl_settings_t *settings = NULL;

	if (pl_settings_load(node->settings->path, &settings, problems) ==
	    PL_OK) {
		pl_node_add_seeds_(node, settings);
		pl_event(PL_EVENT_RELOADED, "%s, %zu seeds",
			 node->settings->path, settings->seeds.count);
	} else {
		pl_event(PL_EVENT_RELOAD_REFUSED, "%s",
			 pl_problems_at(problems, 0));
	}
	pl_settings_free(settings);
	pl_problems_delete(problems);
}

static void on_signal_(void *ctx, uint32_t events)
{
	pl_node_t *node = ctx;
	struct signalfd_siginfo info;

	while (read(node->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		if (info.ssi_signo == SIGHUP)
			reload_settings_(node);
		else
			pl_node_stop(node);
	}
}

static pl_result_t open_signals_(pl_node_t *node, pl_error_t *err)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	/* blocked before any thread starts: threads inherit the mask */
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	node->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (node->signal_fd < 0)
		return pl_error_set(err, PL_ERR_IO, "signalfd: %s",
				    strerror(errno));
	node->signal_watch = pl_loop_watch(node->loop, node->signal_fd, EPOLLIN,
					   on_signal_, node);
	return PL_OK;
}

static pl_result_t open_inner_sockets_(pl_node_t *node, pl_error_t *err)
{
	pl_addr_t inner = node->settings->inner;
	pl_key_t key;
	int tcp_fd;
	pl_result_t result =
		pl_net_open_pair(&inner, node->settings->traffic_threads > 1,
				 &tcp_fd, &node->inner_fd, err);

	if (result != PL_OK)
		return result;
	node->self = pl_member_id_from_addr(&inner);
	pl_key_derive(node->settings->secret, node->settings->environment,
		      PL_KEY_FRAME, &key);
	node->peers = pl_peer_net_new(node->loop, tcp_fd, node->self, &key,
				      &peer_ops_, node);
	return PL_OK;
}

static void on_store_refuses_(void *ctx)
{
	pl_node_register_by_delegate(ctx);
}

static pl_registration_t *new_registration_(pl_node_t *node, pl_kv_t *kv)
{
	const pl_registration_params_t params = {
		.environment = node->settings->environment,
		.service = pl_service_id(node->settings->flows.service),
		.agent = node->self,
		.name = node->settings->name,
		.kv = kv,
		.timers = pl_node_timers_(node),
		.random = pl_random_identity,
		.delegate = on_store_refuses_,
		.delegate_ctx = node,
	};

	return pl_registration_new(&params);
}

static void init_rosters_(pl_node_t *node)
{
	pl_kv_t *kv = pl_node_config_platform(node->config);

	if (node->settings->role == PL_ROLE_AGENT)
		node->registration = new_registration_(node, kv);
	else
		node->roster_reader =
			pl_node_roster_reader_new(node, kv, on_roster_, node);
}

static pl_ms_t registration_spread_ms_(const pl_node_t *node)
{
	return pl_member_count(node->members) * REGISTRATION_MS_PER_MEMBER;
}

pl_ms_t pl_node_registration_ms(const pl_node_t *node)
{
	return RESTORE_KNOWN_MS + registration_spread_ms_(node);
}

/* What members wrote to the store since the copy that it was restored from is
 * lost. */
static void on_store_generation_(void *ctx, uint64_t generation,
				 uint64_t before)
{
	pl_node_t *node = ctx;

	pl_member_set_store_generation(node->members, generation);
	if (node->registration)
		pl_registration_store_restored(node->registration, generation,
					       registration_spread_ms_(node));
	if (node->roster_reader)
		pl_node_roster_reader_generation_changed(node->roster_reader);
	if (before == 0)
		return;
	pl_node_config_store_restored(node->config, generation);
	pl_node_seeds_store_restored(node->seeds);
}

static const pl_role_ops_t *select_role_ops_(const pl_settings_t *settings)
{
	bool entry = settings->role == PL_ROLE_ENTRY;

	if (settings->traffic == PL_TRAFFIC_FLOWS)
		return entry ? &pl_flow_entry_role : &pl_flow_agent_role;
	return entry ? &pl_entry_role : &pl_agent_role;
}

pl_node_t *pl_node_new(const pl_settings_t *settings, pl_error_t *err)
{
	pl_node_t *node = g_new0(pl_node_t, 1);

	node->settings = settings;
	node->role_ops = select_role_ops_(settings);
	node->boot = pl_random_identity();
	node->boots = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    g_free);
	node->signal_fd = -1;
	pl_node_routing_init_(node);
	pl_node_stop_init_(node);
	node->attr.endpoint = PL_ENDPOINT_SERVING;
	node->loop = pl_loop_new(err);
	if (!node->loop)
		goto failed;
	if (open_signals_(node, err) != PL_OK ||
	    open_inner_sockets_(node, err) != PL_OK)
		goto failed;
	pl_node_members_init_(node);
	node->config =
		pl_node_config_new(node, pl_node_document_in_force_, node);
	node->seeds = pl_node_seeds_new(node, node->config);
	pl_kv_on_generation(pl_node_config_platform(node->config),
			    on_store_generation_, node);
	node->admin_addr = settings->admin;
	node->admin = pl_admin_new(node, &node->admin_addr, err);
	if (!node->admin)
		goto failed;
	if (settings->traffic == PL_TRAFFIC_FLOWS) {
		init_rosters_(node);
		node->ready =
			pl_flow_ready_new(node->loop, &settings->flows.ready,
					  accepts_flow_packets_, node, err);
		if (!node->ready)
			goto failed;
	}
	return node;

failed:
	pl_node_delete(node);
	return NULL;
}

static void print_ready_(pl_node_t *node, const GString *listening)
{
	const pl_addr_t inner = pl_member_id_to_addr(node->self);
	char inner_text[PL_ADDR_TEXT_MAX];
	char admin_text[PL_ADDR_TEXT_MAX];

	pl_addr_format(&inner, inner_text);
	pl_addr_format(&node->admin_addr, admin_text);
	printf("ready inner=%s admin=%s%s\n", inner_text, admin_text,
	       listening->str);
	fflush(stdout);
	pl_event(PL_EVENT_READY, "%s inner=%s admin=%s%s", node->role_ops->name,
		 inner_text, admin_text, listening->str);
}

pl_result_t pl_node_run(pl_node_t *node, pl_error_t *err)
{
	GString *listening = g_string_new(NULL);

	rcu_register_thread();
	node->role = node->role_ops->start(node, node->settings, node->inner_fd,
					   listening, err);
	if (!node->role) {
		g_string_free(listening, TRUE);
		rcu_unregister_thread();
		return err->code;
	}
	pl_loop_on_turn(node->loop, on_loop_turn_, node);
	pl_member_join(node->members);
	pl_node_config_start(node->config);
	pl_node_seeds_start(node->seeds);
	if (node->roster_reader)
		pl_node_roster_reader_contact_agents(node->roster_reader);
	print_ready_(node, listening);
	g_string_free(listening, TRUE);
	pl_loop_run(node->loop);
	node->role_ops->stop(node->role);
	node->role = NULL;
	pl_event(PL_EVENT_STOPPED, "%s", node->settings->name);
	rcu_unregister_thread();
	return PL_OK;
}

void pl_node_delete(pl_node_t *node)
{
	if (!node)
		return;
	pl_flow_ready_delete(node->ready);
	pl_admin_delete(node->admin);
	pl_registration_delete(node->registration);
	pl_node_roster_reader_delete(node->roster_reader);
	pl_node_seeds_delete(node->seeds);
	pl_node_config_delete(node->config);
	pl_member_table_delete(node->members);
	pl_peer_net_delete(node->peers);
	if (node->routing)
		pl_routing_put(node->routing);
	if (node->loop)
		pl_loop_unwatch(node->loop, node->signal_watch);
	if (node->signal_fd >= 0)
		close(node->signal_fd);
	g_hash_table_unref(node->boots);
	pl_loop_delete(node->loop);
	g_free(node);
}
