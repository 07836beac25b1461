/**
 * @file
 * Parser of the operators' TOML document.
 */
#include <pimentolift/document.h>

#include "private/reader.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define SHARE_WEIGHT_MAX 1000
#define THRESHOLD_MAX_MS (60 * 60 * 1000)
#define WINDOW_DEFAULT_DAYS 28
#define WINDOW_MAX_DAYS 92
#define ROUTE_WEIGHT_MAX 1000000
/** Maximum size of all sections, which must fit into one frame to a member. */
#define SECTIONS_MAX_BYTES (960 * 1024)

static const pl_service_policy_t policy_default_ = {
	.deadline_ms = 5000,
	.short_slots = 1,
	.queue_max = 64,
	.upload_max_bytes = 4 * 1024 * 1024,
	.ramp_ms = 10000,
	.retry_percent = 10,
	.answer_keep_ms = 300000,
};

/* A numeric key of the policy: its name, field offset and range. */
typedef struct {
	const char *name;
	size_t offset;
	uint32_t min;
	uint32_t max;
} policy_key_t;

#define POLICY_KEY_(name, min, max)                                  \
	{                                                            \
#name, offsetof(pl_service_policy_t, name), min, max \
	}
static const policy_key_t policy_keys_[] = {
	POLICY_KEY_(deadline_ms, 10, 600000),
	POLICY_KEY_(short_slots, 0, 64),
	POLICY_KEY_(queue_max, 0, 65536),
	POLICY_KEY_(upload_max_bytes, 1024, 64 * 1024 * 1024),
	POLICY_KEY_(ramp_ms, 0, 600000),
	POLICY_KEY_(retry_percent, 0, 100),
	POLICY_KEY_(answer_keep_ms, 1000, 3600000),
	POLICY_KEY_(warmup_ms, 0, 600000),
	POLICY_KEY_(warmup_rate_milli, 0, 1000000000),
};

/* Services of an address. */
typedef struct {
	char first[PL_NAME_MAX]; /* name of the first one */
	size_t count;
	bool weighted; /* each of them gives a weight */
} address_use_t;

/* State while a document is parsed. */
typedef struct {
	pl_problems_t *problems;
	GHashTable *names; /* service name to its line */
	GHashTable *addresses; /* pl_addr_t to address_use_t */
	GPtrArray *sections;
} parser_t;

static guint addr_hash_(gconstpointer key)
{
	return (guint)pl_addr_hash(key, 0);
}

static gboolean addr_equal_(gconstpointer a, gconstpointer b)
{
	return pl_addr_equal(a, b);
}

static void read_policy_(pl_problems_t *problems, pl_toml_t *table,
			 pl_service_policy_t *policy)
{
	*policy = policy_default_;
	for (size_t i = 0; i < G_N_ELEMENTS(policy_keys_); i++) {
		const policy_key_t *key = &policy_keys_[i];
		char *base = (char *)policy;

		pl_reader_number(problems, table, key->name, key->min, key->max,
				 (uint32_t *)(void *)(base + key->offset));
	}
}

static int compare_datacentres_(const void *a, const void *b)
{
	const pl_datacentre_weight_t *first = a;
	const pl_datacentre_weight_t *second = b;

	return strcmp(first->datacentre, second->datacentre);
}

