/**
 * @file
 * @defgroup document The operators' configuration document
 *
 * One TOML document per environment states which services exist, on which
 * addresses, and how their traffic is shared and limited. It names no
 * environment, so the bytes tried in one are promoted unchanged to another.
 *
 * In memory a document is a set of sections, one per service. A section is
 * immutable and has one canonical encoding, whose hash tells whether two
 * members hold the same; members exchange sections, never the TOML text.
 * @{
 */
#ifndef PIMENTOLIFT_DOCUMENT_H
#define PIMENTOLIFT_DOCUMENT_H

#include <pimentolift/addr.h>
#include <pimentolift/problem.h>
#include <pimentolift/routing.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Format of the document that this release reads. */
#define PL_DOCUMENT_FORMAT 1
/** Most services of a document. */
#define PL_DOCUMENT_SERVICES_MAX 4096
/** Most addresses of a service. */
#define PL_DOCUMENT_ADDRESSES_MAX 4096
/** Most data centres with a weight, and most objectives, of a service. */
#define PL_DOCUMENT_SHARES_MAX 64
#define PL_DOCUMENT_OBJECTIVES_MAX 16
/** Weight of a data centre that the document does not name. */
#define PL_DOCUMENT_SHARE_DEFAULT 100
/** One, in the unit of an objective's target. */
#define PL_PPM 1000000

/** What a service-level objective is about. */
typedef enum {
	PL_OBJECTIVE_AVAILABILITY, /**< requests that were answered */
	PL_OBJECTIVE_LATENCY, /**< answers within the threshold */
	PL_OBJECTIVE_FRESHNESS, /**< notifications within the threshold */
	PL_OBJECTIVE_KIND_COUNT,
} pl_objective_kind_t;

/** Names of @ref pl_objective_kind_t, in its order. */
extern const char *const pl_objective_kind_names[];

/** A service-level objective. */
typedef struct {
	pl_objective_kind_t kind;
	uint32_t target_ppm; /**< share of good events, per million */
	uint32_t threshold_ms; /**< 0 for availability */
	uint32_t window_days;
} pl_objective_t;

/** Weight of one data centre in a service's traffic. */
typedef struct {
	char datacentre[PL_NAME_MAX];
	uint32_t weight; /**< 0 to 1000, relative to the others */
} pl_share_t;

/** One service as the document states it. */
typedef struct {
	char name[PL_NAME_MAX];
	pl_addr_t *addresses;
	size_t address_count;
	pl_route_policy_t *routes; /**< of each address; NULL: none is known */
	pl_service_policy_t policy;
	pl_share_t *shares; /**< sorted by data centre; none: equal */
	size_t share_count;
	pl_objective_t *objectives;
	size_t objective_count;
} pl_service_config_t;

/** Weight of the data centre @p datacentre for @p service. */
uint32_t pl_service_config_weight(const pl_service_config_t *service,
				  pl_datacentre_id_t datacentre);

typedef struct pl_section pl_section_t;

/** Section of @p service, whose lists are taken over. */
pl_section_t *pl_section_new(pl_service_config_t *service);

/** Section from its encoding; PL_ERR_MALFORMED when it is not one. */
pl_result_t pl_section_decode(const uint8_t *bytes, size_t len,
			      pl_section_t **section, pl_error_t *err);

void pl_section_get(pl_section_t *section);
void pl_section_put(pl_section_t *section);

const pl_service_config_t *pl_section_service(const pl_section_t *section);
const uint8_t *pl_section_bytes(const pl_section_t *section, size_t *len);
uint64_t pl_section_hash(const pl_section_t *section);

typedef struct pl_document pl_document_t;

/**
 * Reads the TOML @p text as revision @p revision.
 *
 * @return PL_OK with one reference in @p document, or PL_ERR_CONFIG with
 *         everything that is wrong in @p problems
 */
pl_result_t pl_document_parse(const char *text, size_t len, uint64_t revision,
			      pl_document_t **document,
			      pl_problems_t *problems);

/** Document of @p count @p sections, sorted by name; takes references. */
pl_document_t *pl_document_new(uint64_t revision, pl_section_t *const *sections,
			       size_t count);

void pl_document_get(pl_document_t *document);
void pl_document_put(pl_document_t *document);

uint64_t pl_document_revision(const pl_document_t *document);

/** Hash over the sections; the revision does not go into it. */
uint64_t pl_document_hash(const pl_document_t *document);

/** Sections in order of their names. */
size_t pl_document_count(const pl_document_t *document);
pl_section_t *pl_document_at(const pl_document_t *document, size_t index);

/** Section of the service @p name, or NULL. */
pl_section_t *pl_document_find(const pl_document_t *document, const char *name);

/**
 * What changed from @p before to @p after in words, one change a line, empty
 * when nothing did. Either may be NULL, which stands for no service at all.
 * The caller frees the text with free().
 */
char *pl_document_diff(const pl_document_t *before, const pl_document_t *after);

#endif
/** @} */
