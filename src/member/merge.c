/**
 * @file Merging of received records into the table.
 *
 * Records of a member are ordered by its incarnation, which only the member
 * itself raises: it starts with the wall clock and adds one for each change of
 * attributes, refuted suspicion or pause. Within an incarnation the later state
 * in the order alive, suspect, dead, left takes precedence.
 */
#include "private/member_private.h"

#include <assert.h>
#include <math.h>

void pl_member_make_record_(const pl_member_t *member, bool full,
			    pl_gossip_record_t *record)
{
	*record = (pl_gossip_record_t){
		.id = member->id,
		.incarnation = member->incarnation,
		.state = member->state,
		.role = member->role,
		.full = full && member->dc && !member->stale,
	};
	if (!member->dc || !record->full)
		return;
	record->boot = member->boot;
	record->datacentre = member->dc->id;
	record->started_s = member->started_s;
	record->attr = member->attr;
}

void pl_member_raise_incarnation_(pl_member_table_t *table, uint32_t above)
{
	pl_member_t *self = table->self;

	if (self->incarnation > above)
		return;
	pl_member_uncount_(table, self);
	self->incarnation = above + 1;
	pl_member_recount_(table, self, self->state);
	pl_member_queue_(table, self);
}

static void apply_self_(pl_member_table_t *table,
			const pl_gossip_record_t *record)
{
	pl_member_t *self = table->self;
	bool other_boot = record->full && record->boot != self->boot;

	if (record->incarnation < self->incarnation)
		return;
	if (record->incarnation == self->incarnation && !other_boot &&
	    (record->state == self->state ||
	     record->state == PL_MEMBER_UNREACHABLE || table->leaving))
		return;
	table->refuted++;
	pl_member_raise_incarnation_(table, (uint32_t)record->incarnation);
}

static pl_ms_t suspicion_ms_(const pl_member_table_t *table)
{
	double tenfold = log10((double)pl_member_others_(table) + 1);
	pl_ms_t time = PL_MEMBER_SUSPICION_MIN_MS +
		       (pl_ms_t)(tenfold * PL_MEMBER_SUSPICION_STEP_MS);

	return MIN(time, PL_MEMBER_SUSPICION_MAX_MS);
}

static bool watched_(const pl_member_table_t *table, pl_member_id_t id)
{
	pl_list_for_each(node, &table->watches) {
		const pl_watch_t *watch =
			PL_CONTAINER_OF(node, pl_watch_t, link);

		if (watch->id == id)
			return watch->count > 0;
	}
	return false;
}

/* Starts the timeout of a suspicion; the list is sorted by deadline. */
static void start_suspicion_(pl_member_table_t *table, pl_member_t *member)
{
	pl_list_t *position = &table->suspects;

	member->deadline = table->now + (watched_(table, member->id) ?
						 PL_MEMBER_SUSPICION_MIN_MS :
						 suspicion_ms_(table));
	member->next_probe = table->now;
	member->own_suspicion = false;
	pl_list_remove(&member->suspect_link);
	while (position->prev != &table->suspects &&
	       PL_CONTAINER_OF(position->prev, pl_member_t, suspect_link)
			       ->deadline > member->deadline)
		position = position->prev;
	pl_list_insert_before(position, &member->suspect_link);
}

void pl_member_suspect_(pl_member_table_t *table, pl_member_t *member)
{
	if (member->state != PL_MEMBER_ALIVE || member == table->self)
		return;
	start_suspicion_(table, member);
	pl_member_set_state_(table, member, PL_MEMBER_SUSPECT);
	pl_member_queue_(table, member);
	if (member->dc)
		pl_member_partition_suspect_(table, member->dc);
}

void pl_member_set_tombstone_(pl_member_table_t *table, pl_member_t *member,
			      pl_member_state_t state)
{
	assert(state == PL_MEMBER_DEAD || state == PL_MEMBER_LEFT);
	member->deadline = table->now + PL_MEMBER_TOMBSTONE_MS;
	pl_member_set_state_(table, member, state);
}

static void copy_names_(pl_member_t *member, const pl_gossip_record_t *record)
{
	if (record->name && !member->name)
		member->name = g_strndup(record->name, record->name_len);
	if (member->name)
		member->want_names = false;
	if (record->datacentre_name && member->dc && !member->dc->name)
		member->dc->name = g_strndup(record->datacentre_name,
					     record->datacentre_name_len);
}

static void copy_fields_(pl_member_table_t *table, pl_member_t *member,
			 const pl_gossip_record_t *record)
{
	member->incarnation = (uint32_t)record->incarnation;
	member->stale = !record->full;
	member->reported_dead = false;
	if (!record->full)
		return;
	member->role = record->role;
	member->boot = record->boot;
	member->dc = pl_member_dc_(table, record->datacentre);
	member->started_s = record->started_s;
	member->attr = record->attr;
}

