#!/bin/bash
# Builds the stand-ins and the cases into target/review. Needs the build of the deploy file
# (target/libdeckhall_core.a) and its packages only. Does nothing when all is up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
if [ ! -f target/libdeckhall_core.a ] || [ ! -x target/deckhall ]; then
  echo "review: build the project first, with the build command of deploy/service.toml" >&2
  exit 2
fi
mkdir -p "$out"
exec 9> "$out/lock"
flock 9
sources=$(ls review/stand_in/*.cc review/[0-9]*/scenario.cc)
newest=$(ls -t $sources review/stand_in/*.h review/build.sh target/libdeckhall_core.a | head -1)
[ ! -f "$out/built" ] || [ "$newest" -nt "$out/built" ] || exit 0
pids=()
for source in $sources; do
  g++ -std=c++20 -O1 -Wall -Wextra -Isrc -Ireview/stand_in -c "$source" \
    -o "$out/$(echo "$source" | tr / _ | sed 's/\.cc$/.o/')" 9>&- &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/[0-9]*/scenario.cc; do
  number=$(basename "$(dirname "$source")")
  rm -f "$out/case$number"
  g++ "$out/review_${number}_scenario.o" "$out"/review_stand_in_*.o target/libdeckhall_core.a \
    -lspdlog -lfmt -lev -o "$out/case$number"
done
touch "$out/built"
