/**
 * @file Checks of members that should be running.
 *
 * The key-value store may name an agent that the table does not list. The
 * missing record proves nothing, since the table may still be incomplete. The
 * agent is therefore probed, directly and through other members, and reported
 * as absent only when no probe is answered within a timeout.
 */
#include "private/member_private.h"

/** Timeout for an answer of an unknown member, or of one that left. A process
 * that is restarted answers within a second. */
#define ANSWER_TIMEOUT_MS 1500
/** Without any datagram for this long, this process may be cut off itself. */
#define NO_CONTACT_MS 500
/** Live members that are checked, or suspected by this process, at the same
 * time. If more do not answer, the reason may be this process's own link, and a
 * suspicion of all members spreads faster than they can refute it. */
#define CHECKS_MAX 5

/** A member passed to pl_member_check_liveness() that has not answered yet. */
typedef struct {
	pl_list_t link;
	pl_member_id_t id;
	pl_ms_t deadline;
	pl_ms_t next_probe;
} liveness_check_t;

static liveness_check_t *find_check_(const pl_member_table_t *table,
				     pl_member_id_t id)
{
	pl_list_for_each(node, &table->liveness_checks) {
		liveness_check_t *check =
			PL_CONTAINER_OF(node, liveness_check_t, link);

		if (check->id == id)
			return check;
	}
	return NULL;
}

static void free_check_(liveness_check_t *check)
{
	pl_list_remove(&check->link);
	g_free(check);
}

/* Whether another live member may be checked out of its turn. Those in progress
 * are counted once when many are checked at the same time. */
static bool may_detect_(pl_member_table_t *table)
{
	if (table->detections_at != table->now)
		table->detections = pl_member_detections_(table);
	table->detections_at = table->now;
	return table->detections < CHECKS_MAX;
}

static void report_absent_(pl_member_table_t *table, pl_member_id_t id)
{
	if (table->ops.absent)
		table->ops.absent(table->ctx, id);
}

void pl_member_check_liveness(pl_member_table_t *table, pl_member_id_t id)
{
	const pl_member_t *member = pl_member_lookup_(table, id);
	liveness_check_t *check;

	if (id == table->self->id || find_check_(table, id))
		return;
	if (member && pl_member_live_(member)) {
		/* usual failure detection, without waiting for its turn */
		if (member->state == PL_MEMBER_ALIVE && may_detect_(table) &&
		    !pl_member_probing_(table, id)) {
			pl_member_probe_(table, PL_PROBE_DETECT, id);
			table->detections++;
		}
		return;
	}
	if (member && member->state == PL_MEMBER_DEAD) {
		/* if this is a mistake, the member refutes it */
		pl_member_probe_(table, PL_PROBE_CONTACT, id);
		report_absent_(table, id);
		return;
	}
	check = g_new0(liveness_check_t, 1);
	check->id = id;
	check->deadline = table->now + ANSWER_TIMEOUT_MS;
	check->next_probe = table->now;
	pl_list_append(&table->liveness_checks, &check->link);
}

void pl_member_liveness_acked_(pl_member_table_t *table, pl_member_id_t id)
{
	liveness_check_t *check = find_check_(table, id);

	if (check)
		free_check_(check);
}

/* Silence counts only when this process has joined and receives datagrams. */
static bool silence_counts_(const pl_member_table_t *table)
{
	return table->join == PL_JOIN_DONE &&
	       table->now - table->last_heard <= NO_CONTACT_MS;
}

static void update_check_(pl_member_table_t *table, liveness_check_t *check)
{
	const pl_member_t *member = pl_member_lookup_(table, check->id);
	pl_member_id_t id = check->id;

	if (member && pl_member_live_(member)) {
		free_check_(check);
		return;
	}
	if (!silence_counts_(table))
		check->deadline = table->now + ANSWER_TIMEOUT_MS;
	if (table->now >= check->deadline) {
		free_check_(check);
		report_absent_(table, id);
		return;
	}
	if (table->now < check->next_probe)
		return;
	check->next_probe = table->now + PL_MEMBER_WATCH_MS;
	pl_member_probe_(table, PL_PROBE_LIVENESS, id);
}

void pl_member_liveness_on_timer_(pl_member_table_t *table)
{
	pl_list_for_each_safe(node, &table->liveness_checks)
		update_check_(table,
			      PL_CONTAINER_OF(node, liveness_check_t, link));
}

void pl_member_liveness_shift_(pl_member_table_t *table, pl_ms_t by)
{
	pl_list_for_each(node, &table->liveness_checks)
		PL_CONTAINER_OF(node, liveness_check_t, link)->deadline += by;
}

void pl_member_liveness_clear_(pl_member_table_t *table)
{
	pl_list_for_each_safe(node, &table->liveness_checks)
		free_check_(PL_CONTAINER_OF(node, liveness_check_t, link));
}
