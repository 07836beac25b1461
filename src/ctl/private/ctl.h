/**
 * @file
 * What the commands of pimentoctl share: options, the platform, and the
 * admin ports of daemons.
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

/** Most arguments that are not options. */
#define PL_CTL_ARGS_MAX 2

typedef struct pl_ctl pl_ctl_t;

/** A command; a list of them ends with one that has no name. */
typedef struct {
	const char *name;
	const char *args; /**< shown in the usage, for example "FILE" */
	unsigned int args_min;
	unsigned int args_max;
	const char *doc;
	const struct argp_option *options; /**< of this command, or NULL */
	pl_result_t (*run)(pl_ctl_t *ctl, pl_error_t *err);
} pl_ctl_command_t;

/** The command line of one command. */
struct pl_ctl {
	const pl_ctl_command_t *command;
	char *platform;
	char *environment;
	char *config;
	GPtrArray *admins; /**< "IP:PORT" */
	uint32_t timeout_ms;
	bool json;
	const char *args[PL_CTL_ARGS_MAX];
	unsigned int arg_count;
	const char *values[128]; /**< of the command's options, by key */
};

extern const pl_ctl_command_t pl_ctl_document_commands[];
extern const pl_ctl_command_t pl_ctl_publish_commands[];
extern const pl_ctl_command_t pl_ctl_node_commands[];
extern const pl_ctl_command_t pl_ctl_burn_commands[];

/** Value of the option @p key, or @p missing. */
const char *pl_ctl_value(const pl_ctl_t *ctl, int key, const char *missing);

/** Number in the option @p key; PL_ERR_USAGE when it is not one. */
pl_result_t pl_ctl_number(const pl_ctl_t *ctl, int key, uint64_t missing,
			  uint64_t *number, pl_error_t *err);

/** Client of the platform, or NULL when its address is not given. */
pl_kv_t *pl_ctl_platform(const pl_ctl_t *ctl, pl_error_t *err);

/** The environment, or NULL with an error. */
const char *pl_ctl_environment(const pl_ctl_t *ctl, pl_error_t *err);

/** Reads the file @p path; the text ends in a zero byte. */
pl_result_t pl_ctl_read_file(const char *path, char **text, size_t *len,
			     pl_error_t *err);

/**
 * Parses a document; what is wrong goes to standard error, or to standard
 * output as JSON.
 */
pl_result_t pl_ctl_parse(const pl_ctl_t *ctl, const char *name,
			 const char *text, size_t len, pl_document_t **document,
			 pl_error_t *err);

/** Prints @p object with a line end and frees it. */
void pl_ctl_print_json(struct json_object *object);

/**
 * Calls the admin port @p admin. @p body is the answer, freed with g_free().
 * PL_ERR_UNAVAILABLE when there is none; an error status is PL_ERR_USAGE for
 * a wrong argument and PL_ERR_STATE for anything else.
 */
pl_result_t pl_ctl_call(const pl_ctl_t *ctl, const char *admin,
			const char *method, const char *path, char **body,
			pl_error_t *err);

#endif
