/**
 * @file
 * Runs programs under test as child processes: start, line commands, signals,
 * termination. Only processes that were started by pl_process_start() are
 * terminated, and each receives SIGKILL when its parent ends.
 */
#ifndef PL_TEST_PROCESS_H
#define PL_TEST_PROCESS_H

#include <stdbool.h>

typedef struct pl_process pl_process_t;

/**
 * Starts @p argv, which ends with NULL, and waits for an output line that
 * begins with "ready". Standard error goes to the file @p log unless it is NULL.
 * NULL if the process ended or printed no such line within 20 s.
 */
pl_process_t *pl_process_start(const char *const *argv, const char *log);

/** Value of the field @p name in the ready line; free with g_free(). */
char *pl_process_ready_value(const pl_process_t *process, const char *name);

/**
 * Sends a line command and returns the response line, freed with g_free().
 * NULL if the process ended or did not respond within 20 s.
 */
char *pl_process_request(pl_process_t *process, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Number in the field @p name of the response to a command, or -1. */
long long pl_process_request_number(pl_process_t *process, const char *name,
				    const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** Sends a signal. */
void pl_process_signal(pl_process_t *process, int number);

/** Whether the process has ended. */
bool pl_process_ended(const pl_process_t *process);

/** Waits for the process to end; false if it runs after @p timeout_ms. */
bool pl_process_wait(const pl_process_t *process, int timeout_ms);

/**
 * Exit status of an ended process, or the negative number of the signal that
 * ended it.
 */
int pl_process_status(const pl_process_t *process);

/** Sends SIGKILL to the process if it still runs, and frees @p process. */
void pl_process_delete(pl_process_t *process);

#endif
