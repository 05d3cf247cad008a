#!/usr/bin/env bash
# Runs the Trust's example on loopback with 8 entry hosts, disturbs it, and
# compares what callers were told with what targets did. It exits non-zero
# when an invariant was broken and ends only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

HOSTS=8
CELL=lk-west
DOMAINS=(lk-west-neg lk-west-col lk-west-ber)
# A host grants no claim in its first MaxLifetime (10 s) after its start.
GRANT_WAIT=${GRANT_WAIT:-11}
KILL_AT=${KILL_AT:-8}
DRAIN_AT=${DRAIN_AT:-14}
STOP_AT=${STOP_AT:-20}
PLAN=${PLAN:-examples/trust-plan.json}
BOARD_INTERVAL=${BOARD_INTERVAL:-2s}
# Options of the fabric, such as "--loss 0.01 --duplicate 0.01".
read -r -a FABRIC_OPTIONS <<<"${FABRIC_OPTIONS:-}"
HOST_PROGRAM=${HOST_PROGRAM:-bin/pimentospread}

RUN=$(mktemp -d)
HOST_PIDS=()

log() { printf '%s %s\n' "$(date +%T)" "$*" >&2; }
die() {
  log "$*"
  exit 1
}

# finish ends the jobs of this shell, which are exactly the processes that it started.
finish() {
  local status=$? pid
  trap - EXIT INT TERM
  for pid in $(jobs -pr); do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 100); do
    if [ -z "$(jobs -pr)" ]; then break; fi
    sleep 0.1
  done
  for pid in $(jobs -pr); do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" = 0 ] && [ -z "${KEEP:-}" ]; then rm -rf "$RUN"; else log "logs and ledgers are in $RUN"; fi
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME COMMAND... runs a process whose output goes to files in $RUN; its id is in $STARTED.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.err" &
  STARTED=$!
}

# pause sleeps as a job, so that a signal is handled at once.
pause() {
  sleep "$1" &
  wait "$!"
}

# until_true SECONDS WHAT COMMAND... waits until the command succeeds.
until_true() {
  local seconds=$1 what=$2
  shift 2
  for _ in $(seq $((seconds * 10))); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  die "gave up after $seconds s: $what"
}

announced() { until_true 10 "$1 starts" test -s "$RUN/$1.out"; }

# host_settings I writes the settings of host I. This and the three functions
# below are all that depends on the program of the hosts.
host_settings() {
  jq -n --arg id "$(host_name "$1")" --arg domain "$(host_domain "$1")" --arg cell "$CELL" \
    --arg platform "$PLATFORM" --arg fabric "$FABRIC" --arg token "$TOKEN" \
    --arg data "$(address "$1" 0)" --arg peer "$(address "$1" 1)" --arg admin "$(address "$1" 2)" --arg request "$(address "$1" 3)" \
    '{Host: $id, FailureDomain: $domain, Cell: $cell, LogFormat: "text", PlatformURL: $platform, FabricAddress: $fabric,
      DataAddress: $data, RequestAddress: $request, PeerAddress: $peer, AdminAddress: $admin, AdminToken: $token}' \
    >"$RUN/host-$1.json"
}
serve_host() { exec "$HOST_PROGRAM" serve --settings "$RUN/host-$1.json"; }
# change COMMAND... asks host 1 for a change of the objects in force.
change() {
  local command=$1
  shift
  PIMENTOSPREAD_HOST=http://$(address 1 2) PIMENTOSPREAD_TOKEN=$TOKEN "$HOST_PROGRAM" "$command" "$@"
}
apply_set() { change apply --file "$RUN/set.json"; }
drain_target() { change drain auction-desk "$1"; }

host_name() { printf 'host-%d' "$1"; }
host_domain() { printf '%s' "${DOMAINS[$((($1 - 1) % ${#DOMAINS[@]}))]}"; }
address() { printf '127.0.0.1:%d' "$(jq -r ".[$((($1 - 1) * 4 + $2))]" "$RUN/ports.json")"; }
host_live() { curl -sf -m 1 "http://$(address "$1" 2)/livez"; }
host_ready() { curl -sf -m 1 "http://$(address "$1" 2)/readyz"; }
published() { curl -sf "$PLATFORM/objects/Release/$CELL"; }

