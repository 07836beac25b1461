/**
 * @file
 * Admission of new flows.
 */
#include <pimentolift/balance/admit.h>

/* Whether the caller gives up before the work ahead and its own request are
 * done. Without a measured rate this is not known. */
static bool is_hopeless_(const pl_admit_query_t *query)
{
	return query->request_ms != 0 && query->left_ms != 0 &&
	       query->ahead_ms + query->request_ms > query->left_ms;
}

pl_admit_decision_t pl_admit_decide(const pl_admit_query_t *query)
{
	if (query->room)
		return (pl_admit_decision_t){ PL_ADMIT_NOW, PL_REASON_ROOM };
	if (!query->last_offer)
		return (pl_admit_decision_t){ PL_ADMIT_HAND_BACK,
					      PL_REASON_NO_ROOM };
	if (is_hopeless_(query))
		return (pl_admit_decision_t){ PL_ADMIT_REFUSE,
					      PL_REASON_HOPELESS };
	return (pl_admit_decision_t){ PL_ADMIT_WAIT, PL_REASON_WAIT };
}
