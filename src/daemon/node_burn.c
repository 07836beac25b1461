/**
 * @file
 * Good and total events of an agent's service-level objectives.
 */
#include "private/node_burn.h"

#include <pimentolift/burn.h>
#include <pimentolift/counter.h>
#include <pimentolift/document.h>

#define SAMPLE_INTERVAL_MS 5000
#define MS_PER_S 1000
#define US_PER_MS 1000

/* An objective and the history of its counts. */
typedef struct {
	pl_objective_t objective;
	pl_burn_history_t *history;
} tracked_t;

struct pl_node_burn {
	pl_node_t *node;
	pl_timer_t timer;
	char service[PL_NAME_MAX]; /* "" before registration */
	GArray *tracked; /* tracked_t */
};

static pl_timer_service_t *timers_(const pl_node_burn_t *burn)
{
	return pl_loop_timers(pl_node_loop(burn->node));
}

static uint64_t now_s_(const pl_node_burn_t *burn)
{
	return pl_timer_service_now(timers_(burn)) / MS_PER_S;
}

/* Configuration of this agent's service, or NULL. */
static const pl_service_config_t *own_service_(const pl_node_burn_t *burn)
{
	const pl_document_t *document = pl_node_document(burn->node);
	const pl_member_t *self = pl_member_self(pl_node_members(burn->node));
	pl_service_id_t id = pl_member_attr(self)->service;

	for (size_t i = 0; document && i < pl_document_count(document); i++) {
		const pl_service_config_t *service =
			pl_section_service(pl_document_at(document, i));

		if (pl_service_id(service->name) == id)
			return service;
	}
	return NULL;
}

/*
 * Counts values within the threshold as good. The values of the bucket that
 * spans the threshold count as bad, so the report is never too optimistic.
 */
static pl_burn_count_t count_within_(pl_histogram_t histogram,
				     uint32_t threshold_ms)
{
	uint64_t threshold_us = (uint64_t)threshold_ms * US_PER_MS;
	pl_burn_count_t count = { 0 };

	for (size_t b = 0; b < PL_HISTOGRAM_BUCKETS; b++) {
		uint64_t values = pl_histogram_get(histogram, b);

		count.total += values;
		if (pl_histogram_bound_us(b) <= threshold_us)
			count.good += values;
	}
	return count;
}

static pl_burn_count_t count_objective_(const pl_objective_t *objective)
{
	pl_burn_count_t count = { 0 };

	if (objective->kind == PL_OBJECTIVE_LATENCY)
		return count_within_(PL_HISTOGRAM_REQUEST,
				     objective->threshold_ms);
	if (objective->kind == PL_OBJECTIVE_FRESHNESS)
		return count_within_(PL_HISTOGRAM_NOTIFY,
				     objective->threshold_ms);
	count.good = pl_counter_get(PL_COUNTER_ANSWERED);
	count.total = count.good + pl_counter_get(PL_COUNTER_REFUSED) +
		      pl_counter_get(PL_COUNTER_OUTCOME_UNKNOWN);
	return count;
}

static bool same_objective_(const pl_objective_t *a, const pl_objective_t *b)
{
	return a->kind == b->kind && a->target_ppm == b->target_ppm &&
	       a->threshold_ms == b->threshold_ms &&
	       a->window_days == b->window_days;
}

static bool service_has_objective_(const pl_service_config_t *service,
				   const pl_objective_t *objective)
{
	for (size_t i = 0; i < service->objective_count; i++) {
		if (same_objective_(&service->objectives[i], objective))
			return true;
	}
	return false;
}

static bool is_tracked_(const pl_node_burn_t *burn,
			const pl_objective_t *objective)
{
	for (guint i = 0; i < burn->tracked->len; i++) {
		if (same_objective_(&g_array_index(burn->tracked, tracked_t, i)
					     .objective,
				    objective))
			return true;
	}
	return false;
}

