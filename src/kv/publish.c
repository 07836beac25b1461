/**
 * @file
 * Writes the document and settles writes whose answer was lost.
 */
#include <pimentolift/publish.h>

#include <assert.h>
#include <glib.h>
#include <string.h>

/** Pause between two attempts to settle a write. */
#define PAUSE_MS 200
#define WAIT_MS 100

/* A call that is waited for. */
typedef struct {
	bool done;
	pl_result_t result;
	char *message;
	pl_stored_t *stored; /* filled by a read, or NULL */
} wait_t;

/* A write until it is settled. */
typedef struct {
	pl_kv_t *platform;
	const pl_publish_t *publish;
	char *key;
	char *value;
	uint64_t replaces;
	pl_envelope_t next;
	gint64 deadline_us;
	bool maybe_written;
	pl_stored_t *stored;
	pl_error_t *err;
} write_t;

static char *key_(const char *environment)
{
	return g_strdup_printf("pimentolift/%s/document", environment);
}

static void on_done_(void *ctx, const pl_kv_reply_t *reply)
{
	wait_t *wait = ctx;
	pl_error_t err = PL_ERROR_INIT;

	wait->done = true;
	wait->result = reply->result;
	wait->message = g_strdup(reply->message);
	if (reply->result != PL_OK || !wait->stored)
		return;
	wait->stored->modify_index = reply->modify_index;
	wait->result = pl_envelope_decode(reply->value, reply->value_len,
					  &wait->stored->envelope, &err);
	if (wait->result == PL_OK)
		return;
	g_free(wait->message);
	wait->message = g_strdup(err.text);
}

/* Waits for the call; its result with the message in @p err. */
static pl_result_t finish_(pl_kv_t *platform, wait_t *wait, pl_error_t *err)
{
	while (!wait->done)
		pl_kv_wait(platform, WAIT_MS);
	if (wait->result != PL_OK)
		pl_error_set(err, wait->result, "the platform: %s",
			     wait->message);
	g_free(wait->message);
	return wait->result;
}

void pl_stored_finish(pl_stored_t *stored)
{
	pl_envelope_finish(&stored->envelope);
	memset(stored, 0, sizeof(*stored));
}

pl_result_t pl_publish_read(pl_kv_t *platform, const char *environment,
			    pl_stored_t *stored, pl_error_t *err)
{
	char *key = key_(environment);
	wait_t wait = { .stored = stored };
	pl_result_t result;

	memset(stored, 0, sizeof(*stored));
	pl_kv_get(platform, key, on_done_, &wait);
	result = finish_(platform, &wait, err);
	g_free(key);
	if (result == PL_ERR_NOT_FOUND)
		pl_error_set(err, result, "the environment %s has no document",
			     environment);
	if (result != PL_OK)
		pl_stored_finish(stored);
	return result;
}

static pl_result_t put_(write_t *write)
{
	wait_t wait = { 0 };

	pl_kv_put(write->platform,
		  &(pl_kv_write_t){ .key = write->key,
				    .value = write->value,
				    .value_len = strlen(write->value),
				    .replaces = write->replaces },
		  on_done_, &wait);
	return finish_(write->platform, &wait, write->err);
}

static bool in_time_(const write_t *write)
{
	return g_get_monotonic_time() < write->deadline_us;
}

static void pause_(const write_t *write)
{
	gint64 until = g_get_monotonic_time() + PAUSE_MS * 1000;

	while (g_get_monotonic_time() < until)
		pl_kv_wait(write->platform, WAIT_MS);
}

static pl_result_t conflict_(const write_t *write)
{
	return pl_error_set(write->err, PL_ERR_CONFLICT,
			    "the document of %s was changed by somebody else; "
			    "nothing was written",
			    write->publish->environment);
}

static pl_result_t unsettled_(const write_t *write)
{
	if (!write->maybe_written)
		return pl_error_set(write->err, PL_ERR_UNAVAILABLE,
				    "the platform does not answer; nothing "
				    "was written");
	return pl_error_set(write->err, PL_ERR_UNKNOWN_OUTCOME,
			    "the platform did not answer in time; operation "
			    "%s may have taken effect as revision "
			    "%" G_GUINT64_FORMAT,
			    write->next.operation, write->next.revision);
}

/* What reading back told. */
typedef enum {
	SETTLED_WRITTEN,
	SETTLED_CONFLICT,
	SETTLED_UNCHANGED,
	SETTLED_NOT_YET, /**< could not be read */
} settled_t;

