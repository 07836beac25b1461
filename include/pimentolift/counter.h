/**
 * @file
 * @defgroup counter Counters and histograms
 *
 * Counters and histograms of the process. Each thread adds to its own shard
 * without atomic read-modify-write instructions; readers sum over all shards. A
 * histogram has logarithmic buckets of microseconds, four per octave.
 * @{
 */
#ifndef PIMENTOLIFT_COUNTER_H
#define PIMENTOLIFT_COUNTER_H

#include <stddef.h>
#include <stdint.h>

/** All counters: identifier, metric name, help text. */
#define PL_COUNTER_TABLE(X)                                                   \
	X(PL_COUNTER_DATAGRAMS_IN, "datagrams_in", "datagrams from callers")  \
	X(PL_COUNTER_DATAGRAMS_OUT, "datagrams_out", "datagrams to callers")  \
	X(PL_COUNTER_FORWARDED, "forwarded", "datagrams sent to an agent")    \
	X(PL_COUNTER_PASSED_ON, "passed_on", "datagrams sent agent to agent") \
	X(PL_COUNTER_DROP_MALFORMED, "drop_malformed",                        \
	  "datagrams that could not be decoded")                              \
	X(PL_COUNTER_DROP_OVERSIZED, "drop_oversized", "datagrams too long")  \
	X(PL_COUNTER_DROP_AUTH, "drop_auth",                                  \
	  "inner messages that failed authentication")                        \
	X(PL_COUNTER_DROP_NO_SERVICE, "drop_no_service",                      \
	  "datagrams to an address of no service")                            \
	X(PL_COUNTER_DROP_NO_ENDPOINT, "drop_no_endpoint",                    \
	  "datagrams for a service without endpoint")                         \
	X(PL_COUNTER_DROP_MISMATCH, "drop_mismatch",                          \
	  "datagrams that reached an agent of another service")               \
	X(PL_COUNTER_DROP_HOPS, "drop_hops", "datagrams passed on too often") \
	X(PL_COUNTER_DROP_SEND, "drop_send", "datagrams the kernel refused")  \
	X(PL_COUNTER_REQUESTS, "requests", "requests accepted from callers")  \
	X(PL_COUNTER_ANSWERED, "answered", "requests answered")               \
	X(PL_COUNTER_ANSWERED_LATE, "answered_late",                          \
	  "requests answered after their deadline")                           \
	X(PL_COUNTER_REPLAYED, "replayed", "answers sent again")              \
	X(PL_COUNTER_REFUSED, "refused", "requests refused and not run")      \
	X(PL_COUNTER_OUTCOME_UNKNOWN, "outcome_unknown",                      \
	  "requests whose outcome is unknown")                                \
	X(PL_COUNTER_CANCELLED, "cancelled", "requests given up by callers")  \
	X(PL_COUNTER_TICKETS_ISSUED, "tickets_issued", "tickets issued")      \
	X(PL_COUNTER_TICKETS_REFUSED, "tickets_refused",                      \
	  "tickets that were wrong or expired")                               \
	X(PL_COUNTER_UPLOADS, "uploads", "block-wise uploads started")        \
	X(PL_COUNTER_VIEWS_OPENED, "views_opened", "views opened")            \
	X(PL_COUNTER_VIEWS_CLOSED, "views_closed", "views closed by callers") \
	X(PL_COUNTER_VIEWS_LOST, "views_lost",                                \
	  "views dropped without the caller's asking")                        \
	X(PL_COUNTER_VIEWS_MOVED_OUT, "views_moved_out", "views handed over") \
	X(PL_COUNTER_VIEWS_MOVED_IN, "views_moved_in", "views taken over")    \
	X(PL_COUNTER_VIEWS_RECOVERED, "views_recovered",                      \
	  "views taken over from a failed agent")                             \
	X(PL_COUNTER_NOTIFICATIONS, "notifications", "notifications sent")    \
	X(PL_COUNTER_NOTIFICATIONS_LATE, "notifications_late",                \
	  "notifications sent after the freshness objective")                 \
	X(PL_COUNTER_GOSSIP_IN_BYTES, "gossip_in_bytes",                      \
	  "bytes of membership messages received")                            \
	X(PL_COUNTER_GOSSIP_OUT_BYTES, "gossip_out_bytes",                    \
	  "bytes of membership messages sent")                                \
	X(PL_COUNTER_PEER_IN_BYTES, "peer_in_bytes",                          \
	  "bytes of frames received from members")                            \
	X(PL_COUNTER_PEER_OUT_BYTES, "peer_out_bytes",                        \
	  "bytes of frames sent to members")                                  \
	X(PL_COUNTER_PLATFORM_CALLS, "platform_calls",                        \
	  "calls to the platform's key-value service")                        \
	X(PL_COUNTER_CONFIG_BEHIND, "config_behind",                          \
	  "reads of the store because a revision could not be pulled")        \
	X(PL_COUNTER_PLATFORM_ERRORS, "platform_errors",                      \
	  "calls to the platform that failed")                                \
	X(PL_COUNTER_FLOWS_PLACED, "flows_placed",                            \
	  "opening packets sent to an agent")                                 \
	X(PL_COUNTER_FLOWS_BY_SHARE, "flows_by_share",                        \
	  "opening packets sent to the service that the weights give")        \
	X(PL_COUNTER_FLOWS_OVERFLOWED, "flows_overflowed",                    \
	  "opening packets sent to another service, as that had no room")     \
	X(PL_COUNTER_FLOWS_WAITED, "flows_waited",                            \
	  "requests and new flows that found no slot at once")                \
	X(PL_COUNTER_FLOWS_HANDED_BACK, "flows_handed_back",                  \
	  "opening packets that an agent did not take")                       \
	X(PL_COUNTER_FLOWS_REFUSED, "flows_refused",                          \
	  "flows reset because their callers would give up before service")   \
	X(PL_COUNTER_FLOWS_HOPELESS, "flows_hopeless",                        \
	  "opening packets refused because their callers give up first")      \
	X(PL_COUNTER_FLOWS_CALLER_LEFT, "flows_caller_left",                  \
	  "queued requests dropped because their callers have given up")      \
	X(PL_COUNTER_FLOWS_COPY_DROPPED, "flows_copy_dropped",                \
	  "copies of requests that were dropped at their deadline")           \
	X(PL_COUNTER_FLOWS_REFUSED_COLD, "flows_refused_cold",                \
	  "opening packets refused because the backend server is cold")       \
	X(PL_COUNTER_PACE_STARTED, "pace_started",                            \
	  "backend servers that started or came back")                        \
	X(PL_COUNTER_PACE_SLOWED, "pace_slowed",                              \
	  "times that a backend server became slow")                          \
	X(PL_COUNTER_FLOWS_REFUSED_EJECTED, "flows_refused_ejected",          \
	  "opening packets refused because the backend server is ejected")    \
	X(PL_COUNTER_HEALTH_EJECTED, "health_ejected",                        \
	  "times that a backend server was ejected")                          \
	X(PL_COUNTER_HEALTH_RETURNED, "health_returned",                      \
	  "times that an ejected backend server got new flows again")         \
	X(PL_COUNTER_FLOWS_EVICTED, "flows_evicted",                          \
	  "records of open flows that were dropped from a full table")        \
	X(PL_COUNTER_FLOWS_REPLACED, "flows_replaced",                        \
	  "records of flows whose callers use the port for another flow")     \
	X(PL_COUNTER_FLOWS_BOUNCED, "flows_bounced",                          \
	  "packets that the backend server handed back")                      \
	X(PL_COUNTER_FLOWS_FOUND, "flows_found",                              \
	  "lookups that found the owner of a flow")                           \
	X(PL_COUNTER_FLOWS_LOST, "flows_lost",                                \
	  "lookups that ended without an owner")                              \
	X(PL_COUNTER_FLOWS_RESET, "flows_reset",                              \
	  "flows reset because no agent can own them")                        \
	X(PL_COUNTER_FLOWS_EVACUATED, "flows_evacuated",                      \
	  "opening packets refused as the data centre is evacuated")          \
	X(PL_COUNTER_FLOWS_REJECTED, "flows_rejected",                        \
	  "new flows reset as all their endpoints are evacuated")             \
	X(PL_COUNTER_DROP_LOG, "drop_log",                                    \
	  "log lines dropped because their reader was too slow")              \
	X(PL_COUNTER_INVARIANT_BROKEN, "invariant_broken",                    \
	  "internal invariants that were broken")

