#!/usr/bin/env bash
# Runs the Office's example on loopback with 8 entry hosts: frost watch feeds,
# ignition reports and maps. A flood of maps comes at 10 times what mapstore
# can do (4 targets of 3 slots at 200 ms are 60 requests a second, and the plan
# asks for 600). During the flood the platform is down, and a target of
# mapstore is slow, sheds, and claims to be idle. It prints the service of each
# class before, during and after the flood, exits non-zero when an invariant
# was broken, and ends only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

PLAN=${PLAN:-examples/office-plan.json}
CELL=north-high
SET=examples/office.json
DOMAINS=(doi-ang mae-rim fang-tha chom-lai)
source scripts/cell.sh

# platform_outage true|false sets the switch of the platform's stand-in.
platform_outage() { call "$PLATFORM/admin/faults" --method PUT --body "{\"Outage\": $1}" >/dev/null; }
# switch_target SERVICE TARGET SWITCHES sets the switches of one target's stand-in.
switch_target() { call "http://$(show "$1.out" Admin)/targets/$2" --method PUT --body "$3" >/dev/null; }

disturb() {
  pause 8
  log "the flood of maps begins (see $PLAN)"
  pause 2
  log "the platform is down"
  platform_outage true
  pause 1
  log "target mapstore-02 is slow, sheds and claims to be idle"
  switch_target mapstore mapstore-02 '{"Cold": true, "Lie": "Idle"}'
  pause 1
  if command_at_host drain watchdesk watchdesk-05; then die "a change was accepted while the platform was down"; fi
  log "a drain is refused: $(cat "$RUN/command.err")"
  pause 4
  log "the platform is back"
  platform_outage false
  pause 4
  log "the flood has ended; target watchdesk-05 is drained"
  change drain watchdesk watchdesk-05
  switch_target mapstore mapstore-02 '{}'
}

start_surroundings
start_targets watchdesk --count 14 --slots 3 --connections 2000 --service-time 20ms
start_targets mapstore --count 4 --slots 3 --connections 2000 --service-time 200ms
start_hosts
start_callers
disturb
report --phase before=0s-8s --phase flood=8s-20s --phase after=20s-30s
