#!/bin/sh
# usage: run-case-3.sh FOLDER PROGRAM
# Runs a script case of the third review; record.txt goes to its folder. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
LAB_DAEMON=$root/target/src/daemon/pimentoliftd
LAB_STORE=$root/target/review-3/pl_store
program=$root/target/review-3/$2
for file in "$LAB_DAEMON" "$LAB_STORE" "$program"; do
	if [ ! -x "$file" ]; then
		echo "missing: ${file#"$root"/}" >&2
		exit 2
	fi
done
LAB_TMP=$(mktemp -d) || exit 2
trap 'rm -rf "$LAB_TMP"' EXIT
export LAB_DAEMON LAB_STORE LAB_TMP
export TROUBLE="${TROUBLE:-1}"
"$program" "$folder"
code=$?
[ -n "${LAB_KEEP:-}" ] && cp "$LAB_TMP"/*.log "$LAB_KEEP"/
[ "$code" -le 2 ] || code=2
exit "$code"
