#!/bin/sh
# Builds the stand-ins and the programs of the cases into review/bin/. Needs the
# packages of the deploy file only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
flags="-std=gnu11 -O2 -g -Wall -Wextra -Wno-restrict -Istandin"
for case in [1-5]/case.c; do
	[ -f "$case" ] || continue
	# shellcheck disable=SC2046,SC2086
	${CC:-cc} $flags -o "bin/case-${case%/case.c}" "$case" \
		standin/world.c standin/store.c \
		$(pkg-config --cflags --libs json-c) -pthread
done
