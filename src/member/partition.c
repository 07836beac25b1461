/**
 * @file Detection of data centres that are partitioned off.
 *
 * When several members of one data centre are suspect at the same time, a few
 * other members of it are probed (the "partition check"). If most of them do
 * not answer, the whole data centre is considered partitioned and its members
 * become unreachable: their records are not gossiped, and only rare probes test
 * whether the data centre is back. The first datagram from one of its members
 * starts a new check. If most probed members answer, all unreachable members
 * become alive and the tables are compared.
 *
 * When this process receives nothing from anybody, it is isolated itself, and
 * even its own data centre is then considered partitioned.
 */
#include "private/member_private.h"

/** Suspects that start a check; also the fewest other members with which this
 * process can consider itself isolated. */
#define PARTITION_MEMBERS_MIN 3
/** Members probed in a check. */
#define CHECK_PROBES 4
/** Timeout of a check, and the pause between two checks. */
#define CHECK_TIMEOUT_MS 700
#define CHECK_PAUSE_MS 2000
/** Silence of a data centre after which a check precedes a death in it. */
#define SILENCE_MS 1500
/** Silence of all members after which this process is considered isolated. */
#define ISOLATED_MS 3000
/** Longest and shortest interval of probes to a partitioned data centre. */
#define CONTACT_MAX_MS 10000
#define CONTACT_MIN_MS 5000

static size_t live_count_(const pl_member_dc_t *dc)
{
	return dc->by_state[PL_MEMBER_ALIVE] + dc->by_state[PL_MEMBER_SUSPECT] +
	       dc->by_state[PL_MEMBER_UNREACHABLE];
}

static bool isolated_(const pl_member_table_t *table)
{
	return table->now - table->last_heard >= ISOLATED_MS &&
	       pl_member_others_(table) >= PARTITION_MEMBERS_MIN;
}

/* Sets the state of every member of @p dc in @p from or @p or_from to @p to. */
static void set_states_(pl_member_table_t *table, pl_member_dc_t *dc,
			pl_member_state_t from, pl_member_state_t or_from,
			pl_member_state_t to)
{
	for (guint i = 0; i < table->members->len; i++) {
		pl_member_t *member = table->members->pdata[i];

		if (member->dc != dc || member == table->self ||
		    (member->state != from && member->state != or_from))
			continue;
		pl_member_unqueue_(table, member);
		pl_member_set_state_(table, member, to);
	}
}

/* Suspects the members whose deaths were reported, but not accepted, while the
 * data centre was partitioned. */
static void suspect_reported_dead_(pl_member_table_t *table,
				   const pl_member_dc_t *dc)
{
	for (guint i = 0; i < table->members->len; i++) {
		pl_member_t *member = table->members->pdata[i];

		if (member->dc != dc || !member->reported_dead)
			continue;
		member->reported_dead = false;
		pl_member_suspect_(table, member);
	}
}

static void notify_owner_(pl_member_table_t *table, const pl_member_dc_t *dc)
{
	if (table->ops.datacentre)
		table->ops.datacentre(table->ctx, dc->id,
				      dc->name ? dc->name : "",
				      dc->partitioned);
}

static void mark_partitioned_(pl_member_table_t *table, pl_member_dc_t *dc)
{
	dc->partitioned = true;
	dc->partitioned_since = table->now;
	dc->next_contact = table->now + CONTACT_MIN_MS;
	dc->checking = false;
	dc->next_check = table->now;
	set_states_(table, dc, PL_MEMBER_ALIVE, PL_MEMBER_SUSPECT,
		    PL_MEMBER_UNREACHABLE);
	notify_owner_(table, dc);
}

static void clear_partitioned_(pl_member_table_t *table, pl_member_dc_t *dc)
{
	const pl_member_t *peer;

	dc->partitioned = false;
	dc->checking = false;
	dc->next_check = table->now + CHECK_PAUSE_MS;
	peer = pl_member_pick_in_(table, dc, PL_MEMBER_ALIVE);
	set_states_(table, dc, PL_MEMBER_UNREACHABLE, PL_MEMBER_UNREACHABLE,
		    PL_MEMBER_ALIVE);
	suspect_reported_dead_(table, dc);
	notify_owner_(table, dc);
	if (peer)
		pl_member_send_digest_(table, peer->id);
}

/* Starts a partition check: probes a few members of @p dc in @p state. */
static void start_check_(pl_member_table_t *table, pl_member_dc_t *dc,
			 pl_member_state_t state)
{
	pl_member_t *probed[CHECK_PROBES];

	dc->checking = true;
	dc->check_deadline = table->now + CHECK_TIMEOUT_MS;
	dc->check_probed = 0;
	dc->check_acked = 0;
	for (int i = 0; i < CHECK_PROBES; i++) {
		pl_member_t *member = pl_member_pick_in_(table, dc, state);
		bool duplicate = false;

		for (unsigned int j = 0; j < dc->check_probed; j++)
			duplicate = duplicate || probed[j] == member;
		if (!member || duplicate)
			continue;
		probed[dc->check_probed++] = member;
	}
	for (unsigned int i = 0; i < dc->check_probed; i++)
		pl_member_probe_(table, PL_PROBE_PARTITION, probed[i]->id);
}

