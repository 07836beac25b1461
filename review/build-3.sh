#!/bin/sh
# Builds the stand-ins that the scripts of the third review start into
# target/review-3: the project's own store, the small ones of review/standin-3
# and, for case 14, those of the second review. They need the packages of the
# deploy file only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
build() {
	name=$1
	shift
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-restrict -Wno-unused-parameter \
		-Wno-format-truncation -o "$out/$name" "$@" -lpthread
}
build pl_store test/standin/store/main.c test/standin/store/store.c \
	$(pkg-config --cflags --libs glib-2.0 libmicrohttpd json-c)
for case in new_entry late_beat two_beats; do
	build "$case" review/standin-3/lab.c "review/standin-3/$case.c"
done
build behind review/14/behind.c review/standin-2/*.c \
	$(pkg-config --cflags --libs glib-2.0 json-c)
