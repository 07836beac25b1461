#!/usr/bin/env bash
# run-case-2.sh N: runs a case of the second review; see review/N/claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
cd "$(dirname "$0")/.."
case=$1
program=target/review-2/case-$case
[ -x "$program" ] && [ -x target/src/daemon/pimentoliftd ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=1 118 "$program" "$folder" "review/$case/record.txt"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
