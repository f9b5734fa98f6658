#!/usr/bin/env bash
# Shows samphireusher at work: separate processes of three data centres on loopback, with stand-ins for the platform and
# the targets. Each step is checked; the last line begins "demo: ok" only if all of them held.
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
	step start "Making keys, starting the stand-ins, publishing the declarations, and starting ${#HOSTS[@]} hosts: six gateways" \
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
	prepare || fail "keys or settings were not made"
	start_standins || fail "the stand-ins do not listen"
	publish 1 || fail "the declarations were not published"
	publish_hosts || fail "the host list was not published"
	for name in "${HOSTS[@]}"; do
		start_host "$name"
	done
	until_true 15 all_have_revision 1 || fail "not every process has the declarations in force"
	all_serve || fail "not every gateway serves"
	say "All of them serve."
}

# open_stream ADDRESS TOKENS starts an appraisal in the background as process "sender" and sets EVENTS, its file of
# events. Its entry holds a word of its own, MARK.
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

# whole EVENTS TOKENS checks that each token came once and in order, that the end says so, and that the answer is a run
# of words of the real text.
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
	step locate "There is no balancer. A caller asks any gateway which ones to use, and keeps that answer for a while:" \
		"usherctl locate ${ADDRESSES[kochi-gateway-1]} --near thrissur"
	answer=$("$FLEET_BIN/usherctl" locate "${ADDRESSES[kochi-gateway-1]}" --near thrissur) || fail "no answer"
	say $answer
	for address in $answer; do
		[[ $address == "${ADDRESSES[thrissur-gateway-1]}" || $address == "${ADDRESSES[thrissur-gateway-2]}" ]] ||
			fail "$address is no gateway of the nearest data centre"
	done
	LOCATED=${answer%%$'\n'*}
}

show_stream() {
	local begun first
	step stream "A juror asks that gateway for a long appraisal and reads it as it is written. The words are those of" \
		"_fixtures/texts/appraisal.txt, one event a token."
	begun=$(milliseconds)
	open_stream "$LOCATED" 500
	until_true 10 has_tokens "$EVENTS" 1 || fail "no first token"
	first=$(($(milliseconds) - begun))
	kill -0 "${PIDS[sender]}" 2>/dev/null || fail "the answer came at once and not token by token"
	! grep -q '"event":"end"' "$EVENTS" || fail "the first token came with the last"
	join sender || fail "the appraisal was not completed"
	whole "$EVENTS" 500 || fail "the answer is not whole"
	say "\"$(sed -n 's/^{"event":"token",.*"text":"\(.*\)"}$/\1/p' "$EVENTS" | head -14 | tr -d '\n') ...\""
	say "The first token was seen after $first ms (with the start of the program that asked), all 500 after" \
		"$(($(milliseconds) - begun)) ms, each once and in order."
}

show_lookup() {
	local answer
	step lookup "An artisan looks up their standing at a plain service."
	answer=$("$FLEET_BIN/usherctl" send "$LOCATED" standing -p artisan=Meera 2>/dev/null) || fail "no answer"
	say "$answer"
	[[ $answer == *'"operation":"standing"'*'"artisan":"Meera"'* ]] || fail "that is another answer"
}

# executions prints how often the plain services ran an operation for an artisan, by their own records.
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
	step once "A stall is allotted. The allotment may not run twice, so it is sent under a request id; then the caller," \
		"not sure of the first answer, sends it again at a gateway of another data centre."
	first=$("$FLEET_BIN/usherctl" send "$LOCATED" allotment -p artisan=Devaki -p stall=41 --once --json) || fail "the first was refused"
	id=$(sed -n 's/.*"request_id":"\([^"]*\)".*/\1/p' <<<"$first")
	second=$("$FLEET_BIN/usherctl" send "${ADDRESSES[kozhikode-gateway-2]}" allotment -p artisan=Devaki -p stall=41 --id "$id" --json) ||
		fail "the second was refused"
	[[ $first == "$second" ]] || fail "two answers: $first and $second"
	[[ $(executions allotment Devaki) == 1 ]] || fail "it ran $(executions allotment Devaki) times"
	say "Both got the same answer, and the registries' own records show one execution:" \
		"$(sed -n 's/.*"result":\(.*\)}$/\1/p' <<<"$first")"
}

