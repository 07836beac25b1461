/**
 * @file
 * @defgroup load Load of the agents
 *
 * What an entry heard of each agent's load through the answers that passed
 * it. One table per process serves all traffic threads, because the answers
 * of an agent reach another thread than the requests to it.
 * @{
 */
#ifndef PIMENTOLIFT_LOAD_H
#define PIMENTOLIFT_LOAD_H

#include <pimentolift/addr.h>
#include <pimentolift/timer.h>

typedef struct pl_load_table pl_load_table_t;

pl_load_table_t *pl_load_table_new(void);
void pl_load_table_delete(pl_load_table_t *table);

/** An answer of @p agent carried @p load_ms. */
void pl_load_heard(pl_load_table_t *table, pl_member_id_t agent,
		   uint32_t load_ms, pl_ms_t now);

/** New work was sent to @p agent; counted until the next answer. */
void pl_load_sent(pl_load_table_t *table, pl_member_id_t agent);

/** Expected wait at @p agent, in milliseconds; 0 when nothing is known. */
uint32_t pl_load_expected(pl_load_table_t *table, pl_member_id_t agent,
			  pl_ms_t now);

#endif
/** @} */
