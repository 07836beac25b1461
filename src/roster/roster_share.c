/**
 * @file
 * Shared reads of the roster.
 */
#include <pimentolift/roster_share.h>

#include <assert.h>
#include <glib.h>
#include <pimentolift/hash.h>
#include <pimentolift/roster_codec.h>

/** Shortest interval between two reads of a roster of up to AGENTS_PER_CALL
 * agents. Callers of dead flows wait for the next read, but each read costs
 * requests to the store. */
#define READ_INTERVAL_MS 100
/** Agents that one request to the store returns. */
#define AGENTS_PER_CALL 500
/** Shortest time from a failed read to the next read. */
#define FAILED_READ_BACKOFF_MS 400
/** Timeout of a reader's response: covers the reader's read interval and the
 * read itself. */
#define RESPONSE_TIMEOUT_MS 250
/** Time for which a reader is not selected after it did not respond or could
 * not read the store. */
#define SKIP_READER_MS 1000
/** Maximum number of requesters per read. Further requests are dropped; an
 * entry whose request was dropped selects another reader after
 * RESPONSE_TIMEOUT_MS. */
#define REQUESTERS_MAX 4096

/** A member that requested the roster. */
typedef struct {
	pl_member_id_t member;
	uint32_t sequence; /**< sequence number of its request */
} requester_t;

/** An entry of the own data centre. */
typedef struct {
	pl_member_id_t id;
	pl_ms_t skipped_until; /**< not selected as a reader until then */
} local_entry_t;

struct pl_roster_share {
	pl_member_id_t self;
	const pl_roster_share_ops_t *ops;
	void *ctx;
	pl_timer_service_t *timers;
	GArray *local_entries;
	/* as reader */
	GArray *next_requesters; /**< requester_t that wait for the next read */
	/** requester_t served by the read in progress */
	GArray *current_requesters;
	bool reading;
	bool failed; /**< the last read failed */
	pl_ms_t next_read; /**< earliest time of the next read */
	pl_timer_t read_timer;
	/* as requester */
	pl_member_id_t awaited_reader; /**< 0 if no response is awaited */
	uint32_t sequence; /**< of the last request to a reader */
	pl_timer_t response_timer;
};

static void on_read_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now);
static void on_response_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now);

static pl_ms_t now_(const pl_roster_share_t *share)
{
	return pl_timer_service_now(share->timers);
}

pl_roster_share_t *pl_roster_share_new(pl_member_id_t self,
				       const pl_roster_share_ops_t *ops,
				       void *ctx, pl_timer_service_t *timers)
{
	pl_roster_share_t *share = g_new0(pl_roster_share_t, 1);

	assert(self != 0 && ops->send && ops->read && ops->result);
	share->self = self;
	share->ops = ops;
	share->ctx = ctx;
	share->timers = timers;
	share->local_entries = g_array_new(FALSE, TRUE, sizeof(local_entry_t));
	share->next_requesters = g_array_new(FALSE, FALSE, sizeof(requester_t));
	share->current_requesters =
		g_array_new(FALSE, FALSE, sizeof(requester_t));
	pl_timer_init(&share->read_timer, on_read_timer_, share);
	pl_timer_init(&share->response_timer, on_response_timer_, share);
	return share;
}

void pl_roster_share_delete(pl_roster_share_t *share)
{
	if (!share)
		return;
	pl_timer_cancel(share->timers, &share->read_timer);
	pl_timer_cancel(share->timers, &share->response_timer);
	g_array_free(share->next_requesters, TRUE);
	g_array_free(share->current_requesters, TRUE);
	g_array_free(share->local_entries, TRUE);
	g_free(share);
}

static local_entry_t *find_local_entry_(const pl_roster_share_t *share,
					pl_member_id_t id)
{
	for (guint i = 0; i < share->local_entries->len; i++) {
		local_entry_t *entry =
			&g_array_index(share->local_entries, local_entry_t, i);

		if (entry->id == id)
			return entry;
	}
	return NULL;
}

