/** Operator settings of the warm standby: the `[standby]` table of the tuning file. */
import * as v from 'valibot';

/** The parsed settings. Times are in ms, sizes in bytes. */
export interface StandbySettings {
  /** Enables designated successors, the takeover barrier and planned handovers. */
  readonly enabled: boolean;
  /** Makes successors follow the advisory state of the leaders. Requires `enabled`. */
  readonly follow: boolean;
  /** Age above which a stream message is rejected and the stream is resynchronized. */
  readonly maxLagMs: number;
  /** Maximum bytes per second that a controller sends to all its followers together. */
  readonly streamBytesPerS: number;
  /** Maximum size of a stream message. */
  readonly messageBytes: number;
  /** Unacknowledged bytes of a follower from which its pending changes are dropped in favour of a snapshot. */
  readonly unacknowledgedBytes: number;
  /** Time limit for a controller that is shutting down to hand over its roles. */
  readonly handoverMs: number;
  /** File to which takeover spans are appended as JSON lines; empty: no tracing. */
  readonly traceFile: string;
}

/** The settings of an empty table: everything disabled. */
export const DEFAULT_STANDBY_SETTINGS: StandbySettings = {
  enabled: false,
  follow: false,
  maxLagMs: 2000,
  streamBytesPerS: 65_536,
  messageBytes: 32_768,
  unacknowledgedBytes: 131_072,
  handoverMs: 3000,
  traceFile: '',
};

const milliseconds = v.pipe(v.number(), v.integer(), v.minValue(1));
const bytes = v.pipe(v.number(), v.integer(), v.minValue(1024));

/** Schema of the table with the field names of the tuning file, all optional; its output is `StandbySettings`. */
export const StandbySettingsSchema = v.pipe(
  v.strictObject({
    enabled: v.optional(v.boolean(), DEFAULT_STANDBY_SETTINGS.enabled),
    follow: v.optional(v.boolean(), DEFAULT_STANDBY_SETTINGS.follow),
    max_lag_ms: v.optional(milliseconds, DEFAULT_STANDBY_SETTINGS.maxLagMs),
    stream_bytes_per_s: v.optional(bytes, DEFAULT_STANDBY_SETTINGS.streamBytesPerS),
    message_bytes: v.optional(bytes, DEFAULT_STANDBY_SETTINGS.messageBytes),
    unacknowledged_bytes: v.optional(bytes, DEFAULT_STANDBY_SETTINGS.unacknowledgedBytes),
    handover_ms: v.optional(milliseconds, DEFAULT_STANDBY_SETTINGS.handoverMs),
    trace_file: v.optional(v.string(), DEFAULT_STANDBY_SETTINGS.traceFile),
  }),
  v.transform((table): StandbySettings => ({
    enabled: table.enabled,
    follow: table.follow,
    maxLagMs: table.max_lag_ms,
    streamBytesPerS: table.stream_bytes_per_s,
    messageBytes: table.message_bytes,
    unacknowledgedBytes: table.unacknowledged_bytes,
    handoverMs: table.handover_ms,
    traceFile: table.trace_file,
  })),
);

/** Limits set by other components, with which the settings must be consistent. */
export interface StandbyBounds {
  /** TTL of a store lease, ms: afterwards a role may have another leader. */
  storeLeaseTtlMs: number;
  /** Maximum message size, in bytes, of the link between two controllers. */
  linkMessageBytes: number;
}

/**
 * Finds the first field that contradicts another one or the bounds; returns `field: reason` with the field's name in the tuning
 * file, or undefined if there is none.
 */
export function findContradiction(settings: StandbySettings, bounds: StandbyBounds): string | undefined {
  if (settings.follow && !settings.enabled) return 'follow: needs enabled = true';
  // A hold is a store lease; the wording is kept because operators know it and a test matches it.
  if (settings.maxLagMs > bounds.storeLeaseTtlMs)
    return `max_lag_ms: must not exceed the life of a hold, ${bounds.storeLeaseTtlMs}`;
  if (settings.messageBytes > bounds.linkMessageBytes)
    return `message_bytes: must not exceed what a link takes, ${bounds.linkMessageBytes}`;
  if (settings.unacknowledgedBytes < settings.messageBytes)
    return 'unacknowledged_bytes: must not be below message_bytes';
  if (settings.streamBytesPerS < settings.messageBytes) return 'stream_bytes_per_s: must not be below message_bytes';
  return undefined;
}
