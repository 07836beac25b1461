#include <pimentolift/result.h>

#include <stdarg.h>
#include <stdio.h>

typedef struct {
	pl_result_t result;
	const char *name;
	const char *meaning;
} result_row_t;

static const result_row_t rows_[] = {
#define RESULT_ROW_(id, number, name, meaning) { id, name, meaning },
	PL_RESULT_TABLE(RESULT_ROW_)
#undef RESULT_ROW_
};

static const result_row_t *find_row_(pl_result_t result)
{
	for (size_t i = 0; i < sizeof(rows_) / sizeof(rows_[0]); i++) {
		if (rows_[i].result == result)
			return &rows_[i];
	}
	return NULL;
}

const char *pl_result_name(pl_result_t result)
{
	const result_row_t *row = find_row_(result);

	return row ? row->name : "unlisted";
}

const char *pl_result_meaning(pl_result_t result)
{
	const result_row_t *row = find_row_(result);

	return row ? row->meaning : "unknown result code";
}

pl_result_t pl_error_set(pl_error_t *err, pl_result_t code, const char *format,
			 ...)
{
	va_list args;

	if (!err)
		return code;
	err->code = code;
	va_start(args, format);
	vsnprintf(err->text, sizeof(err->text), format, args);
	va_end(args);
	return code;
}
