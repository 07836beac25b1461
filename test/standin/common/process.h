/**
 * @file
 * Programs under test as processes of their own: started, spoken to line by
 * line, signalled, and ended. Only processes started here are ended here,
 * and each dies with the process that started it.
 */
#ifndef PL_TEST_PROCESS_H
#define PL_TEST_PROCESS_H

#include <stdbool.h>

typedef struct pl_process pl_process_t;

/**
 * Starts @p argv, which ends with NULL, and waits for its line that begins
 * with "ready". Its errors go to the file @p log when that is not NULL.
 * NULL when it ended or said nothing in time.
 */
pl_process_t *pl_process_start(const char *const *argv, const char *log);

/** Value of the field @p name in the ready line; released with g_free(). */
char *pl_process_value(const pl_process_t *process, const char *name);

/**
 * Sends a line command and returns the line that answers it, released with
 * g_free(); NULL when the process ended or did not answer in time.
 */
char *pl_process_ask(pl_process_t *process, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Number in the field @p name of the answer to a command, or -1. */
long long pl_process_ask_number(pl_process_t *process, const char *name,
				const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** Sends a signal. */
void pl_process_signal(pl_process_t *process, int number);

/** Whether the process has ended. */
bool pl_process_ended(const pl_process_t *process);

/** Waits until it has ended; false when it did not within @p timeout_ms. */
bool pl_process_wait(const pl_process_t *process, int timeout_ms);

/** Exit status once ended, or minus the number of the signal. */
int pl_process_status(const pl_process_t *process);

/** Ends the process by SIGKILL if it still runs, and frees its record. */
void pl_process_delete(pl_process_t *process);

#endif
