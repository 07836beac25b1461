/**
 * @file
 * @defgroup fault Fault injection: cut links
 *
 * Simulates a network partition for failure tests: a list of members with
 * which this process exchanges no messages. The list can be set through the
 * admin port when the settings have allow_faults, and is empty otherwise.
 * @{
 */
#ifndef PIMENTOLIFT_FAULT_H
#define PIMENTOLIFT_FAULT_H

#include <pimentolift/addr.h>
#include <stdbool.h>

/** Replaces the list of members to which the link is cut. */
void pl_fault_cut(const pl_member_id_t *members, size_t count);

/** Whether the link to @p member is cut. */
bool pl_fault_is_cut(pl_member_id_t member);

/** Whether the link to the IPv4 address @p addr is cut. */
bool pl_fault_is_cut_addr(const pl_addr_t *addr);

#endif
/** @} */
