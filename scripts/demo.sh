#!/usr/bin/env bash
# Runs the Trust's example on loopback with 8 entry hosts, kills a host, drains a
# target and stops a host, and compares the ledgers of callers and targets. It
# exits non-zero if an invariant was broken, and ends only the processes that it
# started.
set -euo pipefail
cd "$(dirname "$0")/.."

KILL_AT=${KILL_AT:-8}
DRAIN_AT=${DRAIN_AT:-14}
STOP_AT=${STOP_AT:-20}
PLAN=${PLAN:-examples/trust-plan.json}
CELL=lk-west
SET=examples/trust.json
DOMAINS=(lk-west-neg lk-west-col lk-west-ber)
source scripts/cell.sh

inject_faults() {
  pause "$KILL_AT"
  log "killing host 3 with SIGKILL"
  kill -KILL "${HOST_PIDS[2]}"
  wait "${HOST_PIDS[2]}" 2>/dev/null || true
  pause $((DRAIN_AT - KILL_AT))
  log "draining target auction-desk-05"
  change_configuration drain auction-desk auction-desk-05
  pause $((STOP_AT - DRAIN_AT))
  log "stopping host 6 with SIGTERM"
  kill -TERM "${HOST_PIDS[5]}"
}

start_platform_and_fabric
start_targets auction-desk --count 14 --slots 2 --connections 2000 --service-time 20ms
start_targets cert-office --count 4 --slots 2 --connections 2000 --service-time 200ms
start_hosts
start_callers
inject_faults
compare_ledgers
stopped=0
wait "${HOST_PIDS[5]}" || stopped=$?
if [ "$stopped" != 0 ]; then die "host 6 exited with code $stopped after SIGTERM, want 0"; fi
