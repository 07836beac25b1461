#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <msgpack.h>
#include <pimentolift/view_codec.h>
#include <string.h>

#define MUTATIONS 200000

static void fill_message_(pl_view_message_t *message)
{
	const pl_addr_t v4 = { .ip = { 192, 0, 2, 7 },
			       .port = 5683,
			       .family = PL_ADDR_IPV4 };
	const pl_addr_t v6 = { .ip = { 0x20, 0x01, 0x0d, 0xb8, [15] = 9 },
			       .port = 40000,
			       .family = PL_ADDR_IPV6 };
	const uint8_t token[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
	pl_view_record_t record = { .address = v4,
				    .path = "permits/7",
				    .query = "depot=3",
				    .accept = -1,
				    .sequence = 0xabcdef,
				    .mid = 0x8001,
				    .szx = 6,
				    .pending = true,
				    .etag = UINT64_MAX,
				    .entry = 77 };
	pl_view_claim_t claim = { .owner = 5, .sequence = 9, .release = true };

	pl_view_message_init(message);
	message->boot = 11;
	message->service = 12;
	message->offer = 13;
	pl_view_key_set(&record.key, &v6, token, sizeof(token));
	g_array_append_val(message->records, record);
	pl_view_key_set(&record.key, &v4, token, 0);
	record.accept = 60;
	g_array_append_val(message->records, record);
	claim.key = record.key;
	g_array_append_val(message->claims, claim);
}

static void check_record_(const pl_view_record_t *a, const pl_view_record_t *b)
{
	assert_memory_equal(&a->key, &b->key, sizeof(a->key));
	assert_true(pl_addr_equal(&a->address, &b->address));
	assert_string_equal(a->path, b->path);
	assert_string_equal(a->query, b->query);
	assert_int_equal(a->accept, b->accept);
	assert_int_equal(a->sequence, b->sequence);
	assert_int_equal(a->mid, b->mid);
	assert_int_equal(a->szx, b->szx);
	assert_int_equal(a->pending, b->pending);
	assert_int_equal(a->etag, b->etag);
	assert_int_equal(a->entry, b->entry);
}

static void encode_decode_round_trip(void **state)
{
	pl_view_message_t sent;
	pl_view_message_t got;
	GByteArray *body;

	fill_message_(&sent);
	body = pl_view_message_encode(&sent, PL_PEER_VIEW_OFFER);
	pl_view_message_init(&got);
	assert_int_equal(pl_view_message_decode(&got, PL_PEER_VIEW_OFFER,
						body->data, body->len),
			 PL_OK);
	assert_int_equal(got.boot, 11);
	assert_int_equal(got.service, 12);
	assert_int_equal(got.offer, 13);
	assert_int_equal(got.records->len, 2);
	for (guint i = 0; i < 2; i++)
		check_record_(&g_array_index(sent.records, pl_view_record_t, i),
			      &g_array_index(got.records, pl_view_record_t, i));
	pl_view_message_finish(&got);
	g_byte_array_unref(body);

	body = pl_view_message_encode(&sent, PL_PEER_VIEW_FORGET);
	pl_view_message_init(&got);
	assert_int_equal(pl_view_message_decode(&got, PL_PEER_VIEW_FORGET,
						body->data, body->len),
			 PL_OK);
	assert_int_equal(got.claims->len, 1);
	assert_int_equal(g_array_index(got.claims, pl_view_claim_t, 0).owner,
			 5);
	assert_true(g_array_index(got.claims, pl_view_claim_t, 0).release);
	pl_view_message_finish(&got);
	g_byte_array_unref(body);
	pl_view_message_finish(&sent);
}

/* Packs [version, 1, 2, 3, [[key, token, 5, 9, 0, extra]], extra]. */
static void pack_later_release_(msgpack_sbuffer *buffer, uint8_t version)
{
	msgpack_packer packer;

	msgpack_sbuffer_init(buffer);
	msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 6);
	msgpack_pack_uint8(&packer, version);
	msgpack_pack_uint8(&packer, 1);
	msgpack_pack_uint8(&packer, 2);
	msgpack_pack_uint8(&packer, 3);
	msgpack_pack_array(&packer, 1);
	msgpack_pack_array(&packer, 6);
	msgpack_pack_bin(&packer, 6);
	msgpack_pack_bin_body(&packer, "\300\0\2\1\0\7", 6);
	msgpack_pack_bin(&packer, 1);
	msgpack_pack_bin_body(&packer, "t", 1);
	msgpack_pack_uint8(&packer, 5);
	msgpack_pack_uint8(&packer, 9);
	msgpack_pack_uint8(&packer, 0);
	msgpack_pack_nil(&packer);
	msgpack_pack_nil(&packer);
}

static void appended_elements_are_ignored(void **state)
{
	msgpack_sbuffer buffer;
	pl_view_message_t got;

	pack_later_release_(&buffer, PL_VIEW_CODEC_VERSION);
	pl_view_message_init(&got);
	assert_int_equal(pl_view_message_decode(&got, PL_PEER_VIEW_FORGET,
						(const uint8_t *)buffer.data,
						buffer.size),
			 PL_OK);
	assert_int_equal(got.claims->len, 1);
	pl_view_message_finish(&got);
	msgpack_sbuffer_destroy(&buffer);

	pack_later_release_(&buffer, PL_VIEW_CODEC_VERSION + 1);
	pl_view_message_init(&got);
	assert_int_equal(pl_view_message_decode(&got, PL_PEER_VIEW_FORGET,
						(const uint8_t *)buffer.data,
						buffer.size),
			 PL_ERR_VERSION);
	pl_view_message_finish(&got);
	msgpack_sbuffer_destroy(&buffer);
}

/* Decoding corrupted bytes must be refused or give values in bounds. */
static void corrupted_bytes_decode_safely(void **state)
{
	GRand *rand = g_rand_new_with_seed(1);
	unsigned int refused = 0;
	pl_view_message_t sent;
	GByteArray *body;

	fill_message_(&sent);
	body = pl_view_message_encode(&sent, PL_PEER_VIEW_COPY);
	for (unsigned int i = 0; i < MUTATIONS; i++) {
		gint32 length =
			g_rand_int_range(rand, 0, (gint32)body->len) + 1;
		uint8_t *copy = g_memdup2(body->data, (gsize)length);
		pl_view_message_t got;

		copy[g_rand_int_range(rand, 0, length)] =
			(uint8_t)g_rand_int(rand);
		pl_view_message_init(&got);
		if (pl_view_message_decode(&got, PL_PEER_VIEW_COPY, copy,
					   (size_t)length) != PL_OK)
			refused++;
		for (guint k = 0; k < got.records->len; k++)
			assert_true(strlen(g_array_index(got.records,
							 pl_view_record_t, k)
						   .path) < PL_COAP_PATH_MAX);
		pl_view_message_finish(&got);
		g_free(copy);
	}
	assert_true(refused > MUTATIONS / 2);
	g_byte_array_unref(body);
	pl_view_message_finish(&sent);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(encode_decode_round_trip),
		cmocka_unit_test(appended_elements_are_ignored),
		cmocka_unit_test(corrupted_bytes_decode_safely),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
