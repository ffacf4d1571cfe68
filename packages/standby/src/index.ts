/** Warm standby of controllers: successor designation, the advisory stream and the takeover barrier. See docs/standby.md. */
export { AdvisoryLog } from './advisory-log.js';
export { type FollowStage, FollowThrottle } from './follow-throttle.js';
export { maySend, type OutboundCall, stalenessGuardOf } from './outbound-calls.js';
export { PauseGuard } from './pause-guard.js';
export {
  DEFAULT_STANDBY_SETTINGS,
  findContradiction,
  type StandbyBounds,
  type StandbySettings,
  StandbySettingsSchema,
} from './settings.js';
export { type BatchOutcome, StreamFollower } from './stream-follower.js';
export {
  ADVISORY_KINDS,
  type AdvisoryEntry,
  type AdvisoryKind,
  batchBytes,
  type FollowRequest,
  type SentEntry,
  type StreamBatch,
  type StreamMessage,
} from './stream-messages.js';
export { type StreamLimits, StreamSender, type StreamStatus } from './stream-sender.js';
export { type Candidate, designateSuccessor } from './succession.js';
export { type BarrierOutcome, type BarrierReason, TakeoverBarrier } from './takeover-barrier.js';
export { stepDurations, type TakeoverReport, TakeoverTimeline } from './takeover-timeline.js';
export { NO_TRACER, type TakeoverTracer, type TracingModule } from './takeover-tracer.js';
