#!/bin/sh
# Builds what the scripts of this review start, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7; do
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -I. \
		-o "target/review-2/case-$n" "review/$n/case.c" \
		tests/platform/harness.c tests/platform/fakeplat.c \
		plat/httpmsg.c plat/status_line.c base/*.c \
		$(pkg-config --cflags --libs glib-2.0 jansson libevent \
			libevent_pthreads) \
		-lhttp_parser -lxxhash -lz -linih -lpthread -lm
done
