/**
 * @file
 * Walk over the headers of msgpack data.
 */
#include "private/bounded.h"

#define FIXINT_END 0x80
#define FIXMAP_END 0x90
#define FIXARRAY_END 0xa0
#define FIXSTR_END 0xc0
#define NEGATIVE_FIXINT 0xe0
#define FIX_COUNT_MASK 0x0f
#define FIX_LENGTH_MASK 0x1f

/* What follows a header from 0xc0 to 0xdf. */
typedef struct {
	uint8_t size_bytes; /**< length of the count, in bytes */
	uint8_t fixed; /**< bytes that follow in any case */
	uint8_t per_count; /**< least bytes per counted element */
	bool elements; /**< the counted are elements, not bytes */
} header_t;

static const header_t headers_[] = {
	[0x04] = { 1, 0, 1, false },  [0x05] = { 2, 0, 1, false },
	[0x06] = { 4, 0, 1, false },  [0x07] = { 1, 1, 1, false },
	[0x08] = { 2, 1, 1, false },  [0x09] = { 4, 1, 1, false },
	[0x0a] = { 0, 4, 0, false },  [0x0b] = { 0, 8, 0, false },
	[0x0c] = { 0, 1, 0, false },  [0x0d] = { 0, 2, 0, false },
	[0x0e] = { 0, 4, 0, false },  [0x0f] = { 0, 8, 0, false },
	[0x10] = { 0, 1, 0, false },  [0x11] = { 0, 2, 0, false },
	[0x12] = { 0, 4, 0, false },  [0x13] = { 0, 8, 0, false },
	[0x14] = { 0, 2, 0, false },  [0x15] = { 0, 3, 0, false },
	[0x16] = { 0, 5, 0, false },  [0x17] = { 0, 9, 0, false },
	[0x18] = { 0, 17, 0, false }, [0x19] = { 1, 0, 1, false },
	[0x1a] = { 2, 0, 1, false },  [0x1b] = { 4, 0, 1, false },
	[0x1c] = { 2, 0, 1, true },   [0x1d] = { 4, 0, 1, true },
	[0x1e] = { 2, 0, 2, true },   [0x1f] = { 4, 0, 2, true },
};

/* Header of the byte @p first; @p count is set for the short forms. */
static header_t header_of_(uint8_t first, uint64_t *count)
{
	const header_t none = { 0, 0, 0, false };
	const header_t bytes = { 0, 0, 1, false };
	const header_t array = { 0, 0, 1, true };
	const header_t map = { 0, 0, 2, true };

	*count = 0;
	if (first < FIXINT_END || first >= NEGATIVE_FIXINT)
		return none;
	if (first >= FIXSTR_END)
		return headers_[first - FIXSTR_END];
	if (first >= FIXARRAY_END) {
		*count = first & FIX_LENGTH_MASK;
		return bytes;
	}
	*count = first & FIX_COUNT_MASK;
	return first >= FIXMAP_END ? array : map;
}

bool pl_msgpack_bounded(const uint8_t *buf, size_t len)
{
	uint64_t claimed = 0;
	size_t at = 0;

	while (at < len) {
		uint64_t count;
		header_t header = header_of_(buf[at++], &count);

		if (len - at < (size_t)header.size_bytes + header.fixed)
			return false;
		for (uint8_t i = 0; i < header.size_bytes; i++)
			count = count << 8 | buf[at++];
		at += header.fixed;
		if (count * header.per_count > len - at)
			return false;
		if (!header.elements)
			at += (size_t)count;
		else
			claimed += count * header.per_count;
		/* every element takes a byte at least */
		if (claimed > len)
			return false;
	}
	return true;
}
