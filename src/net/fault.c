/**
 * @file
 * Thread-safe list of cut links.
 */
#include <pimentolift/fault.h>

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

static pthread_mutex_t lock_ = PTHREAD_MUTEX_INITIALIZER;
static atomic_size_t count_;
static pl_member_id_t *members_;

void pl_fault_cut(const pl_member_id_t *members, size_t count)
{
	pthread_mutex_lock(&lock_);
	g_free(members_);
	members_ = g_memdup2(members, count * sizeof(*members));
	atomic_store(&count_, count);
	pthread_mutex_unlock(&lock_);
}

bool pl_fault_is_cut(pl_member_id_t member)
{
	bool found = false;

	if (atomic_load_explicit(&count_, memory_order_relaxed) == 0)
		return false;
	pthread_mutex_lock(&lock_);
	for (size_t i = 0; i < atomic_load(&count_) && !found; i++)
		found = members_[i] == member;
	pthread_mutex_unlock(&lock_);
	return found;
}

bool pl_fault_is_cut_addr(const pl_addr_t *addr)
{
	return addr->family == PL_ADDR_IPV4 &&
	       pl_fault_is_cut(pl_member_id_from_addr(addr));
}
