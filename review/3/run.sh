#!/bin/sh
set -- 3
. "$(dirname "$0")/../standins/run_case.sh"
