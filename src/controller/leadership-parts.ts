/** Builds the parts that decide which roles this controller leads, upgrade the record format and report the node's health. */
import { RoleLeadership } from '../leadership/role-leadership.js';
import { FormatUpgrade } from '../records/format-upgrade.js';
import { type Environment, peerNodesOf } from './environment.js';
import { NodeHealth } from './node-health.js';
import type { RecordParts } from './record-parts.js';

/** The parts that decide which roles this node leads, and that depend on it for the whole process. */
export interface LeadershipParts {
  readonly leadership: RoleLeadership;
  readonly formatUpgrade: FormatUpgrade;
  readonly health: NodeHealth;
}

/** Builds the leadership on top of the records. */
export function createLeadershipParts(environment: Environment, records: RecordParts): LeadershipParts {
  const { settings, log } = environment;
  const { client, replica, peerDirectory } = records;
  const leadership = new RoleLeadership({ ...environment, ...records });
  const formatUpgrade = new FormatUpgrade({
    node: settings.node,
    nodes: [settings.node, ...peerNodesOf(environment)],
    clusterSize: settings.cluster.size,
    leadership,
    replica,
    transactions: records.transactions,
    log,
  });
  const health = new NodeHealth(replica, leadership, client, peerDirectory);
  return { leadership, formatUpgrade, health };
}
