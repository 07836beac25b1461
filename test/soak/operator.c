/**
 * @file
 * The operators of a run: they write documents by pimentoctl.
 */
#include "lab.h"

#include <gio/gio.h>
#include <string.h>

#define EXIT_CONFLICT 3
#define DEADLINE_MS 3000
#define DEADLINE_STEPS 1000

const char *const lab_addresses[LAB_SERVICES] = { "192.0.2.10:5683",
						  "192.0.2.20:5683" };

/* Each document differs from the one before. */
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
			DEADLINE_MS + lab->change_count % DEADLINE_STEPS);
	g_file_set_contents(path, text->str, (gssize)text->len, NULL);
	g_string_free(text, TRUE);
	return path;
}

/* Starts "pimentoctl apply"; @p expect is negative for any revision. */
static GSubprocess *start_(lab_t *lab, const char *name, int64_t expect)
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

static void accepted_(lab_t *lab, const char *text)
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

/* Waits for the end; returns the exit status. */
static int end_(lab_t *lab, GSubprocess *process)
{
	char *out = NULL;
	char *errors = NULL;
	int status;

	g_subprocess_communicate_utf8(process, NULL, NULL, &out, &errors, NULL);
	status = g_subprocess_get_if_exited(process) ?
			 g_subprocess_get_exit_status(process) :
			 -1;
	if (status == 0)
		accepted_(lab, out);
	else
		lab_trace(lab, "pimentoctl apply ended with %d: %s", status,
			  errors ? g_strstrip(errors) : "");
	g_free(out);
	g_free(errors);
	g_object_unref(process);
	return status;
}

bool operator_apply(lab_t *lab)
{
	return end_(lab, start_(lab, "document", -1)) == 0;
}

void operator_race(lab_t *lab)
{
	int64_t revision = lab->change.revision;
	GSubprocess *one = start_(lab, "document-1", revision);
	GSubprocess *two = start_(lab, "document-2", revision);
	int first = end_(lab, one);
	int second = end_(lab, two);

	lab->trials[PROMISE_CONFIGURATION]++;
	if (!lab->store_up)
		return;
	if (MIN(first, second) != 0 || MAX(first, second) != EXIT_CONFLICT)
		check_breach(lab, PROMISE_CONFIGURATION,
			     "two operators at once: exit codes %d and %d",
			     first, second);
}
