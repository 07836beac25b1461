/**
 * @file
 * Lookup of the owner of a flow on a cache miss.
 *
 * The agents are queried in parallel, so that one that is dead or partitioned
 * delays no lookup: first those of the service that the configuration sends new
 * flows to, then those of all services, because the flow may have been opened
 * under an earlier configuration. An agent that is unsure, because its server
 * started before the agent did, is probed: it is sent one real packet of the
 * flow, and its server hands the packet back if it does not hold the flow (see
 * entry_probe.c).
 */
#include "private/entry_private.h"

#include <inttypes.h>
#include <pimentolift/counter.h>
#include <pimentolift/event.h>
#include <string.h>

/** Interval between two checks of a lookup: its age divided by the divisor,
 * clamped to RECHECK_MIN_MS and this, so that old lookups are checked less
 * often. */
#define RECHECK_MAX_MS 400
#define RECHECK_AGE_DIVISOR 4
/** An agent that has not answered after this time counts as silent. */
#define ANSWER_TIMEOUT_MS 30
/** A lookup that finds no owner ends after this time. Callers retransmit after
 * up to 1.6 s, and agents count as unreachable after 1.5 s: a shorter timeout
 * would drop the queued packet before the flow can be proved dead. */
#define LOOKUP_TIMEOUT_MS 4000
/** Age of a lookup after which the roster is requested although agents are
 * silent. */
#define ROSTER_AFTER_MS 200
#define US_PER_MS 1000
/** Agents listed in one log line. */
#define LOGGED_AGENTS_MAX 6
/** Lookups open at the same time; packets that would need more are dropped. */
#define LOOKUPS_OPEN_MAX 4096
/** An agent that was unsure is queried again after this time. */
#define REQUERY_UNSURE_MS 500

static void end_dead_(pl_flow_entry_t *entry, lookup_t *lookup);

static agent_query_t *find_query_(const lookup_t *lookup, pl_member_id_t agent)
{
	guint index = GPOINTER_TO_UINT(g_hash_table_lookup(
		lookup->query_index, pl_flow_agent_key_(agent)));

	return index ? &g_array_index(lookup->queries, agent_query_t,
				      index - 1) :
		       NULL;
}

const agent_query_t *pl_flow_lookup_find_query_(const lookup_t *lookup,
						pl_member_id_t agent)
{
	return find_query_(lookup, agent);
}

void pl_flow_lookup_arm_timer_(pl_flow_entry_t *entry, lookup_t *lookup,
			       pl_ms_t pause)
{
	pl_timer_arm(entry->timers, &lookup->timer,
		     pl_flow_entry_now_(entry) + pause);
}

void pl_flow_lookup_end_(pl_flow_entry_t *entry, lookup_t *lookup)
{
	pl_flow_liveness_lookup_ended_(entry, lookup);
	pl_timer_cancel(entry->timers, &lookup->timer);
	pl_packet_queue_clear(&lookup->packets);
	pl_list_remove(&lookup->link);
	g_array_free(lookup->queries, TRUE);
	g_hash_table_destroy(lookup->query_index);
	lookup->flow->lookup = NULL;
	entry->stats.lookups_open--;
	g_free(lookup);
}

static void set_owner_(pl_flow_entry_t *entry, lookup_t *lookup,
		       pl_member_id_t owner, pl_service_id_t service)
{
	cached_flow_t *flow = lookup->flow;

	flow->owner = owner;
	pl_flow_entry_cancel_offers_(entry, flow);
	flow->service = service;
	entry->stats.found++;
	pl_counter_add(PL_COUNTER_FLOWS_FOUND, 1);
	pl_histogram_record(PL_HISTOGRAM_LOOKUP,
			    (pl_flow_entry_now_(entry) - lookup->started) *
				    US_PER_MS);
	pl_list_for_each(link, &lookup->packets.list) {
		const pl_queued_packet_t *packet =
			PL_CONTAINER_OF(link, pl_queued_packet_t, link);

		pl_flow_entry_forward_(entry, flow, owner, PL_FLOW_OWNER_KNOWN,
				       packet->bytes, packet->len);
	}
	pl_flow_lookup_end_(entry, lookup);
}

