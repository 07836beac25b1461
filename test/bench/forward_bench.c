/**
 * @file
 * Measures the cost of forwarding a datagram at an entry, compared with a bare
 * relay.
 *
 * Each worker receives batches on its own socket, processes each datagram, and
 * sends it to a sink. The relay copies the datagram; the entry reads the PROXY
 * header, routes, and writes the inner datagram. The results are the CPU time
 * of the worker's thread per datagram, including system calls, and the
 * datagrams per second of all workers.
 */
#include <pimentolift/coap_msg.h>
#include <pimentolift/entry.h>
#include <pimentolift/proxy.h>
#include <pimentolift/udp.h>

#include <dlfcn.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define REPETITIONS 7
#define RUN_MS 600
#define WORKERS_MAX 4
#define PAYLOAD_BYTES 64
#define ENDPOINTS 20
#define POLL_MS 20
#define NS_PER_S 1e9

typedef struct worker worker_t;

/** Processes one datagram into @p out; returns the length to send. */
typedef size_t (*process_t)(worker_t *worker, const pl_datagram_t *datagram,
			    uint8_t *out);

struct worker {
	process_t process;
	pl_addr_t addr;
	pl_addr_t sink;
	int fd;
	pl_entry_t *entry;
	pl_key_t key;
	const pl_routing_t *routing;
	atomic_bool *stop;
	uint64_t count;
	uint64_t allocations; /* malloc() calls after the first batch */
	double cpu_ns;
	pthread_t thread;
	pthread_t generator;
};

static _Thread_local uint64_t allocations_;

/**
 * Replaces malloc() to count the calls of this thread, including those inside
 * libraries.
 */
void *malloc(size_t size)
{
	static void *(*next)(size_t);

	if (!next)
		next = (void *(*)(size_t))dlsym(RTLD_NEXT, "malloc");
	allocations_++;
	return next(size);
}

static double clock_ns_(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (double)now.tv_sec * NS_PER_S + (double)now.tv_nsec;
}

static size_t relay_datagram_(worker_t *worker, const pl_datagram_t *datagram,
			      uint8_t *out)
{
	memcpy(out, datagram->bytes, datagram->len);
	return datagram->len;
}

static size_t forward_datagram_(worker_t *worker, const pl_datagram_t *datagram,
				uint8_t *out)
{
	pl_counter_t dropped;
	pl_member_id_t agent;
	pl_forward_t forward;
	pl_proxy_t proxy;
	size_t header;

	if (pl_proxy_read(datagram->bytes, datagram->len, &proxy, &header) !=
		    PL_OK ||
	    pl_entry_route(worker->entry, worker->routing, &proxy.source,
			   &proxy.destination, datagram->bytes + header,
			   datagram->len - header, 1000, &agent, &forward,
			   &dropped) != PL_OK)
		abort();
	return pl_wire_encode_forward(&worker->key, &forward, out,
				      PL_WIRE_DATAGRAM_MAX);
}

static void *run_worker_(void *ctx)
{
	worker_t *worker = ctx;
	pl_udp_batch_t *batch = pl_udp_batch_new();
	struct pollfd ready = { .fd = worker->fd, .events = POLLIN };
	double start = clock_ns_(CLOCK_THREAD_CPUTIME_ID);

	while (!atomic_load(worker->stop)) {
		size_t count = pl_udp_receive(batch, worker->fd);

		if (count == 0) {
			poll(&ready, 1, POLL_MS);
			continue;
		}
		for (size_t i = 0; i < count; i++) {
			uint8_t *out = pl_udp_reserve(batch);

			pl_udp_queue(batch, worker->fd, &worker->sink,
				     worker->process(worker,
						     pl_udp_at(batch, i), out));
		}
		pl_udp_flush(batch);
		if (worker->count == 0)
			allocations_ = 0;
		worker->count += count;
	}
	worker->allocations = allocations_;
	worker->cpu_ns = clock_ns_(CLOCK_THREAD_CPUTIME_ID) - start;
	pl_udp_batch_delete(batch);
	return NULL;
}

static size_t write_datagram_(uint8_t *buf, uint16_t port)
{
	static const uint8_t payload[PAYLOAD_BYTES];
	pl_coap_writer_t writer;
	pl_proxy_t proxy;
	size_t header;

	pl_addr_parse("198.51.100.7:0", &proxy.source, NULL);
	pl_addr_parse("192.0.2.10:5683", &proxy.destination, NULL);
	proxy.source.port = port;
	header = pl_proxy_write(&proxy, buf);
	pl_coap_write_start(&writer, buf + header, PL_COAP_DATAGRAM_MAX,
			    PL_COAP_CON, PL_COAP_GET, port,
			    (const uint8_t *)&port, sizeof(port));
	pl_coap_write_segments(&writer, PL_COAP_OPT_URI_PATH, "permits/17",
			       '/');
	pl_coap_write_payload(&writer, payload, sizeof(payload));
	return header + pl_coap_write_end(&writer);
}

/* Keeps the worker's socket full; each datagram has the next caller port. */
static void *generate_load_(void *ctx)
{
	worker_t *worker = ctx;
	pl_udp_batch_t *batch = pl_udp_batch_new();
	pl_addr_t own;
	uint16_t port = 1;
	int fd;

	pl_addr_parse("127.0.0.1:0", &own, NULL);
	if (pl_udp_open(&own, false, &fd, NULL) != PL_OK)
		abort();
	while (!atomic_load(worker->stop)) {
		for (int i = 0; i < PL_UDP_BATCH; i++) {
			uint8_t *out = pl_udp_reserve(batch);

			pl_udp_queue(batch, fd, &worker->addr,
				     write_datagram_(out, port++));
		}
		pl_udp_flush(batch);
	}
	close(fd);
	pl_udp_batch_delete(batch);
	return NULL;
}

