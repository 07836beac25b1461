/**
 * @file
 * Configuration of a node: joins the spreading of the document to the
 * platform, to the membership and to the frames.
 */
#ifndef PIMENTOLIFT_DAEMON_NODE_CONFIG_H
#define PIMENTOLIFT_DAEMON_NODE_CONFIG_H

#include "private/node.h"

#include <pimentolift/document.h>
#include <pimentolift/kv.h>

typedef struct pl_node_config pl_node_config_t;

/** Called when another document is in force. */
typedef void (*pl_node_config_changed_t)(void *ctx);

pl_node_config_t *pl_node_config_new(pl_node_t *node,
				     pl_node_config_changed_t changed,
				     void *ctx);
void pl_node_config_delete(pl_node_config_t *config);

/** Starts to look for a document once the membership is joined. */
void pl_node_config_start(pl_node_config_t *config);

/** Document in force, or NULL. */
const pl_document_t *pl_node_config_document(const pl_node_config_t *config);

/** Client of the platform, for the node's other calls. */
pl_kv_t *pl_node_config_platform(pl_node_config_t *config);

/** Whether this member is one of the few that watch the platform. */
bool pl_node_config_is_watcher(const pl_node_config_t *config);

/** Its revision, or 0. */
uint64_t pl_node_config_revision(const pl_node_config_t *config);

/** The state of @p member changed. */
void pl_node_config_member_changed(pl_node_config_t *config,
				   const pl_member_t *member);

/** The member @p from holds @p revision. */
void pl_node_config_peer_revision(pl_node_config_t *config, pl_member_id_t from,
				  uint64_t revision);

/** Frames of the types PL_PEER_CONFIG_*. */
void pl_node_config_frame(pl_node_config_t *config,
			  const pl_peer_frame_t *frame);
void pl_node_config_frame_failed(pl_node_config_t *config,
				 const pl_peer_frame_t *frame);

#endif
