/**
 * @file
 * Command burn: sums the counts of all daemons for each service-level
 * objective and prints the burn rates of its error budget, the daemon with the
 * most failures, and how long the budget lasts at the present rate.
 */
#include "private/ctl.h"
#include "private/table.h"

#include <pimentolift/burn.h>
#include <stdio.h>
#include <string.h>

#define KEY_GNUPLOT 'g'
#define NUMBER_TEXT_MAX 32
#define PERCENT_PER_PPM 1e-4

/* Counts of one objective of a service, summed over all daemons. */
typedef struct {
	char *service;
	char *kind;
	uint32_t target_ppm;
	uint32_t threshold_ms;
	uint32_t window_days;
	unsigned int instances;
	pl_burn_count_t counts[PL_BURN_WINDOW_COUNT];
	uint64_t worst_failures; /* most failures in 1 h at one daemon */
	char *worst_daemon; /* "NAME (DATACENTRE)" of that daemon */
} objective_total_t;

static const pl_column_t burn_columns_[] = {
	{ "SERVICE", "service" }, { "OBJECTIVE", "objective" },
	{ "TARGET", "target" },	  { "5M", "rates.5m" },
	{ "30M", "rates.30m" },	  { "1H", "rates.1h" },
	{ "6H", "rates.6h" },	  { "3D", "rates.3d" },
	{ "ALARM", "alarm" },	  { "BUDGET LASTS", "budget" },
	{ "WORST", "worst" },	  { 0 },
};

static struct json_object *get_member_(struct json_object *object,
				       const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value;
}

static const char *get_text_(struct json_object *object, const char *key)
{
	const char *text = json_object_get_string(get_member_(object, key));

	return text ? text : "";
}

static uint64_t get_number_(struct json_object *object, const char *key)
{
	return json_object_get_uint64(get_member_(object, key));
}

static void objective_total_free_(gpointer data)
{
	objective_total_t *total = data;

	g_free(total->service);
	g_free(total->kind);
	g_free(total->worst_daemon);
	g_free(total);
}

/*
 * Total of @p objective over all daemons; created at the first report of it.
 */
static objective_total_t *find_total_(GPtrArray *totals, const char *service,
				      struct json_object *objective)
{
	const char *kind = get_text_(objective, "kind");
	uint64_t target = get_number_(objective, "target_ppm");
	uint64_t threshold = get_number_(objective, "threshold_ms");
	objective_total_t *total;

	for (guint i = 0; i < totals->len; i++) {
		total = g_ptr_array_index(totals, i);
		if (strcmp(total->service, service) == 0 &&
		    strcmp(total->kind, kind) == 0 &&
		    total->target_ppm == target &&
		    total->threshold_ms == threshold)
			return total;
	}
	total = g_new0(objective_total_t, 1);
	total->service = g_strdup(service);
	total->kind = g_strdup(kind);
	total->target_ppm = (uint32_t)target;
	total->threshold_ms = (uint32_t)threshold;
	total->window_days = (uint32_t)get_number_(objective, "window_days");
	g_ptr_array_add(totals, total);
	return total;
}

static void add_objective_(GPtrArray *totals, struct json_object *report,
			   struct json_object *objective)
{
	struct json_object *windows = get_member_(objective, "windows");
	objective_total_t *total =
		find_total_(totals, get_text_(report, "service"), objective);
	uint64_t failures;

	total->instances++;
	for (int w = 0; w < PL_BURN_WINDOW_COUNT; w++) {
		struct json_object *count =
			get_member_(windows, pl_burn_window_names[w]);

		total->counts[w].good += get_number_(count, "good");
		total->counts[w].total += get_number_(count, "total");
		failures = get_number_(count, "total") -
			   get_number_(count, "good");
		if (w != PL_BURN_1H || failures <= total->worst_failures)
			continue;
		total->worst_failures = failures;
		g_free(total->worst_daemon);
		total->worst_daemon = g_strdup_printf(
			"%s (%s)", get_text_(report, "instance"),
			get_text_(report, "datacentre"));
	}
}

static pl_result_t add_report_(GPtrArray *totals, const char *admin,
			       const char *body, pl_error_t *err)
{
	struct json_object *report = json_tokener_parse(body);
	struct json_object *list = get_member_(report, "objectives");
	pl_result_t result = PL_OK;

	if (!list || !json_object_is_type(list, json_type_array))
		result = pl_error_set(err, PL_ERR_MALFORMED,
				      "%s: response is not a burn report",
				      admin);
	for (size_t i = 0;
	     result == PL_OK && i < json_object_array_length(list); i++) {
		struct json_object *objective =
			json_object_array_get_idx(list, i);

		if (get_number_(objective, "target_ppm") < PL_PPM)
			add_objective_(totals, report, objective);
	}
	json_object_put(report);
	return result;
}

/*
 * Reads the burn report of every daemon. A daemon that fails is named on
 * standard error and its counts are left out; the result is that of the last
 * daemon that failed.
 */
static pl_result_t collect_reports_(const pl_ctl_t *ctl, GPtrArray *totals,
				    pl_error_t *err)
{
	pl_result_t result = PL_OK;

	for (guint i = 0; i < ctl->admins->len; i++) {
		const char *admin = g_ptr_array_index(ctl->admins, i);
		char *body = NULL;
		pl_result_t daemon_result =
			pl_ctl_call(ctl, admin, "GET", "/burn", &body, err);

		if (daemon_result == PL_OK)
			daemon_result = add_report_(totals, admin, body, err);
		g_free(body);
		if (daemon_result == PL_OK)
			continue;
		fprintf(stderr, "pimentoctl: %s; its counts are missing\n",
			err->text);
		*err->text = '\0';
		result = daemon_result;
	}
	return result;
}