void pl_roster_share_peer_up(pl_roster_share_t *share, pl_member_id_t id)
{
	local_entry_t entry = { .id = id };

	if (id != share->self && !find_local_entry_(share, id))
		g_array_append_val(share->local_entries, entry);
}

void pl_roster_share_peer_down(pl_roster_share_t *share, pl_member_id_t id)
{
	for (guint i = 0; i < share->local_entries->len; i++) {
		if (g_array_index(share->local_entries, local_entry_t, i).id !=
		    id)
			continue;
		g_array_remove_index_fast(share->local_entries, i);
		return;
	}
}

static uint64_t score_(pl_member_id_t id)
{
	return pl_hash(&id, sizeof(id), 0);
}

/* Selects the entry of this data centre that reads the roster, by rendezvous
 * hashing. */
static pl_member_id_t select_reader_(const pl_roster_share_t *share)
{
	pl_member_id_t best = share->self;

	for (guint i = 0; i < share->local_entries->len; i++) {
		const local_entry_t *entry =
			&g_array_index(share->local_entries, local_entry_t, i);

		if (now_(share) >= entry->skipped_until &&
		    score_(entry->id) > score_(best))
			best = entry->id;
	}
	return best;
}

static void start_read_(pl_roster_share_t *share)
{
	/* empty when no read is in progress; reused for the next read */
	GArray *empty = share->current_requesters;

	share->current_requesters = share->next_requesters;
	share->next_requesters = empty;
	share->reading = true;
	share->next_read = now_(share) + READ_INTERVAL_MS;
	share->ops->read(share->ctx);
}

static void schedule_read_(pl_roster_share_t *share)
{
	if (share->reading || share->next_requesters->len == 0 ||
	    pl_timer_armed(&share->read_timer))
		return;
	if (now_(share) >= share->next_read)
		start_read_(share);
	else
		pl_timer_arm(share->timers, &share->read_timer,
			     share->next_read);
}

static void on_read_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	(void)timer;
	(void)now;
	schedule_read_(ctx);
}

static void send_frame_(pl_roster_share_t *share, pl_member_id_t to,
			pl_peer_type_t type, const GByteArray *body)
{
	const pl_peer_frame_t frame = { .peer = to,
					.type = type,
					.body = body->data,
					.body_len = body->len };

	share->ops->send(share->ctx, &frame);
}

/* Sends the result of a read to one requester. */
static void send_response_(pl_roster_share_t *share,
			   const requester_t *requester, bool known,
			   const pl_member_id_t *agents, size_t count)
{
	GByteArray *body;

	if (requester->member == share->self) {
		share->ops->result(share->ctx, known, agents, count);
		return;
	}
	body = g_byte_array_new();
	pl_roster_encode_response(requester->sequence, known, agents, count,
				  body);
	send_frame_(share, requester->member, PL_PEER_ROSTER, body);
	g_byte_array_free(body, TRUE);
}

/* Adds a requester to the next read. During the backoff after a failed read
 * the request is answered as unknown at once. */
static void add_requester_(pl_roster_share_t *share, pl_member_id_t member,
			   uint32_t sequence)
{
	const requester_t requester = { member, sequence };

	if (share->failed && now_(share) < share->next_read) {
		send_response_(share, &requester, false, NULL, 0);
		return;
	}

	if (share->next_requesters->len < REQUESTERS_MAX)
		g_array_append_val(share->next_requesters, requester);
	schedule_read_(share);
}

void pl_roster_share_request(pl_roster_share_t *share)
{
	pl_member_id_t reader = select_reader_(share);
	GByteArray *body;

	share->sequence++;
	share->awaited_reader = 0;
	pl_timer_cancel(share->timers, &share->response_timer);
	if (reader == share->self) {
		add_requester_(share, share->self, 0);
		return;
	}
	share->awaited_reader = reader;
	pl_timer_arm(share->timers, &share->response_timer,
		     now_(share) + RESPONSE_TIMEOUT_MS);
	body = g_byte_array_new();
	pl_roster_encode_request(share->sequence, body);
	send_frame_(share, reader, PL_PEER_ROSTER_REQUEST, body);
	g_byte_array_free(body, TRUE);
}

