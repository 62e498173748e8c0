#!/usr/bin/env bash
# Starts 1 control process, 6 nodes and 6 stand-in back ends on loopback addresses and runs the demonstration.
set -euo pipefail
cd "$(dirname "$0")"
dir=out/demo
rm -rf "$dir"
mkdir -p "$dir"
bin/lab demo prepare --dir "$dir"
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" || { code=$?; [ "$code" = 127 ] || echo "process $pid ended with exit code $code"; }; done
}
trap cleanup EXIT
start() { # program, settings name
  "bin/$1" --settings "$dir/$2.json" >"$dir/$2.log" 2>&1 &
  pids+=($!)
}
start control control-1
for settings in "$dir"/node-*.json; do start node "$(basename "$settings" .json)"; done
for settings in "$dir"/standin-*.json; do start standin "$(basename "$settings" .json)"; done
bin/lab demo run --dir "$dir"
bin/pollenhill timeline "$dir"/*.events >"$dir/timeline.txt" && echo "time line: $dir/timeline.txt"
