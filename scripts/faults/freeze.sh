# Guards "a non-idempotent request runs at most once" and "established flows
# survive". While transfers run, a host is paused for 6 s, longer than every lease,
# and then resumes with its old state.
start_trust_cell
start_callers
pause 4
log "pausing host 4 with SIGSTOP"
kill -STOP "${HOST_PIDS[3]}"
pause 6
log "resuming host 4 with SIGCONT"
kill -CONT "${HOST_PIDS[3]}"
summarize_outcome
print_result "$SUMMARY"
