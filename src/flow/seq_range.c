/**
 * @file
 * Sequence numbers that one end of a flow has used.
 */
#include "private/seq_range.h"

#include <glib.h>
#include <pimentolift/flow.h>

/** Longest range; numbers wrap around, and old ones are of no use. */
#define SPAN_MAX_BYTES (UINT32_C(1) << 30)

void pl_seq_range_start(pl_seq_range_t *range, uint32_t first)
{
	*range = (pl_seq_range_t){ .first = first,
				   .next = first + 1,
				   .known = true,
				   .started = true };
}

void pl_seq_range_add(pl_seq_range_t *range, uint32_t seq, uint32_t end)
{
	if (!range->known)
		*range = (pl_seq_range_t){
			.first = seq, .next = end, .known = true, .missed = true
		};
	if ((int32_t)(seq - range->next) > 0)
		range->missed = true;
	if ((int32_t)(end - range->next) > 0)
		range->next = end;
	if (!range->started && (int32_t)(seq - range->first) < 0)
		range->first = seq;
	if (range->next - range->first > SPAN_MAX_BYTES) {
		range->first = range->next - SPAN_MAX_BYTES;
		range->started = false;
	}
}

/* Whether @p seq is in the range, or before it if its start is not known, or at
 * most @p after bytes after it. */
static bool is_within_(const pl_seq_range_t *range, uint32_t seq,
		       uint32_t after)
{
	uint32_t before = range->started ? 0 : PL_FLOW_ACK_WINDOW_BYTES;

	return range->known &&
	       seq - (range->first - before) <=
		       range->next - range->first + before + after;
}

bool pl_seq_range_contains(const pl_seq_range_t *range, uint32_t seq)
{
	return is_within_(range, seq,
			  range->missed ? PL_FLOW_ACK_WINDOW_BYTES : 0);
}

bool pl_seq_range_may_reach(const pl_seq_range_t *range, uint32_t seq)
{
	return is_within_(range, seq, PL_FLOW_ACK_WINDOW_BYTES);
}

bool pl_seq_range_begins_at(const pl_seq_range_t *range, uint32_t seq)
{
	return range->started ? seq == range->first :
				pl_seq_range_contains(range, seq);
}
