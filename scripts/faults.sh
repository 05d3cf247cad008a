#!/usr/bin/env bash
# Runs fault scenarios on loopback with 8 entry hosts and the Trust's set.
# "faults.sh NAME" runs one scenario of scripts/faults; without a name it runs
# all of them one after the other, prints a table, and exits non-zero when an
# invariant broke. Verdicts are counts and outcomes, never durations.
set -euo pipefail
cd "$(dirname "$0")/.."

SCENARIOS=(freeze race lost outage two silent cut)

if [ $# = 0 ]; then
  results=() broken=0
  for name in "${SCENARIOS[@]}"; do
    line=$("$0" "$name") || broken=$((broken + 1))
    results+=("${line:-$name|FAILED|no result}")
  done
  printf '%-8s %-7s %s\n' scenario verdict figures
  for line in "${results[@]}"; do
    IFS='|' read -r name verdict figures <<<"$line"
    printf '%-8s %-7s %s\n' "$name" "$verdict" "$figures"
  done
  exit $((broken > 0))
fi

SCENARIO=$1
case " ${SCENARIOS[*]} " in
*" $SCENARIO "*) ;;
*)
  echo "scenario \"$SCENARIO\" does not exist; there are: ${SCENARIOS[*]}" >&2
  exit 2
  ;;
esac
PLAN=scripts/faults/plan.json
CELL=lk-west
SET=examples/trust.json
DOMAINS=(lk-west-neg lk-west-col lk-west-ber)
source scripts/cell.sh

FAULTS=()
fault() {
  log "BROKEN: $*"
  FAULTS+=("$*")
}

# operate HOST NAME COMMAND... runs a command of the product against a host.
# Its output is in $RUN/NAME.out and .err, and its exit code is returned.
operate() {
  local host=$1 name=$2
  shift 2
  PIMENTOSPREAD_HOST=http://$(admin "$host") PIMENTOSPREAD_TOKEN=$(show "host-$host.json" AdminToken) \
    "$HOST_PROGRAM" "$@" >"$RUN/$name.out" 2>"$RUN/$name.err"
}

platform_faults() { call "$PLATFORM/admin/faults" --method PUT --body "$1" >/dev/null; }

# read_release sets GENERATION and PUBLISHER from the release that the platform holds.
read_release() {
  call "$PLATFORM/objects/Release/$CELL" >"$RUN/release.json"
  GENERATION=$(show release.json Value.Generation)
  PUBLISHER=$(show release.json Value.Publisher)
}

# in_force GENERATION waits until COUNT live hosts, by default all, place new work by the generation.
in_force() {
  local count=${2:-$HOSTS} found
  for _ in $(seq 100); do
    operate 1 status status || true
    found=$(awk -v g="$1" '$3 == "yes" && $7 == g' "$RUN/status.out" | wc -l)
    if [ "$found" = "$count" ]; then return 0; fi
    pause 0.2
  done
  fault "generation $1 is in force on $found of $count hosts: $(tr '\n' ';' <"$RUN/status.out")"
}

# generations_rise checks that no host went back from a generation.
generations_rise() {
  local file falls
  for file in "$RUN"/host-*.out; do
    falls=$(sed -n 's/.*"msg":"view changed".*"generation":\([0-9]*\).*/\1/p' "$file" |
      awk '$1 < last { n++ } { last = $1 } END { print NR ? n + 0 : "unknown" }')
    if [ "$falls" != 0 ]; then fault "$(basename "$file" .out) went back $falls times (unknown without a view in its log)"; fi
  done
}

start_trust() {
  start_surroundings
  start_targets auction-desk --count 14 --slots 2 --connections 2000 --service-time 20ms
  start_targets cert-office --count 4 --slots 2 --connections 2000 --service-time 200ms
  start_hosts
}

# compare checks the ledger of the callers against those of the targets and sets SUMMARY.
compare() {
  local i name
  SUMMARY="" 
  if ! report --json >"$RUN/outcome.json"; then fault "the ledgers show a broken invariant"; fi
  for i in 0 1; do
    name=$(show outcome.json "Flows.$i.Service")
    SUMMARY+="$name $(show outcome.json "Flows.$i.Held")/$(show outcome.json "Flows.$i.Opened") held, $(show outcome.json "Flows.$i.Broken") broken; "
  done
  SUMMARY+="run twice $(show outcome.json RunTwice), not run but ran $(show outcome.json NotRunButRan),"
  SUMMARY+=" misdelivered $(show outcome.json Misdelivered), late $(show outcome.json Late)"
  for i in 0 1 2; do
    SUMMARY+="; $(show outcome.json "Requests.$i.Class") $(show outcome.json "Requests.$i.Answered")/$(show outcome.json "Requests.$i.Asked")"
  done
}

# conclude prints the line of result and ends the scenario.
conclude() {
  generations_rise
  if [ ${#FAULTS[@]} = 0 ]; then
    printf '%s|ok|%s\n' "$SCENARIO" "$1"
    exit 0
  fi
  printf '%s|BROKEN|%s; %s\n' "$SCENARIO" "$(
    IFS=';'
    echo "${FAULTS[*]}"
  )" "$1"
  exit 1
}

source "scripts/faults/$SCENARIO.sh"
