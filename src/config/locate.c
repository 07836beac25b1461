/**
 * @file
 * Finds the line of each key in a TOML text: table headers, arrays of
 * tables counted, and keys. It understands just enough of TOML to skip
 * values; whether the text is valid is the parser's to say.
 */
#include "private/toml.h"

#include <string.h>

typedef struct {
	const char *at;
	unsigned int line;
	bool too_deep;
	GHashTable *lines; /* path to line */
	GHashTable *counts; /* path of an array of tables to its length */
} scan_t;

static void skip_line_(scan_t *scan)
{
	while (*scan->at && *scan->at != '\n')
		scan->at++;
}

/* Skips blanks, line ends and comments. */
static void skip_blank_(scan_t *scan)
{
	for (;; scan->at++) {
		if (*scan->at == '#')
			skip_line_(scan);
		if (*scan->at == '\n')
			scan->line++;
		else if (!*scan->at || !strchr(" \t\r", *scan->at))
			return;
	}
}

/* Skips a string of any of the four kinds; at its opening quote. */
static void skip_string_(scan_t *scan)
{
	char quote = *scan->at;
	char triple[] = { quote, quote, quote, '\0' };
	bool multi = strncmp(scan->at, triple, 3) == 0;

	scan->at += multi ? 3 : 1;
	while (*scan->at) {
		if (multi ? strncmp(scan->at, triple, 3) == 0 :
			    *scan->at == quote) {
			scan->at += multi ? 3 : 1;
			return;
		}
		if (!multi && *scan->at == '\n')
			return;
		if (quote == '"' && *scan->at == '\\' && scan->at[1])
			scan->at++;
		if (*scan->at == '\n')
			scan->line++;
		scan->at++;
	}
}

/* Skips a value up to the end of its last line. */
static void skip_value_(scan_t *scan)
{
	int depth = 0;

	while (*scan->at && (depth > 0 || *scan->at != '\n')) {
		char c = *scan->at;

		if (c == '"' || c == '\'') {
			skip_string_(scan);
			continue;
		}
		if (c == '#') {
			skip_line_(scan);
			continue;
		}
		if (c == '\n')
			scan->line++;
		if (c == '[' || c == '{')
			depth++;
		if (c == ']' || c == '}')
			depth--;
		if (depth > PL_TOML_DEPTH_MAX)
			scan->too_deep = true;
		scan->at++;
	}
}

/* Reads one part of a key; NULL when there is none. */
static char *key_part_(scan_t *scan)
{
	const char *start;

	while (*scan->at == ' ' || *scan->at == '\t')
		scan->at++;
	start = scan->at;
	if (*start == '"' || *start == '\'') {
		skip_string_(scan);
		if (scan->at - start < 2)
			return NULL;
		return g_strndup(start + 1, (gsize)(scan->at - start - 2));
	}
	while (*scan->at && !strchr(" \t\r\n.=]#", *scan->at))
		scan->at++;
	if (scan->at == start)
		return NULL;
	return g_strndup(start, (gsize)(scan->at - start));
}

/* Whether a dot follows, which is skipped. */
static bool dot_(scan_t *scan)
{
	while (*scan->at == ' ' || *scan->at == '\t')
		scan->at++;
	if (*scan->at != '.')
		return false;
	scan->at++;
	return true;
}

static void append_(GString *path, const char *part)
{
	if (path->len > 0)
		g_string_append_c(path, '.');
	g_string_append(path, part);
}

static guint count_(const scan_t *scan, const char *path)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(scan->counts, path));
}

static void record_(scan_t *scan, const char *path, unsigned int line)
{
	if (!g_hash_table_contains(scan->lines, path))
		g_hash_table_insert(scan->lines, g_strdup(path),
				    GUINT_TO_POINTER(line));
}

/* Reads "[a.b]" or "[[a.b]]" into @p table. */
static void header_(scan_t *scan, GString *table)
{
	bool array = scan->at[1] == '[';
	unsigned int line = scan->line;
	char *part;
	guint count;

	g_string_truncate(table, 0);
	scan->at += array ? 2 : 1;
	part = key_part_(scan);
	while (part) {
		append_(table, part);
		g_free(part);
		record_(scan, table->str, line);
		part = dot_(scan) ? key_part_(scan) : NULL;
		count = count_(scan, table->str);
		if (part && count > 0)
			g_string_append_printf(table, "[%u]", count - 1);
	}
	count = count_(scan, table->str);
	if (array) {
		g_hash_table_insert(scan->counts, g_strdup(table->str),
				    GUINT_TO_POINTER(count + 1));
		g_string_append_printf(table, "[%u]", count);
	}
	record_(scan, table->str, line);
	skip_line_(scan);
}

static void key_(scan_t *scan, const GString *table)
{
	GString *path = g_string_new(table->str);
	unsigned int line = scan->line;
	char *part = key_part_(scan);

	while (part) {
		append_(path, part);
		g_free(part);
		record_(scan, path->str, line);
		part = dot_(scan) ? key_part_(scan) : NULL;
	}
	g_string_free(path, TRUE);
	skip_value_(scan);
}

GHashTable *pl_toml_locate(const char *text, unsigned int *deep_line)
{
	GString *table = g_string_new("");
	scan_t scan = { .at = text, .line = 1 };

	scan.lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	scan.counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	skip_blank_(&scan);
	while (*scan.at && !scan.too_deep) {
		if (*scan.at == '[')
			header_(&scan, table);
		else
			key_(&scan, table);
		skip_blank_(&scan);
	}
	g_string_free(table, TRUE);
	g_hash_table_destroy(scan.counts);
	if (!scan.too_deep)
		return scan.lines;
	*deep_line = scan.line;
	g_hash_table_destroy(scan.lines);
	return NULL;
}
