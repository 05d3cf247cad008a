# Guards "an accepted configuration is in force": the platform loses the
# answers to writes that took effect. An operator is told "accepted" only if
# the change is in force, and "lost the race" only if it is not.
GRANT_WAIT=0
start_trust
start_callers
accepted=0 uncertain=0 round=0
for lost in 1 2 3 4 1 2 12; do
  round=$((round + 1)) code=0
  platform_faults "{\"LoseAnswers\": $lost}"
  operate $((round % HOSTS + 1)) publish drain --by "operator-$round" auction-desk "auction-desk-0$round" || code=$?
  platform_faults '{}'
  read_release
  log "$lost answers lost: exit code $code, generation $GENERATION by $PUBLISHER: $(cat "$RUN/publish.out" "$RUN/publish.err")"
  case "$code" in
  0)
    accepted=$((accepted + 1))
    if [ "$PUBLISHER" != "operator-$round" ]; then fault "round $round was told accepted and $PUBLISHER is in force"; fi
    ;;
  4) if [ "$PUBLISHER" = "operator-$round" ]; then fault "round $round was told that it lost and is in force"; fi ;;
  *) uncertain=$((uncertain + 1)) ;;
  esac
  in_force "$GENERATION"
done
compare
conclude "$round changes, $accepted told accepted and in force, $uncertain told uncertain; $SUMMARY"
