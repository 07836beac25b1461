/**
 * @file
 * Configuration of a node.
 */
#include "private/node_config.h"

#include <pimentolift/config_sync.h>
#include <pimentolift/evacuation_requests.h>
#include <pimentolift/event.h>
#include <pimentolift/kv.h>
#include <platform/platform.h>

#include <string.h>
#include <sys/epoll.h>

/** Interval at which a starting node checks whether it has joined. */
#define JOIN_POLL_MS 20
/** A starting node that has not joined by then fetches the document without
 * peers, from the platform's store. */
#define JOIN_TIMEOUT_MS 1500

/** The store may refuse some entries for a long time while it serves others and
 * the operators, so one watcher in each data centre was not enough. An entry
 * without a document serves no callers, so it retries after a short time. */
static const pl_config_sync_params_t flow_entry_params_ = {
	.watchers = PL_CONFIG_WATCHERS,
	.read_delay_ms = 100,
	.repeat_read = true,
};
/** Agents of flows need no document themselves. They keep a copy for the case
 * that all entries restart while the store is unavailable. */
static const pl_config_sync_params_t flow_agent_params_ = { .replica_only =
								    true };
/** A watch ends after this part of the time in which a change must be in force,
 * in case it no longer receives events; the remaining time is for distribution
 * to the other members. */
#define WATCH_PERCENT 70
#define PERCENT 100
/** An entry that is behind for this part of that time reads the store. */
#define BEHIND_PERCENT 25

struct pl_node_config {
	pl_node_t *node;
	pl_node_config_changed_t changed;
	void *ctx;
	pl_kv_t *platform;
	pl_config_sync_t *sync;
	char *key;
	pl_evacuation_requests_t *requests;
	pl_kv_call_t *watch;
	pl_kv_position_t watched_after; /* the open watch of a range */
	uint32_t watch_ms; /* timeout of a watch */
	pl_loop_watch_t *platform_watch;
	pl_timer_t poll; /* next call to pl_kv_poll() */
	pl_timer_t start;
	pl_ms_t start_deadline;
};

static pl_timer_service_t *timers_(pl_node_config_t *config)
{
	return pl_loop_timers(pl_node_loop(config->node));
}

static void on_in_force_(void *ctx, pl_document_t *document)
{
	pl_node_config_t *config = ctx;

	config->changed(config->ctx);
}

static void send_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	pl_node_config_t *config = ctx;

	pl_node_send_frame(config->node, frame);
}

static void on_read_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_node_config_t *config = ctx;

	pl_config_sync_read_done(config->sync, reply);
}

/* Applies the requests to evacuate data centres among the operators' keys,
 * or their changes since @p after. */
static void apply_requests_(pl_node_config_t *config,
			    const pl_kv_reply_t *reply, pl_kv_position_t after)
{
	pl_evacuation_request_t *requests =
		g_new(pl_evacuation_request_t, reply->item_count);
	pl_evacuation_update_t update = { .position = reply->position,
					  .complete = reply->complete,
					  .after = after,
					  .requests = requests };
	pl_evacuations_t evacuations;

	for (size_t i = 0; i < reply->item_count; i++) {
		const pl_kv_item_t *item = &reply->items[i];
		const char *name = pl_platform_evacuated_datacentre(item->key);

		if (!name)
			continue;
		requests[update.count++] = (pl_evacuation_request_t){
			.datacentre = name,
			.withdrawn = item->deleted,
			.readable = pl_platform_evacuation_readable(
				item->value, item->value_len),
		};
	}
	if (pl_evacuation_requests_apply(config->requests, &update)) {
		pl_evacuation_requests_get(config->requests, &evacuations);
		pl_member_set_evacuations(pl_node_members(config->node),
					  &evacuations);
	}
	g_free(requests);
}

/* Takes the requests to evacuate from a reply about the operators' keys;
 * returns what it says about the document's key. */
static pl_kv_reply_t split_reply_(pl_node_config_t *config,
				  const pl_kv_reply_t *reply,
				  pl_kv_position_t after)
{
	pl_kv_reply_t document = *reply;

	document.items = NULL;
	document.item_count = 0;
	if (reply->result != PL_OK && reply->result != PL_ERR_NOT_FOUND)
		return document;
	apply_requests_(config, reply, after);
	document.result = PL_ERR_NOT_FOUND;
	for (size_t i = 0; i < reply->item_count; i++) {
		const pl_kv_item_t *item = &reply->items[i];

		if (strcmp(item->key, config->key) != 0)
			continue;
		document.result = item->deleted ? PL_ERR_NOT_FOUND : PL_OK;
		document.value = item->value;
		document.value_len = item->value_len;
		document.modify_index = item->modify_index;
	}
	return document;
}

