# Guards "an established flow survives any planned change" and "every planned
# stop is graceful": a target drains, a host is killed in the middle of it, and
# another host is stopped gracefully 1 s later.
start_trust
start_callers
pause 5
log "target auction-desk-05 drains"
change drain auction-desk auction-desk-05
log "host 3 is killed"
kill -KILL "${HOST_PIDS[2]}"
wait "${HOST_PIDS[2]}" 2>/dev/null || true
pause 1
log "host 6 is stopped with SIGTERM"
kill -TERM "${HOST_PIDS[5]}"
read_release
in_force "$GENERATION" $((HOSTS - 2))
compare
stopped=0
wait "${HOST_PIDS[5]}" || stopped=$?
if [ "$stopped" != 0 ]; then fault "host 6 ended with exit code $stopped"; fi
conclude "generation $GENERATION in force, exit code of the stopped host $stopped; $SUMMARY"