show_parameter() {
	local begun took name
	step parameter "While an appraisal is being read, operators change the parameter fair of workspace kochi in the" \
		"declarations, check and render them with usherctl, and publish."
	open_stream "$LOCATED" 400
	until_true 10 has_tokens "$EVENTS" 1 || fail "no first token"
	sed -i "s/^fair = .*/fair = the Onam fair at Kochi/" "$DIRECTORY/declarations/workspaces/kochi.ini"
	publish 2 || fail "the change was not published"
	begun=$PUBLISHED
	until_true 10 all_have_revision 2 || fail "not every process has revision 2"
	took=$(($(milliseconds) - begun))
	((took <= 4000)) || fail "it took $took ms"
	for name in "${HOSTS[@]}"; do
		say "$name: revision $(revision_of "$name")"
	done
	"$FLEET_BIN/usherctl" send "$LOCATED" appraisal -p craft=weave -p entry='onam-entry, tokens=3' >>"$DIRECTORY/logs/onam" 2>&1 ||
		fail "an appraisal after the change was refused"
	records | grep -o '"prompt":"[^"]*onam-entry' | grep -q 'the Onam fair at Kochi' || fail "the prompt has the old value"
	join sender || fail "the appraisal in progress was cut off"
	whole "$EVENTS" 400 || fail "the appraisal in progress is not whole"
	say "In force on all ${#HOSTS[@]} processes by their own dumps $took ms after publishing; the next prompt had the new" \
		"value, and the appraisal in progress ended whole."
}

records() {
	local port
	for port in "${THRISSUR_ENGINES[@]}" "${OTHER_ENGINES[@]}"; do
		record "$port"
	done
}

# starts_since TIME PORT... prints how many generations began at these engines after a time.
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

# load runs short appraisals, twelve at a time, until the file named "$DIRECTORY/loaded" is gone.
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
	step data_centre "Operators take the data centre Thrissur out while twelve callers at a time ask for appraisals."
	touch "$DIRECTORY/loaded"
	load &
	PIDS[load]=$!
	begun=$(milliseconds)
	until_true 15 thrissur_works "$begun" || fail "Thrissur had no work to begin with"
	set_in_service "data_centre thrissur" false
	publish 3 || fail "the change was not published"
	out=$PUBLISHED
	sleep 8
	elsewhere=$(starts_since $((out + 4000)) "${OTHER_ENGINES[@]}")
	((elsewhere > 0)) || fail "no work ran elsewhere, so the step shows nothing"
	! thrissur_works $((out + 4000)) || fail "Thrissur's engines had new work later than 4 s after it was taken out"
	answer=$("$FLEET_BIN/usherctl" locate "${ADDRESSES[kochi-gateway-1]}" --near thrissur) || fail "locate has no answer"
	[[ $answer != *"${ADDRESSES[thrissur-gateway-1]}"* && $answer != *"${ADDRESSES[thrissur-gateway-2]}"* ]] ||
		fail "callers are still sent to Thrissur"
	say "From 4 s after it was taken out its engines' own records show no new generation, those of the others $elsewhere;" \
		"$(starts_since "$out" "${THRISSUR_ENGINES[@]}") began there in the first 4 s. Callers are sent elsewhere."
	set_in_service "data_centre thrissur" true
	publish 4 || fail "the change was not published"
	begun=$PUBLISHED
	until_true 20 thrissur_works "$begun" || fail "Thrissur had no work after it was returned"
	say "Returned: its engines have work again after $(($(milliseconds) - begun)) ms."
	rm "$DIRECTORY/loaded"
	join load
	[[ ! -e $DIRECTORY/load-failures ]] || fail "$(wc -l <"$DIRECTORY/load-failures") appraisals of the load failed"
	say "No appraisal of the load was refused for good or cut off."
}

