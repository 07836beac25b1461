/**
 * @file
 * Measures what membership costs one member by size of the fleet:
 * `member_load [size ...]`. Each output line is
 * `name value unit baseline target`.
 *
 * One real member table runs in virtual time; the messages of all its peers
 * are simulated. The simulated peers probe the table as often as real ones
 * would, answer its probes, and gossip changes: first the churn of an ordinary
 * day, then the worst minute, in which 650 members are replaced. Each change
 * reaches the table as often as a member transmits it, within the byte budget
 * of a peer.
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
/**
 * Changes of 6,050 members on an ordinary day: 7 failures and 800 restarts,
 * each of them two changes, and one more change for the drain that announces
 * a restart.
 */
#define CHANGES_PER_DAY ((7.0 + 800.0) * 3.0)
/** Number of members that CHANGES_PER_DAY is for. */
#define CHURN_MEMBERS 6050.0
#define DAY_RUN_S 1800
#define WORST_RUN_S 60
#define WORST_REPLACED_MEMBERS 650
/** Transmissions of a change: BASE + PER_LN * ln(members), as in the table. */
#define TRANSMITS_BASE 5.0
#define TRANSMITS_PER_LN 2.0
/** Gossip budget of a peer. */
#define PEER_BYTES_PER_S 1600.0
/** Most records in a simulated datagram. */
#define RECORDS_PER_DATAGRAM 10
#define PROBES_PER_S 2.0

/** A change that is being gossiped. */
typedef struct {
	size_t peer; /**< index of the peer that changed */
	double transmits_left;
} change_t;

/** A datagram sent by the table under test. */
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
	uint32_t *incarnations; /* by peer */
	bool *has_left; /* by peer */
	GArray *changes;
	pl_ms_t now;
	uint64_t cpu_ns; /* CPU time inside the table */
	struct timespec cpu_start;
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t frame_bytes;
	GQueue *outgoing; /* outgoing_t, sent by the table and not yet handled */
} peers_t;

static void start_cpu_clock_(peers_t *peers)
{
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &peers->cpu_start);
}

static void stop_cpu_clock_(peers_t *peers)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	peers->cpu_ns += (uint64_t)((now.tv_sec - peers->cpu_start.tv_sec) *
					    1000000000LL +
				    now.tv_nsec - peers->cpu_start.tv_nsec);
}

/* Member ID of a simulated peer; index 0 is the table under test. */
static pl_member_id_t peer_id_(size_t peer)
{
	pl_addr_t addr = { .ip = { 10, 1, (uint8_t)(peer >> 8), (uint8_t)peer },
			   .port = 7000,
			   .family = PL_ADDR_IPV4 };

	return pl_member_id_from_addr(&addr);
}

static void on_send_datagram_(void *ctx, pl_member_id_t to, const uint8_t *buf,
			      size_t len)
{
	peers_t *peers = ctx;

	outgoing_t *outgoing = g_new(outgoing_t, 1);

	outgoing->to = to;
	outgoing->len = len;
	memcpy(outgoing->buf, buf, len);
	peers->bytes_out += len;
	g_queue_push_tail(peers->outgoing, outgoing);
}

static void on_send_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	peers_t *peers = ctx;

	peers->frame_bytes += frame->body_len;
}

static void on_changed_(void *ctx, const pl_member_t *member,
			pl_member_state_t old)
{
	(void)ctx;
	(void)member;
	(void)old;
}

static uint64_t random_(void *ctx)
{
	peers_t *peers = ctx;

	return (uint64_t)g_rand_int(peers->rand) << 32 |
	       g_rand_int(peers->rand);
}

static void make_record_(const peers_t *peers, size_t peer,
			 pl_gossip_record_t *record)
{
	g_autofree char *name = g_strdup_printf("dc-%zu", peer % DATACENTRES);

	*record = (pl_gossip_record_t){
		.id = peer_id_(peer),
		.incarnation = peers->incarnations[peer],
		.state = peers->has_left[peer] ? PL_MEMBER_LEFT :
						 PL_MEMBER_ALIVE,
		.role = peer % 9 == 0 ? PL_MEMBER_ENTRY : PL_MEMBER_AGENT,
		.full = !peers->has_left[peer],
		.boot = pl_hash(&peer, sizeof(peer), 1) +
			peers->incarnations[peer],
		.datacentre = pl_hash_text(name),
		.started_s = peers->incarnations[peer],
		.attr = { .service =
				  peer % 9 == 0 ? 0 : pl_hash_text("a service"),
			  .slots = 5,
			  .serving_since_s = peers->incarnations[peer] + 2 },
	};
}

