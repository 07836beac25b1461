/**
 * @file
 * Reads the document from the platform.
 */
#include "private/node_config.h"

#include <pimentolift/event.h>
#include <pimentolift/platform.h>

#include <string.h>

#define POLL_MS 20
#define RETRY_MS 500

struct pl_node_config {
	pl_node_t *node;
	pl_node_config_changed_t changed;
	void *ctx;
	pl_platform_t *platform;
	pl_document_t *document;
	char *key;
	uint64_t index;
	pl_timer_t poll;
	pl_timer_t next;
};

static pl_timer_service_t *timers_(pl_node_config_t *config)
{
	return pl_loop_timers(pl_node_loop(config->node));
}

static void take_(pl_node_config_t *config, const char *text)
{
	struct json_object *envelope = json_tokener_parse(text);
	struct json_object *revision;
	struct json_object *toml;
	pl_problems_t *problems = pl_problems_new("document");
	pl_document_t *document = NULL;

	if (envelope &&
	    json_object_object_get_ex(envelope, "revision", &revision) &&
	    json_object_object_get_ex(envelope, "document", &toml) &&
	    (uint64_t)json_object_get_int64(revision) >
		    pl_node_config_revision(config) &&
	    pl_document_parse(json_object_get_string(toml),
			      (size_t)json_object_get_string_len(toml),
			      (uint64_t)json_object_get_int64(revision),
			      &document, problems) == PL_OK) {
		if (config->document)
			pl_document_put(config->document);
		config->document = document;
		pl_event(PL_EVENT_CONFIG_IN_FORCE,
			 "revision %" G_GUINT64_FORMAT,
			 (guint64)pl_document_revision(document));
		config->changed(config->ctx);
	}
	pl_problems_delete(problems);
	json_object_put(envelope);
}

static void done_(void *ctx, const pl_platform_reply_t *reply)
{
	pl_node_config_t *config = ctx;
	pl_ms_t now = pl_timer_service_now(timers_(config));

	if (reply->result == PL_OK)
		take_(config, reply->value);
	config->index = reply->result == PL_OK ? reply->watch_index : 0;
	pl_timer_arm(timers_(config), &config->next,
		     now + (reply->result == PL_OK ? 0 : RETRY_MS));
}

static void next_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_node_config_t *config = ctx;

	pl_platform_watch(config->platform, config->key, config->index, done_,
			  config);
}

static void poll_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_node_config_t *config = ctx;

	pl_platform_poll(config->platform);
	pl_timer_arm(timers_(config), timer, now + POLL_MS);
}

pl_node_config_t *
pl_node_config_new(pl_node_t *node, pl_node_config_changed_t changed, void *ctx)
{
	const pl_settings_t *settings = pl_node_settings(node);
	pl_node_config_t *config = g_new0(pl_node_config_t, 1);

	config->node = node;
	config->changed = changed;
	config->ctx = ctx;
	config->platform = pl_platform_new(settings->platform.url,
					   settings->platform.timeout_ms);
	config->key = g_strdup_printf("pimentolift/%s/document",
				      settings->environment);
	pl_timer_init(&config->poll, poll_, config);
	pl_timer_init(&config->next, next_, config);
	return config;
}

void pl_node_config_delete(pl_node_config_t *config)
{
	if (!config)
		return;
	pl_timer_cancel(timers_(config), &config->poll);
	pl_timer_cancel(timers_(config), &config->next);
	pl_platform_delete(config->platform);
	if (config->document)
		pl_document_put(config->document);
	g_free(config->key);
	g_free(config);
}

void pl_node_config_start(pl_node_config_t *config)
{
	pl_ms_t now = pl_timer_service_now(timers_(config));

	pl_timer_arm(timers_(config), &config->next, now);
	pl_timer_arm(timers_(config), &config->poll, now);
}

const pl_document_t *pl_node_config_document(const pl_node_config_t *config)
{
	return config->document;
}

uint64_t pl_node_config_revision(const pl_node_config_t *config)
{
	return config && config->document ?
		       pl_document_revision(config->document) :
		       0;
}

void pl_node_config_members_changed(pl_node_config_t *config)
{
}

void pl_node_config_heard(pl_node_config_t *config, pl_member_id_t from,
			  uint64_t revision)
{
}

void pl_node_config_frame(pl_node_config_t *config,
			  const pl_peer_frame_t *frame)
{
}

void pl_node_config_frame_failed(pl_node_config_t *config,
				 const pl_peer_frame_t *frame)
{
}
