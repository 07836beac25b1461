/**
 * @file
 * Numbered events through GLib's structured logging.
 */
#include <pimentolift/counter.h>
#include <pimentolift/event.h>

#include <glib.h>
#include <stdarg.h>
#include <stdlib.h>

#define NUMBER_TEXT_MAX 12

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

static const event_row_t *find_(pl_event_id_t event)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rows_); i++) {
		if (rows_[i].event == event)
			return &rows_[i];
	}
	return NULL;
}

static void log_(const event_row_t *row, const char *text)
{
	char number[NUMBER_TEXT_MAX];

	g_snprintf(number, sizeof(number), "%d", (int)row->event);
	g_log_structured(G_LOG_DOMAIN, levels_[row->severity], "PL_EVENT",
			 number, "PL_NAME", row->name, "MESSAGE", "[%d %s] %s",
			 (int)row->event, row->name, text);
}

void pl_event(pl_event_id_t event, const char *format, ...)
{
	const event_row_t *row = find_(event);
	va_list args;
	char *text;

	g_return_if_fail(row);
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	log_(row, text);
	g_free(text);
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
