/**
 * @file Anti-entropy between tables, and tables for joining members.
 *
 * Members periodically compare their tables: first a hash per data centre, then
 * the hashes of its buckets, then a list of the records in a few differing
 * buckets. Only differing records are sent in full.
 */
#include "private/member_private.h"

#include <assert.h>
#include <string.h>

/** Records per frame of a whole table. */
#define CHUNK_RECORDS 1000
/** Most records listed in one comparison, about 10 KB of a frame; buckets that
 * do not fit are compared again after the pause. */
#define PULL_RECORDS_MAX 512
#define PULL_PAUSE_MS 2000
/** After joining, a member catches up: it compares its table at this interval
 * until this many consecutive comparisons found no difference, or until this
 * many comparisons were made. */
#define CATCH_UP_SYNC_MS 300
#define CATCH_UP_AGREEMENTS 2
#define CATCH_UP_SYNCS_MAX 20
/** Frames from this size on, in bytes, are whole tables for joining members and
 * are not charged to the budget. Frames sent while catching up are not charged
 * either: changes that other members need would have to wait for the budget. */
#define CHARGED_MAX 8000
/** Most data centres with bucket hashes in one datagram, 170 bytes each. */
#define BUCKET_DIGESTS_MAX 6

/* Whether the table may still lack members that others know. */
static bool is_catching_up_(const pl_member_table_t *table)
{
	return table->catch_up_syncs > 0 &&
	       table->agreeing_syncs < CATCH_UP_AGREEMENTS;
}

void pl_member_send_frame_(pl_member_table_t *table, pl_member_id_t to,
			   pl_peer_type_t type,
			   const pl_gossip_frame_t *content)
{
	pl_peer_frame_t frame = { .peer = to, .type = type };
	uint8_t *body = pl_gossip_encode_frame(content, &frame.body_len);

	frame.body = body;
	if (frame.body_len < CHARGED_MAX && !is_catching_up_(table))
		pl_member_charge_(table, frame.body_len);
	table->ops.send_frame(table->ctx, &frame);
	g_free(body);
}

/* Probes a seed and a dead member, to reconnect groups that declared each other
 * dead. */
static void probe_lost_(pl_member_table_t *table)
{
	const pl_member_t *member;

	if (table->seeds->len > 0) {
		guint at = (guint)pl_member_random_below_(table,
							  table->seeds->len);
		pl_member_id_t seed =
			g_array_index(table->seeds, pl_member_id_t, at);

		member = pl_member_lookup_(table, seed);
		if (!member || !pl_member_live_(member))
			pl_member_probe_(table, PL_PROBE_CONTACT, seed);
	}
	if (table->by_state[PL_MEMBER_DEAD] == 0)
		return;
	member = table->members->pdata[pl_member_random_below_(
		table, table->members->len)];
	if (member->state == PL_MEMBER_DEAD)
		pl_member_probe_(table, PL_PROBE_CONTACT, member->id);
}

/* A pulled table may lack members that joined during the transfer, after a cold
 * start of all processes even most members. It is therefore compared at a short
 * interval until it is complete. */
static pl_ms_t sync_pause_(pl_member_table_t *table)
{
	if (is_catching_up_(table)) {
		table->catch_up_syncs--;
		return CATCH_UP_SYNC_MS;
	}
	return PL_MEMBER_SYNC_MS / 2 +
	       pl_member_random_below_(table, PL_MEMBER_SYNC_MS);
}

void pl_member_sync_on_timer_(pl_member_table_t *table)
{
	const pl_member_t *peer;

	pl_member_join_on_timer_(table);
	if (table->now < table->next_sync)
		return;
	table->next_sync = table->now + sync_pause_(table);
	probe_lost_(table);
	peer = pl_member_pick_(table, NULL);
	if (peer)
		pl_member_send_digest_(table, peer->id);
}

static uint64_t dc_hash_(const pl_member_dc_t *dc)
{
	return pl_hash(dc->buckets, sizeof(dc->buckets), 0);
}

