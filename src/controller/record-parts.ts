/** Builds what a controller knows of the store: its client, the local copy, the state of the cluster, and transactions. */
import { BATCH_GATHER_SHARE } from '../constants/store.js';
import { PeerDirectory } from '../gossip/peer-directory.js';
import { RecordBroadcast } from '../gossip/record-broadcast.js';
import { ReplicaFreshness } from '../gossip/replica-freshness.js';
import { watchPauseMs } from '../gossip/watch-pause.js';
import { ClusterState, type ClusterStateListener } from '../records/cluster-state.js';
import { LIVE } from '../records/record-keys.js';
import { recordSizer } from '../records/record-sizer.js';
import { TeamAccounting } from '../records/team-accounting.js';
import { Replica } from '../store/replica.js';
import { StoreClient } from '../store/store-client.js';
import { TransactionBatcher } from '../store/transaction-batcher.js';
import { transactionLimits, type TransactionLimits } from '../store/transaction-draft.js';
import { peerNodesOf, type Environment } from './environment.js';

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
}

/** `isFormatComplete`: do all controllers read the present record format? */
export function createRecordParts(
  environment: Environment,
  listener: ClusterStateListener,
  isFormatComplete: () => boolean,
): RecordParts {
  const { settings, http, clock, log, random, incarnation, send } = environment;
  const { cluster } = settings;
  const peers = peerNodesOf(environment);
  const limits = transactionLimits(cluster.store);
  const client = new StoreClient(http, settings.storeAddress, cluster.store, cluster.size, clock, random);
  const peerDirectory: PeerDirectory = new PeerDirectory(peers, clock, () => replica.freshAt);
  const replica: Replica = new Replica(client, LIVE, clock, () => watchPauseMs(peerDirectory));
  const clusterState = new ClusterState(replica, listener);
  const gatherMs = cluster.workers.heartbeatIntervalMs * BATCH_GATHER_SHARE;
  const transactions = new TransactionBatcher(client, replica, limits, LIVE, clock, random, gatherMs);
  const replicaFreshness = new ReplicaFreshness(settings.node, peers, incarnation, replica, clock, send);
  const broadcast = new RecordBroadcast({ peers, replica, transactions, clock, log, send });
  transactions.announce = (changes) => broadcast.announce(changes);
  transactions.onRejected = (name, why) => log.error({ change: name, why }, 'the store does not take a change');
  transactions.resize = recordSizer(cluster.store.lasting.valueBytes, isFormatComplete);
  const accounting = new TeamAccounting({
    teams: cluster.teams,
    placedUsageOf: (team, upTo) => clusterState.placedUsageOf(team, upTo),
    recordOf: (key) => replica.get(key),
    canDeferExits: isFormatComplete,
  });
  return {
    client,
    replica,
    clusterState,
    transactions,
    limits,
    accounting,
    peerDirectory,
    replicaFreshness,
    broadcast,
  };
}
