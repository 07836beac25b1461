/**
 * @file
 * pimentoctl: looks up the command, parses its options and runs it. The exit
 * status is the number of the command's result (pl_result_t).
 */
#include "private/ctl.h"

#include <pimentolift/tool_settings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_DEFAULT_MS 5000
#define DECIMAL 10

const char *argp_program_version = "pimentoctl " PL_VERSION;

static const char doc_[] =
	"Checks, applies and promotes configuration documents, and queries "
	"running daemons."
	"\vCommands:\n"
	"  check FILE       report all errors in a document\n"
	"  apply FILE       apply a document to an environment\n"
	"  promote          copy the document of one environment to another\n"
	"  show             print the document of an environment\n"
	"  diff FILE [FILE] show the differences\n"
	"  status           a daemon's state, revision and members\n"
	"  endpoints        backend servers as a daemon sees them\n"
	"  drain            drain a daemon: finish its work, accept none\n"
	"  metrics [NAME]   counters and histograms\n"
	"  explain          where a caller's datagrams or a flow go, and why\n"
	"  burn             error-budget burn rates of the objectives\n\n"
	"`pimentoctl COMMAND --help` lists the options of a command. Exit "
	"codes: 0 ok, 1 wrong command line, 2 document not valid, 3 conflict "
	"with a concurrent change, 4 platform or daemon down, 5 outcome unknown; "
	"docs/RESULTS.md lists all.";

static const struct argp_option shared_options_[] = {
	{ "platform", 'p', "URL", 0, "Base URL of the key-value store", 1 },
	{ "environment", 'e', "NAME", 0, "Name of the environment", 1 },
	{ "admin", 'a', "IP:PORT", 0,
	  "Admin port of a daemon; may be given several times", 1 },
	{ "config", 'c', "FILE", 0,
	  "TOML file with platform, environment, admin and timeout_ms "
	  "(default: $PIMENTOCTL_CONFIG)",
	  1 },
	{ "timeout", 't', "MS", 0, "Time for one call, in milliseconds", 1 },
	{ "json", 'j', NULL, 0, "Print JSON", 1 },
	{ 0 },
};

static void replace_string_(char **text, const char *value)
{
	g_free(*text);
	*text = g_strdup(value);
}

