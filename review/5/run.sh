#!/usr/bin/env bash
# Plays the case pipeline-cancel and exits with 0 if the rule held, 1 if it was broken, 2 if it couldn't run.
# Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/gingertally ] && [ -x target/review2-cases ] || exit 2
exec target/review2-cases pipeline-cancel "$folder/record.txt" target/gingertally
