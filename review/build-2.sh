#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
read -r -a flags <<<"$(pkg-config --cflags --libs glib-2.0 json-c)"
for scenario in review/*/scenario.c; do
	name=$(basename "$(dirname "$scenario")")
	cc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE \
		-o "target/review-2/case-$name" "$scenario" \
		review/standin-2/*.c "${flags[@]}" -lpthread
done
