/** The operators' settings of the warm standby, the `[standby]` table of the tuning file. */
import * as v from 'valibot';

/** Every field with its default. The names are those of the tuning file; times are in ms, sizes in bytes. */
export const DEFAULT_STANDBY_SETTINGS = {
  /** Designated successors, the takeover barrier and planned handovers. */
  enabled: false,
  /** Successors follow the advisory state of the active controllers. Needs `enabled`. */
  follow: false,
  /** Age from which a message of the stream is refused, and the stream is resynchronized. */
  max_lag_ms: 2000,
  /** Bytes a second that one controller sends to all its followers at most. */
  stream_bytes_per_s: 65_536,
  /** Bytes of one message of the stream at most. */
  message_bytes: 32_768,
  /** Bytes sent but not acknowledged, beyond which changes are dropped in favour of a snapshot. */
  unacknowledged_bytes: 131_072,
  /** ms that a controller that is told to stop may take to hand its roles over. */
  handover_ms: 3000,
  /** File to which spans of takeovers are appended as JSON lines; empty: no tracing. */
  trace_file: '',
};

const milliseconds = v.pipe(v.number(), v.integer(), v.minValue(1));
const bytes = v.pipe(v.number(), v.integer(), v.minValue(1024));

export const StandbySettingsSchema = v.strictObject({
  enabled: v.optional(v.boolean(), DEFAULT_STANDBY_SETTINGS.enabled),
  follow: v.optional(v.boolean(), DEFAULT_STANDBY_SETTINGS.follow),
  max_lag_ms: v.optional(milliseconds, DEFAULT_STANDBY_SETTINGS.max_lag_ms),
  stream_bytes_per_s: v.optional(bytes, DEFAULT_STANDBY_SETTINGS.stream_bytes_per_s),
  message_bytes: v.optional(bytes, DEFAULT_STANDBY_SETTINGS.message_bytes),
  unacknowledged_bytes: v.optional(bytes, DEFAULT_STANDBY_SETTINGS.unacknowledged_bytes),
  handover_ms: v.optional(milliseconds, DEFAULT_STANDBY_SETTINGS.handover_ms),
  trace_file: v.optional(v.string(), DEFAULT_STANDBY_SETTINGS.trace_file),
});

export type StandbySettings = v.InferOutput<typeof StandbySettingsSchema>;

/** What the settings must be consistent with. */
export interface StandbyBounds {
  /** TTL of a store lease, ms: a role may change its leader after that. */
  storeLeaseTtlMs: number;
  /** Bytes that the link between two controllers takes in one message. */
  linkMessageBytes: number;
}

/** The first field that contradicts another or the bounds, as `field: reason`; undefined: none does. */
export function findContradiction(settings: StandbySettings, bounds: StandbyBounds): string | undefined {
  if (settings.follow && !settings.enabled) return 'follow: needs enabled = true';
  // Operators know this wording, and a test pins it: a hold is a store lease.
  if (settings.max_lag_ms > bounds.storeLeaseTtlMs)
    return `max_lag_ms: must not exceed the life of a hold, ${bounds.storeLeaseTtlMs}`;
  if (settings.message_bytes > bounds.linkMessageBytes)
    return `message_bytes: must not exceed what a link takes, ${bounds.linkMessageBytes}`;
  if (settings.unacknowledged_bytes < settings.message_bytes)
    return 'unacknowledged_bytes: must not be below message_bytes';
  if (settings.stream_bytes_per_s < settings.message_bytes)
    return 'stream_bytes_per_s: must not be below message_bytes';
  return undefined;
}
