/**
 * @file
 * Declarations shared by the commands of pimentoctl: parsed options, the
 * client of the platform's key-value service, and HTTP requests to the admin
 * ports of daemons.
 */
#ifndef PL_CTL_H
#define PL_CTL_H

#include <argp.h>
#include <glib.h>
#include <json-c/json.h>
#include <pimentolift/document.h>
#include <pimentolift/kv.h>
#include <pimentolift/publish.h>
#include <pimentolift/result.h>
#include <stdbool.h>

/** Largest number of positional arguments of a command. */
#define PL_CTL_ARGS_MAX 2

typedef struct pl_ctl pl_ctl_t;

/** A command. A list of commands ends with an entry without a name. */
typedef struct {
	const char *name;
	const char *args; /**< shown in the usage, for example "FILE" */
	unsigned int args_min;
	unsigned int args_max;
	const char *doc;
	const struct argp_option *options; /**< NULL if there are none */
	pl_result_t (*run)(pl_ctl_t *ctl, pl_error_t *err);
} pl_ctl_command_t;

/** Parsed command line of one command. */
struct pl_ctl {
	const pl_ctl_command_t *command;
	char *platform;
	char *environment;
	char *config;
	GPtrArray *admins; /**< admin ports of daemons, as "IP:PORT" */
	uint32_t timeout_ms;
	bool json;
	const char *args[PL_CTL_ARGS_MAX];
	unsigned int arg_count;
	const char *values[128]; /**< option values, indexed by option key */
};

extern const pl_ctl_command_t pl_ctl_document_commands[];
extern const pl_ctl_command_t pl_ctl_publish_commands[];
extern const pl_ctl_command_t pl_ctl_node_commands[];
extern const pl_ctl_command_t pl_ctl_burn_commands[];

/** Value of the option @p key; @p fallback if the option was not given. */
const char *pl_ctl_value(const pl_ctl_t *ctl, int key, const char *fallback);

/**
 * Parses the value of the option @p key as a revision. @p number is
 * @p fallback if the option was not given. PL_ERR_USAGE if the value is not a
 * number.
 */
pl_result_t pl_ctl_number(const pl_ctl_t *ctl, int key, uint64_t fallback,
			  uint64_t *number, pl_error_t *err);

/**
 * Creates a client of the platform's key-value service. NULL with an error if
 * no platform URL was given.
 */
pl_kv_t *pl_ctl_platform(const pl_ctl_t *ctl, pl_error_t *err);

/** Name of the environment; NULL with an error if none was given. */
const char *pl_ctl_environment(const pl_ctl_t *ctl, pl_error_t *err);

/** Reads the file @p path. @p text ends in a zero byte; free with g_free(). */
pl_result_t pl_ctl_read_file(const char *path, char **text, size_t *len,
			     pl_error_t *err);

/**
 * Parses a document. Its problems are printed to standard error, or with
 * --json to standard output. @p name stands for the document in the messages.
 */
pl_result_t pl_ctl_parse(const pl_ctl_t *ctl, const char *name,
			 const char *text, size_t len, pl_document_t **document,
			 pl_error_t *err);

/** Prints @p object and a newline, and frees @p object. */
void pl_ctl_print_json(struct json_object *object);

/**
 * Sends an HTTP request to the admin port @p admin. @p body is the body of the
 * response; free with g_free(). PL_ERR_UNAVAILABLE if no response arrived,
 * PL_ERR_USAGE for status 400, PL_ERR_STATE for any other error status.
 */
pl_result_t pl_ctl_call(const pl_ctl_t *ctl, const char *admin,
			const char *method, const char *path, char **body,
			pl_error_t *err);

#endif