roster() {
  local i
  for i in $(seq "$HOSTS"); do
    jq -n --arg id "$(host_name "$i")" --arg domain "$(host_domain "$i")" \
      --arg data "$(address "$i" 0)" --arg peer "$(address "$i" 1)" --arg admin "$(address "$i" 2)" \
      '{ID: $id, FailureDomain: $domain, PeerAddress: $peer, DataAddress: $data, AdminAddress: $admin, State: "Live"}'
  done | jq -s --arg cell "$CELL" '{Kind: "Roster", Name: $cell, Version: 0, Value: {Hosts: .}}'
}

start_surroundings() {
  start platform bin/standin platform
  announced platform
  PLATFORM=http://$(jq -r .Address "$RUN/platform.out")
  start fabric bin/standin fabric --roster "$PLATFORM/objects/Roster/$CELL" "${FABRIC_OPTIONS[@]}"
  announced fabric
  FABRIC=$(jq -r .Address "$RUN/fabric.out")
  local common=(--release "$PLATFORM/objects/Release/$CELL" --fabric "$FABRIC" --slots 2 --connections 2000 --interval "$BOARD_INTERVAL")
  for d in "${DOMAINS[@]}"; do common+=(--domain "$d"); done
  start desk bin/standin target --service auction-desk --count 14 --service-time 20ms "${common[@]}"
  start office bin/standin target --service cert-office --count 4 --service-time 200ms "${common[@]}"
  announced desk
  announced office
  bin/standin set --set examples/trust.json --targets "$RUN/desk.out" --targets "$RUN/office.out" >"$RUN/set.json"
}

start_hosts() {
  local i
  TOKEN=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
  bin/standin ports --count $((HOSTS * 4)) >"$RUN/ports.json"
  roster >"$RUN/roster.json"
  curl -sf -X PUT -H 'If-Match: 0' --data-binary "@$RUN/roster.json" "$PLATFORM/objects/Roster/$CELL" >/dev/null
  for i in $(seq "$HOSTS"); do
    host_settings "$i"
    start "host-$i" serve_host "$i"
    HOST_PIDS+=("$STARTED")
  done
  for i in $(seq "$HOSTS"); do until_true 20 "host $i lives" host_live "$i"; done
}

# publish applies the object set; a host is ready once it has a release.
publish() {
  local i
  apply_set >"$RUN/apply.out" 2>"$RUN/apply.err" || die "apply failed: $(cat "$RUN/apply.err")"
  log "$(cat "$RUN/apply.out")"
  until_true 5 "the release is published" published
  for i in $(seq "$HOSTS"); do until_true 20 "host $i is ready" host_ready "$i"; done
}

disturb() {
  pause "$KILL_AT"
  log "host 3 is killed without warning"
  kill -KILL "${HOST_PIDS[2]}"
  wait "${HOST_PIDS[2]}" 2>/dev/null || true
  pause $((DRAIN_AT - KILL_AT))
  log "target auction-desk-05 is drained"
  drain_target auction-desk-05 >"$RUN/drain.out" 2>"$RUN/drain.err" || die "drain failed: $(cat "$RUN/drain.err")"
  pause $((STOP_AT - DRAIN_AT))
  log "host 6 is stopped with SIGTERM"
  kill -TERM "${HOST_PIDS[5]}"
}

log "build"
go build -o bin/ ./cmd/...
start_surroundings
start_hosts
publish
log "$HOSTS hosts are ready; waiting $GRANT_WAIT s until they grant claims"
pause "$GRANT_WAIT"
start caller bin/standin caller --plan "$PLAN" --fabric "$FABRIC"
CALLER=$STARTED
log "callers start"
disturb
wait "$CALLER" || die "callers failed: $(cat "$RUN/caller.err")"
stopped=0
wait "${HOST_PIDS[5]}" || stopped=$?
curl -sf "http://$(jq -r .Admin "$RUN/desk.out")/ledger" >"$RUN/desk.json"
curl -sf "http://$(jq -r .Admin "$RUN/office.out")/ledger" >"$RUN/office.json"
log "fabric: $(curl -sf "http://$(jq -r .Admin "$RUN/fabric.out")/counts")"
log "platform: $(curl -sf "$PLATFORM/admin/calls")"
bin/standin outcome --caller "$RUN/caller.out" --target "$RUN/desk.json" --target "$RUN/office.json"
if [ "$stopped" != 0 ]; then die "host 6 ended with exit code $stopped after SIGTERM"; fi
