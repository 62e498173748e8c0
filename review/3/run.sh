#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export REPOSITORY=../..
for program in ../../target/control ../../target/node ../bin/standin; do
  [ -x "$program" ] || { echo "$program is not built: run the build line of deploy/system.toml and review/build.sh" >&2; exit 2; }
done
exec ../bin/standin gone record.txt
