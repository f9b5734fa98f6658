#!/usr/bin/env bash
# Demonstrates samphireusher: separate processes of three data centres on loopback, with stand-ins for the platform and
# the targets. Each step is checked; the last line begins with "demo: ok" only if all checks passed.
set -uo pipefail
export LC_ALL=C GOFLAGS=${GOFLAGS:--buildvcs=false}
cd "$(dirname "$0")/.." || exit 1
. _scripts/fleet.sh

export USHER_WORKSPACE=kochi USHER_KEY=kochi-demo-key
STEP=start
STREAMS=0
THRISSUR_ENGINES=(21002 21005 21008 21011)
OTHER_ENGINES=(21001 21003 21004 21006 21007 21009 21010 21012)

main() {
	started=$(milliseconds)
	step build "Building the programs into bin/."
	make -s build || fail "the programs do not build"
	step start "Creating keys, starting the stand-ins, publishing the declarations, and starting ${#HOSTS[@]} hosts: six gateways" \
		"and three schedulers in Kochi, Thrissur and Kozhikode."
	bring_up
	show_locate
	show_stream
	show_lookup
	show_once
	show_parameter
	show_data_centre
	show_dump
	show_broken_stream
	show_planned_stop
	STEP=end
}

# step NAME TEXT... begins a step.
step() {
	STEP=$1
	shift
	printf '\n== %s\n' "$STEP"
	say "$@"
}

say() {
	fold -s -w 100 <<<"$*" | sed 's/ *$//'
}

fail() {
	say "FAILED: $*"
	exit 1
}

finish() {
	local status=$?
	trap - EXIT INT TERM
	stop_all
	echo
	if ((status == 0)) && [[ $STEP == end ]]; then
		rm -rf "$DIRECTORY"
		echo "demo: ok, every step was checked, in $((($(milliseconds) - started + 500) / 1000)) s"
		exit 0
	fi
	echo "The logs are kept in ${DIRECTORY:-nowhere}."
	echo "demo: failed: $STEP"
	exit 1
}

bring_up() {
	local name
	prepare || fail "cannot create keys or settings"
	start_standins || fail "the stand-ins did not listen within 10 s"
	publish 1 || fail "cannot publish the declarations"
	publish_hosts || fail "cannot publish the host list"
	for name in "${HOSTS[@]}"; do
		start_host "$name"
	done
	until_true 15 all_have_revision 1 || fail "the declarations did not take effect in every process within 15 s"
	all_serve || fail "a gateway did not serve within 30 s"
	say "All gateways serve."
}

# open_stream ADDRESS TOKENS starts an appraisal in the background as process "sender" and sets EVENTS, the file
# that receives its events. Its entry contains the unique word MARK.
open_stream() {
	((++STREAMS))
	MARK=entry-$STREAMS
	EVENTS=$DIRECTORY/logs/stream-$STREAMS
	"$FLEET_BIN/usherctl" send "$1" appraisal -p craft=weave -p entry="$MARK: a kasavu mundu for appraisal, tokens=$2" \
		--events --retry 15s >"$EVENTS" 2>&1 &
	PIDS[sender]=$!
}

tokens_in() {
	grep -c '^{"event":"token"' "$1"
}

has_tokens() {
	(($(tokens_in "$1") >= $2))
}

# whole EVENTS TOKENS checks that each token was received once and in order, that the end event has their number, and that
# the answer is a contiguous sequence of words of the source text.
whole() {
	local words answer
	sed -n 's/^{"event":"token","index":\([0-9]*\),.*/\1/p' "$1" | cmp -s - <(seq 0 $(($2 - 1))) || return 1
	grep -q '^{"event":"end",.*"outcome":"completed","tokens":'"$2", "$1" || return 1
	answer=$(sed -n 's/^{"event":"token",.*"text":"\(.*\)"}$/\1/p' "$1" | tr -d '\n')
	words=$(tr -s '[:space:]' ' ' <_fixtures/texts/appraisal.txt)
	[[ "$words$words$words$words" == *"$answer"* ]]
}

