/**
 * @file
 * @defgroup fault Cut links for failure tests
 *
 * A list of members that this process must not talk to, set through the
 * admin port when the settings have allow_faults. It stands in for a network
 * that is cut; without the setting the list stays empty.
 * @{
 */
#ifndef PIMENTOLIFT_FAULT_H
#define PIMENTOLIFT_FAULT_H

#include <pimentolift/addr.h>
#include <stdbool.h>

/** Replaces the list of cut members. */
void pl_fault_cut(const pl_member_id_t *members, size_t count);

/** Whether the link to @p member is cut. */
bool pl_fault_is_cut(pl_member_id_t member);

/** Whether the link to the IPv4 address @p addr is cut. */
bool pl_fault_is_cut_addr(const pl_addr_t *addr);

#endif
/** @} */
