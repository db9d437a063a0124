#!/usr/bin/env bash
# Runs this case; review/run-case.sh says how.
exec "$(dirname "$0")/../run-case.sh" 5
