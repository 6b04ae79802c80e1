#!/bin/sh
# Builds the stand-ins and drivers of the cases 4 to 8 in build/review-2/, with the libraries that the
# daemon itself needs. The daemon comes from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags=$(pkg-config --cflags --libs libevent glib-2.0 json-glib-1.0)
shared="review/stand2/common.c review/stand2/store.c review/stand2/link.c
	review/stand2/world.c review/stand2/drive.c"
for source in review/stand2/case*.c; do
	name=$(basename "$source" .c)
	${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Wno-unused-parameter \
		-o "$out/$name" "$source" $shared $flags -lpthread
done
