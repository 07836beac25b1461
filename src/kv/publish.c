/**
 * @file
 * Writes the document and determines the outcome of writes whose response was
 * lost.
 */
#include <pimentolift/publish.h>

#include <assert.h>
#include <glib.h>
#include <string.h>

/** Delay between two attempts to write. */
#define RETRY_DELAY_MS 200
/**
 * Added to the revision of the first document after a restore of the store:
 * more than the revisions that were lost with the last seconds. Members ignore
 * a document whose revision is not above the one in force.
 */
#define RESTORED_REVISION_GAP 1000
/** Longest wait in one call of pl_kv_wait(). */
#define WAIT_MS 100

/* A pending call and its result. */
typedef struct {
	bool done;
	pl_result_t result;
	uint64_t generation; /* of the store that answered */
	char *message;
	/* destination of a read, NULL for a write */
	pl_stored_document_t *stored;
} pending_call_t;

/* A write whose outcome is being determined. */
typedef struct {
	pl_kv_t *platform;
	const pl_publish_params_t *publish;
	char *key;
	char *value;
	uint64_t expected_index;
	uint64_t generation; /* of the store that has the expected index */
	uint64_t written_generation;
	pl_envelope_t next;
	gint64 deadline_us;
	bool maybe_written; /* an attempt had an unknown outcome */
	pl_stored_document_t *stored;
	pl_error_t *err;
} write_t;

static char *document_key_(const char *environment)
{
	return g_strdup_printf("pimentolift/%s/document", environment);
}

static void on_done_(void *ctx, const pl_kv_reply_t *reply)
{
	pending_call_t *call = ctx;
	pl_error_t err = PL_ERROR_INIT;

	call->done = true;
	call->result = reply->result;
	call->generation = reply->position.generation;
	call->message = g_strdup(reply->message);
	if (call->stored)
		call->stored->generation = call->generation;
	if (reply->result != PL_OK || !call->stored)
		return;
	call->stored->modify_index = reply->modify_index;
	call->result = pl_envelope_decode(reply->value, reply->value_len,
					  &call->stored->envelope, &err);
	if (call->result == PL_OK)
		return;
	g_free(call->message);
	call->message = g_strdup(err.text);
}

/* Waits until the call ends; returns its result, with the message in @p err. */
static pl_result_t wait_for_call_(pl_kv_t *platform, pending_call_t *call,
				  pl_error_t *err)
{
	while (!call->done)
		pl_kv_wait(platform, WAIT_MS);
	if (call->result != PL_OK)
		pl_error_set(err, call->result, "the platform: %s",
			     call->message);
	g_free(call->message);
	return call->result;
}

void pl_stored_document_finish(pl_stored_document_t *stored)
{
	pl_envelope_finish(&stored->envelope);
	memset(stored, 0, sizeof(*stored));
}

pl_result_t pl_publish_read(pl_kv_t *platform, const char *environment,
			    pl_stored_document_t *stored, pl_error_t *err)
{
	char *key = document_key_(environment);
	pending_call_t call = { .stored = stored };
	pl_result_t result;
	uint64_t generation;

	memset(stored, 0, sizeof(*stored));
	pl_kv_get(platform, key, on_done_, &call);
	result = wait_for_call_(platform, &call, err);
	generation = stored->generation;
	g_free(key);
	if (result == PL_ERR_NOT_FOUND)
		pl_error_set(err, result, "the environment %s has no document",
			     environment);
	if (result != PL_OK)
		pl_stored_document_finish(stored);
	stored->generation = generation;
	return result;
}

static pl_result_t put_value_(write_t *write)
{
	pending_call_t call = { 0 };

	pl_kv_put(write->platform,
		  &(pl_kv_write_t){ .key = write->key,
				    .value = write->value,
				    .value_len = strlen(write->value),
				    .expected_index = write->expected_index },
		  on_done_, &call);
	wait_for_call_(write->platform, &call, write->err);
	write->written_generation = call.generation;
	return call.result;
}

