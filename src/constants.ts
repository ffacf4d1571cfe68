/**
 * Every constant of dewlatch, with its unit and the reason for its value. What the platform decides (rates, leases,
 * sizes) comes from the settings file; what operators may tune has its default in `DEFAULT_TUNING`.
 */

/** ms for which one view of all machines serves everybody who looks at them; less than two plans are apart. */
export const FLEET_VIEW_MS = 100;

/** Name and version shown by `--version`. */
export const VERSION = '0.1.0';

/** Relative drift between two steady clocks: each may run fast by 0.05 %, taken twice for the pair. */
export const CLOCK_DRIFT = 0.001;

/** ms added to every proof that a lease is over: timer steps, scheduling delay of the worker. */
export const LEASE_MARGIN_MS = 300;

/** ms of life of a claim's hold: long enough for a slow renewal (a few hundred ms), short enough for fast takeover. */
export const HOLD_TTL_MS = 3000;

/** ms between heartbeats (renewal and freshness check); nearly four tries fit into one hold. */
export const HEARTBEAT_MS = 800;

/** ms within which replica and claim must have been confirmed for new starts and other decisions. */
export const FRESH_MS = 2000;

/** ms taken off the hold-over: a worker accepts an answer up to 4 s after it sent its report. */
export const HOLDOVER_MARGIN_MS = 2000;

/** ms for which a peer's word that it has no store either counts: two gossip periods and some delay. */
export const PEER_WORD_MS = 2500;

/** ms that ledger changes of one machine are collected before its worker is told. */
export const PUSH_GATHER_MS = 5;

/**
 * Share of a report's period that launches of batch tasks wait for others on the same machine, or for its next report: a busy
 * machine reports several times in a period, and the answer takes them along for nothing.
 */
export const BATCH_PUSH_GATHER_SHARE = 0.1;

/** ms between two raises of one part's fence: each makes every worker of the part report. */
export const RAISE_PAUSE_MS = 5000;

/** Leases for which a worker without tasks is remembered after its last sign of life: its session is over long before. */
export const FORGET_WORKER_LEASES = 10;

/** ms between two looks for leases that are proved over. */
export const SWEEP_MS = 500;

/** ms for which a worker's visit at a node that does not own it counts as evidence: it may try all nodes in between. */
export const KNOCK_MS = 15_000;

/** ms after which a worker whose reports are relayed is sent to its owner again, to see whether the way is open. */
export const SEND_HOME_MS = 60_000;

/**
 * ms beyond its period that a report may be late before its worker counts as one that waited for an answer in vain: above
 * delays of a few hundred ms, below the second that it waits, after 4 s, before it tries another node.
 */
export const ANSWER_MISSED_MS = 1000;

/** ms to wait for the owner's answer to a relayed report: the worker waits 4 s. */
export const RELAY_TIMEOUT_MS = 2000;

/** ms between two gossip messages to each peer. */
export const GOSSIP_MS = 1000;

/** ms for which one description of a node's own machines serves all peers: links tick at different moments. */
export const GOSSIP_VIEW_MS = 900;

/**
 * Workers told the token at once after a takeover, at least, and as a share of those in use: hundreds of connections in one tick would
 * keep reports waiting, but all must have had their turn within a few seconds.
 */
export const MAX_TOKEN_ANNOUNCEMENTS = 24;
export const TOKEN_ANNOUNCEMENTS_SHARE = 0.05;

/** ms between two announcements of the token to one worker: those who are not heard all get their turn. */
export const TOKEN_ANNOUNCE_AGAIN_MS = 5000;

/** ms by which a peer's copy must be newer than ours to show that only we are cut off: more than two heartbeats. */
export const PEER_LAG_MS = 2200;

/** Bytes of one message between controllers at most: a longer one ends the link, also at peers of earlier versions. */
export const MAX_GOSSIP_BYTES = 1_000_000;

/**
 * Bytes of machines told in full in one message, well below that, and bytes of each beside its texts. Thousands of machines
 * are told of in several messages after a takeover; then only what changes is.
 */
export const MACHINES_IN_GOSSIP_BYTES = 500_000;
export const MACHINE_NEWS_BYTES = 80;

/** Machines of others by which the turn moves on from message to message, where they don't all have room: a prime. */
export const MACHINES_A_TURN = 997;

/** ms without a message after which a peer's connection is closed. */
export const MESH_IDLE_MS = 5000;

/** ms that urgent gossip is collected before it is sent. */
export const GOSSIP_SOON_MS = 100;

/** Bytes of records in one message to a peer whose copy is brought up: a turn of some milliseconds. */
export const DELTA_BYTES = 200_000;

