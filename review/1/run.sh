#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the
# disruption. Needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "$0")/../.."
timeout -k 1 119 target/review/case1 review/1/record.txt
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
