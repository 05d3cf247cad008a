# Guards "an accepted configuration is in force on every host and never reverts".
# Two operators change the same generation at the same time at different hosts.
# Exactly one change must be accepted, and the error of the other must name the
# winner.
GRANT_WAIT=0
ROUNDS=${ROUNDS:-20}
start_trust_cell
start_callers
drained_2="" drained_5=""
accepted=0 refused=0
# undo_option DRAINED prints --undo if the target is already drained, so that the
# drain is undone.
undo_option() { if [ -n "$1" ]; then echo --undo; fi; }
for round in $(seq "$ROUNDS"); do
  read_release
  code_2=0 code_5=0
  # shellcheck disable=SC2046 # undo_option prints one word or none
  run_command_at 2 race-2 drain $(undo_option "$drained_2") --if-generation "$GENERATION" --by alice auction-desk auction-desk-02 &
  first=$!
  # shellcheck disable=SC2046
  run_command_at 5 race-5 drain $(undo_option "$drained_5") --if-generation "$GENERATION" --by bob auction-desk auction-desk-05 &
  second=$!
  wait "$first" || code_2=$?
  wait "$second" || code_5=$?
  case "$code_2 $code_5" in
  "0 4")
    winner=alice loser=race-5
    if [ -n "$drained_2" ]; then drained_2=""; else drained_2=yes; fi
    ;;
  "4 0")
    winner=bob loser=race-2
    if [ -n "$drained_5" ]; then drained_5=""; else drained_5=yes; fi
    ;;
  *)
    report_violation "round $round: the commands exited with $code_2 and $code_5, want 0 and 4: $(cat "$RUN"/race-*.err)"
    continue
    ;;
  esac
  accepted=$((accepted + 1)) refused=$((refused + 1))
  grep -q "generation $((GENERATION + 1)) by \\\\*\"$winner" "$RUN/$loser.err" ||
    report_violation "round $round: the error of the refused command does not name the winner $winner: $(cat "$RUN/$loser.err")"
  before=$GENERATION
  read_release
  if [ "$GENERATION $PUBLISHER" != "$((before + 1)) $winner" ]; then
    report_violation "round $round: generation $GENERATION by $PUBLISHER is in force, not $((before + 1)) by $winner"
  fi
  wait_in_force "$GENERATION"
done
summarize_outcome
print_result "$accepted accepted and $refused refused in $ROUNDS races, last generation $GENERATION; $SUMMARY"
