/**
 * @file
 * Textual description of the difference between two documents.
 */
#include <pimentolift/document.h>

#include <glib.h>
#include <string.h>

/** Size of a weight as text. */
#define WEIGHT_TEXT_MAX 12

/* A numeric field of the policy. */
typedef struct {
	const char *name;
	size_t offset;
} policy_field_t;

#define FIELD_(name)                                       \
	{                                                  \
#name, offsetof(pl_service_policy_t, name) \
	}
static const policy_field_t policy_fields_[] = {
	FIELD_(deadline_ms),	   FIELD_(short_slots),
	FIELD_(queue_max),	   FIELD_(upload_max_bytes),
	FIELD_(ramp_ms),	   FIELD_(retry_percent),
	FIELD_(answer_keep_ms),	   FIELD_(warmup_ms),
	FIELD_(warmup_rate_milli),
};

static uint32_t policy_value_(const pl_service_policy_t *policy,
			      const policy_field_t *field)
{
	const char *base = (const char *)policy;

	return *(const uint32_t *)(const void *)(base + field->offset);
}

static void diff_policy_(GString *out, const pl_service_config_t *before,
			 const pl_service_config_t *after)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policy_fields_); i++) {
		uint32_t old =
			policy_value_(&before->policy, &policy_fields_[i]);
		uint32_t new =
			policy_value_(&after->policy, &policy_fields_[i]);

		if (old != new)
			g_string_append_printf(
				out, "service %s: %s %u -> %u\n", after->name,
				policy_fields_[i].name, old, new);
	}
}

static bool has_address_(const pl_service_config_t *service,
			 const pl_addr_t *addr)
{
	for (size_t i = 0; i < service->address_count; i++) {
		if (pl_addr_equal(&service->addresses[i], addr))
			return true;
	}
	return false;
}

/* Prints the addresses of @p service that @p other lacks. */
static void print_missing_addresses_(GString *out,
				     const pl_service_config_t *service,
				     const pl_service_config_t *other,
				     const char *verb)
{
	char text[PL_ADDR_TEXT_MAX];

	for (size_t i = 0; i < service->address_count; i++) {
		const pl_addr_t *addr = &service->addresses[i];

		if (!has_address_(other, addr))
			g_string_append_printf(
				out, "service %s: address %s %s\n",
				service->name, pl_addr_format(addr, text),
				verb);
	}
}

/* Weight of the service for @p addr as text; "none" if it has the address
 * alone, NULL if it does not have it. */
static const char *weight_text_(const pl_service_config_t *service,
				const pl_addr_t *addr, char *text, size_t size)
{
	for (size_t i = 0; i < service->address_count; i++) {
		const pl_route_policy_t *route =
			service->routes ? &service->routes[i] : NULL;

		if (!pl_addr_equal(&service->addresses[i], addr))
			continue;
		if (!route || !route->weighted)
			return "none";
		g_snprintf(text, size, "%u", route->weight);
		return text;
	}
	return NULL;
}

static void diff_weights_(GString *out, const pl_service_config_t *before,
			  const pl_service_config_t *after)
{
	for (size_t i = 0; i < after->address_count; i++) {
		const pl_addr_t *addr = &after->addresses[i];
		char texts[2][WEIGHT_TEXT_MAX];
		const char *old =
			weight_text_(before, addr, texts[0], sizeof(texts[0]));
		const char *new =
			weight_text_(after, addr, texts[1], sizeof(texts[1]));
		char name[PL_ADDR_TEXT_MAX];

		/* an added address without a weight is listed as added */
		if (!old && strcmp(new, "none") != 0)
			old = "none";
		if (old && strcmp(old, new) != 0)
			g_string_append_printf(
				out, "service %s: weight for %s %s -> %s\n",
				after->name, pl_addr_format(addr, name), old,
				new);
	}
}

static const pl_datacentre_weight_t *
find_datacentre_weight_(const pl_service_config_t *service,
			const char *datacentre)
{
	for (size_t i = 0; i < service->datacentre_weight_count; i++) {
		if (strcmp(service->datacentre_weights[i].datacentre,
			   datacentre) == 0)
			return &service->datacentre_weights[i];
	}
	return NULL;
}

