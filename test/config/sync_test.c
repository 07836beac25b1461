#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "sync_fake.h"

#include <private/config_replica.h>
#include <string.h>

#define IN_FORCE_MS 4000
#define SEEDS 12

static void apply_model_(fake_t *fake, const model_t *model)
{
	char *text = model_text(model);

	fake_apply(fake, text);
	g_free(text);
}

static fake_t *start_fleet_(uint32_t seed, size_t nodes, model_t *model)
{
	fake_t *fake = fake_new(seed, nodes, 3);

	model_init(model, 20, 2);
	apply_model_(fake, model);
	for (size_t i = 0; i < nodes; i++)
		fake_start(fake, i);
	fake_run(fake, 6000);
	assert_true(fake_all_at(fake, 1));
	return fake;
}

static unsigned int count_watchers_(const fake_t *fake)
{
	unsigned int count = 0;

	for (size_t i = 0; i < fake->count; i++) {
		pl_config_sync_stats_t stats;

		if (!fake->nodes[i].sync)
			continue;
		pl_config_sync_stats(fake->nodes[i].sync, &stats);
		count += stats.watcher;
	}
	return count;
}

static unsigned int count_platform_calls_(const fake_t *fake)
{
	unsigned int calls = 0;

	for (size_t i = 0; i < fake->count; i++)
		calls += fake->nodes[i].reads + fake->nodes[i].watches;
	return calls;
}

static void change_reaches_all_members_within_four_seconds(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(1, 60, &model);
	unsigned int calls = count_platform_calls_(fake);

	(void)state;
	assert_int_equal(count_watchers_(fake), 3 * PL_CONFIG_WATCHERS);
	for (uint64_t revision = 2; revision < 12; revision++) {
		model.deadline[revision] += 7;
		apply_model_(fake, &model);
		fake_run(fake, IN_FORCE_MS);
		assert_true(fake_all_at(fake, revision));
	}
	/* only watchers call the platform: once per change and once per
	 * expired wait */
	assert_true(count_platform_calls_(fake) - calls <= 6 * (10 + 3));
	for (size_t i = 0; i < fake->count; i++) {
		pl_config_sync_stats_t stats;

		pl_config_sync_stats(fake->nodes[i].sync, &stats);
		assert_true(stats.full_pulls <= 1);
	}
	fake_delete(fake);
}

static void platform_outage_causes_few_calls_and_no_delay(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(2, 30, &model);
	unsigned int calls = count_platform_calls_(fake);

	(void)state;
	fake_set_down(fake, true);
	model.deadline[0]++;
	apply_model_(fake, &model);
	fake_run(fake, 60000);
	assert_true(fake_all_at(fake, 1));
	/* six watchers, each with one call in three seconds and a few more
	 * at the start */
	assert_true(count_platform_calls_(fake) - calls <= 6 * (60 / 3 + 6));
	fake_stop(fake, 4);
	fake_start(fake, 4);
	fake_run(fake, 2000);
	assert_true(fake_all_at(fake, 1));
	fake_set_down(fake, false);
	fake_run(fake, IN_FORCE_MS);
	assert_true(fake_all_at(fake, 2));
	fake_delete(fake);
}

static void starting_member_adopts_the_newest_offer(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(3, 4, &model);

	(void)state;
	/* member 0 misses revision 2 and is the only peer of member 3 */
	fake_stop(fake, 3);
	fake->nodes[0].group = 1;
	fake->nodes[3].group = 1;
	fake_block_platform(fake, 0, true);
	model.deadline[0]++;
	apply_model_(fake, &model);
	fake_run(fake, IN_FORCE_MS);
	assert_int_equal(fake->nodes[0].revision, 1);
	fake_start(fake, 3);
	fake_run(fake, 200);
	assert_int_equal(fake->nodes[3].revision, 2);
	assert_int_equal(fake->nodes[3].reverts, 0);

	/* the platform returns an older document than the only peer holds */
	fake_stop(fake, 3);
	fake_run(fake, IN_FORCE_MS);
	assert_int_equal(fake->nodes[0].revision, 2);
	fake_serve_previous(fake);
	fake_start(fake, 3);
	fake_run(fake, 200);
	assert_int_equal(fake->nodes[3].revision, 2);
	assert_int_equal(fake->nodes[3].reverts, 0);
	fake_delete(fake);
}

