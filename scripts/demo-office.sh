#!/usr/bin/env bash
# Runs the Office's example on loopback with 8 entry hosts: frost watch feeds,
# ignition reports and maps. During a flood, map requests arrive at 10 times the
# capacity of mapstore (4 targets with 3 slots at 200 ms serve 60 requests a
# second, and the plan sends 600). Meanwhile the platform is down, and one target
# of mapstore is slow, sheds requests and reports that it is idle. The script
# prints the results of each class before, during and after the flood, exits
# non-zero if an invariant was broken, and ends only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

PLAN=${PLAN:-examples/office-plan.json}
CELL=north-high
SET=examples/office.json
DOMAINS=(doi-ang mae-rim fang-tha chom-lai)
source scripts/cell.sh

# set_platform_outage true|false starts or ends an outage of the platform stand-in.
set_platform_outage() { call "$PLATFORM/admin/faults" --method PUT --body "{\"Outage\": $1}" >/dev/null; }
# set_target_switches SERVICE TARGET JSON sets the switches of a target stand-in.
set_target_switches() { call "http://$(json_field "$1.out" Admin)/targets/$2" --method PUT --body "$3" >/dev/null; }

inject_faults() {
  pause 8
  log "the flood of map requests begins (see $PLAN)"
  pause 2
  log "starting an outage of the platform"
  set_platform_outage true
  pause 1
  log "target mapstore-02 becomes slow, sheds requests and reports that it is idle"
  set_target_switches mapstore mapstore-02 '{"Cold": true, "Lie": "Idle"}'
  pause 1
  if command_at_host drain watchdesk watchdesk-05; then die "a drain was accepted during the outage of the platform"; fi
  log "a drain was refused as expected: $(cat "$RUN/command.err")"
  pause 4
  log "ending the outage of the platform"
  set_platform_outage false
  pause 4
  log "the flood has ended; draining target watchdesk-05"
  change_configuration drain watchdesk watchdesk-05
  set_target_switches mapstore mapstore-02 '{}'
}

start_platform_and_fabric
start_targets watchdesk --count 14 --slots 3 --connections 2000 --service-time 20ms
start_targets mapstore --count 4 --slots 3 --connections 2000 --service-time 200ms
start_hosts
start_callers
inject_faults
compare_ledgers --phase before=0s-8s --phase flood=8s-20s --phase after=20s-30s