static void read_datacentre_weights_(pl_problems_t *problems, pl_toml_t *table,
				     pl_service_config_t *service)
{
	pl_toml_t *share = pl_reader_get(problems, table, "share",
					 PL_TOML_TABLE, PL_KEY_OPTIONAL);
	uint64_t total = 0;

	if (!share)
		return;
	service->datacentre_weights =
		g_new0(pl_datacentre_weight_t, PL_DOCUMENT_WEIGHTS_MAX);
	pl_list_for_each(node, &share->children) {
		pl_toml_t *child = PL_CONTAINER_OF(node, pl_toml_t, link);
		pl_datacentre_weight_t *item =
			&service->datacentre_weights
				 [service->datacentre_weight_count];

		if (!pl_reader_check_name(problems, child, child->key))
			continue;
		if (service->datacentre_weight_count ==
		    PL_DOCUMENT_WEIGHTS_MAX) {
			pl_reader_problem(problems, table, "share",
					  "has more than %d data centres",
					  PL_DOCUMENT_WEIGHTS_MAX);
			break;
		}
		g_strlcpy(item->datacentre, child->key, PL_NAME_MAX);
		pl_reader_number(problems, share, child->key, 0,
				 SHARE_WEIGHT_MAX, &item->weight);
		total += item->weight;
		service->datacentre_weight_count++;
	}
	if (service->datacentre_weight_count > 0 && total == 0)
		pl_reader_problem(problems, table, "share",
				  "gives every data centre the weight 0");
	if (service->datacentre_weight_count > 0)
		qsort(service->datacentre_weights,
		      service->datacentre_weight_count,
		      sizeof(pl_datacentre_weight_t), compare_datacentres_);
}

static void read_objective_(pl_problems_t *problems, pl_toml_t *table,
			    pl_objective_t *objective)
{
	unsigned int kind = PL_OBJECTIVE_AVAILABILITY;
	double target = 0;

	pl_reader_choice(problems, table, "kind", PL_KEY_REQUIRED,
			 pl_objective_kind_names, PL_OBJECTIVE_KIND_COUNT,
			 &kind);
	pl_reader_real(problems, table, "target", PL_KEY_REQUIRED, 0, 1,
		       &target);
	objective->kind = (pl_objective_kind_t)kind;
	objective->target_ppm = (uint32_t)lround(target * PL_PPM);
	if (target > 0 && objective->target_ppm >= PL_PPM)
		pl_reader_problem(problems, table, "target",
				  "is nearer to 1 than one in a million");
	objective->window_days = WINDOW_DEFAULT_DAYS;
	pl_reader_number(problems, table, "window_days", 1, WINDOW_MAX_DAYS,
			 &objective->window_days);
	if (kind != PL_OBJECTIVE_AVAILABILITY) {
		pl_reader_number(problems, table, "threshold_ms", 1,
				 THRESHOLD_MAX_MS, &objective->threshold_ms);
		if (objective->threshold_ms == 0)
			/* reports the key if it is absent */
			pl_reader_get(problems, table, "threshold_ms",
				      PL_TOML_INTEGER, PL_KEY_REQUIRED);
	}
	pl_reader_unknown(problems, table);
}

static void read_objectives_(pl_problems_t *problems, pl_toml_t *table,
			     pl_service_config_t *service)
{
	pl_toml_t *list = pl_reader_get(problems, table, "objective",
					PL_TOML_ARRAY, PL_KEY_OPTIONAL);

	if (!list)
		return;
	service->objectives =
		g_new0(pl_objective_t, PL_DOCUMENT_OBJECTIVES_MAX);
	pl_list_for_each(node, &list->children) {
		pl_toml_t *item = PL_CONTAINER_OF(node, pl_toml_t, link);

		if (item->type != PL_TOML_TABLE) {
			pl_problems_add(problems, item->line, item->path,
					"must be a table");
			continue;
		}
		if (service->objective_count == PL_DOCUMENT_OBJECTIVES_MAX) {
			pl_problems_add(problems, item->line, item->path,
					"is more than %d objectives",
					PL_DOCUMENT_OBJECTIVES_MAX);
			return;
		}
		read_objective_(
			problems, item,
			&service->objectives[service->objective_count++]);
	}
}

/* Reads one route, which gives an address of the service a weight. */
static void read_route_(pl_problems_t *problems, pl_toml_t *table,
			pl_service_config_t *service)
{
	pl_route_policy_t route = { .weighted = true };
	pl_addr_t addr;
	size_t i = 0;

	if (!pl_reader_addr(problems, table, "address", PL_KEY_REQUIRED, &addr))
		return;
	if (!pl_reader_get(problems, table, "weight", PL_TOML_INTEGER,
			   PL_KEY_REQUIRED))
		return;
	pl_reader_number(problems, table, "weight", 0, ROUTE_WEIGHT_MAX,
			 &route.weight);
	pl_reader_unknown(problems, table);
	while (i < service->address_count &&
	       !pl_addr_equal(&service->addresses[i], &addr))
		i++;
	if (i == service->address_count)
		pl_reader_problem(problems, table, "address",
				  "is none of the service's addresses");
	else if (service->routes[i].weighted)
		pl_reader_problem(problems, table, "address",
				  "has a weight already");
	else
		service->routes[i] = route;
}