typedef enum {
#define PL_COUNTER_ENUM_(id, name, help) id,
	PL_COUNTER_TABLE(PL_COUNTER_ENUM_)
#undef PL_COUNTER_ENUM_
		PL_COUNTER_COUNT,
} pl_counter_t;

/** All histograms, in microseconds: identifier, metric name, help text. */
#define PL_HISTOGRAM_TABLE(X)                                            \
	X(PL_HISTOGRAM_REQUEST, "request_us",                            \
	  "time from acceptance to answer of a request")                 \
	X(PL_HISTOGRAM_QUEUE, "queue_us", "time in queue before a slot") \
	X(PL_HISTOGRAM_LOOKUP, "lookup_us",                              \
	  "time until the owner of a flow was found")                    \
	X(PL_HISTOGRAM_NOTIFY, "notify_us",                              \
	  "time from a backend notification to the caller's datagram")

typedef enum {
#define PL_HISTOGRAM_ENUM_(id, name, help) id,
	PL_HISTOGRAM_TABLE(PL_HISTOGRAM_ENUM_)
#undef PL_HISTOGRAM_ENUM_
		PL_HISTOGRAM_COUNT,
} pl_histogram_t;

/** Buckets of a histogram: four per octave over 32 octaves. */
#define PL_HISTOGRAM_BUCKETS 128

/** Adds @p amount to @p counter in the calling thread's shard. */
void pl_counter_add(pl_counter_t counter, uint64_t amount);

/** Sum of @p counter over all shards. */
uint64_t pl_counter_get(pl_counter_t counter);

const char *pl_counter_name(pl_counter_t counter);
const char *pl_counter_help(pl_counter_t counter);

/** Sets all counters and histograms to zero; only for tests. */
void pl_counter_reset(void);

/** Records @p value_us in @p histogram in the calling thread's shard. */
void pl_histogram_record(pl_histogram_t histogram, uint64_t value_us);

/** Number of values recorded in @p bucket. */
uint64_t pl_histogram_get(pl_histogram_t histogram, size_t bucket);

/** Inclusive upper bound of @p bucket. */
uint64_t pl_histogram_bound_us(size_t bucket);

/**
 * Upper bound of the bucket that holds the quantile @p per_mille / 1000; 0
 * when no value was recorded.
 */
uint64_t pl_histogram_quantile_us(pl_histogram_t histogram,
				  unsigned int per_mille);

const char *pl_histogram_name(pl_histogram_t histogram);
const char *pl_histogram_help(pl_histogram_t histogram);

#endif
/** @} */
