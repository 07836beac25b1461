/**
 * @file
 * Commands that write documents: apply, promote.
 */
#include "private/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_EXPECT 'x'
#define KEY_ABOVE 'b'
#define KEY_AUTHOR 'u'
#define KEY_FROM 'f'
#define KEY_TO 'o'
#define KEY_REVISION 'r'

/* Prints what @p publish would change in the document now stored. */
static void print_conflict_(const pl_envelope_t *stored,
			    const pl_publish_params_t *publish)
{
	pl_problems_t *problems = pl_problems_new("");
	pl_document_t *before = NULL;
	pl_document_t *after = NULL;
	char *text;

	if (!stored->text)
		return;
	fprintf(stderr,
		"Revision %" G_GUINT64_FORMAT
		" of %s is there now, by %s. Your document would change:\n",
		stored->revision, publish->environment, stored->author);
	pl_document_parse(stored->text, stored->text_len, 1, &before, problems);
	pl_document_parse(publish->text, publish->text_len, 1, &after,
			  problems);
	text = pl_document_diff(before, after);
	fputs(*text ? text : "(no service differs)\n", stderr);
	free(text);
	pl_document_put(before);
	pl_document_put(after);
	pl_problems_delete(problems);
}

static void print_written_(const pl_ctl_t *ctl, const char *environment,
			   const pl_envelope_t *envelope)
{
	struct json_object *root;

	if (!ctl->json) {
		printf("%s: revision %" G_GUINT64_FORMAT ", sha256 %s\n",
		       environment, envelope->revision, envelope->hash);
		return;
	}
	root = json_object_new_object();
	json_object_object_add(root, "environment",
			       json_object_new_string(environment));
	json_object_object_add(root, "revision",
			       json_object_new_uint64(envelope->revision));
	json_object_object_add(root, "hash",
			       json_object_new_string(envelope->hash));
	pl_ctl_print_json(root);
}

/* Sets the fields given by --expect and --above. */
static pl_result_t read_options_(const pl_ctl_t *ctl,
				 pl_publish_params_t *publish, pl_error_t *err)
{
	pl_result_t result =
		pl_ctl_number(ctl, KEY_EXPECT, PL_PUBLISH_ANY_REVISION,
			      &publish->expect, err);

	if (result == PL_OK)
		result = pl_ctl_number(ctl, KEY_ABOVE, 0, &publish->above, err);
	return result;
}

static pl_result_t write_document_(const pl_ctl_t *ctl, pl_kv_t *platform,
				   pl_publish_params_t *publish,
				   pl_error_t *err)
{
	char *author =
		g_strdup_printf("%s@%s", g_get_user_name(), g_get_host_name());
	pl_result_t result = read_options_(ctl, publish, err);
	pl_stored_document_t stored = { 0 };

	publish->author = pl_ctl_value(ctl, KEY_AUTHOR, author);
	if (result == PL_OK)
		result = pl_publish_apply(platform, publish, &stored, err);
	if (result == PL_OK)
		print_written_(ctl, publish->environment, &stored.envelope);
	else if (result == PL_ERR_CONFLICT)
		print_conflict_(&stored.envelope, publish);
	pl_stored_document_finish(&stored);
	g_free(author);
	return result;
}

/* Validates the document and writes it if it is valid. */
static pl_result_t validate_and_write_(const pl_ctl_t *ctl, pl_kv_t *platform,
				       const char *name,
				       pl_publish_params_t *publish,
				       pl_error_t *err)
{
	pl_document_t *document = NULL;
	pl_result_t result = pl_ctl_parse(ctl, name, publish->text,
					  publish->text_len, &document, err);

	if (result == PL_OK)
		result = write_document_(ctl, platform, publish, err);
	pl_document_put(document);
	return result;
}

