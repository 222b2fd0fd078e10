"""Stand-ins for a small deployment: store, upstreams, callers, fabric.

Everything runs on one asyncio loop and on loopback addresses 127.N.x.y:

    127.N.0.e  the store as instance e reaches it (one state for all)
    127.N.1.e  instance e, a process of target/rattangap-edge
    127.N.3.u  upstream u
    127.N.64.c caller c

The stand-ins follow PROTOCOL.md. Where it is silent they behave like a sound
server, client or platform, and never in a way that makes a violation more
likely. The checks are those of RULES.md.
"""

import asyncio
import base64
import errno
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

SYN, ACK, FIN, RST, BOUNCED = 64, 2, 128, 32, 16
HEADER = struct.Struct(">IIIHIIHHIB3s")
HEADER_LEN = 34

PACKET_PORT = 8172
READY_PORT = 8167
METRICS_PORT = 9102
PEER_PORT = 7720
STORE_PORT = 8169
UPSTREAM_PORT = 8080

# Bounds of the settings, as the small sites have them.
DRAIN_MS = 3000
APPLY_MS = 3000
STABLE_WINDOW_S = 4.0
MISROUTE_WINDOW_S = 2.0
CALLER_LINK_S = 0.003  # one way between callers and the deployment
GRACE_S = 6
FLOW_AGE_S = 60
IDLE_TIMEOUT_MS = 15000

KEY = b"the key of callers and upstreams"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))


def keyed_sum(seq, ack, length, dst, dport, sport, src, flags, data):
    head = struct.pack(">IIHIHHIB", seq, ack, length, dst, dport, sport, src,
                       flags & ~BOUNCED)
    digest = hashlib.blake2b(head + data, key=KEY, digest_size=4).digest()
    return int.from_bytes(digest, "big") or 1


class Packet:
    """One packet as the ends of a flow see it."""

    __slots__ = ("echo", "seq", "ack", "src", "sport", "dst", "dport",
                 "flags", "data", "sound")

    def __init__(self, echo=0, seq=0, ack=0, src=0, sport=0, dst=0, dport=0,
                 flags=0, data=b""):
        self.echo, self.seq, self.ack = echo, seq, ack
        self.src, self.sport = src, sport
        self.dst, self.dport = dst, dport
        self.flags, self.data = flags, data
        self.sound = True  # the sum is that of the sender

    def encode(self):
        total = keyed_sum(self.seq, self.ack, len(self.data), self.dst,
                          self.dport, self.sport, self.src, self.flags,
                          self.data)
        return HEADER.pack(self.echo, self.seq, self.ack, len(self.data),
                           total, self.dst, self.dport, self.sport, self.src,
                           self.flags, b"\0\0\0") + self.data


def decode(raw):
    if len(raw) < HEADER_LEN:
        return None
    (echo, seq, ack, length, total, dst, dport, sport, src, flags,
     _) = HEADER.unpack(raw[:HEADER_LEN])
    data = raw[HEADER_LEN:]
    if length != len(data):
        return None
    p = Packet(echo, seq, ack, src, sport, dst, dport, flags, data)
    p.sound = total == keyed_sum(seq, ack, length, dst, dport, sport, src,
                                 flags, data)
    return p


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


