/**
 * @file
 * Typed access to a TOML tree. Each function adds errors to the list of
 * problems and continues, so that one pass reports every error. An absent
 * optional key leaves the output unchanged, so that it may hold the default.
 */
#ifndef PL_CONFIG_READER_H
#define PL_CONFIG_READER_H

#include "private/toml.h"

#include <pimentolift/addr.h>
#include <pimentolift/settings.h>

/** Whether a key must be present. */
typedef enum {
	PL_KEY_OPTIONAL,
	PL_KEY_REQUIRED,
} pl_key_presence_t;

/** Child @p key, or NULL; reports it if it is not of type @p type. */
pl_toml_t *pl_reader_get(pl_problems_t *problems, pl_toml_t *table,
			 const char *key, pl_toml_type_t type,
			 pl_key_presence_t presence);

/** String value of @p key, or NULL; borrowed from the tree. */
const char *pl_reader_text(pl_problems_t *problems, pl_toml_t *table,
			   const char *key, pl_key_presence_t presence);

/** Reads a name as pl_reader_check_name() accepts it. */
void pl_reader_name(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    pl_key_presence_t presence, char name[PL_NAME_MAX]);

/**
 * Returns whether @p name, found at @p node, consists of letters, digits, '.',
 * '_' and '-' and is shorter than PL_NAME_MAX; otherwise reports it.
 */
bool pl_reader_check_name(pl_problems_t *problems, const pl_toml_t *node,
			  const char *name);

/** Reads an integer from @p min to @p max. */
void pl_reader_number(pl_problems_t *problems, pl_toml_t *table,
		      const char *key, int64_t min, int64_t max,
		      uint32_t *number);

/** Reads a float or integer above @p above and below @p below. */
void pl_reader_real(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    pl_key_presence_t presence, double above, double below,
		    double *real);

void pl_reader_flag(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    bool *flag);

/** Reads one of @p count @p names; sets @p choice to its index. */
void pl_reader_choice(pl_problems_t *problems, pl_toml_t *table,
		      const char *key, pl_key_presence_t presence,
		      const char *const *names, size_t count,
		      unsigned int *choice);

/** Reads an IP address and port; returns whether a valid one was present. */
bool pl_reader_addr(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    pl_key_presence_t presence, pl_addr_t *addr);

/**
 * Reads an array of addresses; the caller frees the array in @p list with
 * g_free().
 */
void pl_reader_addr_list(pl_problems_t *problems, pl_toml_t *table,
			 const char *key, pl_key_presence_t presence,
			 pl_addr_list_t *list);

/** Reports a problem at the line of the child @p key, which must exist. */
void pl_reader_problem(pl_problems_t *problems, pl_toml_t *table,
		       const char *key, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/** Reports each child of @p table that no function has read. */
void pl_reader_unknown(pl_problems_t *problems, const pl_toml_t *table);

#endif