static pl_result_t cmd_apply_(pl_ctl_t *ctl, pl_error_t *err)
{
	pl_publish_params_t publish = { .environment =
						pl_ctl_environment(ctl, err) };
	pl_kv_t *platform;
	pl_result_t result;
	char *text = NULL;

	if (!publish.environment)
		return PL_ERR_USAGE;
	platform = pl_ctl_platform(ctl, err);
	if (!platform)
		return PL_ERR_USAGE;
	result = pl_ctl_read_file(ctl->args[0], &text, &publish.text_len, err);
	publish.text = text;
	if (result == PL_OK)
		result = validate_and_write_(ctl, platform, ctl->args[0],
					     &publish, err);
	pl_kv_delete(platform);
	g_free(text);
	return result;
}

/* Reads the document to be promoted; checks its revision against --revision. */
static pl_result_t read_source_(const pl_ctl_t *ctl, pl_kv_t *platform,
				const char *from, pl_stored_document_t *stored,
				pl_error_t *err)
{
	uint64_t expected = 0;
	pl_result_t result =
		pl_ctl_number(ctl, KEY_REVISION, 0, &expected, err);

	if (result == PL_OK)
		result = pl_publish_read(platform, from, stored, err);
	if (result == PL_OK && expected > 0 &&
	    expected != stored->envelope.revision)
		result = pl_error_set(
			err, PL_ERR_CONFLICT,
			"%s has revision %" G_GUINT64_FORMAT
			", not %" G_GUINT64_FORMAT "; nothing was written",
			from, stored->envelope.revision, expected);
	return result;
}

static pl_result_t cmd_promote_(pl_ctl_t *ctl, pl_error_t *err)
{
	const char *from = pl_ctl_value(ctl, KEY_FROM, NULL);
	const char *to = pl_ctl_value(ctl, KEY_TO, NULL);
	pl_kv_t *platform;
	pl_stored_document_t stored = { 0 };
	pl_publish_params_t publish = { .environment = to };
	pl_result_t result;

	if (!from || !to)
		return pl_error_set(err, PL_ERR_USAGE,
				    "options --from=NAME and --to=NAME are "
				    "required");
	platform = pl_ctl_platform(ctl, err);
	if (!platform)
		return PL_ERR_USAGE;
	result = read_source_(ctl, platform, from, &stored, err);
	publish.text = stored.envelope.text;
	publish.text_len = stored.envelope.text_len;
	if (result == PL_OK)
		result =
			validate_and_write_(ctl, platform, from, &publish, err);
	pl_stored_document_finish(&stored);
	pl_kv_delete(platform);
	return result;
}

#define WRITE_OPTIONS_                                                            \
	{ "expect",                                                               \
	  KEY_EXPECT,                                                             \
	  "REVISION",                                                             \
	  0,                                                                      \
	  "Write only if this revision is there now; 0 for none",                 \
	  0 },                                                                    \
		{ "author",                                                       \
		  KEY_AUTHOR,                                                     \
		  "TEXT",                                                         \
		  0,                                                              \
		  "Who writes (default: user@host)",                              \
		  0 },                                                            \
	{                                                                         \
		"above", KEY_ABOVE, "REVISION", 0,                                \
			"Give the document a revision above this one too; for a " \
			"store that lost what is in force",                       \
			0                                                         \
	}

static const struct argp_option apply_options_[] = {
	WRITE_OPTIONS_,
	{ 0 },
};

static const struct argp_option promote_options_[] = {
	{ "from", KEY_FROM, "NAME", 0, "Environment that was tried", 0 },
	{ "to", KEY_TO, "NAME", 0, "Environment that gets the document", 0 },
	{ "revision", KEY_REVISION, "REVISION", 0,
	  "Promote only if the source has this revision", 0 },
	WRITE_OPTIONS_,
	{ 0 },
};

const pl_ctl_command_t pl_ctl_publish_commands[] = {
	{ "apply", "FILE", 1, 1,
	  "Checks a document and puts it in force in an environment.",
	  apply_options_, cmd_apply_ },
	{ "promote", "", 0, 0,
	  "Carries the document of one environment to another, byte by byte.",
	  promote_options_, cmd_promote_ },
	{ 0 },
};
