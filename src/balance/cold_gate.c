/**
 * @file
 * Gate of a cold server.
 */
#include <pimentolift/balance/cold_gate.h>

#define MS_PER_S 1000
#define THOUSANDTHS 1000
#define BUCKET_MS (MS_PER_S / PL_COLD_GATE_BUCKETS)
#define COUNTS (PL_COLD_GATE_BUCKETS + 1)

void pl_cold_gate_set(pl_cold_gate_t *gate, pl_ms_t now, pl_ms_t ms)
{
	gate->cold_until = now + ms;
}

bool pl_cold_gate_in_force(const pl_cold_gate_t *gate, pl_ms_t now)
{
	return gate->rate_milli > 0 && now < gate->cold_until;
}

/* Requests in the last second and in the rest of the bucket it began in. */
static uint64_t count_(const pl_cold_gate_t *gate, pl_ms_t now)
{
	uint64_t bucket = now / BUCKET_MS;
	uint64_t sum = 0;

	for (uint64_t i = 0; i < COUNTS && i <= gate->newest; i++) {
		if (gate->newest - i + COUNTS > bucket)
			sum += gate->counts[(gate->newest - i) % COUNTS];
	}
	return sum;
}

bool pl_cold_gate_admits(const pl_cold_gate_t *gate, pl_ms_t now)
{
	uint64_t max = gate->rate_milli / THOUSANDTHS;

	/* below one a second, a server would never be measured */
	return !pl_cold_gate_in_force(gate, now) ||
	       count_(gate, now) < (max > 0 ? max : 1);
}

void pl_cold_gate_count(pl_cold_gate_t *gate, pl_ms_t now)
{
	uint64_t bucket = now / BUCKET_MS;

	for (uint64_t i = 0; i < COUNTS && gate->newest < bucket; i++)
		gate->counts[++gate->newest % COUNTS] = 0;
	gate->newest = bucket;
	gate->counts[bucket % COUNTS]++;
}