/* Takes the next steps of a lookup that the answers so far allow. */
static void advance_lookup_(pl_flow_entry_t *entry, lookup_t *lookup)
{
	pl_ms_t age = pl_flow_entry_now_(entry) - lookup->widened_at;
	pl_flow_pending_t pending = pl_flow_probe_count_pending_(entry, lookup);

	if (lookup->probes >= PROBES_MAX)
		return;
	/* the routing table of an entry that has just joined lists no
	 * endpoints */
	if (lookup->queries->len == 0) {
		pl_flow_lookup_arm_timer_(entry, lookup, RECHECK_MIN_MS);
		return;
	}
	if (pending.silent > 0 && age < ANSWER_TIMEOUT_MS) {
		pl_flow_lookup_arm_timer_(entry, lookup,
					  ANSWER_TIMEOUT_MS - age);
		return;
	}
	if (!lookup->wide) {
		lookup->wide = true;
		if (pl_flow_query_(entry, lookup)) {
			lookup->widened_at = pl_flow_entry_now_(entry);
			pl_flow_lookup_arm_timer_(entry, lookup,
						  ANSWER_TIMEOUT_MS);
			return;
		}
	}
	if (pending.to_probe) {
		pl_flow_probe_next_(entry, lookup, &pending);
		return;
	}
	if (lookup->probes > 0)
		return;
	/* silent or unsure agents may be dead; the roster determines whether
	 * they matter, but it is expensive to read */
	lookup->exhausted = (pending.silent == 0 && pending.unsure == 0) ||
			    age >= ROSTER_AFTER_MS;
	if (lookup->exhausted && lookup->flow->routed &&
	    pl_flow_roster_proves_dead_(entry, lookup))
		end_dead_(entry, lookup);
	else
		pl_flow_lookup_arm_timer_(entry, lookup,
					  CLAMP(age / RECHECK_AGE_DIVISOR,
						RECHECK_MIN_MS,
						RECHECK_MAX_MS));
}

/* Formats the answers for the log: the first LOGGED_AGENTS_MAX agents that did
 * not rule the flow out, and how many did and did not. */
static char *format_answers_(const lookup_t *lookup)
{
	GString *text = g_string_new(NULL);
	unsigned int absent = 0;
	unsigned int others = 0;

	for (guint i = 0; i < lookup->queries->len; i++) {
		const agent_query_t *query =
			&g_array_index(lookup->queries, agent_query_t, i);
		const pl_addr_t addr = pl_member_id_to_addr(query->agent);
		char name[PL_ADDR_TEXT_MAX];

		if (query->answered && query->verdict == PL_FLOW_ABSENT) {
			absent++;
			continue;
		}
		if (++others > LOGGED_AGENTS_MAX)
			continue;
		g_string_append_printf(
			text, " %s=%s%s", pl_addr_format(&addr, name),
			query->answered ?
				pl_flow_verdict_names[query->verdict] :
				"silent",
			query->probed ? ",tried" : "");
	}
	g_string_append_printf(text, " absent=%u others=%u", absent, others);
	return g_string_free(text, FALSE);
}

/* Formats what the lookup relied on: configuration and roster. */
static char *format_evidence_(const pl_flow_entry_t *entry)
{
	const pl_flow_roster_t *roster = &entry->roster;

	if (!roster->known)
		return g_strdup_printf("configuration %" PRIu64 ", no roster",
				       pl_routing_revision(entry->routing));
	return g_strdup_printf(
		"configuration %" PRIu64 ", roster of %u agents %" PRIu64
		" ms old",
		pl_routing_revision(entry->routing), roster->agents->len,
		pl_flow_entry_now_(entry) - roster->requested_at);
}

static void log_end_(pl_flow_entry_t *entry, const lookup_t *lookup,
		     pl_event_id_t event)
{
	char *evidence = format_evidence_(entry);
	char name[PL_FLOW_TEXT_MAX];
	char blocking_text[PL_ADDR_TEXT_MAX];
	char *answers = format_answers_(lookup);
	const pl_addr_t blocking = pl_member_id_to_addr(
		pl_flow_roster_blocking_agent_(entry, lookup));

	pl_event(event, "flow %s after %" PRIu64 " ms, %zu packets, %s:%s%s%s",
		 pl_flow_format(&lookup->flow->node.key, name),
		 pl_flow_entry_now_(entry) - lookup->started,
		 lookup->packets.count, evidence, answers,
		 blocking.port ? " not ruled out: " : "",
		 blocking.port ? pl_addr_format(&blocking, blocking_text) : "");
	g_free(answers);
	g_free(evidence);
}

/* Queries probed agents again. A server that was not running when it was probed
 * hands nothing back, but its agent knows once the server has reported. */
