/**
 * @file
 * Parser of pimentoctl's TOML settings.
 */
#include <pimentolift/tool_settings.h>

#include "private/reader.h"

#include <string.h>

#define TIMEOUT_MIN_MS 50
#define TIMEOUT_MAX_MS 60000

pl_result_t pl_tool_settings_load(const char *path,
				  pl_tool_settings_t *settings,
				  pl_problems_t *problems)
{
	GError *error = NULL;
	char *text = NULL;
	pl_toml_t *root;
	gsize len = 0;

	memset(settings, 0, sizeof(*settings));
	if (!g_file_get_contents(path, &text, &len, &error)) {
		pl_problems_add(problems, 0, "", "%s", error->message);
		g_error_free(error);
		return PL_ERR_CONFIG;
	}
	root = pl_toml_parse(text, len, problems);
	g_free(text);
	if (!root)
		return PL_ERR_CONFIG;
	settings->platform = g_strdup(
		pl_reader_text(problems, root, "platform", PL_KEY_OPTIONAL));
	pl_reader_name(problems, root, "environment", PL_KEY_OPTIONAL,
		       settings->environment);
	pl_reader_addr_list(problems, root, "admin", PL_KEY_OPTIONAL,
			    &settings->admin);
	pl_reader_number(problems, root, "timeout_ms", TIMEOUT_MIN_MS,
			 TIMEOUT_MAX_MS, &settings->timeout_ms);
	pl_reader_unknown(problems, root);
	pl_toml_delete(root);
	return pl_problems_count(problems) > 0 ? PL_ERR_CONFIG : PL_OK;
}

void pl_tool_settings_finish(pl_tool_settings_t *settings)
{
	g_free(settings->platform);
	g_free(settings->admin.at);
	memset(settings, 0, sizeof(*settings));
}
