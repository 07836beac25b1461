/**
 * @file
 * @defgroup evacuation Evacuated data centres
 *
 * The data centres that operators have asked to evacuate, as of one position in
 * the store's history. Endpoints there get no new flows; open flows stay. The
 * set is replaced as a whole and only by a newer one, so that several requests,
 * a withdrawal and a repeated request need no rule of their own.
 * docs/design/evacuation.md gives the reasons.
 * @{
 */
#ifndef PIMENTOLIFT_EVACUATION_H
#define PIMENTOLIFT_EVACUATION_H

#include <pimentolift/routing.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Most data centres evacuated at the same time; 9 bytes each in a datagram of
 * the membership. */
#define PL_EVACUATIONS_MAX 16

/** A set of evacuated data centres and its position; all zero: none known. */
typedef struct pl_evacuations {
	uint64_t generation; /**< of the store's data (@ref kv) */
	uint64_t revision; /**< of the store when it held exactly this set */
	size_t count;
	pl_datacentre_id_t datacentres[PL_EVACUATIONS_MAX]; /**< ascending */
} pl_evacuations_t;

/** Adds a data centre; false if the set is full. */
bool pl_evacuations_add(pl_evacuations_t *evacuations,
			pl_datacentre_id_t datacentre);

bool pl_evacuations_contain(const pl_evacuations_t *evacuations,
			    pl_datacentre_id_t datacentre);

/** Whether @p a is of a later position than @p b. */
bool pl_evacuations_newer(const pl_evacuations_t *a, const pl_evacuations_t *b);

/** Whether both name the same data centres, at whatever position. */
bool pl_evacuations_same(const pl_evacuations_t *a, const pl_evacuations_t *b);

#endif
/** @} */
