/**
 * @file
 * @defgroup load Load table of the agents
 *
 * Load of each agent, as reported in the answers that pass the entry. All
 * traffic threads of a process share one table, because the answers of an
 * agent may reach another thread than the requests to it.
 * @{
 */
#ifndef PIMENTOLIFT_LOAD_H
#define PIMENTOLIFT_LOAD_H

#include <pimentolift/addr.h>
#include <pimentolift/timer.h>

typedef struct pl_load_table pl_load_table_t;

pl_load_table_t *pl_load_table_new(void);
void pl_load_table_delete(pl_load_table_t *table);

/** Records the load @p load_ms from an answer of @p agent. */
void pl_load_update(pl_load_table_t *table, pl_member_id_t agent,
		    uint32_t load_ms, pl_ms_t now);

/** Counts new work sent to @p agent; the next answer clears the count. */
void pl_load_count_sent(pl_load_table_t *table, pl_member_id_t agent);

/** Expected queueing time at @p agent in milliseconds; 0 if unknown. */
uint32_t pl_load_expected(pl_load_table_t *table, pl_member_id_t agent,
			  pl_ms_t now);

#endif
/** @} */
