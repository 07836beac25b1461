/**
 * @file
 * Commands that read documents: check, show, diff.
 */
#include "private/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_INFO 'i'

static size_t address_count_(const pl_document_t *document)
{
	size_t count = 0;

	for (size_t i = 0; i < pl_document_count(document); i++)
		count += pl_section_service(pl_document_at(document, i))
				 ->address_count;
	return count;
}

/* Number of addresses that have a weight, so that services can share them. */
static size_t weighted_count_(const pl_document_t *document)
{
	size_t count = 0;

	for (size_t i = 0; i < pl_document_count(document); i++) {
		const pl_service_config_t *service =
			pl_section_service(pl_document_at(document, i));

		for (size_t k = 0;
		     service->routes && k < service->address_count; k++)
			count += service->routes[k].weighted;
	}
	return count;
}

static void print_check_result_(const pl_ctl_t *ctl,
				const pl_document_t *document, const char *hash)
{
	struct json_object *root;

	if (!ctl->json) {
		printf("%s: valid, %zu services, %zu addresses, %zu of them "
		       "with a weight, sha256 %s\n",
		       ctl->args[0], pl_document_count(document),
		       address_count_(document), weighted_count_(document),
		       hash);
		return;
	}
	root = json_object_new_object();
	json_object_object_add(root, "valid", json_object_new_boolean(true));
	json_object_object_add(
		root, "services",
		json_object_new_uint64(pl_document_count(document)));
	json_object_object_add(
		root, "addresses",
		json_object_new_uint64(address_count_(document)));
	json_object_object_add(
		root, "weighted",
		json_object_new_uint64(weighted_count_(document)));
	json_object_object_add(root, "hash", json_object_new_string(hash));
	pl_ctl_print_json(root);
}

static pl_result_t cmd_check_(pl_ctl_t *ctl, pl_error_t *err)
{
	char hash[PL_SHA256_TEXT_MAX];
	pl_document_t *document = NULL;
	char *text = NULL;
	size_t len = 0;
	pl_result_t result = pl_ctl_read_file(ctl->args[0], &text, &len, err);

	if (result != PL_OK)
		return result;
	result = pl_ctl_parse(ctl, ctl->args[0], text, len, &document, err);
	if (result == PL_OK) {
		pl_envelope_hash(text, len, hash);
		print_check_result_(ctl, document, hash);
	}
	pl_document_put(document);
	g_free(text);
	return result;
}

/* Reads the document of the environment given by --environment. */
static pl_result_t read_stored_(const pl_ctl_t *ctl,
				pl_stored_document_t *stored, pl_error_t *err)
{
	const char *environment = pl_ctl_environment(ctl, err);
	pl_kv_t *platform;
	pl_result_t result;

	memset(stored, 0, sizeof(*stored));
	if (!environment)
		return PL_ERR_USAGE;
	platform = pl_ctl_platform(ctl, err);
	if (!platform)
		return PL_ERR_USAGE;
	result = pl_publish_read(platform, environment, stored, err);
	pl_kv_delete(platform);
	return result;
}

static void print_envelope_(const pl_ctl_t *ctl, const pl_envelope_t *envelope)
{
	struct json_object *root;

	if (!ctl->json) {
		printf("revision  %" G_GUINT64_FORMAT "\n"
		       "author    %s\noperation %s\nsha256    %s\n",
		       envelope->revision, envelope->author,
		       envelope->operation, envelope->hash);
		return;
	}
	root = json_object_new_object();
	json_object_object_add(root, "revision",
			       json_object_new_uint64(envelope->revision));
	json_object_object_add(root, "author",
			       json_object_new_string(envelope->author));
	json_object_object_add(root, "operation",
			       json_object_new_string(envelope->operation));
	json_object_object_add(root, "hash",
			       json_object_new_string(envelope->hash));
	json_object_object_add(
		root, "document",
		json_object_new_string_len(envelope->text,
					   (int)envelope->text_len));
	pl_ctl_print_json(root);
}

static pl_result_t cmd_show_(pl_ctl_t *ctl, pl_error_t *err)
{
	pl_stored_document_t stored;
	pl_result_t result = read_stored_(ctl, &stored, err);

	if (result != PL_OK)
		return result;
	if (ctl->json || pl_ctl_value(ctl, KEY_INFO, NULL))
		print_envelope_(ctl, &stored.envelope);
	else
		fwrite(stored.envelope.text, 1, stored.envelope.text_len,
		       stdout);
	pl_stored_document_finish(&stored);
	return PL_OK;
}

static void print_diff_(const pl_ctl_t *ctl, const pl_document_t *before,
			const pl_document_t *after)
{
	char *text = pl_document_diff(before, after);
	struct json_object *list;
	char **lines;

	if (!ctl->json) {
		fputs(text, stdout);
		free(text);
		return;
	}
	list = json_object_new_array();
	lines = g_strsplit(text, "\n", 0);
	for (char **line = lines; *line; line++) {
		if (**line)
			json_object_array_add(list,
					      json_object_new_string(*line));
	}
	g_strfreev(lines);
	free(text);
	pl_ctl_print_json(list);
}

static pl_result_t parse_file_(const pl_ctl_t *ctl, const char *path,
			       pl_document_t **document, pl_error_t *err)
{
	char *text = NULL;
	size_t len = 0;
	pl_result_t result = pl_ctl_read_file(path, &text, &len, err);

	if (result == PL_OK)
		result = pl_ctl_parse(ctl, path, text, len, document, err);
	g_free(text);
	return result;
}

/*
 * Parses the old side of the comparison: the first file if two are given,
 * otherwise the document stored for the environment. @p before stays NULL if
 * the environment has no document.
 */
static pl_result_t parse_before_(const pl_ctl_t *ctl, pl_document_t **before,
				 pl_error_t *err)
{
	pl_stored_document_t stored;
	pl_result_t result;

	if (ctl->arg_count == 2)
		return parse_file_(ctl, ctl->args[0], before, err);
	result = read_stored_(ctl, &stored, err);
	if (result == PL_ERR_NOT_FOUND)
		return PL_OK;
	if (result == PL_OK)
		result = pl_ctl_parse(ctl, "the stored document",
				      stored.envelope.text,
				      stored.envelope.text_len, before, err);
	pl_stored_document_finish(&stored);
	return result;
}

static pl_result_t cmd_diff_(pl_ctl_t *ctl, pl_error_t *err)
{
	pl_document_t *before = NULL;
	pl_document_t *after = NULL;
	pl_result_t result = parse_before_(ctl, &before, err);

	if (result == PL_OK)
		result = parse_file_(ctl, ctl->args[ctl->arg_count - 1], &after,
				     err);
	if (result == PL_OK)
		print_diff_(ctl, before, after);
	pl_document_put(before);
	pl_document_put(after);
	return result;
}

static const struct argp_option show_options_[] = {
	{ "info", KEY_INFO, NULL, 0,
	  "Print revision, author, operation and hash instead", 0 },
	{ 0 },
};

const pl_ctl_command_t pl_ctl_document_commands[] = {
	{ "check", "FILE", 1, 1,
	  "Says everything that is wrong with a document, as "
	  "file:line: key: message.",
	  NULL, cmd_check_ },
	{ "show", "", 0, 0, "Prints the document of an environment.",
	  show_options_, cmd_show_ },
	{ "diff", "FILE [FILE]", 1, 2,
	  "Tells in words what FILE would change in the environment, or what "
	  "changes from the first file to the second.",
	  NULL, cmd_diff_ },
	{ 0 },
};
