/**
 * @file
 * @defgroup health Health of a backend server
 *
 * Whether a backend server gets new flows, found from how it answers real work.
 * Answers servers that are silent or failing although they report that they are
 * well, and servers that end and start by turns. Slow servers are a matter of
 * @ref pace and @ref place.
 *
 * The agent decides for its server (@ref pl_health_t); the entry keeps enough
 * endpoints of a service in use (@ref pl_health_census_t). What a server
 * reports of its own health counts for neither.
 * @{
 */
#ifndef PIMENTOLIFT_BALANCE_HEALTH_H
#define PIMENTOLIFT_BALANCE_HEALTH_H

#include <pimentolift/timer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Kinds of requests whose usual answers are told apart. */
#define PL_HEALTH_KINDS 4

/** All causes: identifier, name, meaning. The more a cause costs callers, the
 * later it comes. */
#define PL_HEALTH_CAUSE_TABLE(X)                                           \
	X(PL_HEALTH_NO_CAUSE, "none", "nothing was seen")                  \
	X(PL_HEALTH_REFUSED, "refused", "new flows are refused")           \
	X(PL_HEALTH_SHORT, "short",                                        \
	  "answers are far shorter and come far sooner than usual")        \
	X(PL_HEALTH_RESET, "reset", "flows are reset before their answer") \
	X(PL_HEALTH_SILENT, "silent", "answers are missing")               \
	X(PL_HEALTH_ENDED, "ended", "the server ended, more than once")

typedef enum {
#define PL_HEALTH_CAUSE_ENUM_(id, name, meaning) id,
	PL_HEALTH_CAUSE_TABLE(PL_HEALTH_CAUSE_ENUM_)
#undef PL_HEALTH_CAUSE_ENUM_
		PL_HEALTH_CAUSE_COUNT,
} pl_health_cause_t;

/** Name of @p cause. */
const char *pl_health_cause_name(pl_health_cause_t cause);

/** What load reports say of a server. From PL_HEALTH_OUT on it is ejected, the
 * worse the higher. */
typedef enum {
	PL_HEALTH_GOOD,
	PL_HEALTH_SUSPECT, /**< answers badly at times; gets new flows */
	PL_HEALTH_PROBE, /**< ejected, but due for a probe */
	PL_HEALTH_OUT, /**< ejected for the least of the causes */
	PL_HEALTH_LEVELS = PL_HEALTH_OUT + PL_HEALTH_CAUSE_COUNT - 1,
} pl_health_level_t;

/** Name of @p level; all of the ejected ones have the same. */
const char *pl_health_level_name(uint32_t level);

/** Usual size of the first packet of an answer to one kind of request. */
typedef struct {
	uint64_t kind; /**< 0: not in use */
	double bytes; /**< long moving mean of its data */
	uint32_t answers; /**< measured, up to a bound */
} pl_health_usual_t;

/** Health of one server, kept by its agent. */
typedef struct {
	bool ejected;
	pl_health_cause_t
		cause; /**< of the last ejection, or of the suspicion */
	/** Moving share of the requests that failed, 0 to 1. */
	double failed;
	pl_ms_t changed_at; /**< last ejection or return */
	pl_ms_t probe_from; /**< ejected: first probe */
	unsigned int ejections; /**< in a row, less those served off since */
	unsigned int good; /**< requests answered well in a row */
	unsigned int bad; /**< requests answered badly since the first probe */
	unsigned int probes; /**< new flows in progress that are probes */
	pl_ms_t ended_at; /**< last unexpected end of the server; 0: never */
	pl_health_usual_t usual[PL_HEALTH_KINDS];
} pl_health_t;

/** What an event led to. */
typedef enum {
	PL_HEALTH_SAME,
	PL_HEALTH_EJECTED,
	PL_HEALTH_RETURNED,
} pl_health_change_t;

/** An answer. */
typedef struct {
	pl_ms_t now;
	uint64_t kind; /**< of the request, not 0 */
	pl_ms_t took_ms;
	double usual_ms; /**< usual time for the kind; 0: not known */
	uint32_t bytes; /**< data of its first packet */
} pl_health_answer_t;

void pl_health_init(pl_health_t *health);

pl_health_change_t pl_health_answered(pl_health_t *health,
				      const pl_health_answer_t *answer);

/** A request or new flow failed for @p cause (PL_HEALTH_REFUSED,
 * PL_HEALTH_RESET or PL_HEALTH_SILENT). */
pl_health_change_t pl_health_failed(pl_health_t *health,
				    pl_health_cause_t cause, pl_ms_t now);

/** The server ended without notice. */
pl_health_change_t pl_health_ended(pl_health_t *health, pl_ms_t now);

/** Another server took its place as planned: nothing is known of it but what
 * answers of the service usually are. */
void pl_health_replaced(pl_health_t *health);

/** Whether the server may be given a new flow: always, unless it is ejected;
 * then one at a time once it is due for a probe. */
bool pl_health_admits(const pl_health_t *health, pl_ms_t now);

/** A new flow went to an ejected server, or has been answered or ended. */
void pl_health_probe_started(pl_health_t *health);
void pl_health_probe_ended(pl_health_t *health);

/** Level for load reports. */
uint32_t pl_health_level(const pl_health_t *health, pl_ms_t now);

/** Levels of the endpoints of one service. */
typedef struct {
	size_t at[PL_HEALTH_LEVELS];
} pl_health_census_t;

/** Adds an endpoint; one whose level is not known counts as good. */
void pl_health_census_add(pl_health_census_t *census, uint32_t level);

/** Level from which on endpoints of the service get no new flows, so that these
 * are at most half of it; the best of the ejected ones are in use otherwise, and
 * all of a level are treated alike. PL_HEALTH_LEVELS: none is out. */
uint32_t pl_health_out_from(const pl_health_census_t *census);

#endif
/** @} */