class Lab:
    """The deployment under test, its record and its findings."""

    def __init__(self, folder, seed=1):
        self.loop = asyncio.get_running_loop()
        self.folder = folder
        self.rand = random.Random(seed)
        self.start = time.monotonic()
        self.lines = []
        self.violations = []
        self.tmp = tempfile.mkdtemp(prefix="rattangap-review-")
        self.net = self.find_net()
        self.store = Store(self)
        self.edges = []
        self.upstreams = []
        self.callers = []
        self.tasks = []

    def find_net(self):
        """A second byte of 127.N.x.y at which our ports are free."""
        for net in self.rand.sample(range(150, 250), 40):
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
                    s.bind((f"127.{net}.1.1", PACKET_PORT))
                with socket.socket() as s:
                    s.bind((f"127.{net}.0.1", STORE_PORT))
                return net
            except OSError as e:
                if e.errno not in (errno.EADDRINUSE, errno.EADDRNOTAVAIL):
                    raise
        raise RuntimeError("no free loopback addresses")

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.lines.append(f"{self.now():9.4f} {text}")

    def violate(self, rule, text):
        self.violations.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    def write_record(self, verdict):
        path = os.environ.get("RECORD") or os.path.join(self.folder,
                                                        "record.txt")
        with open(path, "w",
                  encoding="ascii") as out:
            out.write("\n".join(self.lines) + "\n")
            out.write(verdict + "\n")

    def send_later(self, transport, raw, ip, wait_s=0.0):
        """The way between callers and the deployment takes CALLER_LINK_S,
        and longer if the packet waits on a link."""
        def send():
            if not transport.is_closing():
                transport.sendto(raw, (ip, PACKET_PORT))
        self.loop.call_later(CALLER_LINK_S + wait_s, send)

    def spawn(self, coro):
        task = self.loop.create_task(coro)
        self.tasks.append(task)
        return task

    async def start_all(self, edges, upstreams, zones=("zv-a",),
                        links=False):
        for i in range(edges):
            e = Edge(self, i + 1, zones[i % len(zones)])
            self.edges.append(e)
            if links:
                await PeerLink(self, e).open()
            await self.store.listen(e.store_ip)
        for service, zone in upstreams:
            await self.add_upstream(service, zone)
        for e in self.edges:
            e.launch()
            self.spawn(e.probe_forever())
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all(e.in_rotation for e in self.edges):
                self.note("all instances are in rotation")
                return
        raise RuntimeError("an instance did not get ready")

    async def add_upstream(self, service, zone):
        u = Upstream(self, len(self.upstreams) + 1, service, zone)
        self.upstreams.append(u)
        await u.open()
        return u

    async def close(self):
        for t in self.tasks:
            t.cancel()
        for e in self.edges:
            e.kill()
            if e.link:
                e.link.close()
        for u in self.upstreams:
            u.close()
        for c in self.callers:
            c.close()
        self.store.close()
        shutil.rmtree(self.tmp, ignore_errors=True)

    def pick_edge(self, flow):
        """The routers' choice (HashScheme steady): the highest score of the
        instances in rotation in the caller's zone, of any zone if there are
        none."""
        ready = [e for e in self.edges if e.in_rotation]
        near = [e for e in ready if e.zone == flow.caller.zone]
        pool = near or ready
        if not pool:
            return None
        tag = f"{flow.caller.ip}:{flow.port}>{flow.host}:{flow.dport}"
        return max(pool, key=lambda e: hashlib.blake2b(
            f"{e.index}/{tag}".encode(), digest_size=8).digest())


# --- the platform's store ---------------------------------------------------

