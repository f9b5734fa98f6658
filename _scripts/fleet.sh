# Functions that run a fleet of the built programs on loopback. Source it from the root of the repository.
#
# It sets DIRECTORY (settings, keys, logs, declarations) and PIDS (the id of each process by its name). Processes are
# stopped by their ids, and only while they are jobs of this shell.

FLEET_BIN=$PWD/bin
PLATFORM=127.0.0.1:21000
SEEDS="127.0.0.1:21201, 127.0.0.1:21204, 127.0.0.1:21207"
DECLARATIONS=_fixtures/declarations/consortium
HOSTS=(kochi-gateway-1 kochi-gateway-2 kochi-scheduler-1 thrissur-gateway-1 thrissur-gateway-2 thrissur-scheduler-1
	kozhikode-gateway-1 kozhikode-gateway-2 kozhikode-scheduler-1)
declare -A PIDS=() ADDRESSES=() ADMINS=()

# milliseconds prints the time since the epoch.
milliseconds() {
	echo $((${EPOCHREALTIME/./} / 1000))
}

# until_true SECONDS COMMAND... repeats the command until it succeeds.
until_true() {
	local until=$(($(milliseconds) + $1 * 1000))
	shift
	until "$@"; do
		(($(milliseconds) < until)) || return 1
		sleep 0.05
	done
}

role_of() {
	local role=${1#*-}
	echo "${role%-*}"
}

# prepare creates keys and settings, and a copy of the declarations that may be edited.
prepare() {
	local i name
	DIRECTORY=$(mktemp -d "${TMPDIR:-/tmp}/usher-demo.XXXXXX")
	mkdir "$DIRECTORY/logs"
	cp -r "$DECLARATIONS" "$DIRECTORY/declarations"
	"$FLEET_BIN/usherctl" keys authority --out "$DIRECTORY/keys" >"$DIRECTORY/logs/keys" || return
	"$FLEET_BIN/usherctl" keys secret --out "$DIRECTORY/keys/fleet.secret" >>"$DIRECTORY/logs/keys" || return
	for i in "${!HOSTS[@]}"; do
		name=${HOSTS[i]}
		ADDRESSES[$name]=127.0.0.1:$((21201 + i))
		ADMINS[$name]=127.0.0.1:$((21301 + i))
		"$FLEET_BIN/usherctl" keys issue "$name" --authority "$DIRECTORY/keys" --out "$DIRECTORY/keys" >>"$DIRECTORY/logs/keys" || return
		write_settings "$name" || return
	done
}

write_settings() {
	local text
	text=$(<"_fixtures/demo/$(role_of "$1").ini") || return
	text=${text//@NAME@/$1}
	text=${text//@DATA_CENTRE@/${1%%-*}}
	text=${text//@ADDRESS@/${ADDRESSES[$1]}}
	text=${text//@ADMIN@/${ADMINS[$1]}}
	text=${text//@PLATFORM@/$PLATFORM}
	text=${text//@SEEDS@/$SEEDS}
	text=${text//@DIRECTORY@/$DIRECTORY}
	echo "$text" >"$DIRECTORY/$1.ini"
}

# start NAME PROGRAM ARGUMENTS... starts a process in the background.
start() {
	local name=$1 program=$2
	shift 2
	"$FLEET_BIN/$program" "$@" >>"$DIRECTORY/logs/$name" 2>&1 &
	PIDS[$name]=$!
}

start_standins() {
	start standins usher-standin all --config _fixtures/demo/standins.ini
	until_true 10 grep -q '"address":"127.0.0.1:21103"' "$DIRECTORY/logs/standins"
}

start_host() {
	start "$1" "usher-$(role_of "$1")" "$DIRECTORY/$1.ini"
}

# publish_hosts publishes the host list, with all hosts live, to the platform.
publish_hosts() {
	local name separator='' text='{"hosts":['
	for name in "${HOSTS[@]}"; do
		text+="$separator{\"name\":\"$name\",\"address\":\"${ADDRESSES[$name]}\",\"data_centre\":\"${name%%-*}\""
		text+=",\"role\":\"$(role_of "$name")\",\"state\":\"live\"}"
		separator=,
	done
	echo "$text]}" >"$DIRECTORY/hosts.json"
	"$FLEET_BIN/usher-standin" hosts "$DIRECTORY/hosts.json" --platform "$PLATFORM" >>"$DIRECTORY/logs/publish" 2>&1
}

# publish checks, renders and publishes the copy of the declarations, as the operators' pipeline does, and sets PUBLISHED
# to the time just before they were sent to the platform.
publish() {
	local rendered=$DIRECTORY/rendered-$1
	sed -i "s/^revision = .*/revision = $1/" "$DIRECTORY/declarations/declaration.ini" || return
	{
		"$FLEET_BIN/usherctl" check "$DIRECTORY/declarations" &&
			"$FLEET_BIN/usherctl" render "$DIRECTORY/declarations" --out "$rendered" &&
			PUBLISHED=$(milliseconds) &&
			"$FLEET_BIN/usher-standin" publish "$rendered" --platform "$PLATFORM"
	} >>"$DIRECTORY/logs/publish" 2>&1
}

# set_in_service SECTION true|false edits the copy of the declarations.
set_in_service() {
	sed -i "/^\[$1\]/,/^in_service/s/^in_service = .*/in_service = $2/" "$DIRECTORY/declarations/places.ini"
}

# revision_of NAME prints the revision that is in effect in a process, according to its dump.
revision_of() {
	"$FLEET_BIN/usherctl" dump "${ADMINS[$1]}" 2>>"$DIRECTORY/logs/dump" | sed -n 's/^configuration\.revision = //p'
}

all_have_revision() {
	local name
	for name in "${HOSTS[@]}"; do
		[[ $(revision_of "$name") == "$1" ]] || return 1
	done
}

# serves NAME succeeds if a gateway completes a call of a plain service and a generation.
serves() {
	local address=${ADDRESSES[$1]}
	"$FLEET_BIN/usherctl" send "$address" standing -p artisan=Meera >>"$DIRECTORY/logs/ready" 2>&1 &&
		"$FLEET_BIN/usherctl" send "$address" appraisal -p craft=weave -p entry='a first appraisal, tokens=1' >>"$DIRECTORY/logs/ready" 2>&1
}

all_serve() {
	local name
	for name in "${HOSTS[@]}"; do
		[[ $name == *-gateway-* ]] || continue
		until_true 30 serves "$name" || return
	done
}

# record PORT prints the record of the stand-in at a loopback port.
record() {
	"$FLEET_BIN/usher-standin" record "127.0.0.1:$1"
}

# join NAME waits for a process and returns its status.
join() {
	local pid=${PIDS[$1]}
	unset "PIDS[$1]"
	wait "$pid"
}

# stop_all sends SIGTERM to every process that was started and is still running, and SIGKILL after three seconds.
stop_all() {
	local pids
	pids=$(jobs -pr)
	[[ -z $pids ]] || kill $pids 2>/dev/null
	until_true 3 none_runs
	pids=$(jobs -pr)
	[[ -z $pids ]] || kill -KILL $pids 2>/dev/null
	wait 2>/dev/null
}

none_runs() {
	[[ -z $(jobs -pr) ]]
}
