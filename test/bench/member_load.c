/**
 * @file What one member costs at size: one real table against a stand-in
 * that plays the messages of all its peers, in virtual time:
 * `member_load [size ...]`. Each line is `name value unit baseline target`.
 *
 * The stand-in probes the table as often as its peers would, answers its
 * probes, and gossips changes: the day's churn, and then the worst minute in
 * which 650 members are replaced. Each change reaches the table as often as
 * a member sends it, within the budget that a peer has.
 */
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <pimentolift/gossip.h>
#include <pimentolift/member.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define STEP_MS 10
#define DATACENTRES 7
#define DAY_S 86400.0
/** Failures and restarts of 6,050 members on an ordinary day; each is two
 * changes, and each restart is announced by a drain. */
#define CHANGES_PER_DAY ((7.0 + 800.0) * 3.0)
#define CHURN_SIZE 6050.0
#define DAY_RUN_S 1800
#define WORST_RUN_S 60
#define WORST_REPLACED 650
/** Sendings of a change, as the table itself does at this size. */
#define SENDINGS_BASE 5.0
#define SENDINGS_PER_LN 2.0
/** What a peer may send in a second, and the fill of a datagram. */
#define PEER_BYTES 1600.0
#define DATAGRAM_FILL 10
#define PROBES_PER_S 2.0

/** A change that is on its way, and how often it will still be heard. */
typedef struct {
	size_t about;
	double left;
} change_t;

/** A datagram that the table sent. */
typedef struct {
	pl_member_id_t to;
	size_t len;
	uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
} outgoing_t;

typedef struct {
	size_t size;
	pl_key_t key;
	GRand *rand;
	pl_timer_service_t *timers;
	pl_member_table_t *table;
	pl_gossip_decoder_t *decoder;
	uint32_t *incarnations;
	bool *gone;
	GArray *changes;
	pl_ms_t now;
	uint64_t cpu_ns; /* within the table */
	struct timespec entered;
	uint64_t in;
	uint64_t out;
	uint64_t frames;
	GQueue *outgoing; /* datagrams of the table, as outgoing_t */
} standin_t;

static void enter_(standin_t *standin)
{
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &standin->entered);
}

static void leave_(standin_t *standin)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	standin->cpu_ns += (uint64_t)((now.tv_sec - standin->entered.tv_sec) *
					      1000000000LL +
				      now.tv_nsec - standin->entered.tv_nsec);
}

/* Peer 0 is the table itself. */
static pl_member_id_t id_of_(size_t peer)
{
	pl_addr_t addr = { .ip = { 10, 1, (uint8_t)(peer >> 8), (uint8_t)peer },
			   .port = 7000,
			   .family = PL_ADDR_IPV4 };

	return pl_member_id_from_addr(&addr);
}

static void send_datagram_(void *ctx, pl_member_id_t to, const uint8_t *buf,
			   size_t len)
{
	standin_t *standin = ctx;

	outgoing_t *outgoing = g_new(outgoing_t, 1);

	outgoing->to = to;
	outgoing->len = len;
	memcpy(outgoing->buf, buf, len);
	standin->out += len;
	g_queue_push_tail(standin->outgoing, outgoing);
}

static void send_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	standin_t *standin = ctx;

	standin->frames += frame->body_len;
}

static void changed_(void *ctx, const pl_member_t *member,
		     pl_member_state_t old)
{
	(void)ctx;
	(void)member;
	(void)old;
}

static uint64_t random_(void *ctx)
{
	standin_t *standin = ctx;

	return (uint64_t)g_rand_int(standin->rand) << 32 |
	       g_rand_int(standin->rand);
}

static void record_(const standin_t *standin, size_t peer,
		    pl_gossip_record_t *record)
{
	g_autofree char *name = g_strdup_printf("dc-%zu", peer % DATACENTRES);

	*record = (pl_gossip_record_t){
		.id = id_of_(peer),
		.incarnation = standin->incarnations[peer],
		.state = standin->gone[peer] ? PL_MEMBER_LEFT : PL_MEMBER_ALIVE,
		.role = peer % 9 == 0 ? PL_MEMBER_ENTRY : PL_MEMBER_AGENT,
		.whole = !standin->gone[peer],
		.boot = pl_hash(&peer, sizeof(peer), 1) +
			standin->incarnations[peer],
		.datacentre = pl_hash_text(name),
		.started_s = standin->incarnations[peer],
		.attr = { .service =
				  peer % 9 == 0 ? 0 : pl_hash_text("a service"),
			  .slots = 5,
			  .serving_since_s = standin->incarnations[peer] + 2 },
	};
}