/* Starts to track new objectives and drops those no longer in the document. */
static void update_objectives_(pl_node_burn_t *burn)
{
	const pl_service_config_t *service = own_service_(burn);

	if (!service)
		return;
	g_strlcpy(burn->service, service->name, sizeof(burn->service));
	for (guint i = burn->tracked->len; i > 0; i--) {
		tracked_t *tracked =
			&g_array_index(burn->tracked, tracked_t, i - 1);

		if (!service_has_objective_(service, &tracked->objective))
			g_array_remove_index(burn->tracked, i - 1);
	}
	for (size_t i = 0; i < service->objective_count; i++) {
		tracked_t tracked = { .objective = service->objectives[i] };

		if (is_tracked_(burn, &tracked.objective))
			continue;
		tracked.history = pl_burn_history_new();
		g_array_append_val(burn->tracked, tracked);
	}
}

static void record_samples_(pl_node_burn_t *burn)
{
	update_objectives_(burn);
	for (guint i = 0; i < burn->tracked->len; i++) {
		tracked_t *tracked =
			&g_array_index(burn->tracked, tracked_t, i);
		pl_burn_count_t count = count_objective_(&tracked->objective);

		pl_burn_history_record(tracked->history, now_s_(burn), &count);
	}
}

static void on_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_node_burn_t *burn = ctx;

	record_samples_(burn);
	pl_timer_arm(timers_(burn), timer, now + SAMPLE_INTERVAL_MS);
}

static void clear_tracked_(gpointer data)
{
	tracked_t *tracked = data;

	pl_burn_history_delete(tracked->history);
}

pl_node_burn_t *pl_node_burn_new(pl_node_t *node)
{
	pl_node_burn_t *burn = g_new0(pl_node_burn_t, 1);

	burn->node = node;
	burn->tracked = g_array_new(FALSE, TRUE, sizeof(tracked_t));
	g_array_set_clear_func(burn->tracked, clear_tracked_);
	pl_timer_init(&burn->timer, on_timer_, burn);
	pl_timer_arm(timers_(burn), &burn->timer,
		     pl_timer_service_now(timers_(burn)) + SAMPLE_INTERVAL_MS);
	return burn;
}

void pl_node_burn_delete(pl_node_burn_t *burn)
{
	if (!burn)
		return;
	pl_timer_cancel(timers_(burn), &burn->timer);
	g_array_free(burn->tracked, TRUE);
	g_free(burn);
}

static struct json_object *windows_json_(const pl_node_burn_t *burn,
					 const tracked_t *tracked)
{
	struct json_object *windows = json_object_new_object();

	for (int window = 0; window < PL_BURN_WINDOW_COUNT; window++) {
		struct json_object *object = json_object_new_object();
		pl_burn_count_t count;

		pl_burn_history_window(tracked->history, now_s_(burn),
				       (pl_burn_window_t)window, &count);
		json_object_object_add(object, "good",
				       json_object_new_uint64(count.good));
		json_object_object_add(object, "total",
				       json_object_new_uint64(count.total));
		json_object_object_add(windows, pl_burn_window_names[window],
				       object);
	}
	return windows;
}

static struct json_object *objective_json_(const pl_node_burn_t *burn,
					   const tracked_t *tracked)
{
	const pl_objective_t *objective = &tracked->objective;
	struct json_object *object = json_object_new_object();

	json_object_object_add(
		object, "kind",
		json_object_new_string(
			pl_objective_kind_names[objective->kind]));
	json_object_object_add(object, "target_ppm",
			       json_object_new_uint64(objective->target_ppm));
	json_object_object_add(object, "threshold_ms",
			       json_object_new_uint64(objective->threshold_ms));
	json_object_object_add(object, "window_days",
			       json_object_new_uint64(objective->window_days));
	json_object_object_add(object, "windows", windows_json_(burn, tracked));
	return object;
}

struct json_object *pl_node_burn_report(pl_node_burn_t *burn)
{
	const pl_settings_t *settings = pl_node_settings(burn->node);
	struct json_object *report = json_object_new_object();
	struct json_object *list = json_object_new_array();

	record_samples_(burn);
	json_object_object_add(report, "instance",
			       json_object_new_string(settings->name));
	json_object_object_add(report, "datacentre",
			       json_object_new_string(settings->datacentre));
	json_object_object_add(
		report, "service",
		*burn->service ? json_object_new_string(burn->service) : NULL);
	for (guint i = 0; i < burn->tracked->len; i++)
		json_object_array_add(
			list,
			objective_json_(burn, &g_array_index(burn->tracked,
							     tracked_t, i)));
	json_object_object_add(report, "objectives", list);
	return report;
}
