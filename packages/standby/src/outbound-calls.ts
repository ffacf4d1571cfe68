/**
 * Every kind of message that a controller sends, and what makes it safe when its sender has lost its role in the meantime.
 * docs/standby.md gives the reasons.
 */

/** What makes a call safe that arrives after its sender has lost the role. */
export type StalenessGuard =
  /** The receiver rejects it by a condition or token that it carries, or it means the same late. */
  | { readonly kind: 'rejected_by_receiver'; readonly by: string }
  /** The receiver can't tell: the sender must be sure at the moment of sending. */
  | { readonly kind: 'checked_when_sent' };

const rejectedBy = (by: string): StalenessGuard => ({ kind: 'rejected_by_receiver', by });
const CHECKED_WHEN_SENT: StalenessGuard = { kind: 'checked_when_sent' };

const GUARDS = {
  role_transaction: rejectedBy('condition on the fencing token'),
  user_transaction: rejectedBy('conditions on the records that it read'),
  store_lease: rejectedBy("the process's own lease, nobody else's"),
  read: rejectedBy('nothing is changed'),
  command: rejectedBy('fencing token and agent epoch'),
  heartbeat_answer: rejectedBy('fencing token, and 4 s after the heartbeat'),
  forwarded_heartbeat: rejectedBy('numbers that no other process uses'),
  peer_message: rejectedBy('revisions, sequence numbers and echoes'),
  cloud_read: rejectedBy('nothing is changed'),
  cloud_rent: CHECKED_WHEN_SENT,
  cloud_return: CHECKED_WHEN_SENT,
} as const satisfies Record<string, StalenessGuard>;

/** A kind of message that a controller sends. */
export type OutboundCall = keyof typeof GUARDS;

/** What makes a call of the kind safe when it is late. */
export const stalenessGuardOf = (call: OutboundCall): StalenessGuard => GUARDS[call];

/** Whether the call may be sent at this moment. `isLeading`: whether the sender may act in its role now. */
export function maySend(call: OutboundCall, isLeading: () => boolean): boolean {
  return stalenessGuardOf(call).kind === 'rejected_by_receiver' || isLeading();
}
