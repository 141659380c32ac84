#!/bin/sh
# Builds the stand-ins of the cases into review/build/. Needs what the build of
# the deploy file needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/build
flags=$(pkg-config --cflags --libs glib-2.0 json-glib-1.0)
build() {
	# shellcheck disable=SC2086
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Ireview/standin \
		"$1/case.c" review/standin/*.c -o "review/build/$2" $flags
}
for n in 1 2 3 4 5; do
	[ ! -f "review/$n/case.c" ] || build "review/$n" "case$n"
done
for name in large-job interval; do
	build "review/beyond/$name" "$name"
done
