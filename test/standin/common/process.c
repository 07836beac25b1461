/**
 * @file
 * Processes under test, started with GSubprocess.
 */
#include "common/process.h"
#include "common/standin.h"

#include <gio/gio.h>
#include <gio/gunixinputstream.h>
#include <gio/gunixoutputstream.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#define START_TIMEOUT_MS 20000
#define RESPONSE_TIMEOUT_MS 20000
#define WAIT_POLL_MS 5
#define READ_BYTES 4096

struct pl_process {
	GSubprocess *child;
	char *name;
	int in;
	int out;
	GString *pending;
	char *ready;
};

static void die_with_parent_(gpointer data)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/*
 * Reads one line of output, without the line end. NULL at the end of the output
 * or after @p timeout_ms.
 */
static char *read_line_(pl_process_t *process, int timeout_ms)
{
	uint64_t deadline_ms = pl_now_ms() + (uint64_t)timeout_ms;
	char buf[READ_BYTES];
	char *end;

	while (!(end = strchr(process->pending->str, '\n'))) {
		struct pollfd fd = { .fd = process->out, .events = POLLIN };
		uint64_t now_ms = pl_now_ms();
		ssize_t len;

		if (now_ms >= deadline_ms ||
		    poll(&fd, 1, (int)(deadline_ms - now_ms)) <= 0)
			return NULL;
		len = read(process->out, buf, sizeof(buf));
		if (len <= 0)
			return NULL;
		g_string_append_len(process->pending, buf, len);
	}
	size_t len = (size_t)(end - process->pending->str);
	char *line = g_strndup(process->pending->str, len);

	g_string_erase(process->pending, 0, (gssize)len + 1);
	return line;
}

static GSubprocess *spawn_(const char *const *argv, const char *log)
{
	GSubprocessLauncher *launcher = g_subprocess_launcher_new(
		G_SUBPROCESS_FLAGS_STDIN_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE);
	GError *error = NULL;
	GSubprocess *child;

	if (log)
		g_subprocess_launcher_set_stderr_file_path(launcher, log);
	g_subprocess_launcher_set_child_setup(launcher, die_with_parent_, NULL,
					      NULL);
	child = g_subprocess_launcher_spawnv(launcher, argv, &error);
	if (!child) {
		fprintf(stderr, "%s: %s\n", argv[0], error->message);
		g_error_free(error);
	}
	g_object_unref(launcher);
	return child;
}

pl_process_t *pl_process_start(const char *const *argv, const char *log)
{
	GSubprocess *child = spawn_(argv, log);
	pl_process_t *process;

	if (!child)
		return NULL;
	signal(SIGPIPE, SIG_IGN);
	process = g_new0(pl_process_t, 1);
	process->child = child;
	process->name = g_path_get_basename(argv[0]);
	process->pending = g_string_new(NULL);
	process->in = g_unix_output_stream_get_fd(G_UNIX_OUTPUT_STREAM(
		g_subprocess_get_stdin_pipe(process->child)));
	process->out = g_unix_input_stream_get_fd(G_UNIX_INPUT_STREAM(
		g_subprocess_get_stdout_pipe(process->child)));
	process->ready = read_line_(process, START_TIMEOUT_MS);
	if (!process->ready || !g_str_has_prefix(process->ready, "ready")) {
		fprintf(stderr, "%s: not ready: %s\n", process->name,
			process->ready ? process->ready : "no line");
		pl_process_delete(process);
		return NULL;
	}
	return process;
}

char *pl_process_ready_value(const pl_process_t *process, const char *name)
{
	return pl_content_field(process->ready, strlen(process->ready), name);
}

static char *send_command_(pl_process_t *process, const char *format,
			   va_list args)
{
	char *line = g_strdup_vprintf(format, args);
	char *terminated_line = g_strconcat(line, "\n", NULL);
	size_t len = strlen(terminated_line);
	bool sent = !pl_process_ended(process) &&
		    write(process->in, terminated_line, len) == (ssize_t)len;
	char *response = sent ? read_line_(process, RESPONSE_TIMEOUT_MS) : NULL;

	if (!response)
		fprintf(stderr, "%s: no response to \"%s\"\n", process->name,
			line);
	else if (!g_str_has_prefix(response, "ok") && response[0] != '{')
		fprintf(stderr, "%s: \"%s\": %s\n", process->name, line,
			response);
	g_free(terminated_line);
	g_free(line);
	return response;
}

char *pl_process_request(pl_process_t *process, const char *format, ...)
{
	va_list args;
	char *response;

	va_start(args, format);
	response = send_command_(process, format, args);
	va_end(args);
	return response;
}

long long pl_process_request_number(pl_process_t *process, const char *name,
				    const char *format, ...)
{
	long long number = -1;
	va_list args;
	char *response;
	char *value;

	va_start(args, format);
	response = send_command_(process, format, args);
	va_end(args);
	value = response ? pl_content_field(response, strlen(response), name) :
			   NULL;
	if (value)
		number = g_ascii_strtoll(value, NULL, 10);
	g_free(value);
	g_free(response);
	return number;
}

void pl_process_signal(pl_process_t *process, int number)
{
	g_subprocess_send_signal(process->child, number);
}

bool pl_process_ended(const pl_process_t *process)
{
	return g_subprocess_get_identifier(process->child) == NULL;
}

bool pl_process_wait(const pl_process_t *process, int timeout_ms)
{
	uint64_t deadline_ms = pl_now_ms() + (uint64_t)timeout_ms;

	while (!pl_process_ended(process)) {
		if (pl_now_ms() >= deadline_ms)
			return false;
		g_usleep((gulong)WAIT_POLL_MS * G_TIME_SPAN_MILLISECOND);
	}
	return true;
}

int pl_process_status(const pl_process_t *process)
{
	if (g_subprocess_get_if_signaled(process->child))
		return -g_subprocess_get_term_sig(process->child);
	return g_subprocess_get_exit_status(process->child);
}

void pl_process_delete(pl_process_t *process)
{
	if (!process)
		return;
	g_subprocess_force_exit(process->child);
	g_subprocess_wait(process->child, NULL, NULL);
	g_object_unref(process->child);
	g_string_free(process->pending, TRUE);
	g_free(process->ready);
	g_free(process->name);
	g_free(process);
}
