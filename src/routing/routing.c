/** @file Builder and look-ups of the immutable routing table. */
#include <pimentolift/routing.h>

#include <assert.h>
#include <glib.h>
#include <pimentolift/evacuation.h>
#include <pimentolift/hash.h>
#include <pimentolift/list.h>
#include <pimentolift/ref.h>
#include <string.h>

const char *const pl_endpoint_state_names[] = { "serving", "draining",
						"unreachable" };

static_assert(G_N_ELEMENTS(pl_endpoint_state_names) == PL_ENDPOINT_STATE_COUNT,
	      "one name per state");

struct pl_routing {
	pl_ref_t ref;
	uint64_t revision;
	GArray *services; /**< pl_route_service_t, in the order added */
	GArray *endpoints; /**< pl_endpoint_t, sorted by service and agent */
	GArray *addresses; /**< address_t, keys of by_address */
	/** pl_addr_t to the index in addresses of its first service. */
	GHashTable *by_address;
	GHashTable *by_id; /**< service identity to service index */
	GHashTable *by_agent; /**< agent to endpoint index */
};

struct pl_routing_builder {
	pl_routing_t *routing;
	pl_evacuations_t evacuations;
};

/* An address of one service. The services of an address form a chain. */
typedef struct {
	pl_addr_t addr;
	guint service;
	guint next; /* index of the next service's entry plus 1; 0: none */
	pl_route_policy_t policy;
} address_t;

pl_service_id_t pl_service_id(const char *name)
{
	pl_service_id_t id = pl_hash_text(name);

	/* 0 means no service */
	return id ? id : 1;
}

static guint hash_u64_(gconstpointer key)
{
	return (guint)pl_hash(key, sizeof(uint64_t), 0);
}

static guint hash_addr_(gconstpointer key)
{
	return (guint)pl_addr_hash(key, 0);
}

static gboolean equal_addr_(gconstpointer a, gconstpointer b)
{
	return pl_addr_equal(a, b);
}

/* Looks up the index stored for @p key; returns false if there is none. */
static bool lookup_index_(GHashTable *table, const void *key, guint *index)
{
	gpointer value = NULL;

	if (!g_hash_table_lookup_extended(table, key, NULL, &value))
		return false;
	*index = GPOINTER_TO_UINT(value);
	return true;
}

static void free_routing_(pl_ref_t *ref)
{
	pl_routing_t *routing = PL_CONTAINER_OF(ref, pl_routing_t, ref);

	g_hash_table_destroy(routing->by_agent);
	g_hash_table_destroy(routing->by_id);
	g_hash_table_destroy(routing->by_address);
	g_array_free(routing->addresses, TRUE);
	g_array_free(routing->endpoints, TRUE);
	g_array_free(routing->services, TRUE);
	g_free(routing);
}

pl_routing_builder_t *pl_routing_builder_new(uint64_t revision)
{
	pl_routing_builder_t *builder = g_new0(pl_routing_builder_t, 1);
	pl_routing_t *routing = g_new0(pl_routing_t, 1);

	pl_ref_init(&routing->ref, free_routing_);
	routing->revision = revision;
	routing->services =
		g_array_new(FALSE, TRUE, sizeof(pl_route_service_t));
	routing->endpoints = g_array_new(FALSE, TRUE, sizeof(pl_endpoint_t));
	routing->addresses = g_array_new(FALSE, TRUE, sizeof(address_t));
	routing->by_address = g_hash_table_new(hash_addr_, equal_addr_);
	routing->by_id = g_hash_table_new(hash_u64_, g_int64_equal);
	routing->by_agent = g_hash_table_new(hash_u64_, g_int64_equal);
	builder->routing = routing;
	return builder;
}

/* Adds a service unless the table already has it. */
static void add_service_(pl_routing_builder_t *builder,
			 const pl_route_service_t *service)
{
	GArray *services = builder->routing->services;

	for (guint i = 0; i < services->len; i++) {
		if (g_array_index(services, pl_route_service_t, i).id ==
		    service->id)
			return;
	}
	g_array_append_vals(services, service, 1);
}

void pl_routing_builder_service(pl_routing_builder_t *builder, const char *name,
				const pl_service_policy_t *policy)
{
	pl_route_service_t service = { .id = pl_service_id(name),
				       .policy = *policy };

	g_strlcpy(service.name, name, sizeof(service.name));
	add_service_(builder, &service);
}

void pl_routing_builder_unconfigured(pl_routing_builder_t *builder,
				     pl_service_id_t id)
{
	const pl_route_service_t service = { .id = id };

	add_service_(builder, &service);
}

