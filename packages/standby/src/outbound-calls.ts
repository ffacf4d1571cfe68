/** Every kind of message that a controller sends, and what makes it safe when its sender has lost its role in the meantime. */

export type OutwardCall =
  | 'role_transaction'
  | 'user_transaction'
  | 'hold'
  | 'read'
  | 'command'
  | 'report_answer'
  | 'relay'
  | 'peer_message'
  | 'cloud_read'
  | 'cloud_rent'
  | 'cloud_return';

export type Guard =
  /** The receiver refuses it by a condition or token that it carries, or it means the same late. */
  | { readonly kind: 'refused_when_late'; readonly by: string }
  /** The receiver can't tell: the sender must be sure at the moment of sending. */
  | { readonly kind: 'checked_when_sent' };

const refusedBy = (by: string): Guard => ({ kind: 'refused_when_late', by });
const CHECKED_WHEN_SENT: Guard = { kind: 'checked_when_sent' };

/** The guard of each call; docs/standby.md gives the reasons. */
export function guardOf(call: OutwardCall): Guard {
  switch (call) {
    case 'role_transaction':
      return refusedBy("condition on the claim's Stamp");
    case 'user_transaction':
      return refusedBy('conditions on the records that it read');
    case 'hold':
      return refusedBy("the process's own hold, nobody else's");
    case 'read':
    case 'cloud_read':
      return refusedBy('nothing is changed');
    case 'command':
      return refusedBy('fencing token and session');
    case 'report_answer':
      return refusedBy('fencing token, and 4 s after the report');
    case 'relay':
      return refusedBy('numbers that no other process uses');
    case 'peer_message':
      return refusedBy('Stamps, sequence numbers and echoes');
    case 'cloud_rent':
    case 'cloud_return':
      return CHECKED_WHEN_SENT;
  }
}

/** May it go out at this moment? `isEntitled`: the barrier of its role is open now. */
export function maySend(call: OutwardCall, isEntitled: () => boolean): boolean {
  return guardOf(call).kind === 'refused_when_late' || isEntitled();
}
