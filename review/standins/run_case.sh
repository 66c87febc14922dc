# Sourced by the run.sh of each case, with the number of the case in $1. Runs the case's program from the repository's
# root with the start command of the deploy file. Exit status: 1 rule broken, 0 rule held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
number=$1
[ -x "review/bin/case$number" ] || { echo "run review/build.sh first"; exit 2; }
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$RUN" ] || { echo "no run command in deploy/balancer.toml"; exit 2; }
SCRATCH=$(mktemp -d) || exit 2
trap 'rm -rf "$SCRATCH"' EXIT
trap 'exit 2' INT TERM
RECORD="review/$number/record.txt"
TROUBLE=${TROUBLE:-1}
export RUN SCRATCH RECORD TROUBLE
"review/bin/case$number"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
