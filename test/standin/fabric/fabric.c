/**
 * @file
 * Stand-in for the fabric: forwards each datagram of a caller to a random entry,
 * and the datagrams of the entries back to the callers. On command it drops,
 * duplicates and reorders datagrams in both directions.
 */
#include "common/standin.h"

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAM_MAX 2048
#define SERVICES_MAX 16
#define ENTRIES_MAX 64
#define PERMILLE 1000
#define REORDER_MIN_MS 2
#define REORDER_MAX_MS 30
#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)
/* Most datagrams read from one socket per round. */
#define BATCH_DATAGRAMS 64

/* A service address, and the socket that callers send to in its place. */
typedef struct {
	pl_addr_t address;
	int fd;
} service_t;

/* A datagram that is delayed so that later ones overtake it. */
typedef struct {
	uint64_t due_ms;
	int fd;
	pl_addr_t to;
	size_t len;
	uint8_t data[DATAGRAM_MAX];
} delayed_t;

typedef struct {
	service_t services[SERVICES_MAX];
	size_t service_count;
	pl_addr_t entries[ENTRIES_MAX];
	size_t entry_count;
	int return_fd;
	GRand *random;
	GQueue delayed;
	int loss_permille;
	int duplicate_permille;
	int reorder_permille;
	uint64_t to_entries;
	uint64_t to_callers;
	uint64_t lost;
	uint64_t duplicated;
	uint64_t reordered;
	uint64_t without_entry;
	uint64_t malformed;
} fabric_t;

static int open_socket_(pl_addr_t *bound)
{
	struct sockaddr_storage storage = { 0 };
	struct sockaddr_in *ipv4 = (struct sockaddr_in *)&storage;
	socklen_t len = sizeof(storage);
	int size = SOCKET_BUFFER_BYTES;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	ipv4->sin_family = AF_INET;
	ipv4->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&storage, sizeof(*ipv4)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&storage, &len) != 0) {
		perror("socket");
		exit(EXIT_FAILURE);
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
	pl_addr_from_sockaddr(&storage, bound);
	return fd;
}

static bool chance_(fabric_t *fabric, int permille)
{
	return permille > 0 &&
	       g_rand_int_range(fabric->random, 0, PERMILLE) < permille;
}

static void send_now_(int fd, const pl_addr_t *to, const uint8_t *data,
		      size_t len)
{
	struct sockaddr_storage storage;
	socklen_t storage_len = pl_addr_to_sockaddr(to, &storage);

	/* Errors are ignored: the datagram is lost, as on a real network. */
	(void)!sendto(fd, data, len, 0, (struct sockaddr *)&storage,
		      storage_len);
}

static void delay_datagram_(fabric_t *fabric, int fd, const pl_addr_t *to,
			    const uint8_t *data, size_t len)
{
	delayed_t *delayed = g_new(delayed_t, 1);

	delayed->due_ms = pl_now_ms() + (uint64_t)g_rand_int_range(
						fabric->random, REORDER_MIN_MS,
						REORDER_MAX_MS);
	delayed->fd = fd;
	delayed->to = *to;
	delayed->len = len;
	memcpy(delayed->data, data, len);
	g_queue_push_tail(&fabric->delayed, delayed);
	fabric->reordered++;
}

static void send_delayed_(fabric_t *fabric)
{
	uint64_t now_ms = pl_now_ms();
	GList *next;

	for (GList *node = fabric->delayed.head; node; node = next) {
		delayed_t *delayed = node->data;

		next = node->next;
		if (delayed->due_ms > now_ms)
			continue;
		send_now_(delayed->fd, &delayed->to, delayed->data,
			  delayed->len);
		g_queue_delete_link(&fabric->delayed, node);
		g_free(delayed);
	}
}

static void send_or_delay_(fabric_t *fabric, int fd, const pl_addr_t *to,
			   const uint8_t *data, size_t len)
{
	if (chance_(fabric, fabric->reorder_permille))
		delay_datagram_(fabric, fd, to, data, len);
	else
		send_now_(fd, to, data, len);
}

static const pl_addr_t *pick_entry_(fabric_t *fabric)
{
	return &fabric->entries[g_rand_int_range(fabric->random, 0,
						 (gint32)fabric->entry_count)];
}

