/**
 * @file
 * Prints the results of a run.
 */
#include "lab.h"

#include <string.h>

static int64_t field_number_(json_object *report, const char *kind,
			     const char *name)
{
	json_object *object = NULL;
	json_object *value = NULL;

	if (!json_object_object_get_ex(report, kind, &object) ||
	    !json_object_object_get_ex(object, name, &value))
		return 0;
	return json_object_get_int64(value);
}

static int64_t sum_kinds_(json_object *report, const char *name)
{
	static const char *const kinds[] = { "get", "blob", "post", "upload" };
	int64_t sum = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		sum += field_number_(report, kinds[i], name);
	return sum;
}

static void print_count_(const char *text, int64_t count)
{
	printf("  %-46s %8" G_GINT64_FORMAT "\n", text, count);
}

static void print_outcomes_(lab_t *lab)
{
	json_object *report = traffic_report(lab);

	printf("Results of the callers:\n");
	print_count_("views opened", field_number_(report, "view", "sent"));
	print_count_("views broken", field_number_(report, "view", "broken"));
	print_count_("notifications",
		     field_number_(report, "view", "notifications"));
	print_count_("requests sent", sum_kinds_(report, "sent"));
	print_count_("answered completely", sum_kinds_(report, "answered"));
	print_count_("refused, reported as not run",
		     sum_kinds_(report, "refused"));
	print_count_("reported as outcome unknown",
		     sum_kinds_(report, "unknown"));
	print_count_("reported as another error", sum_kinds_(report, "other"));
	print_count_("without any answer", sum_kinds_(report, "nothing"));
	print_count_("wrong or incomplete content",
		     sum_kinds_(report, "wrong"));
	print_count_("run twice",
		     (int64_t)lab->breaches[GUARANTEE_AT_MOST_ONCE]);
	print_count_("crossed between services",
		     (int64_t)lab->breaches[GUARANTEE_ISOLATION]);
	print_count_("longest delay until all views were current, ms",
		     (int64_t)lab->view_delay_max_ms);
	print_count_("longest delay until configuration in force, ms",
		     (int64_t)lab->change_delay_max_ms);
	json_object_put(report);
}

static void print_guarantees_(const lab_t *lab)
{
	printf("\nGuarantees:%41s %10s\n", "trials", "breaches");
	for (int p = 0; p < GUARANTEE_COUNT; p++)
		printf("  %-46s %6" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
		       "\n",
		       guarantee_texts[p], lab->check_counts[p],
		       lab->breaches[p]);
}

static void print_faults_(const lab_t *lab)
{
	printf("\nFaults and changes:");
	for (const fault_t *fault = faults; fault->name; fault++) {
		int count = 0;

		for (guint i = 0; i < lab->injections->len; i++) {
			const injection_t *injection =
				g_ptr_array_index(lab->injections, i);

			count += injection->fault == fault;
		}
		if (count > 0)
			printf(" %s %d", fault->name, count);
	}
	printf("\n");
}

void report_print(lab_t *lab)
{
	print_outcomes_(lab);
	print_guarantees_(lab);
	print_faults_(lab);
	for (guint i = 0; i < lab->breach_texts->len; i++)
		printf("\n%s\n",
		       (char *)g_ptr_array_index(lab->breach_texts, i));
	fflush(stdout);
}
