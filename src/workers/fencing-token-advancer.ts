import { TOKEN_ADVANCE_PAUSE_MS } from '../constants/leadership.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';

/**
 * Advances the fencing token of a role, so that workers refuse commands sent under the former one. Each advance costs a
 * write to the store and a heartbeat of every worker, so it is done rarely, and only with recent store contact.
 */
export class FencingTokenAdvancer {
  /** When each role's token was last advanced, in monotonic ms. */
  private readonly advancedAt = new Map<string, number>();

  constructor(private readonly dependencies: { leadership: RoleLeadership; clock: Clock }) {}

  /** Starts to advance the token, unless that was done recently; the outcome shows in the leadership record. */
  advance(role: string): void {
    const { leadership, clock } = this.dependencies;
    const now = clock.now();
    const sinceMs = now - (this.advancedAt.get(role) ?? -Infinity);
    if (sinceMs < TOKEN_ADVANCE_PAUSE_MS || !leadership.hasRecentStoreContact) return;
    this.advancedAt.set(role, now);
    void leadership.advanceFencingToken(role);
  }
}