/* The platform comes back from an older copy and counts past the index that the
 * watchers had reached. A watch after that index missed the change. */
static void change_after_a_restore_is_in_force_in_time(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(13, 30, &model);

	(void)state;
	fake_copy(fake);
	fake_write_others(fake, 10);
	model.deadline[0]++;
	apply_model_(fake, &model);
	fake_run(fake, IN_FORCE_MS);
	assert_true(fake_all_at(fake, 2));
	fake_set_down(fake, true);
	fake_run(fake, 5000);
	fake_restore(fake);
	/* the operators write the lost change again, then another one */
	apply_model_(fake, &model);
	model.deadline[0]++;
	apply_model_(fake, &model);
	fake_write_others(fake, 20);
	fake_set_down(fake, false);
	fake_run(fake, IN_FORCE_MS);
	assert_true(fake_all_at(fake, 3));
	fake_delete(fake);
}

/* The platform refuses some watchers in every data centre. With one watcher per
 * data centre, all of them refused, a change was not noticed for eleven
 * seconds. */
static void change_spreads_when_the_platform_refuses_watchers(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(11, 12, &model);
	unsigned int blocked = 0;

	(void)state;
	/* block the first watcher of each data centre, all of the last one */
	for (size_t dc = 0; dc < 3; dc++) {
		unsigned int before = blocked;

		for (size_t i = dc; i < fake->count; i += 3) {
			pl_config_sync_stats_t stats;

			pl_config_sync_stats(fake->nodes[i].sync, &stats);
			if (!stats.watcher || (dc < 2 && blocked > before))
				continue;
			fake_block_platform(fake, i, true);
			blocked++;
		}
	}
	assert_in_range(blocked, 3, 5);
	model.deadline[0]++;
	apply_model_(fake, &model);
	fake_run(fake, IN_FORCE_MS);
	assert_true(fake_all_at(fake, 2));
	fake_delete(fake);
}

/* All members that may contact the platform are restarted during an outage of
 * the platform; they get the document from the members that only hold a
 * replica. */
static void replicas_restore_the_document_during_a_platform_outage(void **state)
{
	model_t model;
	fake_t *fake = fake_new(9, 7, 3);

	(void)state;
	model_init(&model, 20, 2);
	apply_model_(fake, &model);
	for (size_t i = 0; i < fake->count; i++) {
		fake->nodes[i].replica_only = i >= 4;
		fake_start(fake, i);
	}
	fake_run(fake, 6000);
	assert_true(fake_all_at(fake, 1));
	model.deadline[0]++;
	apply_model_(fake, &model);
	fake_run(fake, IN_FORCE_MS);
	assert_true(fake_all_at(fake, 2));
	fake_set_down(fake, true);
	for (size_t i = 0; i < 4; i++)
		fake_stop(fake, i);
	for (size_t i = 0; i < 4; i++)
		fake_start(fake, i);
	fake_run(fake, 3000);
	assert_true(fake_all_at(fake, 2));
	for (size_t i = 0; i < fake->count; i++) {
		assert_int_equal(fake->nodes[i].reverts, 0);
		if (fake->nodes[i].replica_only)
			assert_int_equal(fake->nodes[i].reads +
						 fake->nodes[i].watches,
					 0);
	}
	/* a newer document of the platform comes into force afterwards */
	model.deadline[1]++;
	apply_model_(fake, &model);
	fake_set_down(fake, false);
	fake_run(fake, 20000);
	assert_true(fake_all_at(fake, 3));
	fake_delete(fake);
}

