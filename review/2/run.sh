#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../run-case.sh"
run_case stop "$folder" "${TROUBLE:-1}"
