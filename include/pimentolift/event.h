/**
 * @file
 * @defgroup event Numbered log events
 *
 * Each log line carries an event number from this table. Lines are written
 * through GLib's structured logging with the fields PL_EVENT and PL_NAME, so
 * that journald can filter by them. docs/EVENTS.md is the catalogue of events;
 * a test compares the catalogue with this table.
 * @{
 */
#ifndef PIMENTOLIFT_EVENT_H
#define PIMENTOLIFT_EVENT_H

typedef enum {
	PL_SEVERITY_INFO,
	PL_SEVERITY_WARNING,
	PL_SEVERITY_ERROR,
} pl_severity_t;

/** All events: identifier, number, name, severity, meaning. */
#define PL_EVENT_TABLE(X)                                                      \
	X(PL_EVENT_READY, 100, "ready", INFO, "the process accepts traffic")   \
	X(PL_EVENT_STOPPING, 101, "stopping", INFO,                            \
	  "a graceful shutdown was requested")                                 \
	X(PL_EVENT_STOPPED, 102, "stopped", INFO,                              \
	  "the process ended with no work in progress")                        \
	X(PL_EVENT_INVARIANT, 103, "invariant", ERROR,                         \
	  "an internal invariant was violated; the operation was refused")     \
	X(PL_EVENT_PAUSED, 104, "paused", WARNING,                             \
	  "the process was not scheduled for longer than a lease")             \
	X(PL_EVENT_RELOADED, 105, "reloaded", INFO,                            \
	  "the settings file was reloaded")                                    \
	X(PL_EVENT_RELOAD_REFUSED, 106, "reload-refused", WARNING,             \
	  "the settings file is not valid; the old settings stay in force")    \
	X(PL_EVENT_SERVICE_MISMATCH, 200, "service-mismatch", ERROR,           \
	  "a datagram for one service reached an agent of another service")    \
	X(PL_EVENT_BACKEND_UP, 210, "backend-up", INFO,                        \
	  "the backend server registered or reported that it serves")          \
	X(PL_EVENT_BACKEND_DOWN, 211, "backend-down", WARNING,                 \
	  "the backend server's registration expired or it stopped answering") \
	X(PL_EVENT_BACKEND_REPLACED, 212, "backend-replaced", INFO,            \
	  "reports come from a later process of the backend server")           \
	X(PL_EVENT_DRAIN_STARTED, 220, "drain-started", INFO,                  \
	  "the endpoint accepts no new work")                                  \
	X(PL_EVENT_DRAIN_DONE, 221, "drain-done", INFO,                        \
	  "the endpoint has no views and no requests left")                    \
	X(PL_EVENT_VIEWS_MOVED, 222, "views-moved", INFO,                      \
	  "views were moved to another endpoint")                              \
	X(PL_EVENT_VIEWS_RECOVERED, 223, "views-recovered", WARNING,           \
	  "views of a failed endpoint were taken over")                        \
	X(PL_EVENT_FLOWS_ENDED, 240, "flows-ended", WARNING,                   \
	  "a backend server process ended and its flows were reset")           \
	X(PL_EVENT_FLOW_LOST, 242, "flow-lost", WARNING,                       \
	  "no agent claimed a flow; packets of the flow were dropped")         \
	X(PL_EVENT_FLOW_DEAD, 243, "flow-dead", INFO,                          \
	  "all agents denied that they own a flow; the flow was reset")        \
	X(PL_EVENT_REPORT_MALFORMED, 241, "report-malformed", WARNING,         \
	  "a report from a backend server could not be parsed")                \
	X(PL_EVENT_REPORT_FOREIGN, 244, "report-foreign", WARNING,             \
	  "a report of another backend server was ignored")                    \
	X(PL_EVENT_REPORT_OUTDATED, 246, "report-outdated", WARNING,           \
	  "a report of an earlier process of the backend server was ignored")  \
	X(PL_EVENT_FLOW_REFUSED, 250, "flow-refused", INFO,                    \
	  "an opening packet was refused; the caller was sent a reset")        \
	X(PL_EVENT_REQUEST_DROPPED, 251, "request-dropped", INFO,              \
	  "a queued request was dropped, as its caller has given up")          \
	X(PL_EVENT_FLOWS_EVICTED, 245, "flows-evicted", WARNING,               \
	  "an agent's table is full; it no longer knows all flows")            \
	X(PL_EVENT_FLOW_OVERFLOWED, 247, "flow-overflowed", INFO,              \
	  "a new flow went to another service of its route for want of room")  \
	X(PL_EVENT_FLOW_REPLACED, 248, "flow-replaced", INFO,                  \
	  "a caller uses the port of a recorded flow for another flow")        \
	X(PL_EVENT_SERVER_RESET, 249, "server-reset", INFO,                    \
	  "a reset of a backend server was passed to its caller or withheld")  \
	X(PL_EVENT_OUTCOME_UNKNOWN, 230, "outcome-unknown", WARNING,           \
	  "a caller was told that the outcome of its request is unknown")      \
	X(PL_EVENT_PACE_STARTED, 260, "pace-started", INFO,                    \
	  "a started or returned backend server is given work step by step")   \
	X(PL_EVENT_PACE_FULL, 261, "pace-full", INFO,                          \
	  "a backend server is given work for all of its slots")               \
	X(PL_EVENT_PACE_SLOWED, 262, "pace-slowed", WARNING,                   \
	  "a backend server is slow or fails, and gets less new work")         \
	X(PL_EVENT_HEALTH_EJECTED, 263, "health-ejected", WARNING,             \
	  "a backend server fails, and gets no new flows")                     \
	X(PL_EVENT_HEALTH_RETURNED, 264, "health-returned", INFO,              \
	  "an ejected backend server answers as usual, and gets new flows")    \
	X(PL_EVENT_MEMBER_JOINED, 300, "member-joined", INFO,                  \
	  "a member joined")                                                   \
	X(PL_EVENT_MEMBER_SUSPECT, 301, "member-suspect", INFO,                \
	  "a member did not answer probes")                                    \
	X(PL_EVENT_MEMBER_DEAD, 302, "member-dead", WARNING,                   \
	  "a suspected member did not refute the suspicion in time")           \
	X(PL_EVENT_MEMBER_LEFT, 303, "member-left", INFO,                      \
	  "a member left after a graceful shutdown")                           \
	X(PL_EVENT_DATACENTRE_CUT, 304, "datacentre-cut", ERROR,               \
	  "most members of a data centre became unreachable at once")          \
	X(PL_EVENT_DATACENTRE_BACK, 305, "datacentre-back", INFO,              \
	  "a data centre that was unreachable answers again")                  \
	X(PL_EVENT_MEMBER_ABSENT, 306, "member-absent", WARNING,               \
	  "no member can reach a member that the roster lists")                \
	X(PL_EVENT_CONFIG_IN_FORCE, 400, "config-in-force", INFO,              \
	  "a configuration revision is in force")                              \
	X(PL_EVENT_CONFIG_REFUSED, 401, "config-refused", ERROR,               \
	  "a configuration document was not valid and is not in force")        \
	X(PL_EVENT_CONFIG_OLDER, 402, "config-older", WARNING,                 \
	  "an older revision from a peer or the platform was ignored")         \
	X(PL_EVENT_CONFIG_DIVERGED, 403, "config-diverged", ERROR,             \
	  "a member holds a different document for the revision in force")     \
	X(PL_EVENT_CONFIG_SKIPPED, 404, "config-skipped", WARNING,             \
	  "unreadable parts of a configuration were skipped")                  \
	X(PL_EVENT_CONFIG_WATCH, 405, "config-watch", INFO,                    \
	  "this member starts or resumes its watch of the configuration")      \
	X(PL_EVENT_CONFIG_BEHIND, 406, "config-behind", WARNING,               \
	  "a known revision could not be pulled in time; the store is read")   \
	X(PL_EVENT_CONFIG_HANDOVER, 407, "config-handover", WARNING,           \
	  "the store fails for this member; others watch the configuration")   \
	X(PL_EVENT_PLATFORM_DOWN, 410, "platform-down", WARNING,               \
	  "the platform's key-value service does not answer")                  \
	X(PL_EVENT_ROSTER_FAILED, 412, "roster-failed", WARNING,               \
	  "an agent could not register in the store")                          \
	X(PL_EVENT_ROSTER_FORGOTTEN, 413, "roster-forgotten", INFO,            \
	  "the roster entry of an agent that stayed dead was removed")         \
	X(PL_EVENT_PLATFORM_UP, 411, "platform-up", INFO,                      \
	  "the platform's key-value service answers again")                    \
	X(PL_EVENT_PLATFORM_RESTORED, 414, "platform-restored", WARNING,       \
	  "the key-value service lost changes: it restored an older copy")     \
	X(PL_EVENT_ROSTER_REGISTERED, 415, "roster-registered", INFO,          \
	  "an agent's entry was written to the roster in the store")           \
	X(PL_EVENT_ROSTER_CONFIRMED, 416, "roster-confirmed", INFO,            \
	  "all agents have registered since the store was last restored")      \
	X(PL_EVENT_ROSTER_UNCONFIRMED, 417, "roster-unconfirmed", WARNING,     \
	  "a roster may lack agents since a restore and was not used")         \
	X(PL_EVENT_ROSTER_INVALID, 418, "roster-invalid", WARNING,             \
	  "keys among the roster's entries name no agent and were skipped")    \
	X(PL_EVENT_ROSTER_DELEGATED, 419, "roster-delegated", INFO,            \
	  "this member writes the roster entry of an agent that cannot")       \
	X(PL_EVENT_EVACUATION_REQUESTED, 420, "evacuation-requested", INFO,    \
	  "the store holds a request to evacuate a data centre")               \
	X(PL_EVENT_EVACUATION_WITHDRAWN, 421, "evacuation-withdrawn", INFO,    \
	  "a request to evacuate a data centre is no longer in the store")     \
	X(PL_EVENT_EVACUATION_IN_FORCE, 422, "evacuation-in-force", WARNING,   \
	  "this process lets no new flows into a data centre")                 \
	X(PL_EVENT_EVACUATION_ENDED, 423, "evacuation-ended", INFO,            \
	  "this process lets new flows into a data centre again")              \
	X(PL_EVENT_EVACUATION_UNKNOWN, 424, "evacuation-unknown", WARNING,     \
	  "no known member is in a data centre that is to be evacuated")       \
	X(PL_EVENT_EVACUATION_UNREADABLE, 425, "evacuation-unreadable",        \
	  WARNING,                                                             \
	  "a request to evacuate has an unreadable value and counts as made")  \
	X(PL_EVENT_EVACUATION_EXCESS, 426, "evacuation-excess", ERROR,         \
	  "more data centres are to be evacuated than can be in force")        \
	X(PL_EVENT_AUTH_FAILED, 500, "auth-failed", WARNING,                   \
	  "an inner message failed authentication")

/** Event; the value is the event number. */
typedef enum {
#define PL_EVENT_ENUM_(id, number, name, severity, meaning) id = (number),
	PL_EVENT_TABLE(PL_EVENT_ENUM_)
#undef PL_EVENT_ENUM_
} pl_event_id_t;

/**
 * Logs an event with a formatted text. The number of lines per event and
 * second is limited; the next line that is written states how many were
 * left out.
 */
void pl_event(pl_event_id_t event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * Checks an invariant at run time; evaluates to 1 when it holds and to 0 when
 * it is violated. A violation is counted and logged as PL_EVENT_INVARIANT, and
 * the calling function then refuses the operation; test builds abort instead.
 */
#define PL_INVARIANT(condition, ...) \
	((condition) ? 1 : (pl_invariant_broken(#condition, __VA_ARGS__), 0))

/** Reports a violated invariant; called by @ref PL_INVARIANT only. */
void pl_invariant_broken(const char *condition, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
/** @} */