static void forward_from_caller_(fabric_t *fabric, const service_t *service,
				 const pl_addr_t *caller, uint8_t *buf,
				 size_t len)
{
	if (fabric->entry_count == 0) {
		fabric->without_entry++;
		return;
	}
	if (chance_(fabric, fabric->loss_permille)) {
		fabric->lost++;
		return;
	}
	pl_proxy_write(buf, caller, &service->address);
	len += PL_PROXY_HEADER_BYTES;
	send_or_delay_(fabric, fabric->return_fd, pick_entry_(fabric), buf,
		       len);
	fabric->to_entries++;
	if (chance_(fabric, fabric->duplicate_permille)) {
		fabric->duplicated++;
		send_or_delay_(fabric, fabric->return_fd, pick_entry_(fabric),
			       buf, len);
	}
}

static const service_t *find_service_(const fabric_t *fabric,
				      const pl_addr_t *address)
{
	for (size_t i = 0; i < fabric->service_count; i++) {
		if (pl_addr_equal(&fabric->services[i].address, address))
			return &fabric->services[i];
	}
	return NULL;
}

static void forward_from_entry_(fabric_t *fabric, const uint8_t *buf,
				size_t len)
{
	pl_addr_t source;
	pl_addr_t caller;
	const service_t *service;

	if (!pl_proxy_read(buf, len, &source, &caller)) {
		fabric->malformed++;
		return;
	}
	service = find_service_(fabric, &source);
	if (!service) {
		fabric->malformed++;
		return;
	}
	if (chance_(fabric, fabric->loss_permille)) {
		fabric->lost++;
		return;
	}
	buf += PL_PROXY_HEADER_BYTES;
	len -= PL_PROXY_HEADER_BYTES;
	send_or_delay_(fabric, service->fd, &caller, buf, len);
	fabric->to_callers++;
	if (chance_(fabric, fabric->duplicate_permille)) {
		fabric->duplicated++;
		send_or_delay_(fabric, service->fd, &caller, buf, len);
	}
}

/* Reads one datagram to @p buf + @p headroom; false if there is none. */
static bool receive_datagram_(int fd, uint8_t *buf, size_t headroom,
			      size_t *len, pl_addr_t *from)
{
	struct sockaddr_storage storage;
	socklen_t storage_len = sizeof(storage);
	ssize_t received =
		recvfrom(fd, buf + headroom, DATAGRAM_MAX - headroom, 0,
			 (struct sockaddr *)&storage, &storage_len);

	if (received < 0)
		return errno == ECONNREFUSED ?
			       receive_datagram_(fd, buf, headroom, len, from) :
			       false;
	*len = (size_t)received;
	return pl_addr_from_sockaddr(&storage, from);
}

static void forward_received_(fabric_t *fabric)
{
	uint8_t buf[DATAGRAM_MAX];
	pl_addr_t from;
	size_t len;

	for (int i = 0; i < BATCH_DATAGRAMS; i++) {
		if (!receive_datagram_(fabric->return_fd, buf, 0, &len, &from))
			break;
		forward_from_entry_(fabric, buf, len);
	}
	for (size_t s = 0; s < fabric->service_count; s++) {
		const service_t *service = &fabric->services[s];

		for (int i = 0; i < BATCH_DATAGRAMS; i++) {
			if (!receive_datagram_(service->fd, buf,
					       PL_PROXY_HEADER_BYTES, &len,
					       &from))
				break;
			forward_from_caller_(fabric, service, &from, buf, len);
		}
	}
}

static void command_service_(void *ctx, char **words, int count)
{
	fabric_t *fabric = ctx;
	service_t *service = &fabric->services[fabric->service_count];
	char text[PL_ADDR_TEXT_MAX];
	pl_addr_t bound;

	if (fabric->service_count == SERVICES_MAX ||
	    pl_addr_parse(words[1], &service->address, NULL) != PL_OK) {
		pl_line_print("error service");
		return;
	}
	service->fd = open_socket_(&bound);
	fabric->service_count++;
	pl_line_print("ok listen=%s", pl_addr_format(&bound, text));
}

static void remove_entry_(fabric_t *fabric, const pl_addr_t *addr)
{
	for (size_t i = 0; i < fabric->entry_count; i++) {
		if (!pl_addr_equal(&fabric->entries[i], addr))
			continue;
		fabric->entries[i] = fabric->entries[--fabric->entry_count];
		return;
	}
}

