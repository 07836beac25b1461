/**
 * @file
 * pl_store: the stand-in store as a program. Prints `ready listen=IP:PORT`, runs
 * the commands of store.h from standard input, and ends on SIGTERM, or at the
 * end of its input if that is a pipe or a socket.
 */
#include "store.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define LINE_MAX_BYTES 256

static bool input_is_pipe_(void)
{
	struct stat status;

	return fstat(STDIN_FILENO, &status) == 0 &&
	       (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode));
}

static void run_commands_(pl_store_t *store)
{
	char line[LINE_MAX_BYTES];

	while (fgets(line, sizeof(line), stdin)) {
		line[strcspn(line, "\n")] = '\0';
		printf("%s %s\n",
		       pl_store_command(store, line) ? "ok" : "not-known",
		       line);
		fflush(stdout);
	}
}

int main(int argc, char **argv)
{
	unsigned long port = argc > 1 ? strtoul(argv[1], NULL, 10) : 0;
	pl_store_t *store = pl_store_new((uint16_t)port);

	if (!store) {
		fprintf(stderr, "pl_store: cannot listen\n");
		return EXIT_FAILURE;
	}
	printf("ready listen=127.0.0.1:%u\n", pl_store_port(store));
	fflush(stdout);
	run_commands_(store);
	while (!input_is_pipe_())
		pause();
	pl_store_delete(store);
	return EXIT_SUCCESS;
}
