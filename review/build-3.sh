#!/usr/bin/env bash
# Builds the stand-ins of cases 11 and up into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
gcc -std=gnu11 -O1 -g -Wall -Wextra -o target/review-3/plat3 \
	review/standin-3/plat3.c review/standin-3/cases.c -ljansson -lpthread
