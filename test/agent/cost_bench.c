/**
 * @file
 * Measures the cost of the agent core: CPU time per request, memory per message
 * ID and memory per request record. Prints lines "name value unit baseline
 * target".
 */
#include "fixture.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define GETS 200000
#define MESSAGES 8000
#define OPERATIONS 8000

static double cpu_us_(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void clear_(fixture_t *f)
{
	g_ptr_array_set_size(f->sent, 0);
	g_ptr_array_set_size(f->calls, 0);
}

static void get_(fixture_t *f, uint32_t caller)
{
	test_request_t request = { .code = PL_COAP_GET, .path = "permits" };

	memcpy(f->caller.ip, &caller, sizeof(caller));
	fixture_send(f, 0, &request);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "open", 4);
	clear_(f);
}

static void post_(fixture_t *f, uint32_t caller)
{
	test_request_t request = { .code = PL_COAP_POST,
				   .path = "permits",
				   .payload = "a" };
	uint8_t echo[PL_TICKET_BYTES];

	memcpy(f->caller.ip, &caller, sizeof(caller));
	fixture_send_with_ticket(f, 0, &request, echo);
	fixture_end_call_at(f, 0, PL_BACKEND_ANSWERED, "done", 4);
	clear_(f);
}

int main(void)
{
	fixture_t *f = fixture_new(1, 1);
	double start = cpu_us_();
	size_t before;

	for (uint32_t i = 0; i < GETS; i++)
		get_(f, i);
	printf("agent_cpu_per_get %.2f us - -\n", (cpu_us_() - start) / GETS);
	start = cpu_us_();
	for (uint32_t i = 0; i < OPERATIONS; i++)
		post_(f, i);
	printf("agent_cpu_per_ticketed_post %.2f us - -\n",
	       (cpu_us_() - start) / OPERATIONS);
	fixture_delete(f);

	f = fixture_new(1, 1);
	before = mallinfo2().uordblks;
	for (uint32_t i = 0; i < MESSAGES; i++)
		get_(f, i);
	printf("agent_bytes_per_message %zu bytes - -\n",
	       (mallinfo2().uordblks - before) / MESSAGES);
	fixture_delete(f);

	/*
	 * After 250 s the message IDs have expired, and only the request
	 * records are left.
	 */
	f = fixture_new(1, 1);
	before = mallinfo2().uordblks;
	for (uint32_t i = 0; i < OPERATIONS; i++)
		post_(f, i);
	fixture_advance(f, 250000);
	printf("agent_bytes_per_operation %zu bytes - -\n",
	       (mallinfo2().uordblks - before) / OPERATIONS);
	fixture_delete(f);
	return 0;
}
