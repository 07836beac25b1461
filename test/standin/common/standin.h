/**
 * @file
 * Functions shared by the stand-ins (test doubles of the backend server, the
 * callers and the fabric): line commands on standard input, response content
 * that a backend server generates and a caller verifies, and the PROXY protocol
 * header between fabric and entry.
 */
#ifndef PL_TEST_STANDIN_H
#define PL_TEST_STANDIN_H

#include <glib.h>
#include <pimentolift/addr.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Length of a PROXY protocol v2 header over IPv4, in bytes. */
#define PL_PROXY_HEADER_BYTES 28

/** Most words of a line command; further words are ignored. */
#define PL_LINE_WORDS_MAX 8

/** Reader of line commands from a non-blocking file descriptor. */
typedef struct {
	int fd;
	GString *pending; /**< received bytes without a line end yet */
} pl_line_reader_t;

/** A line command; its first word is the name. */
typedef struct {
	const char *name;
	int min_words; /**< including the name */
	/** Runs the command and prints a one-line response. */
	void (*run)(void *ctx, char **words, int count);
} pl_line_command_t;

void pl_line_reader_init(pl_line_reader_t *reader, int fd);
void pl_line_reader_finish(pl_line_reader_t *reader);

/**
 * Reads available input and runs the command of each complete line. @p commands
 * ends with an entry without a name. False at the end of the input.
 */
bool pl_line_reader_run(pl_line_reader_t *reader,
			const pl_line_command_t *commands, void *ctx);

/** Prints one line on standard output and flushes it. */
void pl_line_print(const char *format, ...)
	__attribute__((format(printf, 1, 2)));

/** Monotonic time in milliseconds. */
uint64_t pl_now_ms(void);

/** Response body to a GET of @p path at @p service; free with g_free(). */
char *pl_content_text(const char *service, const char *path);

/** Response body to a GET of an observable state; free with g_free(). */
char *pl_content_state(const char *service, const char *path, uint64_t version);

/**
 * Body of @p size bytes: @p first, then pseudo-random bytes seeded by @p first.
 * Free with g_free().
 */
uint8_t *pl_content_body(const char *first, size_t size);

/**
 * Value of the field @p name in the first line of @p text, which has the form
 * "a=1 b=2"; NULL if there is none. Free with g_free().
 */
char *pl_content_field(const char *text, size_t len, const char *name);

/**
 * Writes a PROXY protocol version 2 header for UDP over IPv4 (PROXY protocol
 * specification, section 2.2).
 */
void pl_proxy_write(uint8_t header[PL_PROXY_HEADER_BYTES],
		    const pl_addr_t *source, const pl_addr_t *destination);

/** Parses such a header; false if @p buf does not begin with one. */
bool pl_proxy_read(const uint8_t *buf, size_t len, pl_addr_t *source,
		   pl_addr_t *destination);

#endif
