#!/bin/sh
set -- 1
. "$(dirname "$0")/../standins/run_case.sh"
