/**
 * @file
 * @defgroup backend_report What a backend server says of itself
 * @{
 */
#ifndef PIMENTOLIFT_BACKEND_REPORT_H
#define PIMENTOLIFT_BACKEND_REPORT_H

#include <pimentolift/routing.h>
#include <stdbool.h>
#include <stdint.h>

/** A heartbeat of a backend server. */
typedef struct {
	char id[PL_NAME_MAX]; /**< of this life of it, mostly */
	char service[PL_NAME_MAX];
	uint64_t born_ms; /**< Unix time of its start; 0 when not said */
	uint64_t sequence; /**< grows with each report of one life */
	uint32_t slots; /**< requests that it runs at once */
	uint32_t warmup_ms; /**< how much longer it is slow after its start */
	bool draining; /**< it is leaving and takes no new flows */
} pl_backend_report_t;

#endif
/** @} */
