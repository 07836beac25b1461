/**
 * @file
 * Typed access to a TOML tree; all errors are reported.
 */
#include "private/reader.h"

#include <assert.h>
#include <stdarg.h>
#include <string.h>

static pl_toml_t *find_child_(pl_toml_t *table, const char *key)
{
	pl_list_for_each(node, &table->children) {
		pl_toml_t *child = PL_CONTAINER_OF(node, pl_toml_t, link);

		if (strcmp(child->key, key) == 0)
			return child;
	}
	return NULL;
}

static void report_missing_(pl_problems_t *problems, const pl_toml_t *table,
			    const char *key)
{
	char *path = *table->path ? g_strdup_printf("%s.%s", table->path, key) :
				    g_strdup(key);

	pl_problems_add(problems, table->line, path, "is missing");
	g_free(path);
}

/* Returns the child @p key and marks it as used; NULL when absent. */
static pl_toml_t *use_child_(pl_problems_t *problems, pl_toml_t *table,
			     const char *key, pl_key_presence_t presence)
{
	pl_toml_t *node = find_child_(table, key);

	assert(table->type == PL_TOML_TABLE);
	if (node)
		node->used = true;
	else if (presence == PL_KEY_REQUIRED)
		report_missing_(problems, table, key);
	return node;
}

static bool check_type_(pl_problems_t *problems, const pl_toml_t *node,
			pl_toml_type_t type)
{
	if (node->type == type)
		return true;
	pl_problems_add(problems, node->line, node->path, "must be %s, not %s",
			pl_toml_type_names[type],
			pl_toml_type_names[node->type]);
	return false;
}

pl_toml_t *pl_reader_get(pl_problems_t *problems, pl_toml_t *table,
			 const char *key, pl_toml_type_t type,
			 pl_key_presence_t presence)
{
	pl_toml_t *node = use_child_(problems, table, key, presence);

	if (!node || !check_type_(problems, node, type))
		return NULL;
	return node;
}

const char *pl_reader_text(pl_problems_t *problems, pl_toml_t *table,
			   const char *key, pl_key_presence_t presence)
{
	pl_toml_t *node =
		pl_reader_get(problems, table, key, PL_TOML_STRING, presence);

	return node ? node->text : NULL;
}

bool pl_reader_check_name(pl_problems_t *problems, const pl_toml_t *node,
			  const char *name)
{
	size_t len = strlen(name);

	if (len == 0 || len >= PL_NAME_MAX) {
		pl_problems_add(problems, node->line, node->path,
				"a name has 1 to %d characters",
				PL_NAME_MAX - 1);
		return false;
	}
	for (size_t i = 0; i < len; i++) {
		if (g_ascii_isalnum(name[i]) || strchr("._-", name[i]))
			continue;
		pl_problems_add(problems, node->line, node->path,
				"\"%s\" has characters other than letters, "
				"digits, '.', '_' and '-'",
				name);
		return false;
	}
	return true;
}

void pl_reader_name(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    pl_key_presence_t presence, char name[PL_NAME_MAX])
{
	pl_toml_t *node =
		pl_reader_get(problems, table, key, PL_TOML_STRING, presence);

	if (node && pl_reader_check_name(problems, node, node->text))
		g_strlcpy(name, node->text, PL_NAME_MAX);
}

void pl_reader_number(pl_problems_t *problems, pl_toml_t *table,
		      const char *key, int64_t min, int64_t max,
		      uint32_t *number)
{
	pl_toml_t *node = pl_reader_get(problems, table, key, PL_TOML_INTEGER,
					PL_KEY_OPTIONAL);

	assert(min >= 0 && max <= UINT32_MAX);
	if (!node)
		return;
	if (node->integer < min || node->integer > max) {
		pl_problems_add(problems, node->line, node->path,
				"%" G_GINT64_FORMAT
				" is not from %" G_GINT64_FORMAT
				" to %" G_GINT64_FORMAT,
				node->integer, min, max);
		return;
	}
	*number = (uint32_t)node->integer;
}

