# Starts the gateways of a case beside standin3, which plays everything else, and starts them again
# when they end, as the platform does. Sourced by the scripts of the cases.
#
# play CASE: plays a case and exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.

here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/wasabisill"
standin="$root/target/standin3"

# The processes that are running, by name, and the rounds until those that ended are started again.
declare -A pids=() rounds=()

start() {
  WASABISILL_CONFIG="$dir/$1.json" "$program" platform >>"$dir/$1.log" 2>&1 &
  pids[$1]=$!
  echo "$!" >"$dir/$1.pid"
}

# supervise looks after each gateway once.
supervise() {
  local name
  for name in "${!rounds[@]}"; do
    if [ -n "${pids[$name]:-}" ]; then
      kill -0 "${pids[$name]}" 2>/dev/null && continue
      wait "${pids[$name]}" 2>/dev/null
      unset "pids[$name]"
      echo "$name" >>"$dir/ends"
      rounds[$name]=5
    elif [ "${rounds[$name]}" -gt 0 ]; then
      rounds[$name]=$((rounds[$name] - 1))
    else
      start "$name"
    fi
  done
}

# finish ends all processes of the case, by their ids.
finish() {
  local pid
  for pid in "${pids[@]}" "${standin_pid:-}"; do
    [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$dir"
}

play() {
  [ -x "$program" ] && [ -x "$standin" ] || {
    echo "build the program with the line in deploy/system.toml, and the stand-in with review/build-3.sh" >&2
    exit 2
  }
  dir=$(mktemp -d)
  trap finish EXIT
  trap 'exit 2' TERM INT HUP
  local flag=true rc name
  [ "${TROUBLE:-1}" = 0 ] && flag=false
  "$standin" -dir "$dir" -record "$here/record.txt" -trouble="$flag" "$1" &
  standin_pid=$!
  while [ ! -e "$dir/ready" ] && kill -0 "$standin_pid" 2>/dev/null; do
    sleep 0.1
  done
  for name in "$dir"/*.json; do
    [ -e "$name" ] && rounds[$(basename "$name" .json)]=0
  done
  while kill -0 "$standin_pid" 2>/dev/null; do
    supervise
    sleep 0.1
  done
  wait "$standin_pid"
  rc=$?
  standin_pid=
  # What the first process wrote that ended by itself, without the places of the sources.
  grep -h -m 1 -A 20 -E '^(panic|fatal error)' "$dir"/*.log 2>/dev/null | grep -vE '^[[:space:]]' | head -16 >>"$here/record.txt"
  exit "$rc"
}