/** Dropped keys that a copy remembers, for peers whose copies are older: some seconds' worth of ended jobs in a busy time. */
export const TOMBSTONES_KEPT = 1000;

/** ms without gossip after which a peer's machine summaries are not used for placement. */
export const GOSSIP_STALE_MS = 4000;

/** ms for a state request: answers usually take under 10 ms, now and then a few hundred. */
export const STATE_TIMEOUT_MS = 1500;

/** ms that one watch stays open: short, so that a watch stuck behind a cut is soon replaced. */
export const WATCH_WAIT_MS = 10_000;

/** ms between two watches at least: collects changes, so that busy times do not use up the request rate. */
export const WATCH_PAUSE_MS = 40;

/**
 * ms between two watches while the nodes hear each other, and so learn of changes from whoever made them: what is left to
 * the watch is the end of a hold, which comes after seconds anyway. Below half a heartbeat, so that it needs no look of its
 * own.
 */
export const WATCH_HEARD_PAUSE_MS = 350;

/** ms that changes are collected before peers are told. */
export const NEWS_GATHER_MS = 10;

/** Rows a page when the replica is read: the store's own maximum. */
export const PAGE_ROWS = 1000;

/** ms for a cloud request: rentals take longer than state requests. */
export const CLOUD_TIMEOUT_MS = 5000;

/** ms after a 429 of the cloud: its limit is a few calls a second; what is urgent tries again after a fifth of that. */
export const CLOUD_BUSY_PAUSE_MS = 2000;

/** ms for a command to a worker: workers answer at once; a hanging machine does not. */
export const COMMAND_TIMEOUT_MS = 1500;

/** ms to connect to a worker or peer; a cut machine never answers. */
export const CONNECT_TIMEOUT_MS = 1000;

/** ms after which a submission is refused with 503: users give up after 5 s, and a refusal lets them go elsewhere. */
export const SUBMIT_DEADLINE_MS = 1800;

/** ms after which a poll is refused: users wait 2 s for it. */
export const POLL_DEADLINE_MS = 1500;

/**
 * ms that polls are collected before one comparing transaction answers them all: users wait 2 s, and some hundred of them
 * who poll every 5 s would otherwise take a request of the store's each.
 */
export const POLL_GATHER_MS = 250;

/** Comparisons in a row for one question, after each of which the records that differed are read again. */
export const POLL_COMPARISONS = 3;

/** Changes that the end of a job takes at least: its final record, and the drop of its live one. */
export const END_WRITES = 2;

/** Users' requests in work at once; above it a node answers 429 at once, so that memory stays bounded. */
export const MAX_OPEN_REQUESTS = 200;

/** s told to users in `Retry-After` when a request can't be taken: the protocol's shortest wait. */
export const RETRY_AFTER_S = 1;

/** s told to users in `Retry-After` at most: they follow no longer times. */
export const MAX_RETRY_AFTER_S = 30;

/** Bytes of a request body: the protocol's limit. */
export const MAX_BODY_BYTES = 65_536;

/** Bytes of an answer to a worker, below the 64 KiB that a line may hold. */
export const MAX_ORDERS_BYTES = 60_000;

/** ms an idle user or worker connection is kept: several reports or polls. */
export const KEEP_ALIVE_MS = 30_000;

/** ms within which a request must have arrived in full. */
export const REQUEST_TIMEOUT_MS = 5000;

/** Final answers kept in memory; the rest is read from the store when asked for. */
export const FINAL_CACHE = 5000;

/** Intents of one priority waiting for the store in one node: bounds memory when the store is away, above a task a machine. */
export const MAX_INTENTS = 10_000;

/** Urgent transactions of one priority on their way at once: one may hang without keeping the next waiting. */
export const MAX_FLIGHTS = 2;

/**
 * Share of a report's period that exits of batch work are collected before they are packed: tasks run for tens of
 * seconds, and each transaction costs requests, changes of shared records, and news to every node.
 */
export const BATCH_GATHER_SHARE = 0.06;

/** Intents that no longer fit, after which a transaction counts as full. */
export const PACK_MISSES = 4;

/** Intents tried for one transaction at most: bounds the processor time of one turn. */
export const PACK_TRIES = 200;

/** ms between two runs of the planner when nothing happens. */
export const PLAN_TICK_MS = 500;

/** ms that events are collected before the planner runs. */
export const PLAN_GATHER_MS = 20;

/** Machines looked at for each kind of task when more is asked than can be done (house style: samples). */
export const SAMPLE_MACHINES = 64;