static void add_text_(struct json_object *row, const char *key,
		      const char *text)
{
	json_object_object_add(row, key, json_object_new_string(text));
}

static void add_decimal_(struct json_object *object, const char *key,
			 double value)
{
	char text[NUMBER_TEXT_MAX];

	g_snprintf(text, sizeof(text), "%.2f", value);
	json_object_object_add(object, key,
			       json_object_new_double_s(value, text));
}

static void add_text_columns_(struct json_object *row,
			      const objective_total_t *total, double hour_rate)
{
	double days = pl_burn_days(hour_rate, total->window_days);
	char *text;

	if (total->threshold_ms > 0)
		text = g_strdup_printf("%s %ums", total->kind,
				       total->threshold_ms);
	else
		text = g_strdup(total->kind);
	add_text_(row, "objective", text);
	g_free(text);
	text = g_strdup_printf("%g%%", total->target_ppm * PERCENT_PER_PPM);
	add_text_(row, "target", text);
	g_free(text);
	text = days < 0 ? g_strdup("-") : g_strdup_printf("%.1f days", days);
	add_text_(row, "budget", text);
	g_free(text);
	add_text_(row, "worst",
		  total->worst_daemon ? total->worst_daemon : "-");
}

static struct json_object *make_row_(const objective_total_t *total)
{
	struct json_object *row = json_object_new_object();
	struct json_object *rates = json_object_new_object();
	struct json_object *counts = json_object_new_object();
	double values[PL_BURN_WINDOW_COUNT];

	for (int w = 0; w < PL_BURN_WINDOW_COUNT; w++) {
		const char *name = pl_burn_window_names[w];
		struct json_object *count = json_object_new_object();

		values[w] = pl_burn_rate(total->target_ppm, &total->counts[w]);
		add_decimal_(rates, name, values[w]);
		json_object_object_add(
			count, "good",
			json_object_new_uint64(total->counts[w].good));
		json_object_object_add(
			count, "total",
			json_object_new_uint64(total->counts[w].total));
		json_object_object_add(counts, name, count);
	}
	add_text_(row, "service", total->service);
	add_text_columns_(row, total, values[PL_BURN_1H]);
	add_text_(row, "alarm", pl_burn_alarm_names[pl_burn_alarm(values)]);
	json_object_object_add(row, "instances",
			       json_object_new_int((int)total->instances));
	json_object_object_add(row, "rates", rates);
	json_object_object_add(row, "counts", counts);
	return row;
}

/* Prints a gnuplot script that draws the burn rates as SVG. */
static void print_gnuplot_(struct json_object *rows)
{
	size_t count = json_object_array_length(rows);

	puts("set terminal svg size 900,450\n"
	     "set title 'Burn rate by window'\n"
	     "set ylabel 'burn rate'\n"
	     "set logscale y\nset yrange [0.01:*]\n"
	     "set style data histogram\nset style fill solid 0.7\n"
	     "set xtics rotate by -20\nset key outside\n"
	     "$burn << END");
	printf("objective");
	for (int w = 0; w < PL_BURN_WINDOW_COUNT; w++)
		printf(" %s", pl_burn_window_names[w]);
	putchar('\n');
	for (size_t i = 0; i < count; i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		printf("\"%s %s\"", get_text_(row, "service"),
		       get_text_(row, "objective"));
		for (int w = 0; w < PL_BURN_WINDOW_COUNT; w++)
			printf(" %s", get_text_(get_member_(row, "rates"),
						pl_burn_window_names[w]));
		putchar('\n');
	}
	printf("END\nplot for [i=2:%d] $burn using i:xtic(1) title "
	       "columnheader, 14.4 title 'fast', 6 title 'medium', 1 title "
	       "'slow'\n",
	       PL_BURN_WINDOW_COUNT + 1);
}

static void print_rows_(const pl_ctl_t *ctl, struct json_object *rows)
{
	if (ctl->json) {
		pl_ctl_print_json(rows);
		return;
	}
	if (pl_ctl_value(ctl, KEY_GNUPLOT, NULL))
		print_gnuplot_(rows);
	else
		pl_table_print(rows, burn_columns_);
	json_object_put(rows);
}

static pl_result_t cmd_burn_(pl_ctl_t *ctl, pl_error_t *err)
{
	struct json_object *rows;
	GPtrArray *totals;
	pl_result_t result;

	if (ctl->admins->len == 0)
		return pl_error_set(err, PL_ERR_USAGE,
				    "option --admin=IP:PORT is required "
				    "for every agent");
	totals = g_ptr_array_new_with_free_func(objective_total_free_);
	rows = json_object_new_array();
	result = collect_reports_(ctl, totals, err);
	for (guint i = 0; i < totals->len; i++)
		json_object_array_add(rows,
				      make_row_(g_ptr_array_index(totals, i)));
	print_rows_(ctl, rows);
	g_ptr_array_free(totals, TRUE);
	return result;
}

static const struct argp_option burn_options_[] = {
	{ "gnuplot", KEY_GNUPLOT, NULL, 0,
	  "Print input of gnuplot, which draws an SVG plot from it", 0 },
	{ 0 },
};

const pl_ctl_command_t pl_ctl_burn_commands[] = {
	{ "burn", "", 0, 0,
	  "Tells how fast each service-level objective burns its error budget, "
	  "over several windows, summed over the agents that --admin names. "
	  "Alarms: fast (14.4 over 1h and 5m), medium (6 over 6h and 30m), "
	  "slow (1 over 3d and 6h).",
	  burn_options_, cmd_burn_ },
	{ 0 },
};
