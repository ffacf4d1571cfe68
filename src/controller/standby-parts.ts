/** Builds the warm standby, if the tuning enables it, and the planned handover of roles. */
import { Handover } from '../leadership/handover.js';
import { loadTracer } from '../leadership/load-tracer.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import { Standby, type StandbyDependencies } from '../leadership/standby.js';
import type { Environment } from './environment.js';
import type { GossipParts } from './gossip-parts.js';
import type { WorkerParts } from './worker-parts.js';

type StandbyPartsDependencies = Pick<
  StandbyDependencies,
  'leadership' | 'peerDirectory' | 'clusterState' | 'replica' | 'transactions' | 'happiness' | 'leader'
> & { leadership: RoleLeadership };

/** Returns undefined if the warm standby is switched off. */
export function createStandby(environment: Environment, parts: StandbyPartsDependencies): Standby | undefined {
  const { settings, tuning, clock, log } = environment;
  if (!tuning.standby.enabled) return undefined;
  const tracer = loadTracer(tuning.standby.traceFile, settings.node, clock, log);
  const standby = new Standby({ ...environment, ...parts, standby: tuning.standby, tracer });
  parts.leadership.succession = standby;
  return standby;
}

export const createHandover = (
  { tuning, clock, log }: Environment,
  leadership: RoleLeadership,
  { workerManager }: WorkerParts,
  { sender }: GossipParts,
): Handover =>
  new Handover({ limitMs: tuning.standby.handoverMs, leadership, workerManager, gossip: sender, clock, log });
