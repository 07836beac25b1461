/**
 * @file
 * A member's copy of the document with the revision of each section's last
 * change.
 */
#include "private/config_replica.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

struct pl_config_replica {
	pl_document_t *document;
	GHashTable *changed_revision; /* name to uint64_t */
	GArray *removals; /* pl_config_removal_t, in order of revision */
};

/* The state that results from a push, before it is committed. */
typedef struct {
	GHashTable *sections; /* name, borrowed, to pl_section_t */
	GHashTable *changed_revision;
	GArray *removals;
} draft_t;

static GHashTable *revisions_new_(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void set_revision_(GHashTable *table, const char *name,
			  uint64_t revision)
{
	g_hash_table_replace(table, g_strdup(name),
			     g_memdup2(&revision, sizeof(revision)));
}

static uint64_t get_revision_(GHashTable *table, const char *name)
{
	const uint64_t *revision = g_hash_table_lookup(table, name);

	return revision ? *revision : 0;
}

pl_config_replica_t *pl_config_replica_new(void)
{
	pl_config_replica_t *replica = g_new0(pl_config_replica_t, 1);

	replica->changed_revision = revisions_new_();
	replica->removals =
		g_array_new(FALSE, TRUE, sizeof(pl_config_removal_t));
	return replica;
}

void pl_config_replica_delete(pl_config_replica_t *replica)
{
	if (!replica)
		return;
	pl_document_put(replica->document);
	g_hash_table_destroy(replica->changed_revision);
	g_array_free(replica->removals, TRUE);
	g_free(replica);
}

uint64_t pl_config_replica_revision(const pl_config_replica_t *replica)
{
	return replica->document ? pl_document_revision(replica->document) : 0;
}

pl_document_t *pl_config_replica_document(const pl_config_replica_t *replica)
{
	return replica->document;
}

static int by_revision_(const void *a, const void *b)
{
	const pl_config_removal_t *first = a;
	const pl_config_removal_t *second = b;

	if (first->removed_revision != second->removed_revision)
		return first->removed_revision < second->removed_revision ? -1 :
									    1;
	return strcmp(first->name, second->name);
}

static void drop_removal_(GArray *removals, const char *name)
{
	for (guint i = 0; i < removals->len; i++) {
		if (strcmp(g_array_index(removals, pl_config_removal_t, i).name,
			   name) == 0) {
			g_array_remove_index(removals, i);
			return;
		}
	}
}

static void add_removal_(GArray *removals, const char *name,
			 uint64_t removed_revision)
{
	pl_config_removal_t removal = { .removed_revision = removed_revision };

	drop_removal_(removals, name);
	g_strlcpy(removal.name, name, sizeof(removal.name));
	g_array_append_val(removals, removal);
}

/* Discards the oldest removals beyond the limit. A peer that misses such a
 * removal gets a wrong document hash and pulls the whole document. */
static void trim_removals_(pl_config_replica_t *replica)
{
	GArray *removals = replica->removals;

	g_array_sort(removals, by_revision_);
	if (removals->len > PL_CONFIG_REPLICA_REMOVALS_MAX)
		g_array_remove_range(removals, 0,
				     removals->len -
					     PL_CONFIG_REPLICA_REMOVALS_MAX);
}

static void replace_document_(pl_config_replica_t *replica,
			      pl_document_t *document)
{
	pl_document_get(document);
	pl_document_put(replica->document);
	replica->document = document;
}

/* Records the services of the held document that @p next lacks. */
static void record_removals_(pl_config_replica_t *replica,
			     const pl_document_t *next)
{
	const pl_document_t *held = replica->document;

	for (size_t i = 0; held && i < pl_document_count(held); i++) {
		const char *name =
			pl_section_service(pl_document_at(held, i))->name;

		if (pl_document_find(next, name))
			continue;
		add_removal_(replica->removals, name,
			     pl_document_revision(next));
		g_hash_table_remove(replica->changed_revision, name);
	}
}

void pl_config_replica_replace(pl_config_replica_t *replica,
			       pl_document_t *document)
{
	uint64_t revision = pl_document_revision(document);

	assert(revision > pl_config_replica_revision(replica));
	record_removals_(replica, document);
	for (size_t i = 0; i < pl_document_count(document); i++) {
		const pl_section_t *section = pl_document_at(document, i);
		const char *name = pl_section_service(section)->name;
		const pl_section_t *old =
			replica->document ?
				pl_document_find(replica->document, name) :
				NULL;

		if (old && pl_section_hash(old) == pl_section_hash(section))
			continue;
		set_revision_(replica->changed_revision, name, revision);
		drop_removal_(replica->removals, name);
	}
	trim_removals_(replica);
	replace_document_(replica, document);
}

static void draft_init_(draft_t *draft, const pl_config_replica_t *replica,
			bool empty)
{
	const pl_document_t *held = replica->document;

	draft->sections = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						(GDestroyNotify)pl_section_put);
	draft->changed_revision = revisions_new_();
	draft->removals = g_array_new(FALSE, TRUE, sizeof(pl_config_removal_t));
	if (empty || !held)
		return;
	for (size_t i = 0; i < pl_document_count(held); i++) {
		pl_section_t *section = pl_document_at(held, i);
		const char *name = pl_section_service(section)->name;

		pl_section_get(section);
		g_hash_table_insert(draft->sections, (gpointer)name, section);
		set_revision_(draft->changed_revision, name,
			      get_revision_(replica->changed_revision, name));
	}
	g_array_append_vals(draft->removals, replica->removals->data,
			    replica->removals->len);
}

