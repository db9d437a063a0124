#!/usr/bin/env bash
# A runner fails payments with 503 after it has run them.
cd "$(dirname "$0")" || exit 2
exec ../run-case-3.sh refused "$PWD"
