/**
 * @file
 * Encoding and checking of tickets.
 */
#include <pimentolift/ticket.h>

#include <assert.h>
#include <string.h>

#define AGENT_AT 1
#define BOOT_AT 9
#define NONCE_AT 17
#define ISSUED_AT 25
#define MAC_AT 29
/** Keeps the digests of requests and of answers apart. */
#define REST_SEED 0x72657374

const char *const pl_ticket_verdict_names[] = {
	"valid", "expired", "foreign-boot", "foreign-agent", "forged",
};

_Static_assert(MAC_AT + PL_TICKET_MAC_BYTES == PL_TICKET_BYTES, "layout");
_Static_assert(PL_TICKET_BYTES <= PL_COAP_ECHO_MAX, "fits an Echo option");

/** Input of the codes; has no padding. */
typedef struct {
	pl_addr_t caller;
	uint32_t mid;
	uint64_t service;
	uint64_t digest;
	uint64_t boot;
	uint8_t token_len;
	uint8_t token[PL_COAP_TOKEN_MAX];
	uint8_t head[MAC_AT];
	uint8_t zero[2];
} bound_t;

_Static_assert(sizeof(bound_t) == sizeof(pl_addr_t) + 4 + 24 + 9 + MAC_AT + 2,
	       "no padding");

static void put_(uint8_t *at, uint64_t value, size_t bytes)
{
	for (size_t i = bytes; i > 0; i--) {
		at[i - 1] = (uint8_t)value;
		value >>= 8;
	}
}

static uint64_t take_(const uint8_t *at, size_t bytes)
{
	uint64_t value = 0;

	for (size_t i = 0; i < bytes; i++)
		value = value << 8 | at[i];
	return value;
}

static void bind_(bound_t *bound, const pl_flow_t *flow, uint64_t digest)
{
	memset(bound, 0, sizeof(*bound));
	bound->caller = flow->caller;
	bound->service = flow->service;
	bound->digest = digest;
}

static void code_(const pl_key_t *key, const pl_flow_t *flow, uint64_t digest,
		  const uint8_t *head, uint8_t mac[PL_MAC_BYTES])
{
	bound_t bound;

	bind_(&bound, flow, digest);
	memcpy(bound.head, head, MAC_AT);
	pl_mac(key, &bound, sizeof(bound), mac);
}

bool pl_ticket_peek(const uint8_t *echo, size_t len, pl_member_id_t *agent)
{
	assert(agent);
	if (!echo || len != PL_TICKET_BYTES || echo[0] != PL_TICKET_VERSION)
		return false;
	*agent = take_(echo + AGENT_AT, 8);
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

uint64_t pl_ticket_rest_digest(uint8_t method, const char *path,
			       const char *query)
{
	uint64_t digest = pl_hash(&method, sizeof(method), REST_SEED);

	digest = pl_hash(path, strlen(path) + 1, digest);
	return pl_hash(query, strlen(query) + 1, digest);
}

uint64_t pl_ticket_nonce(const pl_key_t *key, const pl_flow_t *flow,
			 uint64_t boot, const pl_coap_msg_t *msg)
{
	uint8_t mac[PL_MAC_BYTES];
	bound_t bound;

	assert(msg->token_len <= PL_COAP_TOKEN_MAX);
	bind_(&bound, flow, pl_ticket_digest(msg));
	bound.boot = boot;
	bound.mid = msg->mid;
	bound.token_len = msg->token_len;
	memcpy(bound.token, msg->token, msg->token_len);
	pl_mac(key, &bound, sizeof(bound), mac);
	return take_(mac, 8);
}

void pl_ticket_issue(const pl_key_t *key, const pl_ticket_t *ticket,
		     const pl_flow_t *flow, uint64_t digest,
		     uint8_t echo[PL_TICKET_BYTES])
{
	uint8_t mac[PL_MAC_BYTES];

	echo[0] = PL_TICKET_VERSION;
	put_(echo + AGENT_AT, ticket->agent, 8);
	put_(echo + BOOT_AT, ticket->boot, 8);
	put_(echo + NONCE_AT, ticket->nonce, 8);
	put_(echo + ISSUED_AT, ticket->issued_s, 4);
	code_(key, flow, digest, echo, mac);
	memcpy(echo + MAC_AT, mac, PL_TICKET_MAC_BYTES);
}

pl_ticket_verdict_t pl_ticket_check(const pl_key_t *key, const pl_ticket_t *own,
				    const pl_flow_t *flow, uint64_t digest,
				    const uint8_t *echo, size_t len,
				    pl_ticket_t *ticket)
{
	uint8_t mac[PL_MAC_BYTES];

	if (!pl_ticket_peek(echo, len, &ticket->agent))
		return PL_TICKET_FORGED;
	code_(key, flow, digest, echo, mac);
	if (!pl_mac_equal(mac, echo + MAC_AT, PL_TICKET_MAC_BYTES))
		return PL_TICKET_FORGED;
	ticket->boot = take_(echo + BOOT_AT, 8);
	ticket->nonce = take_(echo + NONCE_AT, 8);
	ticket->issued_s = (uint32_t)take_(echo + ISSUED_AT, 4);
	if (ticket->agent != own->agent)
		return PL_TICKET_FOREIGN_AGENT;
	if (ticket->boot != own->boot)
		return PL_TICKET_FOREIGN_BOOT;
	if (own->issued_s >= ticket->issued_s + PL_TICKET_LIFE_S)
		return PL_TICKET_EXPIRED;
	return PL_TICKET_VALID;
}
