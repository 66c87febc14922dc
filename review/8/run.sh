#!/bin/bash
# Plays this case: see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
RUN=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)
program=review/bin/standins-2/restart_in_crowd
[ -n "$RUN" ] && [ -x "$program" ] && [ -x build/flaxdoor_balancer ] || { echo "not built"; exit 2; }
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
export RUN
timeout -k 1 60 "$program" "$folder/record.txt" "$scratch"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