static void on_range_read_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_node_config_t *config = ctx;
	pl_kv_reply_t document =
		split_reply_(config, reply, (pl_kv_position_t){ 0 });

	pl_config_sync_read_done(config->sync, &document);
}

/* Reads all keys of the operators with one call. */
static void read_range_(void *ctx)
{
	pl_node_config_t *config = ctx;

	pl_kv_watch_range(config->platform, pl_platform_operator_prefix,
			  (pl_kv_position_t){ 0 }, 0, on_range_read_, config);
}

static void read_document_(void *ctx)
{
	pl_node_config_t *config = ctx;

	pl_kv_get(config->platform, config->key, on_read_, config);
}

static void on_watch_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_node_config_t *config = ctx;

	config->watch = NULL;
	pl_config_sync_watch_done(config->sync, reply);
}

static void start_watch_(void *ctx, pl_kv_position_t after)
{
	pl_node_config_t *config = ctx;

	config->watch = pl_kv_watch(config->platform, config->key, after,
				    config->watch_ms, on_watch_, config);
}

static void on_range_watch_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_node_config_t *config = ctx;
	pl_kv_reply_t document;

	config->watch = NULL;
	document = split_reply_(config, reply, config->watched_after);
	pl_config_sync_watch_done(config->sync, &document);
}

static void start_range_watch_(void *ctx, pl_kv_position_t after)
{
	pl_node_config_t *config = ctx;

	config->watched_after = after;
	config->watch = pl_kv_watch_range(
		config->platform, pl_platform_operator_prefix, after,
		config->watch_ms, on_range_watch_, config);
}

static void stop_watch_(void *ctx)
{
	pl_node_config_t *config = ctx;

	if (config->watch)
		pl_kv_cancel(config->watch);
	config->watch = NULL;
}

static uint64_t random_(void *ctx)
{
	return pl_random_identity();
}

static pl_result_t decode_document_(void *ctx, const char *value, size_t len,
				    pl_document_t **document, pl_error_t *err)
{
	pl_result_t result;
	size_t skipped;

	(void)ctx;
	result = pl_platform_config_decode(value, len, document, &skipped, err);
	if (result == PL_OK && skipped > 0)
		pl_event(PL_EVENT_CONFIG_SKIPPED,
			 "revision %" G_GUINT64_FORMAT ": %zu routes",
			 pl_document_revision(*document), skipped);
	return result;
}

static const pl_config_sync_ops_t flow_ops_ = {
	.in_force = on_in_force_,
	.send = send_frame_,
	.read = read_range_,
	.watch = start_range_watch_,
	.unwatch = stop_watch_,
	.random = random_,
	.decode = decode_document_,
};

static const pl_config_sync_ops_t ops_ = {
	.in_force = on_in_force_,
	.send = send_frame_,
	.read = read_document_,
	.watch = start_watch_,
	.unwatch = stop_watch_,
	.random = random_,
};

static void on_start_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_node_config_t *config = ctx;

	if (pl_member_joined(pl_node_members(config->node)) ||
	    now >= config->start_deadline)
		pl_config_sync_start(config->sync);
	else
		pl_timer_arm(timers_(config), timer, now + JOIN_POLL_MS);
}

static void on_platform_ready_(void *ctx, uint32_t events)
{
	pl_node_config_t *config = ctx;

	(void)events;
	pl_kv_poll(config->platform);
}

static void on_poll_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	(void)timer;
	(void)now;
	on_platform_ready_(ctx, 0);
}

/* Rearms the poll timer, because calls that were started in this turn of the
 * loop may need a poll sooner than earlier calls. */
static void arm_platform_poll_(void *ctx)
{
	pl_node_config_t *config = ctx;
	int timeout_ms = pl_kv_timeout_ms(config->platform);

	if (timeout_ms < 0)
		pl_timer_cancel(timers_(config), &config->poll);
	else
		pl_timer_arm(timers_(config), &config->poll,
			     pl_loop_clock_ms() + (pl_ms_t)timeout_ms);
}

static void set_flow_params_(pl_node_config_t *config,
			     const pl_settings_t *settings)
{
	pl_config_sync_params_t params = settings->role == PL_ROLE_AGENT ?
						 flow_agent_params_ :
						 flow_entry_params_;

	params.behind_max_ms =
		settings->flows.config_ms * BEHIND_PERCENT / PERCENT;
	pl_config_sync_set_params(config->sync, &params);
}

