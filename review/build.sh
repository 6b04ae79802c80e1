#!/bin/sh
# Builds the stand-ins and clients of the cases into review/bin. Needs the packages that deploy/system.toml lists.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags="-std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-unused-parameter"
packages="glib-2.0 json-glib-1.0 libevent"
for n in 1 2 3; do
	${CC:-gcc} $flags -Ireview/lib $(pkg-config --cflags $packages) review/lib/rig.c review/lib/rig-store.c \
		review/lib/rig-member.c review/lib/rig-client.c review/lib/case-$n.c -o review/bin/case-$n \
		$(pkg-config --libs $packages)
done
