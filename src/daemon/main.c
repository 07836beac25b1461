/**
 * @file
 * The daemon pimentoliftd: reads its settings and runs an entry or an agent.
 */
#include "private/node.h"

#include <pimentolift/counter.h>
#include <pimentolift/problem.h>
#include <pimentolift/settings.h>

#include <argp.h>
#include <glib.h>
#include <poll.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/** Arguments of the command line. */
typedef struct {
	const char *path;
	bool check;
} arguments_t;

const char *argp_program_version = "pimentoliftd " PL_VERSION;

static const char doc_[] =
	"Runs an entry or an agent of the pimentolift load balancer."
	"\v"
	"The settings file says which. Exit codes: 0 after a graceful "
	"shutdown, 1 wrong command line, 2 wrong settings, 6 a port or file "
	"could not be used; docs/RESULTS.md lists all.";

static const struct argp_option options_[] = {
	{ "config", 'c', "FILE", 0, "Settings file, in TOML (required)", 0 },
	{ "check", 'n', NULL, 0,
	  "Check the settings, print the effective values and exit", 0 },
	{ 0 },
};

static error_t parse_option_(int key, char *arg, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->path = arg;
		return 0;
	case 'n':
		arguments->check = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument \"%s\"", arg);
		return 0;
	case ARGP_KEY_END:
		if (!arguments->path)
			argp_error(state, "--config=FILE is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp_ = { options_, parse_option_, NULL, doc_,
				   NULL,     NULL,	    NULL };

static GLogWriterOutput write_log_line_(GLogLevelFlags level,
					const GLogField *fields, gsize count,
					gpointer data)
{
	gchar *text = g_log_writer_format_fields(level, fields, count, FALSE);
	gchar *line = g_strconcat(g_strstrip(text), "\n", NULL);
	struct pollfd out = { STDERR_FILENO, POLLOUT, 0 };

	/* a stalled reader must not block the traffic threads: the line is
	 * dropped */
	if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT) ||
	    write(STDERR_FILENO, line, strlen(line)) < 0)
		pl_counter_add(PL_COUNTER_DROP_LOG, 1);
	g_free(line);
	g_free(text);
	return G_LOG_WRITER_HANDLED;
}

static int print_settings_(const pl_settings_t *settings)
{
	char *text = pl_settings_print(settings);

	fputs(text, stdout);
	free(text);
	return PL_OK;
}

static int run_node_(const pl_settings_t *settings)
{
	pl_error_t err = PL_ERROR_INIT;
	pl_node_t *node;
	pl_result_t result;

	if (settings->log == PL_LOG_FORMAT_JOURNAL)
		g_log_set_writer_func(g_log_writer_journald, NULL, NULL);
	else
		g_log_set_writer_func(write_log_line_, NULL, NULL);
	node = pl_node_new(settings, &err);
	result = node ? pl_node_run(node, &err) : err.code;
	if (result != PL_OK)
		fprintf(stderr, "pimentoliftd: %s\n", err.text);
	pl_node_delete(node);
	return (int)result;
}

int main(int argc, char **argv)
{
	arguments_t arguments = { 0 };
	pl_problems_t *problems;
	pl_settings_t *settings = NULL;
	int status;

	argp_err_exit_status = PL_ERR_USAGE;
	argp_parse(&argp_, argc, argv, 0, NULL, &arguments);
	if (sodium_init() < 0)
		return PL_ERR_INTERNAL;
	problems = pl_problems_new(arguments.path);
	if (pl_settings_load(arguments.path, &settings, problems) != PL_OK) {
		fputs(pl_problems_text(problems), stderr);
		pl_problems_delete(problems);
		return PL_ERR_CONFIG;
	}
	pl_problems_delete(problems);
	status = arguments.check ? print_settings_(settings) :
				   run_node_(settings);
	pl_settings_free(settings);
	return status;
}
