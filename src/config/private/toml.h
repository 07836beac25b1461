/**
 * @file
 * TOML text as a tree of typed nodes with the line of each key. The parser
 * behind it is cpptoml, which keeps no positions; locate.c finds the lines.
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

/** Deepest nesting of arrays and inline tables that is read. */
#define PL_TOML_DEPTH_MAX 16

/** Type of a node. */
typedef enum {
	PL_TOML_TABLE,
	PL_TOML_ARRAY, /**< its children are values or tables */
	PL_TOML_STRING,
	PL_TOML_INTEGER,
	PL_TOML_FLOAT,
	PL_TOML_BOOLEAN,
	PL_TOML_OTHER, /**< dates and times, which no key takes */
	PL_TOML_TYPE_COUNT,
} pl_toml_type_t;

/** Names of @ref pl_toml_type_t for messages, in its order. */
extern const char *const pl_toml_type_names[];

/** A value of the file. */
typedef struct pl_toml {
	pl_list_t link; /**< in the parent's children, in order of line */
	pl_list_t children; /**< of a table or an array */
	pl_toml_type_t type;
	char *key; /**< name in its table; "" for an element */
	char *path; /**< full name, for example "service[0].addresses" */
	unsigned int line;
	bool used; /**< a reader asked for it */
	char *text;
	int64_t integer;
	double real;
	bool boolean;
} pl_toml_t;

/**
 * Reads @p text, which ends in a zero byte at @p len. NULL when it is not
 * TOML, with one problem added.
 */
pl_toml_t *pl_toml_parse(const char *text, size_t len, pl_problems_t *problems);
void pl_toml_delete(pl_toml_t *node);

/** New child of @p parent, or a root when it is NULL; for the parser. */
pl_toml_t *pl_toml_add(pl_toml_t *parent, const char *key, size_t index);

/**
 * Fills @p root from @p text. Returns NULL, or a message to be freed with
 * g_free() and the line in @p line, 0 when unknown.
 */
char *pl_toml_fill(pl_toml_t *root, const char *text, size_t len,
		   unsigned int *line);

/**
 * Line of each key and table header of @p text by its full path; the value
 * is the line as a pointer. NULL when arrays are nested too deep, with the
 * line in @p deep_line.
 */
GHashTable *pl_toml_locate(const char *text, unsigned int *deep_line);

#ifdef __cplusplus
}
#endif

#endif
