/** Warm standby of controllers: who succeeds whom, what a successor follows, and when it may act. */
export * from './settings.js';