static void deliver_message_(peers_t *peers, size_t from,
			     pl_gossip_message_t *message)
{
	uint8_t buf[PL_MEMBER_DATAGRAM_MAX];
	size_t len;

	message->sender = peer_id_(from);
	message->incarnation = peers->incarnations[from];
	len = pl_gossip_encode(&peers->key, message, buf, sizeof(buf));
	peers->bytes_in += len;
	start_cpu_clock_(peers);
	pl_member_receive(peers->table, buf, len);
	stop_cpu_clock_(peers);
}

static size_t random_running_peer_(peers_t *peers)
{
	size_t peer;

	do {
		peer = (size_t)g_rand_int_range(peers->rand, 1,
						(gint32)peers->size);
	} while (peers->has_left[peer]);
	return peer;
}

/* Fills @p records with changes to gossip; returns their number. */
static size_t pack_changes_(peers_t *peers, pl_gossip_record_t *records)
{
	size_t count = 0;

	while (count < RECORDS_PER_DATAGRAM && peers->changes->len > 0) {
		guint at = (guint)g_rand_int_range(peers->rand, 0,
						   (gint32)peers->changes->len);
		change_t *change = &g_array_index(peers->changes, change_t, at);

		make_record_(peers, change->peer, &records[count++]);
		change->transmits_left -= 1;
		if (change->transmits_left <= 0)
			g_array_remove_index_fast(peers->changes, at);
	}
	return count;
}

static void send_changes_(peers_t *peers, pl_gossip_type_t type,
			  uint32_t sequence, size_t from)
{
	pl_gossip_record_t records[RECORDS_PER_DATAGRAM];
	pl_gossip_message_t message = { .type = type, .sequence = sequence };

	message.record_count = pack_changes_(peers, records);
	message.records = records;
	deliver_message_(peers, from, &message);
}

/* Answers the probes of the table for all peers that have not left. */
static void answer_probes_(peers_t *peers)
{
	outgoing_t *outgoing;

	while ((outgoing = g_queue_pop_head(peers->outgoing))) {
		pl_addr_t addr = pl_member_id_to_addr(outgoing->to);
		size_t peer = (size_t)addr.ip[2] << 8 | addr.ip[3];
		pl_gossip_message_t message;

		if (!peers->has_left[peer] &&
		    pl_gossip_decode(peers->decoder, outgoing->buf,
				     outgoing->len, &message) == PL_OK &&
		    message.type == PL_GOSSIP_PING)
			send_changes_(peers, PL_GOSSIP_ACK, message.sequence,
				      peer);
		g_free(outgoing);
	}
}

static void add_change_(peers_t *peers, size_t peer, bool has_left)
{
	change_t change = { .peer = peer };

	peers->incarnations[peer]++;
	peers->has_left[peer] = has_left;
	change.transmits_left =
		TRANSMITS_BASE + TRANSMITS_PER_LN * log((double)peers->size);
	g_array_append_val(peers->changes, change);
}

static bool random_event_(peers_t *peers, double per_s)
{
	return g_rand_double(peers->rand) < per_s * STEP_MS / 1000.0;
}

/* Runs for @p seconds of virtual time with @p per_s changes per second. */
static void run_seconds_(peers_t *peers, unsigned int seconds, double per_s)
{
	pl_ms_t end = peers->now + seconds * 1000ULL;
	double budget_bytes = 0;

	while (peers->now < end) {
		uint64_t before = peers->bytes_in;

		peers->now += STEP_MS;
		start_cpu_clock_(peers);
		pl_member_tick(peers->table, peers->now);
		pl_timer_service_advance(peers->timers, peers->now);
		stop_cpu_clock_(peers);
		if (random_event_(peers, per_s)) {
			size_t peer = (size_t)g_rand_int_range(
				peers->rand, 1, (gint32)peers->size);

			add_change_(peers, peer, !peers->has_left[peer]);
		}
		answer_probes_(peers);
		if (random_event_(peers, PROBES_PER_S))
			send_changes_(peers, PL_GOSSIP_PING, 1,
				      random_running_peer_(peers));
		budget_bytes =
			MIN(budget_bytes + PEER_BYTES_PER_S * STEP_MS / 1000.0,
			    PEER_BYTES_PER_S / 4);
		budget_bytes -= (double)(peers->bytes_in - before);
		if (budget_bytes > 0 && peers->changes->len > 0) {
			before = peers->bytes_in;
			send_changes_(peers, PL_GOSSIP_UPDATE, 0,
				      random_running_peer_(peers));
			budget_bytes -= (double)(peers->bytes_in - before);
		}
	}
}