class Store:
    """The key-value store, PROTOCOL.md 'The platform's metadata store'."""

    PAGE = 500

    def __init__(self, lab):
        self.lab = lab
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.servers = []
        self.conns = set()
        self.calls = {}  # (instance's address here, kind) -> number
        self.link_delay_s = {}  # instance's address here -> wait on its link

    async def listen(self, ip):
        self.servers.append(await asyncio.start_server(
            self.serve, ip, STORE_PORT))

    def close(self):
        for s in self.servers:
            s.close()
        for c in list(self.conns):
            c.writer.close()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"Key": key, "Value": base64.b64encode(value).decode(),
                "Revision": self.revision,
                "Created": old["Created"] if old else self.revision,
                "Lease": lease}
        self.items[key] = item
        self.history.append(item)
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"Key": key, "Revision": self.revision,
                             "Deleted": True})
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def expire(self):
        now = self.lab.now()
        for lease, (until, _) in list(self.leases.items()):
            if until <= now:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, i in self.items.items() if i["Lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        conn = StoreConn(self, reader, writer)
        self.conns.add(conn)
        try:
            await conn.run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.conns.discard(conn)
            writer.close()

    def go_silent(self):
        """All open connections go silent for good; new ones work."""
        for c in self.conns:
            c.silent = True


class StoreConn:
    """One connection to the store."""

    def __init__(self, store, reader, writer):
        self.store, self.reader, self.writer = store, reader, writer
        self.local_ip = writer.get_extra_info("sockname")[0]
        self.silent = False
        # The end of its handshake would come after the instance's time-out.
        self.opened_choked = store.link_delay_s.get(self.local_ip, 0) > 0.3

    async def run(self):
        while True:
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            method, target, _ = lines[0].split(" ", 2)
            length = 0
            for line in lines[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            body = await self.reader.readexactly(length) if length else b""
            if self.silent:
                continue
            status, answer = await self.answer(method, target, body)
            delay = self.store.link_delay_s.get(self.local_ip, 0.0)
            if self.silent or (delay and self.opened_choked):
                continue
            await asyncio.sleep(delay)
            raw = json.dumps(answer).encode()
            self.writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
            await self.writer.drain()

    async def answer(self, method, target, body):
        s = self.store
        url = urlsplit(target)
        query = {k: v[0] for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        kind = url.path.split("/")[2]
        s.calls[self.local_ip, kind] = s.calls.get(
            (self.local_ip, kind), 0) + 1
        s.expire()
        if kind != "kv-watch":
            await asyncio.sleep(0.004)
        if kind == "kv-key":
            item = s.items.get(query["Key"])
            return (200, dict(item, StoreRevision=s.revision)) if item else \
                (404, {})
        if kind == "kv-range":
            return 200, self.page(query)
        if kind == "kv-watch":
            return await self.watch(query)
        doc = json.loads(body) if body else {}
        if kind == "kv-txn":
            return self.txn(doc)
        if kind == "kv-lease":
            lease = s.revision * 1000 + len(s.leases) + 7
            s.leases[lease] = (s.lab.now() + doc["TtlMs"] / 1000,
                               doc["TtlMs"])
            return 200, {"Lease": lease, "TtlMs": doc["TtlMs"]}
        lease = int(url.path.rsplit("/", 1)[1])
        if lease not in s.leases:
            return 404, {}
        if kind == "kv-keep":
            ttl = s.leases[lease][1]
            s.leases[lease] = (s.lab.now() + ttl / 1000, ttl)
            return 200, {"TtlMs": ttl}
        s.end_lease(lease)
        return 200, {}

    def page(self, query):
        s = self.store
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(k for k in s.items if k.startswith(prefix)
                      and k > after)
        return {"items": [s.items[k] for k in keys[:s.PAGE]],
                "HasMore": len(keys) > s.PAGE, "StoreRevision": s.revision}

    async def watch(self, query):
        s = self.store
        after = int(query["after"])
        until = s.lab.now() + min(int(query["WaitMs"]), 30000) / 1000
        while True:
            events = [h for h in s.history if h["Revision"] > after and
                      h["Key"].startswith(query.get("Prefix", ""))]
            left = until - s.lab.now()
            if events or left <= 0:
                await asyncio.sleep(0.004)
                return 200, {"events": events, "StoreRevision":
                             max([s.revision if not events else 0] +
                                 [e["Revision"] for e in events])}
            try:
                await asyncio.wait_for(s.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            s.expire()

    def txn(self, doc):
        s = self.store
        for row in doc.get("ExpectedRev", []):
            item = s.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return 412, {"items": []}
        for put in doc.get("Puts", []):
            if put.get("Lease") and put["Lease"] not in s.leases:
                return 404, {}
        for put in doc.get("Puts", []):
            s.put(put["Key"], base64.b64decode(put["Value"]),
                  put.get("Lease", 0))
        for key in doc.get("Remove", []):
            s.remove(key)
        return 200, {"Revision": s.revision}


# --- instances under test ---------------------------------------------------

class Edge:
    """A process of target/rattangap-edge, and what the routers know of it."""

    def __init__(self, lab, index, zone):
        self.lab, self.index, self.zone = lab, index, zone
        self.name = f"front-{zone}-{index}"
        self.ip = f"127.{lab.net}.1.{index}"
        self.store_ip = f"127.{lab.net}.0.{index}"
        self.settings = os.path.join(lab.tmp, f"{self.name}.json")
        self.log = os.path.join(lab.tmp, f"{self.name}.log")
        self.process = None
        self.in_rotation = False
        self.misses = 0
        self.disturbed = -1e9  # last moment of an unplanned disturbance
        self.expected_end = False
        self.link = None  # PeerLink, if its peers' traffic passes one

    def write_settings(self):
        """deploy/settings.json, filled in as DEPLOY.md says. The address for
        peers is that of the link's stand-in, if there is one."""
        doc = {"name": self.name, "data_centre": self.zone,
               "packet_address": f"{self.ip}:{PACKET_PORT}",
               "health_address": f"{self.ip}:{READY_PORT}",
               "metrics_address": f"{self.ip}:{METRICS_PORT}",
               "drain_ms": DRAIN_MS, "apply_ms": APPLY_MS,
               "grace_s": GRACE_S, "flow_age_s": FLOW_AGE_S,
               "peer_address": f"{self.ip}:{PEER_PORT}",
               "store": {"address": f"{self.store_ip}:{STORE_PORT}"}}
        if self.link:
            doc["peer_advertise"] = f"{self.link.ip}:{PEER_PORT}"
        with open(self.settings, "w", encoding="ascii") as out:
            json.dump(doc, out)

    def launch(self):
        self.write_settings()
        self.expected_end = False
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["target/rattangap-edge", "--settings", self.settings],
                cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.lab.note(f"start {self.name}")

    def signal(self, signum):
        self.expected_end = signum in (signal.SIGTERM, signal.SIGKILL)
        self.lab.note(f"signal {signal.Signals(signum).name} to {self.name}")
        self.process.send_signal(signum)
        if signum != signal.SIGTERM:
            self.disturbed = self.lab.now()

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def wait_end(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.lab.note(f"{self.name} has ended: {self.process.returncode}")

    async def get(self, port, path, timeout):
        async def call():
            reader, writer = await asyncio.open_connection(self.ip, port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: {self.ip}\r\n"
                             "Connection: close\r\n\r\n".encode())
                return await reader.read(-1)
            finally:
                writer.close()
        return await asyncio.wait_for(call(), timeout)

    async def probe_forever(self):
        """The routers ask twice a second; two misses end the rotation."""
        while True:
            try:
                answer = await self.get(READY_PORT, "/v1/readiness", 0.4)
                ok = answer.split(b" ", 2)[1:2] == [b"200"]
            except (OSError, asyncio.TimeoutError):
                ok = False
            if self.process and self.process.poll() is not None and \
                    not self.expected_end:
                self.expected_end = True
                self.lab.violate("Fault", f"{self.name} ended by itself: "
                                 f"{self.process.returncode}")
            self.misses = 0 if ok else self.misses + 1
            before = self.in_rotation
            if ok:
                self.in_rotation = True
            elif self.misses >= 2:
                self.in_rotation = False
            if before != self.in_rotation:
                self.lab.note(f"{self.name} "
                              f"{'in' if self.in_rotation else 'out of'} "
                              "rotation")
            await asyncio.sleep(0.5)

    def events(self, word):
        """Lines of the process's log with this event."""
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return [line.rstrip() for line in log if f" {word} " in line]


class PeerLink(asyncio.DatagramProtocol):
    """What other instances send to an instance passes here. While its link is
    choked, everything waits `delay_s`, in order; nothing is lost. Answers of
    the store wait as long."""

    def __init__(self, lab, edge):
        self.lab, self.edge = lab, edge
        self.ip = f"127.{lab.net}.4.{edge.index}"
        self.delay_s = 0.0
        self.transport = None
        self.server = None
        edge.link = self

    async def open(self):
        await self.lab.loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, PEER_PORT))
        self.server = await asyncio.start_server(self.relay, self.ip,
                                                 PEER_PORT)

    def close(self):
        self.transport.close()
        self.server.close()

    def choke(self, delay_s):
        self.delay_s = delay_s
        self.lab.store.link_delay_s[self.edge.store_ip] = delay_s
        self.edge.disturbed = self.lab.now()
        self.lab.note(f"packets to {self.edge.name} wait {delay_s} s")

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, raw, addr):
        self.lab.loop.call_later(self.delay_s, self.pass_on, raw)

    def pass_on(self, raw):
        if not self.transport.is_closing():
            self.transport.sendto(raw, (self.edge.ip, PEER_PORT))

    async def relay(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(
                self.edge.ip, PEER_PORT)
        except OSError:
            writer.close()
            return

        async def copy(source, target, inbound):
            try:
                while data := await source.read(65536):
                    if inbound and self.delay_s:
                        await asyncio.sleep(self.delay_s)
                    target.write(data)
                    await target.drain()
            except OSError:
                pass
            finally:
                target.close()

        await asyncio.gather(copy(reader, to_writer, True),
                             copy(to_reader, writer, False))


# --- upstreams --------------------------------------------------------------

class UpstreamFlow:
    """A flow at an upstream; not open until the caller has acknowledged."""

    def __init__(self, p, seq):
        self.caller_seq = p.seq
        self.seq = seq  # of the SYN+ACK
        self.next_seq = seq + 1 & 0xffffffff
        self.expected = p.seq + 1 & 0xffffffff
        self.echo = p.echo
        self.open = False
        self.request = b""
        self.unacked = []  # (seq, data) of the answer
        self.timer = None
        self.tries = 0


class Upstream(asyncio.DatagramProtocol):
    """A server, PROTOCOL.md 'Packets', 'Flows' and 'Hosts'."""

    RETRANSMISSIONS = 8
    SLOTS = 2  # requests that run at the same time; further ones wait

    def __init__(self, lab, index, service, zone):
        self.lab, self.index = lab, index
        self.service, self.zone = service, zone
        self.ip = f"127.{lab.net}.3.{index}"
        self.id = lab.rand.getrandbits(40)
        self.born = int(time.time() * 1000)
        self.name = f"u{index}"
        self.flows = {}
        self.state = "ready"
        self.work_s = 0.022
        self.busy = 0
        self.queue = []
        self.ran = {}  # attempt id -> number of runs here
        self.draining_since = None
        self.running = True
        self.transport = None
        self.refuse_syn = False  # full: answers no opening

    async def open(self):
        await self.lab.loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, UPSTREAM_PORT))
        self.write_entry()

    def connection_made(self, transport):
        self.transport = transport

    def close(self):
        self.running = False
        if self.transport:
            self.transport.close()

    def key(self):
        return f"servers/i-{self.id:010x}"

    def write_entry(self):
        """Its entry. Heartbeats are left out, since "the entry changes when
        more than `Seq` changes"."""
        self.lab.store.put_json(self.key(), {
            "Service": self.service, "Address": f"{self.ip}:{UPSTREAM_PORT}",
            "Zone": self.zone, "Version": "v1", "Slots": self.SLOTS,
            "State": self.state, "ColdLeftMs": 0, "Seq": 1,
            "born": self.born})

    def drain(self):
        self.state = "draining"
        self.write_entry()
        self.draining_since = self.lab.now()
        self.lab.note(f"{self.name} is draining, accepted by the store")

    def leave(self):
        self.running = False
        self.lab.store.remove(self.key())
        self.transport.close()
        self.lab.note(f"{self.name} has left")

    def datagram_received(self, raw, addr):
        if not self.running or len(raw) < 8:
            return
        wanted = int.from_bytes(raw[:8], "big")
        p = decode(raw[8:])
        if p is None or not p.sound:
            self.lab.violate("UNASKED", f"{self.name} got a packet that its "
                             "sender did not write so")
            return
        if wanted not in (0, self.id):
            return  # not the intended host: sends nothing
        edge = next((e for e in self.lab.edges if e.ip == addr[0]), None)
        self.handle(p, edge)

    def handle(self, p, edge):
        key = (p.src, p.sport, p.dst, p.dport)
        f = self.flows.get(key)
        flow = self.lab_flow(key)
        if p.flags & SYN:
            if flow:
                flow.opening_at(self, p, edge)
            self.handle_syn(key, f, p)
            return
        own = f is not None and self.acknowledges(f, p)
        if flow:
            flow.packet_at(self, p, edge, own)
        if f is None:
            if not p.flags & RST:
                self.send(key, p.ack, p.seq, RST, b"", 0)
                self.lab.note(f"{self.name} holds no flow {tag(key)}: RST")
            return
        if not own:
            return  # half-open, another host's flow: silence
        self.handle_open(key, f, p)

    def lab_flow(self, key):
        for c in self.lab.callers:
            if c.number == key[0]:
                return c.flows.get(key[1])
        return None

    def handle_syn(self, key, f, p):
        if self.refuse_syn:
            return
        if f is None or f.caller_seq != p.seq:
            f = UpstreamFlow(p, self.lab.rand.getrandbits(32))
            self.flows[key] = f
            self.arm(key, f, 0.2)
        f.echo = p.echo or f.echo
        self.send_syn_ack(key, f)

    def send_syn_ack(self, key, f):
        self.send(key, f.seq, f.expected, SYN | ACK, b"", f.echo)

    def send(self, key, seq, ack, flags, data, echo):
        p = Packet(echo, seq, ack, key[2], key[3], key[0], key[1], flags,
                   data)
        ip = socket.inet_ntoa(struct.pack(">I", key[0]))
        self.lab.send_later(self.transport, p.encode(), ip)

    def acknowledges(self, f, p):
        """The packet's ack lies within what this host has sent."""
        return (p.ack - (f.seq + 1) & 0xffffffff) <= \
            (f.next_seq - (f.seq + 1) & 0xffffffff)

    def arm(self, key, f, delay):
        if f.timer:
            f.timer.cancel()
        f.timer = self.lab.loop.call_later(delay, self.retransmit, key, f,
                                           delay)

    def retransmit(self, key, f, delay):
        if self.flows.get(key) is not f or not self.running:
            return
        if f.open and not f.unacked:
            return
        if f.tries == self.RETRANSMISSIONS:
            del self.flows[key]  # gives up
            return
        f.tries += 1
        if not f.open:
            self.send_syn_ack(key, f)
        else:
            for seq, data in f.unacked:
                self.send(key, seq, f.expected, ACK, data, f.echo)
        self.arm(key, f, min(delay * 2, 1.6))

    def handle_open(self, key, f, p):
        if not f.open:
            f.open = True
            f.tries = 0
        f.echo = p.echo or f.echo
        f.unacked = [(s, d) for s, d in f.unacked
                     if (p.ack - (s + len(d)) & 0xffffffff) > 0x7fffffff]
        if p.flags & RST:
            del self.flows[key]
            return
        if p.data and p.seq == f.expected:
            f.expected = f.expected + len(p.data) & 0xffffffff
            f.request += p.data
            self.take_requests(key, f)
        elif p.data:
            self.send(key, f.next_seq, f.expected, ACK, b"", f.echo)
        if p.flags & FIN:
            self.send(key, f.next_seq, f.expected + 1, FIN | ACK, b"", f.echo)
            del self.flows[key]

    def take_requests(self, key, f):
        while b"\r\n\r\n" in f.request:
            head, _, f.request = f.request.partition(b"\r\n\r\n")
            attempt = next(line.split(b":")[1].strip().decode() for line in
                           head.split(b"\r\n") if
                           line.startswith(b"Attempt-Id"))
            work_s = next((float(line.split(b":")[1]) for line in
                           head.split(b"\r\n") if
                           line.startswith(b"Work-S")), self.work_s)
            self.queue.append((key, f, attempt, work_s))
            self.run_queued()

    def run_queued(self):
        while self.queue and self.busy < self.SLOTS:
            key, f, attempt, work_s = self.queue.pop(0)
            self.busy += 1
            self.ran[attempt] = self.ran.get(attempt, 0) + 1
            self.lab.note(f"{self.name} runs {attempt}")
            if self.ran[attempt] > 1:
                self.lab.violate("TWICE", f"{attempt} ran twice")
            self.lab.loop.call_later(work_s, self.finish, key, f, attempt)

    def finish(self, key, f, attempt):
        self.busy -= 1
        self.answer(key, f, attempt)
        self.run_queued()

    def answer(self, key, f, attempt):
        if self.flows.get(key) is not f or not self.running:
            return
        body = f"{attempt} by {self.name}".encode().ljust(600, b".")
        data = (f"HTTP/1.1 200 OK\r\nResponse-Signature: {self.name}-"
                f"{attempt}\r\nContent-Length: {len(body)}\r\n\r\n"
                ).encode() + body
        f.unacked.append((f.next_seq, data))
        self.send(key, f.next_seq, f.expected, ACK, data, f.echo)
        f.next_seq = f.next_seq + len(data) & 0xffffffff
        f.tries = 0
        self.arm(key, f, 0.2)


def tag(key):
    ip = socket.inet_ntoa(struct.pack(">I", key[0]))
    return f"{ip}:{key[1]}"


# --- callers ----------------------------------------------------------------

class Caller(asyncio.DatagramProtocol):
    """A client address with its flows."""

    def __init__(self, lab, index, zone):
        self.lab, self.zone = lab, zone
        self.ip = f"127.{lab.net}.64.{index}"
        self.number = ip_number(self.ip)
        self.flows = {}
        self.port = 20000
        self.transport = None

    async def open(self):
        await self.lab.loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, PACKET_PORT))
        self.lab.callers.append(self)

    def connection_made(self, transport):
        self.transport = transport

    def close(self):
        if self.transport:
            self.transport.close()

    def datagram_received(self, raw, addr):
        p = decode(raw)
        if p is None:
            self.lab.violate("MIXED", f"{self.ip} got bytes that are no "
                             "packet")
            return
        flow = self.flows.get(p.dport)
        if flow:
            flow.receive(p, addr[0])

    def new_flow(self, host, dport, name, **options):
        self.port += 1
        flow = Flow(self, self.port, host, dport, name, **options)
        self.flows[self.port] = flow
        return flow


