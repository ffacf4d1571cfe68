import { MAX_KEPT_EXITS, TOKEN_ADVANCE_PAUSE_MS } from '../constants/leadership.js';
import type { Count } from '../domain/count.js';
import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';

/** Why a new fencing token is needed on a worker's machine. */
export interface TokenDemand {
  role: string;
  held: HeldLeadership;
  machineId: string;
  /** A launch or a release waits for the token. */
  isUrgent: boolean;
  /** Number of exits that the worker keeps until then. */
  keptExitCount: number;
}

/** The leadership to advance, and what is done then. */
export interface FencingTokenAdvancerDependencies {
  leadership: RoleLeadership;
  clock: Clock;
  /** ms for which kept exits wait for others before the token is advanced for them. */
  exitBatchingMs: number;
  /** Sends a machine the commands that have waited for the token. */
  pushCommands: (machineId: string) => void;
}

/** The demand for a new token of one role. */
interface RoleDemand {
  /** The token that has to be replaced. */
  fencingToken: Count;
  /** Monotonic ms of the first demand under that token. */
  since: number;
  /** Machines for which commands wait. */
  readonly machineIds: Set<string>;
}

/**
 * Advances the fencing token of a role, so that workers refuse commands sent under the former one. Each advance costs a
 * write to the store and a heartbeat of every worker, so it is done rarely, and only with recent store contact.
 */
export class FencingTokenAdvancer {
  /** Monotonic ms when each role's token was last advanced. */
  private readonly advancedAt = new Map<string, number>();
  private readonly demands = new Map<string, RoleDemand>();

  constructor(private readonly dependencies: FencingTokenAdvancerDependencies) {}

  /** Advances the token now if the demand can't wait; otherwise a later demand does. */
  request(demand: TokenDemand): void {
    const { leadership, clock } = this.dependencies;
    const now = clock.now();
    const roleDemand = this.demandFor(demand, now);
    if (demand.isUrgent) roleDemand.machineIds.add(demand.machineId);
    const sinceAdvanceMs = now - (this.advancedAt.get(demand.role) ?? -Infinity);
    if (sinceAdvanceMs < TOKEN_ADVANCE_PAUSE_MS || !leadership.hasRecentStoreContact) return;
    if (!this.isDue(demand, roleDemand, now)) return;
    this.advancedAt.set(demand.role, now);
    void this.advance(demand.role, roleDemand);
  }

  private demandFor({ role, held: { fencingToken } }: TokenDemand, now: number): RoleDemand {
    const existing = this.demands.get(role);
    if (existing?.fencingToken === fencingToken) return existing;
    const created: RoleDemand = { fencingToken, since: now, machineIds: new Set() };
    this.demands.set(role, created);
    return created;
  }

  private isDue({ isUrgent, keptExitCount }: TokenDemand, { since }: RoleDemand, now: number): boolean {
    return isUrgent || keptExitCount >= MAX_KEPT_EXITS || now - since >= this.dependencies.exitBatchingMs;
  }

  private async advance(role: string, { machineIds }: RoleDemand): Promise<void> {
    const { leadership, pushCommands } = this.dependencies;
    await leadership.advanceFencingToken(role);
    for (const machineId of machineIds) pushCommands(machineId);
  }
}
