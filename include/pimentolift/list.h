/**
 * @file
 * @defgroup list Intrusive lists
 *
 * A circular doubly linked list whose links are embedded in the elements, so
 * that linking does not allocate memory. The head is a link that belongs to no
 * element.
 *
 * @code
 * typedef struct {
 *	pl_list_t link;
 *	int value;
 * } item_t;
 *
 * pl_list_for_each (node, &head)
 *	use(PL_CONTAINER_OF(node, item_t, link)->value);
 * @endcode
 * @{
 */
#ifndef PIMENTOLIFT_LIST_H
#define PIMENTOLIFT_LIST_H

#include <stdbool.h>
#include <stddef.h>

/** A link in an element, or the head of a list. */
typedef struct pl_list {
	struct pl_list *next;
	struct pl_list *prev;
} pl_list_t;

/** The structure that embeds the link @p ptr as its member @p member. */
#define PL_CONTAINER_OF(ptr, type, member) \
	((type *)((char *)(ptr)-offsetof(type, member)))

/** Iterates over the links; the current link must not be removed. */
#define pl_list_for_each(node, head) \
	for (pl_list_t *node = (head)->next; node != (head); node = node->next)

/** Iterates over the links; the current link may be removed. */
#define pl_list_for_each_safe(node, head)                               \
	for (pl_list_t *node = (head)->next, *node##_next = node->next; \
	     node != (head); node = node##_next, node##_next = node->next)

/** Initializes @p head as an empty list or as a link that is on no list. */
static inline void pl_list_init(pl_list_t *head)
{
	head->next = head;
	head->prev = head;
}

/** Whether the list @p head is empty or the link @p head is on no list. */
static inline bool pl_list_empty(const pl_list_t *head)
{
	return head->next == head;
}

/** Inserts @p node before @p position. */
static inline void pl_list_insert_before(pl_list_t *position, pl_list_t *node)
{
	node->prev = position->prev;
	node->next = position;
	position->prev->next = node;
	position->prev = node;
}

/** Appends @p node to the list @p head. */
static inline void pl_list_append(pl_list_t *head, pl_list_t *node)
{
	pl_list_insert_before(head, node);
}

/** Removes @p node from its list; no effect when it is on no list. */
static inline void pl_list_remove(pl_list_t *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	pl_list_init(node);
}

/** First link, or NULL when the list is empty. */
static inline pl_list_t *pl_list_first(const pl_list_t *head)
{
	return head->next == head ? NULL : head->next;
}

#endif
/** @} */