static void skipped_and_reverted_change_causes_a_full_pull(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(9, 2, &model);
	pl_config_sync_stats_t stats;

	(void)state;
	/* member 1 skips revision 2; revision 3 reverts the change of 2 */
	fake->nodes[1].group = 1;
	fake_block_platform(fake, 1, true);
	model.deadline[0]++;
	apply_model_(fake, &model);
	fake_run(fake, IN_FORCE_MS);
	fake_block_platform(fake, 0, true);
	model.deadline[0]--;
	apply_model_(fake, &model);
	fake_block_platform(fake, 1, false);
	fake_run(fake, IN_FORCE_MS);
	assert_int_equal(fake->nodes[0].revision, 2);
	assert_int_equal(fake->nodes[1].revision, 3);
	fake->nodes[1].group = 0;
	fake_run(fake, IN_FORCE_MS);
	assert_true(fake_all_at(fake, 3));
	pl_config_sync_stats(fake->nodes[0].sync, &stats);
	assert_int_equal(stats.full_pulls, 1);
	fake_delete(fake);
}

static void older_platform_document_reverts_no_member(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(4, 6, &model);

	(void)state;
	model.deadline[0]++;
	apply_model_(fake, &model);
	fake_run(fake, IN_FORCE_MS);
	assert_true(fake_all_at(fake, 2));
	fake_serve_previous(fake);
	fake_set_down(fake, true);
	fake_set_down(fake, false);
	fake_run(fake, 10000);
	assert_true(fake_all_at(fake, 2));
	/* restarted members adopt their peers' newer revision */
	for (size_t i = 0; i < 6; i++) {
		fake_stop(fake, i);
		fake_start(fake, i);
		fake_run(fake, 2000);
		assert_int_equal(fake->nodes[i].revision, 2);
		assert_int_equal(fake->nodes[i].reverts, 0);
	}
	/* a member that knows no peer adopts the platform's document */
	fake_stop(fake, 5);
	fake->nodes[5].group = 9;
	fake_start(fake, 5);
	fake_run(fake, 2000);
	assert_int_equal(fake->nodes[5].revision, 1);
	/* the member adopts the newer revision once it knows a peer */
	fake->nodes[5].group = 0;
	pl_config_sync_peer_up(fake->nodes[5].sync, 1,
			       fake->nodes[0].datacentre);
	fake_run(fake, 20000);
	assert_true(fake_all_at(fake, 2));
	fake_delete(fake);
}

static void older_frame_is_ignored(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(10, 3, &model);
	pl_config_replica_t *older = pl_config_replica_new();
	GByteArray *body = g_byte_array_new();
	pl_peer_frame_t push = { .peer = 2, .type = PL_PEER_CONFIG_PUSH };

	(void)state;
	pl_config_replica_replace(older,
				  pl_config_sync_document(fake->nodes[0].sync));
	pl_config_replica_encode_push(older, 0, body);
	model.deadline[0]++;
	apply_model_(fake, &model);
	fake_run(fake, IN_FORCE_MS);
	push.body = body->data;
	push.body_len = body->len;
	pl_config_sync_frame(fake->nodes[0].sync, &push);
	assert_int_equal(pl_config_sync_revision(fake->nodes[0].sync), 2);
	assert_int_equal(fake->nodes[0].reverts, 0);
	pl_config_replica_delete(older);
	g_byte_array_free(body, TRUE);
	fake_delete(fake);
}

static void invalid_document_is_not_put_in_force(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(5, 6, &model);

	(void)state;
	fake_apply(fake, "format = 1\n[[service]]\nname = \"x\"\n");
	fake_run(fake, IN_FORCE_MS);
	assert_true(fake_all_at(fake, 1));
	model.deadline[0]++;
	apply_model_(fake, &model);
	fake_run(fake, IN_FORCE_MS);
	assert_true(fake_all_at(fake, 3));
	fake_delete(fake);
}

/* One random step of random_interleavings_never_revert(). */
/* Counts the log lines of refused documents. */
static GLogWriterOutput count_refusals_(GLogLevelFlags level,
					const GLogField *fields, gsize count,
					gpointer data)
{
	unsigned int *refusals = data;

	(void)level;
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "PL_NAME") == 0 &&
		    strcmp(fields[i].value, "config-refused") == 0)
			(*refusals)++;
	}
	return G_LOG_WRITER_HANDLED;
}

/* The index of an invalid document that was reported is assigned again after a
 * restore of the platform. */
