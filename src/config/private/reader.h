/**
 * @file
 * Typed access to a TOML tree. Each function reports what is wrong and goes
 * on, so that one pass finds everything. A key that is absent and optional
 * leaves the output as it was.
 */
#ifndef PL_CONFIG_READER_H
#define PL_CONFIG_READER_H

#include "private/toml.h"

#include <pimentolift/addr.h>
#include <pimentolift/settings.h>

/** Whether a key must be there. */
typedef enum {
	PL_KEY_OPTIONAL,
	PL_KEY_REQUIRED,
} pl_key_presence_t;

/** Child @p key of type @p type, or NULL; a wrong type is a problem. */
pl_toml_t *pl_reader_get(pl_problems_t *problems, pl_toml_t *table,
			 const char *key, pl_toml_type_t type,
			 pl_key_presence_t presence);

/** Text of @p key, or NULL; borrowed from the tree. */
const char *pl_reader_text(pl_problems_t *problems, pl_toml_t *table,
			   const char *key, pl_key_presence_t presence);

/** A name of letters, digits, '.', '_' and '-', shorter than PL_NAME_MAX. */
void pl_reader_name(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    pl_key_presence_t presence, char name[PL_NAME_MAX]);

/** Reports @p name, found at @p node, unless it is a name. */
bool pl_reader_check_name(pl_problems_t *problems, const pl_toml_t *node,
			  const char *name);

/** A whole number from @p min to @p max. */
void pl_reader_number(pl_problems_t *problems, pl_toml_t *table,
		      const char *key, int64_t min, int64_t max,
		      uint32_t *number);

/** A number above @p above and below @p below; whole ones are taken too. */
void pl_reader_real(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    pl_key_presence_t presence, double above, double below,
		    double *real);

void pl_reader_flag(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    bool *flag);

/** One of @p count @p names, as its index; @p choice is left when absent. */
void pl_reader_choice(pl_problems_t *problems, pl_toml_t *table,
		      const char *key, pl_key_presence_t presence,
		      const char *const *names, size_t count,
		      unsigned int *choice);

/** An IP address and port; true when there was a valid one. */
bool pl_reader_addr(pl_problems_t *problems, pl_toml_t *table, const char *key,
		    pl_key_presence_t presence, pl_addr_t *addr);

/** An array of addresses; @p list is allocated with g_malloc(). */
void pl_reader_addr_list(pl_problems_t *problems, pl_toml_t *table,
			 const char *key, pl_key_presence_t presence,
			 pl_addr_list_t *list);

/** Reports a problem with the child @p key, at its line. */
void pl_reader_problem(pl_problems_t *problems, pl_toml_t *table,
		       const char *key, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/** Reports each child of @p table that nobody asked for. */
void pl_reader_unknown(pl_problems_t *problems, const pl_toml_t *table);

#endif
