import type { Gossip, MachineNews } from './messages.js';

type Told = Pick<Gossip, 'life' | 'seq' | 'whole' | 'machines' | 'same'>;

/** All that is told of a machine besides what every report changes. */
const lasting = (machine: MachineNews): string => {
  const { endpoint, flavor, site, reclaimable, tenure, sick, cooling, unreached, slow, mute, owner } = machine;
  const flags = [reclaimable, sick, cooling, unreached, slow, mute].map(Number).join('');
  return [endpoint, flavor, site, tenure, flags, owner, ...machine.images, '', ...machine.failedJobs].join(' ');
};

/**
 * What each peer has been told of this node's own machines. Said again in full every second, that grows with machines and
 * nodes; so a peer is told in full what has changed, and of the rest only when it was last heard, by its number.
 */
export class Tellings {
  private readonly numbers = new Map<string, number>();
  private next = 0;
  private readonly peers = new Map<string, { seq: number; told: Map<string, string> }>();

  constructor(
    private readonly node: string,
    /** Tells this process from its former lives. */
    private readonly life: number,
  ) {}

  /** The peer has missed something, or may have: next time it is told all. */
  renew(peer: string): void {
    this.peers.get(peer)?.told.clear();
  }

  compose(peer: string, machines: readonly MachineNews[]): Told {
    // Names never come back, so numbers of machines that are gone are given up now and then.
    if (this.numbers.size > 2 * machines.length + 100) {
      this.numbers.clear();
      for (const { told } of this.peers.values()) told.clear();
    }
    let known = this.peers.get(peer);
    if (known === undefined) this.peers.set(peer, (known = { seq: 0, told: new Map() }));
    const whole = known.told.size === 0;
    const changed: MachineNews[] = [];
    const same: Told['same'] = { numbers: [], heardAgesMs: [], ticks: [] };
    for (const machine of machines) {
      // What is passed on from others comes and goes, and a notice runs down all the time.
      if (machine.owner !== this.node || machine.warnedMs !== null) {
        known.told.delete(machine.host);
        changed.push(machine);
        continue;
      }
      let number = this.numbers.get(machine.host);
      if (number === undefined) this.numbers.set(machine.host, (number = this.next++));
      const now = lasting(machine);
      if (known.told.get(machine.host) === now) {
        same.numbers.push(number);
        same.heardAgesMs.push(Math.round(machine.heardAgeMs));
        same.ticks.push(machine.tick);
      } else {
        known.told.set(machine.host, now);
        changed.push({ ...machine, number });
      }
    }
    return { life: this.life, seq: ++known.seq, whole, machines: changed, same };
  }
}

/** What the peers have told of their machines so far. */
export class Heard {
  private readonly senders = new Map<string, { life: number; seq: number; machines: Map<number, MachineNews> }>();

  /** The machines that a message speaks of, in full; `gap`: it builds on something that never came. */
  take({ node, life, seq, whole, machines, same }: Gossip): { machines: MachineNews[]; gap: boolean } {
    let sender = this.senders.get(node);
    // A message of a former life, or one that a newer has overtaken, says nothing that is not known better.
    if (sender?.life === life && seq <= sender.seq) return { machines: [], gap: false };
    const gap = !whole && (sender?.life !== life || seq !== sender.seq + 1);
    if (sender === undefined || whole || gap) this.senders.set(node, (sender = { life, seq, machines: new Map() }));
    sender.seq = seq;
    const list = [...machines];
    for (const machine of machines) if (machine.number >= 0) sender.machines.set(machine.number, machine);
    for (const [at, number] of same.numbers.entries()) {
      const machine = sender.machines.get(number);
      if (machine === undefined) continue;
      list.push({ ...machine, heardAgeMs: same.heardAgesMs[at]!, tick: same.ticks[at]!, knownAgeMs: 0 });
    }
    return { machines: list, gap };
  }
}
