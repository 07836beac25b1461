#!/bin/sh
# Builds the stand-ins that the scripts of the third review start: the project's
# own store and the small ones of review/standin-3. They need the packages of
# the deploy file only.
set -eu
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
cc=${CC:-cc}
$cc -std=gnu11 -D_GNU_SOURCE -O1 -g -o "$out/pl_store" \
	test/standin/store/main.c test/standin/store/store.c \
	$(pkg-config --cflags --libs glib-2.0 libmicrohttpd json-c) -lpthread
for case in late_beat unregistered new_entry; do
	$cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-restrict \
		-Wno-format-truncation -o "$out/$case" \
		review/standin-3/lab.c "review/standin-3/$case.c"
done
