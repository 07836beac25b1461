/**
 * @file
 * @defgroup reason Reasons of decisions under load
 *
 * Each decision of the balance package ends in a result and one of these
 * reasons, which logs, metrics and explanations show by its name.
 * @{
 */
#ifndef PIMENTOLIFT_BALANCE_REASON_H
#define PIMENTOLIFT_BALANCE_REASON_H

/** All reasons: identifier, name, meaning. */
#define PL_REASON_TABLE(X)                                                   \
	X(PL_REASON_NONE, "none", "no decision was made")                    \
	X(PL_REASON_SHARE, "share", "the service that the weights give")     \
	X(PL_REASON_OVERFLOW, "overflow",                                    \
	  "another service of the route, as the first has no room")          \
	X(PL_REASON_LEAST_LOADED, "least-loaded",                            \
	  "the endpoint with the least load")                                \
	X(PL_REASON_ROOM, "room", "a slot is free")                          \
	X(PL_REASON_WAIT, "wait", "waits for a slot")                        \
	X(PL_REASON_NO_ROOM, "no-room", "no slot, and others may have one")  \
	X(PL_REASON_HOPELESS, "hopeless",                                    \
	  "cannot be answered before its caller gives up")                   \
	X(PL_REASON_CALLER_LEFT, "caller-left", "the caller has given up")   \
	X(PL_REASON_NOT_SERVING, "not-serving",                              \
	  "the backend server does not accept new flows")                    \
	X(PL_REASON_EVACUATED, "evacuated", "the data centre is evacuated")  \
	X(PL_REASON_COLD, "cold", "the limit of a cold server is reached")   \
	X(PL_REASON_PACE, "pace", "the pace of a started server is reached") \
	X(PL_REASON_EJECTED, "ejected",                                      \
	  "the backend server answers worse than its peers")                 \
	X(PL_REASON_NO_ENDPOINT, "no-endpoint",                              \
	  "the service has no endpoint for new flows")                       \
	X(PL_REASON_NO_SERVICE, "no-service",                                \
	  "no service of the route has a weight above 0")                    \
	X(PL_REASON_OTHER_FLOW, "other-flow",                                \
	  "the caller uses the port of a flow of the agent again")

typedef enum {
#define PL_REASON_ENUM_(id, name, meaning) id,
	PL_REASON_TABLE(PL_REASON_ENUM_)
#undef PL_REASON_ENUM_
		PL_REASON_COUNT,
} pl_reason_t;

/** Name of @p reason; "unknown" for a value that this release lacks. */
const char *pl_reason_name(pl_reason_t reason);

#endif
/** @} */
