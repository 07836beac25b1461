/**
 * @file
 * Section of a service: the decoded form, its canonical msgpack encoding, and
 * the hash over the encoding.
 */
#include <pimentolift/document.h>

#include <assert.h>
#include <glib.h>
#include <msgpack.h>
#include <pimentolift/hash.h>
#include <pimentolift/list.h>
#include <pimentolift/ref.h>
#include <string.h>

/** Elements of the outer array; later releases may append elements. */
#define SECTION_ELEMENTS 5
/** Elements of the outer array of a section with routes. */
#define SECTION_ROUTES_ELEMENTS 6
#define ROUTE_ELEMENTS 3
/** Elements of a route with a weight. A route without one keeps the shorter
 * form, so that members of an earlier release compute the same hash. */
#define ROUTE_WEIGHT_ELEMENTS 4
#define POLICY_ELEMENTS 7
/** Elements of the policy of a service with limits for cold servers. */
#define POLICY_WARMUP_ELEMENTS 9
#define DATACENTRE_WEIGHT_ELEMENTS 2
#define OBJECTIVE_ELEMENTS 4
#define IPV4_BYTES 4
#define IPV6_BYTES 16
#define PORT_BYTES 2

const char *const pl_objective_kind_names[] = { "availability", "latency",
						"freshness" };
static_assert(G_N_ELEMENTS(pl_objective_kind_names) == PL_OBJECTIVE_KIND_COUNT,
	      "a name for each kind");

struct pl_section {
	pl_ref_t ref;
	pl_service_config_t service;
	uint8_t *bytes;
	size_t len;
	uint64_t hash;
};

uint32_t pl_service_config_weight(const pl_service_config_t *service,
				  pl_datacentre_id_t datacentre)
{
	for (size_t i = 0; i < service->datacentre_weight_count; i++) {
		if (pl_hash_text(service->datacentre_weights[i].datacentre) ==
		    datacentre)
			return service->datacentre_weights[i].weight;
	}
	return PL_DOCUMENT_WEIGHT_DEFAULT;
}

static void pack_text_(msgpack_packer *packer, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}

static void pack_addr_(msgpack_packer *packer, const pl_addr_t *addr)
{
	size_t ip_len = addr->family == PL_ADDR_IPV4 ? IPV4_BYTES : IPV6_BYTES;
	uint8_t port[PORT_BYTES] = { (uint8_t)(addr->port >> 8),
				     (uint8_t)addr->port };

	msgpack_pack_bin(packer, ip_len + PORT_BYTES);
	msgpack_pack_bin_body(packer, addr->ip, ip_len);
	msgpack_pack_bin_body(packer, port, PORT_BYTES);
}

static void pack_policy_(msgpack_packer *packer,
			 const pl_service_policy_t *policy)
{
	const uint32_t values[POLICY_WARMUP_ELEMENTS] = {
		policy->deadline_ms,	   policy->short_slots,
		policy->queue_max,	   policy->upload_max_bytes,
		policy->ramp_ms,	   policy->retry_percent,
		policy->answer_keep_ms,	   policy->warmup_ms,
		policy->warmup_rate_milli,
	};
	/* without such limits, the encoding is that of earlier releases */
	size_t count = policy->warmup_ms || policy->warmup_rate_milli ?
			       POLICY_WARMUP_ELEMENTS :
			       POLICY_ELEMENTS;

	msgpack_pack_array(packer, count);
	for (size_t i = 0; i < count; i++)
		msgpack_pack_uint32(packer, values[i]);
}

static void pack_routes_(msgpack_packer *packer,
			 const pl_service_config_t *service)
{
	msgpack_pack_array(packer, service->address_count);
	for (size_t i = 0; i < service->address_count; i++) {
		const pl_route_policy_t *route = &service->routes[i];

		msgpack_pack_array(packer, route->weighted ?
						   ROUTE_WEIGHT_ELEMENTS :
						   ROUTE_ELEMENTS);
		msgpack_pack_uint32(packer, route->goal_ms);
		msgpack_pack_uint32(packer, route->timeout_ms);
		msgpack_pack_uint32(packer, route->priority);
		if (route->weighted)
			msgpack_pack_uint32(packer, route->weight);
	}
}