/** Tasks matched in one planner run: bounds the processor time of one turn. */
export const MAX_PLAN_TASKS = 400;

/** Waiting tasks listed in one planner run; beyond, a job is only looked at with `PLAN_GLANCE` tasks. */
export const MAX_UNPLACED = 1500;

/** ms after which a job should have begun, whatever waits before it: users expect the largest within four minutes. */
export const BEGIN_WITHIN_MS = 120_000;

/** Tasks of one job tried where many others wait already, or where it must begin at last. */
export const PLAN_GLANCE = 16;

/** Bytes of one shard's entry in a ledger chunk, a safe upper bound used to size chunks. */
export const LEDGER_ENTRY_BYTES = 64;

/** Bytes of a job's record beside its submission and the names of its predecessors, a safe upper bound. */
export const RECORD_ENVELOPE_BYTES = 200;

/**
 * Share of a team's limit up to which exits leave its record as it is: below, the record may count tasks that have ended for as
 * long as nothing of the team starts, and a start still finds room.
 */
export const TEAM_DEFER_SHARE = 0.7;

/** ms between two looks at records of teams that say more than their tasks use: a quiet team's is right a second or two later. */
export const TEAM_SETTLE_MS = 1000;

/** Shards a ledger chunk at most: larger chunks cost processor time at every change. */
export const MAX_CHUNK_SHARDS = 64;

/** ms pause before a shard that failed is tried again; doubled each time. */
export const RETRY_BASE_MS = 500;

/** ms at most between two tries of a failing shard. */
export const RETRY_MAX_MS = 30_000;

/** Failures of a task up to which machines are rented for all its job: some machines are faulty, more often jobs are. */
export const FAILS_WORTH_RENTING = 2;

/** Errors of different tasks in a row, without a success, that make a machine sick. */
export const SICK_ERRORS = 2;

/** ms that a sick machine takes no new work, if it can't be replaced. */
export const SICK_MS = 120_000;

/**
 * ms for which a machine is closed to a job whose task has failed there, doubled with each further failure up to the most: the
 * fault may be the machine's, and others come first; but a job that has failed on all of them must not wait for ever.
 */
export const SHUN_BASE_MS = 10_000;
export const SHUN_MAX_MS = 60_000;

/** ms for which a machine must look sick before it is given back: what the same jobs do on others' machines is told by then. */
export const SICK_PATIENCE_MS = 4000;

/**
 * Share of all machines that a job fails on, and the least, from which the fault is the job's and says nothing of its machines:
 * a few faulty machines among many must not speak for each other.
 */
export const FAULTY_JOB_SHARE = 0.4;
export const FAULTY_JOB_LEAST = 2;

/** Reports missed in a row after which a machine is silent and gets no new work. */
export const SILENT_REPORTS = 3;

/**
 * ms beyond a report's period after which a silent machine is given back, which frees its places at once: a worker that
 * can't reach its owner waits 4 s, then 1 s, before it knocks elsewhere, which is told at once.
 */
export const ROUND_TRIP_MS = 5400;

/** Workers of other nodes whose last visit is kept, to tell late copies: more than the 4,000 machines of a large cluster. */
export const MISDIRECTED_WORKERS_KEPT = 20_000;

/** Names of returned machines kept, so that late news of them are not believed: those of a large cluster several times over. */
export const RETURNED_MACHINES_KEPT = 20_000;

/** Share of a part's machines silent at once above which the node suspects itself, not the machines. */
export const SELF_SUSPECT_SHARE = 0.4;

/** Fewer silent workers than that say nothing of the node. */
export const LEAST_SILENT_WORKERS = 2;

/** Share of a zone's machines silent at once above which the zone counts as cut off. */
export const ZONE_CUT_SHARE = 0.5;

/** Times the limit of silence after which a machine that no owner has heard since a takeover is given back. */
export const UNHEARD_LIMITS = 2;

/** ms for which a zone's machines are spared after most have come back: the last ones try other nodes first. */
export const ZONE_HEAL_MS = 30_000;

/** ms for which the machines of a zone that is cut off are kept: longer than most cuts, and than renting others takes. */
export const ZONE_PATIENCE_MS = 120_000;

/** ms after which a machine that no owner speaks of is forgotten; its images are of use to a new owner until then. */
export const FORGET_MACHINE_MS = 120_000;

/** ms for which a service holds out for a machine with its image: stopping lower work takes less than most fetches. */
export const WARM_WAIT_MS = 700;

/** Tiers put machines behind others whatever their distance; a missing image counts `image_bonus` (1 by default). */
export const GPU_TIER = 4;
/** s of fetching that count as much again as the image's being missed at all. */
export const FETCH_TIER_S = 20;

