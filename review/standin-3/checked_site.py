"""A small deployment of real hosts with stand-in runners, and a check of the rules on what the runners see."""
import asyncio
import json
import os
import random
import shutil
import signal
import tempfile
import time
import traceback

from site_parts import Host, Run, Runner, Store, http, now_ms

EARLY_MS = 250
QUEUE_HOST = 'jobs.example'


class Job:
    def __init__(self, name, prefix, body):
        self.name, self.prefix, self.body = name, prefix, body
        self.accepted_at = None
        self.all_rejected = False  # The client has given up, and each attempt was rejected.
        self.rejected = 0
        self.unanswered = 0
        self.cancel_sent = None
        self.cancel_acked = None
        self.shown = None
        self.done = {}  # (K, step, index) -> time of the first `done`
        self.noted = {}  # (K, step, index) -> time when a `done` was taken note of

    def occurrences(self):
        return max(1, self.body.get('repetitions', 0))

    def tasks(self):
        for k in range(self.occurrences()):
            for s, step in enumerate(self.body['steps']):
                for i in range(step['count']):
                    yield k, s, i


class Site:
    def __init__(self, seed, record=None, hosts=3, runners=6, capacity=None, zones=('z-a', 'z-b')):
        self.random = random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix='crocuswind-review-')
        self.store = Store()
        self.store.random = random.Random(seed + 1)
        self.net = '127.%d.%d.' % (self.random.randint(64, 250), os.getpid() % 250)
        self.base = 12000 + (os.getpid() * 37 + seed * 11) % 17000
        self.record = open(record, 'w') if record else None
        self.begin = now_ms()
        self.hosts = [Host(self, 'host-%d' % i, self.net + str(10 + i), zones[i % len(zones)]) for i in range(hosts)]
        self.runners = []
        for i in range(runners):
            self.runners.append(Runner(self, 'runner-%02d' % i, self.net + str(100 + i),
                                       dict(capacity or {'cpu': 4000, 'memMb': 8000, 'gpu': 0}),
                                       ['a' if i % 2 else 'b', 'r%d' % (i // 2)]))
        self.jobs = {}
        self.broken = []
        self.starts = 0
        self.ready = set()
        self.tasks = []
        self.ends_of = {}  # (runner, life, n) -> (task, run, how, lease lapsed since)
        self.saves = {}  # task -> set of values
        self.failed_noted = {}
        self.work_ms = lambda step: step.get('estimateMs', 300)
        self.fail_share = 0.0

    # What the runners tell.

    def note(self, what, **fields):
        if self.record:
            self.record.write('%8.3f %s %s\n' % ((now_ms() - self.begin) / 1000, what,
                                                 ' '.join('%s=%s' % f for f in fields.items())))
            self.record.flush()

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.note('BROKEN', rule=rule, text=text)

    def parse(self, task):
        name, k, s, i = task.rsplit('.', 3)
        return self.jobs.get(name), (int(k), int(s), int(i))

    def new_run(self, runner, task, number, spec, saved):
        job, key = self.parse(task)
        step = job.body['steps'][key[1]] if job else {}
        run = Run(task, number, spec, saved, self.work_ms(step), step.get('longRunning', False))
        run.fails = self.random.random() < self.fail_share
        return run

    def new_saved(self, run):
        value = '%016x' % self.random.getrandbits(64)
        self.saves.setdefault(run.task, set()).add(value)
        return value

    def on_start(self, runner, run, saved):
        self.starts += 1
        job, key = self.parse(run.task)
        self.note('start', runner=runner.name, life=runner.life, task=run.task, run=run.run)
        if job is None:
            self.breaks('UNASKED', '%s: no such job' % run.task)
            return
        step = job.body['steps'][key[1]]
        if run.spec != job.body['spec']:
            self.breaks('UNASKED', '%s: another spec' % run.task)
        if saved and saved not in self.saves.get(run.task, ()):
            self.breaks('UNASKED', '%s: another saved value' % run.task)
        if job.all_rejected:
            self.breaks('REFUSED', run.task)
        duplicates = step.get('allowDuplicates', False)
        if not duplicates:
            for other in self.runners:
                for r in other.runs.values():
                    if other.is_up and r is not run and r.task == run.task:
                        self.breaks('TWICE', '%s: run %d on %s beside run %d on %s' % (run.task, run.run, runner.name,
                                                                                     r.run, other.name))
            if key in job.noted:
                self.breaks('TWICE', '%s: run %d after its end was noted' % (run.task, run.run))
        for earlier in step.get('after', []):
            for i in range(job.body['steps'][earlier]['count']):
                if (key[0], earlier, i) not in job.done:
                    self.breaks('ORDER', '%s before %d.%d' % (run.task, earlier, i))
                    break
        if job.body.get('repetitions'):
            due = job.body['startAtMs'] + key[0] * job.body['intervalMs']
            if time.time() * 1000 < due - EARLY_MS:
                self.breaks('ORDER', '%s %d ms early' % (run.task, due - time.time() * 1000))
        label = step.get('requirements')
        if label and label not in runner.labels:
            self.breaks('ROUTE', '%s without label %s on %s' % (run.task, label, runner.name))
        limit = step.get('antiAffinity', 0)
        if limit:
            same = [r for r in runner.runs.values() if r.task.rsplit('.', 1)[0] == run.task.rsplit('.', 1)[0]]
            if len(same) > limit:
                self.breaks('ROUTE', '%s: %d of its step on %s' % (run.task, len(same), runner.name))
        used = {'cpu': 0, 'memMb': 0, 'gpu': 0}
        for r in runner.runs.values():
            j, k = self.parse(r.task)
            s = j.body['steps'][k[1]] if j else {}
            for name in used:
                if name != 'cpu' or not s.get('fills'):
                    used[name] += s.get(name, 0)
        for name in used:
            if used[name] > runner.capacity[name]:
                self.breaks('LIMIT', '%s: %s %d of %d on %s' % (run.task, name, used[name], runner.capacity[name],
                                                               runner.name))

    def on_end(self, runner, run, how, row):
        self.note('end', runner=runner.name, life=runner.life, task=run.task, run=run.run, how=how, n=row[0])
        self.ends_of[(runner.name, runner.life, row[0])] = [run.task, run.run, how, runner.lease_ms]
        job, key = self.parse(run.task)
        if job and how == 'done' and not job.body['steps'][key[1]].get('longRunning'):
            job.done.setdefault(key, now_ms())

    def on_noted(self, runner, row):
        task, run, how, lease_ms = self.ends_of[(runner.name, runner.life, row[0])]
        job, key = self.parse(task)
        self.note('noted', runner=runner.name, life=runner.life, task=task, run=run, how=how, n=row[0])
        lapsed = runner.clock() >= runner.lease_ms
        if job and how == 'done' and not lapsed and not job.body['steps'][key[1]].get('longRunning'):
            job.noted.setdefault(key, now_ms())

    def on_gone(self, runner, run, how):
        self.note('gone', runner=runner.name, life=runner.life, task=run.task, run=run.run, how=how)

    # Operation.

    def configure(self, version, routes, service='pool'):
        body = {'version': version, 'routes': [], 'services': {service: {'healthPath': '/healthz',
                                                                         'admissionCheck': False}},
                'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144, 'headerTimeoutMs': 10000,
                           'idleTimeoutMs': 60000}}
        for name, prefix in routes:
            body['routes'].append({'name': name, 'host': QUEUE_HOST, 'prefix': prefix, 'service': service,
                                   'timeoutMs': 3000, 'priority': 0, 'maxAttempts': 3, 'stretch': 2.0,
                                   'targetLatencyMs': 1000})
        self.store.put('op/config', json.dumps(body).encode())

    async def start(self):
        self.spawn(self.store.run())
        self.configure(3, [('q', '/q/'), ('b', '/b/')])
        for runner in self.runners:
            await runner.start()
            self.spawn(runner.run())
        for i, host in enumerate(self.hosts):
            store = await self.store.listen(host.name, host.ip)
            host.write_settings(store, (self.base, self.base + 1, self.base + 5))
            host.start()
        self.spawn(self.probe())

    def spawn(self, routine):
        self.tasks.append(asyncio.ensure_future(routine))

    async def probe(self):
        misses = {h.name: 2 for h in self.hosts}

        async def look(host):
            while True:
                status, _ = await http(host.ready, 'GET', '/ready', timeout=1.0)
                misses[host.name] = 0 if status == 200 else misses[host.name] + 1
                if misses[host.name] >= 2:
                    self.ready.discard(host.name)
                else:
                    self.ready.add(host.name)
                await asyncio.sleep(1.0)
        await asyncio.gather(*(look(h) for h in self.hosts))

    def pick(self):
        ready = [h for h in self.hosts if h.name in self.ready]
        return self.random.choice(ready or self.hosts)

    async def call(self, method, path, body=None, timeout=3.0, host=None):
        host = host or self.pick()
        return await http(host.front, method, path, {'Host': QUEUE_HOST, 'Content-Type': 'application/json',
                                                     'Deadline-Ms': '%d' % (timeout * 1000)}, body, timeout)

    async def submit(self, prefix, body, tries=5):
        job = Job('%016x' % self.random.getrandbits(64), prefix, body)
        self.jobs[job.name] = job
        for _ in range(tries):
            status, answer = await self.call('POST', prefix + job.name, body)
            self.note('submit', job=job.name, status=status)
            if status is not None and 200 <= status < 300:
                job.accepted_at = now_ms()
                break
            if status in (429, 503, 400, 404):
                job.rejected += 1
            else:
                job.unanswered += 1
            await asyncio.sleep(0.5)
        job.all_rejected = job.accepted_at is None and job.unanswered == 0
        return job

    async def cancel(self, job):
        job.cancel_sent = job.cancel_sent or now_ms()
        status, _ = await self.call('DELETE', job.prefix + job.name)
        self.note('cancel', job=job.name, status=status)
        if status in (200, 410):
            job.cancel_acked = now_ms()

    async def query(self, job):
        status, answer = await self.call('GET', job.prefix + job.name)
        state = answer.get('state') if isinstance(answer, dict) else answer
        self.note('query', job=job.name, status=status, state=state)
        if status == 200:
            job.shown = state
            if state == 'completed':
                missing = [t for t in job.tasks() if t not in job.done]
                if missing:
                    self.breaks('MIXED', '%s is shown as completed, %s has not ended so' % (job.name, missing[:3]))
        return status, state

    def owner(self):
        item = self.store.items.get('cw/owner')
        if item is None:
            return None
        name = item[0].decode().split(' ')[1]
        return next((h for h in self.hosts if h.name == name), None)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.kill()
        for runner in self.runners:
            if runner.server is not None:
                runner.server.close()
        for server in self.store.servers.values():
            server.close()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)
        if self.record:
            self.record.close()


def run_case(play, limit_s):
    """Runs a case and returns its exit status. Ended by SIGTERM or SIGINT, it ends what it has started and returns 2."""
    async def run():
        task = asyncio.ensure_future(play())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, limit_s)

    try:
        result = asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        result = 2
    print('broken' if result == 1 else 'held' if result == 0 else 'could not run')
    return result
