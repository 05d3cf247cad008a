# Functions that run a cell on loopback: 8 entry hosts with a platform, a fabric,
# targets and callers. A demo sets CELL, SET, DOMAINS and PLAN, sources this file,
# starts target processes with start_targets between start_platform_and_fabric and
# start_hosts, and ends with compare_ledgers. The kernel chooses the ports, and
# programs are built into a folder of the run, so several demos can run at the
# same time.
HOSTS=8
# Seconds to wait after the hosts are ready. A host grants no claims during the
# first MaxLifetime (10 s) after its start.
GRANT_WAIT=${GRANT_WAIT:-11}
# Folder to which each host writes the trace of its decisions, if set.
TRACE_DIR=${TRACE_DIR:-}
# KEYS=1 creates keys for the hosts, with which they authenticate each other.
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

# cleanup ends the jobs of this shell, which are exactly the processes that it
# started. It keeps the logs and ledgers if the run failed or KEEP is set.
cleanup() {
  local status=$? pid
  trap - EXIT
  trap '' INT TERM # a second signal must not interrupt the cleanup
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
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start_process NAME COMMAND... starts a process in the background. Its output goes
# to NAME.out and NAME.err in $RUN, and its id is set in $STARTED.
start_process() {
  local name=$1
  shift
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.err" &
  STARTED=$!
}

# run_job COMMAND... runs a command as a job and waits for it, so that the shell
# handles signals immediately.
run_job() {
  "$@" &
  wait "$!"
}
pause() { run_job sleep "$1"; }

standin() { "$RUN/bin/standin" "$@"; }
# json_field FILE PATH prints a field of a JSON file in $RUN.
json_field() { standin show "$RUN/$1" "$2"; }
# call URL [OPTION...] calls an HTTP endpoint.
call() {
  local url=$1
  shift
  run_job "$RUN/bin/standin" call "$@" "$url"
}
# admin_address HOST prints the administration address of a host.
admin_address() { json_field roster.out "Hosts.$(($1 - 1)).AdminAddress"; }

# wait_for_start NAME waits until a process has printed its addresses.
wait_for_start() {
  for _ in $(seq 100); do
    if [ -s "$RUN/$1.out" ]; then return 0; fi
    pause 0.1
  done
  die "process $1 did not start: $(cat "$RUN/$1.err")"
}

# command_at_host NAME [OPTION...] runs a pimentospread command against host 1. Its
# output goes to command.out and command.err in $RUN.
command_at_host() {
  PIMENTOSPREAD_HOST=http://$(admin_address 1) PIMENTOSPREAD_TOKEN=$(json_field host-1.json AdminToken) \
    run_job "$HOST_PROGRAM" "$@" >"$RUN/command.out" 2>"$RUN/command.err"
}
# change_configuration NAME [OPTION...] runs a command that must succeed.
change_configuration() { command_at_host "$@" || die "command $1 failed: $(cat "$RUN/command.err")"; }

start_platform_and_fabric() {
  log "building the programs"
  mkdir "$RUN/bin"
  # The build runs in the foreground, so that the compilers of an interrupted build
  # end before this shell does.
  go build -o "$RUN/bin/" ./cmd/pimentospread ./cmd/standin
  start_process platform "$RUN/bin/standin" platform
  wait_for_start platform
  PLATFORM=http://$(json_field platform.out Address)
  start_process fabric "$RUN/bin/standin" fabric --roster "$PLATFORM/objects/Roster/$CELL" "${FABRIC_OPTIONS[@]}"
  wait_for_start fabric
  FABRIC=$(json_field fabric.out Address)
}

# start_targets SERVICE OPTION... starts the targets of a service in one process.
start_targets() {
  local service=$1
  shift
  start_process "$service" "$RUN/bin/standin" target --service "$service" --release "$PLATFORM/objects/Release/$CELL" \
    --fabric "$FABRIC" --interval "$BOARD_INTERVAL" "${DOMAIN_OPTIONS[@]}" "$@"
  wait_for_start "$service"
  TARGETS+=("$service")
}

# start_hosts starts the hosts, publishes the object set, and waits until every host
# is ready and grants claims.
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
    start_process "host-$i" "$HOST_PROGRAM" serve --settings "$RUN/host-$i.json"
    HOST_PIDS+=("$STARTED")
    logs+=(--log "$RUN/host-$i.out")
  done
  run_job "$RUN/bin/standin" roster --cell "$CELL" --platform "$PLATFORM" "${ROSTER_OPTIONS[@]}" "${logs[@]}" >"$RUN/roster.out"
  for service in "${TARGETS[@]}"; do targets+=(--targets "$RUN/$service.out"); done
  standin set --set "$SET" "${targets[@]}" >"$RUN/set.json"
  change_configuration apply --file "$RUN/set.json"
  log "$(cat "$RUN/command.out")"
  for i in $(seq "$HOSTS"); do call "http://$(admin_address "$i")/readyz" --wait 20s >/dev/null; done
  log "$HOSTS hosts are ready; waiting $GRANT_WAIT s until they grant claims"
  pause "$GRANT_WAIT"
}

start_callers() {
  start_process caller "$RUN/bin/standin" caller --plan "$PLAN" --fabric "$FABRIC"
  CALLER=$STARTED
  log "the callers were started"
}

# compare_ledgers [OPTION...] waits for the callers and compares their ledger with
# those of the targets. It fails if an invariant was broken. The options are passed
# to "standin outcome".
compare_ledgers() {
  local service ledgers=()
  wait "$CALLER" || die "the caller process failed: $(cat "$RUN/caller.err")"
  for service in "${TARGETS[@]}"; do
    call "http://$(json_field "$service.out" Admin)/ledger" >"$RUN/$service.json"
    ledgers+=(--target "$RUN/$service.json")
  done
  log "fabric: $(call "http://$(json_field fabric.out Admin)/counts")"
  log "platform: $(call "$PLATFORM/admin/calls")"
  standin outcome --caller "$RUN/caller.out" "${ledgers[@]}" "$@"
}
