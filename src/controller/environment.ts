/** The environment that all parts of a controller share: its settings, and interfaces to the outside world. */
import type { Tuning } from '../config/tuning.js';
import type { Settings } from '../domain/settings.js';
import type { Message } from '../gossip/messages.js';
import type { Invariants } from '../logging/invariants.js';
import type { Log } from '../logging/log.js';
import type { RefusalLog } from '../logging/refusal-log.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { Random } from '../net/random.js';

/** Settings, external interfaces and process-wide values of one controller. */
export interface Environment {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly http: HttpClient;
  readonly clock: Clock;
  readonly log: Log;
  /** Records the requests that this node can't answer, with the reasons. */
  readonly refusals: RefusalLog;
  readonly invariants: Invariants;
  readonly random: Random;
  /** Distinguishes this process from earlier processes of the same node. */
  readonly incarnation: number;
  /** Sends a message to another controller; returns false if there is no connection to it at present. */
  readonly send: (node: string, message: Message) => boolean;
}

/** The names of the other controllers. */
export const peerNodesOf = ({ settings }: Environment): string[] => settings.peers.map(({ node }) => node);