static void pack_section_(msgpack_packer *packer,
			  const pl_service_config_t *service)
{
	msgpack_pack_array(packer, service->routes ? SECTION_ROUTES_ELEMENTS :
						     SECTION_ELEMENTS);
	pack_text_(packer, service->name);
	msgpack_pack_array(packer, service->address_count);
	for (size_t i = 0; i < service->address_count; i++)
		pack_addr_(packer, &service->addresses[i]);
	pack_policy_(packer, &service->policy);
	msgpack_pack_array(packer, service->datacentre_weight_count);
	for (size_t i = 0; i < service->datacentre_weight_count; i++) {
		msgpack_pack_array(packer, DATACENTRE_WEIGHT_ELEMENTS);
		pack_text_(packer, service->datacentre_weights[i].datacentre);
		msgpack_pack_uint32(packer,
				    service->datacentre_weights[i].weight);
	}
	msgpack_pack_array(packer, service->objective_count);
	for (size_t i = 0; i < service->objective_count; i++) {
		const pl_objective_t *objective = &service->objectives[i];

		msgpack_pack_array(packer, OBJECTIVE_ELEMENTS);
		msgpack_pack_uint32(packer, objective->kind);
		msgpack_pack_uint32(packer, objective->target_ppm);
		msgpack_pack_uint32(packer, objective->threshold_ms);
		msgpack_pack_uint32(packer, objective->window_days);
	}
	if (service->routes)
		pack_routes_(packer, service);
}

static bool is_array_(const msgpack_object *object, size_t min, size_t max)
{
	return object->type == MSGPACK_OBJECT_ARRAY &&
	       object->via.array.size >= min && object->via.array.size <= max;
}

static bool read_number_(const msgpack_object *object, uint32_t *number)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > UINT32_MAX)
		return false;
	*number = (uint32_t)object->via.u64;
	return true;
}

static bool read_name_(const msgpack_object *object, char name[PL_NAME_MAX])
{
	const msgpack_object_str *text = &object->via.str;

	if (object->type != MSGPACK_OBJECT_STR || text->size == 0 ||
	    text->size >= PL_NAME_MAX || memchr(text->ptr, '\0', text->size))
		return false;
	memcpy(name, text->ptr, text->size);
	name[text->size] = '\0';
	return true;
}

static bool read_addr_(const msgpack_object *object, pl_addr_t *addr)
{
	const msgpack_object_bin *bin = &object->via.bin;
	size_t ip_len;

	if (object->type != MSGPACK_OBJECT_BIN ||
	    (bin->size != IPV4_BYTES + PORT_BYTES &&
	     bin->size != IPV6_BYTES + PORT_BYTES))
		return false;
	ip_len = bin->size - PORT_BYTES;
	addr->family = ip_len == IPV4_BYTES ? PL_ADDR_IPV4 : PL_ADDR_IPV6;
	memcpy(addr->ip, bin->ptr, ip_len);
	addr->port = (uint16_t)((uint8_t)bin->ptr[ip_len] << 8 |
				(uint8_t)bin->ptr[ip_len + 1]);
	return true;
}

static bool read_addresses_(const msgpack_object *object,
			    pl_service_config_t *service)
{
	if (!is_array_(object, 1, PL_DOCUMENT_ADDRESSES_MAX))
		return false;
	service->address_count = object->via.array.size;
	service->addresses = g_new0(pl_addr_t, service->address_count);
	for (size_t i = 0; i < service->address_count; i++) {
		if (!read_addr_(&object->via.array.ptr[i],
				&service->addresses[i]))
			return false;
	}
	return true;
}

static bool read_policy_(const msgpack_object *object,
			 pl_service_policy_t *policy)
{
	uint32_t *const values[POLICY_WARMUP_ELEMENTS] = {
		&policy->deadline_ms,	    &policy->short_slots,
		&policy->queue_max,	    &policy->upload_max_bytes,
		&policy->ramp_ms,	    &policy->retry_percent,
		&policy->answer_keep_ms,    &policy->warmup_ms,
		&policy->warmup_rate_milli,
	};
	size_t count = POLICY_ELEMENTS;

	if (!is_array_(object, POLICY_ELEMENTS, UINT32_MAX))
		return false;
	if (object->via.array.size >= POLICY_WARMUP_ELEMENTS)
		count = POLICY_WARMUP_ELEMENTS;
	for (size_t i = 0; i < count; i++) {
		if (!read_number_(&object->via.array.ptr[i], values[i]))
			return false;
	}
	return true;
}

static bool read_datacentre_weights_(const msgpack_object *object,
				     pl_service_config_t *service)
{
	if (!is_array_(object, 0, PL_DOCUMENT_WEIGHTS_MAX))
		return false;
	service->datacentre_weight_count = object->via.array.size;
	service->datacentre_weights = g_new0(pl_datacentre_weight_t,
					     service->datacentre_weight_count);
	for (size_t i = 0; i < service->datacentre_weight_count; i++) {
		const msgpack_object *item = &object->via.array.ptr[i];
		pl_datacentre_weight_t *datacentre_weight =
			&service->datacentre_weights[i];

		if (!is_array_(item, DATACENTRE_WEIGHT_ELEMENTS, UINT32_MAX) ||
		    !read_name_(&item->via.array.ptr[0],
				datacentre_weight->datacentre) ||
		    !read_number_(&item->via.array.ptr[1],
				  &datacentre_weight->weight))
			return false;
	}
	return true;
}

