/**
 * @file
 * Resources of the backend server and their subscriptions.
 */
#include "private/view_private.h"

#include <assert.h>
#include <pimentolift/hash.h>
#include <string.h>

#define MS_PER_S 1000
/** Delay before a failed subscription is retried; doubles with each try. */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 5000
/**
 * Max-Age of a refusal (5.03) is random, so that refused callers do not return
 * at the same time: the minimum, and the number of possible values.
 */
#define REFUSED_MAX_AGE_S 2
#define REFUSED_MAX_AGE_SPREAD_S 4
#define HASH_FACTOR 31
#define CODE_CLASS_SHIFT 5
#define CODE_CLASS_SUCCESS 2
#define CODE_CLASS_SERVER_ERROR 5

const char *const pl_view_resource_state_names[] = {
	"idle", "subscribing", "live", "retrying", "ended",
};

static_assert(G_N_ELEMENTS(pl_view_resource_state_names) ==
		      PL_VIEW_RESOURCE_STATE_COUNT,
	      "one name per state");

static void content_release_(pl_ref_t *ref)
{
	g_free(PL_CONTAINER_OF(ref, pl_view_content_t, ref));
}

void pl_view_content_put(pl_view_content_t *content)
{
	pl_ref_put(&content->ref);
}

static pl_view_content_t *content_new_(const pl_backend_reply_t *reply,
				       pl_ms_t now)
{
	pl_view_content_t *content =
		g_malloc0(sizeof(*content) + reply->body_len);
	uint64_t seed =
		(uint64_t)(uint32_t)reply->content_format << 8 | reply->code;

	pl_ref_init(&content->ref, content_release_);
	content->received = now;
	content->max_age_s = reply->max_age_s;
	content->content_format = reply->content_format;
	content->code = reply->code;
	content->len = reply->body_len;
	if (reply->body_len > 0)
		memcpy(content->body, reply->body, reply->body_len);
	content->etag = pl_hash(content->body, content->len, seed);
	if (content->etag == 0)
		content->etag = 1;
	return content;
}

guint pl_view_resource_hash(gconstpointer resource)
{
	const pl_view_resource_t *r = resource;

	return g_str_hash(r->path) * HASH_FACTOR + g_str_hash(r->query);
}

gboolean pl_view_resource_equal(gconstpointer a, gconstpointer b)
{
	const pl_view_resource_t *left = a;
	const pl_view_resource_t *right = b;

	return strcmp(left->path, right->path) == 0 &&
	       strcmp(left->query, right->query) == 0;
}

static void retry_fire_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_view_resource_subscribe(ctx);
}

pl_view_resource_t *pl_view_resource_get(pl_view_table_t *table,
					 const char *path, const char *query)
{
	pl_view_resource_t key = { .path = (char *)path,
				   .query = (char *)query };
	pl_view_resource_t *resource =
		g_hash_table_lookup(table->resources, &key);

	if (resource)
		return resource;
	resource = g_new0(pl_view_resource_t, 1);
	resource->table = table;
	resource->path = g_strdup(path);
	resource->query = g_strdup(query);
	resource->backoff_ms = RETRY_MIN_MS;
	pl_list_init(&resource->views);
	pl_timer_init(&resource->retry, retry_fire_, resource);
	g_hash_table_add(table->resources, resource);
	pl_view_resource_subscribe(resource);
	return resource;
}

/* Ends the subscription; does not change the state. */
static void unsubscribe_(pl_view_resource_t *resource)
{
	pl_view_table_t *table = resource->table;
	uint64_t subscription = resource->subscription;

	pl_timer_cancel(table->timers, &resource->retry);
	if (subscription == 0)
		return;
	g_hash_table_remove(table->subscriptions, &resource->subscription);
	resource->subscription = 0;
	table->ops->unsubscribe(table->ctx, subscription);
}

void pl_view_resource_subscribe(pl_view_resource_t *resource)
{
	pl_view_table_t *table = resource->table;

	unsubscribe_(resource);
	if (!table->backend_present) {
		resource->state = PL_VIEW_RESOURCE_IDLE;
		return;
	}
	resource->state = PL_VIEW_RESOURCE_SUBSCRIBING;
	resource->subscription = ++table->next_subscription;
	g_hash_table_insert(table->subscriptions, &resource->subscription,
			    resource);
	table->ops->subscribe(table->ctx, resource->subscription,
			      resource->path, resource->query);
}

void pl_view_resource_suspend(pl_view_resource_t *resource)
{
	unsubscribe_(resource);
	if (resource->state != PL_VIEW_RESOURCE_ENDED)
		resource->state = PL_VIEW_RESOURCE_IDLE;
}

/*
 * Ends the resource: it is no longer found by path, but exists until its last
 * view is closed.
 */
static void resource_end_(pl_view_resource_t *resource)
{
	if (resource->state == PL_VIEW_RESOURCE_ENDED)
		return;
	unsubscribe_(resource);
	g_hash_table_remove(resource->table->resources, resource);
	resource->state = PL_VIEW_RESOURCE_ENDED;
}

void pl_view_resource_put(pl_view_resource_t *resource)
{
	if (!pl_list_empty(&resource->views))
		return;
	resource_end_(resource);
	if (resource->content)
		pl_view_content_put(resource->content);
	g_free(resource->query);
	g_free(resource->path);
	g_free(resource);
}