void pl_member_send_digest_(pl_member_table_t *table, pl_member_id_t to)
{
	pl_gossip_digest_t digests[PL_GOSSIP_DATACENTRES_MAX];
	pl_gossip_message_t message = { .type = PL_GOSSIP_DIGEST };
	guint count = MIN(table->dcs->len, PL_GOSSIP_DATACENTRES_MAX);

	for (guint i = 0; i < count; i++) {
		const pl_member_dc_t *dc = table->dcs->pdata[i];

		digests[i].datacentre = dc->id;
		digests[i].hash = dc_hash_(dc);
	}
	message.digests = digests;
	message.digest_count = count;
	pl_member_send_(table, to, &message, NULL);
}

static bool same_hash_(const pl_gossip_message_t *message,
		       const pl_member_dc_t *dc)
{
	for (size_t i = 0; i < message->digest_count; i++) {
		if (message->digests[i].datacentre == dc->id)
			return message->digests[i].hash == dc_hash_(dc);
	}
	return false;
}

void pl_member_digest_(pl_member_table_t *table,
		       const pl_gossip_message_t *message)
{
	pl_gossip_digest_t digests[BUCKET_DIGESTS_MAX];
	pl_gossip_message_t answer = { .type = PL_GOSSIP_BUCKET_DIGEST,
				       .digests = digests };
	guint count = table->dcs->len;
	guint first = (guint)pl_member_random_below_(table, count);

	/* without budget, the next comparison makes up for this one */
	if (!is_catching_up_(table) && !pl_member_has_budget_(table))
		return;
	for (guint i = 0; i < count; i++) {
		const pl_member_dc_t *dc =
			table->dcs->pdata[(first + i) % count];
		pl_gossip_digest_t *digest = &digests[answer.digest_count];

		if (same_hash_(message, dc))
			continue;
		digest->datacentre = dc->id;
		memcpy(digest->buckets, dc->buckets, sizeof(digest->buckets));
		if (++answer.digest_count == BUCKET_DIGESTS_MAX)
			break;
	}
	/* an empty answer means that the tables agree */
	pl_member_send_(table, message->sender, &answer, NULL);
}

/* Mask of the buckets that @p pulls requests from the data centre of
 * @p member. */
static uint32_t requested_mask_(const pl_gossip_pull_t *pulls, size_t count,
				const pl_member_t *member)
{
	if (!member->dc)
		return 0;
	for (size_t i = 0; i < count; i++) {
		if (pulls[i].datacentre == member->dc->id)
			return pulls[i].mask;
	}
	return 0;
}

static bool is_requested_(const pl_gossip_pull_t *pulls, size_t count,
			  const pl_member_t *member)
{
	return requested_mask_(pulls, count, member) >>
		       pl_member_bucket_(member->id) &
	       1U;
}

/* Requests the differences in buckets, with a list of the records held here. */
static void send_pull_(pl_member_table_t *table, pl_member_id_t to,
		       const pl_gossip_pull_t *pulls, size_t count)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(pl_gossip_record_t));
	pl_gossip_frame_t frame = { .pulls = pulls, .pull_count = count };

	for (guint i = 0; i < table->members->len; i++) {
		const pl_member_t *member = table->members->pdata[i];
		pl_gossip_record_t record;

		if (!pl_member_live_(member) ||
		    !is_requested_(pulls, count, member))
			continue;
		pl_member_make_record_(member, false, &record);
		record.state = PL_MEMBER_ALIVE;
		g_array_append_val(records, record);
	}
	frame.records = (pl_gossip_record_t *)records->data;
	frame.record_count = records->len;
	pl_member_send_frame_(table, to, PL_PEER_TABLE_PULL, &frame);
	g_array_free(records, TRUE);
}

static size_t live_count_(const pl_member_dc_t *dc)
{
	size_t count = 0;

	for (int i = 0; i < PL_MEMBER_DEAD; i++)
		count += dc->by_state[i];
	return count;
}

/* Number of buckets of @p dc that hold about @p records records. */
static unsigned int bucket_limit_(const pl_member_dc_t *dc, size_t records)
{
	size_t buckets = records * PL_GOSSIP_BUCKETS / (live_count_(dc) + 1);

	return (unsigned int)CLAMP(buckets, 1, PL_GOSSIP_BUCKETS);
}

