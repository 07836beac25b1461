/**
 * @file
 * Resets that the soak of flows allows.
 */
#include "flow_soak.h"

#include <stdio.h>

/** An agent of which no member has a record counts as absent after this time
 * without an answer. */
#define ABSENT_AFTER_MS 1500

/* Whether the agent of server @p index may count as absent although its server
 * lives: it has been stopped since before it answered anybody, and all other
 * processes were restarted, so that none has a record of it. This is the one
 * exception in docs/design/platform.md, "Proof that a flow is dead". */
static bool may_be_absent_(const soak_t *soak, int index)
{
	const soak_node_t *node = &soak->nodes[soak->entries + index];

	return soak->all_killed && !node->answered && node->resume_at != 0 &&
	       soak->world->now - node->frozen_at >= ABSENT_AFTER_MS;
}

void soak_check_resets(soak_t *soak)
{
	for (int i = 0; i < soak->agents; i++) {
		server_t *server = &soak->world->servers[i];

		if (server->false_resets == 0)
			continue;
		if (may_be_absent_(soak, i))
			printf("at %" G_GUINT64_FORMAT " ms: %" G_GUINT64_FORMAT
			       " flows of server %d reset, whose agent no "
			       "member has known since all were restarted\n",
			       soak->world->now, server->false_resets, i);
		else
			soak_report_breach(
				soak,
				"%" G_GUINT64_FORMAT
				" flows were reset while server %d held them",
				server->false_resets, i);
		server->false_resets = 0;
	}
	soak->world->false_resets = 0;
}
