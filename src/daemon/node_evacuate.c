/**
 * @file
 * Evacuated data centres as this process knows them: their effect on the
 * routing table and the role, their log lines and status.
 */
#include "private/node_state.h"

#include <pimentolift/event.h>
#include <pimentolift/hash.h>

#include <string.h>

#define MS_PER_S 1000
/** Size of an identity as hexadecimal text, with its terminator. */
#define IDENTITY_TEXT_MAX 17

/* Name of a data centre; its identity if no known member is there. */
static const char *name_of_(const pl_node_t *node, pl_datacentre_id_t id,
			    char identity[IDENTITY_TEXT_MAX])
{
	size_t count = pl_member_datacentre_count(node->members);

	for (size_t i = 0; i < count; i++) {
		pl_member_datacentre_t datacentre;

		pl_member_datacentre_at(node->members, i, &datacentre);
		if (datacentre.id == id && *datacentre.name)
			return datacentre.name;
	}
	g_snprintf(identity, IDENTITY_TEXT_MAX, "%016" G_GINT64_MODIFIER "x",
		   id);
	return identity;
}

static bool is_known_(const pl_node_t *node, pl_datacentre_id_t id)
{
	size_t count = pl_member_datacentre_count(node->members);

	for (size_t i = 0; i < count; i++) {
		pl_member_datacentre_t datacentre;

		pl_member_datacentre_at(node->members, i, &datacentre);
		if (datacentre.id == id)
			return true;
	}
	return false;
}

static pl_node_evacuation_t *find_(pl_node_t *node, pl_datacentre_id_t id)
{
	for (size_t i = 0; i < node->evacuation_count; i++) {
		if (node->evacuations[i].datacentre == id)
			return &node->evacuations[i];
	}
	return NULL;
}

static void log_started_(const pl_node_t *node, pl_datacentre_id_t id,
			 const pl_evacuations_t *evacuations)
{
	char identity[IDENTITY_TEXT_MAX];
	const char *name = name_of_(node, id, identity);

	pl_event(PL_EVENT_EVACUATION_IN_FORCE,
		 "data centre %s, at index %" G_GUINT64_FORMAT
		 " of generation %" G_GUINT64_FORMAT,
		 name, evacuations->revision, evacuations->generation);
	/* a process that has just started knows few members */
	if (pl_member_joined(node->members) && !is_known_(node, id))
		pl_event(PL_EVENT_EVACUATION_UNKNOWN, "data centre %s", name);
}

static void log_ended_(const pl_node_t *node,
		       const pl_node_evacuation_t *evacuation)
{
	char identity[IDENTITY_TEXT_MAX];

	pl_event(PL_EVENT_EVACUATION_ENDED,
		 "data centre %s, after %" G_GUINT64_FORMAT " ms",
		 name_of_(node, evacuation->datacentre, identity),
		 pl_node_now_(node) - evacuation->since);
}

void pl_node_evacuate_changed_(pl_node_t *node,
			       const pl_evacuations_t *evacuations)
{
	pl_datacentre_id_t own = pl_hash_text(node->settings->datacentre);
	bool evacuated = pl_evacuations_contain(evacuations, own);
	bool was_evacuated = find_(node, own) != NULL;
	pl_node_evacuation_t now[PL_EVACUATIONS_MAX];

	for (size_t i = 0; i < evacuations->count; i++) {
		pl_datacentre_id_t id = evacuations->datacentres[i];
		const pl_node_evacuation_t *known = find_(node, id);

		if (!known)
			log_started_(node, id, evacuations);
		now[i] = (pl_node_evacuation_t){
			.datacentre = id,
			.since = known ? known->since : pl_node_now_(node),
		};
	}
	for (size_t i = 0; i < node->evacuation_count; i++) {
		if (!pl_evacuations_contain(evacuations,
					    node->evacuations[i].datacentre))
			log_ended_(node, &node->evacuations[i]);
	}
	memcpy(node->evacuations, now, evacuations->count * sizeof(now[0]));
	node->evacuation_count = evacuations->count;
	if (node->role && node->role_ops->evacuated &&
	    evacuated != was_evacuated)
		node->role_ops->evacuated(node->role, evacuated);
	pl_node_schedule_rebuild_(node);
}

size_t pl_node_evacuation_count(const pl_node_t *node)
{
	return node->evacuation_count;
}

void pl_node_evacuation_status(pl_node_t *node, struct json_object *status)
{
	struct json_object *array = json_object_new_array();

	for (size_t i = 0; i < node->evacuation_count; i++) {
		const pl_node_evacuation_t *evacuation = &node->evacuations[i];
		pl_ms_t age = pl_node_now_(node) - evacuation->since;
		char identity[IDENTITY_TEXT_MAX];
		char *text = g_strdup_printf(
			"%s for %" G_GUINT64_FORMAT " s",
			name_of_(node, evacuation->datacentre, identity),
			age / MS_PER_S);

		json_object_array_add(array, json_object_new_string(text));
		g_free(text);
	}
	json_object_object_add(status, "evacuated", array);
}
