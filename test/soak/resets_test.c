#include "flow_soak.h"

#define ENTRIES 2
#define AGENTS 3
#define SERVER 1
#define FROZEN_AT 20000

static unsigned int breaches_;

void soak_report_breach(soak_t *soak, const char *format, ...)
{
	(void)soak;
	(void)format;
	breaches_++;
}

/* An agent is stopped before it has answered anybody, after all processes were
 * restarted, and @p ms later flows of its server are reset. */
typedef struct {
	pl_ms_t ms;
	bool answered;
	bool not_all_killed;
	bool resumed;
} case_t;

static unsigned int count_breaches_(const case_t *at)
{
	world_t *world = world_new(0, AGENTS, 1);
	soak_t *soak = g_new0(soak_t, 1);
	soak_node_t *node = &soak->nodes[ENTRIES + SERVER];
	unsigned int breaches;

	soak->world = world;
	soak->entries = ENTRIES;
	soak->agents = AGENTS;
	soak->all_killed = !at->not_all_killed;
	node->answered = at->answered;
	node->frozen_at = FROZEN_AT;
	node->resume_at = at->resumed ? 0 : FROZEN_AT + 3000;
	world->now = FROZEN_AT + at->ms;
	world->servers[SERVER].false_resets = 2;
	world->false_resets = 2;
	breaches_ = 0;
	soak_check_resets(soak);
	breaches = breaches_;
	soak_check_resets(soak);
	assert_int_equal(breaches_, breaches);
	g_free(soak);
	world_delete(world);
	return breaches;
}

static void agent_that_no_member_knew_may_be_absent(void **state)
{
	(void)state;
	assert_int_equal(count_breaches_(&(case_t){ .ms = 1500 }), 0);
}

static void other_resets_are_breaches(void **state)
{
	const case_t cases[] = {
		{ .ms = 1499 },
		{ .ms = 2000, .answered = true },
		{ .ms = 2000, .not_all_killed = true },
		{ .ms = 2000, .resumed = true },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(count_breaches_(&cases[i]), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(agent_that_no_member_knew_may_be_absent),
		cmocka_unit_test(other_resets_are_breaches),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
