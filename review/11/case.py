"""A runner with a long name drains and leaves by plan; the jobs that were accepted before have to go on."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'standin-3'))

from checked_site import now_ms, run_case, Site  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DRAIN_MS = 2000  # bounds.drainMs
FINISH_S = 14  # bounds.finish_s
IDLE_S = 3  # LOST: for 3 s a job has nothing running.
KEY_BYTES = 200  # The store's longest key.


def job_body():
    return {'spec': 'x', 'steps': [{'count': 2, 'cpu': 1000, 'memMb': 256, 'estimateMs': 6000},
                                   {'count': 2, 'cpu': 1000, 'memMb': 256, 'estimateMs': 6000, 'after': [0]}]}


def running(site, job):
    return sum(1 for r in site.runners if r.is_up for run in r.runs.values() if run.task.startswith(job.name + '.'))


def is_done(job):
    return all(task in job.done for task in job.tasks())


async def drain(site, runner):
    site.note('drains', runner=runner.name)
    runner.draining_until = now_ms() + 3 * DRAIN_MS
    runner.check_in()
    await asyncio.sleep(3 * DRAIN_MS / 1000)
    runner.crash()
    site.store.remove(['servers/' + runner.name])
    site.note('left', runner=runner.name)


async def play():
    site = Site(11, os.path.join(HERE, 'record.txt'), hosts=3, runners=8)
    long_named = site.runners[0]
    long_named.name = 'certsvc-' + 'x' * (KEY_BYTES - len('servers/') - len('certsvc-'))
    try:
        await site.start()
        await asyncio.sleep(4)
        before = [await site.submit('/q/', job_body()) for _ in range(4)]
        if any(job.accepted_at is None for job in before):
            site.note('the system did not accept the first jobs')
            return 2
        await asyncio.sleep(1)
        if TROUBLE:
            site.spawn(drain(site, long_named))
        await asyncio.sleep(1)
        after = []
        for _ in range(6):
            after.append(await site.submit('/q/', job_body(), tries=1))
            await asyncio.sleep(0.5)
        accepted = [job for job in before + after if job.accepted_at is not None]
        site.note('end of the traffic', accepted=len(accepted), of=len(before + after))
        await asyncio.sleep(FINISH_S)
        idle_since = {}
        until = now_ms() + 20000
        while now_ms() < until and not all(is_done(job) for job in accepted):
            await asyncio.sleep(0.1)
            for job in accepted:
                if is_done(job) or running(site, job) > 0:
                    idle_since.pop(job.name, None)
                    continue
                since = idle_since.setdefault(job.name, now_ms())
                if now_ms() - since > IDLE_S * 1000:
                    site.breaks('LOST', '%s has nothing running for %d s, %d runs in all on %d runners'
                                % (job.name, IDLE_S, sum(len(r.runs) for r in site.runners),
                                   sum(1 for r in site.runners if r.is_up)))
                    accepted.remove(job)
                    break
        for job in before + after:
            if job.accepted_at is not None:
                await site.query(job)
        return 1 if site.broken else 0
    finally:
        site.stop()


sys.exit(run_case(play, 110))
