/**
 * @file
 * Tree of TOML nodes: construction, sorting by line, destruction.
 */
#include "private/toml.h"

#include <assert.h>

const char *const pl_toml_type_names[] = {
	"a table",  "an array",	     "a text",	       "a whole number",
	"a number", "true or false", "a date or time",
};
static_assert(G_N_ELEMENTS(pl_toml_type_names) == PL_TOML_TYPE_COUNT,
	      "a name for each type");

static char *node_path_(const pl_toml_t *parent, const char *key, size_t index)
{
	if (!parent)
		return g_strdup("");
	if (parent->type == PL_TOML_ARRAY)
		return g_strdup_printf("%s[%zu]", parent->path, index);
	if (*parent->path == '\0')
		return g_strdup(key);
	return g_strdup_printf("%s.%s", parent->path, key);
}

pl_toml_t *pl_toml_add(pl_toml_t *parent, const char *key, size_t index)
{
	pl_toml_t *node = g_new0(pl_toml_t, 1);

	pl_list_init(&node->link);
	pl_list_init(&node->children);
	node->key = g_strdup(key);
	node->path = node_path_(parent, key, index);
	if (parent)
		pl_list_append(&parent->children, &node->link);
	return node;
}

void pl_toml_delete(pl_toml_t *node)
{
	if (!node)
		return;
	pl_list_for_each_safe(child, &node->children) {
		pl_list_remove(child);
		pl_toml_delete(PL_CONTAINER_OF(child, pl_toml_t, link));
	}
	g_free(node->key);
	g_free(node->path);
	g_free(node->text);
	g_free(node);
}

static gint compare_lines_(gconstpointer a, gconstpointer b)
{
	const pl_toml_t *const *first = a;
	const pl_toml_t *const *second = b;

	return (gint)(*first)->line - (gint)(*second)->line;
}

/* Sorts the children by line, because cpptoml's tables are unordered and
 * messages are to follow the order of the file. */
static void sort_children_(pl_toml_t *node)
{
	GPtrArray *children = g_ptr_array_new();

	pl_list_for_each_safe(child, &node->children) {
		pl_list_remove(child);
		g_ptr_array_add(children,
				PL_CONTAINER_OF(child, pl_toml_t, link));
	}
	g_ptr_array_sort(children, compare_lines_);
	for (guint i = 0; i < children->len; i++) {
		pl_toml_t *child = g_ptr_array_index(children, i);

		pl_list_append(&node->children, &child->link);
	}
	g_ptr_array_free(children, TRUE);
}

static void set_lines_(pl_toml_t *node, GHashTable *lines,
		       unsigned int parent_line)
{
	node->line = GPOINTER_TO_UINT(g_hash_table_lookup(lines, node->path));
	if (node->line == 0)
		node->line = parent_line;
	pl_list_for_each(child, &node->children)
		set_lines_(PL_CONTAINER_OF(child, pl_toml_t, link), lines,
			   node->line);
	if (node->type == PL_TOML_TABLE)
		sort_children_(node);
}

pl_toml_t *pl_toml_parse(const char *text, size_t len, pl_problems_t *problems)
{
	unsigned int line = 0;
	GHashTable *lines;
	pl_toml_t *root;
	char *message;

	assert(text && problems);
	if (!g_utf8_validate(text, (gssize)len, NULL)) {
		pl_problems_add(problems, 0, "", "the text is not UTF-8");
		return NULL;
	}
	lines = pl_toml_locate(text, &line);
	if (!lines) {
		pl_problems_add(problems, line, "",
				"arrays are nested deeper than %d",
				PL_TOML_DEPTH_MAX);
		return NULL;
	}
	root = pl_toml_add(NULL, "", 0);
	message = pl_toml_fill(root, text, len, &line);
	if (message) {
		pl_problems_add(problems, line, "", "%s", message);
		pl_toml_delete(root);
		root = NULL;
	} else {
		set_lines_(root, lines, 1);
	}
	g_free(message);
	g_hash_table_destroy(lines);
	return root;
}
