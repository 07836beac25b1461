/**
 * @file
 * Sequence numbers that one end of a flow has used.
 *
 * Addresses and ports do not identify a flow for good: a caller may use a port
 * again. Each end of a flow begins at another sequence number, so the numbers
 * tell the packets of one flow from those of an earlier or a later one.
 */
#ifndef PL_FLOW_SEQ_RANGE_H
#define PL_FLOW_SEQ_RANGE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	uint32_t first;
	uint32_t next; /**< after the last number */
	bool known; /**< the numbers are valid */
	bool started; /**< @c first is that of the packet that opened the flow */
	bool missed; /**< packets after the first one may have been missed */
} pl_seq_range_t;

/** Begins with the packet that opened the flow. */
void pl_seq_range_start(pl_seq_range_t *range, uint32_t first);

/** Adds the numbers from @p seq up to @p end. */
void pl_seq_range_add(pl_seq_range_t *range, uint32_t seq, uint32_t end);

/** Whether the flow has used @p seq, or may have in packets that were missed. */
bool pl_seq_range_contains(const pl_seq_range_t *range, uint32_t seq);

/** Whether the flow has used @p seq or may use it next. */
bool pl_seq_range_may_reach(const pl_seq_range_t *range, uint32_t seq);

/** Whether the flow was opened with @p seq, or may have been. */
bool pl_seq_range_begins_at(const pl_seq_range_t *range, uint32_t seq);

#endif