/** Tasks in a row that must all have run long before their machine counts as slow. */
export const SLOW_TASKS = 3;

/** ms for which a machine counts as slow. */
export const SLOW_MS = 60_000;

/** Finished siblings from which their mean run time is trusted. */
export const SIBLINGS_KNOWN = 3;

/**
 * Times as long as the mean of its siblings, from which a running task shows that its machine is slow. The siblings that are
 * through by then are the shorter half: among runs that differ by 0.4 either way the longest takes 1.9 times their mean.
 */
export const STRAGGLER_FACTOR = 2.3;

/** Times the mean after which a task stays on its slow machine: it will end there sooner than anew. */
export const RELIEVE_FACTOR = 3;

/** Times as long as its siblings from which a machine's tasks make it count as slow, for the same reason. */
export const SLOW_FACTOR = 2.3;

/** ms after its rental until a machine that never reported is given back: many times its boot time is `BootS` * this. */
export const BOOT_PATIENCE = 3;

/** ms an idle machine beyond the wanted reserve is kept (hysteresis against renting again). */
export const IDLE_RETURN_MS = 180_000;

/** ms between two looks for idle machines. */
export const IDLE_LOOK_MS = 5000;

/** Share of all room kept free as reserve for bursts: a machine takes longer to boot than work may wait. */
export const RESERVE_SHARE = 0.3;

/** Looks at renting in a row while requests are refused: as many as there are kinds of offers to try, roughly. */
export const RENT_ROUNDS = 4;

/** Machines rented at once for the reserve. */
export const MAX_RESERVE_AT_ONCE = 3;

/** ms between two looks at the cloud's list. */
export const LIST_PERIOD_MS = 4000;

/** ms between two looks at the catalogue: prices move, types hardly. */
export const CATALOG_PERIOD_MS = 30_000;

/** Machines rented by one decision: the protocol lets one request ask for 50, and need is what really waits. */
export const MAX_RENT_AT_ONCE = 40;

/** ms between two looks at workers that have not been heard since a takeover. */
export const TOKEN_ANNOUNCE_PERIOD_MS = 700;

/** ms between two sweeps for jobs that are over: `done` may be 3 s late. */
export const FINISH_PERIOD_MS = 700;

/** ms between two decisions about renting. */
export const RENT_PERIOD_MS = 2000;

/** ms for which a refused type, zone and kind is not asked for again. */
export const NO_CAPACITY_MS = 15_000;

/** ms for which a refused rental is remembered: writes to the store come late by seconds, behind a cut by minutes. */
export const FORGET_REFUSED_MS = 600_000;

/** ms for which a task that was told to stop counts as stopping before the ledger shows it. */
export const STOPPING_MS = 2000;

/** What a machine without the image costs in choosing whom to stop, in units of one stopped low task that can save. */
export const COLD_COST = 4;

/** ms between two lines that say how full the cluster is. */
export const STATUS_PERIOD_MS = 10_000;

/** Weight of the newest run in a class's ratio of run time to estimate: follows a day's bias within some ten tasks. */
export const RATIO_WEIGHT = 0.05;

/**
 * Share of the time that a search of the whole cluster (plan, preemption) may take: whoever needs long looks more rarely,
 * so that reports and submissions always find the processor free. Work that is waited for within seconds, services and
 * gangs, may take more.
 */
export const WORK_SHARE = 0.01;
export const URGENT_WORK_SHARE = 0.025;

/**
 * ms between two plans at most: the first plans of a process take many times as long as later ones, and a whole cluster waits
 * for them when all nodes have come back at once.
 */
export const MAX_PLAN_REST_MS = 800;

/** Times as long as a plan took that the next one waits at least: a node short of processor time must hear reports in between. */
export const PLAN_REST_LEAST = 2;

/** ms between two preemption rounds: the exits of the last must have been seen. */
export const PREEMPT_PERIOD_MS = 200;

/** ms before a part that is not the node's own is given back to its node: the node must be up for that long. */
export const HANDBACK_MS = 3000;

/** ms for which a node does not take a part again that it gave up because workers don't reach it. */
export const AVOID_MS = 15_000;

/** ms that others leave a vacant role to its designated successor: a look at the claims and one transaction. */
export const SUCCESSOR_HEAD_START_MS = 400;

/** ms between two looks of the warm standby: it sends what changed, and notices pauses of the process. */
export const STANDBY_LOOK_MS = 250;