class Flow:
    """A flow of a caller, PROTOCOL.md 'Flows', judged by the rule FLOW."""

    def __init__(self, caller, port, host, dport, name, lose_syn_acks=0,
                 answers_strays=False, ack_delay_s=0.0, by=None,
                 brief=False):
        self.lab, self.caller = caller.lab, caller
        self.answers_strays = answers_strays
        self.ack_delay_s = ack_delay_s  # of an odd packet; even ones at once
        self.ack_timer = None
        self.brief = brief  # only its requests' ends go into the record
        self.by = by  # the instance that the routers chose, None: by hash
        self.port, self.host, self.dport = port, host, dport
        self.name = name
        self.lose_syn_acks = lose_syn_acks  # datagrams lost on their way
        self.lost_at = -1e9  # when the last one was
        self.echo = 0
        self.first_seq = self.lab.rand.getrandbits(32)
        self.seq = self.first_seq + 1 & 0xffffffff
        self.ack = 0
        self.taken = None     # the upstream whose SYN+ACK was taken
        self.open_at = None   # when that upstream got the handshake's end
        self.dead = None      # why the flow ended
        self.opened = self.lab.loop.create_future()
        self.buffer = b""
        self.unacked_until = None  # sequence number after unacknowledged data
        self.waiting = None   # future of the current request
        self.arrivals = []    # (time, upstream, own, edge)
        self.openings = []    # upstreams that got a SYN
        self.last_packet = 0.0

    def note(self, text):
        if not self.brief:
            self.lab.note(f"flow {self.name}: {text}")

    def send(self, flags, seq, ack, data=b""):
        edge = self.by or self.lab.pick_edge(self)
        if self.ack_timer:  # this packet acknowledges, too
            self.ack_timer.cancel()
            self.ack_timer = None
        p = Packet(0 if flags & SYN else self.echo, seq, ack,
                   self.caller.number, self.port, ip_number(self.host),
                   self.dport, flags, data)
        self.last_packet = self.lab.now()
        if edge:
            self.lab.send_later(self.caller.transport, p.encode(), edge.ip,
                                edge.link.delay_s if edge.link else 0.0)
        return edge

    # The opening: a SYN, copies after 200 and 600 ms, the end after 1.4 s.
    async def open(self):
        start = self.lab.now()
        for copies, until in ((0, 0.2), (1, 0.6), (2, 1.4)):
            edge = self.send(SYN, self.first_seq, copies)
            self.note(f"SYN {copies} by {edge.name if edge else '-'}")
            try:
                await asyncio.wait_for(asyncio.shield(self.opened),
                                       start + until - self.lab.now())
                return self.taken is not None
            except asyncio.TimeoutError:
                pass
        self.end("not opened")
        return False

    def end(self, why):
        if not self.dead:
            self.dead = why
            if not self.opened.done():
                self.opened.set_result(None)
            if self.waiting and not self.waiting.done():
                self.waiting.set_result(None)

    async def request(self, attempt, budget, method="POST", work_s=None):
        """Sends a request; True once its whole answer has come. Gives up at
        the time budget."""
        head = f"{method} /x HTTP/1.1\r\nHost: s\r\nAttempt-Id: {attempt}\r\n"
        if work_s is not None:
            head += f"Work-S: {work_s}\r\n"
        data = (head + "Content-Length: 0\r\n\r\n").encode()
        start = self.lab.now()
        self.buffer = b""
        self.waiting = self.lab.loop.create_future()
        self.attempt = attempt
        seq = self.seq
        self.seq = self.seq + len(data) & 0xffffffff
        self.unacked_until = self.seq
        delay = 0.2
        while not self.dead and self.lab.now() - start < budget:
            if self.unacked_until:  # the upstream has not acknowledged it
                edge = self.send(ACK, seq, self.ack, data)
                self.note(f"request {attempt} sent by "
                          f"{edge.name if edge else '-'} token "
                          f"{self.echo:08x}")
            left = min(delay, start + budget - self.lab.now())
            try:
                await asyncio.wait_for(asyncio.shield(self.waiting), left)
                break
            except asyncio.TimeoutError:
                delay = min(delay * 2, 1.6)
        answered = self.waiting.done() and self.waiting.result() is True
        self.lab.note(f"flow {self.name}: request {attempt} " +
                  ("answered" if answered else f"NOT answered "
                   f"({self.dead or 'time budget over'})"))
        return answered

    def close(self):
        if not self.dead:
            self.send(FIN | ACK, self.seq, self.ack)
            self.end("closed")

    def receive(self, p, ip):
        if p.src != ip_number(self.host) or p.sport != self.dport:
            return
        upstream = next((u for u in self.lab.upstreams if u.ip == ip), None)
        edge = next((e for e in self.lab.edges if e.ip == ip), None)
        if p.flags & SYN and self.lose_syn_acks > 0:
            self.lose_syn_acks -= 1
            self.lost_at = self.lab.now()
            self.note(f"SYN+ACK of {upstream.name} is lost on its way")
            return
        if p.flags & RST:
            self.on_reset(p, upstream, edge)
            return
        if not p.sound:
            self.lab.violate("MIXED", f"flow {self.name} got a packet that "
                             "its sender did not write so")
            return
        if p.echo:
            self.echo = p.echo
        if self.dead:
            return
        if p.flags & SYN:
            self.on_syn_ack(p, upstream)
        elif p.data:
            self.on_data(p, upstream)
        if self.taken is upstream and p.flags & ACK and self.unacked_until \
                and (p.ack - self.unacked_until & 0xffffffff) <= 0x7fffffff:
            self.unacked_until = None

    def on_syn_ack(self, p, upstream):
        if self.taken:
            self.note(f"SYN+ACK of {upstream.name} again, token "
                      f"{p.echo:08x}")
            if self.answers_strays:
                self.send(ACK, self.seq, self.ack)
            return
        self.taken = upstream
        self.taken_id = upstream.id
        self.ack = p.seq + 1 & 0xffffffff
        self.note(f"opened at {upstream.name}, token {p.echo:08x}")
        self.send(ACK, self.seq, self.ack)
        self.opened.set_result(True)

    def on_data(self, p, upstream):
        if upstream is not self.taken:
            self.lab.violate("MIXED", f"flow {self.name} got data of "
                             f"{upstream.name}")
            return
        if p.seq == self.ack:
            self.ack = self.ack + len(p.data) & 0xffffffff
            self.buffer += p.data
            self.acknowledge_new()
        else:
            self.send(ACK, self.seq, self.ack)  # it has come before
        _, sep, body = self.buffer.partition(b"\r\n\r\n")
        if sep and len(body) >= 600 and self.waiting and \
                not self.waiting.done():
            if self.attempt.encode() not in body:
                self.lab.violate("MIXED", f"flow {self.name} got a foreign "
                                 "answer")
            self.waiting.set_result(True)

    def acknowledge_new(self):
        """Acknowledges every second packet at once, an odd one later."""
        if self.ack_delay_s == 0 or self.ack_timer:
            self.send(ACK, self.seq, self.ack)
            return
        self.ack_timer = self.lab.loop.call_later(
            self.ack_delay_s, self.send_delayed)

    def send_delayed(self):
        self.ack_timer = None
        if not self.dead:
            self.note(f"delayed ACK, token {self.echo:08x}")
            self.send(ACK, self.seq, self.ack)

    def protected(self):
        """FLOW holds for the flow now, apart from the instances' state. A lost
        datagram is taken for a disturbance of the upstream's link."""
        now = self.lab.now()
        return (self.open_at is not None and self.taken.running and
                now - self.open_at < FLOW_AGE_S and
                now - self.lost_at > STABLE_WINDOW_S)

    def on_reset(self, p, upstream, edge):
        by = upstream.name if upstream else edge.name if edge else "?"
        if self.dead:
            return
        if self.taken is None:
            self.note(f"reset by {by} before it opened")
            self.end("refused")
            return
        near = (p.seq - self.ack + 76800 & 0xffffffff) <= 2 * 76800
        self.note(f"RESET by {by}, it is open at {self.taken.name}")
        via = edge or (self.arrivals[-1][3] if self.arrivals else None)
        calm = via is None or \
            self.lab.now() - via.disturbed > STABLE_WINDOW_S
        if upstream is not self.taken and self.protected() and calm and near:
            self.lab.violate("FLOW", f"(a) flow {self.name}, open at "
                             f"{self.taken.name}, was reset by {by}")
        self.end(f"reset by {by}")

    # Reports of upstreams.
    def opening_at(self, upstream, p, edge):
        self.openings.append(upstream)
        self.note(f"SYN {p.ack} at {upstream.name} by "
                  f"{edge.name if edge else '-'}")

    def packet_at(self, upstream, p, edge, own):
        now = self.lab.now()
        if upstream is self.taken and own and self.open_at is None:
            self.open_at = now
        mine = upstream is self.taken
        self.arrivals.append((now, upstream, mine, edge))
        if not mine:
            self.note(f"packet at {upstream.name}, not at its own "
                      f"{self.taken.name if self.taken else '-'}, by "
                      f"{edge.name if edge else '-'}")

    def check_misrouted(self):
        """FLOW (b): in a span of MisrouteWindowMs three or more packets
        reach other hosts and none its own."""
        if self.open_at is None:
            return
        others = [a for a in self.arrivals
                  if not a[2] and a[0] >= self.open_at and
                  a[0] - self.lost_at > STABLE_WINDOW_S]
        for first in others:
            until = first[0] + MISROUTE_WINDOW_S
            if until > self.end_time:
                break
            span = [a for a in self.arrivals if first[0] <= a[0] <= until]
            if sum(not a[2] for a in span) >= 3 and \
                    not any(a[2] for a in span) and \
                    all(a[3] is None or a[0] - a[3].disturbed >
                        STABLE_WINDOW_S or a[3].disturbed > a[0]
                        for a in span):
                self.lab.violate(
                    "FLOW", f"(b) flow {self.name}, open at "
                    f"{self.taken.name}: {len(span)} packets in "
                    f"{MISROUTE_WINDOW_S} s reached others, none its own")
                return

    end_time = float("inf")


