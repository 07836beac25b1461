#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "fleet.h"

#include <pimentolift/event.h>
#include <pimentolift/hash.h>
#include <pimentolift/loop.h>
#include <private/node_state.h>
#include <string.h>

typedef struct {
	fleet_t *fleet;
	pl_settings_t settings;
	pl_node_t node;
	GString *log;
	unsigned int told; /* calls of the role */
	bool evacuated; /* in the last one */
} fixture_t;

static unsigned int rebuilds_;

void pl_node_schedule_rebuild_(pl_node_t *node)
{
	(void)node;
	rebuilds_++;
}

static void evacuated_(void *role, bool evacuated)
{
	fixture_t *f = role;

	f->told++;
	f->evacuated = evacuated;
}

static const pl_role_ops_t role_ops_ = { .evacuated = evacuated_ };

static GLogWriterOutput capture_line_(GLogLevelFlags level,
				      const GLogField *fields, gsize count,
				      gpointer data)
{
	fixture_t *f = data;

	(void)level;
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			g_string_append_printf(f->log, "%s\n",
					       (const char *)fields[i].value);
	}
	return G_LOG_WRITER_HANDLED;
}

/* A process in the data centre dc-0 that knows six members in three. */
static int set_up_(void **state)
{
	fixture_t *f = *state;

	f->fleet = fleet_new(1, 6, 3);
	fleet_start_all(f->fleet);
	g_strlcpy(f->settings.datacentre, "dc-0",
		  sizeof(f->settings.datacentre));
	f->node = (pl_node_t){
		.settings = &f->settings,
		.role_ops = &role_ops_,
		.role = f,
		.loop = pl_loop_new(NULL),
		.members = f->fleet->nodes[0].table,
	};
	f->told = 0;
	g_string_truncate(f->log, 0);
	return f->node.loop ? 0 : -1;
}

static int tear_down_(void **state)
{
	fixture_t *f = *state;

	pl_loop_delete(f->node.loop);
	fleet_delete(f->fleet);
	return 0;
}

/* Puts a set with one data centre in force, or the empty set. */
static void set_(fixture_t *f, uint64_t revision, const char *datacentre)
{
	pl_evacuations_t set = { .generation = 1, .revision = revision };

	if (datacentre)
		pl_evacuations_add(&set, pl_hash_text(datacentre));
	pl_node_evacuate_changed_(&f->node, &set);
}

static bool logged_(const fixture_t *f, const char *name)
{
	return strstr(f->log->str, name) != NULL;
}

/* Guards against a mistyped name that nobody notices, or that has an effect. */
static void request_for_an_unknown_datacentre_is_logged_only(void **state)
{
	fixture_t *f = *state;
	char *identity =
		g_strdup_printf("data centre %016" G_GINT64_MODIFIER "x\n",
				pl_hash_text("dc-O"));

	set_(f, 5, "dc-O");
	assert_true(logged_(f, "[422 evacuation-in-force]"));
	assert_true(logged_(f, "[424 evacuation-unknown]"));
	assert_true(logged_(f, identity));
	assert_int_equal(pl_node_evacuation_count(&f->node), 1);
	assert_int_equal(f->told, 0);
	set_(f, 6, NULL);
	assert_true(logged_(f, "[423 evacuation-ended]"));
	assert_int_equal(pl_node_evacuation_count(&f->node), 0);
	assert_int_equal(f->told, 0);
	g_free(identity);
}

static void own_datacentre_is_evacuated_and_returns(void **state)
{
	fixture_t *f = *state;
	unsigned int rebuilds = rebuilds_;

	set_(f, 5, "dc-0");
	assert_true(f->told == 1 && f->evacuated);
	assert_false(logged_(f, "[424 evacuation-unknown]"));
	assert_true(logged_(f, "data centre dc-0"));
	/* repeated reads by the watchers */
	set_(f, 6, "dc-0");
	assert_int_equal(f->told, 1);
	set_(f, 7, NULL);
	assert_true(f->told == 2 && !f->evacuated);
	assert_int_equal(rebuilds_ - rebuilds, 3);
}

#define WITH_NODE(test)                                                     \
	cmocka_unit_test_prestate_setup_teardown(test, set_up_, tear_down_, \
						 &fixture)

int main(void)
{
	fixture_t fixture = { .log = g_string_new(NULL) };
	const struct CMUnitTest tests[] = {
		WITH_NODE(request_for_an_unknown_datacentre_is_logged_only),
		WITH_NODE(own_datacentre_is_evacuated_and_returns),
	};
	int failed;

	g_log_set_writer_func(capture_line_, &fixture, NULL);
	failed = cmocka_run_group_tests(tests, NULL, NULL);
	g_string_free(fixture.log, TRUE);
	return failed;
}
