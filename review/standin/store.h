/** @file Stand-in of the platform's store. */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include <stdbool.h>
#include <stdint.h>

/** Prepares the store; first call. */
void store_init(void);
/** Listens at @p ip:@p port for the calls of one machine; returns its number,
 * or -1. */
int store_listen(const char *ip, uint16_t port);
/** The store turns the machine away (503) while it serves the others. */
void store_refuse(int machine, bool refuses);
/** Number of calls of the machine that were answered with 503. */
unsigned int store_refused(int machine);
/** Whether there is a key that contains @p part. */
bool store_has(const char *part);
/** Writes a key without a lease and returns the revision. */
uint64_t store_put(const char *key, const char *value);

#endif