static void invalid_document_after_a_restore_is_reported(void **state)
{
	static unsigned int refusals;
	model_t model;
	fake_t *fake = start_fleet_(14, 1, &model);
	unsigned int before;

	(void)state;
	g_log_set_writer_func(count_refusals_, &refusals, NULL);
	fake_copy(fake);
	fake_apply(fake, "format = 1\n[[service]]\nname = \"x\"\n");
	fake_run(fake, IN_FORCE_MS);
	before = refusals;
	assert_true(before > 0);
	fake_restore(fake);
	pl_config_sync_store_restored(fake->nodes[0].sync, fake->generation);
	fake_run(fake, IN_FORCE_MS);
	fake_apply(fake, "format = 1\n[[service]]\nname = \"y\"\n");
	fake_run(fake, IN_FORCE_MS);
	assert_true(refusals > before);
	fake_delete(fake);
}

static void random_step_(fake_t *fake, model_t *model)
{
	size_t node =
		(size_t)g_rand_int_range(fake->rand, 0, (gint32)fake->count);

	switch (g_rand_int_range(fake->rand, 0, 7)) {
	case 0:
	case 1:
		model_edit(model, fake->rand);
		apply_model_(fake, model);
		break;
	case 2:
		fake_freeze(fake, !fake->frozen);
		break;
	case 3:
		fake_set_down(fake, !fake->down);
		break;
	case 4:
		fake->nodes[node].group = !fake->nodes[node].group;
		break;
	default:
		if (fake->nodes[node].sync)
			fake_stop(fake, node);
		else
			fake_start(fake, node);
	}
	fake_run(fake, (pl_ms_t)g_rand_int_range(fake->rand, 10, 3000));
}

/* Restarts all members in one group, in which they know each other. */
static void restart_all_(fake_t *fake)
{
	fake_freeze(fake, false);
	fake_set_down(fake, false);
	for (size_t i = 0; i < fake->count; i++)
		fake->nodes[i].group = 0;
	for (size_t i = 0; i < fake->count; i++) {
		if (fake->nodes[i].sync)
			fake_stop(fake, i);
		fake_start(fake, i);
		fake_run(fake, 100);
	}
}

static void random_interleavings_never_revert(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		model_t model;
		fake_t *fake = start_fleet_(seed, 9, &model);
		pl_problems_t *problems = pl_problems_new("d");
		pl_document_t *expected = NULL;
		char *text;

		for (int i = 0; i < 80; i++)
			random_step_(fake, &model);
		restart_all_(fake);
		model.deadline[0] += 1000;
		apply_model_(fake, &model);
		fake_run(fake, IN_FORCE_MS);
		text = model_text(&model);
		assert_int_equal(pl_document_parse(text, strlen(text), 1,
						   &expected, problems),
				 PL_OK);
		for (size_t i = 0; i < fake->count; i++) {
			node_t *node = &fake->nodes[i];

			if (node->revision != fake->revision || node->reverts)
				fail_msg("seed %u: member %zu at %d of %d",
					 seed, i, (int)node->revision,
					 (int)fake->revision);
			assert_int_equal(
				pl_document_hash(
					pl_config_sync_document(node->sync)),
				pl_document_hash(expected));
		}
		g_free(text);
		pl_document_put(expected);
		pl_problems_delete(problems);
		fake_delete(fake);
	}
}

static void pulls_of_one_member_are_bounded(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(6, 40, &model);
	GByteArray *body = g_byte_array_new();
	pl_config_sync_stats_t stats;
	pl_peer_frame_t pull = { .type = PL_PEER_CONFIG_PULL };
	size_t before = fake->nodes[0].frame_bytes_out;

	(void)state;
	pl_config_encode_pull(0, body);
	pull.body = body->data;
	pull.body_len = body->len;
	for (int i = 0; i < 100000; i++) {
		pull.peer = 2 + (pl_member_id_t)i % 39;
		pl_config_sync_frame(fake->nodes[0].sync, &pull);
		if (i % 100 == 0)
			fake_run(fake, 10);
	}
	pl_config_sync_stats(fake->nodes[0].sync, &stats);
	assert_true(stats.served > 0 && stats.busy > stats.served);
	/* the burst, the rate of ten seconds, and short refusals */
	assert_true(fake->nodes[0].frame_bytes_out - before <
		    512 * 1024 + 10 * 4000 + 100000 * 50);
	g_byte_array_free(body, TRUE);
	fake_delete(fake);
}

