import { C8, Cluster } from './cluster.js';
const kali = process.argv[2] === 'k';
const nodes = kali ? 5 : 3;
const state = kali
  ? { rps: 200, write_rps: 80, value_kb: 32, txn_ops: 48 }
  : { rps: 250, write_rps: 15, value_kb: 4, txn_ops: 12 };
const c = new Cluster({
  nodes,
  teams: [0, 1, 2, 3].map((n) => ({ name: `t${n}`, cpus: 100, cpus_max: 3000 })),
  flavors: [{ ...C8, Cpus: kali ? 32 : 8, MemGb: kali ? 256 : 64 }],
  cluster: {
    state,
    workers: kali
      ? { report_s: 5, lease_s: 32, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 52 }
      : { report_s: 1, lease_s: 11, gang_wait_s: 50, gang_peer_s: 6, cancel_s: 36 },
  },
});
const machines = kali ? 118 : 131;
for (let i = 0; i < machines; i++)
  c.addWorker({ host: `i-${String(i).padStart(6, '0')}`, site: ['a', 'b', 'c'][i % 3]!, runMs: 30000 });
const t0 = process.cpuUsage();
await c.advance(4000);
let n = 0;
const sub = (f: any) =>
  void c.node(n++ % nodes).jobs.submit({
    Ref: `j-${f.Shape === 'service' ? 'svc' : ''}${String(100000 + n)}`,
    Jobclass: 'web',
    Owner: `t${n % 4}`,
    Shape: 'array',
    Rank: 'normal',
    Shards: 1,
    Cpus: 2,
    Cards: 0,
    MemGb: 4,
    Bundle: `img-${n % 18}`,
    SizeGb: 1,
    OneZone: false,
    Spread: false,
    Reclaimable: false,
    GuessS: 30,
    SnapshotEveryS: 0,
    SnapshotS: 0,
    ...f,
  });
for (let i = 0; i < (kali ? 110 : 25); i++) {
  sub({ Shape: 'service', Rank: 'prod', Shards: kali ? 4 : 8, GuessS: 0, Spread: true });
  await c.advance(200);
}
for (let i = 0; i < (kali ? 20 : 8); i++) sub({ Shards: kali ? 60 : 35 });
const T = Number(process.argv[3] ?? 40);
for (let s = 0; s < T; s++) {
  const k = kali ? 0.53 : 0.15;
  if (Math.floor(s * k) !== Math.floor((s + 1) * k)) sub({ Shards: kali ? 70 : 40 });
  await c.advance(1000);
}
const u = process.cpuUsage(t0);
console.log(
  'cpu s',
  (u.user + u.system) / 1e6,
  'sim s',
  c.clock.now() / 1000,
  'running',
  [...c.workers.values()].reduce((a, w) => a + [...w.tasks.values()].filter((t) => t.Phase === 'running').length, 0),
);
c.stop();
process.exit(0);
