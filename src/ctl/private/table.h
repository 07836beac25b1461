/**
 * @file
 * Prints arrays of JSON objects as text tables.
 */
#ifndef PL_CTL_TABLE_H
#define PL_CTL_TABLE_H

#include <json-c/json.h>

/**
 * A column: its title, and the member of each object that it shows ("a.b" for
 * member b of the nested object a).
 */
typedef struct {
	const char *title;
	const char *member;
} pl_column_t;

/**
 * Prints the array @p rows of objects to standard output. @p columns ends with
 * an entry without a title.
 */
void pl_table_print(struct json_object *rows, const pl_column_t *columns);

#endif