/** ms between two requests of a follower, and ms after which one that asks no more is sent nothing. */
export const FOLLOW_PERIOD_MS = 1000;
export const FOLLOWER_TIMEOUT_MS = 5000;

/** ms between two collections of what followers are told of checks and idle machines: as often as workers report at most. */
export const ADVICE_PERIOD_MS = 1000;

/** ms between two looks at whether the answers to commands have come. */
export const DRAIN_LOOK_MS = 20;

/** Share of the time for a handover in which the answers to launches that are out are waited for. */
export const DRAIN_SHARE = 1 / 3;

/** ms that a node waits with taking an orphaned part of another node: prefers that its own node comes. */
export const ORPHAN_WAIT_MS = 150;

/**
 * ms that a node which has just read the records waits longer with taking a partition that it has never seen claimed: its own
 * node probably starts as well, a second sooner or later, and a partition taken in between is given back at once, for which
 * all its workers must connect anew.
 */
export const START_GRACE_MS = 1500;

/** Share of the state service's rates that one node may use by itself, while no 429 says that others need it. */
export const RATE_SHARE = 0.8;

/** Factor on a node's own rate after a 429, and the share of its most that it gains back in each second after. */
export const RATE_DECREASE = 0.6;
export const RATE_INCREASE = 0.2;

/** ms of waiting after which batch work leaves nothing any more. */
export const URGENT_YIELD_MS = 1000;

/** ms that batch work stays away after a 429, and share of it after which what is urgent tries again. */
export const BUSY_PAUSE_MS = 150;
export const URGENT_RETRY_SHARE = 0.2;

/** ms between two tries in an outage of the store. */
export const OUTAGE_PAUSE_MS = 300;

/**
 * Share of a second's changes that one transaction of several decisions may take. The store refuses a large one as long as
 * small ones of other nodes use up its rate, and here too it would wait for a bucket that is never full.
 */
export const BATCH_TXN_SHARE = 0.3;

/** Changes in such a transaction at least: two jobs with their teams. */
export const BATCH_TXN_LEAST = 4;

/** Conditions that the store takes for each change that a transaction may hold. */
export const CONDITIONS_PER_WRITE = 4;

/** Bytes of a transaction: the store takes 64 KiB in total; some is left for the envelope. */
export const MAX_TXN_BYTES = 60_000;

/** ms between two looks at which form of records the controllers read, until all are known to read the present one. */
export const FORMAT_LOOK_MS = 2000;

/** ms between two looks at jobs that wait for others: only what an event has missed is found so. */
export const PIPELINE_SWEEP_MS = 1000;

/** Share of a cancellation's time within which a copy must have been complete to call a job that waits for others queued. */
export const QUEUED_FRESH_SHARE = 0.5;

/** ms between two looks of waiters at their rate. */
export const BUCKET_LOOK_MS = 25;

/** Share of a burst that batch work leaves for holds, users and services. */
export const URGENT_SHARE = 0.25;

/** Share of a core at least: a start takes 0.2 s of processor time, and must be over in a worker's lease or two. */
export const LEAST_CPU_SHARE = 0.01;

/** MB at least: a process that has just begun to listen holds 48. */
export const LEAST_RAM_MB = 64;

/**
 * Of the sockets that the platform allows, the shares for users and workers, and for calls to the store, the cloud and workers;
 * the rest is for the other controllers.
 */
export const HTTP_SERVER_SOCKET_SHARE = 0.6;
export const HTTP_CLIENT_SOCKET_SHARE = 0.25;

/** Sockets at least: the shares above must leave a few for each use. */
export const LEAST_SOCKETS = 40;

/** Requests a second that each node needs of the store at least: heartbeats and watches alone take three to four. */
export const LEAST_STATE_REQUESTS_PER_NODE = 4;

/** Changes a second that the store must allow all nodes at least: below, claims alone would fill a hold's time. */
export const LEAST_STATE_WRITES = 1;

/** KB of a value at least: a submission with long names is close to one. */
export const LEAST_VALUE_KB = 1;

/** Changes in one transaction at least: a job's end takes its record, its final state and its ledger. */
export const LEAST_TRANSACTION_WRITES = 4;

/** Default values of what operators may set in TOML; the first three are DESIGN's. */
export const DEFAULT_TUNING = {
  /** Happiness below which a task is unhappy, a share. */
  threshold: 0.9,
  /** s of worker reports that count. */
  window_s: 30,
  /** s between two tests. */
  check_s: 10,
  /** Tasks moved at most by one part in one round. */
  moves_per_round: 2,
  /** Share of distance taken off for machines that hold the image, 1 = the image decides alone. */
  image_bonus: 1,
};
