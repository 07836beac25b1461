#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/gossip.h>
#include <string.h>

/** Mutated messages tried, and the seed of the mutations. */
#define MUTATIONS 200000
#define MUTATION_SEED 4711

typedef struct {
	pl_key_t key;
	pl_gossip_decoder_t *decoder;
	pl_gossip_record_t records[3];
	pl_gossip_digest_t digest;
	pl_gossip_message_t message;
} fixture_t;

static int set_up_(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	pl_key_derive("a secret of the codec test", "test", PL_KEY_GOSSIP,
		      &fixture->key);
	fixture->decoder = pl_gossip_decoder_new(&fixture->key);
	fixture->records[0] = (pl_gossip_record_t){
		.id = 0x0a0000011b58,
		.incarnation = 1700000007,
		.state = PL_MEMBER_ALIVE,
		.role = PL_MEMBER_AGENT,
		.full = true,
		.boot = 0x123456789abcdef0,
		.datacentre = 77,
		.started_s = 1700000000,
		.attr = { .service = 0xfedcba9876543210,
			  .endpoint = PL_ENDPOINT_DRAINING,
			  .slots = 5,
			  .serving_since_s = 1700000004 },
		.name = "agent-1",
		.name_len = 7,
		.datacentre_name = "gent",
		.datacentre_name_len = 4,
	};
	fixture->records[1] = fixture->records[0];
	fixture->records[1].name = NULL;
	fixture->records[1].datacentre_name = NULL;
	/* start after the incarnation: the wall clock was set back */
	fixture->records[1].started_s = 1700000100;
	fixture->records[2] = (pl_gossip_record_t){ .id = 9,
						    .incarnation = 3,
						    .state = PL_MEMBER_LEFT };
	fixture->digest.datacentre = 77;
	fixture->digest.hash = 42;
	fixture->digest.buckets[31] = 0xdeadbeef;
	fixture->message = (pl_gossip_message_t){
		.type = PL_GOSSIP_PING,
		.flags = PL_GOSSIP_WANT_NAMES,
		.sender = 0x0a0000021b58,
		.incarnation = 1700000001,
		.revision = 12,
		.store_generation = 300,
		.evacuations = { .generation = 300,
				 .revision = 4711,
				 .count = 2,
				 .datacentres = { 77, 0xfedcba9876543210 } },
		.sequence = 99,
		.target = 5,
		.records = fixture->records,
		.record_count = 3,
	};
	*state = fixture;
	return 0;
}

static int tear_down_(void **state)
{
	fixture_t *fixture = *state;

	pl_gossip_decoder_delete(fixture->decoder);
	g_free(fixture);
	return 0;
}

static void assert_record_(const pl_gossip_record_t *got,
			   const pl_gossip_record_t *want)
{
	assert_int_equal(got->id, want->id);
	assert_int_equal(got->incarnation, want->incarnation);
	assert_int_equal(got->state, want->state);
	assert_int_equal(got->role, want->role);
	assert_int_equal(got->full, want->full);
	assert_int_equal(got->boot, want->boot);
	assert_int_equal(got->datacentre, want->datacentre);
	assert_int_equal(got->started_s, want->started_s);
	assert_memory_equal(&got->attr, &want->attr, sizeof(want->attr));
}

static void datagram_round_trip(void **state)
{
	fixture_t *fixture = *state;
	const pl_gossip_message_t *want = &fixture->message;
	pl_gossip_message_t got;
	uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
	size_t len = pl_gossip_encode(&fixture->key, want, buf, sizeof(buf));

	assert_int_equal(buf[2], PL_GOSSIP_PING); /* type at its fixed offset */
	assert_int_equal(pl_gossip_decode(fixture->decoder, buf, len, &got),
			 PL_OK);
	assert_int_equal(got.flags, want->flags);
	assert_int_equal(got.sender, want->sender);
	assert_int_equal(got.incarnation, want->incarnation);
	assert_int_equal(got.revision, want->revision);
	assert_int_equal(got.store_generation, want->store_generation);
	assert_int_equal(got.sequence, want->sequence);
	assert_int_equal(got.target, want->target);
	assert_int_equal(got.record_count, 3);
	for (size_t i = 0; i < 3; i++)
		assert_record_(&got.records[i], &want->records[i]);
	assert_memory_equal(got.records[0].name, "agent-1", 7);
	assert_memory_equal(got.records[0].datacentre_name, "gent", 4);
	assert_null(got.records[1].name);
}

static pl_gossip_message_t recode_(fixture_t *fixture)
{
	pl_gossip_message_t got;
	uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
	size_t len = pl_gossip_encode(&fixture->key, &fixture->message, buf,
				      sizeof(buf));

	assert_int_equal(pl_gossip_decode(fixture->decoder, buf, len, &got),
			 PL_OK);
	return got;
}

/* The last two elements are optional: a datagram without them is as short as
 * before there were evacuations. */
static void evacuations_and_generation_are_optional(void **state)
{
	fixture_t *fixture = *state;
	const pl_evacuations_t stated = fixture->message.evacuations;
	pl_gossip_message_t got = recode_(fixture);

	assert_int_equal(got.evacuations.generation, 300);
	assert_int_equal(got.evacuations.revision, 4711);
	assert_true(pl_evacuations_same(&got.evacuations, &stated));
	fixture->message.store_generation = 0;
	got = recode_(fixture);
	assert_int_equal(got.store_generation, 0);
	assert_int_equal(got.evacuations.revision, 4711);
	fixture->message.evacuations = (pl_evacuations_t){ 0 };
	fixture->message.store_generation = 300;
	got = recode_(fixture);
	assert_int_equal(got.evacuations.revision, 0);
	assert_int_equal(got.store_generation, 300);
}

