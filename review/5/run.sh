#!/bin/bash
# Plays case 5. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/bin/crocuswindd ] && [ -x review/bin/case-5 ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -k 5 118 review/bin/case-5 "$folder" "$here/record.txt"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"/
rm -rf "$folder"
[ "$status" -le 1 ] || exit 2
exit "$status"
