/**
 * @file
 * Open-loop load: operations start at a fixed rate, whether or not earlier ones
 * have completed.
 */
#include "caller.h"

#define MS_PER_S 1000.0
#define UPLOAD_BYTES 4096
#define BLOB_BYTES 20000

typedef struct {
	const service_t *service;
	kind_t kind;
	char *path;
	double interval_ms;
	double next_ms;
	double end_ms;
	uint64_t count;
} load_t;

static void load_delete_(void *data)
{
	load_t *load = data;

	g_free(load->path);
	g_free(load);
}

void load_add(caller_t *caller, const service_t *service, kind_t kind,
	      const char *path, double per_second, double seconds)
{
	load_t *load = g_new0(load_t, 1);

	load->service = service;
	load->kind = kind;
	load->path = g_strdup(path);
	load->interval_ms = MS_PER_S / per_second;
	load->next_ms = (double)pl_now_ms();
	load->end_ms = load->next_ms + seconds * MS_PER_S;
	g_queue_push_tail(&caller->loads, load);
}

static void start_operation_(caller_t *caller, load_t *load)
{
	static const size_t sizes[KIND_COUNT] = {
		[KIND_BLOB] = BLOB_BYTES,
		[KIND_UPLOAD] = UPLOAD_BYTES,
	};

	operation_start(caller, load->service, load->kind, load->path,
			sizes[load->kind]);
}

int load_run(caller_t *caller)
{
	double now_ms = (double)pl_now_ms();
	double next_ms = -1;
	GList *next;

	for (GList *node = caller->loads.head; node; node = next) {
		load_t *load = node->data;

		next = node->next;
		while (load->next_ms <= now_ms &&
		       load->next_ms < load->end_ms) {
			start_operation_(caller, load);
			load->next_ms += load->interval_ms;
		}
		if (load->next_ms >= load->end_ms) {
			g_queue_delete_link(&caller->loads, node);
			load_delete_(load);
			continue;
		}
		if (next_ms < 0 || load->next_ms < next_ms)
			next_ms = load->next_ms;
	}
	return next_ms < 0 ? -1 : (int)(next_ms - now_ms) + 1;
}

void load_stop(caller_t *caller)
{
	g_queue_clear_full(&caller->loads, load_delete_);
}
