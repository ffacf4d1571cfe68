/**
 * All kinds of calls that a controller sends, and what protects each against a sender that has lost its role. See
 * docs/standby.md for the reasons.
 */

/** What protects a call that arrives after its sender has lost the role. */
export type StalenessGuard =
  /** The receiver rejects a stale call by a condition or token in it, or a late call has the same effect as a timely one. */
  | { readonly kind: 'rejected_by_receiver'; readonly by: string }
  /** The receiver can't detect a stale call, so the sender must verify its leadership right before sending. */
  | { readonly kind: 'checked_when_sent' };

const rejectedBy = (by: string): StalenessGuard => ({ kind: 'rejected_by_receiver', by });
const CHECKED_WHEN_SENT: StalenessGuard = { kind: 'checked_when_sent' };

const GUARDS = {
  role_transaction: rejectedBy('condition on the fencing token'),
  user_transaction: rejectedBy('conditions on the records that the transaction has read'),
  store_lease: rejectedBy('lease id, which no other process uses'),
  read: rejectedBy('read-only'),
  command: rejectedBy('fencing token and agent epoch'),
  heartbeat_answer: rejectedBy('fencing token, and the age limit of 4 s after the heartbeat'),
  forwarded_heartbeat: rejectedBy('request numbers that no other process uses'),
  peer_message: rejectedBy('revisions, sequence numbers and echoes'),
  cloud_read: rejectedBy('read-only'),
  cloud_rent: CHECKED_WHEN_SENT,
  cloud_return: CHECKED_WHEN_SENT,
} as const satisfies Record<string, StalenessGuard>;

/** A kind of call that a controller sends. */
export type OutboundCall = keyof typeof GUARDS;

/** What protects a late call of this kind. */
export const stalenessGuardOf = (call: OutboundCall): StalenessGuard => GUARDS[call];

/** Whether the call may be sent now. `isLeading`: whether the sender may currently act in its role. */
export function maySend(call: OutboundCall, isLeading: () => boolean): boolean {
  return stalenessGuardOf(call).kind === 'rejected_by_receiver' || isLeading();
}
