#!/bin/bash
# Lesson 2: send an urgent request and an unrepeatable one, and query the outcome of the latter.
source "$(dirname "$0")/cluster.sh"

echo "The entry host is ready:"
show crocuswind status

echo
echo "An urgent request carries its team, a deadline and a payload; the answer is the runner's."
show crocuswind request drift-check --team lab --urgency urgent --time-left-ms 1000 \
    --payload '{"sample":7}'

echo
echo "An unrepeatable request gets an identifier first and is sent once."
show crocuswind request certificate-issue --team lab --unrepeatable --time-left-ms 2000 \
    --payload '{"certificate":12}' --json | tee "$work/answer"

echo
echo "Under its identifier the outcome can be asked for again:"
id=$(sed -n 's/.*"id":"\([^"]*\)".*/\1/p' "$work/answer")
show crocuswind outcome "$id"

echo
echo "A service without runners is refused, and surely was not run (exit status 3):"
show crocuswind request lot-match --team market || echo "(exit status $?)"

echo
echo "An open-loop load reports latencies from the intended send time."
show crocuswind load --requests-per-second 50 --duration-ms 2000 --services drift-check \
    --teams lab --check-answers --quiet
