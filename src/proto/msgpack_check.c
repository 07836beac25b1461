/**
 * @file
 * Scan of the headers in msgpack data.
 */
#include "private/msgpack_check.h"

#define FIXINT_END 0x80
#define FIXMAP_END 0x90
#define FIXARRAY_END 0xa0
#define FIXSTR_END 0xc0
#define NEGATIVE_FIXINT 0xe0
#define FIX_COUNT_MASK 0x0f
#define FIX_LENGTH_MASK 0x1f

/* Layout of what follows a header byte. */
typedef struct {
	uint8_t size_bytes; /**< length of the count field, in bytes */
	uint8_t fixed; /**< bytes that follow regardless of the count */
	uint8_t per_count; /**< minimum bytes per unit of the count */
	bool elements; /**< the count is of elements, not of bytes */
} header_t;

/* Headers 0xc0 to 0xdf. */
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

/* Layout for the header byte @p first; @p count is set if @p first holds it. */
static header_t get_header_(uint8_t first, uint64_t *count)
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

bool pl_msgpack_counts_valid(const uint8_t *buf, size_t len)
{
	uint64_t min_element_bytes = 0;
	size_t pos = 0;

	while (pos < len) {
		uint64_t count;
		header_t header = get_header_(buf[pos++], &count);

		if (len - pos < (size_t)header.size_bytes + header.fixed)
			return false;
		for (uint8_t i = 0; i < header.size_bytes; i++)
			count = count << 8 | buf[pos++];
		pos += header.fixed;
		if (count * header.per_count > len - pos)
			return false;
		if (!header.elements)
			pos += (size_t)count;
		else
			min_element_bytes += count * header.per_count;
		/* each element takes at least one byte */
		if (min_element_bytes > len)
			return false;
	}
	return true;
}
