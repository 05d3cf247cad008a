#!/usr/bin/env bash
# Runs the case. TROUBLE=0 leaves out the disruption.
# Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/pimentospread ] || exit 2
exec review/bin/standin --case full --dir review/3