static void draft_finish_(draft_t *draft)
{
	g_hash_table_destroy(draft->sections);
	g_clear_pointer(&draft->changed_revision, g_hash_table_destroy);
	if (draft->removals)
		g_array_free(draft->removals, TRUE);
}

static void draft_put_(draft_t *draft, pl_section_t *section,
		       uint64_t changed_revision)
{
	const char *name = pl_section_service(section)->name;

	/* the key is borrowed from the section, so remove it with the old
	 * section */
	g_hash_table_remove(draft->sections, name);
	g_hash_table_insert(draft->sections, (gpointer)name, section);
	set_revision_(draft->changed_revision, name, changed_revision);
	drop_removal_(draft->removals, name);
}

static void draft_remove_(draft_t *draft, const pl_config_removal_t *removal)
{
	g_hash_table_remove(draft->sections, removal->name);
	g_hash_table_remove(draft->changed_revision, removal->name);
	add_removal_(draft->removals, removal->name, removal->removed_revision);
}

static pl_result_t draft_fill_(draft_t *draft, const pl_config_push_t *push,
			       pl_error_t *err)
{
	for (size_t i = 0; i < push->removal_count; i++)
		draft_remove_(draft, &push->removals[i]);
	for (size_t i = 0; i < push->section_count; i++) {
		const pl_config_section_t *item = &push->sections[i];
		pl_section_t *section;

		if (pl_section_decode(item->bytes, item->len, &section, err) !=
		    PL_OK)
			return PL_ERR_MALFORMED;
		draft_put_(draft, section, item->changed_revision);
	}
	return PL_OK;
}

static pl_document_t *draft_document_(const draft_t *draft, uint64_t revision)
{
	guint count = 0;
	gpointer *names =
		g_hash_table_get_keys_as_array(draft->sections, &count);
	pl_section_t **sections = g_new(pl_section_t *, count + 1);
	pl_document_t *document;

	for (guint i = 0; i < count; i++)
		sections[i] = g_hash_table_lookup(draft->sections, names[i]);
	document = pl_document_new(revision, sections, count);
	g_free(sections);
	g_free(names);
	return document;
}

/* Moves the draft into @p replica. */
static void draft_commit_(draft_t *draft, pl_config_replica_t *replica,
			  pl_document_t *document)
{
	replace_document_(replica, document);
	g_hash_table_destroy(replica->changed_revision);
	replica->changed_revision = g_steal_pointer(&draft->changed_revision);
	g_array_free(replica->removals, TRUE);
	replica->removals = g_steal_pointer(&draft->removals);
	trim_removals_(replica);
}

pl_result_t pl_config_replica_apply_push(pl_config_replica_t *replica,
					 const pl_config_push_t *push,
					 pl_error_t *err)
{
	draft_t draft;
	pl_document_t *document;
	pl_result_t result;

	assert(push->kind == PL_CONFIG_PUSH_SECTIONS);
	assert(push->base <= pl_config_replica_revision(replica));
	draft_init_(&draft, replica, push->base == 0);
	result = draft_fill_(&draft, push, err);
	if (result == PL_OK) {
		document = draft_document_(&draft, push->revision);
		if (pl_document_hash(document) == push->hash)
			draft_commit_(&draft, replica, document);
		else
			result =
				pl_error_set(err, PL_ERR_CONFLICT,
					     "the document hash does not match "
					     "after applying the sections");
		pl_document_put(document);
	}
	draft_finish_(&draft);
	return result;
}

static void collect_sections_(const pl_config_replica_t *replica,
			      pl_config_push_t *push)
{
	const pl_document_t *held = replica->document;

	push->sections =
		g_new0(pl_config_section_t, pl_document_count(held) + 1);
	for (size_t i = 0; i < pl_document_count(held); i++) {
		const pl_section_t *section = pl_document_at(held, i);
		pl_config_section_t *item =
			&push->sections[push->section_count];

		item->changed_revision =
			get_revision_(replica->changed_revision,
				      pl_section_service(section)->name);
		if (item->changed_revision <= push->base)
			continue;
		item->bytes = pl_section_bytes(section, &item->len);
		push->section_count++;
	}
}

static void collect_removals_(const pl_config_replica_t *replica,
			      pl_config_push_t *push)
{
	const GArray *removals = replica->removals;

	push->removals = g_new0(pl_config_removal_t, removals->len + 1);
	for (guint i = 0; i < removals->len; i++) {
		const pl_config_removal_t *removal =
			&g_array_index(removals, pl_config_removal_t, i);

		if (removal->removed_revision > push->base)
			push->removals[push->removal_count++] = *removal;
	}
}

void pl_config_replica_encode_push(const pl_config_replica_t *replica,
				   uint64_t have, GByteArray *out)
{
	pl_config_push_t push = { .kind = PL_CONFIG_PUSH_OFFER,
				  .revision =
					  pl_config_replica_revision(replica) };

	if (push.revision > have) {
		push.kind = PL_CONFIG_PUSH_SECTIONS;
		push.base = have;
		push.hash = pl_document_hash(replica->document);
		collect_sections_(replica, &push);
		collect_removals_(replica, &push);
	}
	pl_config_encode_push(&push, out);
	pl_config_push_finish(&push);
}
