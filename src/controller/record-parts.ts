/** Builds the store client and the parts on top of it: the replica, the cluster state and transactions. */
import { EXIT_BATCHING_SHARE } from '../constants/store.js';
import { PeerDirectory } from '../gossip/peer-directory.js';
import { RecordBroadcast } from '../gossip/record-broadcast.js';
import { ReplicaFreshness } from '../gossip/replica-freshness.js';
import { watchPauseMs } from '../gossip/watch-pause.js';
import type { Log } from '../logging/log.js';
import { ClusterState, type ClusterStateListener } from '../records/cluster-state.js';
import { LIVE_PREFIX } from '../records/record-keys.js';
import { createRecordSizer } from '../records/record-sizer.js';
import { TeamAccounting } from '../records/team-accounting.js';
import { RenewedRevisions } from '../store/renewed-revisions.js';
import { Replica } from '../store/replica.js';
import { StoreClient } from '../store/store-client.js';
import { TransactionBatcher } from '../store/transaction-batcher.js';
import { type TransactionLimits, transactionLimits } from '../store/transaction-draft.js';
import { type Environment, peerNodesOf } from './environment.js';

/** The store client and what this node derives from the store's records. */
export interface RecordParts {
  readonly client: StoreClient;
  readonly replica: Replica;
  readonly clusterState: ClusterState;
  readonly transactions: TransactionBatcher;
  readonly limits: TransactionLimits;
  readonly accounting: TeamAccounting;
  readonly peerDirectory: PeerDirectory;
  readonly replicaFreshness: ReplicaFreshness;
  readonly broadcast: RecordBroadcast;
  readonly renewedRevisions: RenewedRevisions;
}

function logLoads(replica: Replica, log: Log): void {
  replica.onLoaded = ({ revision, rowCount, tookMs }) =>
    log.info({ revision, rowCount, tookMs: Math.round(tookMs) }, 'records loaded');
}

/** `isFormatComplete`: whether all controllers can read the current record format. */
export function createRecordParts(
  environment: Environment,
  listener: ClusterStateListener,
  isFormatComplete: () => boolean,
): RecordParts {
  const { settings, http, clock, log, random, incarnation, send } = environment;
  const { cluster } = settings;
  const peers = peerNodesOf(environment);
  const limits = transactionLimits(cluster.store);
  const renewedRevisions = new RenewedRevisions();
  const client = new StoreClient({
    address: settings.storeAddress,
    settings: cluster.store,
    nodeCount: cluster.size,
    ...{ renewedRevisions, http, clock, random },
  });
  const peerDirectory: PeerDirectory = new PeerDirectory(peers, clock, () => replica.freshAt);
  const replica: Replica = new Replica(client, LIVE_PREFIX, clock, () => watchPauseMs(peerDirectory));
  logLoads(replica, log);
  const clusterState = new ClusterState(replica, listener);
  const transactions = new TransactionBatcher({
    ...{ client, replica, limits, clock, random },
    prefix: LIVE_PREFIX,
    batchingMs: cluster.workers.heartbeatIntervalMs * EXIT_BATCHING_SHARE,
    onCommitted: (changes) => broadcast.announce(changes),
    onRejected: (mutation, reason) => log.error({ mutation, reason }, 'transaction rejected'),
    resize: createRecordSizer(cluster.store.strictest.valueBytes, isFormatComplete),
  });
  const replicaFreshness = new ReplicaFreshness({
    node: settings.node,
    ...{ peers, incarnation, replica, clock, send },
  });
  const broadcast = new RecordBroadcast({ peers, replica, transactions, clock, log, send });
  const accounting = new TeamAccounting({
    teams: cluster.teams,
    placedUsageOf: (team, upTo) => clusterState.placedUsageOf(team, upTo),
    recordOf: (key) => replica.get(key),
    canDeferExits: isFormatComplete,
  });
  return {
    ...{ client, replica, renewedRevisions, clusterState, transactions, limits, accounting },
    ...{ peerDirectory, replicaFreshness, broadcast },
  };
}
