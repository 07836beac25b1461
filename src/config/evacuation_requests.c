/** @file Requests to evacuate data centres, as read from the store. */
#include <pimentolift/evacuation_requests.h>

#include <glib.h>
#include <pimentolift/event.h>
#include <pimentolift/hash.h>

struct pl_evacuation_requests {
	pl_kv_position_t position; /**< of the last response; 0: none yet */
	GHashTable *names; /**< data centres with a request */
};

static GHashTable *names_new_(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

pl_evacuation_requests_t *pl_evacuation_requests_new(void)
{
	pl_evacuation_requests_t *requests =
		g_new0(pl_evacuation_requests_t, 1);

	requests->names = names_new_();
	return requests;
}

void pl_evacuation_requests_delete(pl_evacuation_requests_t *requests)
{
	if (!requests)
		return;
	g_hash_table_destroy(requests->names);
	g_free(requests);
}

static bool is_later_(const pl_kv_position_t *a, const pl_kv_position_t *b)
{
	if (a->generation != b->generation)
		return a->generation > b->generation;
	return a->index > b->index;
}

/* Whether the update leads from the known requests to later ones. */
static bool applies_(const pl_evacuation_requests_t *requests,
		     const pl_evacuation_update_t *update)
{
	const pl_kv_position_t *known = &requests->position;

	if (!is_later_(&update->position, known))
		return false;
	return update->complete ||
	       (known->index > 0 &&
		update->position.generation == known->generation &&
		update->after.generation == known->generation &&
		update->after.index <= known->index);
}

static void log_requested_(const pl_evacuation_requests_t *requests,
			   const pl_evacuation_request_t *request)
{
	bool known =
		g_hash_table_contains(requests->names, request->datacentre);

	if (!known)
		pl_event(PL_EVENT_EVACUATION_REQUESTED,
			 "data centre %s, at index %" G_GUINT64_FORMAT,
			 request->datacentre, requests->position.index);
	if (!known && !request->readable)
		pl_event(PL_EVENT_EVACUATION_UNREADABLE, "data centre %s",
			 request->datacentre);
}

static void log_withdrawn_(const pl_evacuation_requests_t *requests,
			   const char *datacentre)
{
	pl_event(PL_EVENT_EVACUATION_WITHDRAWN,
		 "data centre %s, at index %" G_GUINT64_FORMAT, datacentre,
		 requests->position.index);
}

static void add_(pl_evacuation_requests_t *requests, GHashTable *names,
		 const pl_evacuation_request_t *request)
{
	log_requested_(requests, request);
	g_hash_table_add(names, g_strdup(request->datacentre));
}

static void replace_all_(pl_evacuation_requests_t *requests,
			 const pl_evacuation_update_t *update)
{
	GHashTable *names = names_new_();
	GHashTableIter iter;
	gpointer name;

	for (size_t i = 0; i < update->count; i++)
		add_(requests, names, &update->requests[i]);
	g_hash_table_iter_init(&iter, requests->names);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!g_hash_table_contains(names, name))
			log_withdrawn_(requests, name);
	}
	g_hash_table_destroy(requests->names);
	requests->names = names;
}

static void apply_changes_(pl_evacuation_requests_t *requests,
			   const pl_evacuation_update_t *update)
{
	for (size_t i = 0; i < update->count; i++) {
		const pl_evacuation_request_t *request = &update->requests[i];

		if (!request->withdrawn)
			add_(requests, requests->names, request);
		else if (g_hash_table_remove(requests->names,
					     request->datacentre))
			log_withdrawn_(requests, request->datacentre);
	}
}

bool pl_evacuation_requests_apply(pl_evacuation_requests_t *requests,
				  const pl_evacuation_update_t *update)
{
	if (!applies_(requests, update))
		return false;
	requests->position = update->position;
	if (update->complete)
		replace_all_(requests, update);
	else
		apply_changes_(requests, update);
	return true;
}

void pl_evacuation_requests_get(const pl_evacuation_requests_t *requests,
				pl_evacuations_t *evacuations)
{
	GHashTableIter iter;
	gpointer name;

	*evacuations = (pl_evacuations_t){
		.generation = requests->position.generation,
		.revision = requests->position.index,
	};
	g_hash_table_iter_init(&iter, requests->names);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!pl_evacuations_add(evacuations, pl_hash_text(name)))
			pl_event(PL_EVENT_EVACUATION_EXCESS,
				 "data centre %s, of %u requests",
				 (const char *)name,
				 g_hash_table_size(requests->names));
	}
}