static void deliver_(standin_t *standin, size_t from,
		     pl_gossip_message_t *message)
{
	uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
	size_t len;

	message->sender = id_of_(from);
	message->incarnation = standin->incarnations[from];
	len = pl_gossip_encode(&standin->key, message, buf, sizeof(buf));
	standin->in += len;
	enter_(standin);
	pl_member_receive(standin->table, buf, len);
	leave_(standin);
}

static size_t running_peer_(standin_t *standin)
{
	size_t peer;

	do {
		peer = (size_t)g_rand_int_range(standin->rand, 1,
						(gint32)standin->size);
	} while (standin->gone[peer]);
	return peer;
}

/* Puts changes that are on their way into a datagram. */
static size_t carry_(standin_t *standin, pl_gossip_record_t *records)
{
	size_t count = 0;

	while (count < DATAGRAM_FILL && standin->changes->len > 0) {
		guint at = (guint)g_rand_int_range(
			standin->rand, 0, (gint32)standin->changes->len);
		change_t *change =
			&g_array_index(standin->changes, change_t, at);

		record_(standin, change->about, &records[count++]);
		change->left -= 1;
		if (change->left <= 0)
			g_array_remove_index_fast(standin->changes, at);
	}
	return count;
}

static void send_(standin_t *standin, pl_gossip_type_t type, uint32_t sequence,
		  size_t from)
{
	pl_gossip_record_t records[DATAGRAM_FILL];
	pl_gossip_message_t message = { .type = type, .sequence = sequence };

	message.record_count = carry_(standin, records);
	message.records = records;
	deliver_(standin, from, &message);
}

/* The peer that was probed answers, unless it is gone. */
static void answer_(standin_t *standin)
{
	outgoing_t *outgoing;

	while ((outgoing = g_queue_pop_head(standin->outgoing))) {
		pl_addr_t addr = pl_member_id_to_addr(outgoing->to);
		size_t peer = (size_t)addr.ip[2] << 8 | addr.ip[3];
		pl_gossip_message_t message;

		if (!standin->gone[peer] &&
		    pl_gossip_decode(standin->decoder, outgoing->buf,
				     outgoing->len, &message) == PL_OK &&
		    message.type == PL_GOSSIP_PING)
			send_(standin, PL_GOSSIP_ACK, message.sequence, peer);
		g_free(outgoing);
	}
}

static void change_(standin_t *standin, size_t about, bool gone)
{
	change_t change = { .about = about };

	standin->incarnations[about]++;
	standin->gone[about] = gone;
	change.left =
		SENDINGS_BASE + SENDINGS_PER_LN * log((double)standin->size);
	g_array_append_val(standin->changes, change);
}

static bool happens_(standin_t *standin, double per_s)
{
	return g_rand_double(standin->rand) < per_s * STEP_MS / 1000.0;
}

/* Lets @p seconds pass with @p per_s changes a second. */
static void run_(standin_t *standin, unsigned int seconds, double per_s)
{
	pl_ms_t end = standin->now + seconds * 1000ULL;
	double credit = 0;

	while (standin->now < end) {
		uint64_t before = standin->in;

		standin->now += STEP_MS;
		enter_(standin);
		pl_member_tick(standin->table, standin->now);
		pl_timer_service_advance(standin->timers, standin->now);
		leave_(standin);
		if (happens_(standin, per_s)) {
			size_t about = (size_t)g_rand_int_range(
				standin->rand, 1, (gint32)standin->size);

			change_(standin, about, !standin->gone[about]);
		}
		answer_(standin);
		if (happens_(standin, PROBES_PER_S))
			send_(standin, PL_GOSSIP_PING, 1,
			      running_peer_(standin));
		credit = MIN(credit + PEER_BYTES * STEP_MS / 1000.0,
			     PEER_BYTES / 4);
		credit -= (double)(standin->in - before);
		if (credit > 0 && standin->changes->len > 0) {
			before = standin->in;
			send_(standin, PL_GOSSIP_UPDATE, 0,
			      running_peer_(standin));
			credit -= (double)(standin->in - before);
		}
	}
}

