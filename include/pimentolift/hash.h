/**
 * @file
 * @defgroup hash Hashes, keys and random identities
 *
 * xxHash places flows, SipHash-2-4 with a key of the fleet authenticates
 * messages and tickets. One secret in the settings is expanded into one key
 * per purpose, so that a code made for one purpose is worthless for another.
 * @{
 */
#ifndef PIMENTOLIFT_HASH_H
#define PIMENTOLIFT_HASH_H

#include <pimentolift/result.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Length of a key, in bytes. */
#define PL_KEY_BYTES 16

/** Length of a message authentication code, in bytes. */
#define PL_MAC_BYTES 16

/** Shortest secret taken from the settings, in bytes. */
#define PL_SECRET_MIN_BYTES 16

/** What a key is used for. */
typedef enum {
	PL_KEY_DATAGRAM = 1, /**< entry and agent datagrams */
	PL_KEY_GOSSIP = 2, /**< membership datagrams */
	PL_KEY_FRAME = 3, /**< TCP frames */
	PL_KEY_TICKET = 4, /**< tickets handed to callers */
} pl_key_purpose_t;

/** A key for one purpose. */
typedef struct {
	uint8_t bytes[PL_KEY_BYTES];
} pl_key_t;

/** Hash of @p length bytes at @p data, mixed with @p seed. */
uint64_t pl_hash(const void *data, size_t length, uint64_t seed);

/** Hash of a string without its terminator. */
uint64_t pl_hash_text(const char *text);

/**
 * Derives the key for @p purpose from the secret of the fleet. The name of
 * the environment goes into it, so that members of two environments that
 * share a secret by mistake do not understand one another.
 */
void pl_key_derive(const char *secret, const char *environment,
		   pl_key_purpose_t purpose, pl_key_t *key);

/** Code over @p length bytes at @p data. */
void pl_mac(const pl_key_t *key, const void *data, size_t length,
	    uint8_t mac[PL_MAC_BYTES]);

/** Compares the first @p length bytes of two codes in constant time. */
bool pl_mac_equal(const uint8_t *a, const uint8_t *b, size_t length);

/** Random number for identities, from the kernel; never zero. */
uint64_t pl_random_identity(void);

#endif
/** @} */
