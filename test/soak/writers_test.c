#include "flow_soak.h"

static unsigned int breaches_;

void soak_report_breach(soak_t *soak, const char *format, ...)
{
	(void)soak;
	(void)format;
	breaches_++;
}

void soak_send_report(soak_t *soak, soak_node_t *node, const char *id)
{
	(void)soak;
	(void)node;
	(void)id;
}

/* Breaches reported by a write, before which the store gets @p command. */
static unsigned int write_after_(const char *command)
{
	soak_t soak = { .store = pl_store_new(0),
			.random = g_rand_new_with_seed(1),
			.target = WORLD_SERVICE };

	assert_non_null(soak.store);
	assert_true(pl_store_command(soak.store, command));
	breaches_ = 0;
	soak_store_foreign_entry(&soak);
	pl_store_delete(soak.store);
	g_rand_free(soak.random);
	return breaches_;
}

/* A write without an answer may have taken effect. */
static void lost_answer_is_no_refusal(void **state)
{
	(void)state;
	assert_int_equal(write_after_("lose-answers 1"), 0);
	assert_int_equal(write_after_("lose-writes 2"), 0);
}

static void store_that_never_answers_is_reported(void **state)
{
	(void)state;
	assert_int_equal(write_after_("lose-answers 100"), 1);
	assert_int_equal(write_after_("down"), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lost_answer_is_no_refusal),
		cmocka_unit_test(store_that_never_answers_is_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