/* Looks up the index of the service @p id while the table is built; returns
 * false if there is none. */
static bool service_index_(pl_routing_t *routing, pl_service_id_t id,
			   guint *index)
{
	GArray *services = routing->services;

	if (g_hash_table_size(routing->by_id) != services->len) {
		/* the keys are stored in the array, which moves as it grows */
		g_hash_table_remove_all(routing->by_id);
		for (guint i = 0; i < services->len; i++)
			g_hash_table_insert(
				routing->by_id,
				&g_array_index(services, pl_route_service_t, i)
					 .id,
				GUINT_TO_POINTER(i));
	}
	return lookup_index_(routing->by_id, &id, index);
}

void pl_routing_builder_address(pl_routing_builder_t *builder,
				pl_service_id_t service, const pl_addr_t *addr)
{
	const pl_route_policy_t none = { 0 };

	pl_routing_builder_route(builder, service, addr, &none);
}

void pl_routing_builder_route(pl_routing_builder_t *builder,
			      pl_service_id_t service, const pl_addr_t *addr,
			      const pl_route_policy_t *policy)
{
	address_t entry = { .addr = *addr, .policy = *policy };

	if (service_index_(builder->routing, service, &entry.service))
		g_array_append_val(builder->routing->addresses, entry);
}

void pl_routing_builder_evacuate(pl_routing_builder_t *builder,
				 const pl_evacuations_t *evacuations)
{
	builder->evacuations = *evacuations;
}

void pl_routing_builder_endpoint(pl_routing_builder_t *builder,
				 const pl_endpoint_t *endpoint)
{
	pl_endpoint_t copy = *endpoint;
	guint index = 0;

	assert(endpoint->state < PL_ENDPOINT_STATE_COUNT);
	copy.evacuated = pl_evacuations_contain(&builder->evacuations,
						endpoint->datacentre);
	if (service_index_(builder->routing, endpoint->service, &index))
		g_array_append_val(builder->routing->endpoints, copy);
}

static gint compare_endpoints_(gconstpointer a, gconstpointer b)
{
	const pl_endpoint_t *left = a;
	const pl_endpoint_t *right = b;

	if (left->service != right->service)
		return left->service < right->service ? -1 : 1;
	if (left->agent != right->agent)
		return left->agent < right->agent ? -1 : 1;
	return 0;
}

/* Sets the range of sorted endpoints of every service. */
static void link_endpoints_(pl_routing_t *routing)
{
	GArray *endpoints = routing->endpoints;
	pl_endpoint_t *base = (pl_endpoint_t *)(void *)endpoints->data;

	for (guint i = 0; i < endpoints->len; i++) {
		pl_route_service_t *service = NULL;
		guint index = 0;

		if (!service_index_(routing, base[i].service, &index))
			continue;
		service = &g_array_index(routing->services, pl_route_service_t,
					 index);
		if (!service->endpoints)
			service->endpoints = &base[i];
		service->endpoint_count++;
		g_hash_table_insert(routing->by_agent, &base[i].agent,
				    GUINT_TO_POINTER(i));
	}
}

/* Sorts the endpoints; of several with the same service and agent the one added
 * last is kept. */
static void sort_endpoints_(pl_routing_t *routing)
{
	GArray *endpoints = routing->endpoints;
	pl_endpoint_t *base = (pl_endpoint_t *)(void *)endpoints->data;
	guint kept = 0;

	/* g_array_sort is stable, so the last one added comes last */
	g_array_sort(endpoints, compare_endpoints_);
	for (guint i = 0; i < endpoints->len; i++) {
		bool same = kept > 0 &&
			    compare_endpoints_(&base[kept - 1], &base[i]) == 0;

		if (same)
			kept--;
		base[kept++] = base[i];
	}
	g_array_set_size(endpoints, kept);
}

static address_t *address_at_(const pl_routing_t *routing, guint index)
{
	return &g_array_index(routing->addresses, address_t, index);
}

static address_t *next_of_(const pl_routing_t *routing, const address_t *entry)
{
	return entry->next ? address_at_(routing, entry->next - 1) : NULL;
}

/* Entry of the first service of the address, or NULL. */
static address_t *first_of_(const pl_routing_t *routing, const pl_addr_t *addr)
{
	guint index = 0;

	if (!lookup_index_(routing->by_address, addr, &index))
		return NULL;
	return address_at_(routing, index);
}

