#!/bin/bash
# No cases. run.sh explore SEED [SECONDS]: random troubles for random jobs, all rules checked.
# MODE=ways, terms or zones draws from fewer kinds of trouble. run.sh left_waiting: see
# review/REPORT.md. The record is in target/review/.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
bash review/build.sh || exit 2
out=target/review
name=$1
shift
g++ -std=c++20 -O1 -Wall -Wextra -Isrc -Ireview/stand_in "review/explore/$name.cc" \
  "$out"/review_stand_in_*.o target/libdeckhall_core.a -lspdlog -lfmt -lev -o "$out/$name-$$" || exit 2
[ "$name" != explore ] || set -- "$1" "${2:-100}"
"$out/$name-$$" "$out/$name-$$.txt" "$command" "$@"
status=$?
rm -f "$out/$name-$$"
exit "$status"
