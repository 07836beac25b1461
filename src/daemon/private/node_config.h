/**
 * @file
 * Configuration of a node: connects the distribution of the document
 * (pl_config_sync_t) with the platform's store, the membership and the frames.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_CONFIG_H
#define PIMENTOLIFT_DAEMON_NODE_CONFIG_H

#include "private/node.h"

#include <pimentolift/document.h>
#include <pimentolift/kv.h>

typedef struct pl_node_config pl_node_config_t;

/** Called when a new document has come into force. */
typedef void (*pl_node_config_changed_t)(void *ctx);

pl_node_config_t *pl_node_config_new(pl_node_t *node,
				     pl_node_config_changed_t changed,
				     void *ctx);
void pl_node_config_delete(pl_node_config_t *config);

/** Starts to fetch a document once the node has joined the membership. */
void pl_node_config_start(pl_node_config_t *config);

/** Document in force, or NULL. */
const pl_document_t *pl_node_config_document(const pl_node_config_t *config);

/** Client of the platform's store, for other users in the node. */
pl_kv_t *pl_node_config_platform(pl_node_config_t *config);

/** Whether this member is one of the few that watch the document in the
 * platform's store. */
bool pl_node_config_is_watcher(const pl_node_config_t *config);

/** The store was restored from an older copy and is in @p generation. */
void pl_node_config_store_restored(pl_node_config_t *config,
				   uint64_t generation);

/** Revision of the document in force; 0 if there is none. */
uint64_t pl_node_config_revision(const pl_node_config_t *config);

void pl_node_config_member_changed(pl_node_config_t *config,
				   const pl_member_t *member);

/** The member @p from reported that it holds @p revision. */
void pl_node_config_peer_revision(pl_node_config_t *config, pl_member_id_t from,
				  uint64_t revision);

/** Handles frames of the types PL_PEER_CONFIG_*. */
void pl_node_config_frame(pl_node_config_t *config,
			  const pl_peer_frame_t *frame);
void pl_node_config_frame_failed(pl_node_config_t *config,
				 const pl_peer_frame_t *frame);

#endif
