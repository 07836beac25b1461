/**
 * @file
 * Time-weighted mean of the requests in progress.
 */
#include <pimentolift/balance/load.h>

#include <math.h>

/** Time constant of the exponential moving mean: long enough to average over
 * many requests, short compared with changes of the demand. */
#define MEAN_TIME_CONSTANT_MS 1000.0
#define THOUSANDTHS 1000

static double mean_at_(const pl_load_t *load, pl_ms_t now)
{
	double keep =
		exp(-(double)(now - load->changed_at) / MEAN_TIME_CONSTANT_MS);

	return load->mean * keep + load->busy * (1 - keep);
}

void pl_load_change(pl_load_t *load, int step, pl_ms_t now)
{
	load->mean = mean_at_(load, now);
	load->changed_at = now;
	if (step < 0 && load->busy == 0)
		return;
	load->busy = (uint32_t)((int)load->busy + step);
}

pl_endpoint_load_t pl_load_snapshot(const pl_load_t *load, pl_ms_t now)
{
	return (pl_endpoint_load_t){
		.slots = load->slots,
		.busy = load->busy,
		.mean_busy = (uint32_t)(mean_at_(load, now) * THOUSANDTHS),
	};
}
