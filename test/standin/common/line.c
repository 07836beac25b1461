/**
 * @file
 * Line commands on standard input.
 */
#include "common/standin.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define READ_BYTES 4096
#define MS_PER_S 1000
#define NS_PER_MS 1000000

void pl_line_reader_init(pl_line_reader_t *reader, int fd)
{
	int flags = fcntl(fd, F_GETFL);

	reader->fd = fd;
	reader->pending = g_string_new(NULL);
	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

void pl_line_reader_finish(pl_line_reader_t *reader)
{
	g_string_free(reader->pending, TRUE);
	reader->pending = NULL;
}

static void run_line_(char *line, const pl_line_command_t *commands, void *ctx)
{
	char *words[PL_LINE_WORDS_MAX];
	char *strtok_state = NULL;
	int count = 0;

	for (char *word = strtok_r(line, " \t", &strtok_state);
	     word && count < PL_LINE_WORDS_MAX;
	     word = strtok_r(NULL, " \t", &strtok_state))
		words[count++] = word;
	if (count == 0)
		return;
	for (const pl_line_command_t *c = commands; c->name; c++) {
		if (strcmp(c->name, words[0]) != 0)
			continue;
		if (count < c->min_words)
			pl_line_print("error %s: too few words", c->name);
		else
			c->run(ctx, words, count);
		return;
	}
	pl_line_print("error unknown command %s", words[0]);
}

bool pl_line_reader_run(pl_line_reader_t *reader,
			const pl_line_command_t *commands, void *ctx)
{
	char buf[READ_BYTES];
	ssize_t len;
	char *end;

	while ((len = read(reader->fd, buf, sizeof(buf))) > 0)
		g_string_append_len(reader->pending, buf, len);
	while ((end = strchr(reader->pending->str, '\n'))) {
		size_t line_len = (size_t)(end - reader->pending->str);
		char *line = g_strndup(reader->pending->str, line_len);

		g_string_erase(reader->pending, 0, (gssize)line_len + 1);
		run_line_(line, commands, ctx);
		g_free(line);
	}
	return len < 0 && (errno == EAGAIN || errno == EINTR);
}

void pl_line_print(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	putchar('\n');
	fflush(stdout);
}

uint64_t pl_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * MS_PER_S +
	       (uint64_t)now.tv_nsec / NS_PER_MS;
}
