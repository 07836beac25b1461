/**
 * @file
 * Registration of this agent in the roster of its service.
 */
#include "private/node_roster.h"
#include "private/node_roster_reader.h"

#include <glib.h>
#include <pimentolift/event.h>
#include <pimentolift/hash.h>
#include <string.h>

/** Delay of the first retry of a failed call; it doubles with each failure. */
#define RETRY_MS 200
#define RETRY_DOUBLINGS_MAX 5
/** While the store is unavailable an agent serves after this time without being
 * registered: by then every entry knows it from the membership. */
#define REGISTER_TIMEOUT_MS 2000
/** An entry older than this is written again when membership may have declared
 * the agent dead, because readers remove the entries of agents that stay dead
 * for PL_ROSTER_REMOVE_DEAD_MS. */
#define REFRESH_AGE_MS (PL_ROSTER_REMOVE_DEAD_MS / 2)

struct pl_node_roster {
	pl_node_t *node;
	pl_kv_t *kv;
	pl_service_id_t service; /* registered for; 0: none */
	bool registered;
	bool writing; /* a write is in progress */
	pl_ms_t written_at;
	pl_service_id_t removing_service; /* 0: none */
	unsigned int failures;
	pl_timer_t call_timer; /* starts the next write or removal */
	pl_timer_t register_timeout;
	pl_node_roster_done_t done;
	void *ctx;
};

static pl_timer_service_t *timers_(const pl_node_roster_t *roster)
{
	return pl_loop_timers(pl_node_loop(roster->node));
}

static pl_ms_t now_(const pl_node_roster_t *roster)
{
	return pl_timer_service_now(timers_(roster));
}

static pl_service_id_t own_service_(const pl_node_roster_t *roster)
{
	return pl_service_id(pl_node_settings(roster->node)->flows.service);
}

static char *entry_key_(const pl_node_roster_t *roster, pl_service_id_t service)
{
	return pl_roster_key(pl_node_settings(roster->node)->environment,
			     service, pl_node_self(roster->node));
}

static void schedule_call_(pl_node_roster_t *roster, pl_ms_t pause)
{
	pl_timer_arm(timers_(roster), &roster->call_timer,
		     now_(roster) + pause);
}

static void report_done_(pl_node_roster_t *roster)
{
	pl_node_roster_done_t done = roster->done;

	pl_timer_cancel(timers_(roster), &roster->register_timeout);
	roster->done = NULL;
	if (done)
		done(roster->ctx);
}

static void schedule_retry_(pl_node_roster_t *roster,
			    const pl_kv_reply_t *reply)
{
	unsigned int doublings = MIN(roster->failures, RETRY_DOUBLINGS_MAX);
	pl_ms_t pause = (pl_ms_t)RETRY_MS << doublings;

	if (roster->failures == 0)
		pl_event(PL_EVENT_ROSTER_FAILED, "%s: %s",
			 pl_result_name(reply->result), reply->message);
	roster->failures++;
	schedule_call_(roster, pause + pl_random_identity() % pause);
}

static void log_registered_(const pl_node_roster_t *roster, uint64_t generation)
{
	char *key = entry_key_(roster, roster->service);

	pl_event(PL_EVENT_ROSTER_REGISTERED,
		 "%s, generation %" G_GUINT64_FORMAT " of the store", key,
		 generation);
	g_free(key);
}

static void on_written_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_node_roster_t *roster = ctx;

	roster->writing = false;
	/* deregistered during the write: remove the entry again */
	if (roster->service == 0) {
		roster->removing_service = own_service_(roster);
		schedule_call_(roster, 0);
		return;
	}
	if (reply->result != PL_OK) {
		schedule_retry_(roster, reply);
		return;
	}
	roster->failures = 0;
	roster->registered = true;
	roster->written_at = now_(roster);
	log_registered_(roster, reply->position.generation);
	report_done_(roster);
}

static void write_entry_(pl_node_roster_t *roster)
{
	const char *name = pl_node_settings(roster->node)->name;
	char *key = entry_key_(roster, roster->service);

	roster->writing = true;
	pl_kv_put(roster->kv,
		  &(pl_kv_write_t){ .key = key,
				    .value = name,
				    .value_len = strlen(name),
				    .expected_index = PL_KV_ANY },
		  on_written_, roster);
	g_free(key);
}

static void on_removed_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_node_roster_t *roster = ctx;

	/* on a conflict the entry is no longer the one that was read */
	if (reply->result == PL_OK || reply->result == PL_ERR_CONFLICT)
		roster->removing_service = 0;
	else if (roster->removing_service != 0)
		schedule_retry_(roster, reply);
}

/* Removes the entry only if it is still the one that was read: the store may
 * execute the removal after a new backend server has started and the agent has
 * registered again. */
static void on_entry_read_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_node_roster_t *roster = ctx;
	char *key;

	if (roster->removing_service == 0)
		return;
	if (reply->result == PL_ERR_NOT_FOUND) {
		roster->removing_service = 0;
		return;
	}
	if (reply->result != PL_OK) {
		schedule_retry_(roster, reply);
		return;
	}
	key = entry_key_(roster, roster->removing_service);
	pl_kv_remove(roster->kv, key, reply->modify_index, on_removed_, roster);
	g_free(key);
}

static void remove_entry_(pl_node_roster_t *roster)
{
	char *key = entry_key_(roster, roster->removing_service);

	pl_kv_get(roster->kv, key, on_entry_read_, roster);
	g_free(key);
}

static void on_call_due_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_node_roster_t *roster = ctx;

	(void)timer;
	(void)now;
	if (roster->removing_service != 0)
		remove_entry_(roster);
	else if (roster->service != 0 && !roster->writing)
		write_entry_(roster);
}

static void on_register_timeout_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	(void)timer;
	(void)now;
	report_done_(ctx);
}

pl_node_roster_t *pl_node_roster_new(pl_node_t *node, pl_kv_t *kv)
{
	pl_node_roster_t *roster = g_new0(pl_node_roster_t, 1);

	roster->node = node;
	roster->kv = kv;
	pl_timer_init(&roster->call_timer, on_call_due_, roster);
	pl_timer_init(&roster->register_timeout, on_register_timeout_, roster);
	return roster;
}

void pl_node_roster_delete(pl_node_roster_t *roster)
{
	if (!roster)
		return;
	pl_timer_cancel(timers_(roster), &roster->call_timer);
	pl_timer_cancel(timers_(roster), &roster->register_timeout);
	g_free(roster);
}

void pl_node_roster_register(pl_node_roster_t *roster, pl_service_id_t service,
			     pl_node_roster_done_t done, void *ctx)
{
	if (roster->service == service && roster->registered) {
		done(ctx);
		return;
	}
	roster->done = done;
	roster->ctx = ctx;
	if (roster->service == service)
		return;
	roster->service = service;
	roster->removing_service = 0;
	pl_timer_arm(timers_(roster), &roster->register_timeout,
		     now_(roster) + REGISTER_TIMEOUT_MS);
	schedule_call_(roster, 0);
}

void pl_node_roster_refresh(pl_node_roster_t *roster)
{
	if (roster->registered &&
	    now_(roster) - roster->written_at >= REFRESH_AGE_MS &&
	    !roster->writing && !pl_timer_armed(&roster->call_timer))
		schedule_call_(roster, 0);
}

void pl_node_roster_deregister(pl_node_roster_t *roster)
{
	roster->removing_service = own_service_(roster);
	roster->service = 0;
	roster->registered = false;
	schedule_call_(roster, 0);
}

bool pl_node_roster_is_deregistering(const pl_node_roster_t *roster)
{
	return roster->removing_service != 0;
}
