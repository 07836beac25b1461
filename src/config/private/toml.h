/**
 * @file
 * TOML text as a tree of typed nodes with the line of each key. The text is
 * parsed with cpptoml, which does not record positions; locate.c finds the
 * lines.
 */
#ifndef PL_CONFIG_TOML_H
#define PL_CONFIG_TOML_H

#include <pimentolift/list.h>
#include <pimentolift/problem.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Maximum nesting depth of arrays and inline tables. */
#define PL_TOML_DEPTH_MAX 16

/** Type of a node. */
typedef enum {
	PL_TOML_TABLE,
	PL_TOML_ARRAY, /**< children are values or tables */
	PL_TOML_STRING,
	PL_TOML_INTEGER,
	PL_TOML_FLOAT,
	PL_TOML_BOOLEAN,
	PL_TOML_OTHER, /**< dates and times, which no key accepts */
	PL_TOML_TYPE_COUNT,
} pl_toml_type_t;

/** Names of @ref pl_toml_type_t in messages, indexed by its values. */
extern const char *const pl_toml_type_names[];

/** A value in the file. */
typedef struct pl_toml {
	pl_list_t link; /**< in the parent's children, sorted by line */
	pl_list_t children; /**< of a table or array */
	pl_toml_type_t type;
	char *key; /**< name in its table; "" for an array element */
	char *path; /**< full name, for example "service[0].addresses" */
	unsigned int line;
	bool used; /**< read by a function of reader.h */
	char *text;
	int64_t integer;
	double real;
	bool boolean;
} pl_toml_t;

/**
 * Parses @p text, which has a NUL at index @p len. Returns NULL and adds one
 * problem when the text is not valid TOML.
 */
pl_toml_t *pl_toml_parse(const char *text, size_t len, pl_problems_t *problems);
void pl_toml_delete(pl_toml_t *node);

/**
 * New child of @p parent, or a root when @p parent is NULL. @p index is the
 * position of an array element. Used by the parser.
 */
pl_toml_t *pl_toml_add(pl_toml_t *parent, const char *key, size_t index);

/**
 * Parses @p text into @p root. Returns NULL on success, else an error message
 * that the caller frees with g_free(), with its line, or 0 if unknown, in
 * @p line.
 */
char *pl_toml_fill(pl_toml_t *root, const char *text, size_t len,
		   unsigned int *line);

/**
 * Maps the full path of each key and table header in @p text to its line,
 * stored with GUINT_TO_POINTER(). Returns NULL when values are nested deeper
 * than @ref PL_TOML_DEPTH_MAX, with the line in @p deep_line.
 */
GHashTable *pl_toml_locate(const char *text, unsigned int *deep_line);

#ifdef __cplusplus
}
#endif

#endif
