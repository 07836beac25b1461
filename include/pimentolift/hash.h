/**
 * @file
 * @defgroup hash Hashes, keys and random identifiers
 *
 * xxHash distributes flows. SipHash-2-4 authenticates messages and tickets
 * with a key that all members share. The secret in the settings is expanded
 * into one key per purpose, so that a message authentication code (MAC) made
 * for one purpose is not valid for another.
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

/** Shortest secret that the settings may have, in bytes. */
#define PL_SECRET_MIN_BYTES 16

/** Purpose of a key; the value goes into the key derivation. */
typedef enum {
	PL_KEY_DATAGRAM = 1, /**< datagrams between entries and agents */
	PL_KEY_GOSSIP = 2, /**< membership datagrams */
	PL_KEY_FRAME = 3, /**< peer frames over TCP */
	PL_KEY_TICKET = 4, /**< tickets handed to callers */
} pl_key_purpose_t;

typedef struct {
	uint8_t bytes[PL_KEY_BYTES];
} pl_key_t;

/** Hash of @p length bytes at @p data, seeded with @p seed. */
uint64_t pl_hash(const void *data, size_t length, uint64_t seed);

/** Hash of a string without its terminating NUL, with seed 0. */
uint64_t pl_hash_text(const char *text);

/**
 * Derives the key for @p purpose from the secret that all members share. The
 * name of the environment goes into the key, so that members of two
 * environments that use the same secret by mistake reject each other's
 * messages.
 */
void pl_key_derive(const char *secret, const char *environment,
		   pl_key_purpose_t purpose, pl_key_t *key);

/** Computes the MAC of @p length bytes at @p data. */
void pl_mac(const pl_key_t *key, const void *data, size_t length,
	    uint8_t mac[PL_MAC_BYTES]);

/** Compares the first @p length bytes of two MACs in constant time. */
bool pl_mac_equal(const uint8_t *a, const uint8_t *b, size_t length);

/** Random identifier from the kernel's random generator; never zero. */
uint64_t pl_random_identity(void);

#endif
/** @} */
