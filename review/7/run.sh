#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Takes about 15 seconds.
program=case_leaving_server
. "$(dirname "$0")/../harness-2/run_case.sh"
