# Guards "an accepted configuration never reverts" and the rule that
# everything but publishing goes on without the platform: during an outage a
# host is killed, and a new one of the same name joins from its peers.
start_trust
start_callers
pause 2
log "the platform is down"
platform_faults '{"Outage": true}'
pause 1
log "host 5 is killed"
kill -KILL "${HOST_PIDS[4]}"
wait "${HOST_PIDS[4]}" 2>/dev/null || true
# The addresses are those of the old host, because the fabric cannot read a new roster.
seeds=""
for i in 1 2; do seeds+="{\"Host\": \"host-$i\", \"PeerAddress\": \"$(show roster.out "Hosts.$((i - 1)).PeerAddress")\"},"; done
sed -e "s/\"Seeds\": null/\"Seeds\": [${seeds%,}]/" \
  -e "s/\"\(Data\|Peer\|Admin\)Address\": \"127.0.0.1:0\"/\"\1Address\": \"\1\"/" "$RUN/host-5.json" >"$RUN/new.json"
for kind in Data Peer Admin; do sed -i "s/\"${kind}Address\": \"$kind\"/\"${kind}Address\": \"$(show roster.out "Hosts.4.${kind}Address")\"/" "$RUN/new.json"; done
pause 1
log "a new host 5 starts"
start host-5-new "$HOST_PROGRAM" serve --settings "$RUN/new.json"
HOST_PIDS[4]=$STARTED
call "http://$(admin 5)/readyz" --wait 20s >/dev/null || fault "the new host is not ready: $(tail -3 "$RUN/host-5-new.out")"
if operate 1 publish drain auction-desk auction-desk-05; then fault "a change was accepted during the outage"; fi
log "a change is refused: $(cat "$RUN/publish.err")"
pause 3
# Each transfer or bid that the new host takes needs claims of its own.
served=$(call "http://$(admin 5)/metrics" | awk '$1 == "pimentospread_peer_sent_bytes_total{kind=\"Claim\"}" { n = $2 } END { print n + 0 }')
if [ "$served" = 0 ]; then fault "the new host has taken no request"; fi
log "the platform is back"
platform_faults '{}'
operate 5 publish drain auction-desk auction-desk-05 || fault "a change is refused after the outage: $(cat "$RUN/publish.err")"
read_release
in_force "$GENERATION"
compare
conclude "publishing refused, new host sent $served bytes of claims, generation $GENERATION in force on $HOSTS hosts; $SUMMARY"
