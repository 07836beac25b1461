/**
 * @file
 * The operators of a run, who apply documents with pimentoctl.
 */
#include "lab.h"

#include <gio/gio.h>
#include <string.h>

#define EXIT_CONFLICT 3
#define DEADLINE_MIN_MS 3000
#define DEADLINE_VARIANTS 1000

const char *const lab_addresses[LAB_SERVICES] = { "192.0.2.10:5683",
						  "192.0.2.20:5683" };

/* Each document differs from the previous one in the deadline. */
static char *write_document_(lab_t *lab, const char *name)
{
	char *path = g_strdup_printf("%s/%s.toml", lab->dir, name);
	GString *text = g_string_new("format = 1\n");

	lab->change_count++;
	for (int s = 0; s < LAB_SERVICES; s++)
		g_string_append_printf(
			text,
			"[[service]]\nname = \"%s\"\naddresses = [\"%s\"]\n"
			"deadline_ms = %u\n",
			lab_services[s], lab_addresses[s],
			DEADLINE_MIN_MS +
				lab->change_count % DEADLINE_VARIANTS);
	g_file_set_contents(path, text->str, (gssize)text->len, NULL);
	g_string_free(text, TRUE);
	return path;
}

/* Starts "pimentoctl apply"; a negative @p expect matches any revision. */
static GSubprocess *start_apply_(lab_t *lab, const char *name, int64_t expect)
{
	char *path = write_document_(lab, name);
	char *option = g_strdup_printf("--expect=%" G_GINT64_FORMAT, expect);
	GSubprocess *process = g_subprocess_new(
		G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE,
		NULL, PL_CTL, "apply", "--json", "--environment=lab",
		"--platform", lab->store_url, path, expect < 0 ? NULL : option,
		NULL);

	g_free(option);
	g_free(path);
	return process;
}

static void record_accepted_(lab_t *lab, const char *text)
{
	json_object *answer = json_tokener_parse(text);
	json_object *revision = NULL;

	if (answer && json_object_object_get_ex(answer, "revision", &revision))
		lab->change.revision = MAX(lab->change.revision,
					   json_object_get_int64(revision));
	lab->change.accepted_ms = pl_now_ms();
	lab->change.pending = true;
	lab_trace(lab, "configuration revision %d accepted",
		  (int)lab->change.revision);
	json_object_put(answer);
}

/* Waits until the process exits and returns its status; -1: by a signal. */
static int finish_apply_(lab_t *lab, GSubprocess *process)
{
	char *out = NULL;
	char *errors = NULL;
	int status;

	g_subprocess_communicate_utf8(process, NULL, NULL, &out, &errors, NULL);
	status = g_subprocess_get_if_exited(process) ?
			 g_subprocess_get_exit_status(process) :
			 -1;
	if (status == 0)
		record_accepted_(lab, out);
	else
		lab_trace(lab, "pimentoctl apply exited with %d: %s", status,
			  errors ? g_strstrip(errors) : "");
	g_free(out);
	g_free(errors);
	g_object_unref(process);
	return status;
}

bool operator_apply(lab_t *lab)
{
	return finish_apply_(lab, start_apply_(lab, "document", -1)) == 0;
}

void operator_race(lab_t *lab)
{
	int64_t revision = lab->change.revision;
	GSubprocess *one = start_apply_(lab, "document-1", revision);
	GSubprocess *two = start_apply_(lab, "document-2", revision);
	int first = finish_apply_(lab, one);
	int second = finish_apply_(lab, two);

	lab->check_counts[GUARANTEE_CONFIGURATION]++;
	if (!lab->store_up)
		return;
	if (MIN(first, second) != 0 || MAX(first, second) != EXIT_CONFLICT)
		check_breach(lab, GUARANTEE_CONFIGURATION,
			     "two concurrent applies exited with %d and %d",
			     first, second);
}
