# Guards "an accepted configuration is in force". The platform loses the answers to
# writes that took effect. A command must exit with 0 (accepted) only if its change
# is in force, and with 4 (lost the race) only if it is not.
GRANT_WAIT=0
start_trust_cell
start_callers
accepted=0 uncertain=0 round=0
for lost in 1 2 3 4 1 2 12; do
  round=$((round + 1)) code=0
  set_platform_faults "{\"LoseAnswers\": $lost}"
  run_command_at $((round % HOSTS + 1)) publish drain --by "operator-$round" auction-desk "auction-desk-0$round" || code=$?
  set_platform_faults '{}'
  read_release
  log "$lost lost answers: exit code $code, generation $GENERATION by $PUBLISHER: $(cat "$RUN/publish.out" "$RUN/publish.err")"
  case "$code" in
  0)
    accepted=$((accepted + 1))
    if [ "$PUBLISHER" != "operator-$round" ]; then report_violation "round $round: the change was accepted, but that of $PUBLISHER is in force"; fi
    ;;
  4) if [ "$PUBLISHER" = "operator-$round" ]; then report_violation "round $round: the command reported a lost race, but its change is in force"; fi ;;
  *) uncertain=$((uncertain + 1)) ;;
  esac
  wait_in_force "$GENERATION"
done
summarize_outcome
print_result "$round changes, $accepted accepted and in force, $uncertain with uncertain outcome; $SUMMARY"
