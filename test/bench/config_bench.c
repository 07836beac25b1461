/**
 * @file
 * Measures the propagation of the configuration. Each output line is
 * `name value unit baseline target`, "-" for a missing one. A value is the
 * median of the repetitions, followed by the lowest and the highest.
 */
#include "sync_fake.h"

#include <private/config_replica.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SERVICES 1400
#define MEMBERS 6050
#define REPETITIONS 21
#define IN_FORCE_WAIT_MS 6000
#define IDLE_MS 60000

typedef struct {
	double values[REPETITIONS];
	size_t count;
} sample_t;

static int compare_doubles_(const void *a, const void *b)
{
	double first = *(const double *)a;
	double second = *(const double *)b;

	return (first > second) - (first < second);
}

static double print_sample_(const char *name, sample_t *sample,
			    const char *unit, const char *baseline,
			    const char *target)
{
	double median;

	qsort(sample->values, sample->count, sizeof(double), compare_doubles_);
	median = sample->values[sample->count / 2];
	printf("%s %.4g %s %s %s (%.4g to %.4g of %zu)\n", name, median, unit,
	       baseline, target, sample->values[0],
	       sample->values[sample->count - 1], sample->count);
	fflush(stdout);
	return median;
}

static double cpu_us_(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static pl_document_t *parse_document_(const char *text, uint64_t revision)
{
	pl_problems_t *problems = pl_problems_new("d");
	pl_document_t *document = NULL;

	if (pl_document_parse(text, strlen(text), revision, &document,
			      problems) != PL_OK)
		g_error("%s", pl_problems_text(problems));
	pl_problems_delete(problems);
	return document;
}

/* CPU time and bytes to parse and transfer a document of SERVICES services. */
static void bench_document_(void)
{
	sample_t parse = { 0 };
	sample_t apply = { 0 };
	sample_t section = { 0 };
	sample_t full = { 0 };
	pl_config_replica_t *from = pl_config_replica_new();
	pl_config_replica_t *to = pl_config_replica_new();
	GByteArray *body = g_byte_array_new();
	model_t model;

	model_init(&model, SERVICES, 1);
	model.objectives = true;
	for (uint64_t revision = 1; revision <= REPETITIONS; revision++) {
		char *text;
		pl_document_t *document;
		pl_config_push_t push;
		double start;

		model.deadline[revision * 61 % SERVICES]++;
		text = model_text(&model);
		if (revision == 1)
			printf("config_document_bytes %zu B - -\n",
			       strlen(text));
		start = cpu_us_();
		document = parse_document_(text, revision);
		parse.values[parse.count++] = (cpu_us_() - start) / 1e3;
		pl_config_replica_replace(from, document);
		g_byte_array_set_size(body, 0);
		pl_config_replica_encode_push(
			from, pl_config_replica_revision(to), body);
		if (revision > 1)
			section.values[section.count++] = body->len;
		pl_config_decode_push(body->data, body->len, &push);
		start = cpu_us_();
		pl_config_replica_apply_push(to, &push, NULL);
		if (revision > 1)
			apply.values[apply.count++] = (cpu_us_() - start) / 1e3;
		pl_config_push_finish(&push);
		g_byte_array_set_size(body, 0);
		pl_config_replica_encode_push(from, 0, body);
		full.values[full.count++] = body->len;
		pl_document_put(document);
		g_free(text);
	}
	print_sample_("config_parse_ms", &parse, "ms", "-", "-");
	print_sample_("config_apply_section_ms", &apply, "ms", "-", "-");
	print_sample_("config_frame_section_bytes", &section, "B", "-", "-");
	print_sample_("config_frame_whole_bytes", &full, "B", "-", "-");
	pl_config_replica_delete(from);
	pl_config_replica_delete(to);
	g_byte_array_free(body, TRUE);
}

static void ignore_document_(void *ctx, pl_document_t *document)
{
	(void)ctx;
	(void)document;
}

static void ignore_frame_(void *ctx, const pl_peer_frame_t *frame)
{
	(void)ctx;
	(void)frame;
}

static void ignore_watch_(void *ctx, pl_kv_position_t after)
{
	(void)ctx;
	(void)index;
}

static void ignore_call_(void *ctx)
{
	(void)ctx;
}

static uint64_t return_zero_(void *ctx)
{
	(void)ctx;
	return 0;
}

/* Memory of one document, and of the state about MEMBERS peers. */
static void bench_memory_(void)
{
	const pl_config_sync_ops_t ops = {
		.in_force = ignore_document_,
		.send = ignore_frame_,
		.read = ignore_call_,
		.watch = ignore_watch_,
		.unwatch = ignore_call_,
		.random = return_zero_,
	};
	pl_timer_service_t *timers = pl_timer_service_new(1);
	pl_config_replica_t *replica = pl_config_replica_new();
	pl_config_sync_t *sync = pl_config_sync_new(1, 1, &ops, NULL, timers);
	size_t before = mallinfo2().uordblks;
	pl_document_t *document;
	model_t model;
	char *text;

	for (pl_member_id_t id = 2; id <= MEMBERS; id++)
		pl_config_sync_peer_up(sync, id, id % 7);
	printf("config_peers_kb_%d %.0f kB - -\n", MEMBERS,
	       (double)(mallinfo2().uordblks - before) / 1024);
	model_init(&model, SERVICES, 1);
	model.objectives = true;
	text = model_text(&model);
	before = mallinfo2().uordblks;
	document = parse_document_(text, 1);
	pl_config_replica_replace(replica, document);
	printf("config_held_kb_%d %.0f kB - -\n", SERVICES,
	       (double)(mallinfo2().uordblks - before) / 1024);
	pl_document_put(document);
	pl_config_replica_delete(replica);
	pl_config_sync_delete(sync);
	pl_timer_service_delete(timers);
	g_free(text);
}

static void apply_document_(fake_t *fake, const model_t *model)
{
	char *text = model_text(model);

	fake_apply(fake, text);
	g_free(text);
}

static double slowest_in_force_ms_(const fake_t *fake, pl_ms_t since)
{
	pl_ms_t last = since;

	if (!fake_all_at(fake, fake->revision))
		return G_MAXDOUBLE;
	for (size_t i = 0; i < fake->count; i++) {
		if (fake->nodes[i].in_force_at > last)
			last = fake->nodes[i].in_force_at;
	}
	return (double)(last - since);
}

static void sum_traffic_(const fake_t *fake, double *bytes, double *frames,
			 double *calls)
{
	*bytes = 0;
	*frames = 0;
	*calls = 0;
	for (size_t i = 0; i < fake->count; i++) {
		const node_t *node = &fake->nodes[i];

		*bytes += (double)node->frame_bytes_out;
		*frames += (double)node->frames_out;
		*calls += node->reads + node->watches;
	}
}

/* Propagates one change after another through a fleet of @p members. */
static void bench_propagation_(size_t members)
{
	fake_t *fake = fake_new((uint32_t)members, members, 7);
	sample_t in_force = { 0 };
	sample_t bytes = { 0 };
	sample_t frames = { 0 };
	char name[96];
	double calls;
	double before[3];
	double after[3];
	model_t model;

	model_init(&model, 20, 5);
	apply_document_(fake, &model);
	for (size_t i = 0; i < members; i++)
		fake_start(fake, i);
	fake_run(fake, 2 * IN_FORCE_WAIT_MS);
	for (size_t i = 0; i < REPETITIONS; i++) {
		pl_ms_t start = fake->now;

		model.deadline[i % 20]++;
		sum_traffic_(fake, &before[0], &before[1], &before[2]);
		apply_document_(fake, &model);
		fake_run(fake, IN_FORCE_WAIT_MS);
		sum_traffic_(fake, &after[0], &after[1], &after[2]);
		in_force.values[in_force.count++] =
			slowest_in_force_ms_(fake, start) / 1000;
		bytes.values[bytes.count++] =
			(after[0] - before[0]) / (double)members;
		frames.values[frames.count++] =
			(after[1] - before[1]) / (double)members;
	}
	g_snprintf(name, sizeof(name), "config_in_force_s_%zu", members);
	print_sample_(name, &in_force, "s", "-", "4");
	g_snprintf(name, sizeof(name), "config_bytes_per_change_%zu", members);
	print_sample_(name, &bytes, "B", "-", "-");
	g_snprintf(name, sizeof(name), "config_frames_per_change_%zu", members);
	print_sample_(name, &frames, "1", "-", "-");
	sum_traffic_(fake, &before[0], &before[1], &before[2]);
	fake_run(fake, IDLE_MS);
	sum_traffic_(fake, &after[0], &after[1], &calls);
	printf("config_platform_calls_quiet_%zu %.3g 1/s - 50\n", members,
	       (calls - before[2]) * 1000 / IDLE_MS);
	fake_delete(fake);
}

static GLogWriterOutput discard_log_(GLogLevelFlags level,
				     const GLogField *fields, gsize count,
				     gpointer data)
{
	(void)level;
	(void)fields;
	(void)count;
	(void)data;
	return G_LOG_WRITER_HANDLED;
}

int main(void)
{
	static const size_t sizes[] = { 125, 250, 500, 1000, 2000 };

	g_log_set_writer_func(discard_log_, NULL, NULL);
	printf("# name value unit baseline target\n");
	bench_document_();
	bench_memory_();
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		bench_propagation_(sizes[i]);
	return EXIT_SUCCESS;
}