static void skip_reader_(pl_roster_share_t *share)
{
	local_entry_t *entry = find_local_entry_(share, share->awaited_reader);

	if (entry)
		entry->skipped_until = now_(share) + SKIP_READER_MS;
}

static void on_response_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	(void)timer;
	(void)now;
	skip_reader_(ctx);
	pl_roster_share_request(ctx);
}

/* Answers all requesters of a list. The callback for a local request may make
 * new requests; they are appended to another list. */
static void send_responses_(pl_roster_share_t *share, GArray *requesters,
			    bool known, const pl_member_id_t *agents,
			    size_t count)
{
	for (guint i = 0; i < requesters->len; i++)
		send_response_(share,
			       &g_array_index(requesters, requester_t, i),
			       known, agents, count);
	g_array_set_size(requesters, 0);
}

void pl_roster_share_read_done(pl_roster_share_t *share, bool known,
			       const pl_member_id_t *agents, size_t count)
{
	if (!share->reading)
		return;
	share->failed = !known;
	if (known)
		share->next_read +=
			count / AGENTS_PER_CALL * (pl_ms_t)READ_INTERVAL_MS;
	else
		share->next_read = now_(share) + FAILED_READ_BACKOFF_MS;
	send_responses_(share, share->current_requesters, known, agents, count);
	/* the next read is FAILED_READ_BACKOFF_MS away and likely to fail too,
	 * so the waiting requesters are answered now */
	if (!known)
		send_responses_(share, share->next_requesters, false, NULL, 0);
	share->reading = false;
	schedule_read_(share);
}

static pl_result_t handle_request_(pl_roster_share_t *share,
				   const pl_peer_frame_t *frame)
{
	uint32_t sequence;
	pl_result_t result = pl_roster_decode_request(
		frame->body, frame->body_len, &sequence);

	if (result == PL_OK)
		add_requester_(share, frame->peer, sequence);
	return result;
}

/* Whether a response belongs to the open request. A delayed response to an
 * earlier request may hold a roster that was read before the current request
 * was made. */
static bool is_awaited_(const pl_roster_share_t *share, pl_member_id_t from,
			uint32_t sequence)
{
	return share->awaited_reader == from && share->sequence == sequence;
}

static pl_result_t handle_response_(pl_roster_share_t *share,
				    const pl_peer_frame_t *frame)
{
	GArray *agents = g_array_new(FALSE, FALSE, sizeof(pl_member_id_t));
	uint32_t sequence = 0;
	bool known = false;
	pl_result_t result = pl_roster_decode_response(
		frame->body, frame->body_len, &sequence, &known, agents);

	if (result == PL_OK && is_awaited_(share, frame->peer, sequence)) {
		if (!known)
			skip_reader_(share);
		share->awaited_reader = 0;
		pl_timer_cancel(share->timers, &share->response_timer);
		share->ops->result(share->ctx, known,
				   (pl_member_id_t *)agents->data, agents->len);
	}
	g_array_free(agents, TRUE);
	return result;
}

pl_result_t pl_roster_share_frame(pl_roster_share_t *share,
				  const pl_peer_frame_t *frame)
{
	return frame->type == PL_PEER_ROSTER_REQUEST ?
		       handle_request_(share, frame) :
		       handle_response_(share, frame);
}

void pl_roster_share_frame_failed(pl_roster_share_t *share,
				  const pl_peer_frame_t *frame)
{
	uint32_t sequence = 0;

	if (frame->type != PL_PEER_ROSTER_REQUEST ||
	    pl_roster_decode_request(frame->body, frame->body_len, &sequence) !=
		    PL_OK ||
	    !is_awaited_(share, frame->peer, sequence))
		return;
	skip_reader_(share);
	pl_roster_share_request(share);
}
