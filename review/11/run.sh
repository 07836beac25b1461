#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$(dirname "$0")/../run-case-3.sh" "$(dirname "$0")" new_entry
