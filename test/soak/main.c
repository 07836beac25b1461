/**
 * @file
 * Program pl_lab: runs the demonstration or a randomised run.
 */
#include "lab.h"

#include <argp.h>
#include <stdlib.h>

typedef struct {
	bool demo;
	bool verbose;
	uint32_t seed;
	uint32_t seconds;
	const char *faults;
} arguments_t;

static const struct argp_option options_[] = {
	{ "demo", 'd', NULL, 0, "Run the demonstration", 0 },
	{ "seed", 's', "N", 0, "Seed of the random numbers", 0 },
	{ "seconds", 't', "N", 0, "Duration of the fault injection, in seconds",
	  0 },
	{ "faults", 'f', "LIST", 0,
	  "Faults by name, separated by commas, or \"all\"", 0 },
	{ "verbose", 'v', NULL, 0, "Print each step to standard error", 0 },
	{ 0 },
};

static error_t parse_option_(int key, char *arg, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 'd':
		arguments->demo = true;
		return 0;
	case 's':
		arguments->seed = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 't':
		arguments->seconds = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'f':
		arguments->faults = arg;
		return 0;
	case 'v':
		arguments->verbose = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp_ = {
	options_,
	parse_option_,
	NULL,
	"Runs the system with stand-ins, injects faults and checks the "
	"guarantees.",
	NULL,
	NULL,
	NULL,
};

int main(int argc, char **argv)
{
	arguments_t arguments = { .seed = 1, .seconds = 60, .faults = "all" };

	argp_parse(&argp_, argc, argv, 0, NULL, &arguments);
	if (arguments.demo)
		return demo_run();
	return soak_run(arguments.seed, arguments.seconds, arguments.faults,
			arguments.verbose);
}
