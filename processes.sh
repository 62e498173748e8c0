# Shell functions that start and end pollenhill processes; sourced by demo.sh and fleet.sh.
pids=()

# start PROGRAM NAME runs a program with the settings $dir/NAME.json and notes its process ID in $dir/pids.
start() {
  "bin/$1" --settings "$dir/$2.json" >"$dir/$2.log" 2>&1 &
  pids+=($!)
  echo "$2 $!" >>"$dir/pids"
}

# start_all starts every process whose settings are in $dir.
start_all() {
  for program in control node standin; do
    for settings in "$dir/$program"-*.json; do start "$program" "$(basename "$settings" .json)"; done
  done
}

# stop_all ends the processes that start began and prints each unexpected exit code.
stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" || echo "process $(grep " $pid\$" "$dir/pids") ended with exit code $?"; done
}
