/** The operators' settings of the warm standby, the `[standby]` table of the tuning file. */
import * as v from 'valibot';

/** The settings as the program uses them. Times are in ms, sizes in bytes. */
export interface StandbySettings {
  /** Designated successors, the takeover barrier and planned handovers. */
  readonly enabled: boolean;
  /** Successors follow the advisory state of the leaders. Needs `enabled`. */
  readonly follow: boolean;
  /** Age from which a message of the stream is refused, and the stream is resynchronized. */
  readonly maxLagMs: number;
  /** Bytes a second that one controller sends to all its followers at most. */
  readonly streamBytesPerS: number;
  /** Bytes of one message of the stream at most. */
  readonly messageBytes: number;
  /** Bytes sent but not acknowledged, beyond which changes are dropped in favour of a snapshot. */
  readonly unacknowledgedBytes: number;
  /** ms that a controller that is told to stop may take to hand its roles over. */
  readonly handoverMs: number;
  /** File to which spans of takeovers are appended as JSON lines; empty: no tracing. */
  readonly traceFile: string;
}

/** The settings of an empty table: all off. */
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

/** The table under the names of the tuning file, every field optional; parsed, it is the settings. */
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

/** What the settings must be consistent with. */
export interface StandbyBounds {
  /** TTL of a store lease, ms: a role may change its leader after that. */
  storeLeaseTtlMs: number;
  /** Bytes that the link between two controllers takes in one message. */
  linkMessageBytes: number;
}

/**
 * The first field that contradicts another or the bounds, as `field: reason` with the field's name in the tuning file;
 * undefined: none does.
 */
export function findContradiction(settings: StandbySettings, bounds: StandbyBounds): string | undefined {
  if (settings.follow && !settings.enabled) return 'follow: needs enabled = true';
  // Operators know this wording, and a test pins it: a hold is a store lease.
  if (settings.maxLagMs > bounds.storeLeaseTtlMs)
    return `max_lag_ms: must not exceed the life of a hold, ${bounds.storeLeaseTtlMs}`;
  if (settings.messageBytes > bounds.linkMessageBytes)
    return `message_bytes: must not exceed what a link takes, ${bounds.linkMessageBytes}`;
  if (settings.unacknowledgedBytes < settings.messageBytes)
    return 'unacknowledged_bytes: must not be below message_bytes';
  if (settings.streamBytesPerS < settings.messageBytes) return 'stream_bytes_per_s: must not be below message_bytes';
  return undefined;
}