# --- running a case ---------------------------------------------------------

def routes_document(version, routes):
    """A configuration. `routes`: (name, address, port, type, service,
    timeout in ms, target in ms)."""
    return {"Version": version,
            "Routes": [{"Name": n, "Host": h, "Prefix": f"/{p}/",
                        "RouteType": t, "Service": s, "TimeoutMs": timeout,
                        "TargetLatencyMs": target, "Priority": 1,
                        "MaxAttempts": 2}
                       for n, h, p, t, s, timeout, target in routes],
            "Services": [{"Name": s, "HealthPath": "/health",
                          "MaxConns": 2000, "Protocol": "h1", "Tls": False}
                         for s in sorted({r[4] for r in routes})],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": IDLE_TIMEOUT_MS}}


async def background(lab, caller, host, dport, per_s, served):
    """Requests with a flow each."""
    async def one(number):
        flow = caller.new_flow(host, dport, f"bg-{number}", brief=True)
        ok = await flow.open() and await flow.request(f"bg-{number}", 2.5,
                                                      "GET")
        flow.close()
        served[0] += 1
        served[1] += bool(ok)
        caller.flows.pop(flow.port, None)
    number = 0
    while True:
        number += 1
        lab.spawn(one(number))
        await asyncio.sleep(lab.rand.expovariate(per_s))


def main(folder, case):
    """Runs `case(lab, trouble)` and exits with 1 if a rule was broken, 0 if
    all held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", str(int.from_bytes(os.urandom(3),
                                                         "big"))))

    async def run():
        task = asyncio.current_task()
        for signum in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signum, task.cancel)
        lab = Lab(folder, seed)
        code = 2
        lab.note(f"seed {seed}, trouble {int(trouble)}")
        try:
            await asyncio.wait_for(case(lab, trouble), 110)
            code = 1 if lab.violations else 0
        except (Exception, asyncio.CancelledError) as e:  # it could not run
            lab.note(f"cannot run: {type(e).__name__}: {e}")
            code = 2
        finally:
            keep = os.environ.get("KEEP_LOGS")
            for e in lab.edges:
                e.kill()
                if keep and os.path.exists(e.log):
                    shutil.copy(e.log, keep)
            await lab.close()
        lab.write_record(f"exit {code}, {len(lab.violations)} violations")
        return code, lab

    code, lab = asyncio.run(run())
    for rule, text in lab.violations[:5]:
        print(f"BROKEN {rule}: {text}")
    if code == 2:
        print(lab.lines[-1])
    print(f"exit {code}")
    sys.exit(code)
