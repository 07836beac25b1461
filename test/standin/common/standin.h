/**
 * @file
 * What the stand-ins share: line commands on standard input, the content
 * that a backend server answers with and a caller checks, and the PROXY
 * protocol header between fabric and entry.
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

/** Words of one line command. */
#define PL_LINE_WORDS_MAX 8

/** Line commands that arrive on a descriptor. */
typedef struct {
	int fd;
	GString *pending;
} pl_line_reader_t;

/** A command that is told apart by its first word. */
typedef struct {
	const char *name;
	int words; /**< least number of words, the name included */
	/** Carries the command out and prints the one-line answer. */
	void (*run)(void *ctx, char **words, int count);
} pl_line_command_t;

void pl_line_reader_init(pl_line_reader_t *reader, int fd);
void pl_line_reader_finish(pl_line_reader_t *reader);

/**
 * Reads what has arrived and runs each whole line against @p commands, which
 * ends with an entry without a name. False at the end of the input.
 */
bool pl_line_reader_run(pl_line_reader_t *reader,
			const pl_line_command_t *commands, void *ctx);

/** Prints one line on standard output and flushes it. */
void pl_line_print(const char *format, ...)
	__attribute__((format(printf, 1, 2)));

/** Monotonic time in milliseconds. */
uint64_t pl_now_ms(void);

/** Answer to a GET of @p path at @p service; released with g_free(). */
char *pl_content_text(const char *service, const char *path);

/** Answer to a GET of a versioned state; released with g_free(). */
char *pl_content_state(const char *service, const char *path, uint64_t version);

/**
 * Body of @p size bytes that begins with @p first and goes on with bytes
 * that follow from it; released with g_free().
 */
uint8_t *pl_content_body(const char *first, size_t size);

/**
 * Value of the field @p name in text of the form "a=1 b=2", or NULL; the
 * text ends at the first line break. Released with g_free().
 */
char *pl_content_field(const char *text, size_t len, const char *name);

/**
 * Writes the header of the PROXY protocol, version 2, for UDP over IPv4 (its
 * published specification, section 2.2).
 */
void pl_proxy_write(uint8_t header[PL_PROXY_HEADER_BYTES],
		    const pl_addr_t *source, const pl_addr_t *destination);

/** Reads such a header; false when @p buf does not begin with one. */
bool pl_proxy_read(const uint8_t *buf, size_t len, pl_addr_t *source,
		   pl_addr_t *destination);

#endif
