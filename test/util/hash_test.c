#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pimentolift/hash.h>
#include <string.h>

static pl_key_t derive_key_(const char *secret, const char *environment,
			    pl_key_purpose_t purpose)
{
	pl_key_t key;

	pl_key_derive(secret, environment, purpose, &key);
	return key;
}

static void key_differs_by_secret_environment_and_purpose(void **state)
{
	const pl_key_t keys[] = {
		derive_key_("one secret of a fleet", "trial", PL_KEY_GOSSIP),
		derive_key_("one secret of a fleet", "trial", PL_KEY_FRAME),
		derive_key_("one secret of a fleet", "production",
			    PL_KEY_GOSSIP),
		derive_key_("two secrets of a fleet", "trial", PL_KEY_GOSSIP),
	};
	const pl_key_t again =
		derive_key_("one secret of a fleet", "trial", PL_KEY_GOSSIP);

	(void)state;
	assert_memory_equal(&again, &keys[0], sizeof(again));
	for (int i = 0; i < 4; i++) {
		for (int k = 0; k < i; k++)
			assert_memory_not_equal(&keys[i], &keys[k],
						sizeof(keys[0]));
	}
}

static void mac_covers_every_byte(void **state)
{
	const pl_key_t key = derive_key_("one secret of a fleet", "trial", 1);
	uint8_t data[33] = { 0 };
	uint8_t first[PL_MAC_BYTES];
	uint8_t other[PL_MAC_BYTES];

	(void)state;
	pl_mac(&key, data, sizeof(data), first);
	for (size_t i = 0; i < sizeof(data); i++) {
		data[i] ^= 1;
		pl_mac(&key, data, sizeof(data), other);
		assert_false(pl_mac_equal(first, other, PL_MAC_BYTES));
		data[i] ^= 1;
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(key_differs_by_secret_environment_and_purpose),
		cmocka_unit_test(mac_covers_every_byte),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