static void join_(standin_t *standin)
{
	pl_gossip_record_t *records = g_new(pl_gossip_record_t, standin->size);
	pl_gossip_frame_t push = { .records = records, .last = true };
	pl_peer_frame_t frame = { .peer = id_of_(1),
				  .type = PL_PEER_TABLE_PUSH };
	pl_addr_t seed = pl_member_id_to_addr(id_of_(1));
	pl_gossip_message_t hello = { .type = PL_GOSSIP_UPDATE,
				      .records = records,
				      .record_count = 1 };
	uint8_t *body;

	for (size_t i = 1; i < standin->size; i++)
		record_(standin, i, &records[push.record_count++]);
	pl_member_add_seed(standin->table, &seed);
	pl_member_join(standin->table);
	deliver_(standin, 1, &hello);
	run_(standin, 1, 0);
	body = pl_gossip_encode_frame(&push, &frame.body_len);
	frame.body = body;
	printf("member_table_frame_bytes_%zu %zu bytes - -\n", standin->size,
	       frame.body_len);
	enter_(standin);
	pl_member_frame(standin->table, &frame);
	leave_(standin);
	g_free(body);
	g_free(records);
}

static void report_(standin_t *standin, const char *name, unsigned int seconds)
{
	printf("member_%s_bytes_%zu %.0f bytes/s - 6000\n", name, standin->size,
	       (double)(standin->in + standin->out + standin->frames) /
		       seconds);
	printf("member_%s_cpu_%zu %.4f percent - 1.1\n", name, standin->size,
	       (double)standin->cpu_ns / 1e7 / seconds);
	standin->in = 0;
	standin->out = 0;
	standin->frames = 0;
	standin->cpu_ns = 0;
}

static void measure_(size_t size)
{
	static const pl_member_ops_t ops = { .send_datagram = send_datagram_,
					     .send_frame = send_frame_,
					     .changed = changed_,
					     .random = random_ };
	standin_t standin = { .size = size, .now = 1000 };
	pl_member_params_t params = { .self = id_of_(0),
				      .name = "real",
				      .datacentre = "dc-0",
				      .boot = 1,
				      .incarnation = 1700000000 };
	size_t before;

	pl_key_derive("the secret of the bench", "test", PL_KEY_GOSSIP,
		      &standin.key);
	params.key = standin.key;
	standin.rand = g_rand_new_with_seed((guint32)size);
	standin.decoder = pl_gossip_decoder_new(&standin.key);
	standin.incarnations = g_new(uint32_t, size);
	standin.gone = g_new0(bool, size);
	standin.changes = g_array_new(FALSE, FALSE, sizeof(change_t));
	standin.outgoing = g_queue_new();
	for (size_t i = 0; i < size; i++)
		standin.incarnations[i] = 1700000000;
	before = mallinfo2().uordblks;
	standin.timers = pl_timer_service_new(standin.now);
	standin.table =
		pl_member_table_new(&params, &ops, &standin, standin.timers);
	join_(&standin);
	printf("member_table_memory_%zu %zu bytes - -\n", size,
	       mallinfo2().uordblks - before);
	run_(&standin, 30, 0);
	report_(&standin, "join", 31);
	run_(&standin, DAY_RUN_S,
	     CHANGES_PER_DAY / DAY_S * (double)size / CHURN_SIZE);
	report_(&standin, "day", DAY_RUN_S);
	run_(&standin, WORST_RUN_S, 2.0 * WORST_REPLACED / WORST_RUN_S);
	report_(&standin, "worst_minute", WORST_RUN_S);
	pl_member_table_delete(standin.table);
	pl_timer_service_delete(standin.timers);
	pl_gossip_decoder_delete(standin.decoder);
	g_array_free(standin.changes, TRUE);
	g_queue_free(standin.outgoing);
	g_rand_free(standin.rand);
	g_free(standin.incarnations);
	g_free(standin.gone);
}

int main(int argc, char **argv)
{
	static const size_t sizes[] = { 100, 500, 1500, 6050 };

	for (int i = 1; i < argc; i++)
		measure_(strtoul(argv[i], NULL, 10));
	for (size_t i = 0; argc == 1 && i < G_N_ELEMENTS(sizes); i++)
		measure_(sizes[i]);
	return 0;
}
