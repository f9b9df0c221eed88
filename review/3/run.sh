#!/usr/bin/env bash
# Plays the case on loopback. Exit status 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/edged ] || [ ! -x .build/review/standin ]; then
  echo 'build first: the line "build" of deploy/system.toml, and review/build.sh' >&2
  exit 2
fi
timeout -k 5 110 .build/review/standin -case limits -program target/edged -record review/3/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