/* Replaces the service of least weight of a full chain by that of @p entry,
 * unless this has less. */
static void replace_least_(const pl_routing_t *routing, address_t *first,
			   const address_t *entry)
{
	address_t *least = first;
	address_t *at = first;

	while ((at = next_of_(routing, at)) != NULL) {
		if (at->policy.weight < least->policy.weight)
			least = at;
	}
	if (entry->policy.weight <= least->policy.weight)
		return;
	least->service = entry->service;
	least->policy = entry->policy;
}

/* Adds the entry at @p index to the services of its address. A service without
 * a weight has the address alone: the validation of the document rejects
 * others. */
static void add_share_(const pl_routing_t *routing, address_t *first,
		       guint index)
{
	const address_t *entry = address_at_(routing, index);
	address_t *last = first;
	size_t count = 1;

	if (!first->policy.weighted)
		return;
	if (!entry->policy.weighted) {
		first->service = entry->service;
		first->policy = entry->policy;
		first->next = 0;
		return;
	}
	for (; last->next; last = address_at_(routing, last->next - 1))
		count++;
	if (count < PL_ROUTE_SHARES_MAX)
		last->next = index + 1;
	else
		replace_least_(routing, first, entry);
}

static void link_addresses_(pl_routing_t *routing)
{
	for (guint i = 0; i < routing->addresses->len; i++) {
		address_t *entry = address_at_(routing, i);
		address_t *first = first_of_(routing, &entry->addr);

		if (first)
			add_share_(routing, first, i);
		else
			g_hash_table_insert(routing->by_address, &entry->addr,
					    GUINT_TO_POINTER(i));
	}
}

pl_routing_t *pl_routing_builder_finish(pl_routing_builder_t *builder)
{
	pl_routing_t *routing = builder->routing;
	guint index = 0;

	sort_endpoints_(routing);
	link_endpoints_(routing);
	link_addresses_(routing);
	/* fills by_id, also if no endpoint or address was added after the
	 * last service */
	service_index_(routing, 0, &index);
	g_free(builder);
	return routing;
}

void pl_routing_get(pl_routing_t *routing)
{
	pl_ref_get(&routing->ref);
}

void pl_routing_put(pl_routing_t *routing)
{
	if (routing)
		pl_ref_put(&routing->ref);
}

uint64_t pl_routing_revision(const pl_routing_t *routing)
{
	return routing->revision;
}

size_t pl_routing_service_count(const pl_routing_t *routing)
{
	return routing->services->len;
}

const pl_route_service_t *pl_routing_service_at(const pl_routing_t *routing,
						size_t index)
{
	assert(index < routing->services->len);
	return &g_array_index(routing->services, pl_route_service_t, index);
}

const pl_route_service_t *pl_routing_by_address(const pl_routing_t *routing,
						const pl_addr_t *addr)
{
	const address_t *first = first_of_(routing, addr);
	const address_t *best = first;

	if (!first)
		return NULL;
	for (const address_t *at = first; at; at = next_of_(routing, at)) {
		if (at->policy.weight > best->policy.weight)
			best = at;
	}
	return pl_routing_service_at(routing, best->service);
}

size_t pl_routing_shares(const pl_routing_t *routing, const pl_addr_t *addr,
			 pl_route_share_t shares[PL_ROUTE_SHARES_MAX])
{
	size_t count = 0;

	for (const address_t *at = first_of_(routing, addr); at;
	     at = next_of_(routing, at))
		shares[count++] = (pl_route_share_t){
			.service = pl_routing_service_at(routing, at->service),
			.policy = &at->policy,
			.weight = at->policy.weighted ? at->policy.weight :
							PL_ROUTE_WEIGHT_FULL,
		};
	return count;
}

const pl_route_policy_t *pl_routing_route(const pl_routing_t *routing,
					  const pl_addr_t *addr)
{
	const address_t *first = first_of_(routing, addr);

	return first ? &first->policy : NULL;
}

const pl_route_service_t *pl_routing_by_id(const pl_routing_t *routing,
					   pl_service_id_t id)
{
	guint index = 0;

	if (!lookup_index_(routing->by_id, &id, &index))
		return NULL;
	return pl_routing_service_at(routing, index);
}

const pl_endpoint_t *pl_routing_endpoint(const pl_routing_t *routing,
					 pl_member_id_t agent)
{
	guint index = 0;

	if (!lookup_index_(routing->by_agent, &agent, &index))
		return NULL;
	return &g_array_index(routing->endpoints, pl_endpoint_t, index);
}
