/**
 * @file
 * Document: an immutable, reference-counted array of sections sorted by name.
 */
#include <pimentolift/document.h>

#include <assert.h>
#include <glib.h>
#include <pimentolift/hash.h>
#include <pimentolift/list.h>
#include <pimentolift/ref.h>
#include <stdlib.h>
#include <string.h>

struct pl_document {
	pl_ref_t ref;
	uint64_t revision;
	uint64_t hash;
	size_t count;
	pl_section_t **sections;
};

static void release_document_(pl_ref_t *ref)
{
	pl_document_t *document = PL_CONTAINER_OF(ref, pl_document_t, ref);

	for (size_t i = 0; i < document->count; i++)
		pl_section_put(document->sections[i]);
	g_free(document->sections);
	g_free(document);
}

static int compare_names_(const void *a, const void *b)
{
	const pl_section_t *const *first = a;
	const pl_section_t *const *second = b;

	return strcmp(pl_section_service(*first)->name,
		      pl_section_service(*second)->name);
}

pl_document_t *pl_document_new(uint64_t revision, pl_section_t *const *sections,
			       size_t count)
{
	pl_document_t *document = g_new0(pl_document_t, 1);
	uint64_t *hashes = g_new(uint64_t, count + 1);

	pl_ref_init(&document->ref, release_document_);
	document->revision = revision;
	document->count = count;
	document->sections = g_new(pl_section_t *, count + 1);
	for (size_t i = 0; i < count; i++) {
		document->sections[i] = sections[i];
		pl_section_get(sections[i]);
	}
	qsort(document->sections, count, sizeof(pl_section_t *),
	      compare_names_);
	for (size_t i = 0; i < count; i++)
		hashes[i] =
			GUINT64_TO_LE(pl_section_hash(document->sections[i]));
	document->hash = pl_hash(hashes, count * sizeof(*hashes), count);
	g_free(hashes);
	return document;
}

void pl_document_get(pl_document_t *document)
{
	pl_ref_get(&document->ref);
}

void pl_document_put(pl_document_t *document)
{
	if (document)
		pl_ref_put(&document->ref);
}

uint64_t pl_document_revision(const pl_document_t *document)
{
	return document->revision;
}

uint64_t pl_document_hash(const pl_document_t *document)
{
	return document->hash;
}

size_t pl_document_count(const pl_document_t *document)
{
	return document->count;
}

pl_section_t *pl_document_at(const pl_document_t *document, size_t index)
{
	assert(index < document->count);
	return document->sections[index];
}

pl_section_t *pl_document_find(const pl_document_t *document, const char *name)
{
	size_t low = 0;
	size_t high = document->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		pl_section_t *section = document->sections[middle];
		int order = strcmp(name, pl_section_service(section)->name);

		if (order == 0)
			return section;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return NULL;
}
