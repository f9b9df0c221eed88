# Functions that start a small fleet on loopback and stop only the processes that they started.
# To be sourced, as in demo.sh; requires $BIN (folder of the programs) and $RUN (folder for settings and logs).

PLATFORM=127.0.0.1:7000
# One host in each data centre: name, data centre, region, IP.
HOSTS=("h1 ala-1 almaty 127.0.1.1" "h2 ala-2 almaty 127.0.1.2" "h3 nqz-1 astana 127.0.1.3"
  "h4 nqz-2 astana 127.0.1.4" "h5 cit-1 shymkent 127.0.1.5" "h6 cit-2 shymkent 127.0.1.6")

start() { # start NAME PROGRAM ARGS...: runs a program in the background, output in $RUN/NAME.out, log in $RUN/NAME.log
  local name=$1
  shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
  printf -v "PID_${name//-/_}" %s $!
}

finish() { # kills every running background process that start launched and waits for it
  local p
  for p in $(jobs -pr); do kill -KILL "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

settings() { # settings NAME DATA-CENTRE REGION IP: writes the settings of a host's steerd and entryd
  cat >"$RUN/$1-steerd.json" <<EOF
{"host":"$1","dataCentre":"$2","region":"$3","lookupAddress":"$4:7100","peerAddress":"$4:7101",
 "adminAddress":"$4:7102","platformAddress":"$PLATFORM","seeds":["127.0.1.1:7101","127.0.1.3:7101","127.0.1.5:7101"]}
EOF
  cat >"$RUN/$1-entryd.json" <<EOF
{"host":"$1","dataCentre":"$2","region":"$3","callerAddress":"$4:7200","peerAddress":"$4:7201",
 "adminAddress":"$4:7202","steerds":["$4:7101"]}
EOF
}

start_hosts() {
  local h
  for h in "${HOSTS[@]}"; do
    # shellcheck disable=SC2086
    set -- $h
    settings "$1" "$2" "$3" "$4"
    start "$1-steerd" "$BIN/steerd" --settings "$RUN/$1-steerd.json"
    start "$1-entryd" "$BIN/entryd" --settings "$RUN/$1-entryd.json"
  done
}

server_addresses() { # server_addresses FILE: prints the backend servers' addresses in a placement file, comma-separated
  sed -n 's/.*"address": "\(.*\)".*/\1/p' "$1" | paste -sd, -
}

alive() { # alive NAME: fails and prints the end of the log if a process launched by start has ended
  local p="PID_${1//-/_}"
  kill -0 "${!p}" 2>/dev/null || { tail -n 3 "$RUN/$1.log" >&2; return 1; }
}

wait_ready() { # waits until every entryd is ready, about 10 s each at most; fails if a daemon did not start
  local h ip i
  for h in "${HOSTS[@]}"; do
    ip=${h##* }
    alive "${h%% *}-steerd"
    alive "${h%% *}-entryd"
    for i in $(seq 100); do
      curl -fs "http://$ip:7202/readyz" >/dev/null && break
      sleep 0.1
    done
  done
}
