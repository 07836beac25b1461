/** @file Set of evacuated data centres. */
#include <pimentolift/evacuation.h>

#include <string.h>

bool pl_evacuations_add(pl_evacuations_t *evacuations,
			pl_datacentre_id_t datacentre)
{
	size_t at = evacuations->count;

	if (pl_evacuations_contain(evacuations, datacentre))
		return true;
	if (evacuations->count == PL_EVACUATIONS_MAX)
		return false;
	for (; at > 0 && evacuations->datacentres[at - 1] > datacentre; at--)
		evacuations->datacentres[at] = evacuations->datacentres[at - 1];
	evacuations->datacentres[at] = datacentre;
	evacuations->count++;
	return true;
}

bool pl_evacuations_contain(const pl_evacuations_t *evacuations,
			    pl_datacentre_id_t datacentre)
{
	for (size_t i = 0; i < evacuations->count; i++) {
		if (evacuations->datacentres[i] == datacentre)
			return true;
	}
	return false;
}

bool pl_evacuations_newer(const pl_evacuations_t *a, const pl_evacuations_t *b)
{
	if (a->generation != b->generation)
		return a->generation > b->generation;
	return a->revision > b->revision;
}

bool pl_evacuations_same(const pl_evacuations_t *a, const pl_evacuations_t *b)
{
	return a->count == b->count &&
	       memcmp(a->datacentres, b->datacentres,
		      a->count * sizeof(a->datacentres[0])) == 0;
}
