#!/usr/bin/env bash
# Runs this case, with TROUBLE=0 without its disruption.  Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run.
TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../run-case.sh" 5 "$TROUBLE"
