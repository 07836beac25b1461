/**
 * @file
 * Stand-in for a backend server: what its parts share.
 */
#ifndef PL_TEST_BACKEND_H
#define PL_TEST_BACKEND_H

#include "common/standin.h"

#include <coap3/coap.h>
#include <stdio.h>

/** Resources /state/0 to /state/99 can be observed. */
#define BACKEND_STATES 100

/** Command line of the program. */
typedef struct {
	const char *name;
	const char *service;
	const char *agent; /**< address that it announces itself to */
	const char *record; /**< file that each run is appended to, or NULL */
	uint32_t slots;
	uint32_t service_ms;
	uint32_t cold_start_ms;
	uint32_t lifetime_s; /**< of the announcement */
} backend_options_t;

typedef struct work work_t;
typedef struct announce announce_t;

/** Requests in progress and the record of what ran. */
work_t *work_new(coap_context_t *coap, const backend_options_t *options);
void work_delete(work_t *work);

/**
 * Takes a request: runs it later in a slot, or refuses it in @p response.
 * @p resource is the one that a long answer belongs to.
 */
void work_take(work_t *work, coap_resource_t *resource, coap_session_t *session,
	       const coap_pdu_t *request, coap_pdu_t *response,
	       const char *path);

/** Answers what is due; returns milliseconds until the next, or -1. */
int work_answer_due(work_t *work);

void work_set_shed(work_t *work, bool shed);
void work_set_service_ms(work_t *work, uint32_t service_ms);
/** Prints "ok runs=N refused=N busy=N id,id,...". */
void work_print_runs(const work_t *work);
size_t work_busy(const work_t *work);
/** When a request last took a slot, or 0. */
uint64_t work_last_ms(const work_t *work);

/** Resource-directory registration at the agent (RFC 9176). */
announce_t *announce_new(coap_context_t *coap, const backend_options_t *options,
			 const pl_addr_t *own);
void announce_delete(announce_t *announce);
/** Registers or renews when due; returns milliseconds until the next. */
int announce_run(announce_t *announce);
/** Announces itself to another agent from now on. */
void announce_set_agent(announce_t *announce, const pl_addr_t *agent);
/** A response arrived on one of the client sessions. */
void announce_response(announce_t *announce, const coap_pdu_t *received);
/** A registration request failed. */
void announce_failed(announce_t *announce, const coap_session_t *session);
/** Removes the registration; the agent sees a graceful end. */
void announce_remove(announce_t *announce);
bool announce_registered(const announce_t *announce);
/** Whether a removal was asked for and is not yet answered. */
bool announce_removing(const announce_t *announce);

#endif