show_locate() {
	local answer address
	step locate "There is no load balancer. A caller asks any gateway which gateways to use and caches the answer:" \
		"usherctl locate ${ADDRESSES[kochi-gateway-1]} --near thrissur"
	answer=$("$FLEET_BIN/usherctl" locate "${ADDRESSES[kochi-gateway-1]}" --near thrissur) || fail "no answer"
	say $answer
	for address in $answer; do
		[[ $address == "${ADDRESSES[thrissur-gateway-1]}" || $address == "${ADDRESSES[thrissur-gateway-2]}" ]] ||
			fail "$address is not a gateway of the nearest data centre"
	done
	LOCATED=${answer%%$'\n'*}
}

show_stream() {
	local begun first
	step stream "A caller requests a long appraisal from that gateway and reads it as it is generated. The words are those of" \
		"_fixtures/texts/appraisal.txt, with one event per token."
	begun=$(milliseconds)
	open_stream "$LOCATED" 500
	until_true 10 has_tokens "$EVENTS" 1 || fail "no token was received within 10 s"
	first=$(($(milliseconds) - begun))
	kill -0 "${PIDS[sender]}" 2>/dev/null || fail "the answer was not streamed: the caller exited right after the first token"
	! grep -q '"event":"end"' "$EVENTS" || fail "the first token was received together with the end event"
	join sender || fail "the appraisal was not completed"
	whole "$EVENTS" 500 || fail "the answer has missing, repeated or wrong tokens"
	say "\"$(sed -n 's/^{"event":"token",.*"text":"\(.*\)"}$/\1/p' "$EVENTS" | head -14 | tr -d '\n') ...\""
	say "The first token was received after $first ms (including the start of usherctl), all 500 after" \
		"$(($(milliseconds) - begun)) ms, each once and in order."
}

show_lookup() {
	local answer
	step lookup "A caller looks up the standing of an artisan at a plain service."
	answer=$("$FLEET_BIN/usherctl" send "$LOCATED" standing -p artisan=Meera 2>/dev/null) || fail "no answer"
	say "$answer"
	[[ $answer == *'"operation":"standing"'*'"artisan":"Meera"'* ]] || fail "the answer is not the standing of Meera"
}

# executions prints how often the plain services ran an operation for an artisan, according to their records.
executions() {
	local port count=0 n
	for port in 21101 21102 21103; do
		for n in $(record "$port" | grep -o "{\"operation\":\"$1\",\"parameters\":{[^}]*\"artisan\":\"$2\"[^}]*},\"executions\":[0-9]*" |
			grep -o '[0-9]*$'); do
			((count += n))
		done
	done
	echo "$count"
}

show_once() {
	local first second id
	step once "A stall is allotted. The allotment must not run twice, so it is sent under a request id. The caller then sends" \
		"it again to a gateway of another data centre, as if the first answer had been lost."
	first=$("$FLEET_BIN/usherctl" send "$LOCATED" allotment -p artisan=Devaki -p stall=41 --once --json) || fail "the first request was refused"
	id=$(sed -n 's/.*"request_id":"\([^"]*\)".*/\1/p' <<<"$first")
	second=$("$FLEET_BIN/usherctl" send "${ADDRESSES[kozhikode-gateway-2]}" allotment -p artisan=Devaki -p stall=41 --id "$id" --json) ||
		fail "the second request was refused"
	[[ $first == "$second" ]] || fail "the answers differ: $first and $second"
	[[ $(executions allotment Devaki) == 1 ]] || fail "the allotment ran $(executions allotment Devaki) times"
	say "Both requests got the same answer, and the registries' records show one execution:" \
		"$(sed -n 's/.*"result":\(.*\)}$/\1/p' <<<"$first")"
}

show_parameter() {
	local begun took name
	step parameter "While an appraisal is streamed, operators change the parameter fair of workspace kochi in the" \
		"declarations, check and render them with usherctl, and publish."
	open_stream "$LOCATED" 400
	until_true 10 has_tokens "$EVENTS" 1 || fail "no token was received within 10 s"
	sed -i "s/^fair = .*/fair = the Onam fair at Kochi/" "$DIRECTORY/declarations/workspaces/kochi.ini"
	publish 2 || fail "cannot publish the change"
	begun=$PUBLISHED
	until_true 10 all_have_revision 2 || fail "revision 2 did not take effect in every process within 10 s"
	took=$(($(milliseconds) - begun))
	((took <= 4000)) || fail "revision 2 took effect after $took ms, more than 4000 ms"
	for name in "${HOSTS[@]}"; do
		say "$name: revision $(revision_of "$name")"
	done
	"$FLEET_BIN/usherctl" send "$LOCATED" appraisal -p craft=weave -p entry='onam-entry, tokens=3' >>"$DIRECTORY/logs/onam" 2>&1 ||
		fail "an appraisal after the change was refused"
	records | grep -o '"prompt":"[^"]*onam-entry' | grep -q 'the Onam fair at Kochi' || fail "the prompt has the old value"
	join sender || fail "the appraisal in progress was interrupted"
	whole "$EVENTS" 400 || fail "the appraisal in progress has missing, repeated or wrong tokens"
	say "In effect in all ${#HOSTS[@]} processes, according to their dumps, $took ms after publishing; the next prompt had" \
		"the new value, and the appraisal in progress was completed."
}

