/**
 * @file
 * Encoding and verification of tickets.
 */
#include <pimentolift/ticket.h>

#include <assert.h>
#include <string.h>

#define AGENT_OFFSET 1
#define BOOT_OFFSET 9
#define NONCE_OFFSET 17
#define ISSUED_OFFSET 25
#define MAC_OFFSET 29
/** Hash seed that separates continuation digests from request digests. */
#define CONTINUATION_SEED 0x72657374

const char *const pl_ticket_verdict_names[] = {
	"valid", "expired", "foreign-boot", "foreign-agent", "forged",
};

_Static_assert(MAC_OFFSET + PL_TICKET_MAC_BYTES == PL_TICKET_BYTES, "layout");
_Static_assert(PL_TICKET_BYTES <= PL_COAP_ECHO_MAX, "fits an Echo option");

/** Input of the MACs of tickets and nonces; has no implicit padding. */
typedef struct {
	pl_addr_t caller;
	uint32_t mid;
	uint64_t service;
	uint64_t digest;
	uint64_t boot;
	uint8_t token_len;
	uint8_t token[PL_COAP_TOKEN_MAX];
	uint8_t header[MAC_OFFSET];
	uint8_t padding[2];
} mac_input_t;

_Static_assert(sizeof(mac_input_t) ==
		       sizeof(pl_addr_t) + 4 + 24 + 9 + MAC_OFFSET + 2,
	       "no padding");

static void write_be_(uint8_t *at, uint64_t value, size_t bytes)
{
	for (size_t i = bytes; i > 0; i--) {
		at[i - 1] = (uint8_t)value;
		value >>= 8;
	}
}

static uint64_t read_be_(const uint8_t *at, size_t bytes)
{
	uint64_t value = 0;

	for (size_t i = 0; i < bytes; i++)
		value = value << 8 | at[i];
	return value;
}

static void init_mac_input_(mac_input_t *input, const pl_flow_t *flow,
			    uint64_t digest)
{
	memset(input, 0, sizeof(*input));
	input->caller = flow->caller;
	input->service = flow->service;
	input->digest = digest;
}

static void compute_mac_(const pl_key_t *key, const pl_flow_t *flow,
			 uint64_t digest, const uint8_t *header,
			 uint8_t mac[PL_MAC_BYTES])
{
	mac_input_t input;

	init_mac_input_(&input, flow, digest);
	memcpy(input.header, header, MAC_OFFSET);
	pl_mac(key, &input, sizeof(input), mac);
}

bool pl_ticket_peek(const uint8_t *echo, size_t len, pl_member_id_t *agent)
{
	assert(agent);
	if (!echo || len != PL_TICKET_BYTES || echo[0] != PL_TICKET_VERSION)
		return false;
	*agent = read_be_(echo + AGENT_OFFSET, 8);
	return *agent != 0;
}

uint64_t pl_ticket_digest(const pl_coap_msg_t *msg)
{
	uint64_t digest = pl_hash_text(msg->path);

	digest = pl_hash(msg->query, strlen(msg->query), digest);
	digest = pl_hash(&msg->code, sizeof(msg->code), digest);
	digest = pl_hash(&msg->content_format, sizeof(msg->content_format),
			 digest);
	if (msg->rtag_len > 0)
		digest = pl_hash(msg->rtag, msg->rtag_len, digest);
	if (msg->payload_len > 0)
		digest = pl_hash(msg->payload, msg->payload_len, digest);
	return digest;
}

uint64_t pl_ticket_continuation_digest(uint8_t method, const char *path,
				       const char *query)
{
	uint64_t digest = pl_hash(&method, sizeof(method), CONTINUATION_SEED);

	digest = pl_hash(path, strlen(path) + 1, digest);
	return pl_hash(query, strlen(query) + 1, digest);
}

uint64_t pl_ticket_nonce(const pl_key_t *key, const pl_flow_t *flow,
			 uint64_t boot, const pl_coap_msg_t *msg)
{
	uint8_t mac[PL_MAC_BYTES];
	mac_input_t input;

	assert(msg->token_len <= PL_COAP_TOKEN_MAX);
	init_mac_input_(&input, flow, pl_ticket_digest(msg));
	input.boot = boot;
	input.mid = msg->mid;
	input.token_len = msg->token_len;
	memcpy(input.token, msg->token, msg->token_len);
	pl_mac(key, &input, sizeof(input), mac);
	return read_be_(mac, 8);
}

void pl_ticket_issue(const pl_key_t *key, const pl_ticket_t *ticket,
		     const pl_flow_t *flow, uint64_t digest,
		     uint8_t echo[PL_TICKET_BYTES])
{
	uint8_t mac[PL_MAC_BYTES];

	echo[0] = PL_TICKET_VERSION;
	write_be_(echo + AGENT_OFFSET, ticket->agent, 8);
	write_be_(echo + BOOT_OFFSET, ticket->boot, 8);
	write_be_(echo + NONCE_OFFSET, ticket->nonce, 8);
	write_be_(echo + ISSUED_OFFSET, ticket->issued_s, 4);
	compute_mac_(key, flow, digest, echo, mac);
	memcpy(echo + MAC_OFFSET, mac, PL_TICKET_MAC_BYTES);
}

pl_ticket_verdict_t pl_ticket_check(const pl_key_t *key, const pl_ticket_t *own,
				    const pl_flow_t *flow, uint64_t digest,
				    const uint8_t *echo, size_t len,
				    pl_ticket_t *ticket)
{
	uint8_t mac[PL_MAC_BYTES];

	if (!pl_ticket_peek(echo, len, &ticket->agent))
		return PL_TICKET_FORGED;
	compute_mac_(key, flow, digest, echo, mac);
	if (!pl_mac_equal(mac, echo + MAC_OFFSET, PL_TICKET_MAC_BYTES))
		return PL_TICKET_FORGED;
	ticket->boot = read_be_(echo + BOOT_OFFSET, 8);
	ticket->nonce = read_be_(echo + NONCE_OFFSET, 8);
	ticket->issued_s = (uint32_t)read_be_(echo + ISSUED_OFFSET, 4);
	if (ticket->agent != own->agent)
		return PL_TICKET_FOREIGN_AGENT;
	if (ticket->boot != own->boot)
		return PL_TICKET_FOREIGN_BOOT;
	if (own->issued_s >= ticket->issued_s + PL_TICKET_LIFE_S)
		return PL_TICKET_EXPIRED;
	return PL_TICKET_VALID;
}
