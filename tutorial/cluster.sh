# Shared by the lessons that need an entry host: starts the stand-ins for the platform and one
# crocuswindd, publishes the tutorial's workloads, and sets CROCUSWIND_ENTRY and CROCUSWIND_STORE.
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"
command -v crocuswindd >/dev/null || { echo "This lesson needs build/bin/crocuswindd" >&2; exit 1; }

start store standin_store
start hosts standin_hosts
start runner-drift standin_runner --count 2 --name drift --service drift-check
start runner-issue standin_runner --name issue --service certificate-issue
start worker standin_worker --count 4 --cores 16 --memory-mb 60000
export CROCUSWIND_STORE=$(address store)
hosts=$(address hosts)
for name in runner-drift runner-issue worker; do
    curl -sf "$(address $name)/hosts" \
        | curl -sf --data-binary @- "$hosts/v1/hosts?merge=1" >/dev/null
done
crocuswind publish tutorial/workloads >/dev/null

# The ports of the daemon are fixed, because callers are configured with them.
export CROCUSWIND_ENTRY=127.0.0.1:${CROCUSWIND_TUTORIAL_PORT:-7070}
start entry crocuswindd --host entry-1 --data-centre dakar-1 --listen "$CROCUSWIND_ENTRY" \
    --peer-listen "127.0.0.1:${CROCUSWIND_TUTORIAL_PEER_PORT:-7071}" \
    --store "$CROCUSWIND_STORE" --host-list "$hosts" --seats 1 --shards 1
for _ in $(seq 150); do
    crocuswind status >/dev/null 2>&1 && break
    sleep 0.2
done
crocuswind status >"$work/status" || { cat "$work/status" "$work/entry.err" >&2; exit 1; }