static settled_t read_back_(write_t *write)
{
	pl_result_t result =
		pl_publish_read(write->platform, write->publish->environment,
				write->stored, write->err);

	if (result == PL_ERR_NOT_FOUND)
		return write->replaces == 0 ? SETTLED_UNCHANGED :
					      SETTLED_CONFLICT;
	if (result == PL_ERR_MALFORMED)
		return SETTLED_CONFLICT;
	if (result != PL_OK)
		return SETTLED_NOT_YET;
	if (pl_envelope_includes(&write->stored->envelope,
				 write->next.operation))
		return SETTLED_WRITTEN;
	return write->stored->modify_index == write->replaces ?
		       SETTLED_UNCHANGED :
		       SETTLED_CONFLICT;
}

/* One attempt; true when the outcome is known. */
static bool attempt_(write_t *write, pl_result_t *result)
{
	settled_t settled;

	*result = put_(write);
	if (*result == PL_OK || *result == PL_ERR_LIMIT)
		return true;
	if (*result == PL_ERR_UNAVAILABLE && !write->maybe_written)
		return true;
	if (*result == PL_ERR_UNKNOWN_OUTCOME)
		write->maybe_written = true;
	settled = read_back_(write);
	if (settled == SETTLED_WRITTEN) {
		*result = PL_OK;
		return true;
	}
	/* a refusal needs no reading back, unless an earlier try is open */
	if (settled == SETTLED_CONFLICT || !write->maybe_written) {
		*result = conflict_(write);
		return true;
	}
	return false;
}

static pl_result_t settle_(write_t *write)
{
	pl_result_t result;

	do {
		if (attempt_(write, &result))
			return result;
		pl_stored_finish(write->stored);
		pause_(write);
	} while (in_time_(write));
	return unsettled_(write);
}

static bool same_bytes_(const pl_stored_t *stored, const pl_publish_t *publish)
{
	char hash[PL_SHA256_TEXT_MAX];

	if (stored->modify_index == 0 ||
	    stored->envelope.revision <= publish->above)
		return false;
	pl_envelope_hash(publish->text, publish->text_len, hash);
	return strcmp(hash, stored->envelope.hash) == 0;
}

static void write_init_(write_t *write, const pl_publish_t *publish,
			const pl_stored_t *base)
{
	uint32_t patience_ms = publish->patience_ms ? publish->patience_ms :
						      PL_PUBLISH_PATIENCE_MS;

	pl_envelope_init(&write->next,
			 base->modify_index > 0 ? &base->envelope : NULL,
			 publish->author, publish->text, publish->text_len);
	if (write->next.revision <= publish->above)
		write->next.revision = publish->above + 1;
	write->key = key_(publish->environment);
	write->value = pl_envelope_encode(&write->next);
	write->replaces = base->modify_index;
	write->deadline_us =
		g_get_monotonic_time() + (gint64)patience_ms * 1000;
}

static void write_finish_(write_t *write)
{
	pl_envelope_finish(&write->next);
	g_free(write->key);
	g_free(write->value);
}

static pl_result_t write_(pl_kv_t *platform, const pl_publish_t *publish,
			  const pl_stored_t *base, pl_stored_t *stored,
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
		result = pl_error_set(err, PL_ERR_LIMIT,
				      "the document takes %zu bytes in the "
				      "platform, more than %d",
				      strlen(write.value), PL_KV_VALUE_MAX);
	else
		result = settle_(&write);
	if (result == PL_OK) {
		/* what was written, though another write may have followed */
		pl_stored_finish(stored);
		stored->envelope = write.next;
		memset(&write.next, 0, sizeof(write.next));
	}
	write_finish_(&write);
	return result;
}

pl_result_t pl_publish_apply(pl_kv_t *platform, const pl_publish_t *publish,
			     pl_stored_t *stored, pl_error_t *err)
{
	pl_stored_t base;
	pl_result_t result =
		pl_publish_read(platform, publish->environment, &base, err);

	assert(publish->text && publish->author);
	memset(stored, 0, sizeof(*stored));
	if (result != PL_OK && result != PL_ERR_NOT_FOUND)
		return result;
	if (publish->expect != PL_PUBLISH_ANY &&
	    publish->expect != base.envelope.revision) {
		*stored = base;
		return pl_error_set(
			err, PL_ERR_CONFLICT,
			"the document of %s has revision %" G_GUINT64_FORMAT
			", not %" G_GUINT64_FORMAT "; nothing was written",
			publish->environment, base.envelope.revision,
			publish->expect);
	}
	if (same_bytes_(&base, publish)) {
		*stored = base;
		return PL_OK;
	}
	result = write_(platform, publish, &base, stored, err);
	pl_stored_finish(&base);
	return result;
}