bool pl_view_resource_fresh(const pl_view_resource_t *resource)
{
	const pl_view_content_t *content = resource->content;
	int64_t max_age_s = PL_VIEW_MAX_AGE_DEFAULT_S;

	if (!content)
		return false;
	if (resource->state == PL_VIEW_RESOURCE_LIVE ||
	    resource->state == PL_VIEW_RESOURCE_ENDED)
		return true;
	if (content->max_age_s >= 0)
		max_age_s = content->max_age_s;
	return pl_view_now(resource->table) - content->received <=
	       (pl_ms_t)max_age_s * MS_PER_S;
}

void pl_view_resource_detach(pl_view_t *view, uint8_t code)
{
	pl_view_table_t *table = view->table;
	pl_view_resource_t *before = view->resource;
	pl_view_resource_t *resource = g_new0(pl_view_resource_t, 1);
	pl_backend_reply_t reply = { .code = code,
				     .content_format = -1,
				     .max_age_s = -1 };

	if (code == PL_COAP_UNAVAILABLE)
		reply.max_age_s = REFUSED_MAX_AGE_S +
				  (int64_t)(table->ops->random(table->ctx) %
					    REFUSED_MAX_AGE_SPREAD_S);
	resource->table = table;
	resource->path = g_strdup(before->path);
	resource->query = g_strdup(before->query);
	resource->state = PL_VIEW_RESOURCE_ENDED;
	resource->content = content_new_(&reply, pl_view_now(table));
	pl_list_init(&resource->views);
	pl_timer_init(&resource->retry, retry_fire_, resource);
	pl_list_remove(&view->resource_link);
	pl_view_resource_put(before);
	pl_list_append(&resource->views, &view->resource_link);
	view->resource = resource;
}

/* Schedules the next subscription attempt with exponential backoff. */
static void retry_subscription_(pl_view_resource_t *resource)
{
	pl_view_table_t *table = resource->table;

	unsubscribe_(resource);
	resource->state = PL_VIEW_RESOURCE_RETRYING;
	pl_timer_arm(table->timers, &resource->retry,
		     pl_view_now(table) + resource->backoff_ms);
	resource->backoff_ms *= 2;
	if (resource->backoff_ms > RETRY_MAX_MS)
		resource->backoff_ms = RETRY_MAX_MS;
}

/*
 * Handles a failed subscription. An error response from the backend server
 * other than 5.03 answers the pending registrations; open views stay.
 */
static void subscription_failed_(pl_view_resource_t *resource,
				 const pl_backend_reply_t *reply)
{
	retry_subscription_(resource);
	if (reply->status != PL_BACKEND_ANSWERED ||
	    reply->code == PL_COAP_UNAVAILABLE)
		return;
	pl_list_for_each_safe(node, &resource->views) {
		pl_view_t *view =
			PL_CONTAINER_OF(node, pl_view_t, resource_link);
		bool last = node_next == &resource->views;

		if (view->pending)
			pl_view_refuse(view, reply->code);
		/* the last view may have freed the resource */
		if (last)
			break;
	}
}

static void update_views_(pl_view_resource_t *resource)
{
	pl_list_for_each_safe(node, &resource->views) {
		pl_view_t *view =
			PL_CONTAINER_OF(node, pl_view_t, resource_link);
		bool last = node_next == &resource->views;

		pl_view_update(view);
		if (last)
			break;
	}
}

/*
 * Takes over @p content. If the first response of a new subscription equals
 * the present content, it only renews the freshness, so that no caller is
 * notified.
 */
static void replace_content_(pl_view_resource_t *resource,
			     pl_view_content_t *content)
{
	pl_view_content_t *before = resource->content;
	bool resumed = resource->state == PL_VIEW_RESOURCE_SUBSCRIBING;

	if (before && resumed && before->etag == content->etag) {
		before->received = content->received;
		before->max_age_s = content->max_age_s;
		pl_view_content_put(content);
		return;
	}
	resource->content = content;
	if (before)
		pl_view_content_put(before);
}

void pl_view_notify(pl_view_table_t *table, uint64_t subscription_id,
		    const pl_backend_reply_t *reply)
{
	pl_view_resource_t *resource =
		g_hash_table_lookup(table->subscriptions, &subscription_id);
	unsigned int class = reply->code >> CODE_CLASS_SHIFT;

	/* notification of a subscription that was ended meanwhile */
	if (!resource)
		return;
	if (reply->status != PL_BACKEND_ANSWERED ||
	    class == CODE_CLASS_SERVER_ERROR) {
		subscription_failed_(resource, reply);
		return;
	}
	resource->backoff_ms = RETRY_MIN_MS;
	replace_content_(resource, content_new_(reply, pl_view_now(table)));
	if (class == CODE_CLASS_SUCCESS)
		resource->state = PL_VIEW_RESOURCE_LIVE;
	else
		resource_end_(resource);
	update_views_(resource);
}

void pl_view_set_backend_present(pl_view_table_t *table, bool present)
{
	GHashTableIter iter;
	gpointer resource;

	table->backend_present = present;
	pl_view_handover_backend_changed(table, present);
	g_hash_table_iter_init(&iter, table->resources);
	while (g_hash_table_iter_next(&iter, &resource, NULL)) {
		if (present)
			pl_view_resource_subscribe(resource);
		else
			pl_view_resource_suspend(resource);
	}
}
