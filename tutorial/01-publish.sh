#!/bin/bash
# Lesson 1: check workload files, publish them, change one, and roll the change back.
# Needs no entry host: `crocuswind publish` writes to the store, from which entry hosts read.
source "$(dirname "$0")/common.sh"

start store standin_store
export CROCUSWIND_STORE=$(address store)
cp tutorial/workloads/*.toml "$work"

echo "Files are checked as a set, without a store. All mistakes are shown together."
show crocuswind check "$work"

echo
echo "A mistake is shown with file, line and column, and exit status 2:"
sed -i 's/urgent_weight/urgent_wieght/' "$work/teams.toml"
show crocuswind check "$work" || echo "(exit status $?)"
cp tutorial/workloads/teams.toml "$work"

echo
echo "The files become the configuration in force as a whole, with the next revision."
show crocuswind publish "$work" --author ada

echo
echo "A changed quota is shown as a difference to what is in force; a dry run shows only that."
sed -i 's/cores = 32/cores = 48/' "$work/teams.toml"
show crocuswind publish "$work" --dry-run
show crocuswind publish "$work" --author ada

echo
echo "A rollback publishes the files of an earlier revision as a new one."
show crocuswind rollback 1 --author ben
show crocuswind history
