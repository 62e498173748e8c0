#!/usr/bin/env bash
# Usage: demo.sh [--faults]
# Starts control processes, 6 nodes and 6 stand-in back ends on loopback addresses and runs the demonstration.
set -euo pipefail
cd "$(dirname "$0")"
dir=out/demo
rm -rf "$dir"
mkdir -p "$dir"
. ./processes.sh
bin/lab demo prepare --dir "$dir" "$@"
trap stop_all EXIT
start_all
bin/lab demo run --dir "$dir" "$@"
bin/pollenhill timeline "$dir"/*.events >"$dir/timeline.txt"
echo "time line: $dir/timeline.txt"
