#!/usr/bin/env bash
# Runs the build line of deploy/system.toml on a clean checkout and checks that it writes under target/ only.
set -euo pipefail
cd "$(dirname "$0")/.."
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$line" ] || { echo "deploy/system.toml has no build line"; exit 1; }
clean=$(mktemp -d)
trap 'rm -rf "$clean"' EXIT
git archive HEAD | tar -x -C "$clean"
cd "$clean"
find . -type f | sort | xargs -d '\n' sha256sum >"$clean.before"
sh -c "$line"
find . -type f -not -path './target/*' | sort | xargs -d '\n' sha256sum >"$clean.after"
diff "$clean.before" "$clean.after" || { echo "the build line writes outside target/"; exit 1; }
rm -f "$clean.before" "$clean.after"
for program in $(sed -n 's/^run = "\([^ "]*\).*/\1/p' deploy/system.toml); do
  [ -x "$program" ] || { echo "$program is not built"; exit 1; }
done
echo "the build line of deploy/system.toml writes under target/ only"