static void read_routes_(pl_problems_t *problems, pl_toml_t *table,
			 pl_service_config_t *service)
{
	pl_toml_t *list = pl_reader_get(problems, table, "route", PL_TOML_ARRAY,
					PL_KEY_OPTIONAL);

	if (!list)
		return;
	service->routes = g_new0(pl_route_policy_t, service->address_count);
	pl_list_for_each(node, &list->children) {
		pl_toml_t *item = PL_CONTAINER_OF(node, pl_toml_t, link);

		if (item->type == PL_TOML_TABLE)
			read_route_(problems, item, service);
		else
			pl_problems_add(problems, item->line, item->path,
					"must be a table");
	}
}

/* Adds the service to those of its address @p addr. Several services may share
 * an address if each gives a weight for it. */
static void use_address_(parser_t *parser, pl_toml_t *table,
			 const pl_service_config_t *service, size_t index)
{
	const pl_addr_t *addr = &service->addresses[index];
	bool weighted = service->routes && service->routes[index].weighted;
	address_use_t *use = g_hash_table_lookup(parser->addresses, addr);
	char text[PL_ADDR_TEXT_MAX];

	if (!use) {
		use = g_new0(address_use_t, 1);
		g_strlcpy(use->first, service->name, sizeof(use->first));
		use->weighted = weighted;
		g_hash_table_insert(parser->addresses,
				    g_memdup2(addr, sizeof(*addr)), use);
	} else if (!weighted || !use->weighted ||
		   strcmp(use->first, service->name) == 0) {
		pl_reader_problem(parser->problems, table, "addresses",
				  "%s is an address of the service \"%s\" "
				  "already%s",
				  pl_addr_format(addr, text), use->first,
				  weighted != use->weighted ?
					  ", and only one of them gives a "
					  "weight for it" :
					  "");
	}
	if (++use->count == PL_ROUTE_SHARES_MAX + 1)
		pl_reader_problem(parser->problems, table, "addresses",
				  "%s is an address of more than %d services",
				  pl_addr_format(addr, text),
				  PL_ROUTE_SHARES_MAX);
}

static void read_addresses_(parser_t *parser, pl_toml_t *table,
			    pl_service_config_t *service)
{
	pl_addr_list_t list = { 0 };
	char text[PL_ADDR_TEXT_MAX];

	pl_reader_addr_list(parser->problems, table, "addresses",
			    PL_KEY_REQUIRED, &list);
	service->addresses = list.at;
	service->address_count = list.count;
	if (list.count > PL_DOCUMENT_ADDRESSES_MAX)
		pl_reader_problem(parser->problems, table, "addresses",
				  "has more than %d addresses",
				  PL_DOCUMENT_ADDRESSES_MAX);
	read_routes_(parser->problems, table, service);
	for (size_t i = 0; i < list.count; i++) {
		if (list.at[i].port == 0)
			pl_reader_problem(parser->problems, table, "addresses",
					  "%s has the port 0",
					  pl_addr_format(&list.at[i], text));
		else
			use_address_(parser, table, service, i);
	}
}

static void check_policy_(pl_problems_t *problems, pl_toml_t *table,
			  const pl_service_policy_t *policy)
{
	if (policy->answer_keep_ms < policy->deadline_ms)
		pl_problems_add(problems, table->line, table->path,
				"answer_keep_ms %u is shorter than "
				"deadline_ms %u",
				policy->answer_keep_ms, policy->deadline_ms);
}

