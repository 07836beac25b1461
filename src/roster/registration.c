/**
 * @file
 * Registration of an agent in the roster of its service.
 */
#include <pimentolift/registration.h>

#include <assert.h>
#include <glib.h>
#include <pimentolift/event.h>
#include <string.h>

/** Delay of the first retry of a failed call; it doubles with each failure. */
#define RETRY_MS 200
#define RETRY_DOUBLINGS_MAX 5
/** Failed removals that do not lengthen the delay. Proofs that flows are dead
 * wait for an entry that its agent leaves behind, and an agent that stops waits
 * 3 s for its removal. */
#define EAGER_REMOVALS 10
#define HEX 16
/** While the store is unavailable an agent serves after this time without being
 * registered: by then every entry knows it from the membership. */
#define REGISTER_TIMEOUT_MS 2000
/** An entry older than this is written again when membership may have declared
 * the agent dead, because readers remove the entries of agents that stay dead
 * for PL_ROSTER_REMOVE_DEAD_MS. */
#define REFRESH_AGE_MS (PL_ROSTER_REMOVE_DEAD_MS / 2)

struct pl_registration {
	char *key;
	char *name;
	pl_kv_t *kv;
	pl_timer_service_t *timers;
	uint64_t (*random)(void);
	void (*delegate)(void *ctx);
	void *delegate_ctx;
	bool wanted; /* the agent may own flows */
	bool registered;
	bool writing; /* a write is in progress */
	bool removing; /* the entry is to be removed */
	bool removed;
	uint64_t generation; /* of the store that wrote or removed the entry */
	uint64_t read_generation; /* of the store that read it for removal */
	pl_ms_t written_at;
	unsigned int failures;
	pl_timer_t call_timer; /* starts the next write or removal */
	pl_timer_t register_timeout;
	pl_registration_done_t done;
	void *ctx;
};

char *pl_roster_prefix(const char *environment)
{
	return g_strdup_printf("pimentolift/%s/agents/", environment);
}

char *pl_roster_key(const char *environment, pl_service_id_t service,
		    pl_member_id_t agent)
{
	const pl_addr_t addr = pl_member_id_to_addr(agent);
	char text[PL_ADDR_TEXT_MAX];

	return g_strdup_printf(
		"pimentolift/%s/agents/%016" G_GINT64_MODIFIER "x/%s",
		environment, service, pl_addr_format(&addr, text));
}

bool pl_roster_parse_key(const char *environment, const char *key,
			 pl_service_id_t *service, pl_member_id_t *agent)
{
	const char *name = strrchr(key, '/');
	pl_addr_t addr;
	char *expected;
	bool valid;

	if (!name || pl_addr_parse(name + 1, &addr, NULL) != PL_OK ||
	    addr.family != PL_ADDR_IPV4 || addr.port == 0)
		return false;
	while (name > key && name[-1] != '/')
		name--;
	*service = g_ascii_strtoull(name, NULL, HEX);
	*agent = pl_member_id_from_addr(&addr);
	expected = pl_roster_key(environment, *service, *agent);
	valid = strcmp(key, expected) == 0;
	g_free(expected);
	return valid;
}

static pl_ms_t now_(const pl_registration_t *registration)
{
	return pl_timer_service_now(registration->timers);
}

static void schedule_call_(pl_registration_t *registration, pl_ms_t pause)
{
	pl_timer_arm(registration->timers, &registration->call_timer,
		     now_(registration) + pause);
}

static void report_done_(pl_registration_t *registration)
{
	pl_registration_done_t done = registration->done;

	pl_timer_cancel(registration->timers, &registration->register_timeout);
	registration->done = NULL;
	if (done)
		done(registration->ctx);
}

static void schedule_retry_(pl_registration_t *registration,
			    const pl_kv_reply_t *reply)
{
	unsigned int eager = registration->removing ? EAGER_REMOVALS : 0;
	unsigned int doublings = registration->failures > eager ?
					 MIN(registration->failures - eager,
					     RETRY_DOUBLINGS_MAX) :
					 0;
	pl_ms_t pause = (pl_ms_t)RETRY_MS << doublings;

	if (registration->failures == 0)
		pl_event(PL_EVENT_ROSTER_FAILED, "%s: %s",
			 pl_result_name(reply->result), reply->message);
	registration->failures++;
	schedule_call_(registration, pause + registration->random() % pause);
}

static void finish_write_(pl_registration_t *registration, uint64_t generation,
			  const char *writer)
{
	registration->failures = 0;
	registration->registered = true;
	registration->generation = generation;
	registration->written_at = now_(registration);
	pl_event(PL_EVENT_ROSTER_REGISTERED,
		 "%s, generation %" G_GUINT64_FORMAT " of the store%s",
		 registration->key, generation, writer);
	report_done_(registration);
}

static void on_written_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_registration_t *registration = ctx;

	registration->writing = false;
	/* deregistered during the write: remove the entry again */
	if (!registration->wanted) {
		registration->removing = true;
		schedule_call_(registration, 0);
		return;
	}
	if (reply->result != PL_OK) {
		schedule_retry_(registration, reply);
		if (!registration->registered && registration->delegate)
			registration->delegate(registration->delegate_ctx);
		return;
	}
	finish_write_(registration, reply->position.generation, "");
}