static pl_document_t *parse_model_(const model_t *model, uint64_t revision)
{
	pl_problems_t *problems = pl_problems_new("d");
	pl_document_t *document = NULL;
	char *text = model_text(model);

	assert_int_equal(pl_document_parse(text, strlen(text), revision,
					   &document, problems),
			 PL_OK);
	pl_problems_delete(problems);
	g_free(text);
	return document;
}

/* Updates @p to from @p from, if necessary with the whole document; returns
 * whether the changed sections were enough. */
static bool transfer_document_(const pl_config_replica_t *from,
			       pl_config_replica_t *to)
{
	uint64_t have = pl_config_replica_revision(to);
	GByteArray *body = g_byte_array_new();
	pl_config_push_t push;
	pl_result_t result;
	bool sufficient;

	pl_config_replica_encode_push(from, have, body);
	assert_int_equal(pl_config_decode_push(body->data, body->len, &push),
			 PL_OK);
	result = pl_config_replica_apply_push(to, &push, NULL);
	pl_config_push_finish(&push);
	sufficient = result == PL_OK;
	if (!sufficient) {
		assert_int_equal(result, PL_ERR_CONFLICT);
		assert_int_equal(pl_config_replica_revision(to), have);
		g_byte_array_set_size(body, 0);
		pl_config_replica_encode_push(from, 0, body);
		pl_config_decode_push(body->data, body->len, &push);
		assert_int_equal(pl_config_replica_apply_push(to, &push, NULL),
				 PL_OK);
		pl_config_push_finish(&push);
	}
	g_byte_array_free(body, TRUE);
	return sufficient;
}

static void changed_sections_yield_the_whole_document(void **state)
{
	enum { REPLICAS = 5 };
	GRand *rand = g_rand_new_with_seed(7);
	pl_config_replica_t *replicas[REPLICAS];
	unsigned int by_sections = 0;
	unsigned int full = 0;
	model_t model;

	(void)state;
	model_init(&model, 12, 3);
	for (int i = 0; i < REPLICAS; i++)
		replicas[i] = pl_config_replica_new();
	for (uint64_t revision = 1; revision < 2000; revision++) {
		pl_document_t *document;
		pl_config_replica_t *to;

		model_edit(&model, rand);
		document = parse_model_(&model, revision);
		/* one replica reads the platform, another one pulls from it */
		int reader = g_rand_int_range(rand, 0, REPLICAS);

		pl_config_replica_replace(replicas[reader], document);
		to = replicas[(reader + g_rand_int_range(rand, 1, REPLICAS)) %
			      REPLICAS];
		if (transfer_document_(replicas[reader], to))
			by_sections++;
		else
			full++;
		assert_int_equal(pl_config_replica_revision(to), revision);
		assert_int_equal(
			pl_document_hash(pl_config_replica_document(to)),
			pl_document_hash(document));
		pl_document_put(document);
	}
	/* the hash detects a reverted change that a replica skipped */
	assert_true(by_sections > 5 * full);
	assert_true(full > 0);
	for (int i = 0; i < REPLICAS; i++)
		pl_config_replica_delete(replicas[i]);
	g_rand_free(rand);
}

static void mutated_frames_are_refused(void **state)
{
	model_t model;
	fake_t *fake = start_fleet_(8, 3, &model);
	pl_config_replica_t *replica = pl_config_replica_new();
	GByteArray *body = g_byte_array_new();
	pl_document_t *document;

	(void)state;
	model.deadline[0] = 0;
	model.deadline[1]++;
	document = parse_model_(&model, 2);
	pl_config_replica_replace(replica,
				  pl_config_sync_document(fake->nodes[0].sync));
	pl_config_replica_replace(replica, document);
	pl_config_replica_encode_push(replica, 1, body);
	for (int i = 0; i < 20000; i++) {
		guint8 *bytes = g_memdup2(body->data, body->len);
		guint at = (guint)g_rand_int_range(fake->rand, 0,
						   (gint32)body->len);
		const pl_peer_frame_t frame = {
			.peer = 2,
			.type = i % 8 ? PL_PEER_CONFIG_PUSH :
					PL_PEER_CONFIG_PULL,
			.body = bytes,
			.body_len = i % 4 ? body->len : at,
		};

		bytes[at] ^= (guint8)(1 << g_rand_int_range(fake->rand, 0, 8));
		pl_config_sync_frame(fake->nodes[0].sync, &frame);
		g_free(bytes);
	}
	assert_int_equal(fake->nodes[0].reverts, 0);
	pl_document_put(document);
	pl_config_replica_delete(replica);
	g_byte_array_free(body, TRUE);
	fake_delete(fake);
}

