/**
 * @file
 * Log events through GLib's structured logging, with a rate limit.
 */
#include <pimentolift/counter.h>
#include <pimentolift/event.h>

#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdlib.h>

#define NUMBER_TEXT_MAX 12
/** Lines per event and second. After a power failure thousands of flows end at
 * once, and logging them must cost less than handling them. */
#define LINES_PER_S_MAX 50
#define US_PER_S G_GINT64_CONSTANT(1000000)

typedef struct {
	pl_event_id_t event;
	const char *name;
	pl_severity_t severity;
} event_row_t;

static const event_row_t rows_[] = {
#define EVENT_ROW_(id, number, name, severity, meaning) \
	{ id, name, PL_SEVERITY_##severity },
	PL_EVENT_TABLE(EVENT_ROW_)
#undef EVENT_ROW_
};

static const GLogLevelFlags levels_[] = {
	[PL_SEVERITY_INFO] = G_LOG_LEVEL_MESSAGE,
	[PL_SEVERITY_WARNING] = G_LOG_LEVEL_WARNING,
	[PL_SEVERITY_ERROR] = G_LOG_LEVEL_CRITICAL,
};

static const event_row_t *find_row_(pl_event_id_t event)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rows_); i++) {
		if (rows_[i].event == event)
			return &rows_[i];
	}
	return NULL;
}

static void write_line_(const event_row_t *row, const char *text)
{
	char number[NUMBER_TEXT_MAX];

	g_snprintf(number, sizeof(number), "%d", (int)row->event);
	g_log_structured(G_LOG_DOMAIN, levels_[row->severity], "PL_EVENT",
			 number, "PL_NAME", row->name, "MESSAGE", "[%d %s] %s",
			 (int)row->event, row->name, text);
}

/* Lines of each event in the current second, shared by all threads. */
static struct {
	gint64 second;
	unsigned int lines;
	unsigned int left_out; /* lines left out since the last written one */
} rate_limits_[G_N_ELEMENTS(rows_)];
static GMutex rate_limits_lock_;

/* Whether the rate limit allows one more line; @p left_out is then set to the
 * number of lines left out since the last written line. */
static bool rate_limit_allows_(const event_row_t *row, unsigned int *left_out)
{
	gint64 second = g_get_monotonic_time() / US_PER_S;
	size_t index = (size_t)(row - rows_);
	bool allowed;

	g_mutex_lock(&rate_limits_lock_);
	if (rate_limits_[index].second != second) {
		rate_limits_[index].second = second;
		rate_limits_[index].lines = 0;
	}
	allowed = rate_limits_[index].lines++ < LINES_PER_S_MAX;
	*left_out = allowed ? rate_limits_[index].left_out : 0;
	rate_limits_[index].left_out =
		allowed ? 0 : rate_limits_[index].left_out + 1;
	g_mutex_unlock(&rate_limits_lock_);
	return allowed;
}

void pl_event(pl_event_id_t event, const char *format, ...)
{
	const event_row_t *row = find_row_(event);
	unsigned int left_out = 0;
	GString *text;
	va_list args;

	g_return_if_fail(row);
	if (!rate_limit_allows_(row, &left_out))
		return;
	text = g_string_new(NULL);
	va_start(args, format);
	g_string_vprintf(text, format, args);
	va_end(args);
	if (left_out > 0)
		g_string_append_printf(text, " (%u earlier lines left out)",
				       left_out);
	write_line_(row, text->str);
	g_string_free(text, TRUE);
}

void pl_invariant_broken(const char *condition, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	pl_counter_add(PL_COUNTER_INVARIANT_BROKEN, 1);
	pl_event(PL_EVENT_INVARIANT, "%s: %s", condition, text);
	g_free(text);
#ifdef PL_ABORT_ON_INVARIANT
	abort();
#endif
}
