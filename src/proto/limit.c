/** @file Check of a msgpack message before the library unpacks it. */
#include "private/limit_private.h"

#include <string.h>

/** What follows a header byte of 0xc0 to 0xdf. */
typedef struct {
	uint8_t length_bytes; /* of a length that follows */
	uint8_t fixed; /* bytes of content beside that */
	uint8_t elements; /* of a container for each of the length */
	bool content; /* the length counts bytes of content */
} header_t;

static const header_t headers_[32] = {
	[0xc4 & 31] = { 1, 0, 0, true }, /* bin */
	[0xc5 & 31] = { 2, 0, 0, true },
	[0xc6 & 31] = { 4, 0, 0, true },
	[0xc7 & 31] = { 1, 1, 0, true }, /* ext */
	[0xc8 & 31] = { 2, 1, 0, true },
	[0xc9 & 31] = { 4, 1, 0, true },
	[0xca & 31] = { 0, 4, 0, false }, /* float */
	[0xcb & 31] = { 0, 8, 0, false },
	[0xcc & 31] = { 0, 1, 0, false }, /* uint */
	[0xcd & 31] = { 0, 2, 0, false },
	[0xce & 31] = { 0, 4, 0, false },
	[0xcf & 31] = { 0, 8, 0, false },
	[0xd0 & 31] = { 0, 1, 0, false }, /* int */
	[0xd1 & 31] = { 0, 2, 0, false },
	[0xd2 & 31] = { 0, 4, 0, false },
	[0xd3 & 31] = { 0, 8, 0, false },
	[0xd4 & 31] = { 0, 2, 0, false }, /* fixext */
	[0xd5 & 31] = { 0, 3, 0, false },
	[0xd6 & 31] = { 0, 5, 0, false },
	[0xd7 & 31] = { 0, 9, 0, false },
	[0xd8 & 31] = { 0, 17, 0, false },
	[0xd9 & 31] = { 1, 0, 0, true }, /* str */
	[0xda & 31] = { 2, 0, 0, true },
	[0xdb & 31] = { 4, 0, 0, true },
	[0xdc & 31] = { 2, 0, 1, false }, /* array */
	[0xdd & 31] = { 4, 0, 1, false },
	[0xde & 31] = { 2, 0, 2, false }, /* map */
	[0xdf & 31] = { 4, 0, 2, false },
};

/* Steps over one header and its content; false when it is too long. */
static bool step_(const uint8_t **at, const uint8_t *end)
{
	const header_t *header;
	uint8_t first = *(*at)++;
	uint64_t left = (uint64_t)(end - *at);
	uint64_t length = 0;

	if (first < 0x80 || first >= 0xe0)
		return true;
	if (first < 0xa0) /* short map below 0x90, short array above */
		return (first & 15U) * (first < 0x90 ? 2U : 1U) <= left;
	if (first < 0xc0) {
		length = first & 31U;
		*at += length <= left ? length : 0;
		return length <= left;
	}
	header = &headers_[first & 31U];
	if (header->length_bytes + header->fixed > left)
		return false;
	for (unsigned int i = 0; i < header->length_bytes; i++)
		length = length << 8 | *(*at)++;
	*at += header->fixed;
	left -= header->length_bytes + header->fixed;
	if (length * header->elements > left ||
	    (header->content && length > left))
		return false;
	*at += header->content ? length : 0;
	return true;
}

bool pl_limit_check_(const uint8_t *buf, size_t len)
{
	const uint8_t *at = buf;
	const uint8_t *end = buf + len;

	while (at < end) {
		if (!step_(&at, end))
			return false;
	}
	return true;
}
