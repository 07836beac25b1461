/**
 * @file
 * Builds the routing table from the document and the membership.
 */
#ifndef PIMENTOLIFT_DAEMON_ROUTING_BUILD_H
#define PIMENTOLIFT_DAEMON_ROUTING_BUILD_H

#include "private/node.h"

#include <pimentolift/document.h>

/**
 * Builds the table for @p document and the members at wall-clock time
 * @p unix_s. With @p all_services the table also has the endpoints of services
 * that the document does not name; they may hold flows of earlier revisions.
 *
 * @param ramping  set if an endpoint has not reached its full weight yet, so
 *                 that the table has to be built again soon
 */
pl_routing_t *pl_routing_build(const pl_document_t *document,
			       const pl_member_table_t *members,
			       uint32_t unix_s, bool all_services,
			       bool *ramping);

/** Builds a table of endpoints without services' names and addresses, for an
 * entry that has no configuration yet. */
pl_routing_t *pl_routing_build_unconfigured(const pl_member_table_t *members);

/** Lists the live entries. */
pl_entry_list_t *pl_entry_list_build(const pl_member_table_t *members);

#endif
