#include <pimentolift/hash.h>

#include <assert.h>
#include <sodium.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

static_assert(PL_KEY_BYTES == crypto_shorthash_siphashx24_KEYBYTES,
	      "key length of SipHash");
static_assert(PL_MAC_BYTES == crypto_shorthash_siphashx24_BYTES,
	      "MAC length of SipHash with 128 bits");

uint64_t pl_hash(const void *data, size_t length, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, length, seed);
}

uint64_t pl_hash_text(const char *text)
{
	return pl_hash(text, strlen(text), 0);
}

void pl_key_derive(const char *secret, const char *environment,
		   pl_key_purpose_t purpose, pl_key_t *key)
{
	uint8_t digest[crypto_generichash_BYTES];
	uint8_t root[crypto_kdf_KEYBYTES];

	assert(strlen(secret) >= PL_SECRET_MIN_BYTES);
	crypto_generichash(digest, sizeof(digest), (const uint8_t *)secret,
			   strlen(secret), NULL, 0);
	crypto_generichash(root, sizeof(root), (const uint8_t *)environment,
			   strlen(environment), digest, sizeof(digest));
	crypto_kdf_derive_from_key(key->bytes, sizeof(key->bytes), purpose,
				   "pimento1", root);
	sodium_memzero(digest, sizeof(digest));
	sodium_memzero(root, sizeof(root));
}

void pl_mac(const pl_key_t *key, const void *data, size_t length,
	    uint8_t mac[PL_MAC_BYTES])
{
	crypto_shorthash_siphashx24(mac, data, length, key->bytes);
}

bool pl_mac_equal(const uint8_t *a, const uint8_t *b, size_t length)
{
	return sodium_memcmp(a, b, length) == 0;
}

uint64_t pl_random_identity(void)
{
	uint64_t value = 0;

	while (value == 0)
		randombytes_buf(&value, sizeof(value));
	return value;
}
