/**
 * @file
 * Scanner that finds the line of each key and table header in a TOML text.
 * Elements of arrays of tables get an index in their path. The scanner knows
 * only enough TOML to skip values; the parser checks whether the text is
 * valid.
 */
#include "private/toml.h"

#include <string.h>

/* State of the scanner. */
typedef struct {
	const char *at; /* next character */
	unsigned int line;
	bool too_deep;
	GHashTable *lines; /* path to line */
	GHashTable *counts; /* path of an array of tables to its length */
} scanner_t;

static void skip_line_(scanner_t *scanner)
{
	while (*scanner->at && *scanner->at != '\n')
		scanner->at++;
}

/* Skips white space, newlines and comments. */
static void skip_space_(scanner_t *scanner)
{
	for (;; scanner->at++) {
		if (*scanner->at == '#')
			skip_line_(scanner);
		if (*scanner->at == '\n')
			scanner->line++;
		else if (!*scanner->at || !strchr(" \t\r", *scanner->at))
			return;
	}
}

/* Skips a string of any of TOML's four kinds, from its opening quote. */
static void skip_string_(scanner_t *scanner)
{
	char quote = *scanner->at;
	char triple[] = { quote, quote, quote, '\0' };
	bool multiline = strncmp(scanner->at, triple, 3) == 0;

	scanner->at += multiline ? 3 : 1;
	while (*scanner->at) {
		if (multiline ? strncmp(scanner->at, triple, 3) == 0 :
				*scanner->at == quote) {
			scanner->at += multiline ? 3 : 1;
			return;
		}
		if (!multiline && *scanner->at == '\n')
			return;
		if (quote == '"' && *scanner->at == '\\' && scanner->at[1])
			scanner->at++;
		if (*scanner->at == '\n')
			scanner->line++;
		scanner->at++;
	}
}

/* Skips a value and the rest of its last line. */
static void skip_value_(scanner_t *scanner)
{
	int depth = 0;

	while (*scanner->at && (depth > 0 || *scanner->at != '\n')) {
		char c = *scanner->at;

		if (c == '"' || c == '\'') {
			skip_string_(scanner);
			continue;
		}
		if (c == '#') {
			skip_line_(scanner);
			continue;
		}
		if (c == '\n')
			scanner->line++;
		if (c == '[' || c == '{')
			depth++;
		if (c == ']' || c == '}')
			depth--;
		if (depth > PL_TOML_DEPTH_MAX)
			scanner->too_deep = true;
		scanner->at++;
	}
}

/* Reads one part of a dotted key; NULL when there is none. */
static char *read_key_part_(scanner_t *scanner)
{
	const char *start;

	while (*scanner->at == ' ' || *scanner->at == '\t')
		scanner->at++;
	start = scanner->at;
	if (*start == '"' || *start == '\'') {
		skip_string_(scanner);
		if (scanner->at - start < 2)
			return NULL;
		return g_strndup(start + 1, (gsize)(scanner->at - start - 2));
	}
	while (*scanner->at && !strchr(" \t\r\n.=]#", *scanner->at))
		scanner->at++;
	if (scanner->at == start)
		return NULL;
	return g_strndup(start, (gsize)(scanner->at - start));
}

/* Skips a dot; returns whether there was one. */
static bool skip_dot_(scanner_t *scanner)
{
	while (*scanner->at == ' ' || *scanner->at == '\t')
		scanner->at++;
	if (*scanner->at != '.')
		return false;
	scanner->at++;
	return true;
}

static void append_part_(GString *path, const char *part)
{
	if (path->len > 0)
		g_string_append_c(path, '.');
	g_string_append(path, part);
}

static guint table_count_(const scanner_t *scanner, const char *path)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(scanner->counts, path));
}

static void record_line_(scanner_t *scanner, const char *path,
			 unsigned int line)
{
	if (!g_hash_table_contains(scanner->lines, path))
		g_hash_table_insert(scanner->lines, g_strdup(path),
				    GUINT_TO_POINTER(line));
}

/* Reads the header "[a.b]" or "[[a.b]]"; sets @p table to its path. */
static void scan_header_(scanner_t *scanner, GString *table)
{
	bool array = scanner->at[1] == '[';
	unsigned int line = scanner->line;
	char *part;
	guint count;

	g_string_truncate(table, 0);
	scanner->at += array ? 2 : 1;
	part = read_key_part_(scanner);
	while (part) {
		append_part_(table, part);
		g_free(part);
		record_line_(scanner, table->str, line);
		part = skip_dot_(scanner) ? read_key_part_(scanner) : NULL;
		count = table_count_(scanner, table->str);
		if (part && count > 0)
			g_string_append_printf(table, "[%u]", count - 1);
	}
	count = table_count_(scanner, table->str);
	if (array) {
		g_hash_table_insert(scanner->counts, g_strdup(table->str),
				    GUINT_TO_POINTER(count + 1));
		g_string_append_printf(table, "[%u]", count);
	}
	record_line_(scanner, table->str, line);
	skip_line_(scanner);
}

static void scan_key_(scanner_t *scanner, const GString *table)
{
	GString *path = g_string_new(table->str);
	unsigned int line = scanner->line;
	char *part = read_key_part_(scanner);

	while (part) {
		append_part_(path, part);
		g_free(part);
		record_line_(scanner, path->str, line);
		part = skip_dot_(scanner) ? read_key_part_(scanner) : NULL;
	}
	g_string_free(path, TRUE);
	skip_value_(scanner);
}

GHashTable *pl_toml_locate(const char *text, unsigned int *deep_line)
{
	GString *table = g_string_new("");
	scanner_t scanner = { .at = text, .line = 1 };

	scanner.lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	scanner.counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	skip_space_(&scanner);
	while (*scanner.at && !scanner.too_deep) {
		if (*scanner.at == '[')
			scan_header_(&scanner, table);
		else
			scan_key_(&scanner, table);
		skip_space_(&scanner);
	}
	g_string_free(table, TRUE);
	g_hash_table_destroy(scanner.counts);
	if (!scanner.too_deep)
		return scanner.lines;
	*deep_line = scanner.line;
	g_hash_table_destroy(scanner.lines);
	return NULL;
}
