# Functions that run a local set of processes: three zones with one entry
# process, one or more control processes, two executors and two workers each.
#
# To be sourced. The caller sets $bin (folder of the programs) and $dir (folder
# for settings, logs and data) before. $pids maps the name of each process to
# its process ID. All processes are killed when the sourcing shell exits.

zones="a b c"
declare -A pids

# Prints N ports that are free now. They lie below the kernel's range of ports
# for outgoing connections, so that no connection can take the port of a
# process that is being restarted.
free_ports() { # N
    python3 -c '
import random, socket, sys
low = int(open("/proc/sys/net/ipv4/ip_local_port_range").read().split()[0])
ports = []
for port in random.sample(range(10000, max(low, 20000)), 2000):
    with socket.socket() as s:
        try:
            s.bind(("127.0.0.1", port))
            ports.append(port)
        except OSError:
            pass
    if len(ports) == int(sys.argv[1]):
        break
print(*ports)' "$1"
}

# Runs the command in the background, with its output in $dir/NAME.log.
start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >> "$dir/$name.log" 2>&1 &
    pids[$name]=$!
    disown "${pids[$name]}"
}

stop_all() { # kills all processes and waits until they have exited
    local name
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null
    done
    for name in "${!pids[@]}"; do
        while kill -0 "${pids[$name]}" 2>/dev/null; do
            sleep 0.02
        done
    done
    return 0
}
trap stop_all EXIT

controls_per_zone=${controls_per_zone:-1}
key_file=${key_file:-}
groups=${groups:-3}

control_names() { # ZONE: prints control-a, control-a2, ...
    local k
    echo "control-$1"
    for ((k = 2; k <= controls_per_zone; k++)); do
        echo "control-$1$k"
    done
}

# Chooses the ports and writes the settings of all control and entry processes.
# Sets entry_list (HTTP addresses of the entry processes), bus_ZONE and
# http_ZONE (entry), cbus_NAME and chttp_NAME (control, NAME without control-)
# and exec_ZONE (executors).
write_settings() {
    local ports zone name controls="" entries="" i=0
    read -r -a ports <<< "$(free_ports $((12 + 6 * controls_per_zone)))"
    entry_list=""
    for zone in $zones; do
        eval "bus_$zone=127.0.0.1:${ports[i]} http_$zone=127.0.0.1:${ports[i + 1]}"
        eval "exec_$zone='127.0.0.1:${ports[i + 2]} 127.0.0.1:${ports[i + 3]}'"
        i=$((i + 4))
        local b="bus_$zone" h="http_$zone"
        entries+="  - {name: entry-$zone, zone: $zone, bus: ${!b}, http: ${!h}}"$'\n'
        entry_list+="${entry_list:+,}${!h}"
        for name in $(control_names "$zone"); do
            eval "cbus_${name#control-}=127.0.0.1:${ports[i]}"
            eval "chttp_${name#control-}=127.0.0.1:${ports[i + 1]}"
            i=$((i + 2))
            local cb="cbus_${name#control-}" ch="chttp_${name#control-}"
            controls+="  - {name: $name, zone: $zone, bus: ${!cb}, http: ${!ch}}"$'\n'
        done
    done
    for zone in $zones; do
        for name in $(control_names "$zone"); do
            write_control "$name" "$zone"
        done
        local b="bus_$zone" h="http_$zone"
        cat > "$dir/entry-$zone.yaml" <<YAML
name: entry-$zone
zone: $zone
bus: ${!b}
http: ${!h}
drain_ms: 500
groups: $groups
${key_file:+key_file: $key_file}
controls:
$controls
entries:
$entries
YAML
    done
    echo "rules_file: $dir/rules" >> "$dir/control-a.yaml"
}

write_control() { # NAME ZONE; uses the local $controls of write_settings
    local cb="cbus_${1#control-}" ch="chttp_${1#control-}"
    cat > "$dir/$1.yaml" <<YAML
name: $1
zone: $2
bus: ${!cb}
http: ${!ch}
data: $dir/data-${1#control-}
lease_ms: 2000
election_ms: 600
heartbeat_ms: 60
groups: $groups
${key_file:+key_file: $key_file}
controls:
$controls
YAML
}

start_control() { # NAME without the prefix control-
    start "control-$1" "$bin/jayrelay-control" --settings "$dir/control-$1.yaml"
}

start_entry() { # ZONE
    start "entry-$1" "$bin/jayrelay-entry" --settings "$dir/entry-$1.yaml"
}

start_fakes() { # ZONE: starts its simulated executors and workers
    local zone=$1 address n=0 list="exec_$1"
    for address in ${!list}; do
        n=$((n + 1))
        start "executor-$zone$n" "$bin/fake-executor" --name "executor-$zone$n" \
            --zone "$zone" --rack "r$n" --listen "$address" --delay-ms 20 \
            --entries "$entry_list" --log "$dir/executor-$zone$n.runs"
        start "worker-$zone$n" "$bin/fake-worker" --name "worker-$zone$n" \
            --zone "$zone" --rack "r$n" --entries "$entry_list" \
            --log "$dir/worker-$zone$n.runs"
    done
}

# Starts all processes; the control processes are initialized first.
start_set() {
    local zone
    local name
    for zone in $zones; do
        for name in $(control_names "$zone"); do
            "$bin/jayrelay-control" --settings "$dir/$name.yaml" --init \
                >> "$dir/$name.log" 2>&1
            start_control "${name#control-}"
        done
    done
    for zone in $zones; do
        start_entry "$zone"
        start_fakes "$zone"
    done
}

# Repeats the command until it succeeds; fails after SECONDS.
wait_until() { # SECONDS COMMAND...
    local end=$(($(date +%s%N) + $1 * 1000000000))
    shift
    until "$@" > /dev/null 2>&1; do
        [ "$(date +%s%N)" -lt "$end" ] || return 1
        sleep 0.02
    done
}

ready() { # succeeds if all entry processes have rules and are not draining
    local zone h
    for zone in $zones; do
        h="http_$zone"
        curl -sf --noproxy '*' "http://${!h}/readyz" || return 1
    done
}