static void requery_probed_(lookup_t *lookup, pl_ms_t now)
{
	for (guint i = 0; i < lookup->queries->len; i++) {
		agent_query_t *query =
			&g_array_index(lookup->queries, agent_query_t, i);

		if (!query->answered || !query->probed ||
		    query->verdict == PL_FLOW_ABSENT)
			continue;
		query->answered = false;
		lookup->unanswered++;
		query->send_count = 0;
		query->next_send_at = now;
	}
}

/* Queries unsure agents again, because they may know more later. The earlier
 * verdict stays in force until the answer, so that the server can be probed in
 * the meantime. The queries that a dead agent leaves unanswered are counted and
 * not restarted. */
static void requery_unsure_(const pl_flow_entry_t *entry, lookup_t *lookup,
			    pl_ms_t now)
{
	for (guint i = 0; i < lookup->queries->len; i++) {
		agent_query_t *query =
			&g_array_index(lookup->queries, agent_query_t, i);

		if (!query->answered || query->probed ||
		    query->verdict != PL_FLOW_UNSURE ||
		    now - query->answered_at < REQUERY_UNSURE_MS ||
		    (query->requery &&
		     pl_flow_liveness_is_dead_(entry, query->agent)))
			continue;
		query->answered_at = now;
		query->requery = true;
		query->send_count = 0;
		query->next_send_at = now;
	}
}

static void on_lookup_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	pl_flow_entry_t *entry = ctx;
	lookup_t *lookup = PL_CONTAINER_OF(timer, lookup_t, timer);

	if (now - lookup->started >= LOOKUP_TIMEOUT_MS) {
		entry->stats.lookups_lost++;
		pl_counter_add(PL_COUNTER_FLOWS_LOST, 1);
		log_end_(entry, lookup, PL_EVENT_FLOW_LOST);
		pl_flow_lookup_end_(entry, lookup);
		return;
	}
	lookup->probes = 0;
	requery_probed_(lookup, now);
	requery_unsure_(entry, lookup, now);
	pl_flow_query_(entry, lookup);
	advance_lookup_(entry, lookup);
}

static lookup_t *start_lookup_(pl_flow_entry_t *entry, cached_flow_t *flow,
			       uint32_t ack)
{
	lookup_t *lookup = g_new0(lookup_t, 1);

	lookup->flow = flow;
	lookup->ack = ack;
	lookup->started = pl_flow_entry_now_(entry);
	lookup->queries = g_array_new(FALSE, TRUE, sizeof(agent_query_t));
	lookup->query_index = g_hash_table_new(g_direct_hash, g_direct_equal);
	pl_packet_queue_init(&lookup->packets);
	pl_list_append(&entry->lookups, &lookup->link);
	pl_timer_init(&lookup->timer, on_lookup_timer_, entry);
	flow->lookup = lookup;
	flow->owner = 0;
	entry->stats.lookups++;
	entry->stats.lookups_open++;
	lookup->widened_at = lookup->started;
	pl_flow_query_(entry, lookup);
	pl_flow_lookup_arm_timer_(entry, lookup, ANSWER_TIMEOUT_MS);
	return lookup;
}

void pl_flow_lookup_add_(pl_flow_entry_t *entry, cached_flow_t *flow,
			 uint32_t ack, const uint8_t *bytes, size_t len)
{
	lookup_t *lookup = flow->lookup;

	if (!lookup) {
		if (entry->stats.lookups_open >= LOOKUPS_OPEN_MAX)
			return;
		lookup = start_lookup_(entry, flow, ack);
	}
	lookup->packet_at = pl_flow_entry_now_(entry);
	pl_packet_queue_add(&lookup->packets, bytes, len);
}

/* Handles the claim of an agent whose server did not hand a probe back. It is
 * the owner if no other agent may be; else it stays presumed until it, or
 * another one, is confirmed. Returns whether the lookup has ended. */
static bool handle_presumed_(pl_flow_entry_t *entry, lookup_t *lookup,
			     agent_query_t *query)
{
	query->probed = true;
	if (lookup->wide &&
	    !pl_flow_probe_has_other_owner_(entry, lookup, query)) {
		set_owner_(entry, lookup, query->agent, query->service);
		return true;
	}
	if (lookup->presumed == 0) {
		lookup->presumed = query->agent;
		lookup->presumed_at = pl_flow_entry_now_(entry);
		lookup->presumed_sent = 1;
	}
	if (lookup->presumed == query->agent)
		pl_flow_probe_send_to_presumed_(entry, lookup, query);
	return false;
}

