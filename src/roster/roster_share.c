/**
 * @file
 * Shared reads of the roster.
 */
#include <pimentolift/roster_share.h>

#include <assert.h>
#include <glib.h>
#include <pimentolift/hash.h>
#include <pimentolift/roster_codec.h>

/** Shortest interval between two reads of a service's roster. Callers of dead
 * flows wait for the next read, but each read costs a request to the store. */
#define READ_INTERVAL_MS 100
/** Shortest time from a failed read to the next read. */
#define FAILED_READ_BACKOFF_MS 400
/** Timeout of a reader's response: covers the reader's read interval and the
 * read itself. */
#define RESPONSE_TIMEOUT_MS 250
/** Time for which a reader is not selected after it did not respond or could
 * not read the store. */
#define SKIP_READER_MS 1000
/** Maximum number of services with shared reads. Beyond it a local request gets
 * the result "unknown" and a request of another entry is dropped; that entry
 * selects another reader after RESPONSE_TIMEOUT_MS. */
#define SERVICES_MAX 4096
/** Maximum number of requesters per read. Further requests are dropped; an
 * entry whose request was dropped selects another reader after
 * RESPONSE_TIMEOUT_MS. */
#define REQUESTERS_MAX 4096

/** A member that requested a roster. */
typedef struct {
	pl_member_id_t member;
	uint32_t sequence; /**< sequence number of its request */
} requester_t;

/** Shared reads of one service's roster. */
typedef struct {
	pl_roster_share_t *share;
	pl_service_id_t service;
	/** requester_t that wait for the next read */
	GArray *next_requesters;
	/** requester_t served by the read in progress */
	GArray *current_requesters;
	bool reading;
	bool failed; /**< the last read failed */
	pl_ms_t next_read; /**< earliest time of the next read */
	pl_timer_t read_timer;
	pl_member_id_t awaited_reader; /**< 0 if no response is awaited */
	uint32_t sequence; /**< of the last request to a reader */
	pl_timer_t response_timer;
} shared_read_t;

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
	GHashTable *shared_reads; /**< service to shared_read_t */
};

static pl_ms_t now_(const pl_roster_share_t *share)
{
	return pl_timer_service_now(share->timers);
}

static void free_shared_read_(gpointer data)
{
	shared_read_t *read = data;

	pl_timer_cancel(read->share->timers, &read->read_timer);
	pl_timer_cancel(read->share->timers, &read->response_timer);
	g_array_free(read->next_requesters, TRUE);
	g_array_free(read->current_requesters, TRUE);
	g_free(read);
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
	share->shared_reads = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, free_shared_read_);
	return share;
}

