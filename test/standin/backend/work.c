/**
 * @file
 * Requests in progress at a backend server. Each request holds a slot for the
 * service time; then a separate response (RFC 7252 section 5.2.2) is sent. An
 * operation is recorded as run when its request takes the slot.
 */
#include "backend.h"

#include <inttypes.h>
#include <pimentolift/hash.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define BLOB_PREFIX "blob/"
#define UPLOAD_PREFIX "uploads"
#define COLD_START_FACTOR 4
/*
 * Shorter than EXCHANGE_LIFETIME (RFC 7252 section 4.8.2), within which a busy
 * agent would reuse its 16-bit message IDs.
 */
#define DUPLICATE_WINDOW_MS 60000
#define SEEN_MESSAGES_MAX 65536
#define REFUSED_MAX_AGE_S 1
#define DEADLINE_QUERY "deadline_ms="

/* A request that holds a slot. */
typedef struct {
	uint64_t due_ms;
	coap_session_t *session;
	coap_pdu_t *request;
	uint8_t code;
	char *head; /* first line of the response body */
	size_t size; /* bytes of the response body */
} job_t;

/* A received message, for the detection of duplicates. */
typedef struct {
	uint64_t key; /* hash of the sender's address and the message ID */
	uint64_t seen_ms;
} seen_message_t;

struct work {
	coap_context_t *coap;
	const backend_options_t *options;
	uint32_t service_ms;
	uint64_t started_ms;
	bool shed;
	GQueue jobs;
	GHashTable *seen;
	GQueue seen_order; /* oldest first */
	GString *runs; /* IDs of the operations that ran */
	size_t run_count;
	size_t refused;
	uint64_t last_ms;
	FILE *record;
};

work_t *work_new(coap_context_t *coap, const backend_options_t *options)
{
	work_t *work = g_new0(work_t, 1);

	work->coap = coap;
	work->options = options;
	work->service_ms = options->service_ms;
	work->started_ms = pl_now_ms();
	work->seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	work->runs = g_string_new(NULL);
	g_queue_init(&work->jobs);
	g_queue_init(&work->seen_order);
	if (options->record)
		work->record = fopen(options->record, "a");
	return work;
}

static void job_delete_(job_t *job)
{
	coap_session_release(job->session);
	coap_delete_pdu(job->request);
	g_free(job->head);
	g_free(job);
}

void work_delete(work_t *work)
{
	job_t *job;

	while ((job = g_queue_pop_head(&work->jobs)))
		job_delete_(job);
	g_hash_table_destroy(work->seen);
	g_queue_clear_full(&work->seen_order, g_free);
	g_string_free(work->runs, TRUE);
	if (work->record)
		fclose(work->record);
	g_free(work);
}

/* Whether the message is a duplicate (RFC 7252 section 4.5); records it. */
static bool is_duplicate_(work_t *work, const coap_session_t *session,
			  const coap_pdu_t *request)
{
	const coap_address_t *from = coap_session_get_addr_remote(session);
	uint64_t now_ms = pl_now_ms();
	seen_message_t *message;

	while ((message = g_queue_peek_head(&work->seen_order)) &&
	       (message->seen_ms + DUPLICATE_WINDOW_MS < now_ms ||
		work->seen_order.length > SEEN_MESSAGES_MAX)) {
		g_hash_table_remove(work->seen, &message->key);
		g_free(g_queue_pop_head(&work->seen_order));
	}
	message = g_new(seen_message_t, 1);
	message->seen_ms = now_ms;
	message->key = pl_hash(&from->addr, from->size,
			       (uint64_t)coap_pdu_get_mid(request));
	if (g_hash_table_contains(work->seen, &message->key)) {
		g_free(message);
		return true;
	}
	g_hash_table_add(work->seen, &message->key);
	g_queue_push_tail(&work->seen_order, message);
	return false;
}

/*
 * Records that an operation ran. The file is flushed at once, so that SIGKILL
 * loses no record.
 */
static void record_run_(work_t *work, const char *id)
{
	g_string_append_printf(work->runs, "%s%s", work->run_count ? "," : "",
			       id);
	work->run_count++;
	if (!work->record)
		return;
	fprintf(work->record, "%s %s %s %" PRIu64 "\n", id,
		work->options->service, work->options->name, pl_now_ms());
	fflush(work->record);
}

/* Records the operation of a POST and prepares the response. */
static void prepare_post_(work_t *work, job_t *job, const char *path)
{
	size_t len = 0;
	size_t offset = 0;
	size_t total = 0;
	const uint8_t *data = NULL;
	char *id;

	(void)coap_get_data_large(job->request, &len, &data, &offset, &total);
	id = data ? pl_content_field((const char *)data, len, "id") : NULL;
	record_run_(work, id ? id : "none");
	job->code = COAP_RESPONSE_CODE(201);
	if (g_str_has_prefix(path, UPLOAD_PREFIX))
		job->head = g_strdup_printf(
			"service=%s id=%s size=%zu hash=%016" PRIx64 "\n",
			work->options->service, id ? id : "none", len,
			pl_hash(data, len, 0));
	else
		job->head = g_strdup_printf("service=%s id=%s\n",
					    work->options->service,
					    id ? id : "none");
	job->size = strlen(job->head);
	g_free(id);
}

static void prepare_get_(work_t *work, job_t *job, const char *path)
{
	job->code = COAP_RESPONSE_CODE(205);
	job->head = pl_content_text(work->options->service, path);
	job->size = strlen(job->head);
}

