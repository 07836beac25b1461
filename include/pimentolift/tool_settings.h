/**
 * @file
 * @defgroup tool_settings Settings of pimentoctl
 *
 * An optional TOML file with defaults for the platform's address, the
 * environment, the admin addresses and the time limit. Command-line options
 * override it.
 * @{
 */
#ifndef PIMENTOLIFT_TOOL_SETTINGS_H
#define PIMENTOLIFT_TOOL_SETTINGS_H

#include <pimentolift/settings.h>

/** Contents of the file; absent values are NULL, 0 or empty. */
typedef struct {
	char *platform; /**< base URL of the key-value service */
	char environment[PL_NAME_MAX];
	pl_addr_list_t admin; /**< admin addresses of daemons */
	uint32_t timeout_ms; /**< per call */
} pl_tool_settings_t;

/**
 * Reads @p path into @p settings, which the caller frees with
 * pl_tool_settings_finish().
 */
pl_result_t pl_tool_settings_load(const char *path,
				  pl_tool_settings_t *settings,
				  pl_problems_t *problems);
void pl_tool_settings_finish(pl_tool_settings_t *settings);

#endif
/** @} */
