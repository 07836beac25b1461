/**
 * @file
 * Stand-in for callers: what its parts share.
 */
#ifndef PL_TEST_CALLER_H
#define PL_TEST_CALLER_H

#include "common/standin.h"

#include <coap3/coap.h>
#include <json-c/json.h>
#include <stdio.h>

/** Kind of an operation. */
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

/** What a caller was told at the end of an operation. */
typedef enum {
	TOLD_OPEN, /**< not ended yet, or an open view */
	TOLD_ANSWERED, /**< whole, its own, and of its service */
	TOLD_WRONG, /**< an answer with other content than it must have */
	TOLD_CROSSED, /**< an answer of another service */
	TOLD_REFUSED, /**< 5.03 or a last 4.01: was not run */
	TOLD_UNKNOWN, /**< 5.04: outcome unknown */
	TOLD_OTHER, /**< another code */
	TOLD_NOTHING, /**< no answer within the library's patience */
	TOLD_COUNT,
} told_t;

/** Names of @ref told_t, in its order. */
extern const char *const told_names[];

/** A service under the name that its answers carry. */
typedef struct {
	char *name;
	pl_addr_t address;
} service_t;

typedef struct caller caller_t;

/** One operation, in a session and on a port of its own. */
typedef struct {
	caller_t *caller;
	coap_session_t *session;
	const service_t *service;
	kind_t kind;
	told_t told;
	coap_pdu_code_t code;
	char *path;
	char *id; /**< operation id of a POST or upload */
	size_t size; /**< bytes of the answer or of the upload */
	uint8_t *body; /**< of an upload, until it ended */
	uint64_t started_ms;
	uint64_t ended_ms;
	/* A view alone: */
	bool observed;
	uint32_t sequence;
	uint64_t sequence_ms;
	uint64_t version;
	uint64_t notifications;
	uint64_t last_ms;
} operation_t;

struct caller {
	coap_context_t *coap;
	GPtrArray *services;
	GPtrArray *views;
	GQueue ended; /**< operations whose session can be released */
	GHashTable *open; /**< operations in progress */
	uint64_t told[KIND_COUNT][TOLD_COUNT];
	uint64_t sent[KIND_COUNT];
	uint64_t longest_ms[KIND_COUNT];
	uint64_t next_id;
	uint64_t prefix;
	uint32_t ack_timeout_ms;
	FILE *record;
	GQueue loads; /**< running "rate" commands */
};

/** Starts one operation; false when no socket can be had. */
bool operation_start(caller_t *caller, const service_t *service, kind_t kind,
		     const char *path, size_t size);

/** An answer or notification arrived. */
void operation_response(operation_t *operation, const coap_pdu_t *received);

/** The library gave the request up. */
void operation_failed(operation_t *operation);

/** Ends operations that the library forgot. */
void operations_expire(caller_t *caller);

/** Ends every operation in progress; open views stay. */
void operations_finish(caller_t *caller);

/** Releases operations that ended. */
void operations_release(caller_t *caller);

/** Closes the open views. */
void operations_close_views(caller_t *caller);

/** Adds a load of @p per_second operations for @p seconds. */
void load_add(caller_t *caller, const service_t *service, kind_t kind,
	      const char *path, double per_second, double seconds);

/** Starts the operations that are due; milliseconds until the next, or -1. */
int load_run(caller_t *caller);

/** Forgets the loads. */
void load_stop(caller_t *caller);

#endif