void pl_roster_share_delete(pl_roster_share_t *share)
{
	if (!share)
		return;
	g_hash_table_destroy(share->shared_reads);
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

static uint64_t score_(pl_member_id_t id, pl_service_id_t service)
{
	return pl_hash(&id, sizeof(id), service);
}

/* Selects the entry of this data centre that reads the roster of @p service, by
 * rendezvous hashing. */
static pl_member_id_t select_reader_(const pl_roster_share_t *share,
				     pl_service_id_t service)
{
	pl_member_id_t best = share->self;

	for (guint i = 0; i < share->local_entries->len; i++) {
		const local_entry_t *entry =
			&g_array_index(share->local_entries, local_entry_t, i);

		if (now_(share) >= entry->skipped_until &&
		    score_(entry->id, service) > score_(best, service))
			best = entry->id;
	}
	return best;
}

static void start_read_(shared_read_t *read)
{
	pl_roster_share_t *share = read->share;
	/* empty when no read is in progress; reused for the next read */
	GArray *empty = read->current_requesters;

	read->current_requesters = read->next_requesters;
	read->next_requesters = empty;
	read->reading = true;
	read->next_read = now_(share) + READ_INTERVAL_MS;
	share->ops->read(share->ctx, read->service);
}

static void schedule_read_(shared_read_t *read)
{
	pl_roster_share_t *share = read->share;

	if (read->reading || read->next_requesters->len == 0 ||
	    pl_timer_armed(&read->read_timer))
		return;
	if (now_(share) >= read->next_read)
		start_read_(read);
	else
		pl_timer_arm(share->timers, &read->read_timer, read->next_read);
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
static void send_response_(shared_read_t *read, const requester_t *requester,
			   bool known, const pl_member_id_t *agents,
			   size_t count)
{
	pl_roster_share_t *share = read->share;
	const pl_roster_request_t request = { read->service,
					      requester->sequence };
	GByteArray *body;

	if (requester->member == share->self) {
		share->ops->result(share->ctx, read->service, known, agents,
				   count);
		return;
	}
	body = g_byte_array_new();
	pl_roster_encode_response(&request, known, agents, count, body);
	send_frame_(share, requester->member, PL_PEER_ROSTER, body);
	g_byte_array_free(body, TRUE);
}

/* Adds a requester to the next read. During the backoff after a failed read
 * the request is answered as unknown at once. */
static void add_requester_(shared_read_t *read, pl_member_id_t member,
			   uint32_t sequence)
{
	const requester_t requester = { member, sequence };

	if (read->failed && now_(read->share) < read->next_read) {
		send_response_(read, &requester, false, NULL, 0);
		return;
	}

	if (read->next_requesters->len < REQUESTERS_MAX)
		g_array_append_val(read->next_requesters, requester);
	schedule_read_(read);
}

/* Requests the roster from the reader of the service, which may be this entry
 * itself. */
static void request_roster_(shared_read_t *read)
{
	pl_roster_share_t *share = read->share;
	pl_member_id_t reader = select_reader_(share, read->service);
	const pl_roster_request_t request = { read->service, ++read->sequence };
	GByteArray *body;

	read->awaited_reader = 0;
	pl_timer_cancel(share->timers, &read->response_timer);
	if (reader == share->self) {
		add_requester_(read, share->self, 0);
		return;
	}
	read->awaited_reader = reader;
	pl_timer_arm(share->timers, &read->response_timer,
		     now_(share) + RESPONSE_TIMEOUT_MS);
	body = g_byte_array_new();
	pl_roster_encode_request(&request, body);
	send_frame_(share, reader, PL_PEER_ROSTER_REQUEST, body);
	g_byte_array_free(body, TRUE);
}

static void skip_reader_(shared_read_t *read)
{
	local_entry_t *entry =
		find_local_entry_(read->share, read->awaited_reader);

	if (entry)
		entry->skipped_until = now_(read->share) + SKIP_READER_MS;
}

static void on_response_timer_(pl_timer_t *timer, void *ctx, pl_ms_t now)
{
	(void)timer;
	(void)now;
	skip_reader_(ctx);
	request_roster_(ctx);
}

/* Returns the shared read of @p service, a new one if there is none; NULL if
 * SERVICES_MAX is reached. */
static shared_read_t *get_shared_read_(pl_roster_share_t *share,
				       pl_service_id_t service)
{
	shared_read_t *read =
		g_hash_table_lookup(share->shared_reads, &service);

	if (read)
		return read;
	if (g_hash_table_size(share->shared_reads) >= SERVICES_MAX)
		return NULL;
	read = g_new0(shared_read_t, 1);
	read->share = share;
	read->service = service;
	read->next_requesters = g_array_new(FALSE, FALSE, sizeof(requester_t));
	read->current_requesters =
		g_array_new(FALSE, FALSE, sizeof(requester_t));
	pl_timer_init(&read->read_timer, on_read_timer_, read);
	pl_timer_init(&read->response_timer, on_response_timer_, read);
	g_hash_table_insert(share->shared_reads, &read->service, read);
	return read;
}

void pl_roster_share_request(pl_roster_share_t *share, pl_service_id_t service)
{
	shared_read_t *read = get_shared_read_(share, service);

	if (read)
		request_roster_(read);
	else
		share->ops->result(share->ctx, service, false, NULL, 0);
}

/* Answers all requesters of a list. The callback for a local request may make
 * new requests; they are appended to another list. */
static void send_responses_(shared_read_t *read, GArray *requesters, bool known,
			    const pl_member_id_t *agents, size_t count)
{
	for (guint i = 0; i < requesters->len; i++)
		send_response_(read, &g_array_index(requesters, requester_t, i),
			       known, agents, count);
	g_array_set_size(requesters, 0);
}

void pl_roster_share_read_done(pl_roster_share_t *share,
			       pl_service_id_t service, bool known,
			       const pl_member_id_t *agents, size_t count)
{
	shared_read_t *read =
		g_hash_table_lookup(share->shared_reads, &service);

	if (!read || !read->reading)
		return;
	read->failed = !known;
	if (!known)
		read->next_read = now_(share) + FAILED_READ_BACKOFF_MS;
	send_responses_(read, read->current_requesters, known, agents, count);
	/* the next read is FAILED_READ_BACKOFF_MS away and likely to fail too,
	 * so the waiting requesters are answered now */
	if (!known)
		send_responses_(read, read->next_requesters, false, NULL, 0);
	read->reading = false;
	schedule_read_(read);
}

static pl_result_t handle_request_(pl_roster_share_t *share,
				   const pl_peer_frame_t *frame)
{
	shared_read_t *read;
	pl_roster_request_t request;
	pl_result_t result = pl_roster_decode_request(
		frame->body, frame->body_len, &request);

	if (result != PL_OK)
		return result;
	read = get_shared_read_(share, request.service);
	if (read)
		add_requester_(read, frame->peer, request.sequence);
	return PL_OK;
}

/* Whether a response belongs to the open request. A delayed response to an
 * earlier request may hold a roster that was read before the current request
 * was made. */
static bool is_awaited_(const shared_read_t *read, pl_member_id_t from,
			const pl_roster_request_t *request)
{
	return read && read->awaited_reader == from &&
	       read->sequence == request->sequence;
}

static pl_result_t handle_response_(pl_roster_share_t *share,
				    const pl_peer_frame_t *frame)
{
	GArray *agents = g_array_new(FALSE, FALSE, sizeof(pl_member_id_t));
	pl_roster_request_t request = { 0 };
	shared_read_t *read;
	bool known = false;
	pl_result_t result = pl_roster_decode_response(
		frame->body, frame->body_len, &request, &known, agents);

	read = g_hash_table_lookup(share->shared_reads, &request.service);
	if (result == PL_OK && is_awaited_(read, frame->peer, &request)) {
		if (!known)
			skip_reader_(read);
		read->awaited_reader = 0;
		pl_timer_cancel(share->timers, &read->response_timer);
		share->ops->result(share->ctx, request.service, known,
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
	pl_roster_request_t request = { 0 };
	shared_read_t *read;

	if (frame->type != PL_PEER_ROSTER_REQUEST ||
	    pl_roster_decode_request(frame->body, frame->body_len, &request) !=
		    PL_OK)
		return;
	read = g_hash_table_lookup(share->shared_reads, &request.service);
	if (!is_awaited_(read, frame->peer, &request))
		return;
	skip_reader_(read);
	request_roster_(read);
}
