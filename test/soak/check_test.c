/**
 * @file
 * The comparison of records finds each breach that it is there to find.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "lab.h"

#include <glib/gstdio.h>
#include <string.h>

#define TOLD(kind, id, told, code) \
	kind " " id " " told " " code " permit-desk applications 100 200\n"
#define RUN(id) id " permit-desk permit-desk-1 150\n"

static void write_(const lab_t *lab, const char *name, const char *text)
{
	char *path = g_build_filename(lab->dir, name, NULL);

	assert_true(g_file_set_contents(path, text, -1, NULL));
	g_free(path);
}

static void remove_(const lab_t *lab, const char *name)
{
	char *path = g_build_filename(lab->dir, name, NULL);

	g_unlink(path);
	g_free(path);
}

static episode_t *leaver_; /* a drain that the records fall into, or NULL */

/* Breaches of @p promise found in a pair of records. */
static uint64_t breaches_(promise_t promise, const char *told, const char *runs)
{
	lab_t lab = {
		.dir = g_dir_make_tmp("pimentolift-XXXXXX", NULL),
		.episodes = g_ptr_array_new(),
		.trace = g_ptr_array_new(),
		.breach_texts = g_ptr_array_new_with_free_func(g_free),
	};

	if (leaver_)
		g_ptr_array_add(lab.episodes, leaver_);
	write_(&lab, "told", told);
	write_(&lab, "runs", runs);
	lab.trials[PROMISE_VIEWS] = 1;
	check_records(&lab);
	remove_(&lab, "told");
	remove_(&lab, "runs");
	g_rmdir(lab.dir);
	g_free(lab.dir);
	g_ptr_array_free(lab.episodes, TRUE);
	g_ptr_array_free(lab.trace, TRUE);
	g_ptr_array_free(lab.breach_texts, TRUE);
	return lab.breaches[promise];
}

static void test_records_that_agree_(void **state)
{
	static const char told[] = TOLD("post", "a", "answered", "2.01")
		TOLD("post", "b", "refused", "5.03");

	for (int p = 0; p < PROMISE_COUNT; p++)
		assert_int_equal(breaches_((promise_t)p, told, RUN("a")), 0);
}

/* The record of an upload that began at @p begun and ran at a leaver. */
static uint64_t leaver_breaches_(const char *begun)
{
	node_t node = { .name = "permit-desk-1" };
	episode_t drain = {
		.name = "drain", .node = &node, .from_ms = 1000, .to_ms = 9000
	};
	char *told = g_strdup_printf(
		"upload a answered 2.01 permit-desk uploads %s 8100\n", begun);
	uint64_t found;

	leaver_ = &drain;
	found = breaches_(PROMISE_LEAVING, told,
			  "a permit-desk permit-desk-1 8000\n");
	leaver_ = NULL;
	g_free(told);
	return found;
}

static void test_new_work_at_a_leaver_(void **state)
{
	assert_int_equal(leaver_breaches_("900"), 0);
	assert_int_equal(leaver_breaches_("4001"), 1);
}

static void test_run_twice_(void **state)
{
	assert_int_equal(breaches_(PROMISE_AT_MOST_ONCE,
				   TOLD("post", "a", "answered", "2.01"),
				   RUN("a") RUN("a")),
			 1);
}

static void test_refused_but_ran_(void **state)
{
	assert_int_equal(breaches_(PROMISE_NOT_RUN,
				   TOLD("post", "a", "refused", "5.03"),
				   RUN("a")),
			 1);
}

static void test_answered_but_never_ran_(void **state)
{
	assert_int_equal(breaches_(PROMISE_WHOLE_ANSWER,
				   TOLD("post", "a", "answered", "2.01"),
				   RUN("b")),
			 1);
}

static void test_ran_at_another_service_(void **state)
{
	assert_int_equal(breaches_(PROMISE_ISOLATION,
				   TOLD("post", "a", "answered", "2.01"),
				   "a meter-records meter-records-1 150\n"),
			 1);
}

static void test_unknown_without_a_failure_(void **state)
{
	assert_int_equal(breaches_(PROMISE_WHOLE_ANSWER,
				   TOLD("post", "a", "unknown", "5.04"),
				   RUN("a")),
			 1);
}

static void test_nothing_asked_(void **state)
{
	assert_int_equal(breaches_(PROMISE_WHOLE_ANSWER, "", ""), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_records_that_agree_),
		cmocka_unit_test(test_new_work_at_a_leaver_),
		cmocka_unit_test(test_run_twice_),
		cmocka_unit_test(test_refused_but_ran_),
		cmocka_unit_test(test_answered_but_never_ran_),
		cmocka_unit_test(test_ran_at_another_service_),
		cmocka_unit_test(test_unknown_without_a_failure_),
		cmocka_unit_test(test_nothing_asked_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