static void join_fleet_(peers_t *peers)
{
	pl_gossip_record_t *records = g_new(pl_gossip_record_t, peers->size);
	pl_gossip_frame_t push = { .records = records, .last = true };
	pl_peer_frame_t frame = { .peer = peer_id_(1),
				  .type = PL_PEER_TABLE_PUSH };
	pl_addr_t seed = pl_member_id_to_addr(peer_id_(1));
	pl_gossip_message_t hello = { .type = PL_GOSSIP_UPDATE,
				      .records = records,
				      .record_count = 1 };
	uint8_t *body;

	for (size_t i = 1; i < peers->size; i++)
		make_record_(peers, i, &records[push.record_count++]);
	pl_member_add_seed(peers->table, &seed);
	pl_member_join(peers->table);
	deliver_message_(peers, 1, &hello);
	run_seconds_(peers, 1, 0);
	body = pl_gossip_encode_frame(&push, &frame.body_len);
	frame.body = body;
	printf("member_table_frame_bytes_%zu %zu bytes - -\n", peers->size,
	       frame.body_len);
	start_cpu_clock_(peers);
	pl_member_frame(peers->table, &frame);
	stop_cpu_clock_(peers);
	g_free(body);
	g_free(records);
}

static void print_costs_(peers_t *peers, const char *name, unsigned int seconds)
{
	printf("member_%s_bytes_%zu %.0f bytes/s - 6000\n", name, peers->size,
	       (double)(peers->bytes_in + peers->bytes_out +
			peers->frame_bytes) /
		       seconds);
	printf("member_%s_cpu_%zu %.4f percent - 1.1\n", name, peers->size,
	       (double)peers->cpu_ns / 1e7 / seconds);
	peers->bytes_in = 0;
	peers->bytes_out = 0;
	peers->frame_bytes = 0;
	peers->cpu_ns = 0;
}

static void measure_size_(size_t size)
{
	static const pl_member_ops_t ops = { .send_datagram = on_send_datagram_,
					     .send_frame = on_send_frame_,
					     .changed = on_changed_,
					     .random = random_ };
	peers_t peers = { .size = size, .now = 1000 };
	pl_member_params_t params = { .self = peer_id_(0),
				      .name = "real",
				      .datacentre = "dc-0",
				      .boot = 1,
				      .incarnation = 1700000000 };
	size_t before;

	pl_key_derive("the secret of the bench", "test", PL_KEY_GOSSIP,
		      &peers.key);
	params.key = peers.key;
	peers.rand = g_rand_new_with_seed((guint32)size);
	peers.decoder = pl_gossip_decoder_new(&peers.key);
	peers.incarnations = g_new(uint32_t, size);
	peers.has_left = g_new0(bool, size);
	peers.changes = g_array_new(FALSE, FALSE, sizeof(change_t));
	peers.outgoing = g_queue_new();
	for (size_t i = 0; i < size; i++)
		peers.incarnations[i] = 1700000000;
	before = mallinfo2().uordblks;
	peers.timers = pl_timer_service_new(peers.now);
	peers.table = pl_member_table_new(&params, &ops, &peers, peers.timers);
	join_fleet_(&peers);
	printf("member_table_memory_%zu %zu bytes - -\n", size,
	       mallinfo2().uordblks - before);
	run_seconds_(&peers, 30, 0);
	print_costs_(&peers, "join", 31);
	run_seconds_(&peers, DAY_RUN_S,
		     CHANGES_PER_DAY / DAY_S * (double)size / CHURN_MEMBERS);
	print_costs_(&peers, "day", DAY_RUN_S);
	run_seconds_(&peers, WORST_RUN_S,
		     2.0 * WORST_REPLACED_MEMBERS / WORST_RUN_S);
	print_costs_(&peers, "worst_minute", WORST_RUN_S);
	pl_member_table_delete(peers.table);
	pl_timer_service_delete(peers.timers);
	pl_gossip_decoder_delete(peers.decoder);
	g_array_free(peers.changes, TRUE);
	g_queue_free(peers.outgoing);
	g_rand_free(peers.rand);
	g_free(peers.incarnations);
	g_free(peers.has_left);
}

int main(int argc, char **argv)
{
	static const size_t sizes[] = { 100, 500, 1500, 6050 };

	for (int i = 1; i < argc; i++)
		measure_size_(strtoul(argv[i], NULL, 10));
	for (size_t i = 0; argc == 1 && i < G_N_ELEMENTS(sizes); i++)
		measure_size_(sizes[i]);
	return 0;
}
