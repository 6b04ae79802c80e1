#!/bin/bash
# Runs one of the users' deployments on loopback: stand-ins, daemons, and mangoload with faults by time; draws a plot.
# Usage: experiment.sh maison|llegadas none|kill|freeze [OUTPUT-FOLDER]. Needs `make all`. Ends in under 60 s.
set -u
BIN=${BIN:-build}
WHO=${1:-maison}
FAULT=${2:-none}
OUT=${3:-}
DIR=$(mktemp -d)
PIDS=()
cleanup() {
	for p in "${PIDS[@]}"; do kill -CONT "$p" 2>/dev/null; kill -9 "$p" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$DIR"
}
trap cleanup EXIT
case $WHO in
maison) DCS=(tunis sfax bizerte); VMS=6; GROUPS_N=3; CONNS=16; POOL=orders ;;
llegadas) DCS=(puerto aeropuerto frontera central); VMS=8; GROUPS_N=3; CONNS=32; POOL=arrivals ;;
*) echo "experiment.sh: found $WHO; allowed: maison or llegadas" >&2; exit 2 ;;
esac
N=${#DCS[@]}
mapfile -t PORT < <(perl -MIO::Socket::INET -e 'my @s = map { IO::Socket::INET->new(LocalAddr => "127.0.0.1", LocalPort => 0, Proto => "tcp", Listen => 1) } 1..shift; print $_->sockport, "\n" for @s' $((1 + GROUPS_N * 3 + VMS * 2)))
NEXT=0
take() { TAKEN=${PORT[$NEXT]}; NEXT=$((NEXT + 1)); }
take; PLATFORM=127.0.0.1:$TAKEN
export MANGOLOOM_PLATFORM=$PLATFORM
echo experiment > "$DIR/secret"

# Pools and members.
for ((g = 1; g <= GROUPS_N; g++)); do
	printf '[[pool]]\nname = "%s-%d"\n' "$POOL" "$g" >> "$DIR/pools.toml"
	for ((m = 0; m < 3; m++)); do
		take
		name=$POOL-$g-$m
		dc=${DCS[$(((g + m) % N))]}
		printf '[[pool.member]]\nname = "%s"\naddress = "127.0.0.1:%d"\ndata_center = "%s"\nslots = 2\nconnections = %d\n' \
			"$name" "$TAKEN" "$dc" "$CONNS" >> "$DIR/pools.toml"
		printf '[[member]]\naddress = "127.0.0.1:%d"\n' "$TAKEN" >> "$DIR/members.toml"
		args=(--name "$name" --address "127.0.0.1:$TAKEN" --slots 2 --connections "$CONNS" --work-us 800 --lag-ms 20)
		if [ $m = 0 ]; then first=$TAKEN; args+=(--primary); else args+=(--follow "$POOL-$g-0" --upstream "127.0.0.1:$first"); fi
		"$BIN/standin-db" "${args[@]}" 2>> "$DIR/stderr" &
		PIDS+=($!)
		[ $g = 1 ] && [ $m = 0 ] && echo $! > "$DIR/primary.pid"
	done
done
# VMs.
LIST=
for ((v = 0; v < VMS; v++)); do
	take; caller=$TAKEN
	take; rpc=$TAKEN
	dc=${DCS[$((v % N))]}
	printf '[vm]\nname = "vm-%d"\ndata_center = "%s"\ncaller_address = "127.0.0.1:%d"\nrpc_address = "127.0.0.1:%d"\n[platform]\nendpoints = ["%s"]\n[rpc]\nsecret = "experiment"\n[log]\npath = "%s/vm-%d.log"\nlevel = "%s"\n' \
		$v "$dc" "$caller" "$rpc" "$PLATFORM" "$DIR" $v "${LEVEL:-warning}" > "$DIR/vm-$v.toml"
	printf '[[vm]]\naddress = "127.0.0.1:%d"\n[[rpc]]\naddress = "127.0.0.1:%d"\n' "$caller" "$rpc" >> "$DIR/vms.toml"
	LIST="$LIST${LIST:+,}{\"name\":\"vm-$v\",\"address\":\"127.0.0.1:$rpc\",\"data_center\":\"$dc\",\"state\":\"live\"}"
done
echo "[$LIST]" > "$DIR/vms.json"
# Eight teams, two of them large; the first one sends five times its arrivals for a while.
for ((t = 1; t <= 8; t++)); do
	rate=40; [ $t -le 2 ] && rate=160
	printf '[[team]]\nname = "team-%d"\nrate = %d\nburst = %d\n[[route]]\nname = "write-%d"\nteam = "team-%d"\nkind = "write"\npool = "%s-%d"\n[[route]]\nname = "page-%d"\nteam = "team-%d"\nkind = "page"\npool = "%s-%d"\nwrite = false\nmax_age_ms = 5000\n[[route]]\nname = "own-%d"\nteam = "team-%d"\nkind = "own"\npool = "%s-%d"\nwrite = false\n' \
		$t $rate $rate $t $t $POOL $((t % GROUPS_N + 1)) $t $t $POOL $((t % GROUPS_N + 1)) $t $t $POOL $((t % GROUPS_N + 1)) >> "$DIR/routes.toml"
	surge=1; [ $t = 1 ] && surge=5
	printf '[[team]]\nname = "team-%d"\nkey_file = "%s/key-%d"\nrate = %d\nburst = %d\narrivals = %d\nsurge = %d\nsurge_from_ms = 6000\nsurge_until_ms = 14000\nsessions = %d\n' \
		$t "$DIR" $t $rate $rate $((rate * 3 / 4)) $surge $((rate * surge / 4 + 8)) >> "$DIR/teams.toml"
done
{
	printf 'seconds = 20\nsecret = "experiment"\n'
	printf '[[kind]]\nname = "write"\nwrite = true\nshare = 0.4\n[[kind]]\nname = "page"\nshare = 0.4\n[[kind]]\nname = "own"\nshare = 0.2\n'
	case $FAULT in
	kill) printf '[[fault]]\nat_ms = 10000\npid_file = "%s/primary.pid"\nsignal = "kill"\n' "$DIR" ;;
	freeze) printf '[[fault]]\nat_ms = 10000\npid_file = "%s/primary.pid"\nsignal = "stop"\n[[fault]]\nat_ms = 13000\npid_file = "%s/primary.pid"\nsignal = "cont"\n' "$DIR" "$DIR" ;;
	none) ;;
	*) echo "experiment.sh: found $FAULT; allowed: none, kill or freeze" >&2; exit 2 ;;
	esac
	cat "$DIR/vms.toml" "$DIR/members.toml" "$DIR/teams.toml"
} > "$DIR/plan.toml"

