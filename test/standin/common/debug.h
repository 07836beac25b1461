/**
 * @file
 * Debug log of libcoap, for the analysis of test failures.
 */
#ifndef PL_TEST_DEBUG_H
#define PL_TEST_DEBUG_H

#include <coap3/coap.h>
#include <stdio.h>

static void pl_coap_debug_print_(coap_log_t level, const char *text)
{
	fputs(text, stderr);
}

/** Makes libcoap log each datagram to standard error. */
static inline void pl_coap_debug(void)
{
	coap_set_log_handler(pl_coap_debug_print_);
	coap_set_show_pdu_output(0);
	coap_set_log_level(LOG_DEBUG);
}

#endif