static bool read_objective_(const msgpack_object *item,
			    pl_objective_t *objective)
{
	const msgpack_object *at = item->via.array.ptr;
	uint32_t kind;

	if (!is_array_(item, OBJECTIVE_ELEMENTS, UINT32_MAX) ||
	    !read_number_(&at[0], &kind) || kind >= PL_OBJECTIVE_KIND_COUNT)
		return false;
	objective->kind = (pl_objective_kind_t)kind;
	return read_number_(&at[1], &objective->target_ppm) &&
	       objective->target_ppm < PL_PPM &&
	       read_number_(&at[2], &objective->threshold_ms) &&
	       read_number_(&at[3], &objective->window_days);
}

static bool read_objectives_(const msgpack_object *object,
			     pl_service_config_t *service)
{
	if (!is_array_(object, 0, PL_DOCUMENT_OBJECTIVES_MAX))
		return false;
	service->objective_count = object->via.array.size;
	service->objectives = g_new0(pl_objective_t, service->objective_count);
	for (size_t i = 0; i < service->objective_count; i++) {
		if (!read_objective_(&object->via.array.ptr[i],
				     &service->objectives[i]))
			return false;
	}
	return true;
}

static bool read_route_(const msgpack_object *item, pl_route_policy_t *route)
{
	const msgpack_object *at = item->via.array.ptr;

	if (!is_array_(item, ROUTE_ELEMENTS, UINT32_MAX) ||
	    !read_number_(&at[0], &route->goal_ms) ||
	    !read_number_(&at[1], &route->timeout_ms) ||
	    !read_number_(&at[2], &route->priority))
		return false;
	route->weighted = item->via.array.size >= ROUTE_WEIGHT_ELEMENTS;
	return !route->weighted || read_number_(&at[3], &route->weight);
}

static bool read_routes_(const msgpack_object *object,
			 pl_service_config_t *service)
{
	if (!is_array_(object, service->address_count, service->address_count))
		return false;
	service->routes = g_new0(pl_route_policy_t, service->address_count);
	for (size_t i = 0; i < service->address_count; i++) {
		if (!read_route_(&object->via.array.ptr[i],
				 &service->routes[i]))
			return false;
	}
	return true;
}

static bool read_section_(const msgpack_object *object,
			  pl_service_config_t *service)
{
	const msgpack_object *at = object->via.array.ptr;

	return is_array_(object, SECTION_ELEMENTS, UINT32_MAX) &&
	       read_name_(&at[0], service->name) &&
	       read_addresses_(&at[1], service) &&
	       read_policy_(&at[2], &service->policy) &&
	       read_datacentre_weights_(&at[3], service) &&
	       read_objectives_(&at[4], service) &&
	       (object->via.array.size < SECTION_ROUTES_ELEMENTS ||
		read_routes_(&at[5], service));
}

static void release_section_(pl_ref_t *ref)
{
	pl_section_t *section = PL_CONTAINER_OF(ref, pl_section_t, ref);

	g_free(section->service.addresses);
	g_free(section->service.routes);
	g_free(section->service.datacentre_weights);
	g_free(section->service.objectives);
	g_free(section->bytes);
	g_free(section);
}

static pl_section_t *alloc_section_(const void *bytes, size_t len)
{
	pl_section_t *section = g_new0(pl_section_t, 1);

	pl_ref_init(&section->ref, release_section_);
	section->bytes = g_memdup2(bytes, len);
	section->len = len;
	section->hash = pl_hash(bytes, len, 0);
	return section;
}

pl_section_t *pl_section_new(pl_service_config_t *service)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	pl_section_t *section;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_section_(&packer, service);
	section = alloc_section_(buffer.data, buffer.size);
	section->service = *service;
	memset(service, 0, sizeof(*service));
	msgpack_sbuffer_destroy(&buffer);
	return section;
}

pl_result_t pl_section_decode(const uint8_t *bytes, size_t len,
			      pl_section_t **section, pl_error_t *err)
{
	pl_section_t *decoded = alloc_section_(bytes, len);
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool valid;

	msgpack_unpacked_init(&unpacked);
	valid = msgpack_unpack_next(&unpacked, (const char *)bytes, len,
				    &offset) == MSGPACK_UNPACK_SUCCESS &&
		offset == len &&
		read_section_(&unpacked.data, &decoded->service);
	msgpack_unpacked_destroy(&unpacked);
	*section = valid ? decoded : NULL;
	if (valid)
		return PL_OK;
	pl_section_put(decoded);
	return pl_error_set(err, PL_ERR_MALFORMED,
			    "a configuration section could not be decoded");
}

void pl_section_get(pl_section_t *section)
{
	pl_ref_get(&section->ref);
}

void pl_section_put(pl_section_t *section)
{
	pl_ref_put(&section->ref);
}

const pl_service_config_t *pl_section_service(const pl_section_t *section)
{
	return &section->service;
}

const uint8_t *pl_section_bytes(const pl_section_t *section, size_t *len)
{
	*len = section->len;
	return section->bytes;
}

uint64_t pl_section_hash(const pl_section_t *section)
{
	return section->hash;
}
