/**
 * @file
 * Tests that the comparison of records detects each kind of breach.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "lab.h"

#include <glib/gstdio.h>
#include <string.h>

#define OUTCOME(kind, id, result, code) \
	kind " " id " " result " " code " permit-desk applications 100 200\n"
#define RUN(id) id " permit-desk permit-desk-1 150\n"

static void write_record_(const lab_t *lab, const char *name, const char *text)
{
	char *path = g_build_filename(lab->dir, name, NULL);

	assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(path);
}

static void remove_record_(const lab_t *lab, const char *name)
{
	char *path = g_build_filename(lab->dir, name, NULL);

	g_unlink(path);
	g_free(path);
}

static injection_t *drain_; /* drain during the recorded operations, or NULL */

/* Counts the breaches of @p guarantee in a pair of records. */
static uint64_t count_breaches_(guarantee_t guarantee, const char *outcomes,
				const char *runs)
{
	lab_t lab = {
		.dir = g_dir_make_tmp("pimentolift-XXXXXX", NULL),
		.injections = g_ptr_array_new(),
		.trace = g_ptr_array_new(),
		.breach_texts = g_ptr_array_new_with_free_func(g_free),
	};

	if (drain_)
		g_ptr_array_add(lab.injections, drain_);
	write_record_(&lab, "told", outcomes);
	write_record_(&lab, "runs", runs);
	lab.check_counts[GUARANTEE_VIEWS] = 1;
	check_records(&lab);
	remove_record_(&lab, "told");
	remove_record_(&lab, "runs");
	g_rmdir(lab.dir);
	g_free(lab.dir);
	g_ptr_array_free(lab.injections, TRUE);
	g_ptr_array_free(lab.trace, TRUE);
	g_ptr_array_free(lab.breach_texts, TRUE);
	return lab.breaches[guarantee];
}

static void test_consistent_records_have_no_breach_(void **state)
{
	static const char outcomes[] = OUTCOME("post", "a", "answered", "2.01")
		OUTCOME("post", "b", "refused", "5.03");

	for (int p = 0; p < GUARANTEE_COUNT; p++)
		assert_int_equal(
			count_breaches_((guarantee_t)p, outcomes, RUN("a")), 0);
}

/* Counts the breaches for an upload that started at @p start and ran at a
 * draining server. */
static uint64_t upload_breaches_(const char *start)
{
	node_t node = { .name = "permit-desk-1" };
	injection_t drain = {
		.name = "drain", .node = &node, .start_ms = 1000, .end_ms = 9000
	};
	char *outcomes = g_strdup_printf(
		"upload a answered 2.01 permit-desk uploads %s 8100\n", start);
	uint64_t found;

	drain_ = &drain;
	found = count_breaches_(GUARANTEE_DRAINING, outcomes,
				"a permit-desk permit-desk-1 8000\n");
	drain_ = NULL;
	g_free(outcomes);
	return found;
}

static void test_upload_started_during_drain_is_a_breach_(void **state)
{
	assert_int_equal(upload_breaches_("900"), 0);
	assert_int_equal(upload_breaches_("4001"), 1);
}

static void test_operation_run_twice_is_a_breach_(void **state)
{
	assert_int_equal(
		count_breaches_(GUARANTEE_AT_MOST_ONCE,
				OUTCOME("post", "a", "answered", "2.01"),
				RUN("a") RUN("a")),
		1);
}

static void test_refused_operation_that_ran_is_a_breach_(void **state)
{
	assert_int_equal(
		count_breaches_(GUARANTEE_NOT_RUN,
				OUTCOME("post", "a", "refused", "5.03"),
				RUN("a")),
		1);
}

static void test_answer_without_a_run_is_a_breach_(void **state)
{
	assert_int_equal(
		count_breaches_(GUARANTEE_WHOLE_ANSWER,
				OUTCOME("post", "a", "answered", "2.01"),
				RUN("b")),
		1);
}

static void test_run_at_another_service_is_a_breach_(void **state)
{
	assert_int_equal(
		count_breaches_(GUARANTEE_ISOLATION,
				OUTCOME("post", "a", "answered", "2.01"),
				"a meter-records meter-records-1 150\n"),
		1);
}

static void test_unknown_outcome_without_fault_is_a_breach_(void **state)
{
	assert_int_equal(
		count_breaches_(GUARANTEE_WHOLE_ANSWER,
				OUTCOME("post", "a", "unknown", "5.04"),
				RUN("a")),
		1);
}

static void test_empty_records_are_a_breach_(void **state)
{
	assert_int_equal(count_breaches_(GUARANTEE_WHOLE_ANSWER, "", ""), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_consistent_records_have_no_breach_),
		cmocka_unit_test(test_upload_started_during_drain_is_a_breach_),
		cmocka_unit_test(test_operation_run_twice_is_a_breach_),
		cmocka_unit_test(test_refused_operation_that_ran_is_a_breach_),
		cmocka_unit_test(test_answer_without_a_run_is_a_breach_),
		cmocka_unit_test(test_run_at_another_service_is_a_breach_),
		cmocka_unit_test(
			test_unknown_outcome_without_fault_is_a_breach_),
		cmocka_unit_test(test_empty_records_are_a_breach_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
