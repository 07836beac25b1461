/**
 * @file
 * Message layer towards callers (RFC 7252 section 4): deduplication by caller
 * and message ID, empty ACKs, separate responses with retransmission.
 */
#ifndef PIMENTOLIFT_AGENT_EXCHANGE_H
#define PIMENTOLIFT_AGENT_EXCHANGE_H

#include <pimentolift/agent.h>
#include <pimentolift/list.h>

/** EXCHANGE_LIFETIME, RFC 7252 section 4.8.2: retention time of message IDs. */
#define PL_EXCHANGE_LIFETIME_MS 247000
/** Time without a response after which a CON gets an empty ACK. */
#define PL_EXCHANGE_ACK_DELAY_MS 1000
/** ACK_TIMEOUT, RFC 7252 section 4.8. */
#define PL_EXCHANGE_ACK_TIMEOUT_MS 2000
/** MAX_RETRANSMIT, RFC 7252 section 4.8. */
#define PL_EXCHANGE_MAX_RETRANSMIT 4
/** Maximum number of message IDs in the table. */
#define PL_EXCHANGE_MAX 16384
/** Limit for the stored responses of done exchanges, in bytes. */
#define PL_EXCHANGE_BYTES_MAX (8U * 1024 * 1024)

typedef enum {
	PL_EXCHANGE_OPEN, /**< nothing was sent */
	PL_EXCHANGE_ACKED, /**< an empty ACK was sent, the response was not */
	PL_EXCHANGE_SEPARATE, /**< a CON response awaits its ACK */
	PL_EXCHANGE_DONE, /**< only duplicates are served */
	PL_EXCHANGE_STATE_COUNT,
} pl_exchange_state_t;

/** Names of the values of @ref pl_exchange_state_t. */
extern const char *const pl_exchange_state_names[];

/**
 * A message ID of one caller at one service address. The key is hashed and
 * compared as bytes, so the padding is an explicit member that is always 0.
 */
typedef struct {
	pl_addr_t caller;
	pl_addr_t address;
	uint16_t mid;
	uint16_t padding;
} pl_exchange_key_t;

typedef struct pl_exchange_table pl_exchange_table_t;

/** One request message and the response to it. */
typedef struct {
	pl_exchange_table_t *table;
	pl_exchange_key_t key;
	/** Message ID of the response, unless it is piggybacked on the ACK. */
	pl_exchange_key_t response_key;
	pl_list_t age_link; /**< in the list of done exchanges, oldest first */
	pl_list_t waiter_link; /**< in the waiters of a request */
	pl_timer_t timer;
	pl_exchange_state_t state;
	bool response_key_indexed; /**< found by response_key in the table */
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
	uint8_t *response_pdu; /**< the response, NULL when none was sent */
	size_t response_pdu_len;
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
 * Opens an exchange for a request message. Returns NULL if the message is a
 * duplicate (it has been answered again) or if the table is full (the message
 * is dropped, and the CoAP client retransmits it).
 */
pl_exchange_t *pl_exchange_open(pl_exchange_table_t *table,
				const pl_forward_t *forward,
				const pl_coap_msg_t *msg);

/**
 * Serves @p msg if it is a duplicate: sends the response or the empty ACK
 * again. Returns false when @p msg is new.
 */
bool pl_exchange_serve_duplicate(pl_exchange_table_t *table,
				 const pl_forward_t *forward,
				 const pl_coap_msg_t *msg);

/** Starts the response to @p exchange in @p buf. */
void pl_exchange_write_start(pl_exchange_t *exchange, pl_coap_writer_t *writer,
			     uint8_t *buf, size_t cap, uint8_t code);

/**
 * Sends the response in @p writer and finishes the exchange. A separate
 * response is retransmitted until it is acknowledged.
 */
void pl_exchange_send(pl_exchange_t *exchange, pl_coap_writer_t *writer);

/**
 * Responds with a code, a Max-Age (-1 for none) and a diagnostic payload
 * (NULL for none).
 */
void pl_exchange_respond(pl_exchange_t *exchange, uint8_t code,
			 int64_t max_age_s, const char *text);

/** Finishes the exchange without a response; a CON gets an empty ACK. */
void pl_exchange_close(pl_exchange_t *exchange);

/**
 * Processes an empty ACK or RST. Returns false when it matches no separate
 * response of this table.
 */
bool pl_exchange_handle_ack_or_rst(pl_exchange_table_t *table,
				   const pl_flow_t *flow, uint16_t mid);

/** Removes message IDs older than PL_EXCHANGE_LIFETIME_MS. */
void pl_exchange_sweep(pl_exchange_table_t *table);

/** Number of exchanges that are not done. */
size_t pl_exchange_pending(const pl_exchange_table_t *table);

/** Number of message IDs in the table. */
size_t pl_exchange_count(const pl_exchange_table_t *table);

#endif
