/**
 * @file
 * Sections held with the revision of their last change.
 */
#include "private/holding.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

struct pl_holding {
	pl_document_t *document;
	GHashTable *changed_at; /* name to uint64_t */
	GArray *removals; /* pl_config_removal_t, in order of revision */
};

/* A holding that is being put together. */
typedef struct {
	GHashTable *sections; /* name, borrowed, to pl_section_t */
	GHashTable *changed_at;
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

pl_holding_t *pl_holding_new(void)
{
	pl_holding_t *holding = g_new0(pl_holding_t, 1);

	holding->changed_at = revisions_new_();
	holding->removals =
		g_array_new(FALSE, TRUE, sizeof(pl_config_removal_t));
	return holding;
}

void pl_holding_delete(pl_holding_t *holding)
{
	if (!holding)
		return;
	pl_document_put(holding->document);
	g_hash_table_destroy(holding->changed_at);
	g_array_free(holding->removals, TRUE);
	g_free(holding);
}

uint64_t pl_holding_revision(const pl_holding_t *holding)
{
	return holding->document ? pl_document_revision(holding->document) : 0;
}

pl_document_t *pl_holding_document(const pl_holding_t *holding)
{
	return holding->document;
}

static int by_revision_(const void *a, const void *b)
{
	const pl_config_removal_t *first = a;
	const pl_config_removal_t *second = b;

	if (first->removed_at != second->removed_at)
		return first->removed_at < second->removed_at ? -1 : 1;
	return strcmp(first->name, second->name);
}

static void forget_removal_(GArray *removals, const char *name)
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
			 uint64_t removed_at)
{
	pl_config_removal_t removal = { .removed_at = removed_at };

	forget_removal_(removals, name);
	g_strlcpy(removal.name, name, sizeof(removal.name));
	g_array_append_val(removals, removal);
}

/* Drops the oldest removals; a peer that lacks one pulls everything. */
static void bound_removals_(pl_holding_t *holding)
{
	GArray *removals = holding->removals;

	g_array_sort(removals, by_revision_);
	if (removals->len > PL_HOLDING_REMOVALS_MAX)
		g_array_remove_range(removals, 0,
				     removals->len - PL_HOLDING_REMOVALS_MAX);
}

static void replace_document_(pl_holding_t *holding, pl_document_t *document)
{
	pl_document_get(document);
	pl_document_put(holding->document);
	holding->document = document;
}

/* Notes the services of the held document that @p next lacks. */
static void note_removals_(pl_holding_t *holding, const pl_document_t *next)
{
	const pl_document_t *held = holding->document;

	for (size_t i = 0; held && i < pl_document_count(held); i++) {
		const char *name =
			pl_section_service(pl_document_at(held, i))->name;

		if (pl_document_find(next, name))
			continue;
		add_removal_(holding->removals, name,
			     pl_document_revision(next));
		g_hash_table_remove(holding->changed_at, name);
	}
}

void pl_holding_take(pl_holding_t *holding, pl_document_t *document)
{
	uint64_t revision = pl_document_revision(document);

	assert(revision > pl_holding_revision(holding));
	note_removals_(holding, document);
	for (size_t i = 0; i < pl_document_count(document); i++) {
		const pl_section_t *section = pl_document_at(document, i);
		const char *name = pl_section_service(section)->name;
		const pl_section_t *old =
			holding->document ?
				pl_document_find(holding->document, name) :
				NULL;

		if (old && pl_section_hash(old) == pl_section_hash(section))
			continue;
		set_revision_(holding->changed_at, name, revision);
		forget_removal_(holding->removals, name);
	}
	bound_removals_(holding);
	replace_document_(holding, document);
}

static void draft_init_(draft_t *draft, const pl_holding_t *holding,
			bool everything)
{
	const pl_document_t *held = holding->document;

	draft->sections = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						(GDestroyNotify)pl_section_put);
	draft->changed_at = revisions_new_();
	draft->removals = g_array_new(FALSE, TRUE, sizeof(pl_config_removal_t));
	if (everything || !held)
		return;
	for (size_t i = 0; i < pl_document_count(held); i++) {
		pl_section_t *section = pl_document_at(held, i);
		const char *name = pl_section_service(section)->name;

		pl_section_get(section);
		g_hash_table_insert(draft->sections, (gpointer)name, section);
		set_revision_(draft->changed_at, name,
			      get_revision_(holding->changed_at, name));
	}
	g_array_append_vals(draft->removals, holding->removals->data,
			    holding->removals->len);
}

