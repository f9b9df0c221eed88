#!/usr/bin/env bash
# Runs a small version of the deployment in _examples/desk on loopback: separate processes, requests,
# a shift, a drain, a recall and a planned stop. Prints the results and exits within a minute.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$PWD/.build/bin
RUN=$(mktemp -d)
# shellcheck source=_scripts/fleet.sh
. _scripts/fleet.sh
trap 'code=$?; finish; rm -rf "$RUN"; exit $code' EXIT
trap 'exit 130' INT TERM

print_heading() { printf '\n== %s\n' "$*"; }
callers() { # callers NAME REGION ARGS...: starts a load from callers of a region, in the background
  local name=$1 region=$2
  shift 2
  start "$name" "$BIN/standin" callers --lookups "127.0.1.1:7100,127.0.1.3:7100,127.0.1.5:7100" --as "10.$region.0.9" "$@"
}
wait_for() { # wait_for NAME...: waits until the loads have ended
  local n p
  for n in "$@"; do p="PID_${n//-/_}"; wait "${!p}" || true; done
}
report_field() { # report_field NAME FIELD: prints a number of a load's JSON report
  sed -n "s/^  \"$2\": \([0-9.]*\).*/\1/p" "$RUN/$1.out"
}
print_load() { # print_load NAME TITLE: prints a load's counts and latencies
  printf '%-34s sent %5s  whole %5s  p50 %6s us  p95 %6s us  p99 %6s us\n' "$2" \
    "$(report_field "$1" sent)" "$(report_field "$1" whole)" "$(report_field "$1" p50Micros)" "$(report_field "$1" p95Micros)" "$(report_field "$1" p99Micros)"
}
print_data_centres() { # print_data_centres NAME: prints how many of a load's requests each data centre answered
  sed -n 's/^    "127\.0\.2\.\([0-9]\):[0-9]*": \([0-9]*\).*/\1 \2/p' "$RUN/$1.out" |
    awk 'BEGIN{split("ala-1 ala-2 nqz-1 nqz-2 cit-1 cit-2",dc," ")} {n[$1]+=$2} END{for(i=1;i<=6;i++) printf "   %s %d", dc[i], n[i]; print ""}'
}

print_heading "starting the platform, 48 backend servers and 6 entry hosts (12 daemons)"
start platform "$BIN/standin" platform --address "$PLATFORM"
start servers "$BIN/standin" servers --addresses "$(server_addresses _examples/desk/placements.json)" --service-time 5ms
sleep 0.5
"$BIN/rosectl" validate _examples/desk/*.json
"$BIN/rosectl" apply _examples/desk/*.json | tail -1
start_hosts
wait_ready
sleep 4

print_heading "callers of three regions: claim look-ups and corrections that must run once"
callers ala-search 1 --path /search --rate 300 --workers 16 --for 4s
callers nqz-search 2 --path /search --rate 150 --workers 16 --for 4s
callers cit-corrections 3 --path /corrections --method POST --keyed --rate 100 --workers 16 --for 4s
wait_for ala-search nqz-search cit-corrections
print_load ala-search "Almaty, look-ups"; print_data_centres ala-search
print_load nqz-search "Astana, look-ups"; print_data_centres nqz-search
print_load cit-corrections "Shymkent, corrections"; print_data_centres cit-corrections

print_heading "a shift moves 20% of Almaty's look-ups to Astana; then Almaty is drained under load"
"$BIN/rosectl" shift almaty-out --service archive-search --from almaty --to astana --cap 20
sleep 1
callers ala-drained 1 --path /search --rate 200 --workers 16 --for 6s
callers nqz-during 2 --path /search --rate 150 --workers 16 --for 6s
sleep 1
"$BIN/rosectl" drain almaty --scope region --of almaty --wait 10s
wait_for ala-drained nqz-during
print_load ala-drained "Almaty, look-ups, drained"; print_data_centres ala-drained
print_load nqz-during "Astana, look-ups, meanwhile"; print_data_centres nqz-during
"$BIN/rosectl" delete drain almaty
"$BIN/rosectl" delete shift almaty-out
sleep 1

print_heading "a recall of batch-a, a third of all servers, under load"
callers ala-recall 1 --path /search --rate 200 --workers 16 --for 4s
sleep 1
"$BIN/rosectl" recall batch-a --batch batch-a --wait 10s
wait_for ala-recall
print_load ala-recall "Almaty, look-ups, recall"; print_data_centres ala-recall
"$BIN/rosectl" delete recall batch-a

print_heading "a planned stop of one host's entryd under load"
callers ala-stop 1 --path /search --rate 200 --workers 16 --for 7s
sleep 1
kill -TERM "$PID_h1_entryd"
wait "$PID_h1_entryd" && printf 'entryd of h1 ended by itself with code 0\n'
wait_for ala-stop
print_load ala-stop "Almaty, look-ups, planned stop"; print_data_centres ala-stop

print_heading "why one request went where it did"
id=$(curl -s -D - -o /dev/null http://127.0.1.2:7200/search | tr -d '\r' | sed -n 's/^Rosemary-Request-Id: //p')
"$BIN/rosectl" explain "$id" --admin 127.0.1.2:7202

print_heading "end"
