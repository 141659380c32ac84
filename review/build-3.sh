#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15, from the
# repository's root: the project's own of tests/support, and those in
# review/standin-3.
set -eu
cd "$(dirname "$0")/.."
support="http process queuefleet queuegroup queuehttp queuestore"
objects=""
for name in $support; do
	objects="$objects build/tests/support/$name.o"
done
make -s -j"$(nproc)" build/libbulrushpost.a $objects
mkdir -p build/review-3
packages="glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 libprotobuf-c yaml-0.1 json-glib-1.0"
for source in review/standin-3/*.c; do
	name="$(basename "$source" .c)"
	case "$name" in scene | workers) continue ;; esac
	cc -std=c11 -D_GNU_SOURCE -Wall -Wextra -O2 -g -Iinclude -Isrc -I. -Itests \
		-Ireview $(pkg-config --cflags $packages) \
		-o "build/review-3/$name" "$source" review/standin-3/scene.c \
		review/standin-3/workers.c \
		$objects build/libbulrushpost.a $(pkg-config --libs $packages) \
		-largtable2 -lm
done
