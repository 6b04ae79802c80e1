#!/bin/bash
# Starts stand-ins and two daemons on loopback, serves statements through psql, fails a primary, stops gracefully.
# Prints what happened; exits with 0 only if each step held. Needs `make all` first; `make demo` does both.
set -u
BIN=${BIN:-build}
DIR=$(mktemp -d)
PIDS=()
DAEMONS=()
FAILED=0

free_ports() { # N: that many free ports, one a line
	perl -MIO::Socket::INET -e 'my @s = map { IO::Socket::INET->new(LocalAddr => "127.0.0.1", LocalPort => 0, Proto => "tcp", Listen => 1) } 1..shift; print $_->sockport, "\n" for @s' "$1"
}

step() { # text, then a command that must hold
	local text=$1
	shift
	if "$@"; then echo "ok    $text"; else echo "FAIL  $text"; FAILED=1; fi
}

start() { "$@" 2>>"$DIR/stderr" & PIDS+=($!); }

cleanup() {
	for p in "${PIDS[@]}"; do kill -9 "$p" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$DIR"
}
trap cleanup EXIT

mapfile -t PORT < <(free_ports 8)
PLATFORM=127.0.0.1:${PORT[0]}
export MANGOLOOM_PLATFORM=$PLATFORM

cat > "$DIR/vms.json" <<EOF
[{"name":"tunis-1","address":"127.0.0.1:${PORT[5]}","data_center":"tunis","state":"live"},
 {"name":"sfax-1","address":"127.0.0.1:${PORT[7]}","data_center":"sfax","state":"live"}]
EOF
cat > "$DIR/pools.toml" <<EOF
[[pool]]
name = "orders"
confirm = "replica"
[[pool.member]]
name = "orders-a"
address = "127.0.0.1:${PORT[1]}"
data_center = "tunis"
[[pool.member]]
name = "orders-b"
address = "127.0.0.1:${PORT[2]}"
data_center = "sfax"
[[pool.member]]
name = "orders-c"
address = "127.0.0.1:${PORT[3]}"
data_center = "bizerte"
EOF
cat > "$DIR/routes.toml" <<EOF
[[team]]
name = "clerks"
rate = 1000
burst = 1000
[[route]]
name = "orders"
kind = "order"
pool = "orders"
[[route]]
name = "catalogue"
kind = "page"
pool = "orders"
write = false
max_age_ms = 5000
EOF

daemon() { # name, data center, caller port, rpc port
	cat > "$DIR/$1.toml" <<EOF
[vm]
name = "$1"
data_center = "$2"
caller_address = "127.0.0.1:$3"
rpc_address = "127.0.0.1:$4"
[platform]
endpoints = ["$PLATFORM"]
[rpc]
secret = "demo"
[log]
path = "$DIR/$1.log"
EOF
	start "$BIN/mangoloomd" --settings "$DIR/$1.toml"
	DAEMONS+=($!)
}

start "$BIN/standin-platform" --port "${PORT[0]}" --vms "$DIR/vms.json"
start "$BIN/standin-db" --name orders-a --address "127.0.0.1:${PORT[1]}" --primary
PRIMARY=$!
start "$BIN/standin-db" --name orders-b --address "127.0.0.1:${PORT[2]}" --follow orders-a --upstream "127.0.0.1:${PORT[1]}" --lag-ms 200
start "$BIN/standin-db" --name orders-c --address "127.0.0.1:${PORT[3]}" --follow orders-a --upstream "127.0.0.1:${PORT[1]}" --lag-ms 200
daemon tunis-1 tunis "${PORT[4]}" "${PORT[5]}"
daemon sfax-1 sfax "${PORT[6]}" "${PORT[7]}"
echo demo > "$DIR/secret"

ml() { "$BIN/mangoloom" --secret-file "$DIR/secret" "$@"; }
sql() { # port, kind, token, statement
	PGOPTIONS="-c mangoloom.kind=$2 -c mangoloom.session=$3" PGPASSWORD=$KEY \
		psql -X -q -t -A -h 127.0.0.1 -p "$1" -U clerks -d shop -c "$4" 2>&1
}
ml_retry() { # until the platform and the daemons are up
	for _ in $(seq 100); do ml "$@" && return 0; sleep 0.1; done
	return 1
}

ml_retry apply --routes "$DIR/routes.toml" --pools "$DIR/pools.toml" > "$DIR/apply.out" 2>/dev/null
step "the tables are in force: $(cat "$DIR/apply.out")" test -s "$DIR/apply.out"
KEY=$(ml key give clerks)
step "a key was given to the team clerks" test -n "$KEY"

order() { sql "$1" order "" "INSERT INTO orders VALUES ('$2', '$3')"; }
# The first statement also waits for connections to be opened.
order "${PORT[4]}" warm up > /dev/null
OUT=$(PGOPTIONS="-c mangoloom.kind=order" PGPASSWORD=$KEY psql -X -q -t -A -h 127.0.0.1 -p "${PORT[4]}" -U clerks -d shop \
	-c "INSERT INTO orders VALUES ('o-1', '12 clippers')" -c "SHOW mangoloom.session" 2>&1)
step "an order was written through tunis-1; session token: $OUT" test "${OUT#v1:}" != "$OUT"
GOT=$(sql "${PORT[6]}" page "$OUT" "SELECT value FROM orders WHERE key = 'o-1'")
step "read back through sfax-1 with the token: $GOT" test "$GOT" = "12 clippers"
REAL=$KEY
KEY=mlk_000000000000_0000
BAD=$(order "${PORT[4]}" o-2 x)
KEY=$REAL
step "a wrong key is refused: $(echo "$BAD" | head -1 | sed 's/.*FATAL/FATAL/')" grep -q "not a key" <<< "$BAD"

{ kill -9 "$PRIMARY"; wait "$PRIMARY"; } 2>/dev/null
T0=$(date +%s%N)
OUT=$(order "${PORT[6]}" o-3 "2 chairs")
T1=$(date +%s%N)
step "the primary was killed; the next order was acknowledged after $(((T1 - T0) / 1000000)) ms" test -z "$OUT"
GOT=$(sql "${PORT[4]}" order "" "SELECT value FROM orders WHERE key = 'o-1'")
step "the first order is still there: $GOT" test "$GOT" = "12 clippers"
GOT=$(sql "${PORT[4]}" order "" "SELECT value FROM orders WHERE key = 'o-3'")
step "and so is the second: $GOT" test "$GOT" = "2 chairs"
ml status

for p in "${DAEMONS[@]}"; do kill -TERM "$p"; done
CLEAN=1
for p in "${DAEMONS[@]}"; do wait "$p" || CLEAN=0; done
step "both daemons stopped gracefully" test "$CLEAN" = 1
if [ "$FAILED" != 0 ]; then tail -5 "$DIR"/*.log "$DIR/stderr"; fi
exit $FAILED
