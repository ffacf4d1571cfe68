import { TOKEN_ADVANCE_PAUSE_MS } from '../constants/leadership.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';

/**
 * Advances the fencing token of a role, so that commands under the former one are refused. Advancing costs a change and a
 * heartbeat of every worker, so it is done rarely, and only in touch with the store.
 */
export class FencingTokenAdvancer {
  /** Steady ms, by role. */
  private readonly advancedAt = new Map<string, number>();

  constructor(private readonly dependencies: { leadership: RoleLeadership; clock: Clock }) {}

  /** Starts to advance the token, unless that was done a moment ago; the outcome shows in the leadership record. */
  advance(role: string): void {
    const { leadership, clock } = this.dependencies;
    const now = clock.now();
    const sinceMs = now - (this.advancedAt.get(role) ?? -Infinity);
    if (sinceMs < TOKEN_ADVANCE_PAUSE_MS || !leadership.hasRecentStoreContact) return;
    this.advancedAt.set(role, now);
    void leadership.advanceFencingToken(role);
  }
}
