/** What all parts of a controller are built from: its settings, and the outside world behind interfaces. */
import type { Tuning } from '../config/tuning.js';
import type { Settings } from '../domain/settings.js';
import type { Message } from '../gossip/messages.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { Random } from '../net/random.js';

/** What all parts of a controller share. */
export interface Environment {
  readonly settings: Settings;
  readonly tuning: Tuning;
  readonly http: HttpClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  /** Tells this process from the earlier ones of the same node. */
  readonly incarnation: number;
  /** Sends a message to another controller; false: there is no way to it at present. */
  readonly send: (node: string, message: Message) => boolean;
}

/** The other controllers, by name. */
export const peerNodesOf = ({ settings }: Environment): string[] => settings.peers.map(({ node }) => node);