void pl_flow_lookup_verdict_(pl_flow_entry_t *entry, lookup_t *lookup,
			     const pl_flow_claim_t *claim)
{
	pl_flow_verdict_t verdict = claim->verdict;
	agent_query_t *query = find_query_(lookup, claim->agent);

	if (verdict == PL_FLOW_OWNED && !claim->presumed) {
		set_owner_(entry, lookup, claim->agent, claim->service);
		return;
	}
	if (!query || verdict == PL_FLOW_REFUSED)
		return;
	if (query->probed && verdict == PL_FLOW_ABSENT && lookup->probes > 0)
		lookup->probes--;
	pl_flow_probe_note_(entry, query, claim);
	if (lookup->presumed == claim->agent && verdict == PL_FLOW_ABSENT)
		lookup->presumed = 0;
	query->service = claim->service;
	if (verdict == PL_FLOW_OWNED && handle_presumed_(entry, lookup, query))
		return;
	if (!query->answered) {
		lookup->unanswered--;
		pl_flow_liveness_answered_(entry, lookup, query);
	}
	query->answered = true;
	query->requery = false;
	query->answered_at = pl_flow_entry_now_(entry);
	query->verdict = verdict;
	/* Agents that do not answer are handled by the timer. An exhausted
	 * lookup waits for this answer alone if the others are dead. */
	if (lookup->unanswered == 0 || query->probed || lookup->exhausted)
		advance_lookup_(entry, lookup);
}

static void end_dead_(pl_flow_entry_t *entry, lookup_t *lookup)
{
	cached_flow_t *flow = lookup->flow;
	const pl_flow_deadlines_t late = { 0 };

	entry->stats.flows_reset++;
	pl_counter_add(PL_COUNTER_FLOWS_RESET, 1);
	log_end_(entry, lookup, PL_EVENT_FLOW_DEAD);
	pl_flow_entry_reset_(entry, &flow->node.key, lookup->ack);
	pl_flow_retries_record_reset_(entry, flow->node.key.caller_ip, &late);
	pl_flow_lookup_end_(entry, lookup);
	pl_flow_table_remove(entry->flows, &flow->node);
}

void pl_flow_lookup_requery_dead_(pl_flow_entry_t *entry, pl_member_id_t agent)
{
	pl_list_for_each(link, &entry->lookups) {
		lookup_t *lookup = PL_CONTAINER_OF(link, lookup_t, link);
		agent_query_t *query = find_query_(lookup, agent);

		if (!query ||
		    (query->answered && query->verdict != PL_FLOW_UNSURE))
			continue;
		query->requery = query->answered;
		query->send_count = 0;
		query->next_send_at = pl_flow_entry_now_(entry);
		pl_flow_query_agent_(entry, lookup, agent);
	}
}

void pl_flow_lookup_end_dead_flows_(pl_flow_entry_t *entry)
{
	pl_list_for_each_safe(link, &entry->lookups) {
		lookup_t *lookup = PL_CONTAINER_OF(link, lookup_t, link);

		if (lookup->exhausted && lookup->flow->routed &&
		    pl_flow_roster_proves_dead_(entry, lookup))
			end_dead_(entry, lookup);
	}
}

/* Returns the first lookup that began without a configuration, or NULL. */
static lookup_t *first_unrouted_(const pl_flow_entry_t *entry)
{
	pl_list_for_each(link, &entry->lookups) {
		lookup_t *lookup = PL_CONTAINER_OF(link, lookup_t, link);

		if (!lookup->flow->routed)
			return lookup;
	}
	return NULL;
}

void pl_flow_lookup_reroute_(pl_flow_entry_t *entry)
{
	lookup_t *lookup;

	if (pl_routing_revision(entry->routing) == 0)
		return;
	while ((lookup = first_unrouted_(entry)) != NULL) {
		pl_packet_queue_t packets;

		pl_packet_queue_init(&packets);
		pl_packet_queue_move(&packets, &lookup->packets);
		pl_flow_table_remove(entry->flows, &lookup->flow->node);
		pl_list_for_each(link, &packets.list) {
			const pl_queued_packet_t *packet =
				PL_CONTAINER_OF(link, pl_queued_packet_t, link);

			pl_flow_entry_route_(entry, packet->bytes, packet->len);
		}
		pl_packet_queue_clear(&packets);
	}
}
