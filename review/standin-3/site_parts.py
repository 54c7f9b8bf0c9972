"""Stand-ins for the users' platform on loopback addresses: the store, runners, the balancer and clients.

They follow PROTOCOL.md. Where a page is silent they behave like a sound server: a call is carried out once, a runner
ends its runs when its lease ends, and a life of a runner starts with nothing."""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.parse

HOLD_MAX_MS = 10000
STOP_GRACE_MS = 400
PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', '..', 'target', 'bin', 'crocuswindd')


def now_ms():
    return time.monotonic() * 1000


class NoAnswer(Exception):
    """The call gets no answer; its channel returns nothing further."""


class Reset(Exception):
    """The channel is reset."""


class HttpServer:
    """A small HTTP/1.1 server. `handle(method, path, query, headers, body)` returns (status, object)."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=8 << 20, backlog=512)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self.address

    def close(self, reset=True):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    if ':' in line:
                        name, value = line.split(':', 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get('content-length', '0'))
                body = await reader.readexactly(length) if length else b''
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                try:
                    status, answer = await self.handle(method, parts.path, query, headers, body)
                except NoAnswer:
                    await asyncio.sleep(3600)
                    return
                data = json.dumps(answer, separators=(',', ':')).encode()
                writer.write(b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n'
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        except Reset:
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store. Each host of the system has an address of its own, so that it can be cut off alone."""

    def __init__(self):
        self.items = {}  # key -> [value, revision, created, lease]
        self.revision = 100
        self.history = []  # (revision, event)
        self.dropped = 0  # History up to this revision is gone.
        self.leases = {}  # id -> [ttl_ms, expires_ms]
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.down = None  # None, 'busy', 'silent' or 'reset', for all
        self.lapse = True  # Leases expire while the store is down.
        self.denied = {}  # host -> 'busy', 'silent' or 'reset'
        self.lose = 0.0  # Share of the writes that are done and not answered.
        self.lose_late = False  # They are done 1 to 6 s later.
        self.delay_ms = 1.0
        self.random = random.Random(1)
        self.last_writer = None  # The host whose conditional write took effect last.
        self.servers = {}
        self.log = []

    async def listen(self, host, ip):
        server = HttpServer(lambda *call: self.handle(host, *call))
        self.servers[host] = server
        return await server.listen(ip)

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            now = now_ms()
            if self.down and not self.lapse:
                for lease in self.leases.values():
                    lease[1] += 20
                continue
            for lease in [i for i, l in self.leases.items() if l[1] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self.remove([key])

    def note(self, event):
        self.history.append((self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, keys):
        keys = [k for k in keys if k in self.items]
        if keys:
            self.revision += 1
        for key in keys:
            del self.items[key]
            self.note({'key': key, 'revision': self.revision, 'tombstone': True})

    def put(self, key, value, lease=0):
        """Writes bytes as the operator or a runner does."""
        self.revision += 1
        self.put_at(key, value, lease)

    def put_at(self, key, value, lease):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [value, self.revision, created, lease]
        self.note(self.item(key))

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {'key': key, 'value': base64.b64encode(value).decode(), 'revision': revision, 'createdRev': created,
                'lease': lease}

    async def handle(self, host, method, path, query, headers, body):
        await asyncio.sleep(self.delay_ms / 1000)
        mode = self.down or self.denied.get(host)
        if mode == 'busy':
            return 503, {}
        if mode == 'silent':
            raise NoAnswer
        if mode == 'reset':
            raise Reset
        if path == '/kv-key':
            key = query['key']
            if key not in self.items:
                return 404, {'currentRev': self.revision}
            return 200, dict(self.item(key), currentRev=self.revision)
        if path == '/kv-range':
            keys = sorted(k for k in self.items if k.startswith(query['prefix']) and k > query.get('after', ''))
            return 200, {'items': [self.item(k) for k in keys[:500]], 'hasMore': len(keys) > 500,
                         'currentRev': self.revision}
        if path == '/kv-watch':
            return await self.watch(host, query)
        if method == 'POST' and path == '/kv-txn':
            return await self.maybe_lost(lambda: self.transact(host, json.loads(body)))
        if method == 'POST' and path == '/kv-lease':
            return await self.maybe_lost(lambda: self.grant(json.loads(body)['ttlMs']))
        if method == 'POST' and path.startswith('/kv-keep/'):
            lease = int(path.rsplit('/', 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = now_ms() + self.leases[lease][0]
            return 200, {'lease': lease, 'ttlMs': self.leases[lease][0]}
        if method == 'DELETE' and path.startswith('/kv-lease-end/'):
            lease = int(path.rsplit('/', 1)[1])
            return await self.maybe_lost(lambda: self.end(lease))
        return 400, {}

    async def maybe_lost(self, write):
        if self.random.random() >= self.lose:
            return write()
        if self.lose_late:
            asyncio.get_running_loop().call_later(self.random.uniform(1, 6), write)
        else:
            write()
        raise NoAnswer

    def end(self, lease):
        if lease in self.leases:
            self.end_lease(lease)
        return 200, {}

    def grant(self, ttl_ms):
        self.last_lease += 1
        self.leases[self.last_lease] = [max(1000, ttl_ms), now_ms() + max(1000, ttl_ms)]
        return 200, {'lease': self.last_lease, 'ttlMs': max(1000, ttl_ms)}

    def transact(self, host, call):
        rows = call.get('expectedRev', [])
        puts = call.get('setKeys', [])
        removed = call.get('remove', [])
        if len(rows) + len(puts) + len(removed) > 32 or any(len(p['key']) > 200 for p in puts):
            return 400, {}
        if any(len(base64.b64decode(p['value'])) > 1048576 for p in puts):
            return 400, {}
        if any(p['key'].startswith(('op/', 'servers/')) for p in puts):
            return 403, {}
        for row in rows:
            known = self.items[row['key']][1] if row['key'] in self.items else 0
            if known != row['revision']:
                return 412, {'items': [self.item(r['key']) for r in rows if r['key'] in self.items],
                             'currentRev': self.revision}
        if any(p.get('lease', 0) and p['lease'] not in self.leases for p in puts):
            return 404, {}
        self.revision += 1
        for p in puts:
            self.put_at(p['key'], base64.b64decode(p['value']), p.get('lease', 0))
        for key in removed:
            if key in self.items:
                del self.items[key]
                self.note({'key': key, 'revision': self.revision, 'tombstone': True})
        self.last_writer = host
        return 200, {'revision': self.revision}

    async def watch(self, host, query):
        after = int(query['after'])
        until = now_ms() + int(query['waitMs'])
        while True:
            if after < self.dropped:
                return 410, {}
            events = []
            for revision, event in reversed(self.history):
                if revision <= after:
                    break
                if event['key'].startswith(query['prefix']):
                    events.append(event)
            left = until - now_ms()
            if events or left <= 0:
                return 200, {'events': events[::-1], 'currentRev': self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left / 1000)
            except asyncio.TimeoutError:
                pass
            mode = self.down or self.denied.get(host)
            if mode in ('busy', 'reset'):
                raise Reset
            if mode == 'silent':
                raise NoAnswer


class Run:
    def __init__(self, task, run, spec, saved, work_ms, lasts):
        self.task, self.run, self.spec = task, run, spec
        self.saved = saved
        self.left_ms = work_ms
        self.work_ms = work_ms
        self.lasts = lasts
        self.at = now_ms()
        self.stop_at = None
        self.fails = False


class Runner:
    """One machine and its lives. `site` decides about the work of a task and is told what happens."""

    def __init__(self, site, name, ip, capacity, labels, service='pool', zone='z-a'):
        self.site, self.name, self.ip = site, name, ip
        self.capacity, self.labels, self.service, self.zone = capacity, labels, service, zone
        self.server = None
        self.is_up = False
        self.is_cut = False  # No call arrives and no answer leaves.
        self.lose = 0.0  # Share of the orders that are carried out without an answer.
        self.late = 0.0  # Share that is carried out 2 to 12 s later, without an answer.
        self.hang = False
        self.draining_until = None
        self.life = 0
        self.sequence = 0
        self.port = 0
        self.clock_rate = 1.0
        self.dark_server = None  # While it is down and silent: takes calls and answers none.

    async def start(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.began = now_ms()
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.ended = []  # [n, task, run, how, saved]
        self.acked = 0
        self.last_end = 0
        self.highest = {}  # task -> highest run stopped or ended here
        self.end_event = asyncio.Event()
        self.sequence = 0
        self.draining_until = None
        if self.dark_server is not None:
            self.server, self.dark_server = self.dark_server, None
        else:
            self.server = HttpServer(self.handle)
            _, self.port = await self.server.listen(self.ip, self.port)
        self.is_up = True
        self.check_in()

    def crash(self):
        self.is_up = False
        for run in list(self.runs.values()):
            self.site.on_gone(self, run, 'crashed')
        self.runs = {}
        if self.server is not None:
            self.server.close()

    def clock(self):
        return int((now_ms() - self.began) * self.clock_rate)

    def entry(self):
        self.sequence += 1
        entry = {'service': self.service, 'address': '%s:%d' % (self.ip, self.port), 'zone': self.zone, 'version': 'v1',
                 'slots': 8, 'state': 'draining' if self.draining_until else 'ready', 'coldLeftMs': 0,
                 'seq': self.sequence, 'capacity': self.capacity, 'labels': self.labels, 'born': self.born,
                 'id': self.name, 'clockMs': self.clock()}
        if self.draining_until:
            entry['remainingMs'] = max(0, int(self.draining_until - now_ms()))
        return entry

    def check_in(self):
        if self.is_up and not self.is_cut and not self.site.store.down:
            self.site.store.put('servers/' + self.name, json.dumps(self.entry()).encode())

    async def handle(self, method, path, query, headers, body):
        if self.is_cut or self.hang:
            raise NoAnswer
        life = self.life
        await asyncio.sleep(0.001)
        call = json.loads(body) if body else {}
        expected = headers.get('expect-instance')
        if path in ('/run-start', '/run-stop', '/pace') or path == '/hold':
            draw = self.site.random.random()
            if draw < self.late:
                asyncio.get_running_loop().call_later(self.site.random.uniform(2, 12), self.execute, path, call,
                                                      expected)
                raise NoAnswer
            if draw < self.late + self.lose:
                self.execute(path, call, expected)
                raise NoAnswer
        result = self.execute(path, call, expected)
        if path == '/hold' and result[0] == 200:
            until = now_ms() + min(2000, call.get('waitMs', 0))
            while not [e for e in self.ended] and now_ms() < until and self.life == life:
                event = self.end_event
                try:
                    await asyncio.wait_for(event.wait(), (until - now_ms()) / 1000)
                except (asyncio.TimeoutError, ValueError):
                    pass
            result = 200, self.report()
        if self.is_cut or self.hang:
            raise NoAnswer
        return result

    def report(self):
        rows = []
        for run in self.runs.values():
            percent = 100 if run.lasts else int(100 * (1 - max(0, run.left_ms) / max(1, run.work_ms)))
            rows.append([run.task, run.run, run.saved, percent, 5])
        return {'clockMs': self.clock(), 'born': self.born, 'running': rows, 'ended': self.ended[:500]}

    def answer(self, status, reason=None):
        answer = {'clockMs': self.clock(), 'born': self.born}
        if reason:
            answer['reason'] = reason
        return status, answer

    def execute(self, path, call, expected):
        if not self.is_up:
            raise Reset
        self.advance()
        if expected is not None and expected != self.name:
            return self.answer(421)
        token = call.get('fencingToken', 0)
        if token < self.fence:
            return self.answer(409, 'fence')
        self.fence = token
        if path == '/run-start':
            return self.start_run(call)
        if path == '/run-stop':
            return self.stop_run(call)
        if path == '/pace':
            return self.answer(200)
        if path == '/hold':
            if 'deadlineMs' in call:
                self.extend(call['deadlineMs'])
            cursor = call.get('ackCursor', 0)
            for end in self.ended:
                if end[0] <= cursor:
                    self.site.on_noted(self, end)
            self.ended = [e for e in self.ended if e[0] > cursor]
            return self.answer(200)
        return 404, {}

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock() + HOLD_MAX_MS))

    def start_run(self, call):
        task, number = call['task'], call['run']
        if (task, number) in self.runs:
            self.extend(call['deadlineMs'])
            return self.answer(200)
        running = [r.run for r in self.runs.values() if r.task == task]
        if number <= max([self.highest.get(task, 0)] + running):
            self.extend(call['deadlineMs'])
            return self.answer(409, 'old')
        if call['deadlineMs'] <= self.clock():
            return self.answer(409, 'late')
        self.extend(call['deadlineMs'])
        run = self.site.new_run(self, task, number, call.get('spec', ''), call.get('saved', ''))
        self.runs[(task, number)] = run
        self.site.on_start(self, run, call.get('saved', ''))
        return self.answer(200)

    def stop_run(self, call):
        task, number = call['task'], call['run']
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and run.stop_at is None:
            run.stop_at = now_ms() + self.site.random.uniform(20, STOP_GRACE_MS)
        return self.answer(200)

    def end(self, run, how):
        del self.runs[(run.task, run.run)]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.last_end += 1
        if how == 'stopped' and not run.lasts:
            run.saved = self.site.new_saved(run)
        self.ended.append([self.last_end, run.task, run.run, how, run.saved if how != 'done' else ''])
        self.site.on_end(self, run, how, self.ended[-1])
        self.end_event.set()
        self.end_event = asyncio.Event()

    def advance(self):
        """Ends the runs whose time has come."""
        now = now_ms()
        if self.runs and self.clock() >= self.lease_ms:
            for run in list(self.runs.values()):
                self.end(run, 'lapsed')
            return
        for run in list(self.runs.values()):
            run.left_ms -= now - run.at
            run.at = now
            if run.stop_at is not None and now >= run.stop_at:
                self.end(run, 'stopped')
            elif not run.lasts and run.left_ms <= 0 and not self.hang:
                self.end(run, 'failed' if run.fails else 'done')

    async def run(self):
        due = 0
        while True:
            await asyncio.sleep(0.01)
            if not self.is_up:
                continue
            self.advance()
            if now_ms() >= due:
                due = now_ms() + 1500
                self.check_in()


class Host:
    """One process of the system, with its settings file."""

    def __init__(self, site, name, ip, zone):
        self.site, self.name, self.ip, self.zone = site, name, ip, zone
        self.process = None
        self.settings = os.path.join(site.folder, name + '.conf')
        self.log = os.path.join(site.folder, name + '.log')

    def write_settings(self, store, ports, extra=()):
        front, ready, peer = ports
        self.front, self.ready = (self.ip, front), (self.ip, ready)
        lines = ['node=' + self.name, 'role=entry', 'machineClass=front', 'serves=front', 'ip=' + self.ip,
                 'zone=' + self.zone, 'region=r', 'zones.z-a=r', 'zones.z-b=r',
                 'listen.front=%s:%d' % (self.ip, front), 'listen.ready=%s:%d' % (self.ip, ready),
                 'portRange=%d,%d' % (peer, peer + 15), 'seeds=', 'bootstrap=true', 'lossCounts=false',
                 'limits.cpuShare=0.1', 'limits.cores=1', 'limits.memoryMb=260', 'limits.maxFds=4100',
                 'limits.linkMbps=1000.0', 'limits.diskMb=0', 'discovery=platform', 'entry=vip', 'heartbeatMs=1500',
                 'bounds.seedLagS=3', 'bounds.addrReuseS=2', 'bounds.contactMs=3000', 'bounds.ackMs=4000',
                 'bounds.catchUpS=4', 'bounds.drainMs=2000', 'bounds.graceS=6', 'bounds.lossSlackMs=200',
                 'bounds.configApplyMs=2000', 'bounds.rollbackSlackMs=250', 'bounds.maxSkewMs=5000',
                 'bounds.recoveryS=12', 'bounds.holdMaxMs=%d' % HOLD_MAX_MS, 'bounds.stopGraceMs=%d' % STOP_GRACE_MS,
                 'bounds.gangTimeoutMs=3000', 'bounds.cancel_ms=3000', 'bounds.visible_ms=3000', 'bounds.early_ms=250',
                 'bounds.finish_s=14', 'bounds.status_s=120', 'bounds.remoteFactor=2', 'bounds.checkpointS=0.5',
                 'bounds.restoreMs=600', 'bounds.noticeMs=4500', 'bounds.leaseMs=3000', 'orders=invocation',
                 'platform.address=%s:%d' % store, 'platform.form=kv', 'platform.writesPerS=400',
                 'platform.readsPerS=2000', 'platform.historyS=20', 'platform.valueBytes=1048576',
                 'platform.ttlMinMs=1000']
        with open(self.settings, 'w') as file:
            file.write('\n'.join(lines + list(extra)) + '\n')

    def start(self):
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        env['CROCUSWIND_NODE_FILE'] = self.settings
        with open(self.log, 'ab') as log:
            self.process = subprocess.Popen([PROGRAM], env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.began = now_ms()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        if self.is_running():
            self.process.kill()
            self.process.wait()

    def memory_mb(self):
        try:
            with open('/proc/%d/statm' % self.process.pid) as file:
                return int(file.read().split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6
        except (OSError, IndexError, ValueError):
            return 0


async def http(address, method, path, headers=None, body=None, timeout=3.0):
    """Returns (status, object), or (None, reason) without an answer."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(*address)
            data = json.dumps(body, separators=(',', ':')).encode() if body is not None else b''
            head = '%s %s HTTP/1.1\r\nConnection: close\r\nContent-Length: %d\r\n' % (method, path, len(data))
            for name, value in (headers or {}).items():
                head += '%s: %s\r\n' % (name, value)
            writer.write(head.encode() + b'\r\n' + data)
            answer = await reader.readuntil(b'\r\n\r\n')
            status = int(answer.split(b' ', 2)[1])
            length = 0
            for line in answer.split(b'\r\n')[1:]:
                if line.lower().startswith(b'content-length:'):
                    length = int(line.split(b':')[1])
            payload = await reader.readexactly(length)
            try:
                return status, json.loads(payload) if payload else {}
            except ValueError:
                return status, {}
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, 'deadline'
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__
    finally:
        if writer is not None:
            writer.close()
