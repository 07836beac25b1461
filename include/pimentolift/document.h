/**
 * @file
 * @defgroup document The operators' configuration document
 *
 * One TOML document per environment lists the services, their addresses, and
 * how their traffic is distributed and limited. The document does not name its
 * environment, so that a document tested in one environment can be promoted
 * to another byte for byte.
 *
 * In memory a document is a set of sections, one per service. A section is
 * immutable and has one canonical encoding; members compare its hash to find
 * out whether their sections are equal. Members exchange encoded sections,
 * never the TOML text.
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

/** Document format that this release supports. */
#define PL_DOCUMENT_FORMAT 1
/** Maximum number of services in a document. */
#define PL_DOCUMENT_SERVICES_MAX 4096
/** Maximum number of addresses of a service; more than a value of the store
 * (1 MiB) has room for. */
#define PL_DOCUMENT_ADDRESSES_MAX 32768
/** Maximum number of data centres with a weight for a service. */
#define PL_DOCUMENT_WEIGHTS_MAX 64
/** Maximum number of objectives of a service. */
#define PL_DOCUMENT_OBJECTIVES_MAX 16
/** Weight of a data centre that a service's weights do not list. */
#define PL_DOCUMENT_WEIGHT_DEFAULT 100
/** Parts per million in 1; the target of an objective is given in ppm. */
#define PL_PPM 1000000

/** What a service-level objective measures. */
typedef enum {
	PL_OBJECTIVE_AVAILABILITY, /**< requests that were answered */
	PL_OBJECTIVE_LATENCY, /**< answers within the threshold */
	PL_OBJECTIVE_FRESHNESS, /**< notifications within the threshold */
	PL_OBJECTIVE_KIND_COUNT,
} pl_objective_kind_t;

/** Names of @ref pl_objective_kind_t, indexed by its values. */
extern const char *const pl_objective_kind_names[];

/** A service-level objective. */
typedef struct {
	pl_objective_kind_t kind;
	uint32_t target_ppm; /**< required ratio of good events, in ppm */
	uint32_t threshold_ms; /**< 0 for availability */
	uint32_t window_days;
} pl_objective_t;

/** Weight of one data centre in the distribution of a service's traffic. */
typedef struct {
	char datacentre[PL_NAME_MAX];
	uint32_t weight; /**< 0 to 1000, relative to the others */
} pl_datacentre_weight_t;

/** One service as configured in the document. */
typedef struct {
	char name[PL_NAME_MAX];
	pl_addr_t *addresses;
	size_t address_count;
	pl_route_policy_t *routes; /**< one per address; NULL: none */
	pl_service_policy_t policy;
	/** Sorted by data centre; empty: equal weights. */
	pl_datacentre_weight_t *datacentre_weights;
	size_t datacentre_weight_count;
	pl_objective_t *objectives;
	size_t objective_count;
} pl_service_config_t;

/**
 * Weight of @p datacentre for @p service: the configured one, or
 * @ref PL_DOCUMENT_WEIGHT_DEFAULT.
 */
uint32_t pl_service_config_weight(const pl_service_config_t *service,
				  pl_datacentre_id_t datacentre);

typedef struct pl_section pl_section_t;

/** Creates a section from @p service. Moves the lists out of @p service, which
 * is cleared. */
pl_section_t *pl_section_new(pl_service_config_t *service);

/** Decodes a section; PL_ERR_MALFORMED when the encoding is invalid. */
pl_result_t pl_section_decode(const uint8_t *bytes, size_t len,
			      pl_section_t **section, pl_error_t *err);

void pl_section_get(pl_section_t *section);
void pl_section_put(pl_section_t *section);

const pl_service_config_t *pl_section_service(const pl_section_t *section);
const uint8_t *pl_section_bytes(const pl_section_t *section, size_t *len);
uint64_t pl_section_hash(const pl_section_t *section);

typedef struct pl_document pl_document_t;

/**
 * Parses the TOML @p text as revision @p revision.
 *
 * @return PL_OK with one reference in @p document, or PL_ERR_CONFIG with
 *         every error found added to @p problems
 */
pl_result_t pl_document_parse(const char *text, size_t len, uint64_t revision,
			      pl_document_t **document,
			      pl_problems_t *problems);

/**
 * New document of @p count @p sections, which are sorted by name. Takes a
 * reference to each.
 */
pl_document_t *pl_document_new(uint64_t revision, pl_section_t *const *sections,
			       size_t count);

void pl_document_get(pl_document_t *document);
void pl_document_put(pl_document_t *document);

uint64_t pl_document_revision(const pl_document_t *document);

/** Hash over the sections; the revision is not included. */
uint64_t pl_document_hash(const pl_document_t *document);

/** Number of sections. */
size_t pl_document_count(const pl_document_t *document);

/** Section at @p index in the order of service names, borrowed. */
pl_section_t *pl_document_at(const pl_document_t *document, size_t index);

/** Section of the service @p name, borrowed, or NULL. */
pl_section_t *pl_document_find(const pl_document_t *document, const char *name);

/**
 * Describes the changes from @p before to @p after, one change per line; the
 * text is empty when the documents are equal. A NULL document stands for one
 * without services. The caller frees the text with free().
 */
char *pl_document_diff(const pl_document_t *before, const pl_document_t *after);

#endif
/** @} */
