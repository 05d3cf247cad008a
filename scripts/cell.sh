# The cell that a demo runs: 8 entry hosts and their surroundings on loopback.
# A demo sets CELL, SET, DOMAINS and PLAN, sources this file, starts target
# processes with start_targets between start_surroundings and start_hosts, and
# ends with report. Ports are chosen by the kernel and programs are built into
# a folder of the run, so demos that run at the same time do not disturb each other.
HOSTS=8
# A host grants no claim in its first MaxLifetime (10 s) after its start.
GRANT_WAIT=${GRANT_WAIT:-11}
# When set, each host writes the trace of its decisions to this folder.
TRACE_DIR=${TRACE_DIR:-}
# KEYS=1 gives the hosts keys, so that they authenticate each other.
KEYS=${KEYS:-}
BOARD_INTERVAL=${BOARD_INTERVAL:-2s}
# Options of the fabric, such as "--loss 0.01 --duplicate 0.01".
read -r -a FABRIC_OPTIONS <<<"${FABRIC_OPTIONS:-}"

# Options of the roster, such as "--relay URL".
ROSTER_OPTIONS=()

RUN=$(mktemp -d)
HOST_PROGRAM=${HOST_PROGRAM:-$RUN/bin/pimentospread}
HOST_PIDS=()
TARGETS=()
DOMAIN_OPTIONS=()
for domain in "${DOMAINS[@]}"; do DOMAIN_OPTIONS+=(--domain "$domain"); done

log() { printf '%s %s\n' "$(date +%T)" "$*" >&2; }
die() {
  log "$*"
  exit 1
}

# finish ends the jobs of this shell, which are exactly the processes that it started.
finish() {
  local status=$? pid
  trap - EXIT
  trap '' INT TERM # a second signal does not cut the cleaning up short
  for pid in $(jobs -pr); do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 100); do
    if [ -z "$(jobs -pr)" ]; then break; fi
    sleep 0.1
  done
  for pid in $(jobs -pr); do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$RUN/bin"
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

# job COMMAND... runs a command as a job and waits, so that a signal is handled at once.
job() {
  "$@" &
  wait "$!"
}
pause() { job sleep "$1"; }

standin() { "$RUN/bin/standin" "$@"; }
show() { standin show "$RUN/$1" "$2"; }
# call URL [OPTION...] calls an HTTP endpoint of a process.
call() {
  local url=$1
  shift
  job "$RUN/bin/standin" call "$@" "$url"
}
admin() { show roster.out "Hosts.$(($1 - 1)).AdminAddress"; }

announced() {
  for _ in $(seq 100); do
    if [ -s "$RUN/$1.out" ]; then return 0; fi
    pause 0.1
  done
  die "$1 did not start: $(cat "$RUN/$1.err")"
}

# command_at_host NAME [OPTION...] runs a command of the product against host 1; its output is in $RUN/command.out and .err.
command_at_host() {
  PIMENTOSPREAD_HOST=http://$(admin 1) PIMENTOSPREAD_TOKEN=$(show host-1.json AdminToken) \
    job "$HOST_PROGRAM" "$@" >"$RUN/command.out" 2>"$RUN/command.err"
}
change() { command_at_host "$@" || die "$1 failed: $(cat "$RUN/command.err")"; }

start_surroundings() {
  log "build"
  mkdir "$RUN/bin"
  # In the foreground, so that an interrupted build ends its compilers before this shell ends.
  go build -o "$RUN/bin/" ./cmd/pimentospread ./cmd/standin
  start platform "$RUN/bin/standin" platform
  announced platform
  PLATFORM=http://$(show platform.out Address)
  start fabric "$RUN/bin/standin" fabric --roster "$PLATFORM/objects/Roster/$CELL" "${FABRIC_OPTIONS[@]}"
  announced fabric
  FABRIC=$(show fabric.out Address)
}

# start_targets SERVICE OPTION... runs the targets of a service in one process.
start_targets() {
  local service=$1
  shift
  start "$service" "$RUN/bin/standin" target --service "$service" --release "$PLATFORM/objects/Release/$CELL" \
    --fabric "$FABRIC" --interval "$BOARD_INTERVAL" "${DOMAIN_OPTIONS[@]}" "$@"
  announced "$service"
  TARGETS+=("$service")
}

# start_hosts starts the hosts, publishes the object set and waits until every host is ready.
start_hosts() {
  local i logs=() targets=() service keys=""
  if [ -n "$KEYS" ]; then
    keys=$RUN/keys
    # shellcheck disable=SC2046 # the names have no spaces
    "$HOST_PROGRAM" keys --directory "$keys" --cell "$CELL" $(seq -f '--name host-%g' "$HOSTS") >/dev/null
  fi
  standin settings --directory "$RUN" --cell "$CELL" --count "$HOSTS" "${DOMAIN_OPTIONS[@]}" \
    --platform "$PLATFORM" --fabric "$FABRIC" --trace "$TRACE_DIR" --keys "$keys"
  for i in $(seq "$HOSTS"); do
    start "host-$i" "$HOST_PROGRAM" serve --settings "$RUN/host-$i.json"
    HOST_PIDS+=("$STARTED")
    logs+=(--log "$RUN/host-$i.out")
  done
  job "$RUN/bin/standin" roster --cell "$CELL" --platform "$PLATFORM" "${ROSTER_OPTIONS[@]}" "${logs[@]}" >"$RUN/roster.out"
  for service in "${TARGETS[@]}"; do targets+=(--targets "$RUN/$service.out"); done
  standin set --set "$SET" "${targets[@]}" >"$RUN/set.json"
  change apply --file "$RUN/set.json"
  log "$(cat "$RUN/command.out")"
  for i in $(seq "$HOSTS"); do call "http://$(admin "$i")/readyz" --wait 20s >/dev/null; done
  log "$HOSTS hosts are ready; waiting $GRANT_WAIT s until they grant claims"
  pause "$GRANT_WAIT"
}

start_callers() {
  start caller "$RUN/bin/standin" caller --plan "$PLAN" --fabric "$FABRIC"
  CALLER=$STARTED
  log "callers start"
}

# report waits for the callers and compares what they were told with what the
# targets did; it fails when an invariant was broken. Its arguments are passed on.
report() {
  local service ledgers=()
  wait "$CALLER" || die "callers failed: $(cat "$RUN/caller.err")"
  for service in "${TARGETS[@]}"; do
    call "http://$(show "$service.out" Admin)/ledger" >"$RUN/$service.json"
    ledgers+=(--target "$RUN/$service.json")
  done
  log "fabric: $(call "http://$(show fabric.out Admin)/counts")"
  log "platform: $(call "$PLATFORM/admin/calls")"
  standin outcome --caller "$RUN/caller.out" "${ledgers[@]}" "$@"
}
