/**
 * @file
 * List of the problems found by a parser.
 */
#include <pimentolift/problem.h>

#include <assert.h>
#include <glib.h>
#include <stdarg.h>

struct pl_problems {
	char *file;
	GPtrArray *lines;
	GString *text;
};

pl_problems_t *pl_problems_new(const char *file)
{
	pl_problems_t *problems = g_new0(pl_problems_t, 1);

	assert(file);
	problems->file = g_strdup(file);
	problems->lines = g_ptr_array_new_with_free_func(g_free);
	problems->text = g_string_new("");
	return problems;
}

void pl_problems_delete(pl_problems_t *problems)
{
	if (!problems)
		return;
	g_free(problems->file);
	g_ptr_array_free(problems->lines, TRUE);
	g_string_free(problems->text, TRUE);
	g_free(problems);
}

void pl_problems_add(pl_problems_t *problems, unsigned int line,
		     const char *key, const char *format, ...)
{
	GString *problem = g_string_new(problems->file);
	va_list args;

	if (line > 0)
		g_string_append_printf(problem, ":%u", line);
	if (*key)
		g_string_append_printf(problem, ": %s", key);
	g_string_append(problem, ": ");
	va_start(args, format);
	g_string_append_vprintf(problem, format, args);
	va_end(args);
	g_string_append_printf(problems->text, "%s\n", problem->str);
	g_ptr_array_add(problems->lines, g_string_free(problem, FALSE));
}

size_t pl_problems_count(const pl_problems_t *problems)
{
	return problems->lines->len;
}

const char *pl_problems_at(const pl_problems_t *problems, size_t index)
{
	assert(index < problems->lines->len);
	return g_ptr_array_index(problems->lines, index);
}

const char *pl_problems_text(const pl_problems_t *problems)
{
	return problems->text->str;
}
