/**
 * @file
 * @defgroup tool_settings Settings of pimentoctl
 *
 * An optional TOML file that saves typing: where the platform is, which
 * environment is meant, and which admin ports are asked. Options of the
 * command line go before it.
 * @{
 */
#ifndef PIMENTOLIFT_TOOL_SETTINGS_H
#define PIMENTOLIFT_TOOL_SETTINGS_H

#include <pimentolift/settings.h>

/** What the file holds; what is absent is NULL, 0 or empty. */
typedef struct {
	char *platform; /**< base URL of the key-value service */
	char environment[PL_NAME_MAX];
	pl_addr_list_t admin; /**< admin ports of daemons */
	uint32_t timeout_ms; /**< for one call */
} pl_tool_settings_t;

/** Reads @p path into @p settings; pl_tool_settings_finish() ends it. */
pl_result_t pl_tool_settings_load(const char *path,
				  pl_tool_settings_t *settings,
				  pl_problems_t *problems);
void pl_tool_settings_finish(pl_tool_settings_t *settings);

#endif
/** @} */
