#include <pimentolift/timer.h>

#include <assert.h>
#include <glib.h>

/** Slots of the hashed timing wheel; each covers SLOT_MS milliseconds. */
#define SLOTS 512
#define SLOT_MS 8

struct pl_timer_service {
	pl_ms_t now;
	uint64_t armed;
	pl_list_t slots[SLOTS];
};

static pl_list_t *get_slot_(pl_timer_service_t *service, pl_ms_t due)
{
	return &service->slots[(due / SLOT_MS) % SLOTS];
}

pl_timer_service_t *pl_timer_service_new(pl_ms_t now)
{
	pl_timer_service_t *service = g_new0(pl_timer_service_t, 1);

	service->now = now;
	for (size_t i = 0; i < SLOTS; i++)
		pl_list_init(&service->slots[i]);
	return service;
}

void pl_timer_service_delete(pl_timer_service_t *service)
{
	if (!service)
		return;
	for (size_t i = 0; i < SLOTS; i++) {
		pl_list_for_each_safe(node, &service->slots[i])
			pl_list_remove(node);
	}
	g_free(service);
}

pl_ms_t pl_timer_service_now(const pl_timer_service_t *service)
{
	return service->now;
}

pl_ms_t pl_timer_service_next(const pl_timer_service_t *service, pl_ms_t limit)
{
	pl_ms_t slot_time = service->now - service->now % SLOT_MS;

	if (service->armed == 0)
		return limit;
	for (; slot_time < limit; slot_time += SLOT_MS) {
		const pl_list_t *first = pl_list_first(
			&service->slots[(slot_time / SLOT_MS) % SLOTS]);
		pl_ms_t due;

		if (!first)
			continue;
		due = PL_CONTAINER_OF(first, const pl_timer_t, link)->due;
		/* a timer due in a later rotation of the wheel is skipped */
		if (due < slot_time + SLOT_MS)
			return due < limit ? due : limit;
	}
	return limit;
}

uint64_t pl_timer_service_armed(const pl_timer_service_t *service)
{
	return service->armed;
}

void pl_timer_init(pl_timer_t *timer, pl_timer_fire_t fire, void *ctx)
{
	assert(fire);
	pl_list_init(&timer->link);
	timer->due = 0;
	timer->fire = fire;
	timer->ctx = ctx;
}

bool pl_timer_armed(const pl_timer_t *timer)
{
	return !pl_list_empty(&timer->link);
}

void pl_timer_cancel(pl_timer_service_t *service, pl_timer_t *timer)
{
	if (!pl_timer_armed(timer))
		return;
	pl_list_remove(&timer->link);
	service->armed--;
}

void pl_timer_arm(pl_timer_service_t *service, pl_timer_t *timer, pl_ms_t due)
{
	pl_list_t *slot;
	pl_list_t *position;

	pl_timer_cancel(service, timer);
	timer->due = due > service->now ? due : service->now;
	slot = get_slot_(service, timer->due);
	/* the slot is sorted; the search starts at the end, where most new
	 * timers belong */
	position = slot;
	while (position->prev != slot &&
	       PL_CONTAINER_OF(position->prev, pl_timer_t, link)->due >
		       timer->due)
		position = position->prev;
	pl_list_insert_before(position, &timer->link);
	service->armed++;
}

/* Fires the timers in the slot of @p slot_time that are due by @p now. */
static void fire_slot_(pl_timer_service_t *service, pl_ms_t slot_time,
		       pl_ms_t now)
{
	pl_list_t *slot = get_slot_(service, slot_time);
	pl_ms_t limit = slot_time + SLOT_MS - 1;
	pl_list_t *first = pl_list_first(slot);

	if (limit > now)
		limit = now;
	while (first) {
		pl_timer_t *timer = PL_CONTAINER_OF(first, pl_timer_t, link);

		if (timer->due > limit)
			return;
		service->now =
			timer->due > service->now ? timer->due : service->now;
		pl_timer_cancel(service, timer);
		timer->fire(timer, timer->ctx, service->now);
		first = pl_list_first(slot);
	}
}

void pl_timer_service_advance(pl_timer_service_t *service, pl_ms_t now)
{
	pl_ms_t slot_time = service->now - service->now % SLOT_MS;

	if (now < service->now)
		return;
	/* an advance by several rotations visits each slot in each of them */
	for (; slot_time <= now && service->armed > 0; slot_time += SLOT_MS)
		fire_slot_(service, slot_time, now);
	service->now = now;
}
