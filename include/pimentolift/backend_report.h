/**
 * @file
 * @defgroup backend_report Reports of a backend server
 * @{
 */
#ifndef PIMENTOLIFT_BACKEND_REPORT_H
#define PIMENTOLIFT_BACKEND_REPORT_H

#include <pimentolift/addr.h>
#include <pimentolift/routing.h>
#include <stdbool.h>
#include <stdint.h>

/** Periodic report (heartbeat) of a backend server. */
typedef struct {
	char id[PL_NAME_MAX]; /**< mostly a new one for each process */
	char service[PL_NAME_MAX];
	char datacentre[PL_NAME_MAX];
	pl_addr_t address; /**< at which it receives packets */
	uint64_t received_ms; /**< Unix time of the report's arrival */
	uint64_t born_ms; /**< Unix time of its start */
	uint64_t sequence; /**< increases with each report of one process */
	uint32_t slots; /**< requests that it processes in parallel */
	uint32_t warmup_ms; /**< how much longer it is slow after its start */
	bool draining; /**< it is leaving and takes no new flows */
} pl_backend_report_t;

#endif
/** @} */