static bool before_deadline_(const write_t *write)
{
	return g_get_monotonic_time() < write->deadline_us;
}

static void wait_before_retry_(const write_t *write)
{
	gint64 until = g_get_monotonic_time() + RETRY_DELAY_MS * 1000;

	while (g_get_monotonic_time() < until)
		pl_kv_wait(write->platform, WAIT_MS);
}

static pl_result_t conflict_error_(const write_t *write)
{
	return pl_error_set(write->err, PL_ERR_CONFLICT,
			    "the document of %s was changed by another writer; "
			    "nothing was written",
			    write->publish->environment);
}

static pl_result_t restored_error_(const write_t *write)
{
	return pl_error_set(write->err, PL_ERR_UNKNOWN_OUTCOME,
			    "the platform was restored from an older copy "
			    "while operation %s was written as revision "
			    "%" G_GUINT64_FORMAT "; it may have replaced "
			    "another document",
			    write->next.operation, write->next.revision);
}

static pl_result_t unresolved_error_(const write_t *write)
{
	if (!write->maybe_written)
		return pl_error_set(write->err, PL_ERR_UNAVAILABLE,
				    "the platform did not answer; nothing "
				    "was written");
	return pl_error_set(write->err, PL_ERR_UNKNOWN_OUTCOME,
			    "the platform did not answer in time; operation "
			    "%s may have taken effect as revision "
			    "%" G_GUINT64_FORMAT,
			    write->next.operation, write->next.revision);
}

/* State of the stored value after a write without a clear result. */
typedef enum {
	READBACK_WRITTEN, /* the write took effect */
	READBACK_CONFLICT, /* another writer replaced the value */
	READBACK_UNCHANGED, /* the write has not taken effect */
	READBACK_FAILED, /* the value could not be read */
} readback_t;

static readback_t read_back_(write_t *write)
{
	pl_result_t result =
		pl_publish_read(write->platform, write->publish->environment,
				write->stored, write->err);

	if (result == PL_ERR_NOT_FOUND)
		return write->expected_index == 0 ? READBACK_UNCHANGED :
						    READBACK_CONFLICT;
	if (result == PL_ERR_MALFORMED)
		return READBACK_CONFLICT;
	if (result != PL_OK)
		return READBACK_FAILED;
	if (pl_envelope_includes(&write->stored->envelope,
				 write->next.operation))
		return READBACK_WRITTEN;
	/* after a restore another document may have the expected index */
	return write->stored->modify_index == write->expected_index &&
			       write->stored->generation == write->generation ?
		       READBACK_UNCHANGED :
		       READBACK_CONFLICT;
}

/* Makes one attempt; returns whether the outcome, in @p result, is known. */
static bool attempt_write_(write_t *write, pl_result_t *result)
{
	readback_t readback;

	*result = put_value_(write);
	if (*result == PL_OK &&
	    write->written_generation != write->generation) {
		*result = restored_error_(write);
		return true;
	}
	if (*result == PL_OK || *result == PL_ERR_LIMIT)
		return true;
	if (*result == PL_ERR_UNAVAILABLE && !write->maybe_written)
		return true;
	if (*result == PL_ERR_UNKNOWN_OUTCOME)
		write->maybe_written = true;
	readback = read_back_(write);
	if (readback == READBACK_WRITTEN) {
		*result = PL_OK;
		return true;
	}
	/* without an earlier attempt of unknown outcome the conflict that the
	 * store reported is final */
	if (readback == READBACK_CONFLICT || !write->maybe_written) {
		*result = conflict_error_(write);
		return true;
	}
	return false;
}

static pl_result_t write_until_resolved_(write_t *write)
{
	pl_result_t result;

	do {
		if (attempt_write_(write, &result))
			return result;
		pl_stored_document_finish(write->stored);
		wait_before_retry_(write);
	} while (before_deadline_(write));
	return unresolved_error_(write);
}

