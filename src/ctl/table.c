/**
 * @file
 * Text tables whose columns are as wide as their widest cell.
 */
#include "private/table.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define COLUMN_GAP_CHARS 2

/* Text of the member "a.b" of @p row; "-" if the member is absent. */
static const char *cell_text_(struct json_object *row, const char *member)
{
	char **parts = g_strsplit(member, ".", 0);
	struct json_object *value = row;

	for (char **part = parts; *part && value; part++) {
		if (!json_object_object_get_ex(value, *part, &value))
			value = NULL;
	}
	g_strfreev(parts);
	return value ? json_object_get_string(value) : "-";
}

static int column_width_(struct json_object *rows, const pl_column_t *column)
{
	size_t width = strlen(column->title);

	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		const char *text = cell_text_(
			json_object_array_get_idx(rows, i), column->member);

		if (strlen(text) > width)
			width = strlen(text);
	}
	return (int)width;
}

static void print_cell_(const char *text, int width, int last)
{
	if (last)
		printf("%s\n", text);
	else
		printf("%-*s", width + COLUMN_GAP_CHARS, text);
}

void pl_table_print(struct json_object *rows, const pl_column_t *columns)
{
	int widths[16] = { 0 };
	size_t count = 0;

	for (; columns[count].title && count < G_N_ELEMENTS(widths); count++)
		widths[count] = column_width_(rows, &columns[count]);
	for (size_t c = 0; c < count; c++)
		print_cell_(columns[c].title, widths[c], c + 1 == count);
	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		for (size_t c = 0; c < count; c++)
			print_cell_(cell_text_(row, columns[c].member),
				    widths[c], c + 1 == count);
	}
}