static uint32_t current_service_ms_(const work_t *work)
{
	uint64_t age_ms = pl_now_ms() - work->started_ms;

	return age_ms < work->options->cold_start_ms ?
		       work->service_ms * COLD_START_FACTOR :
		       work->service_ms;
}

static bool misses_deadline_(const work_t *work, const coap_string_t *query)
{
	const char *value =
		query ? g_strstr_len((const char *)query->s,
				     (gssize)query->length, DEADLINE_QUERY) :
			NULL;

	return value && strtoul(value + strlen(DEADLINE_QUERY), NULL, 10) <
				current_service_ms_(work);
}

static void refuse_(work_t *work, coap_pdu_t *response)
{
	uint8_t buf[4];

	work->refused++;
	coap_pdu_set_code(response, COAP_RESPONSE_CODE(503));
	coap_add_option(
		response, COAP_OPTION_MAXAGE,
		coap_encode_var_safe(buf, sizeof(buf), REFUSED_MAX_AGE_S), buf);
}

/* Copies a request; the copy owns the body of a reassembled upload. */
static coap_pdu_t *copy_request_(coap_session_t *session,
				 const coap_pdu_t *request)
{
	coap_bin_const_t token = coap_pdu_get_token(request);

	return coap_pdu_duplicate(request, session, token.length, token.s,
				  NULL);
}

static void release_body_(coap_session_t *session, void *body)
{
	g_free(body);
}

/*
 * Responds to a GET of a blob at once, without a slot: a libcoap client accepts
 * a block-wise response only piggybacked on the acknowledgement of its request.
 */
static void respond_blob_(work_t *work, coap_resource_t *resource,
			  coap_session_t *session, const coap_pdu_t *request,
			  coap_pdu_t *response, const char *path)
{
	char *head = pl_content_text(work->options->service, path);
	size_t size = strtoul(path + strlen(BLOB_PREFIX), NULL, 10);
	uint8_t *body = pl_content_body(head, size);
	coap_string_t *query = coap_get_query(request);

	coap_pdu_set_code(response, COAP_RESPONSE_CODE(205));
	coap_add_data_large_response(resource, session, request, response,
				     query, COAP_MEDIATYPE_TEXT_PLAIN, -1,
				     pl_hash(body, size, 0), size, body,
				     release_body_, body);
	coap_delete_string(query);
	g_free(head);
}

void work_accept(work_t *work, coap_resource_t *resource,
		 coap_session_t *session, const coap_pdu_t *request,
		 coap_pdu_t *response, const char *path)
{
	coap_string_t *query;
	job_t *job;

	if (g_str_has_prefix(path, BLOB_PREFIX) && !work->shed) {
		respond_blob_(work, resource, session, request, response, path);
		return;
	}
	query = coap_get_query(request);
	if (is_duplicate_(work, session, request)) {
		coap_delete_string(query);
		return;
	}
	if (work->shed || work->jobs.length >= work->options->slots ||
	    misses_deadline_(work, query)) {
		refuse_(work, response);
		coap_delete_string(query);
		return;
	}
	coap_delete_string(query);
	job = g_new0(job_t, 1);
	job->due_ms = pl_now_ms() + current_service_ms_(work);
	/*
	 * Uploads are not counted: the agent accepted them earlier than it
	 * passed them on. The record file has them.
	 */
	if (!g_str_has_prefix(path, UPLOAD_PREFIX))
		work->last_ms = pl_now_ms();
	job->session = coap_session_reference(session);
	job->request = (coap_pdu_t *)request;
	if (coap_pdu_get_code(request) == COAP_REQUEST_CODE_POST)
		prepare_post_(work, job, path);
	else
		prepare_get_(work, job, path);
	job->request = copy_request_(session, request);
	g_queue_push_tail(&work->jobs, job);
}

static void send_response_(job_t *job)
{
	bool con = coap_pdu_get_type(job->request) == COAP_MESSAGE_CON;
	coap_bin_const_t token = coap_pdu_get_token(job->request);
	uint8_t *body = pl_content_body(job->head, job->size);
	coap_pdu_t *pdu =
		coap_new_pdu(con ? COAP_MESSAGE_CON : COAP_MESSAGE_NON,
			     (coap_pdu_code_t)job->code, job->session);

	coap_add_token(pdu, token.length, token.s);
	coap_add_data(pdu, job->size, body);
	coap_send(job->session, pdu);
	g_free(body);
}

int work_send_due(work_t *work)
{
	uint64_t now_ms = pl_now_ms();
	uint64_t next_ms = UINT64_MAX;
	GList *next;

	for (GList *node = work->jobs.head; node; node = next) {
		job_t *job = node->data;

		next = node->next;
		if (job->due_ms > now_ms) {
			next_ms = MIN(next_ms, job->due_ms);
			continue;
		}
		send_response_(job);
		g_queue_delete_link(&work->jobs, node);
		job_delete_(job);
	}
	return next_ms == UINT64_MAX ? -1 : (int)(next_ms - now_ms);
}

void work_set_shed(work_t *work, bool shed)
{
	work->shed = shed;
}

void work_set_service_ms(work_t *work, uint32_t service_ms)
{
	work->service_ms = service_ms;
}

void work_print_runs(const work_t *work)
{
	pl_line_print("ok runs=%zu refused=%zu busy=%u ids=%s", work->run_count,
		      work->refused, work->jobs.length, work->runs->str);
}

size_t work_busy(const work_t *work)
{
	return work->jobs.length;
}

uint64_t work_last_ms(const work_t *work)
{
	return work->last_ms;
}
