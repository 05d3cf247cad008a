# Guards "an accepted configuration is in force on every host and never
# reverts": two operators change the same generation at the same moment from
# different hosts. Exactly one is accepted, and the other is told the winner.
GRANT_WAIT=0
ROUNDS=${ROUNDS:-20}
start_trust
start_callers
drained_2="" drained_5=""
accepted=0 refused=0
# The options of a change; a target that is drained already takes new work again.
undo() { if [ -n "$1" ]; then echo --undo; fi; }
for round in $(seq "$ROUNDS"); do
  read_release
  code_2=0 code_5=0
  # shellcheck disable=SC2046 # no option or one
  operate 2 race-2 drain $(undo "$drained_2") --if-generation "$GENERATION" --by alice auction-desk auction-desk-02 &
  first=$!
  # shellcheck disable=SC2046
  operate 5 race-5 drain $(undo "$drained_5") --if-generation "$GENERATION" --by bob auction-desk auction-desk-05 &
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
    fault "round $round ended with codes $code_2 and $code_5: $(cat "$RUN"/race-*.err)"
    continue
    ;;
  esac
  accepted=$((accepted + 1)) refused=$((refused + 1))
  grep -q "generation $((GENERATION + 1)) by \\\\*\"$winner" "$RUN/$loser.err" ||
    fault "round $round: the loser is not told that $winner won: $(cat "$RUN/$loser.err")"
  before=$GENERATION
  read_release
  if [ "$GENERATION $PUBLISHER" != "$((before + 1)) $winner" ]; then
    fault "round $round: generation $GENERATION by $PUBLISHER is in force, not $((before + 1)) by $winner"
  fi
  in_force "$GENERATION"
done
compare
conclude "$accepted accepted and $refused refused in $ROUNDS races, last generation $GENERATION; $SUMMARY"
