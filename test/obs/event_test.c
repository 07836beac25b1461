#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <pimentolift/event.h>
#include <string.h>

/* Far more than the number of lines per event and second. */
#define BURST 1000

typedef struct {
	unsigned int lines;
	GString *last;
} captured_log_t;

static GLogWriterOutput capture_line_(GLogLevelFlags level,
				      const GLogField *fields, gsize count,
				      gpointer data)
{
	captured_log_t *log = data;

	(void)level;
	log->lines++;
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			g_string_assign(log->last, fields[i].value);
	}
	return G_LOG_WRITER_HANDLED;
}

/* Guards against a flood of log lines: after a power failure thousands of flows
 * log an event each. */
static void burst_of_one_event_is_limited_and_counted(void **state)
{
	captured_log_t *log = *state;
	unsigned int written;

	for (int i = 0; i < BURST; i++)
		pl_event(PL_EVENT_FLOW_DEAD, "flow %d", i);
	written = log->lines;
	/* at most two new seconds begin during the burst */
	assert_in_range(written, 1, BURST / 5);
	pl_event(PL_EVENT_READY, "another event is not limited");
	assert_int_equal(log->lines, written + 1);
	while (!strstr(log->last->str, "left out")) {
		g_usleep(10000);
		pl_event(PL_EVENT_FLOW_DEAD, "a flow later on");
	}
	assert_non_null(strstr(log->last->str, "a flow later on ("));
}

int main(void)
{
	captured_log_t log = { .last = g_string_new(NULL) };
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_prestate(
			burst_of_one_event_is_limited_and_counted, &log),
	};
	int failed;

	g_log_set_writer_func(capture_line_, &log, NULL);
	failed = cmocka_run_group_tests(tests, NULL, NULL);
	g_string_free(log.last, TRUE);
	return failed;
}