static void digest_round_trip(void **state)
{
	fixture_t *fixture = *state;
	pl_gossip_message_t got;
	uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
	size_t len;

	fixture->message.digests = &fixture->digest;
	fixture->message.digest_count = 1;
	fixture->message.type = PL_GOSSIP_DIGEST;
	len = pl_gossip_encode(&fixture->key, &fixture->message, buf,
			       sizeof(buf));
	assert_int_equal(pl_gossip_decode(fixture->decoder, buf, len, &got),
			 PL_OK);
	assert_int_equal(got.digests[0].hash, 42);
	fixture->message.type = PL_GOSSIP_BUCKET_DIGEST;
	len = pl_gossip_encode(&fixture->key, &fixture->message, buf,
			       sizeof(buf));
	assert_int_equal(pl_gossip_decode(fixture->decoder, buf, len, &got),
			 PL_OK);
	assert_int_equal(got.digests[0].buckets[31], 0xdeadbeef);
}

static void frame_round_trip(void **state)
{
	fixture_t *fixture = *state;
	const pl_gossip_pull_t pull = { .datacentre = 77, .mask = 0x80000001 };
	const pl_gossip_frame_t want = { .pulls = &pull,
					 .pull_count = 1,
					 .records = fixture->records,
					 .record_count = 3,
					 .last = true };
	pl_gossip_frame_t got;
	size_t len;
	uint8_t *body = pl_gossip_encode_frame(&want, &len);

	assert_int_equal(
		pl_gossip_decode_frame(fixture->decoder, body, len, &got),
		PL_OK);
	assert_true(got.last);
	assert_int_equal(got.pull_count, 1);
	assert_int_equal(got.pulls[0].mask, pull.mask);
	assert_int_equal(got.record_count, 3);
	assert_record_(&got.records[0], &fixture->records[0]);
	g_free(body);
}

static void wrong_mac_and_version_are_rejected(void **state)
{
	fixture_t *fixture = *state;
	pl_gossip_message_t got;
	uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
	size_t len = pl_gossip_encode(&fixture->key, &fixture->message, buf,
				      sizeof(buf));

	buf[20] ^= 1;
	assert_int_equal(pl_gossip_decode(fixture->decoder, buf, len, &got),
			 PL_ERR_AUTH);
	buf[20] ^= 1;
	buf[1] = PL_WIRE_VERSION + 1;
	pl_mac(&fixture->key, buf, len - PL_MAC_BYTES,
	       buf + len - PL_MAC_BYTES);
	assert_int_equal(pl_gossip_decode(fixture->decoder, buf, len, &got),
			 PL_ERR_VERSION);
	assert_int_equal(pl_gossip_decode(fixture->decoder, buf, 10, &got),
			 PL_ERR_MALFORMED);
}

/* Decodes messages with random bytes and lengths under a valid MAC. The decoder
 * must not crash, and may return only states and roles in range. */
static void mutated_messages_do_not_crash(void **state)
{
	fixture_t *fixture = *state;
	GRand *rand = g_rand_new_with_seed(MUTATION_SEED);
	uint8_t original[PL_MEMBER_DATAGRAM_MAX];
	size_t original_len = pl_gossip_encode(&fixture->key, &fixture->message,
					       original, sizeof(original)) -
			      PL_MAC_BYTES;
	size_t accepted = 0;

	for (int i = 0; i < MUTATIONS; i++) {
		uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
		pl_gossip_message_t got;
		size_t len = original_len;

		memcpy(buf, original, original_len);
		for (int j = g_rand_int_range(rand, 0, 4); j >= 0; j--)
			buf[g_rand_int_range(rand, 0, (gint32)len)] =
				(uint8_t)g_rand_int(rand);
		if (i % 4 == 0)
			len = (size_t)g_rand_int_range(rand, 1, (gint32)len);
		pl_mac(&fixture->key, buf, len, buf + len);
		if (pl_gossip_decode(fixture->decoder, buf, len + PL_MAC_BYTES,
				     &got) != PL_OK)
			continue;
		accepted++;
		for (size_t j = 0; j < got.record_count; j++) {
			assert_in_range(got.records[j].state, 0,
					PL_MEMBER_STATE_COUNT - 1);
			assert_in_range(got.records[j].role, 0,
					PL_MEMBER_ROLE_COUNT - 1);
		}
	}
	assert_in_range(accepted, 1, MUTATIONS - 1);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(datagram_round_trip, set_up_,
						tear_down_),
		cmocka_unit_test_setup_teardown(
			evacuations_and_generation_are_optional, set_up_,
			tear_down_),
		cmocka_unit_test_setup_teardown(digest_round_trip, set_up_,
						tear_down_),
		cmocka_unit_test_setup_teardown(frame_round_trip, set_up_,
						tear_down_),
		cmocka_unit_test_setup_teardown(
			wrong_mac_and_version_are_rejected, set_up_,
			tear_down_),
		cmocka_unit_test_setup_teardown(mutated_messages_do_not_crash,
						set_up_, tear_down_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
