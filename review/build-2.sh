#!/usr/bin/env bash
# Builds the stand-ins of the second review, one program for each script case.
# Needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=$(pkg-config --cflags glib-2.0 gio-2.0 json-glib-1.0)
libs=$(pkg-config --libs glib-2.0 gio-2.0 json-glib-1.0)
for n in 6 7 8 9 10 beyond-2/fillers beyond-2/mixed; do
	c=review/$n/case.c
	[ -e "$c" ] || continue
	# shellcheck disable=SC2086
	gcc -O2 -g -Wall -Wextra -Ireview/standin-2 $flags \
		-o "$out/case-$(basename "$n")" "$c" \
		review/standin-2/platform.c $libs -lpthread
done