static error_t parse_shared_(int key, char *arg, struct argp_state *state)
{
	pl_ctl_t *ctl = state->input;

	switch (key) {
	case 'p':
		replace_string_(&ctl->platform, arg);
		return 0;
	case 'e':
		replace_string_(&ctl->environment, arg);
		return 0;
	case 'a':
		g_ptr_array_add(ctl->admins, g_strdup(arg));
		return 0;
	case 'c':
		replace_string_(&ctl->config, arg);
		return 0;
	case 't':
		ctl->timeout_ms = (uint32_t)strtoul(arg, NULL, DECIMAL);
		if (ctl->timeout_ms == 0)
			argp_error(state,
				   "\"%s\" is not a time-out in "
				   "milliseconds greater than 0",
				   arg);
		return 0;
	case 'j':
		ctl->json = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp shared_argp_ = {
	shared_options_, parse_shared_, NULL, NULL, NULL, NULL, NULL
};

static bool command_has_option_(const pl_ctl_command_t *command, int key)
{
	const struct argp_option *option = command->options;

	while (option && option->name) {
		if (option->key == key)
			return true;
		option++;
	}
	return false;
}

static error_t parse_command_(int key, char *arg, struct argp_state *state)
{
	pl_ctl_t *ctl = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = ctl;
		return 0;
	case ARGP_KEY_ARG:
		if (ctl->arg_count == ctl->command->args_max)
			argp_error(state, "unexpected argument \"%s\"", arg);
		else
			ctl->args[ctl->arg_count++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (ctl->arg_count < ctl->command->args_min)
			argp_error(state, "missing argument: %s",
				   ctl->command->args);
		return 0;
	default:
		if (!command_has_option_(ctl->command, key))
			return ARGP_ERR_UNKNOWN;
		ctl->values[key] = arg ? arg : "";
		return 0;
	}
}

static const pl_ctl_command_t *
find_command_in_(const pl_ctl_command_t *commands, const char *name)
{
	for (; commands->name; commands++) {
		if (strcmp(commands->name, name) == 0)
			return commands;
	}
	return NULL;
}

static const pl_ctl_command_t *find_command_(const char *name)
{
	const pl_ctl_command_t *const groups[] = {
		pl_ctl_document_commands,
		pl_ctl_publish_commands,
		pl_ctl_node_commands,
		pl_ctl_burn_commands,
	};
	const pl_ctl_command_t *command = NULL;

	for (size_t i = 0; !command && i < G_N_ELEMENTS(groups); i++)
		command = find_command_in_(groups[i], name);
	return command;
}

/*
 * The first argument that is not an option names the command; all arguments
 * after it belong to the command.
 */
static error_t parse_main_(int key, char *arg, struct argp_state *state)
{
	int *command_index = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		*command_index = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no command given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Sets the options missing from the command line from the settings file. */
static pl_result_t read_config_(pl_ctl_t *ctl, pl_error_t *err)
{
	const char *path =
		ctl->config ? ctl->config : g_getenv("PIMENTOCTL_CONFIG");
	pl_tool_settings_t settings = { 0 };
	char text[PL_ADDR_TEXT_MAX];
	pl_problems_t *problems;
	pl_result_t result;

	if (!path)
		return PL_OK;
	problems = pl_problems_new(path);
	result = pl_tool_settings_load(path, &settings, problems);
	if (result != PL_OK)
		pl_error_set(err, result, "%s", pl_problems_at(problems, 0));
	pl_problems_delete(problems);
	if (!ctl->platform)
		ctl->platform = g_strdup(settings.platform);
	if (!ctl->environment && *settings.environment)
		ctl->environment = g_strdup(settings.environment);
	if (ctl->timeout_ms == 0)
		ctl->timeout_ms = settings.timeout_ms;
	if (ctl->admins->len == 0) {
		for (size_t i = 0; i < settings.admin.count; i++)
			g_ptr_array_add(ctl->admins,
					g_strdup(pl_addr_format(
						&settings.admin.at[i], text)));
	}
	pl_tool_settings_finish(&settings);
	return result;
}

static pl_result_t run_command_(const pl_ctl_command_t *command, int argc,
				char **argv)
{
	const struct argp_child children[] = {
		{ &shared_argp_, 0, "Options of all commands:", 2 },
		{ 0 },
	};
	const struct argp argp = {
		command->options, parse_command_, command->args, command->doc,
		children,	  NULL,		  NULL
	};
	pl_ctl_t ctl = {
		.command = command,
		.admins = g_ptr_array_new_with_free_func(g_free),
	};
	pl_error_t err = PL_ERROR_INIT;
	pl_result_t result;

	argp_parse(&argp, argc, argv, 0, NULL, &ctl);
	result = read_config_(&ctl, &err);
	if (ctl.timeout_ms == 0)
		ctl.timeout_ms = TIMEOUT_DEFAULT_MS;
	if (result == PL_OK)
		result = command->run(&ctl, &err);
	if (result != PL_OK && *err.text)
		fprintf(stderr, "pimentoctl: %s\n", err.text);
	g_ptr_array_free(ctl.admins, TRUE);
	g_free(ctl.platform);
	g_free(ctl.environment);
	g_free(ctl.config);
	return result;
}

int main(int argc, char **argv)
{
	const struct argp argp = { NULL, parse_main_, "COMMAND [OPTION...]",
				   doc_, NULL,	      NULL,
				   NULL };
	const pl_ctl_command_t *command;
	pl_result_t result;
	int index = 0;
	char *name;

	argp_err_exit_status = PL_ERR_USAGE;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &index);
	command = find_command_(argv[index]);
	if (!command) {
		fprintf(stderr,
			"pimentoctl: no command \"%s\"; see pimentoctl "
			"--help\n",
			argv[index]);
		return PL_ERR_USAGE;
	}
	name = g_strdup_printf("pimentoctl %s", command->name);
	argv[index] = name;
	result = run_command_(command, argc - index, argv + index);
	g_free(name);
	return (int)result;
}
