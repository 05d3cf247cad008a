#!/usr/bin/env bash
# Runs fault scenarios on loopback with 8 entry hosts and the Trust's object set.
# "faults.sh NAME" runs one scenario of scripts/faults. Without a name it runs all
# of them in turn, prints a table, and exits non-zero if an invariant was broken.
# Verdicts depend on counts and outcomes only, never on durations.
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
  echo "scenario \"$SCENARIO\" does not exist; known scenarios: ${SCENARIOS[*]}" >&2
  exit 2
  ;;
esac
PLAN=scripts/faults/plan.json
CELL=lk-west
SET=examples/trust.json
DOMAINS=(lk-west-neg lk-west-col lk-west-ber)
source scripts/cell.sh

VIOLATIONS=()
# report_violation MESSAGE logs a broken invariant, which makes the scenario fail.
report_violation() {
  log "BROKEN: $*"
  VIOLATIONS+=("$*")
}

# run_command_at HOST NAME COMMAND... runs a pimentospread command against a host.
# Its output goes to NAME.out and NAME.err in $RUN, and its exit code is returned.
run_command_at() {
  local host=$1 name=$2
  shift 2
  PIMENTOSPREAD_HOST=http://$(admin_address "$host") PIMENTOSPREAD_TOKEN=$(json_field "host-$host.json" AdminToken) \
    "$HOST_PROGRAM" "$@" >"$RUN/$name.out" 2>"$RUN/$name.err"
}

# set_platform_faults JSON sets the faults of the platform stand-in.
set_platform_faults() { call "$PLATFORM/admin/faults" --method PUT --body "$1" >/dev/null; }

# read_release sets GENERATION and PUBLISHER from the release on the platform.
read_release() {
  call "$PLATFORM/objects/Release/$CELL" >"$RUN/release.json"
  GENERATION=$(json_field release.json Value.Generation)
  PUBLISHER=$(json_field release.json Value.Publisher)
}

# wait_in_force GENERATION [COUNT] waits until COUNT live hosts, by default all,
# use the generation for new work.
wait_in_force() {
  local count=${2:-$HOSTS} found
  for _ in $(seq 100); do
    run_command_at 1 status status || true
    found=$(awk -v g="$1" '$3 == "yes" && $7 == g' "$RUN/status.out" | wc -l)
    if [ "$found" = "$count" ]; then return 0; fi
    pause 0.2
  done
  report_violation "generation $1 is in force on $found of $count hosts: $(tr '\n' ';' <"$RUN/status.out")"
}

# check_generations checks that no host reverted to an older generation.
check_generations() {
  local file reverts
  for file in "$RUN"/host-*.out; do
    reverts=$(sed -n 's/.*"msg":"view changed".*"generation":\([0-9]*\).*/\1/p' "$file" |
      awk '$1 < last { n++ } { last = $1 } END { print NR ? n + 0 : "unknown" }')
    if [ "$reverts" != 0 ]; then report_violation "$(basename "$file" .out) reverted to an older generation $reverts times (\"unknown\" if its log has no view)"; fi
  done
}

start_trust_cell() {
  start_platform_and_fabric
  start_targets auction-desk --count 14 --slots 2 --connections 2000 --service-time 20ms
  start_targets cert-office --count 4 --slots 2 --connections 2000 --service-time 200ms
  start_hosts
}

# summarize_outcome compares the ledgers of callers and targets and sets SUMMARY.
summarize_outcome() {
  local i name
  SUMMARY=""
  if ! compare_ledgers --json >"$RUN/outcome.json"; then report_violation "the ledgers show a broken invariant"; fi
  for i in 0 1; do
    name=$(json_field outcome.json "Flows.$i.Service")
    SUMMARY+="$name $(json_field outcome.json "Flows.$i.Held")/$(json_field outcome.json "Flows.$i.Opened") held, $(json_field outcome.json "Flows.$i.Broken") broken; "
  done
  SUMMARY+="run twice $(json_field outcome.json RunTwice), not run but ran $(json_field outcome.json NotRunButRan),"
  SUMMARY+=" misdelivered $(json_field outcome.json Misdelivered), late $(json_field outcome.json Late)"
  for i in 0 1 2; do
    SUMMARY+="; $(json_field outcome.json "Requests.$i.Class") $(json_field outcome.json "Requests.$i.Answered")/$(json_field outcome.json "Requests.$i.Asked")"
  done
}

# print_result FIGURES prints the result of the scenario and exits.
print_result() {
  check_generations
  if [ ${#VIOLATIONS[@]} = 0 ]; then
    printf '%s|ok|%s\n' "$SCENARIO" "$1"
    exit 0
  fi
  printf '%s|BROKEN|%s; %s\n' "$SCENARIO" "$(
    IFS=';'
    echo "${VIOLATIONS[*]}"
  )" "$1"
  exit 1
}

source "scripts/faults/$SCENARIO.sh"
