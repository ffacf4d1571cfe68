/** Warm standby of controllers: who succeeds whom, what a successor follows, and when it may act. See docs/standby.md. */
export * from './advisory-log.js';
export * from './follow-throttle.js';
export * from './outbound-calls.js';
export * from './pause-guard.js';
export * from './settings.js';
export * from './stream-follower.js';
export * from './stream-messages.js';
export * from './stream-sender.js';
export * from './succession.js';
export * from './takeover-barrier.js';
export * from './takeover-timeline.js';
export * from './takeover-tracer.js';
