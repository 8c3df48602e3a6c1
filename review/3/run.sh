#!/usr/bin/env bash
# Plays the case of this folder; claim.txt tells what it shows. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/wasabisill ] && [ -x target/review-standin ] || { echo "build first: the build of the deploy file, then review/build.sh" >&2; exit 2; }
tmp=$(mktemp -d) || exit 2
pids=()
finish() {
  exec 2>/dev/null
  for p in "${pids[@]}"; do kill -KILL "$p"; done
  wait
  rm -rf "$tmp"
}
trap finish EXIT
trap 'exit 2' INT TERM

target/review-standin -case new-route -dir "$tmp" -record "$here/record.txt" &
standin=$!
pids+=("$standin")
for _ in $(seq 100); do
  [ -f "$tmp/gateways" ] && break
  sleep 0.1
done
[ -f "$tmp/gateways" ] || exit 2
# The command of the role in deploy/system.toml.
while read -r name; do
  WASABISILL_CONFIG="$tmp/$name.json" target/wasabisill platform >"${KEEP_LOGS:-$tmp}/$name.log" 2>&1 &
  pids+=($!)
done <"$tmp/gateways"
wait "$standin"
verdict=$?
case $verdict in
0 | 1) exit "$verdict" ;;
*) exit 2 ;;
esac