void pl_reader_real(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    pl_key_presence_t presence, double above, double below,
		    double *real)
{
	pl_toml_t *node = use_child_(problems, table, key, presence);
	double value;

	if (!node)
		return;
	if (node->type == PL_TOML_INTEGER)
		value = (double)node->integer;
	else if (check_type_(problems, node, PL_TOML_FLOAT))
		value = node->real;
	else
		return;
	if (!(value > above && value < below)) {
		pl_problems_add(problems, node->line, node->path,
				"%g is not above %g and below %g", value, above,
				below);
		return;
	}
	*real = value;
}

void pl_reader_flag(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    bool *flag)
{
	pl_toml_t *node = pl_reader_get(problems, table, key, PL_TOML_BOOLEAN,
					PL_KEY_OPTIONAL);

	if (node)
		*flag = node->boolean;
}

void pl_reader_choice(pl_problems_t *problems, pl_toml_t *table,
		      const char *key, pl_key_presence_t presence,
		      const char *const *names, size_t count,
		      unsigned int *choice)
{
	pl_toml_t *node =
		pl_reader_get(problems, table, key, PL_TOML_STRING, presence);
	GString *all;

	if (!node)
		return;
	all = g_string_new("");
	for (size_t i = 0; i < count; i++) {
		if (strcmp(node->text, names[i]) == 0) {
			*choice = (unsigned int)i;
			g_string_free(all, TRUE);
			return;
		}
		g_string_append_printf(all, "%s\"%s\"", i ? ", " : "",
				       names[i]);
	}
	pl_problems_add(problems, node->line, node->path,
			"\"%s\" is none of %s", node->text, all->str);
	g_string_free(all, TRUE);
}

static bool parse_addr_(pl_problems_t *problems, const pl_toml_t *node,
			pl_addr_t *addr)
{
	pl_error_t err = PL_ERROR_INIT;
	pl_addr_t parsed;

	if (!check_type_(problems, node, PL_TOML_STRING))
		return false;
	if (pl_addr_parse(node->text, &parsed, &err) != PL_OK) {
		pl_problems_add(problems, node->line, node->path, "%s",
				err.text);
		return false;
	}
	*addr = parsed;
	return true;
}

bool pl_reader_addr(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    pl_key_presence_t presence, pl_addr_t *addr)
{
	pl_toml_t *node = use_child_(problems, table, key, presence);

	return node && parse_addr_(problems, node, addr);
}

void pl_reader_addr_list(pl_problems_t *problems, pl_toml_t *table,
			 const char *key, pl_key_presence_t presence,
			 pl_addr_list_t *list)
{
	pl_toml_t *node =
		pl_reader_get(problems, table, key, PL_TOML_ARRAY, presence);
	GArray *addrs;

	if (!node)
		return;
	addrs = g_array_new(FALSE, TRUE, sizeof(pl_addr_t));
	pl_list_for_each(item, &node->children) {
		pl_addr_t addr;

		if (parse_addr_(problems,
				PL_CONTAINER_OF(item, pl_toml_t, link), &addr))
			g_array_append_val(addrs, addr);
	}
	if (presence == PL_KEY_REQUIRED && pl_list_empty(&node->children))
		pl_problems_add(problems, node->line, node->path, "is empty");
	list->count = addrs->len;
	list->at = (pl_addr_t *)(void *)g_array_free(addrs, FALSE);
}

void pl_reader_problem(pl_problems_t *problems, pl_toml_t *table,
		       const char *key, const char *format, ...)
{
	const pl_toml_t *node = find_child_(table, key);
	char *text;
	va_list args;

	assert(node);
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	pl_problems_add(problems, node->line, node->path, "%s", text);
	g_free(text);
}

void pl_reader_unknown(pl_problems_t *problems, const pl_toml_t *table)
{
	pl_list_for_each(node, &table->children) {
		const pl_toml_t *child = PL_CONTAINER_OF(node, pl_toml_t, link);

		if (!child->used)
			pl_problems_add(problems, child->line, child->path,
					"is not a known key");
	}
}
