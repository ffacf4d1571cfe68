/** Every kind of message that a controller sends, and what makes it safe when its sender has lost its role in the meantime. */

export type OutboundCall =
  | 'role_transaction'
  | 'user_transaction'
  | 'store_lease'
  | 'read'
  | 'command'
  | 'heartbeat_answer'
  | 'forwarded_heartbeat'
  | 'peer_message'
  | 'cloud_read'
  | 'cloud_rent'
  | 'cloud_return';

export type StalenessGuard =
  /** The receiver refuses it by a condition or token that it carries, or it means the same late. */
  | { readonly kind: 'rejected_by_receiver'; readonly by: string }
  /** The receiver can't tell: the sender must be sure at the moment of sending. */
  | { readonly kind: 'checked_when_sent' };

const rejectedBy = (by: string): StalenessGuard => ({ kind: 'rejected_by_receiver', by });
const CHECKED_WHEN_SENT: StalenessGuard = { kind: 'checked_when_sent' };

/** The guard of each call; docs/standby.md gives the reasons. */
export function stalenessGuardOf(call: OutboundCall): StalenessGuard {
  switch (call) {
    case 'role_transaction':
      return rejectedBy("condition on the claim's Stamp");
    case 'user_transaction':
      return rejectedBy('conditions on the records that it read');
    case 'store_lease':
      return rejectedBy("the process's own hold, nobody else's");
    case 'read':
    case 'cloud_read':
      return rejectedBy('nothing is changed');
    case 'command':
      return rejectedBy('fencing token and session');
    case 'heartbeat_answer':
      return rejectedBy('fencing token, and 4 s after the report');
    case 'forwarded_heartbeat':
      return rejectedBy('numbers that no other process uses');
    case 'peer_message':
      return rejectedBy('Stamps, sequence numbers and echoes');
    case 'cloud_rent':
    case 'cloud_return':
      return CHECKED_WHEN_SENT;
  }
}

/** May it go out at this moment? `isEntitled`: the barrier of its role is open now. */
export function maySend(call: OutboundCall, isEntitled: () => boolean): boolean {
  return stalenessGuardOf(call).kind === 'rejected_by_receiver' || isEntitled();
}
