#!/bin/sh
# Tests run_built.sh on a generated build folder whose tests are commands that pass or fail.
run_built=$(cd "$(dirname "$0")" && pwd)/run_built.sh
fail() { echo "$1"; echo "$output"; exit 1; }
scratch=$(mktemp -d) && trap 'rm -rf "$scratch"' EXIT
cat >"$scratch/CTestTestfile.cmake" <<'END'
add_test(good "true")
add_test(Scarce/Suite.Red/seed_1 "false")
add_test(Scarce/Suite.Red/seed_2 "false")
add_test(Scarce/Suite.Mended/seed_1 "true")
add_test(Scarce/Suite.Mended/seed_12 "true")
END

# Runs run_built.sh with the given entries, one a line, and stores what it prints in $output.
run_with() {
    printf '%s' "$1" >"$scratch/known_red"
    output=$(sh "$run_built" "$scratch" "$scratch/known_red" 2>&1)
}

run_with "" && fail "failing tests that no entry covers must fail the run"
run_with "Scarce/Suite.Red/seed_1 | command | seen | 1
" && fail "an entry must cover its own test only"
run_with "Scarce/Suite.Red | command | seen | 1
" || fail "an entry must cover the tests below its name"
case $output in *"to be taken off"*) fail "a run in which no covered test passed must not report one" ;; esac

run_with "Scarce/Suite.Red | command | seen | 1
Scarce/Suite.Mended/seed_1 | command | seen | 1
" || fail "a covered test that passes must not fail the run"
[ "$(printf '%s\n' "$output" | grep -c 'to be taken off the list')" -eq 1 ] || fail "an entry for seed_1 must not cover seed_12"
case $output in *"to be taken off the list: Scarce/Suite.Mended/seed_1"*) ;; *) fail "a covered test that passes must be named" ;; esac

run_with "Scarce/Suite.Red | command | seen | 1
Scarce/Suite.Gone | command | seen | 1
" && fail "an entry that covers no test must fail the run"
run_with "Scarce/Suite.Re | command | seen | 1
" && fail "an entry with a part of a name must not cover the test"
run_with "Scarce/Suite.Red
" && fail "a line that is not a valid entry must fail the run"
exit 0
