/**
 * @file
 * Stand-in for a backend server: declarations shared by its source files.
 */
#ifndef PL_TEST_BACKEND_H
#define PL_TEST_BACKEND_H

#include "common/standin.h"

#include <coap3/coap.h>
#include <stdio.h>

/** Number of observable resources, /state/0 to /state/99. */
#define BACKEND_STATES 100

/** Parsed command line. */
typedef struct {
	const char *name;
	const char *service;
	const char *agent; /**< address to register at, or NULL */
	const char *record; /**< file to append each run to, or NULL */
	uint32_t slots;
	uint32_t service_ms;
	uint32_t cold_start_ms;
	uint32_t lifetime_s; /**< of the registration */
} backend_options_t;

typedef struct work work_t;
typedef struct registration registration_t;

/** Requests in progress, and the record of the operations that ran. */
work_t *work_new(coap_context_t *coap, const backend_options_t *options);
void work_delete(work_t *work);

/**
 * Accepts a request, to be answered after the service time, or refuses it in
 * @p response. @p resource is the resource of a block-wise response.
 */
void work_accept(work_t *work, coap_resource_t *resource,
		 coap_session_t *session, const coap_pdu_t *request,
		 coap_pdu_t *response, const char *path);

/** Sends due responses; returns milliseconds until the next, or -1. */
int work_send_due(work_t *work);

void work_set_shed(work_t *work, bool shed);
void work_set_service_ms(work_t *work, uint32_t service_ms);
/** Prints "ok runs=N refused=N busy=N ids=ID,ID,...". */
void work_print_runs(const work_t *work);
size_t work_busy(const work_t *work);
/** Monotonic time at which a request last took a slot, or 0. */
uint64_t work_last_ms(const work_t *work);

/** Resource-directory registration at the agent (RFC 9176). */
registration_t *registration_new(coap_context_t *coap,
				 const backend_options_t *options,
				 const pl_addr_t *own);
void registration_delete(registration_t *registration);
/**
 * Sends a due registration or renewal; returns milliseconds until the next, or
 * -1 without an agent.
 */
int registration_run(registration_t *registration);
/** Registers at another agent from now on. */
void registration_set_agent(registration_t *registration,
			    const pl_addr_t *agent);
/** Handles a response from the agent. */
void registration_response(registration_t *registration,
			   const coap_pdu_t *received);
/** Handles a request that got no response on @p session. */
void registration_failed(registration_t *registration,
			 const coap_session_t *session);
/** Deletes the registration: a graceful shutdown for the agent. */
void registration_remove(registration_t *registration);
bool registration_active(const registration_t *registration);
/** Whether a deletion was sent and no response has arrived yet. */
bool registration_removing(const registration_t *registration);

#endif