/* Whether the store was restored since the document in it was written, so that
 * later documents may be lost. */
static bool is_restored_(const pl_stored_document_t *stored)
{
	return stored->envelope.generation != 0 &&
	       stored->envelope.generation < stored->generation;
}

static bool is_stored_already_(const pl_stored_document_t *stored,
			       const pl_publish_params_t *publish)
{
	char hash[PL_SHA256_TEXT_MAX];

	if (stored->modify_index == 0 || is_restored_(stored) ||
	    stored->envelope.revision <= publish->above)
		return false;
	pl_envelope_hash(publish->text, publish->text_len, hash);
	return strcmp(hash, stored->envelope.hash) == 0;
}

static void write_init_(write_t *write, const pl_publish_params_t *publish,
			const pl_stored_document_t *base)
{
	uint32_t timeout_ms = publish->timeout_ms ? publish->timeout_ms :
						    PL_PUBLISH_TIMEOUT_MS;

	pl_envelope_init(&write->next,
			 base->modify_index > 0 ? &base->envelope : NULL,
			 publish->author, publish->text, publish->text_len);
	write->next.generation = base->generation;
	if (is_restored_(base))
		write->next.revision += RESTORED_REVISION_GAP;
	if (write->next.revision <= publish->above)
		write->next.revision = publish->above + 1;
	write->key = document_key_(publish->environment);
	write->value = pl_envelope_encode(&write->next);
	write->expected_index = base->modify_index;
	write->generation = base->generation;
	write->deadline_us = g_get_monotonic_time() + (gint64)timeout_ms * 1000;
}

static void write_finish_(write_t *write)
{
	pl_envelope_finish(&write->next);
	g_free(write->key);
	g_free(write->value);
}

static pl_result_t write_document_(pl_kv_t *platform,
				   const pl_publish_params_t *publish,
				   const pl_stored_document_t *base,
				   pl_stored_document_t *stored,
				   pl_error_t *err)
{
	write_t write = {
		.platform = platform,
		.publish = publish,
		.stored = stored,
		.err = err,
	};
	pl_result_t result;

	write_init_(&write, publish, base);
	if (strlen(write.value) > PL_KV_VALUE_MAX)
		result =
			pl_error_set(err, PL_ERR_LIMIT,
				     "the encoded document has %zu bytes, more "
				     "than the limit of %d",
				     strlen(write.value), PL_KV_VALUE_MAX);
	else
		result = write_until_resolved_(&write);
	if (result == PL_OK) {
		/* return the written envelope: the value read back may be a
		 * later one */
		pl_stored_document_finish(stored);
		stored->envelope = write.next;
		memset(&write.next, 0, sizeof(write.next));
	}
	write_finish_(&write);
	return result;
}

pl_result_t pl_publish_apply(pl_kv_t *platform,
			     const pl_publish_params_t *publish,
			     pl_stored_document_t *stored, pl_error_t *err)
{
	pl_stored_document_t base;
	pl_result_t result =
		pl_publish_read(platform, publish->environment, &base, err);

	assert(publish->text && publish->author);
	memset(stored, 0, sizeof(*stored));
	if (result != PL_OK && result != PL_ERR_NOT_FOUND)
		return result;
	if (publish->expect != PL_PUBLISH_ANY_REVISION &&
	    publish->expect != base.envelope.revision) {
		*stored = base;
		return pl_error_set(
			err, PL_ERR_CONFLICT,
			"the document of %s has revision %" G_GUINT64_FORMAT
			", not %" G_GUINT64_FORMAT "; nothing was written",
			publish->environment, base.envelope.revision,
			publish->expect);
	}
	if (is_stored_already_(&base, publish)) {
		*stored = base;
		return PL_OK;
	}
	result = write_document_(platform, publish, &base, stored, err);
	pl_stored_document_finish(&base);
	return result;
}