static void command_entry_(void *ctx, char **words, int count)
{
	fabric_t *fabric = ctx;
	pl_addr_t addr;

	if (pl_addr_parse(words[2], &addr, NULL) != PL_OK ||
	    fabric->entry_count == ENTRIES_MAX) {
		pl_line_print("error entry");
		return;
	}
	remove_entry_(fabric, &addr);
	if (strcmp(words[1], "add") == 0)
		fabric->entries[fabric->entry_count++] = addr;
	pl_line_print("ok entries=%zu", fabric->entry_count);
}

static void command_loss_(void *ctx, char **words, int count)
{
	((fabric_t *)ctx)->loss_permille = atoi(words[1]);
	pl_line_print("ok");
}

static void command_duplicate_(void *ctx, char **words, int count)
{
	((fabric_t *)ctx)->duplicate_permille = atoi(words[1]);
	pl_line_print("ok");
}

static void command_reorder_(void *ctx, char **words, int count)
{
	((fabric_t *)ctx)->reorder_permille = atoi(words[1]);
	pl_line_print("ok");
}

static void command_stats_(void *ctx, char **words, int count)
{
	const fabric_t *fabric = ctx;

	pl_line_print("ok to_entries=%" PRIu64 " to_callers=%" PRIu64
		      " lost=%" PRIu64 " duplicated=%" PRIu64
		      " reordered=%" PRIu64 " without_entry=%" PRIu64
		      " malformed=%" PRIu64,
		      fabric->to_entries, fabric->to_callers, fabric->lost,
		      fabric->duplicated, fabric->reordered,
		      fabric->without_entry, fabric->malformed);
}

static const pl_line_command_t commands_[] = {
	{ "service", 2, command_service_ },
	{ "entry", 3, command_entry_ },
	{ "loss", 2, command_loss_ },
	{ "dup", 2, command_duplicate_ },
	{ "reorder", 2, command_reorder_ },
	{ "stats", 1, command_stats_ },
	{ NULL, 0, NULL },
};

static void wait_for_input_(const fabric_t *fabric)
{
	struct pollfd fds[SERVICES_MAX + 2] = {
		{ .fd = STDIN_FILENO, .events = POLLIN },
		{ .fd = fabric->return_fd, .events = POLLIN },
	};

	for (size_t i = 0; i < fabric->service_count; i++) {
		fds[i + 2].fd = fabric->services[i].fd;
		fds[i + 2].events = POLLIN;
	}
	(void)poll(fds, fabric->service_count + 2,
		   g_queue_is_empty((GQueue *)&fabric->delayed) ? -1 : 1);
}

static uint32_t seed_ = 1;

static error_t parse_option_(int key, char *arg, struct argp_state *state)
{
	if (key != 's')
		return ARGP_ERR_UNKNOWN;
	seed_ = (uint32_t)strtoul(arg, NULL, 10);
	return 0;
}

static const struct argp_option options_[] = {
	{ "seed", 's', "N", 0, "Seed of the random choices", 0 },
	{ 0 },
};

static const struct argp argp_ = { options_, parse_option_,
				   NULL,     "Stand-in for the fabric.",
				   NULL,     NULL,
				   NULL };

int main(int argc, char **argv)
{
	fabric_t fabric = { 0 };
	pl_line_reader_t reader;
	pl_addr_t bound;
	char text[PL_ADDR_TEXT_MAX];

	argp_parse(&argp_, argc, argv, 0, NULL, NULL);
	fabric.random = g_rand_new_with_seed(seed_);
	g_queue_init(&fabric.delayed);
	fabric.return_fd = open_socket_(&bound);
	pl_line_reader_init(&reader, STDIN_FILENO);
	pl_line_print("ready return=%s", pl_addr_format(&bound, text));
	while (pl_line_reader_run(&reader, commands_, &fabric)) {
		wait_for_input_(&fabric);
		forward_received_(&fabric);
		send_delayed_(&fabric);
	}
	pl_line_reader_finish(&reader);
	g_queue_clear_full(&fabric.delayed, g_free);
	g_rand_free(fabric.random);
	return EXIT_SUCCESS;
}
