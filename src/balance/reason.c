/**
 * @file
 * Names of the reasons of decisions.
 */
#include <pimentolift/balance/reason.h>

static const char *const names_[] = {
#define REASON_NAME_(id, name, meaning) [id] = name,
	PL_REASON_TABLE(REASON_NAME_)
#undef REASON_NAME_
};

const char *pl_reason_name(pl_reason_t reason)
{
	return (unsigned int)reason < PL_REASON_COUNT ? names_[reason] :
							"unknown";
}