static void draft_finish_(draft_t *draft)
{
	g_hash_table_destroy(draft->sections);
	g_clear_pointer(&draft->changed_at, g_hash_table_destroy);
	if (draft->removals)
		g_array_free(draft->removals, TRUE);
}

static void draft_put_(draft_t *draft, pl_section_t *section,
		       uint64_t changed_at)
{
	const char *name = pl_section_service(section)->name;

	/* the key is borrowed from the section, so both are replaced */
	g_hash_table_remove(draft->sections, name);
	g_hash_table_insert(draft->sections, (gpointer)name, section);
	set_revision_(draft->changed_at, name, changed_at);
	forget_removal_(draft->removals, name);
}

static void draft_remove_(draft_t *draft, const pl_config_removal_t *removal)
{
	g_hash_table_remove(draft->sections, removal->name);
	g_hash_table_remove(draft->changed_at, removal->name);
	add_removal_(draft->removals, removal->name, removal->removed_at);
}

static pl_result_t draft_fill_(draft_t *draft, const pl_config_push_t *push,
			       pl_error_t *err)
{
	for (size_t i = 0; i < push->removal_count; i++)
		draft_remove_(draft, &push->removals[i]);
	for (size_t i = 0; i < push->part_count; i++) {
		const pl_config_part_t *part = &push->parts[i];
		pl_section_t *section;

		if (pl_section_decode(part->bytes, part->len, &section, err) !=
		    PL_OK)
			return PL_ERR_MALFORMED;
		draft_put_(draft, section, part->changed_at);
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

/* Makes the draft the state of @p holding. */
static void draft_commit_(draft_t *draft, pl_holding_t *holding,
			  pl_document_t *document)
{
	replace_document_(holding, document);
	g_hash_table_destroy(holding->changed_at);
	holding->changed_at = g_steal_pointer(&draft->changed_at);
	g_array_free(holding->removals, TRUE);
	holding->removals = g_steal_pointer(&draft->removals);
	bound_removals_(holding);
}

pl_result_t pl_holding_apply(pl_holding_t *holding,
			     const pl_config_push_t *push, pl_error_t *err)
{
	draft_t draft;
	pl_document_t *document;
	pl_result_t result;

	assert(push->kind == PL_CONFIG_PUSH_SECTIONS);
	assert(push->base <= pl_holding_revision(holding));
	draft_init_(&draft, holding, push->base == 0);
	result = draft_fill_(&draft, push, err);
	if (result == PL_OK) {
		document = draft_document_(&draft, push->revision);
		if (pl_document_hash(document) == push->hash)
			draft_commit_(&draft, holding, document);
		else
			result = pl_error_set(err, PL_ERR_CONFLICT,
					      "the sections do not make up "
					      "the whole document");
		pl_document_put(document);
	}
	draft_finish_(&draft);
	return result;
}

static void collect_parts_(const pl_holding_t *holding, pl_config_push_t *push)
{
	const pl_document_t *held = holding->document;

	push->parts = g_new0(pl_config_part_t, pl_document_count(held) + 1);
	for (size_t i = 0; i < pl_document_count(held); i++) {
		const pl_section_t *section = pl_document_at(held, i);
		pl_config_part_t *part = &push->parts[push->part_count];

		part->changed_at = get_revision_(
			holding->changed_at, pl_section_service(section)->name);
		if (part->changed_at <= push->base)
			continue;
		part->bytes = pl_section_bytes(section, &part->len);
		push->part_count++;
	}
}

static void collect_removals_(const pl_holding_t *holding,
			      pl_config_push_t *push)
{
	const GArray *removals = holding->removals;

	push->removals = g_new0(pl_config_removal_t, removals->len + 1);
	for (guint i = 0; i < removals->len; i++) {
		const pl_config_removal_t *removal =
			&g_array_index(removals, pl_config_removal_t, i);

		if (removal->removed_at > push->base)
			push->removals[push->removal_count++] = *removal;
	}
}

void pl_holding_encode(const pl_holding_t *holding, uint64_t have,
		       GByteArray *out)
{
	pl_config_push_t push = { .kind = PL_CONFIG_PUSH_OFFER,
				  .revision = pl_holding_revision(holding) };

	if (push.revision > have) {
		push.kind = PL_CONFIG_PUSH_SECTIONS;
		push.base = have;
		push.hash = pl_document_hash(holding->document);
		collect_parts_(holding, &push);
		collect_removals_(holding, &push);
	}
	pl_config_encode_push(&push, out);
	pl_config_push_finish(&push);
}
