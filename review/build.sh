#!/usr/bin/env bash
# Builds the program of each case, with its stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
read -r -a flags < <(pkg-config --cflags --libs glib-2.0 jansson)
for c in review/[1-5]/case.c; do
	n=$(basename "$(dirname "$c")")
	cc -std=gnu11 -O2 -g -Wall -Wextra \
	    -Wno-missing-field-initializers -D_GNU_SOURCE -I. \
	    -o "target/review/case-$n" "$c" review/standin/*.c \
	    "${flags[@]}" -pthread
done
