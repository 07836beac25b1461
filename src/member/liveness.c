/**
 * @file Checks of members that should be running.
 *
 * The key-value store may name an agent that the table does not list. The
 * missing record proves nothing, since the table may still be incomplete. The
 * agent is therefore probed, directly and through other members, and reported
 * as absent only when nobody reaches it within a time-out.
 */
#include "private/member_private.h"

/** Time-out for an answer of an unknown member, or of one that left. A process
 * that is restarted answers within a second. */
#define ANSWER_TIMEOUT_MS 1500
/** Without any datagram for this long, this process may be cut off itself. */
#define NO_CONTACT_MS 500

/** A member passed to pl_member_expect() whose answer is outstanding. */
typedef struct {
	pl_list_t link;
	pl_member_id_t id;
	pl_ms_t deadline;
	pl_ms_t next_probe;
} expectation_t;

static expectation_t *find_expectation_(const pl_member_table_t *table,
					pl_member_id_t id)
{
	pl_list_for_each(node, &table->expected) {
		expectation_t *expectation =
			PL_CONTAINER_OF(node, expectation_t, link);

		if (expectation->id == id)
			return expectation;
	}
	return NULL;
}

static void free_expectation_(expectation_t *expectation)
{
	pl_list_remove(&expectation->link);
	g_free(expectation);
}

static void report_absent_(pl_member_table_t *table, pl_member_id_t id)
{
	if (table->ops.absent)
		table->ops.absent(table->ctx, id);
}

void pl_member_expect(pl_member_table_t *table, pl_member_id_t id)
{
	const pl_member_t *member = pl_member_lookup_(table, id);
	expectation_t *expectation;

	if (id == table->self->id || find_expectation_(table, id))
		return;
	if (member && pl_member_live_(member)) {
		/* usual failure detection, without waiting for its turn */
		if (member->state == PL_MEMBER_ALIVE &&
		    !pl_member_probing_(table, id))
			pl_member_probe_(table, PL_PROBE_DETECT, id);
		return;
	}
	if (member && member->state == PL_MEMBER_DEAD) {
		report_absent_(table, id);
		return;
	}
	expectation = g_new0(expectation_t, 1);
	expectation->id = id;
	expectation->deadline = table->now + ANSWER_TIMEOUT_MS;
	expectation->next_probe = table->now;
	pl_list_append(&table->expected, &expectation->link);
}

void pl_member_expect_acked_(pl_member_table_t *table, pl_member_id_t id)
{
	expectation_t *expectation = find_expectation_(table, id);

	if (expectation)
		free_expectation_(expectation);
}

/* Silence counts only when this process has joined and receives datagrams. */
static bool silence_counts_(const pl_member_table_t *table)
{
	return table->join == PL_JOIN_DONE &&
	       table->now - table->last_heard <= NO_CONTACT_MS;
}

static void check_expectation_(pl_member_table_t *table,
			       expectation_t *expectation)
{
	const pl_member_t *member = pl_member_lookup_(table, expectation->id);
	pl_member_id_t id = expectation->id;

	if (member && pl_member_live_(member)) {
		free_expectation_(expectation);
		return;
	}
	if (!silence_counts_(table))
		expectation->deadline = table->now + ANSWER_TIMEOUT_MS;
	if (table->now >= expectation->deadline) {
		free_expectation_(expectation);
		report_absent_(table, id);
		return;
	}
	if (table->now < expectation->next_probe)
		return;
	expectation->next_probe = table->now + PL_MEMBER_WATCH_MS;
	pl_member_probe_(table, PL_PROBE_EXPECT, id);
}

void pl_member_expect_on_timer_(pl_member_table_t *table)
{
	pl_list_for_each_safe(node, &table->expected)
		check_expectation_(table,
				   PL_CONTAINER_OF(node, expectation_t, link));
}

void pl_member_expect_shift_(pl_member_table_t *table, pl_ms_t by)
{
	pl_list_for_each(node, &table->expected)
		PL_CONTAINER_OF(node, expectation_t, link)->deadline += by;
}

void pl_member_expect_clear_(pl_member_table_t *table)
{
	pl_list_for_each_safe(node, &table->expected)
		free_expectation_(PL_CONTAINER_OF(node, expectation_t, link));
}