/* Sets the deadline that belongs to a state received from another member. */
static void set_state_deadline_(pl_member_table_t *table, pl_member_t *member)
{
	if (member->state == PL_MEMBER_SUSPECT)
		start_suspicion_(table, member);
	if (!pl_member_live_(member))
		member->deadline = table->now + PL_MEMBER_TOMBSTONE_MS;
}

static void apply_unknown_(pl_member_table_t *table,
			   const pl_gossip_record_t *record)
{
	pl_member_t *member;

	if (!record->full && record->state < PL_MEMBER_DEAD)
		return;
	member = pl_member_add_(table, record->id);
	member->role = record->role;
	member->want_names = true;
	copy_fields_(table, member, record);
	member->state = record->state;
	/* UNREACHABLE is the view of the sender; it is adopted only from bulk
	 * updates, or when the data centre is partitioned here as well */
	if (member->state == PL_MEMBER_UNREACHABLE && !table->bulk_update &&
	    !member->dc->partitioned)
		member->state = PL_MEMBER_ALIVE;
	set_state_deadline_(table, member);
	pl_member_recount_(table, member, PL_MEMBER_STATE_COUNT);
	copy_names_(member, record);
	if (member->state != PL_MEMBER_UNREACHABLE)
		pl_member_queue_(table, member);
}

/* Applies a record with a higher incarnation than the known one. */
static void apply_newer_(pl_member_table_t *table, pl_member_t *member,
			 const pl_gossip_record_t *record)
{
	pl_member_state_t old = member->state;

	pl_member_uncount_(table, member);
	if (record->full && record->boot != member->boot) {
		member->revision = 0;
		member->want_names = true;
	}
	copy_fields_(table, member, record);
	member->state = record->state == PL_MEMBER_UNREACHABLE ?
				PL_MEMBER_ALIVE :
				record->state;
	set_state_deadline_(table, member);
	pl_member_recount_(table, member, old);
	copy_names_(member, record);
	pl_member_queue_(table, member);
	if (member->state == PL_MEMBER_SUSPECT && member->dc)
		pl_member_partition_suspect_(table, member->dc);
}

/*
 * Whether a report by @p sender that @p member is dead or left is accepted.
 * While a data centre is partitioned off, or checked for a partition, only
 * reports from within the data centre count.
 */
static bool accepts_death_(const pl_member_table_t *table,
			   const pl_member_t *member, pl_member_id_t sender)
{
	const pl_member_t *reporter;

	if (!member->dc || !(member->dc->partitioned || member->dc->checking))
		return true;
	reporter = pl_member_lookup_(table, sender);
	return reporter && reporter->dc == member->dc;
}

/* Applies the state of a record with the known incarnation. */
static void apply_state_(pl_member_table_t *table, pl_member_t *member,
			 const pl_gossip_record_t *record,
			 pl_member_id_t sender)
{
	if (record->state == member->state) {
		pl_member_note_duplicate_(table, member);
		return;
	}
	if (record->state < member->state) {
		/* the sender does not know yet that the member is gone */
		if (!pl_member_live_(member))
			table->correction = member;
		return;
	}
	switch (record->state) {
	case PL_MEMBER_SUSPECT:
		pl_member_suspect_(table, member);
		break;
	case PL_MEMBER_DEAD:
		if (!accepts_death_(table, member, sender)) {
			member->reported_dead = true;
			return;
		}
		pl_member_set_tombstone_(table, member, PL_MEMBER_DEAD);
		pl_member_queue_(table, member);
		break;
	case PL_MEMBER_LEFT:
		pl_member_set_tombstone_(table, member, PL_MEMBER_LEFT);
		pl_member_queue_(table, member);
		break;
	default:
		break;
	}
}

void pl_member_apply_(pl_member_table_t *table,
		      const pl_gossip_record_t *record, pl_member_id_t sender)
{
	pl_member_t *member;

	if (record->id == table->self->id) {
		apply_self_(table, record);
		return;
	}
	member = pl_member_lookup_(table, record->id);
	if (!member) {
		apply_unknown_(table, record);
		return;
	}
	if (record->incarnation < member->incarnation) {
		/* the sender missed a refutation and must not act on the
		 * outdated state */
		if (record->state != PL_MEMBER_ALIVE)
			table->correction = member;
		return;
	}
	/* a change of state for an incarnation whose full record is still
	 * missing is applied only if the state is not ALIVE */
	if (record->incarnation > member->incarnation &&
	    (record->full || record->state >= PL_MEMBER_SUSPECT)) {
		if (accepts_death_(table, member, sender) ||
		    record->state < PL_MEMBER_DEAD)
			apply_newer_(table, member, record);
		return;
	}
	if (record->incarnation > member->incarnation)
		return;
	if (record->full && member->stale) {
		pl_member_uncount_(table, member);
		copy_fields_(table, member, record);
		pl_member_recount_(table, member, member->state);
	}
	copy_names_(member, record);
	apply_state_(table, member, record, sender);
}