records() {
	local port
	for port in "${THRISSUR_ENGINES[@]}" "${OTHER_ENGINES[@]}"; do
		record "$port"
	done
}

# starts_since TIME PORT... prints how many generations started at these engines after a time.
starts_since() {
	local port count=0 since=$1 at
	shift
	for port in "$@"; do
		for at in $(record "$port" | grep -o '"started_at_ms":[0-9]*' | grep -o '[0-9]*$'); do
			((at > since)) && ((count += 1))
		done
	done
	echo "$count"
}

# load runs short appraisals, twelve at a time, until the file "$DIRECTORY/loaded" is removed.
load() {
	local i pids=()
	trap 'kill "${pids[@]}" 2>/dev/null; exit' TERM
	while [[ -e $DIRECTORY/loaded ]]; do
		pids=()
		for i in {1..12}; do
			"$FLEET_BIN/usherctl" send "${ADDRESSES[kochi-gateway-2]}" appraisal -p craft=coir -p entry="load $i, tokens=40" \
				--retry 15s >/dev/null 2>>"$DIRECTORY/logs/load" || echo "$?" >>"$DIRECTORY/load-failures" &
			pids+=($!)
		done
		wait "${pids[@]}"
	done
}

thrissur_works() {
	(($(starts_since "$1" "${THRISSUR_ENGINES[@]}") > 0))
}

show_data_centre() {
	local begun out elsewhere answer
	step data_centre "Operators take the data centre Thrissur out of service while twelve concurrent callers request appraisals."
	touch "$DIRECTORY/loaded"
	load &
	PIDS[load]=$!
	begun=$(milliseconds)
	until_true 15 thrissur_works "$begun" || fail "no generation started in Thrissur before it was taken out of service"
	set_in_service "data_centre thrissur" false
	publish 3 || fail "cannot publish the change"
	out=$PUBLISHED
	sleep 8
	elsewhere=$(starts_since $((out + 4000)) "${OTHER_ENGINES[@]}")
	((elsewhere > 0)) || fail "no generation started in the other data centres, so the step shows nothing"
	! thrissur_works $((out + 4000)) || fail "Thrissur's engines started generations later than 4 s after it was taken out of service"
	answer=$("$FLEET_BIN/usherctl" locate "${ADDRESSES[kochi-gateway-1]}" --near thrissur) || fail "no answer to locate"
	[[ $answer != *"${ADDRESSES[thrissur-gateway-1]}"* && $answer != *"${ADDRESSES[thrissur-gateway-2]}"* ]] ||
		fail "locate still lists gateways in Thrissur"
	say "Later than 4 s after it was taken out of service, its engines' records show no new generation, those of the others" \
		"$elsewhere; $(starts_since "$out" "${THRISSUR_ENGINES[@]}") started there in the first 4 s. locate lists gateways elsewhere only."
	set_in_service "data_centre thrissur" true
	publish 4 || fail "cannot publish the change"
	begun=$PUBLISHED
	until_true 20 thrissur_works "$begun" || fail "no generation started in Thrissur within 20 s of its return to service"
	say "Back in service: its engines started generations again after $(($(milliseconds) - begun)) ms."
	rm "$DIRECTORY/loaded"
	join load
	[[ ! -e $DIRECTORY/load-failures ]] || fail "$(wc -l <"$DIRECTORY/load-failures") appraisals of the load failed"
	say "No appraisal of the load was refused permanently or interrupted."
}