static uint32_t differing_buckets_(const pl_member_dc_t *dc,
				   const pl_gossip_digest_t *digest,
				   unsigned int first, unsigned int limit)
{
	uint32_t mask = 0;
	unsigned int found = 0;

	for (unsigned int i = 0; i < PL_GOSSIP_BUCKETS; i++) {
		unsigned int at = (first + i) % PL_GOSSIP_BUCKETS;

		if (dc->buckets[at] == digest->buckets[at])
			continue;
		mask |= 1U << at;
		if (++found == limit)
			break;
	}
	return mask;
}

/* Counts a comparison without difference. When a member has caught up, it drops
 * the queued changes that the others know as well, so that the budget is free
 * for later changes. */
static void note_agreement_(pl_member_table_t *table)
{
	bool catching_up = is_catching_up_(table);

	table->agreeing_syncs++;
	if (catching_up && !is_catching_up_(table))
		pl_member_drop_queued_(table);
}

void pl_member_bucket_digest_(pl_member_table_t *table,
			      const pl_gossip_message_t *message)
{
	pl_gossip_pull_t pulls[PL_GOSSIP_DATACENTRES_MAX];
	unsigned int first =
		(unsigned int)pl_member_random_below_(table, PL_GOSSIP_BUCKETS);
	size_t count = 0;

	if (message->digest_count == 0) {
		note_agreement_(table);
		return;
	}
	table->agreeing_syncs = 0;
	if (!is_catching_up_(table) && !pl_member_has_budget_(table))
		return;
	for (size_t i = 0;
	     i < message->digest_count && count < PL_GOSSIP_DATACENTRES_MAX;
	     i++) {
		const pl_gossip_digest_t *digest = &message->digests[i];
		const pl_member_dc_t *dc =
			pl_member_dc_(table, digest->datacentre);
		unsigned int limit = bucket_limit_(
			dc, PULL_RECORDS_MAX / message->digest_count);

		pulls[count] = (pl_gossip_pull_t){
			.datacentre = digest->datacentre,
			.mask = differing_buckets_(dc, digest, first, limit),
		};
		count += pulls[count].mask != 0;
	}
	if (count == 0)
		return;
	send_pull_(table, message->sender, pulls, count);
	/* compare again soon, since more buckets may differ */
	table->next_sync = MIN(table->next_sync, table->now + PULL_PAUSE_MS);
}

static void send_push_(pl_member_table_t *table, pl_member_id_t to,
		       const GArray *records, guint from, bool last)
{
	pl_gossip_frame_t frame = {
		.records = &g_array_index(records, pl_gossip_record_t, from),
		.record_count = records->len - from,
		.last = last,
	};

	pl_member_send_frame_(table, to, PL_PEER_TABLE_PUSH, &frame);
}

/* Fills in a record with names, for a joining member. */
static void named_record_(pl_member_table_t *table, const pl_member_t *member,
			  pl_gossip_record_t *record)
{
	pl_member_make_record_(member, pl_member_live_(member), record);
	if (!record->full)
		return;
	record->name = member->name;
	record->name_len = strlen(pl_member_name(member));
	if (member->dc->frame_mark == table->frame_mark || !member->dc->name)
		return;
	/* the first record of each data centre carries its name */
	member->dc->frame_mark = table->frame_mark;
	record->datacentre_name = member->dc->name;
	record->datacentre_name_len = strlen(member->dc->name);
}

static void push_table_(pl_member_table_t *table, pl_member_id_t to)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(pl_gossip_record_t));

	table->frame_mark++;
	for (guint i = 0; i < table->members->len; i++) {
		const pl_member_t *member = table->members->pdata[i];
		pl_gossip_record_t record;

		if (member->stale)
			continue;
		named_record_(table, member, &record);
		g_array_append_val(records, record);
		if (records->len < CHUNK_RECORDS)
			continue;
		send_push_(table, to, records, 0, false);
		g_array_set_size(records, 0);
	}
	send_push_(table, to, records, 0, true);
	g_array_free(records, TRUE);
}