void pl_registration_delegate_wrote(pl_registration_t *registration,
				    uint64_t generation)
{
	if (!registration->wanted || registration->registered)
		return;
	pl_timer_cancel(registration->timers, &registration->call_timer);
	finish_write_(registration, generation, " by another member");
}

static void write_entry_(pl_registration_t *registration)
{
	registration->writing = true;
	pl_kv_put(registration->kv,
		  &(pl_kv_write_t){ .key = registration->key,
				    .value = registration->name,
				    .value_len = strlen(registration->name),
				    .expected_index = PL_KV_ANY },
		  on_written_, registration);
}

static void removal_done_(pl_registration_t *registration,
			  const pl_kv_reply_t *reply)
{
	registration->removing = false;
	registration->removed = true;
	registration->failures = 0;
	registration->generation = reply->position.generation;
}

static void on_removed_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_registration_t *registration = ctx;

	if (!registration->removing)
		return;
	/* On a conflict the entry is no longer the one that was read: another
	 * process wrote it, or a restore of the store changed its index. */
	if (reply->result == PL_ERR_CONFLICT &&
	    reply->position.generation != registration->read_generation)
		schedule_call_(registration, 0);
	else if (reply->result == PL_OK || reply->result == PL_ERR_CONFLICT)
		removal_done_(registration, reply);
	else
		schedule_retry_(registration, reply);
}

/* Removes the entry only if it is still the one that was read: the store may
 * execute the removal after a new backend server has started and the agent has
 * registered again. */
static void on_entry_read_(void *ctx, const pl_kv_reply_t *reply)
{
	pl_registration_t *registration = ctx;

	if (!registration->removing)
		return;
	if (reply->result == PL_ERR_NOT_FOUND) {
		removal_done_(registration, reply);
		return;
	}
	if (reply->result != PL_OK) {
		schedule_retry_(registration, reply);
		return;
	}
	registration->read_generation = reply->position.generation;
	pl_kv_remove(registration->kv, registration->key, reply->modify_index,
		     on_removed_, registration);
}

static void on_call_due_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_registration_t *registration = ctx;

	(void)timer;
	(void)now;
	if (registration->removing)
		pl_kv_get(registration->kv, registration->key, on_entry_read_,
			  registration);
	else if (registration->wanted && !registration->writing)
		write_entry_(registration);
}

static void on_register_timeout_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	(void)timer;
	(void)now;
	report_done_(ctx);
}

pl_registration_t *pl_registration_new(const pl_registration_params_t *params)
{
	pl_registration_t *registration = g_new0(pl_registration_t, 1);

	assert(params->kv && params->timers && params->random);
	registration->key = pl_roster_key(params->environment, params->service,
					  params->agent);
	registration->name = g_strdup(params->name);
	registration->kv = params->kv;
	registration->timers = params->timers;
	registration->random = params->random;
	registration->delegate = params->delegate;
	registration->delegate_ctx = params->delegate_ctx;
	pl_timer_init(&registration->call_timer, on_call_due_, registration);
	pl_timer_init(&registration->register_timeout, on_register_timeout_,
		      registration);
	return registration;
}

void pl_registration_delete(pl_registration_t *registration)
{
	if (!registration)
		return;
	pl_timer_cancel(registration->timers, &registration->call_timer);
	pl_timer_cancel(registration->timers, &registration->register_timeout);
	g_free(registration->key);
	g_free(registration->name);
	g_free(registration);
}

void pl_registration_register(pl_registration_t *registration,
			      pl_registration_done_t done, void *ctx)
{
	if (registration->wanted && registration->registered) {
		done(ctx);
		return;
	}
	registration->done = done;
	registration->ctx = ctx;
	if (registration->wanted)
		return;
	registration->wanted = true;
	registration->removing = false;
	registration->removed = false;
	pl_timer_arm(registration->timers, &registration->register_timeout,
		     now_(registration) + REGISTER_TIMEOUT_MS);
	schedule_call_(registration, 0);
}

void pl_registration_refresh(pl_registration_t *registration)
{
	if (registration->registered &&
	    now_(registration) - registration->written_at >= REFRESH_AGE_MS &&
	    !registration->writing &&
	    !pl_timer_armed(&registration->call_timer))
		schedule_call_(registration, 0);
}

void pl_registration_deregister(pl_registration_t *registration)
{
	registration->removing = true;
	registration->wanted = false;
	registration->registered = false;
	schedule_call_(registration, 0);
}

void pl_registration_store_restored(pl_registration_t *registration,
				    uint64_t generation, pl_ms_t spread_ms)
{
	/* a call in progress fails or ends in the new generation */
	if (generation <= registration->generation || registration->writing ||
	    registration->removing || pl_timer_armed(&registration->call_timer))
		return;
	if (!registration->registered && !registration->removed)
		return;
	registration->removing = registration->removed;
	schedule_call_(registration, registration->random() % (spread_ms + 1));
}

bool pl_registration_is_deregistering(const pl_registration_t *registration)
{
	return registration->removing;
}
