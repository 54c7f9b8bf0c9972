#!/bin/bash
# Lesson 3: submit batch jobs, read their outcomes, and cancel one.
source "$(dirname "$0")/cluster.sh"

echo "A finite job that runs for about two seconds on 2 cores:"
show crocuswind submit lab/certificate-1 --kind finite --cores 2 --memory-mb 4096 --run-ms 2000

echo
echo "The caller chooses the name, so the same command finds the first submission."
show crocuswind submit lab/certificate-1 --kind finite --cores 2 --memory-mb 4096 --run-ms 2000

echo
echo "The same name with other content is refused (exit status 3):"
show crocuswind submit lab/certificate-1 --kind finite --cores 4 --memory-mb 4096 --run-ms 2000 \
    || echo "(exit status $?)"

echo
echo "A job that no worker can hold is refused with the nearest worker (exit status 3):"
show crocuswind submit lab/too-large --kind finite --cores 500 --memory-mb 4096 --run-ms 2000 \
    || echo "(exit status $?)"

echo
echo "Wait for the outcome:"
show crocuswind job lab/certificate-1 --wait --timeout-ms 60000

echo
echo "A continuous job runs until it is cancelled."
show crocuswind submit market/listing-watch --kind continuous --cores 1 --memory-mb 512
show crocuswind cancel market/listing-watch
show crocuswind jobs