void pl_member_partition_suspect_(pl_member_table_t *table, pl_member_dc_t *dc)
{
	if (dc->partitioned || dc->checking || dc == table->self->dc ||
	    dc->by_state[PL_MEMBER_SUSPECT] < PARTITION_MEMBERS_MIN ||
	    table->now < dc->next_check)
		return;
	start_check_(table, dc, PL_MEMBER_ALIVE);
}

void pl_member_partition_acked_(pl_member_table_t *table, pl_member_dc_t *dc)
{
	if (!dc->checking)
		return;
	dc->check_acked++;
	/* a death that waits for the check need not wait for more answers */
	if (dc->check_acked * 2 >= dc->check_probed)
		dc->check_deadline = table->now;
}

static void finish_check_(pl_member_table_t *table, pl_member_dc_t *dc)
{
	bool most_acked = dc->check_acked * 2 >= dc->check_probed;
	size_t suspect = dc->by_state[PL_MEMBER_SUSPECT];

	dc->checking = false;
	dc->next_check = table->now + CHECK_PAUSE_MS;
	if (dc->partitioned && most_acked)
		clear_partitioned_(table, dc);
	else if (!dc->partitioned && dc->check_probed > 0 && !most_acked)
		mark_partitioned_(table, dc);
	else if (!dc->partitioned && dc->check_probed == 0 &&
		 suspect * 2 > live_count_(dc))
		mark_partitioned_(table, dc);
	if (!dc->partitioned)
		suspect_reported_dead_(table, dc);
}

bool pl_member_partition_blocks_death_(pl_member_table_t *table,
				       pl_member_t *member)
{
	pl_member_dc_t *dc = member->dc;

	if (!dc)
		return false;
	if (isolated_(table) && !dc->partitioned) {
		mark_partitioned_(table, dc);
		return true;
	}
	if (dc->partitioned) {
		pl_member_unqueue_(table, member);
		pl_member_set_state_(table, member, PL_MEMBER_UNREACHABLE);
		return true;
	}
	/* a small data centre can be partitioned off before it has enough
	 * suspects */
	if (!dc->checking && dc != table->self->dc &&
	    live_count_(dc) >= PARTITION_MEMBERS_MIN &&
	    table->now - dc->last_heard > SILENCE_MS &&
	    table->now >= dc->next_check)
		start_check_(table, dc, PL_MEMBER_ALIVE);
	/* a check is short; suspects of other data centres can wait */
	return dc->checking;
}

void pl_member_partition_heard_(pl_member_table_t *table, pl_member_t *member)
{
	pl_member_dc_t *dc = member->dc;

	if (!dc)
		return;
	dc->last_heard = table->now;
	if (member->state == PL_MEMBER_UNREACHABLE)
		pl_member_set_state_(table, member, PL_MEMBER_ALIVE);
	if (!dc->partitioned)
		return;
	if (dc->by_state[PL_MEMBER_ALIVE] * 2 > live_count_(dc))
		clear_partitioned_(table, dc);
	else if (!dc->checking && table->now >= dc->next_check)
		start_check_(table, dc, PL_MEMBER_UNREACHABLE);
}

/* Probes one member of a partitioned data centre. */
static void probe_partitioned_(pl_member_table_t *table, pl_member_dc_t *dc)
{
	const pl_member_t *member =
		pl_member_pick_in_(table, dc, PL_MEMBER_UNREACHABLE);

	dc->next_contact =
		table->now + CONTACT_MIN_MS +
		pl_member_random_below_(table, CONTACT_MAX_MS - CONTACT_MIN_MS);
	if (member)
		pl_member_probe_(table, PL_PROBE_CONTACT, member->id);
}

void pl_member_partition_on_timer_(pl_member_table_t *table)
{
	for (guint i = 0; i < table->dcs->len; i++) {
		pl_member_dc_t *dc = table->dcs->pdata[i];

		if (dc->checking && table->now >= dc->check_deadline)
			finish_check_(table, dc);
		if (dc->partitioned && table->now >= dc->next_contact)
			probe_partitioned_(table, dc);
	}
}

void pl_member_partition_adopt_(pl_member_table_t *table)
{
	for (guint i = 0; i < table->dcs->len; i++) {
		pl_member_dc_t *dc = table->dcs->pdata[i];

		if (dc->partitioned || dc->by_state[PL_MEMBER_UNREACHABLE] == 0)
			continue;
		if (dc->by_state[PL_MEMBER_UNREACHABLE] * 2 > live_count_(dc))
			mark_partitioned_(table, dc);
		else /* probes find out which members are dead */
			set_states_(table, dc, PL_MEMBER_UNREACHABLE,
				    PL_MEMBER_UNREACHABLE, PL_MEMBER_ALIVE);
	}
}