static pl_routing_t *make_routing_(void)
{
	const pl_service_policy_t policy = { .deadline_ms = 1000 };
	pl_routing_builder_t *builder = pl_routing_builder_new(1);
	pl_service_id_t service = pl_service_id("permits");
	pl_addr_t addr;

	pl_addr_parse("192.0.2.10:5683", &addr, NULL);
	pl_routing_builder_service(builder, "permits", &policy);
	pl_routing_builder_address(builder, service, &addr);
	for (pl_member_id_t i = 1; i <= ENDPOINTS; i++) {
		const pl_endpoint_t endpoint = { .agent = i,
						 .boot = 1,
						 .service = service,
						 .weight = PL_WEIGHT_FULL };

		pl_routing_builder_endpoint(builder, &endpoint);
	}
	return pl_routing_builder_finish(builder);
}

typedef struct {
	double ns_per_datagram;
	double per_s;
	uint64_t allocations;
} measurement_t;

static measurement_t run_workers_(process_t process, size_t count,
				  const pl_routing_t *routing,
				  pl_load_table_t *loads)
{
	worker_t workers[WORKERS_MAX] = { 0 };
	atomic_bool stop = false;
	measurement_t measurement = { 0 };
	pl_addr_t sink;
	double wall_ns;
	int sink_fd;

	pl_addr_parse("127.0.0.1:0", &sink, NULL);
	if (pl_udp_open(&sink, false, &sink_fd, NULL) != PL_OK)
		abort();
	wall_ns = clock_ns_(CLOCK_MONOTONIC);
	for (size_t i = 0; i < count; i++) {
		worker_t *worker = &workers[i];

		worker->process = process;
		worker->sink = sink;
		worker->routing = routing;
		worker->stop = &stop;
		worker->entry =
			pl_entry_new(9, &pl_entry_policy_two_choices, loads);
		pl_addr_parse("127.0.0.1:0", &worker->addr, NULL);
		if (pl_udp_open(&worker->addr, false, &worker->fd, NULL) !=
		    PL_OK)
			abort();
		pthread_create(&worker->thread, NULL, run_worker_, worker);
		pthread_create(&worker->generator, NULL, generate_load_,
			       worker);
	}
	g_usleep(RUN_MS * 1000);
	atomic_store(&stop, true);
	for (size_t i = 0; i < count; i++) {
		pthread_join(workers[i].thread, NULL);
		pthread_join(workers[i].generator, NULL);
		measurement.ns_per_datagram +=
			workers[i].cpu_ns / (double)workers[i].count;
		measurement.per_s += (double)workers[i].count;
		measurement.allocations += workers[i].allocations;
		pl_entry_delete(workers[i].entry);
		close(workers[i].fd);
	}
	wall_ns = clock_ns_(CLOCK_MONOTONIC) - wall_ns;
	measurement.ns_per_datagram /= (double)count;
	measurement.per_s /= wall_ns / NS_PER_S;
	close(sink_fd);
	return measurement;
}

static int compare_doubles_(const void *a, const void *b)
{
	const double *left = a;
	const double *right = b;

	return (*left > *right) - (*left < *right);
}

static double median_(double *values)
{
	qsort(values, REPETITIONS, sizeof(values[0]), compare_doubles_);
	return values[REPETITIONS / 2];
}

int main(void)
{
	pl_routing_t *routing = make_routing_();
	pl_load_table_t *loads = pl_load_table_new();
	double relay[REPETITIONS];
	double entry[REPETITIONS];
	double ratio[REPETITIONS];
	double relay_median;

	printf("# name value unit baseline target (median of %d)\n",
	       REPETITIONS);
	for (int i = 0; i < REPETITIONS; i++) {
		relay[i] = run_workers_(relay_datagram_, 1, routing, loads)
				   .ns_per_datagram;
		entry[i] = run_workers_(forward_datagram_, 1, routing, loads)
				   .ns_per_datagram;
		ratio[i] = entry[i] / relay[i];
	}
	printf("entry_allocations_steady_state %" G_GUINT64_FORMAT
	       " calls - 0\n",
	       run_workers_(forward_datagram_, 1, routing, loads).allocations);
	relay_median = median_(relay);
	printf("forward_ns_per_datagram %.0f ns %.0f -\n", median_(entry),
	       relay_median);
	printf("forward_cost_over_bare_relay %.2f ratio 1 2.0\n",
	       median_(ratio));
	printf("forward_cost_spread %.2f-%.2f ratio - -\n", ratio[0],
	       ratio[REPETITIONS - 1]);
	for (size_t workers = 1; workers <= WORKERS_MAX; workers *= 2) {
		double rates[REPETITIONS];

		for (int i = 0; i < REPETITIONS; i++)
			rates[i] = run_workers_(forward_datagram_, workers,
						routing, loads)
					   .per_s;
		printf("forward_per_s_%zu_threads %.0f 1/s - -\n", workers,
		       median_(rates));
	}
	pl_load_table_delete(loads);
	pl_routing_put(routing);
	return 0;
}
