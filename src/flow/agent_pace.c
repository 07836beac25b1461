/**
 * @file
 * Pace of the backend server: how much work it may be given now.
 */
#include "private/agent_private.h"

uint32_t pl_flow_pace_slots_(const pl_flow_agent_t *agent)
{
	return agent->load.slots;
}
