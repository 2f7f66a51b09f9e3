#!/usr/bin/env bash
# Tests of the soak itself, and its short part with fixed seeds.
# Usage: soak_test.sh BUILD CASE
set -uo pipefail
cd "$(dirname "$0")/.." || exit
build=$1
dir=$(mktemp -d)
soak() {
    bench/soak/jayrelay-soak --build "$build" --out "$dir" "$@"
}

fail() {
    echo "FAIL: $* (kept: $dir)" >&2
    exit 1
}

refuses() { # WORDS OPTIONS...: exit status 2, a message, nothing started
    local words=$1 status
    shift
    soak "$@" > "$dir/out" 2> "$dir/err"
    status=$?
    [ "$status" -eq 2 ] || fail "soak $* ended with $status, not 2"
    grep -q -- "$words" "$dir/err" ||
        fail "soak $* does not say '$words': $(cat "$dir/err")"
    compgen -G "$dir/seed-*" > /dev/null &&
        fail "soak $* began in spite of bad input"
    return 0
}

case_bad_input() {
    refuses "'x' is not a whole number" --seed x
    refuses "'-1' is not a whole number" --seed=-1
    refuses "'' is not a whole number" --seeds ''
    refuses "0 is not within" --seeds 0
    refuses "required" --seconds 5
    refuses "not allowed with" --seed 1 --seeds 2
    refuses "unrecognized arguments" --seed 1 --sek 3
    refuses "11 is not within 6 to 10" --seed 1 --executors 11
    refuses "invalid choice" --seed 1 --executor-fault sleepy
    refuses "is not there" --seed 1 --build "$dir"
}

# The faults are a function of the seed.
case_same_series() {
    soak --seed 7 --plan > "$dir/first" || fail "seed 7 has no plan"
    soak --seed 7 --plan > "$dir/second" || fail "seed 7 has no plan"
    cmp "$dir/first" "$dir/second" || fail "seed 7 gave two series"
    soak --seed 8 --plan > "$dir/third"
    cmp -s "$dir/first" "$dir/third" && fail "seeds 7 and 8 gave one series"
    [ "$(wc -l < "$dir/first")" -ge 10 ] || fail "seed 7 has under 10 faults"
}

case_short() {
    soak --seed 1 --seed 2 --seconds 12 || fail "a promise was broken"
}

# Makes a build whose gates are run by a script, in which $child is the gate.
# The soak signals the script; if it is killed, its gate is killed too.
script_gates() { # COMMANDS
    mkdir "$dir/build"
    ln -s "$(realpath "$build/jayrelay-control")" "$dir/build/"
    cat > "$dir/build/jayrelay-gate" <<EOF
#!/usr/bin/env bash
setpriv --pdeathsig KILL "$(realpath "$build/jayrelay-gate")" "\$@" &
child=\$!
trap 'kill -HUP \$child' HUP
$1
while kill -0 \$child 2> /dev/null; do
    wait \$child
    status=\$?
done
exit \$status
EOF
    chmod +x "$dir/build/jayrelay-gate"
    build=$dir/build
}

play() { # STATUS OPTIONS...: within 120 s; prints to $dir/out
    local expected=$1 status
    shift
    timeout --kill-after=5 120 bench/soak/jayrelay-soak --build "$build" \
        --out "$dir" "$@" > "$dir/out" 2>&1
    status=$?
    cat "$dir/out"
    [ "$status" -eq "$expected" ] ||
        fail "soak $* ended with $status, not $expected"
}

# Seed 2 ends gate-2 at 5.72 s and at 6.81 s. If the gate drains for longer
# than that, the second end waits until the gate runs again.
case_ends_that_overlap() {
    script_gates "trap 'sleep 2; kill \$child' TERM"
    play 0 --seed 2 --seconds 7
    [ "$(grep -c 'gate-2 .*term' "$dir/seed-2/report.txt")" -eq 2 ] ||
        fail "gate-2 was not ended twice: $(cat "$dir/seed-2/report.txt")"
    [ "$(cat "$dir"/seed-2/gate-2.?.log | grep -c name=draining)" -eq 2 ] ||
        fail "gate-2 did not drain in each of two lives"
}

