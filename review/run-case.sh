#!/bin/sh
# Runs the program of case $1: exit status 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -u
review="$(cd "$(dirname "$0")" && pwd)"
root="$(dirname "$review")"
program="$review/bin/case-$1"
export DAEMON="$root/target/src/daemon/pimentoliftd"
export RECORD="$review/$1/record.txt"
[ -x "$program" ] && [ -x "$DAEMON" ] || exit 2
cd "$root" || exit 2
timeout -k 2 110 "$program"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
