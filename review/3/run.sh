#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same
# without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
[ -n "$command" ] || exit 2
bash review/build.sh || exit 2
exec "target/review/case$(basename "$folder")" "$folder/record.txt" "$command"