show_dump() {
	local dump
	step dump "Each process tells its state on request: usherctl dump ${ADMINS[kozhikode-scheduler-1]}"
	dump=$("$FLEET_BIN/usherctl" dump "${ADMINS[kozhikode-scheduler-1]}") || fail "no dump"
	grep -E '^(process|configuration.revision|state\.(cell|confirmed|members\[0\].*|targets\[0\].*)) ' <<<"$dump"
	(($(grep -c '^state\.members\[[0-9]*\]\.name' <<<"$dump") == 3)) || fail "the dump does not have three schedulers"
	(($(grep -c '^state\.targets\[[0-9]*\]\.name' <<<"$dump") == 15)) || fail "the dump does not have fifteen targets"
	dump=$("$FLEET_BIN/usherctl" metrics "${ADMINS[kochi-gateway-2]}") || fail "no metrics"
	say "and its metrics: usherctl metrics ${ADMINS[kochi-gateway-2]}"
	grep -E '^gateway\.(accepted|completed|refused)\.count = ' <<<"$dump"
	(($(sed -n 's/^gateway\.completed\.count = //p' <<<"$dump") > 0)) || fail "nothing was completed"
}

show_broken_stream() {
	local address=${ADDRESSES[kochi-gateway-1]} from
	step broken_stream "A gateway dies (kill -9) in the middle of an appraisal. The caller takes up the same generation at" \
		"another gateway, by the handle that its stream began with."
	open_stream "$address" 600
	until_true 10 has_tokens "$EVENTS" 100 || fail "no tokens"
	kill -KILL "${PIDS[kochi-gateway-1]}"
	join kochi-gateway-1 2>/dev/null
	join sender || fail "the appraisal was not completed: $(tail -1 "$EVENTS")"
	from=$(sed -n 's/^{"event":"resumed","address":"\([^"]*\)","from":\([0-9]*\)}$/\2 at \1/p' "$EVENTS")
	[[ -n $from && $from != *"$address" ]] || fail "the stream was not resumed at another gateway"
	whole "$EVENTS" 600 || fail "a token was lost or doubled"
	[[ $(records | grep -o "$MARK:" | wc -l) == 1 ]] || fail "it was generated more than once"
	say "Resumed from token $from: all 600 tokens came once and in order, from one generation by the engines' records."
	start_host kochi-gateway-1
	until_true 30 serves kochi-gateway-1 || fail "the gateway does not serve after its restart"
}

show_planned_stop() {
	local address=${ADDRESSES[kochi-gateway-2]} refused status
	step planned_stop "A gateway is stopped as planned (SIGTERM) while an appraisal streams through it, and so is a scheduler."
	open_stream "$address" 600
	until_true 10 has_tokens "$EVENTS" 50 || fail "no tokens"
	kill -TERM "${PIDS[kochi-gateway-2]}" "${PIDS[kochi-scheduler-1]}"
	join kochi-scheduler-1 || fail "the scheduler ended with status $?"
	until_true 5 grep -q '"planned stop begins"' "$DIRECTORY/logs/kochi-gateway-2" || fail "the gateway does not stop"
	refused=$("$FLEET_BIN/usherctl" send "$address" standing -p artisan=Meera --json 2>/dev/null)
	status=$?
	[[ $status == 3 && $refused == *'"reason":"stopping"'* ]] || fail "a new request was not refused as not run: $status $refused"
	kill -0 "${PIDS[sender]}" 2>/dev/null || fail "the appraisal ended too early for this step to show anything"
	"$FLEET_BIN/usherctl" send "$LOCATED" appraisal -p craft=weave -p entry='tokens=5' --retry 15s >>"$DIRECTORY/logs/rest" 2>&1 ||
		fail "the rest of the fleet does not serve"
	join sender || fail "the appraisal was cut off"
	whole "$EVENTS" 600 || fail "the appraisal is not whole"
	! grep -q '"event":"resumed"' "$EVENTS" || fail "the stream was cut and resumed"
	join kochi-gateway-2 || fail "the gateway ended with status $?"
	say "The stopping gateway refused a new request as not run and named another; its open stream ended whole, uncut, and" \
		"then both processes had ended with status 0 while the rest served on."
}

trap finish EXIT
trap 'exit 1' INT TERM
main
