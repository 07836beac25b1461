/**
 * @file
 * Message layer towards callers (RFC 7252 section 4): deduplication by caller
 * and message ID, empty ACKs, separate responses with retransmission.
 */
#ifndef PIMENTOLIFT_AGENT_EXCHANGE_H
#define PIMENTOLIFT_AGENT_EXCHANGE_H

#include <pimentolift/agent.h>
#include <pimentolift/list.h>

/** Time for which a message ID is remembered, RFC 7252 section 4.8.2. */
#define PL_EXCHANGE_LIFETIME_MS 247000
/** Silence after which a CON gets an empty ACK. */
#define PL_EXCHANGE_ACK_DELAY_MS 1000
/** ACK_TIMEOUT and MAX_RETRANSMIT, RFC 7252 section 4.8. */
#define PL_EXCHANGE_ACK_TIMEOUT_MS 2000
#define PL_EXCHANGE_MAX_RETRANSMIT 4
/** Message IDs remembered at once. */
#define PL_EXCHANGE_MAX 16384
/** Bytes of sent responses remembered at once. */
#define PL_EXCHANGE_BYTES_MAX (8U * 1024 * 1024)

/** Where a request's message stands. */
typedef enum {
	PL_EXCHANGE_OPEN, /**< nothing was sent */
	PL_EXCHANGE_ACKED, /**< the empty ACK was sent */
	PL_EXCHANGE_SEPARATE, /**< a CON response awaits its ACK */
	PL_EXCHANGE_DONE, /**< nothing more will be sent unasked */
	PL_EXCHANGE_STATE_COUNT,
} pl_exchange_state_t;

/** Names of @ref pl_exchange_state_t, in its order. */
extern const char *const pl_exchange_state_names[];

/** A message ID of one caller at one service address; no padding. */
typedef struct {
	pl_addr_t caller;
	pl_addr_t address;
	uint16_t mid;
	uint16_t zero;
} pl_exchange_key_t;

typedef struct pl_exchange_table pl_exchange_table_t;

/** One request message and the response to it. */
typedef struct {
	pl_exchange_table_t *table;
	pl_exchange_key_t key;
	pl_exchange_key_t reply_key; /**< of the separate response */
	pl_list_t age; /**< done exchanges, oldest first */
	pl_list_t waiting; /**< on the list of a request */
	pl_timer_t timer;
	pl_exchange_state_t state;
	bool separate_known; /**< reply_key is in the table */
	pl_flow_t flow;
	pl_member_id_t entry;
	pl_coap_type_t type;
	uint8_t token_len;
	uint8_t token[PL_COAP_TOKEN_MAX];
	uint8_t no_response;
	pl_coap_block_t block1;
	pl_coap_block_t block2;
	unsigned int retransmits;
	uint32_t timeout_ms;
	pl_ms_t opened_at;
	uint8_t *pdu; /**< last response, NULL when none is kept */
	size_t pdu_len;
} pl_exchange_t;

/** Sends a datagram to the caller of @p flow. */
typedef void (*pl_exchange_send_t)(void *ctx, pl_member_id_t entry,
				   const pl_flow_t *flow, const uint8_t *pdu,
				   size_t pdu_len);
typedef uint64_t (*pl_exchange_random_t)(void *ctx);

pl_exchange_table_t *pl_exchange_table_new(pl_timer_service_t *timers,
					   pl_exchange_send_t send,
					   pl_exchange_random_t random,
					   void *ctx);
void pl_exchange_table_delete(pl_exchange_table_t *table);

/**
 * Takes in a request message. Returns NULL when it is a duplicate, which has
 * been served, or when there is no room, which leaves it to the caller's
 * retransmission.
 */
pl_exchange_t *pl_exchange_open(pl_exchange_table_t *table,
				const pl_forward_t *forward,
				const pl_coap_msg_t *msg);

/** Whether @p msg was seen before; if so it is served as a duplicate. */
bool pl_exchange_duplicate(pl_exchange_table_t *table,
			   const pl_forward_t *forward,
			   const pl_coap_msg_t *msg);

/** Starts the response to @p exchange in @p buf. */
void pl_exchange_write_start(pl_exchange_t *exchange, pl_coap_writer_t *writer,
			     uint8_t *buf, size_t cap, uint8_t code);

/**
 * Sends what @p writer holds and ends the exchange, but for the ACK of a
 * separate response. @p keep tells whether a duplicate must get the same.
 */
void pl_exchange_send(pl_exchange_t *exchange, pl_coap_writer_t *writer);

/** Responds with a code, a Max-Age (-1 for none) and a diagnostic text. */
void pl_exchange_respond(pl_exchange_t *exchange, uint8_t code,
			 int64_t max_age_s, const char *text);

/** Ends the exchange without a response; a CON gets its empty ACK. */
void pl_exchange_close(pl_exchange_t *exchange);

/** An empty ACK or RST; false when it answers nothing that was sent here. */
bool pl_exchange_acknowledge(pl_exchange_table_t *table, const pl_flow_t *flow,
			     uint16_t mid);

/** Forgets message IDs whose lifetime is over. */
void pl_exchange_sweep(pl_exchange_table_t *table);

/** Exchanges that are not done. */
size_t pl_exchange_pending(const pl_exchange_table_t *table);

/** Message IDs remembered. */
size_t pl_exchange_count(const pl_exchange_table_t *table);

#endif