"$BIN/standin-platform" --port "${PLATFORM#*:}" --vms "$DIR/vms.json" 2>> "$DIR/stderr" &
PIDS+=($!)
for ((v = 0; v < VMS; v++)); do
	"$BIN/mangoloomd" --settings "$DIR/vm-$v.toml" 2>> "$DIR/stderr" &
	PIDS+=($!)
done
ml() { "$BIN/mangoloom" --secret-file "$DIR/secret" "$@"; }
for _ in $(seq 100); do ml apply --routes "$DIR/routes.toml" --pools "$DIR/pools.toml" > /dev/null 2>&1 && break; sleep 0.1; done
for ((t = 1; t <= 8; t++)); do ml key give team-$t > "$DIR/key-$t" || exit 1; done
sleep 2
echo "== $WHO, fault: $FAULT"
"$BIN/mangoload" --plan "$DIR/plan.toml" --csv "$DIR/run.csv"
CODE=$?
if [ -n "$OUT" ]; then
	mkdir -p "$OUT"
	cp "$DIR/run.csv" "$OUT/$WHO-$FAULT.csv"
	gnuplot -e "csv='$DIR/run.csv'; png='$OUT/$WHO-$FAULT.png'" "$(dirname "$0")/plot.gp" && echo "plot: $OUT/$WHO-$FAULT.png"
fi
cat "$DIR"/vm-*.log | grep -v "rpc-silent" | tail -${LOGS:-0}
exit $CODE
