# Shared by the lessons: adds the built programs to PATH and stops all programs that a lesson started.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
PATH="$PWD/${CROCUSWIND_BUILD:-build}/bin:$PATH"
command -v crocuswind >/dev/null || {
    echo "Build first: cmake -S . -B build -G Ninja && cmake --build build" >&2
    exit 1
}
work=$(mktemp -d)
started=()

end_lesson() {
    # Signals each program individually, in reverse order of their start.
    for ((i = ${#started[@]} - 1; i >= 0; --i)); do
        kill "${started[i]}" 2>/dev/null || true
    done
    wait
    rm -rf "$work"
}
trap end_lesson EXIT

# Starts a program in the background. Usage: start NAME PROGRAM [FLAG...]
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    started+=($!)
}

# Waits for a program's line "listening on IP:PORT" and prints the address. Usage: address NAME
address() {
    local found
    for _ in $(seq 100); do
        found=$(sed -n 's/^listening on \([0-9.:]*\).*/\1/p' "$work/$1.out" | head -1)
        [ -n "$found" ] && { echo "$found"; return; }
        sleep 0.1
    done
    echo "$1 does not start:" >&2
    cat "$work/$1.err" >&2
    return 1
}

# Prints a command, then runs it.
show() {
    echo
    echo "\$ $*"
    "$@"
}