# A process that is paused after SIGTERM has as long to end as one that isn't.
case_pauses_before_ends() {
    python3 - "$dir" << 'EOF' || fail "a pause counts as time to end in"
import sys, time
sys.dont_write_bytecode = True
sys.path.insert(0, "bench/soak")
import processes

PROGRAM = "trap 'exit 0' TERM; echo up; while :; do sleep 0.05; done"
IGNORING = "trap '' TERM; echo up; while :; do sleep 0.05; done"
processes.END_WITHIN_S = 2.0
notes = []

def play(program):
    p = processes.Processes("build", sys.argv[1], 6, None,
                            lambda *note: notes.append(note))
    p.command = lambda name: ["bash", "-c", program]
    p.start("gate-1")
    while open(p.current["gate-1"].log).read() != "up\n":
        time.sleep(0.01)
    p.pause("gate-1")
    p.term("gate-1")
    reap_for(p, 3)
    assert p.is_up("gate-1") and not notes, notes
    p.resume("gate-1")
    reap_for(p, 1)
    return p

def reap_for(p, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        p.reap()
        time.sleep(0.02)

p = play(PROGRAM)
assert not p.is_up("gate-1") and not notes, notes
p.stop_all()
p = play(IGNORING)
assert p.is_up("gate-1") and not notes, notes
reap_for(p, 2)
assert not p.is_up("gate-1"), "it still runs"
assert [note[0] for note in notes] == ["END"], notes
p.stop_all()
EOF
}

children_of() { # PID: prints the ids of its children, one a line
    tr ' ' '\n' < "/proc/$1/task/$1/children" | grep .
}

left_over() { # PID...: prints those that still run; a zombie has ended
    local pid
    for pid in "$@"; do
        grep -qs '^State:.[^ZX]' "/proc/$pid/status" &&
            echo "$pid $(grep -s '^State' "/proc/$pid/status")"
    done
    return 0
}

# Ends a soak with the signal while faults go on, and looks for its processes.
interrupt() { # SIGNAL STATUS
    local job pid children status
    soak --seed 3 --seconds 60 > "$dir/out-$1" 2>&1 &
    job=$!
    sleep 8
    # The function runs in a shell of its own, whose child is the soak.
    pid=$(children_of "$job")
    mapfile -t children < <(children_of "$pid")
    [ "${#children[@]}" -ge 9 ] ||
        fail "only ${#children[@]} processes run after 8 s"
    kill "-$1" "$pid"
    wait "$job"
    status=$?
    [ "$status" -eq "$2" ] || fail "$1 gave exit status $status, not $2"
    sleep 1
    [ -z "$(left_over "${children[@]}")" ] ||
        fail "$1 left processes: $(left_over "${children[@]}")"
}

case_interrupted() {
    interrupt INT 130
    grep -q 'INTERRUPTED' "$dir/seed-3/report.txt" ||
        fail "the report does not tell of the interruption"
    interrupt TERM 130
    interrupt KILL 137
}

finds() { # PROMISE FAULT: within ten seeds
    local seed
    for seed in 1 2 3 4 5 6 7 8 9 10; do
        soak --seed "$seed" --seconds 12 --settle 15 --executor-fault "$2" \
            > "$dir/out"
        case $? in
        0) continue ;;
        1) ;;
        *) fail "seed $seed did not play: $(cat "$dir/out")" ;;
        esac
        grep "$1:" "$dir/out" && return 0
    done
    fail "no $1 in ten seeds with $2"
}

case_finds_ignored_lease() {
    finds TWICE ignore-lease
}

case_finds_dropped_end() {
    finds LOST drop-end
}

# Gates that ignore SIGTERM are killed and the soak goes on: each of two lives
# of gate-2 breaks this promise, nothing breaks another one.
case_finds_ignored_sigterm() {
    script_gates "trap '' TERM"
    play 1 --seed 2 --seconds 7
    [ "$(grep -c 'END: gate-2 had not ended 6 s after SIGTERM, see gate-2.' \
        "$dir/out")" -eq 2 ] || fail "not said twice of gate-2"
    grep -q 'BROKEN: 2$' "$dir/out" || fail "another promise was broken"
    grep -q 'settled: .* s after' "$dir/out" || fail "the soak did not go on"
}

# Nothing starts a gate that ends by itself, so its faults can't begin.
case_finds_early_end() {
    script_gates "case \$* in *gate-2*) (sleep 4; kill \$child) & ;; esac"
    play 1 --seed 2 --seconds 7
    grep -q 'END: gate-2 ended by itself' "$dir/out" ||
        fail "the end of gate-2 is not told"
    [ "$(grep -c 'FAULTS: gate-2 term at .* s was not over' "$dir/out")" \
        -eq 2 ] || fail "the faults that are left are not told"
    grep -q 'BROKEN: 3$' "$dir/out" || fail "another promise was broken"
    grep -q 'settled: .* s after' "$dir/out" || fail "the soak did not go on"
}

"case_$2"
echo "ok: $2"
rm -rf "$dir"
