/**
 * @file
 * Adapter to cpptoml: copies its tree into pl_toml_t nodes. No other file uses
 * cpptoml.
 */
#include "private/toml.h"

#include <cpptoml.h>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <string>

using cpptoml::base;

static void copy_node_(const std::shared_ptr<base> &from, pl_toml_t *to);

static void copy_table_(const std::shared_ptr<cpptoml::table> &from,
			pl_toml_t *to)
{
	to->type = PL_TOML_TABLE;
	for (const auto &item : *from)
		copy_node_(item.second, pl_toml_add(to, item.first.c_str(), 0));
}

static void copy_array_(const std::shared_ptr<base> &from, pl_toml_t *to)
{
	size_t index = 0;

	to->type = PL_TOML_ARRAY;
	if (from->is_table_array()) {
		for (const auto &item : *from->as_table_array())
			copy_table_(item, pl_toml_add(to, "", index++));
		return;
	}
	for (const auto &item : *from->as_array())
		copy_node_(item, pl_toml_add(to, "", index++));
}

static void copy_value_(const std::shared_ptr<base> &from, pl_toml_t *to)
{
	if (auto text = from->as<std::string>()) {
		to->type = PL_TOML_STRING;
		to->text = g_strdup(text->get().c_str());
	} else if (auto integer = from->as<int64_t>()) {
		to->type = PL_TOML_INTEGER;
		to->integer = integer->get();
	} else if (auto real = from->as<double>()) {
		to->type = PL_TOML_FLOAT;
		to->real = real->get();
	} else if (auto boolean = from->as<bool>()) {
		to->type = PL_TOML_BOOLEAN;
		to->boolean = boolean->get();
	} else {
		to->type = PL_TOML_OTHER;
	}
}

static void copy_node_(const std::shared_ptr<base> &from, pl_toml_t *to)
{
	if (from->is_table())
		copy_table_(from->as_table(), to);
	else if (from->is_array() || from->is_table_array())
		copy_array_(from, to);
	else
		copy_value_(from, to);
}

/* Splits a message of cpptoml, which ends in its line: "... at line 12". */
static char *split_line_(const char *message, unsigned int *line)
{
	const char *suffix = std::strstr(message, " at line ");

	*line = 0;
	if (!suffix)
		return g_strdup(message);
	*line = (unsigned int)std::strtoul(suffix + std::strlen(" at line "),
					   nullptr, 10);
	return g_strndup(message, (gsize)(suffix - message));
}

extern "C" char *pl_toml_fill(pl_toml_t *root, const char *text, size_t len,
			      unsigned int *line)
{
	try {
		std::istringstream stream(std::string(text, len));
		cpptoml::parser parser(stream);

		copy_table_(parser.parse(), root);
	} catch (const std::exception &error) {
		return split_line_(error.what(), line);
	}
	return nullptr;
}