static void read_service_(parser_t *parser, pl_toml_t *table)
{
	pl_service_config_t service = { 0 };
	gpointer line;

	pl_reader_name(parser->problems, table, "name", PL_KEY_REQUIRED,
		       service.name);
	line = g_hash_table_lookup(parser->names, service.name);
	if (line)
		pl_reader_problem(parser->problems, table, "name",
				  "\"%s\" is the name of the service at line "
				  "%u already",
				  service.name, GPOINTER_TO_UINT(line));
	else if (*service.name)
		g_hash_table_insert(parser->names, g_strdup(service.name),
				    GUINT_TO_POINTER(table->line));
	read_addresses_(parser, table, &service);
	read_policy_(parser->problems, table, &service.policy);
	check_policy_(parser->problems, table, &service.policy);
	read_datacentre_weights_(parser->problems, table, &service);
	read_objectives_(parser->problems, table, &service);
	pl_reader_unknown(parser->problems, table);
	g_ptr_array_add(parser->sections, pl_section_new(&service));
}

static void read_services_(parser_t *parser, pl_toml_t *root)
{
	pl_toml_t *list = pl_reader_get(parser->problems, root, "service",
					PL_TOML_ARRAY, PL_KEY_OPTIONAL);

	if (!list)
		return;
	pl_list_for_each(node, &list->children) {
		pl_toml_t *item = PL_CONTAINER_OF(node, pl_toml_t, link);

		if (parser->sections->len == PL_DOCUMENT_SERVICES_MAX) {
			pl_problems_add(parser->problems, item->line,
					item->path, "is more than %d services",
					PL_DOCUMENT_SERVICES_MAX);
			return;
		}
		if (item->type == PL_TOML_TABLE)
			read_service_(parser, item);
		else
			pl_problems_add(parser->problems, item->line,
					item->path, "must be a table");
	}
}

static void check_size_(const parser_t *parser)
{
	size_t total = 0;

	for (guint i = 0; i < parser->sections->len; i++) {
		size_t len = 0;

		pl_section_bytes(g_ptr_array_index(parser->sections, i), &len);
		total += len;
	}
	if (total > SECTIONS_MAX_BYTES)
		pl_problems_add(parser->problems, 0, "",
				"the services take %zu bytes, more than %d",
				total, SECTIONS_MAX_BYTES);
}

static void read_format_(pl_problems_t *problems, pl_toml_t *root)
{
	const pl_toml_t *format = pl_reader_get(
		problems, root, "format", PL_TOML_INTEGER, PL_KEY_REQUIRED);

	if (format && format->integer != PL_DOCUMENT_FORMAT)
		pl_problems_add(problems, format->line, format->path,
				"this release reads the format %d only",
				PL_DOCUMENT_FORMAT);
}

static void parser_init_(parser_t *parser, pl_problems_t *problems)
{
	parser->problems = problems;
	parser->names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	parser->addresses =
		g_hash_table_new_full(addr_hash_, addr_equal_, g_free, g_free);
	parser->sections =
		g_ptr_array_new_with_free_func((GDestroyNotify)pl_section_put);
}

static void parser_finish_(parser_t *parser)
{
	g_hash_table_destroy(parser->names);
	g_hash_table_destroy(parser->addresses);
	g_ptr_array_free(parser->sections, TRUE);
}

pl_result_t pl_document_parse(const char *text, size_t len, uint64_t revision,
			      pl_document_t **document, pl_problems_t *problems)
{
	size_t before = pl_problems_count(problems);
	pl_toml_t *root = pl_toml_parse(text, len, problems);
	parser_t parser;

	*document = NULL;
	if (!root)
		return PL_ERR_CONFIG;
	parser_init_(&parser, problems);
	read_format_(problems, root);
	read_services_(&parser, root);
	pl_reader_unknown(problems, root);
	check_size_(&parser);
	pl_toml_delete(root);
	if (pl_problems_count(problems) == before)
		*document = pl_document_new(
			revision, (pl_section_t **)parser.sections->pdata,
			parser.sections->len);
	parser_finish_(&parser);
	return *document ? PL_OK : PL_ERR_CONFIG;
}