pl_node_config_t *
pl_node_config_new(pl_node_t *node, pl_node_config_changed_t changed, void *ctx)
{
	const pl_settings_t *settings = pl_node_settings(node);
	pl_node_config_t *config = g_new0(pl_node_config_t, 1);
	bool flows = settings->traffic == PL_TRAFFIC_FLOWS;

	config->node = node;
	config->changed = changed;
	config->ctx = ctx;
	config->key = flows ? g_strdup(pl_platform_config_key) :
			      g_strdup_printf("pimentolift/%s/document",
					      settings->environment);
	config->platform = pl_platform_store_new(settings->platform.url,
						 settings->platform.timeout_ms);
	config->sync = pl_config_sync_new(
		pl_node_self(node), pl_hash_text(settings->datacentre),
		flows ? &flow_ops_ : &ops_, config, timers_(config));
	config->requests = pl_evacuation_requests_new();
	config->watch_ms = PL_KV_WAIT_MS;
	if (flows) {
		config->watch_ms =
			MIN(settings->flows.config_ms * WATCH_PERCENT / PERCENT,
			    PL_KV_WAIT_MS);
		set_flow_params_(config, settings);
	}
	config->platform_watch =
		pl_loop_watch(pl_node_loop(node), pl_kv_fd(config->platform),
			      EPOLLIN, on_platform_ready_, config);
	pl_loop_on_idle(pl_node_loop(node), arm_platform_poll_, config);
	pl_timer_init(&config->poll, on_poll_, config);
	pl_timer_init(&config->start, on_start_, config);
	return config;
}

void pl_node_config_delete(pl_node_config_t *config)
{
	if (!config)
		return;
	pl_loop_on_idle(pl_node_loop(config->node), NULL, NULL);
	pl_loop_unwatch(pl_node_loop(config->node), config->platform_watch);
	pl_timer_cancel(timers_(config), &config->poll);
	pl_timer_cancel(timers_(config), &config->start);
	pl_config_sync_delete(config->sync);
	pl_evacuation_requests_delete(config->requests);
	pl_kv_delete(config->platform);
	g_free(config->key);
	g_free(config);
}

static bool handles_flows_(const pl_node_config_t *config)
{
	return pl_node_settings(config->node)->traffic == PL_TRAFFIC_FLOWS;
}

void pl_node_config_start(pl_node_config_t *config)
{
	pl_ms_t now = pl_timer_service_now(timers_(config));

	pl_timer_arm(timers_(config), &config->poll, now);
	config->start_deadline =
		now + (handles_flows_(config) ? 0 : JOIN_TIMEOUT_MS);
	pl_timer_arm(timers_(config), &config->start, now);
}

const pl_document_t *pl_node_config_document(const pl_node_config_t *config)
{
	return pl_config_sync_document(config->sync);
}

pl_kv_t *pl_node_config_platform(pl_node_config_t *config)
{
	return config->platform;
}

bool pl_node_config_is_watcher(const pl_node_config_t *config)
{
	pl_config_sync_stats_t stats;

	pl_config_sync_stats(config->sync, &stats);
	return stats.watcher;
}

void pl_node_config_store_restored(pl_node_config_t *config,
				   uint64_t generation)
{
	pl_config_sync_store_restored(config->sync, generation);
}

uint64_t pl_node_config_revision(const pl_node_config_t *config)
{
	return pl_config_sync_revision(config->sync);
}

void pl_node_config_member_changed(pl_node_config_t *config,
				   const pl_member_t *member)
{
	pl_member_state_t state = pl_member_state(member);
	pl_member_id_t id = pl_member_id(member);

	if (id == pl_node_self(config->node) ||
	    (handles_flows_(config) &&
	     pl_member_role(member) == PL_MEMBER_AGENT))
		return;
	if (state == PL_MEMBER_ALIVE || state == PL_MEMBER_SUSPECT)
		pl_config_sync_peer_up(config->sync, id,
				       pl_member_datacentre(member));
	else
		pl_config_sync_peer_down(config->sync, id);
}

void pl_node_config_peer_revision(pl_node_config_t *config, pl_member_id_t from,
				  uint64_t revision)
{
	pl_config_sync_peer_revision(config->sync, from, revision);
}

void pl_node_config_frame(pl_node_config_t *config,
			  const pl_peer_frame_t *frame)
{
	pl_config_sync_frame(config->sync, frame);
}

void pl_node_config_frame_failed(pl_node_config_t *config,
				 const pl_peer_frame_t *frame)
{
	pl_config_sync_frame_failed(config->sync, frame);
}
