/**
 * @file
 * Tables for people, from JSON objects.
 */
#ifndef PL_CTL_TABLE_H
#define PL_CTL_TABLE_H

#include <json-c/json.h>

/** A column: its title, and the member of the objects, "a.b" for nested. */
typedef struct {
	const char *title;
	const char *member;
} pl_column_t;

/** Prints an array of objects; @p columns end with one that has no title. */
void pl_table_print(struct json_object *rows, const pl_column_t *columns);

#endif
