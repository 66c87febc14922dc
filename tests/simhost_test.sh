#!/bin/sh
# Tests flaxdoor_simhost on empty input, an empty batch, truncated frames, an unknown code, an oversized frame and
# settings that can't be read.
host=$1
fail() { echo "$1"; exit 1; }

"$host" </dev/null || fail "end of input between frames must make the host exit with status 0"

# Batch 1 with clock 0, no body and no records gets a reply to batch 1 with no body and no records.
reply=$(printf '\001\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000' | "$host" | od -An -tx1 | tr -d ' \n')
[ "$reply" = "010000000000000000000000" ] || fail "unexpected reply to an empty batch: $reply"

message=$(printf '\001\000\000' | "$host" 2>&1 >/dev/null) && fail "a truncated header must make the host exit with an error"
[ "$message" = "flaxdoor: input truncated: 3 of 20 bytes (header of the first batch)" ] || fail "unexpected error message: $message"

message=$({ printf '\001\000\000\000\000\000\000\000\000\000\000\000\060\000\000\000\001\000\000\000'; head -c 48 /dev/zero; } |
    "$host" 2>&1 >/dev/null) && fail "an unknown code must make the host exit with an error"
[ "$message" = "flaxdoor: unknown event code 0 (batch 1, record 0)" ] || fail "unexpected error message: $message"

# The header of batch 5 announces a body of 48 bytes, but none follows.
message=$(printf '\005\000\000\000\000\000\000\000\000\000\000\000\060\000\000\000\001\000\000\000' | "$host" 2>&1 >/dev/null) &&
    fail "a truncated body must make the host exit with an error"
[ "$message" = "flaxdoor: input truncated: 0 of 48 bytes (batch 5)" ] || fail "unexpected error message: $message"

# The header announces a body that is longer than the protocol allows.
message=$(printf '\005\000\000\000\000\000\000\000\000\000\000\000\377\377\377\377\001\000\000\000' | "$host" 2>&1 >/dev/null) &&
    fail "an oversized frame must make the host exit with an error"
[ "$message" = "flaxdoor: frame too long (batch 5)" ] || fail "unexpected error message: $message"

# A create event with settings that can't be read gets the action PANIC (code 259), whose text names the setting, and
# the host continues.
reply=$({ printf '\001\000\000\000\000\000\000\000\000\000\000\000\071\000\000\000\001\000\000\000'
    printf '\002\001\003\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\011\000\000\000'
    head -c 26 /dev/zero
    printf 'rank=one\n'; } | "$host") || fail "settings that can't be read must not make the host fail"
case $reply in *"setting unreadable: rank"*) ;; *) fail "no PANIC action names the setting" ;; esac
