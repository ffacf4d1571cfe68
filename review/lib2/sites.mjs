// Settings like those of the small deployments of the operators' pages.

/** The cluster settings of the hearing lists, as in the example of the page on deployment. */
export const hearingLists = (fields = {}) => ({
  zones: ['bucuresti-nord', 'cluj-vest', 'iasi-est'],
  teams: Array.from({ length: 12 }, (_, index) => ({
    name: `echipa-platforma-${String(index).padStart(2, '0')}`,
    cpus: 16.0,
    cpus_max: 48.0,
    gpus: 0.0,
    gpus_max: 0.0,
  })),
  objectives: [{ kind: 'deadline', class: 'reindex-dosare', share: 0.88, times: 1.0 }],
  workers: { report_s: 1.0, lease_s: 11.0, gang_wait_s: 50.0, gang_peer_s: 6.0, cancel_s: 36.0 },
  state: { rps: 250.0, write_rps: 15.0, value_kb: 4.0, txn_ops: 12 },
  cloud: { rps: 8.0, list_lag_s: 8.0 },
  limits: { cpu: 0.17, ram_mb: 146.0, sockets: 700 },
  clock_error_ms: 100.0,
  ...fields,
});

export const NOD_OPT = {
  Sku: 'nod-opt',
  Cpus: 8.0,
  Cards: 0.0,
  MemGb: 64.0,
  LocalGb: 50.0,
  FetchGbPerS: 1.0,
  Hourly: 0.63,
  LowPrice: 0.13,
  BootS: 30.0,
  Sites: ['bucuresti-nord', 'cluj-vest', 'iasi-est'],
};

/** The cluster settings of the fantasy division. */
export const fantasyDivision = (fields = {}) => ({
  zones: ['kochi-east', 'kochi-west', 'chennai-south'],
  teams: [
    { name: 'platform-crew', cpus: 0.0, cpus_max: 0.0, gpus: 8.0, gpus_max: 48.0 },
    { name: 'analytics-crew', cpus: 0.0, cpus_max: 0.0, gpus: 8.0, gpus_max: 70.0 },
  ],
  objectives: [{ kind: 'finished', class: 'player-rating', within_s: 60.0, share: 0.85 }],
  workers: { report_s: 3.0, lease_s: 32.0, gang_wait_s: 30.0, gang_peer_s: 4.0, cancel_s: 52.0 },
  state: { rps: 200.0, write_rps: 80.0, value_kb: 32.0, txn_ops: 48 },
  cloud: { rps: 2.0, list_lag_s: 5.0 },
  limits: { cpu: 0.136, ram_mb: 146.0, sockets: 800 },
  clock_error_ms: 100.0,
  ...fields,
});

export const KAYAL_LARGE = {
  Sku: 'kayal-large',
  Cpus: 64.0,
  Cards: 0.0,
  MemGb: 128.0,
  LocalGb: 70.0,
  FetchGbPerS: 0.5,
  Hourly: 3.19,
  LowPrice: 1.05,
  BootS: 25.0,
  Sites: ['kochi-east', 'kochi-west', 'chennai-south'],
};
