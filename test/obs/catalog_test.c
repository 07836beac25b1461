/**
 * @file
 * Compares the tables in docs/EVENTS.md and docs/RESULTS.md with the code.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/event.h>
#include <pimentolift/result.h>

typedef struct {
	int number;
	const char *name;
	const char *severity; /* NULL for result codes */
	const char *meaning;
} row_t;

static const row_t events_[] = {
#define ROW_(id, number, name, severity, meaning) \
	{ number, name, #severity, meaning },
	PL_EVENT_TABLE(ROW_)
#undef ROW_
};

static const row_t results_[] = {
#define ROW_(id, number, name, meaning) { number, name, NULL, meaning },
	PL_RESULT_TABLE(ROW_)
#undef ROW_
};

static char *format_row_(const row_t *row)
{
	char *severity;
	char *line;

	if (!row->severity)
		return g_strdup_printf("| %d | `%s` | %s |", row->number,
				       row->name, row->meaning);
	severity = g_ascii_strdown(row->severity, -1);
	line = g_strdup_printf("| %d | `%s` | %s | %s |", row->number,
			       row->name, severity, row->meaning);
	g_free(severity);
	return line;
}

/* Every row is in the page, and the page has no other rows. */
static void compare_with_page_(const char *page, const row_t *rows,
			       size_t count)
{
	char *path = g_build_filename(PL_DOCS, page, NULL);
	char *text = NULL;
	size_t found = 0;
	char **lines;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; i < count; i++) {
		char *expected = format_row_(&rows[i]);

		if (!g_strv_contains((const char *const *)lines, expected))
			print_error("missing in %s: %s\n", page, expected);
		assert_true(
			g_strv_contains((const char *const *)lines, expected));
		g_free(expected);
	}
	for (char **line = lines; *line; line++)
		found += g_regex_match_simple("^\\| \\d+ \\|", *line, 0, 0);
	assert_int_equal(found, count);
	g_strfreev(lines);
	g_free(text);
	g_free(path);
}

static void events_are_catalogued(void **state)
{
	(void)state;
	compare_with_page_("EVENTS.md", events_, G_N_ELEMENTS(events_));
}

static void results_are_catalogued(void **state)
{
	(void)state;
	compare_with_page_("RESULTS.md", results_, G_N_ELEMENTS(results_));
}

/* Appends the text of each .c file below @p path to @p all. */
static void read_sources_(const char *path, GString *all)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir))) {
		char *child = g_build_filename(path, name, NULL);
		char *text = NULL;

		if (g_file_test(child, G_FILE_TEST_IS_DIR))
			read_sources_(child, all);
		else if (g_str_has_suffix(name, ".c") &&
			 g_file_get_contents(child, &text, NULL, NULL))
			g_string_append(all, text);
		g_free(text);
		g_free(child);
	}
	g_dir_close(dir);
}

/* Guards against events that the catalogue lists but no code logs. */
static void every_event_is_logged_in_the_sources(void **state)
{
	static const char *const names[] = {
#define NAME_(id, number, name, severity, meaning) #id,
		PL_EVENT_TABLE(NAME_)
#undef NAME_
	};
	GString *all = g_string_new(NULL);

	(void)state;
	read_sources_(PL_SOURCES, all);
	read_sources_(PL_PLATFORM_SOURCES, all);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *word = g_strdup_printf("\\b%s\\b", names[i]);

		if (!g_regex_match_simple(word, all->str, 0, 0))
			print_error("nothing logs %s\n", names[i]);
		assert_true(g_regex_match_simple(word, all->str, 0, 0));
		g_free(word);
	}
	g_string_free(all, TRUE);
}

static void event_numbers_are_unique(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(events_); i++) {
		for (size_t k = 0; k < i; k++)
			assert_int_not_equal(events_[i].number,
					     events_[k].number);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(events_are_catalogued),
		cmocka_unit_test(results_are_catalogued),
		cmocka_unit_test(every_event_is_logged_in_the_sources),
		cmocka_unit_test(event_numbers_are_unique),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
