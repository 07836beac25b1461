/**
 * @file
 * @defgroup evacuation_requests Requests to evacuate data centres
 *
 * The operators' requests as a reader of the store knows them: a full list,
 * followed by the changes that a watch reports. The module has no sockets; its
 * owner translates the store's keys.
 * @{
 */
#ifndef PIMENTOLIFT_EVACUATION_REQUESTS_H
#define PIMENTOLIFT_EVACUATION_REQUESTS_H

#include <pimentolift/evacuation.h>
#include <pimentolift/kv.h>

typedef struct pl_evacuation_requests pl_evacuation_requests_t;

/** A request, or its removal. */
typedef struct {
	const char *datacentre; /**< name */
	bool withdrawn;
	bool readable; /**< the value is as expected; it is not used */
} pl_evacuation_request_t;

/** What a response of the store says about the requests. */
typedef struct {
	pl_kv_position_t position; /**< of the store at the response */
	/** The response lists all requests, otherwise only the changes later
	 * than @c after, in their order. */
	bool complete;
	pl_kv_position_t after;
	const pl_evacuation_request_t *requests;
	size_t count;
} pl_evacuation_update_t;

pl_evacuation_requests_t *pl_evacuation_requests_new(void);
void pl_evacuation_requests_delete(pl_evacuation_requests_t *requests);

/**
 * Applies a response. Returns false if it is ignored: it is not newer than the
 * known requests, or its changes do not follow on them.
 */
bool pl_evacuation_requests_apply(pl_evacuation_requests_t *requests,
				  const pl_evacuation_update_t *update);

/** The set of data centres that the known requests name. */
void pl_evacuation_requests_get(const pl_evacuation_requests_t *requests,
				pl_evacuations_t *evacuations);

#endif
/** @} */
