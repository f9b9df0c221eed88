#!/bin/sh
# Plays case 11. Needs target/edged (the build of the deploy file) and target/review-standin-3 (review/build-3.sh).
# TROUBLE=0: no process is killed. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x "$root/target/edged" ] && [ -x "$root/target/review-standin-3" ] || { echo "build first" >&2; exit 2; }
exec "$root/target/review-standin-3" "$root/target/edged" record.txt