/* Longest time by which a member lacks a revision that was written; members
 * that hold the newest one lack none. */
static pl_ms_t time_behind_(const fake_t *fake, const pl_ms_t *written_at)
{
	pl_ms_t longest = 0;

	for (size_t i = 0; i < fake->count; i++) {
		uint64_t revision = fake->nodes[i].revision;

		if (revision < fake->revision)
			longest = MAX(longest,
				      fake->now - written_at[revision + 1]);
	}
	return longest;
}

/* Guards against members that stayed behind by up to half a minute: large
 * changes in quick succession use up what all peers may send. */
static void members_that_cannot_pull_read_the_platform_in_time(void **state)
{
	enum { CHANGES = 50, CHANGE_MS = 330, STEP_MS = 30, SERVICES = 20 };
	pl_ms_t written_at[CHANGES + 3] = { 0 };
	pl_ms_t longest = 0;
	fake_t *fake = fake_new(5, 18, 3);
	unsigned int calls;
	model_t model;

	(void)state;
	fake->behind_max_ms = 1000;
	model_init(&model, SERVICES, MODEL_ADDRESSES_MAX);
	apply_model_(fake, &model);
	for (size_t i = 0; i < fake->count; i++)
		fake_start(fake, i);
	fake_run(fake, 6000);
	calls = count_platform_calls_(fake);
	for (int i = 0; i < CHANGES; i++) {
		/* every section changes */
		for (size_t k = 0; k < SERVICES; k++)
			model.deadline[k]++;
		apply_model_(fake, &model);
		written_at[fake->revision] = fake->now;
		for (int t = 0; t < CHANGE_MS; t += STEP_MS) {
			fake_run(fake, STEP_MS);
			longest = MAX(longest, time_behind_(fake, written_at));
		}
	}
	assert_in_range(longest, 1, IN_FORCE_MS);
	fake_run(fake, IN_FORCE_MS);
	assert_true(fake_all_at(fake, fake->revision));
	/* one read a second of each of 12 members that do not watch, and the
	 * watches */
	calls = count_platform_calls_(fake) - calls;
	assert_in_range(calls, 1,
			12 * (CHANGES * CHANGE_MS + IN_FORCE_MS) / 1000 +
				6 * (CHANGES + 1) * 2);
	fake_delete(fake);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			change_reaches_all_members_within_four_seconds),
		cmocka_unit_test(platform_outage_causes_few_calls_and_no_delay),
		cmocka_unit_test(starting_member_adopts_the_newest_offer),
		cmocka_unit_test(
			change_spreads_when_the_platform_refuses_watchers),
		cmocka_unit_test(change_after_a_restore_is_in_force_in_time),
		cmocka_unit_test(
			replicas_restore_the_document_during_a_platform_outage),
		cmocka_unit_test(
			skipped_and_reverted_change_causes_a_full_pull),
		cmocka_unit_test(older_platform_document_reverts_no_member),
		cmocka_unit_test(older_frame_is_ignored),
		cmocka_unit_test(invalid_document_is_not_put_in_force),
		cmocka_unit_test(random_interleavings_never_revert),
		cmocka_unit_test(invalid_document_after_a_restore_is_reported),
		cmocka_unit_test(pulls_of_one_member_are_bounded),
		cmocka_unit_test(
			members_that_cannot_pull_read_the_platform_in_time),
		cmocka_unit_test(changed_sections_yield_the_whole_document),
		cmocka_unit_test(mutated_frames_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
