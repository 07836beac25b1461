/**
 * @file
 * Stand-in for callers: declarations shared by its source files.
 */
#ifndef PL_TEST_CALLER_H
#define PL_TEST_CALLER_H

#include "common/standin.h"

#include <coap3/coap.h>
#include <json-c/json.h>
#include <stdio.h>

typedef enum {
	KIND_GET,
	KIND_BLOB,
	KIND_POST,
	KIND_UPLOAD,
	KIND_VIEW,
	KIND_COUNT,
} kind_t;

/** Names of @ref kind_t, in its order. */
extern const char *const kind_names[];

/** Outcome of an operation for its caller. */
typedef enum {
	OUTCOME_OPEN, /**< in progress, or an open view */
	OUTCOME_ANSWERED, /**< success with the expected content */
	OUTCOME_WRONG, /**< success with other content */
	OUTCOME_OTHER_SERVICE, /**< success with content of another service */
	OUTCOME_REFUSED, /**< 5.03, or 4.01 after the Echo retry: did not run */
	OUTCOME_UNKNOWN, /**< 5.04: outcome unknown */
	OUTCOME_OTHER_CODE, /**< another error code */
	OUTCOME_NO_RESPONSE, /**< no response in time */
	OUTCOME_COUNT,
} outcome_t;

/** Names of @ref outcome_t, in its order. */
extern const char *const outcome_names[];

/** A service; its responses contain the name. */
typedef struct {
	char *name;
	pl_addr_t address;
} service_t;

typedef struct caller caller_t;

/** One operation, with its own session and local port. */
typedef struct {
	caller_t *caller;
	coap_session_t *session;
	const service_t *service;
	kind_t kind;
	outcome_t outcome;
	coap_pdu_code_t code;
	char *path;
	char *id; /**< operation id of a POST or upload */
	size_t size; /**< bytes of a blob, or of the body sent */
	uint8_t *body; /**< sent with a POST or upload, or NULL */
	uint64_t started_ms;
	uint64_t ended_ms;
	/* Of a view only: */
	bool observed; /**< a notification has arrived */
	uint32_t sequence; /**< Observe value of the newest notification */
	uint64_t sequence_ms; /**< arrival of the newest notification */
	uint64_t version;
	uint64_t notifications;
	uint64_t last_ms;
} operation_t;

struct caller {
	coap_context_t *coap;
	GPtrArray *services;
	GPtrArray *views;
	GQueue ended; /**< operations whose sessions can be released */
	GHashTable *open; /**< operations in progress */
	uint64_t outcomes[KIND_COUNT][OUTCOME_COUNT];
	uint64_t sent[KIND_COUNT];
	uint64_t longest_ms[KIND_COUNT];
	uint64_t next_id;
	uint64_t prefix;
	uint32_t ack_timeout_ms;
	FILE *record;
	GQueue loads; /**< running "rate" commands */
};

/** Starts one operation; false if no session could be opened. */
bool operation_start(caller_t *caller, const service_t *service, kind_t kind,
		     const char *path, size_t size);

/** Handles a response or notification. */
void operation_response(operation_t *operation, const coap_pdu_t *received);

/** Handles a request that libcoap gave up. */
void operation_failed(operation_t *operation);

/** Ends operations for which libcoap reported no result in time. */
void operations_expire(caller_t *caller);

/** Ends every operation in progress except open views. */
void operations_finish(caller_t *caller);

/** Frees ended operations and closes their sessions. */
void operations_release(caller_t *caller);

void operations_close_views(caller_t *caller);

/** Adds a load of @p per_second operations per second for @p seconds. */
void load_add(caller_t *caller, const service_t *service, kind_t kind,
	      const char *path, double per_second, double seconds);

/** Starts due operations; returns milliseconds until the next, or -1. */
int load_run(caller_t *caller);

/** Ends all loads. */
void load_stop(caller_t *caller);

#endif