static void diff_datacentre_weights_(GString *out,
				     const pl_service_config_t *before,
				     const pl_service_config_t *after)
{
	for (size_t i = 0; i < after->datacentre_weight_count; i++) {
		const pl_datacentre_weight_t *new =
			&after->datacentre_weights[i];
		const pl_datacentre_weight_t *old =
			find_datacentre_weight_(before, new->datacentre);

		if (!old)
			g_string_append_printf(
				out, "service %s: share of %s %u added\n",
				after->name, new->datacentre, new->weight);
		else if (old->weight != new->weight)
			g_string_append_printf(
				out, "service %s: share of %s %u -> %u\n",
				after->name, new->datacentre, old->weight,
				new->weight);
	}
	for (size_t i = 0; i < before->datacentre_weight_count; i++) {
		const pl_datacentre_weight_t *old =
			&before->datacentre_weights[i];

		if (!find_datacentre_weight_(after, old->datacentre))
			g_string_append_printf(
				out, "service %s: share of %s %u removed\n",
				after->name, old->datacentre, old->weight);
	}
}

static void print_objective_(GString *out, const pl_objective_t *objective)
{
	g_string_append_printf(out, "%s %.4f%%",
			       pl_objective_kind_names[objective->kind],
			       objective->target_ppm * 100.0 / PL_PPM);
	if (objective->threshold_ms > 0)
		g_string_append_printf(out, " within %u ms",
				       objective->threshold_ms);
	g_string_append_printf(out, " over %u days", objective->window_days);
}

static bool has_objective_(const pl_service_config_t *service,
			   const pl_objective_t *objective)
{
	for (size_t i = 0; i < service->objective_count; i++) {
		const pl_objective_t *other = &service->objectives[i];

		if (other->kind == objective->kind &&
		    other->target_ppm == objective->target_ppm &&
		    other->threshold_ms == objective->threshold_ms &&
		    other->window_days == objective->window_days)
			return true;
	}
	return false;
}

static void print_missing_objectives_(GString *out,
				      const pl_service_config_t *service,
				      const pl_service_config_t *other,
				      const char *verb)
{
	for (size_t i = 0; i < service->objective_count; i++) {
		const pl_objective_t *objective = &service->objectives[i];

		if (has_objective_(other, objective))
			continue;
		g_string_append_printf(out, "service %s: objective ",
				       service->name);
		print_objective_(out, objective);
		g_string_append_printf(out, " %s\n", verb);
	}
}

static void diff_service_(GString *out, const pl_section_t *before,
			  const pl_section_t *after)
{
	const pl_service_config_t *old = pl_section_service(before);
	const pl_service_config_t *new = pl_section_service(after);
	size_t len = out->len;

	if (pl_section_hash(before) == pl_section_hash(after))
		return;
	print_missing_addresses_(out, old, new, "removed");
	print_missing_addresses_(out, new, old, "added");
	diff_weights_(out, old, new);
	diff_policy_(out, old, new);
	diff_datacentre_weights_(out, old, new);
	print_missing_objectives_(out, old, new, "removed");
	print_missing_objectives_(out, new, old, "added");
	if (out->len == len)
		g_string_append_printf(out, "service %s: order changed\n",
				       new->name);
}

/* Prints the services of @p document that @p other lacks. */
static void print_missing_services_(GString *out, const pl_document_t *document,
				    const pl_document_t *other,
				    const char *verb)
{
	for (size_t i = 0; document && i < pl_document_count(document); i++) {
		const char *name =
			pl_section_service(pl_document_at(document, i))->name;

		if (!other || !pl_document_find(other, name))
			g_string_append_printf(out, "service %s %s\n", name,
					       verb);
	}
}

char *pl_document_diff(const pl_document_t *before, const pl_document_t *after)
{
	GString *out = g_string_new("");

	print_missing_services_(out, before, after, "removed");
	print_missing_services_(out, after, before, "added");
	for (size_t i = 0; before && after && i < pl_document_count(after);
	     i++) {
		const pl_section_t *section = pl_document_at(after, i);
		const pl_section_t *old = pl_document_find(
			before, pl_section_service(section)->name);

		if (old)
			diff_service_(out, old, section);
	}
	return g_string_free(out, FALSE);
}
