/** Warm standby of controllers: who succeeds whom, what a successor follows, and when it may act. See docs/standby.md. */
export { AdvisoryLog } from './advisory-log.js';
export { FollowThrottle, type FollowStage } from './follow-throttle.js';
export { maySend, stalenessGuardOf, type OutboundCall } from './outbound-calls.js';
export { PauseGuard } from './pause-guard.js';
export {
  DEFAULT_STANDBY_SETTINGS,
  StandbySettingsSchema,
  findContradiction,
  type StandbyBounds,
  type StandbySettings,
} from './settings.js';
export { StreamFollower, type BatchOutcome } from './stream-follower.js';
export {
  ADVISORY_KINDS,
  batchBytes,
  type AdvisoryEntry,
  type AdvisoryKind,
  type FollowRequest,
  type SentEntry,
  type StreamBatch,
  type StreamMessage,
} from './stream-messages.js';
export { StreamSender, type StreamLimits, type StreamStatus } from './stream-sender.js';
export { designateSuccessor, type Candidate } from './succession.js';
export { TakeoverBarrier, type BarrierOutcome, type BarrierReason } from './takeover-barrier.js';
export { TakeoverTimeline, stepDurations, type TakeoverReport } from './takeover-timeline.js';
export { NO_TRACER, type TakeoverTracer, type TracingModule } from './takeover-tracer.js';
