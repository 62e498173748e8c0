#!/usr/bin/env bash
# Usage: fleet.sh CONTROLS NODES_PER_ZONE [lab fleet run flags]
# Starts control processes, nodes in 5 zones and a stand-in beside each, and measures what control costs and how fast changes are in force.
set -euo pipefail
cd "$(dirname "$0")"
dir=out/fleet
controls=$1 nodes=$2
shift 2
rm -rf "$dir"
mkdir -p "$dir"
. ./processes.sh
bin/lab fleet prepare --dir "$dir" --controls "$controls" --nodes "$nodes"
trap stop_all EXIT
start_all
bin/lab fleet run --dir "$dir" --controls "$controls" --nodes "$nodes" "$@"