/* Compares the records that the other member listed with those here. Adds the
 * records that are newer or no longer live here to @p answer, and all that the
 * other member need not be sent to @p listed; true when the list has members
 * that are unknown or older here. */
static bool compare_listed_(pl_member_table_t *table,
			    const pl_gossip_frame_t *pull, GHashTable *listed,
			    GArray *answer)
{
	bool has_newer = false;

	for (size_t i = 0; i < pull->record_count; i++) {
		const pl_gossip_record_t *other = &pull->records[i];
		pl_member_t *member = pl_member_lookup_(table, other->id);
		pl_gossip_record_t record;

		if (!member || member->incarnation < other->incarnation) {
			has_newer = true;
			continue;
		}
		g_hash_table_add(listed, &member->id);
		if (pl_member_live_(member) &&
		    member->incarnation == other->incarnation)
			continue;
		pl_member_make_record_(member, pl_member_live_(member),
				       &record);
		g_array_append_val(answer, record);
	}
	return has_newer;
}

static void push_difference_(pl_member_table_t *table, pl_member_id_t to,
			     const pl_gossip_frame_t *pull)
{
	GArray *answer = g_array_new(FALSE, FALSE, sizeof(pl_gossip_record_t));
	GHashTable *listed = g_hash_table_new(g_int64_hash, g_int64_equal);
	bool has_newer = compare_listed_(table, pull, listed, answer);

	for (guint i = 0; i < table->members->len; i++) {
		const pl_member_t *member = table->members->pdata[i];
		pl_gossip_record_t record;

		if (!pl_member_live_(member) || member->stale ||
		    !is_requested_(pull->pulls, pull->pull_count, member) ||
		    g_hash_table_contains(listed, &member->id))
			continue;
		pl_member_make_record_(member, true, &record);
		g_array_append_val(answer, record);
	}
	if (answer->len > 0)
		send_push_(table, to, answer, 0, true);
	g_hash_table_destroy(listed);
	g_array_free(answer, TRUE);
	if (has_newer)
		send_pull_(table, to, pull->pulls, pull->pull_count);
}

static void apply_push_(pl_member_table_t *table, const pl_peer_frame_t *frame,
			const pl_gossip_frame_t *push)
{
	bool joining =
		table->join == PL_JOIN_PULL && frame->peer == table->pull_from;

	/* a joining member must not gossip what all others know */
	table->bulk_update = joining || is_catching_up_(table);
	for (size_t i = 0; i < push->record_count; i++)
		pl_member_apply_(table, &push->records[i], frame->peer);
	table->bulk_update = false;
	if (!joining)
		return;
	table->next_join = table->now + PL_MEMBER_PULL_TIMEOUT_MS;
	if (push->last) {
		table->join = PL_JOIN_DONE;
		table->catch_up_syncs = CATCH_UP_SYNCS_MAX;
		table->agreeing_syncs = 0;
		table->next_sync =
			MIN(table->next_sync, table->now + CATCH_UP_SYNC_MS);
		pl_member_partition_adopt_(table);
	}
}

pl_result_t pl_member_frame(pl_member_table_t *table,
			    const pl_peer_frame_t *frame)
{
	pl_gossip_frame_t content;
	pl_result_t result;

	assert(frame->type == PL_PEER_TABLE_PULL ||
	       frame->type == PL_PEER_TABLE_PUSH);
	result = pl_gossip_decode_frame(table->decoder, frame->body,
					frame->body_len, &content);
	if (result != PL_OK || table->join == PL_JOIN_IDLE)
		return result;
	if (frame->type == PL_PEER_TABLE_PUSH) {
		apply_push_(table, frame, &content);
		return PL_OK;
	}
	if (content.pull_count > 0) {
		push_difference_(table, frame->peer, &content);
		return PL_OK;
	}
	for (size_t i = 0; i < content.record_count; i++)
		pl_member_apply_(table, &content.records[i], frame->peer);
	push_table_(table, frame->peer);
	return PL_OK;
}