show_dump() {
	local dump
	step dump "Each process reports its state on request: usherctl dump ${ADMINS[kozhikode-scheduler-1]}"
	dump=$("$FLEET_BIN/usherctl" dump "${ADMINS[kozhikode-scheduler-1]}") || fail "cannot get the dump"
	grep -E '^(process|configuration.revision|state\.(cell|confirmed|members\[0\].*|targets\[0\].*)) ' <<<"$dump"
	(($(grep -c '^state\.members\[[0-9]*\]\.name' <<<"$dump") == 3)) || fail "the dump does not have three schedulers"
	(($(grep -c '^state\.targets\[[0-9]*\]\.name' <<<"$dump") == 15)) || fail "the dump does not have fifteen targets"
	dump=$("$FLEET_BIN/usherctl" metrics "${ADMINS[kochi-gateway-2]}") || fail "cannot get the metrics"
	say "and its metrics: usherctl metrics ${ADMINS[kochi-gateway-2]}"
	grep -E '^gateway\.(accepted|completed|refused)\.count = ' <<<"$dump"
	(($(sed -n 's/^gateway\.completed\.count = //p' <<<"$dump") > 0)) || fail "the metrics count no completed request"
}

show_broken_stream() {
	local address=${ADDRESSES[kochi-gateway-1]} from
	step broken_stream "A gateway is killed (SIGKILL) during an appraisal. The caller resumes the same generation at another" \
		"gateway, with the handle that it received at the start of the stream."
	open_stream "$address" 600
	until_true 10 has_tokens "$EVENTS" 100 || fail "fewer than 100 tokens were received within 10 s"
	kill -KILL "${PIDS[kochi-gateway-1]}"
	join kochi-gateway-1 2>/dev/null
	join sender || fail "the appraisal was not completed: $(tail -1 "$EVENTS")"
	from=$(sed -n 's/^{"event":"resumed","address":"\([^"]*\)","from":\([0-9]*\)}$/\2 at \1/p' "$EVENTS")
	[[ -n $from && $from != *"$address" ]] || fail "the stream was not resumed at another gateway"
	whole "$EVENTS" 600 || fail "a token was lost or repeated"
	[[ $(records | grep -o "$MARK:" | wc -l) == 1 ]] || fail "it was generated more than once"
	say "Resumed from token $from: all 600 tokens were received once and in order, from one generation according to the" \
		"engines' records."
	start_host kochi-gateway-1
	until_true 30 serves kochi-gateway-1 || fail "the gateway did not serve within 30 s of its restart"
}

show_planned_stop() {
	local address=${ADDRESSES[kochi-gateway-2]} refused status
	step planned_stop "A gateway is stopped as planned (SIGTERM) while an appraisal streams through it, and so is a scheduler."
	open_stream "$address" 600
	until_true 10 has_tokens "$EVENTS" 50 || fail "fewer than 50 tokens were received within 10 s"
	kill -TERM "${PIDS[kochi-gateway-2]}" "${PIDS[kochi-scheduler-1]}"
	join kochi-scheduler-1 || fail "the scheduler exited with status $?"
	until_true 5 grep -q '"planned stop begins"' "$DIRECTORY/logs/kochi-gateway-2" || fail "the gateway did not begin its planned stop within 5 s"
	refused=$("$FLEET_BIN/usherctl" send "$address" standing -p artisan=Meera --json 2>/dev/null)
	status=$?
	[[ $status == 3 && $refused == *'"reason":"stopping"'* ]] || fail "a new request was not refused as not run: $status $refused"
	kill -0 "${PIDS[sender]}" 2>/dev/null || fail "the appraisal ended too early for this step to show anything"
	"$FLEET_BIN/usherctl" send "$LOCATED" appraisal -p craft=weave -p entry='tokens=5' --retry 15s >>"$DIRECTORY/logs/rest" 2>&1 ||
		fail "the rest of the fleet does not serve"
	join sender || fail "the appraisal was interrupted"
	whole "$EVENTS" 600 || fail "the appraisal has missing, repeated or wrong tokens"
	! grep -q '"event":"resumed"' "$EVENTS" || fail "the stream was interrupted and resumed"
	join kochi-gateway-2 || fail "the gateway exited with status $?"
	say "The stopping gateway refused a new request as not run and named another gateway; its open stream was completed" \
		"without interruption. Both processes then exited with status 0 while the rest of the fleet kept serving."
}

trap finish EXIT
trap 'exit 1' INT TERM
main
