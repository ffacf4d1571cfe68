import type { Place } from '../ledger/book.js';
import { RANKS, type JobSpec } from '../ledger/records.js';
import { allowedOn, fits, takeRoom, type Machine, type Room } from '../ledger/rules.js';

export interface Victim {
  place: Place;
  spec: JobSpec;
}

/** A machine as a field of tasks that could be stopped: its free room, and its tasks, the cheapest to stop first. */
export interface Field<M extends Machine & { images: readonly string[] }> {
  machine: M;
  room: Room;
  tasks: Victim[];
}

export interface Option<F> {
  field: F;
  victims: Victim[];
  cost: number;
}

export const rankOf = (spec: JobSpec): number => RANKS.indexOf(spec.Rank);

/** Lowest rank first, then the shortest by its owner's estimate. */
export const cheapestFirst = (a: Victim, b: Victim): number =>
  rankOf(b.spec) - rankOf(a.spec) || a.spec.GuessS - b.spec.GuessS;

/** What it costs to make room for one task on a machine, or undefined where that can't be done. */
export function optionOn<F extends Field<Machine & { images: readonly string[] }>>(
  spec: JobSpec,
  field: F,
  mayStop: (victim: JobSpec) => boolean,
  coldCost: number,
): Option<F> | undefined {
  if (!allowedOn(spec, field.machine)) return undefined;
  const room = { ...field.room };
  const victims: Victim[] = [];
  let cost = field.machine.images.includes(spec.Bundle) ? 0 : coldCost;
  for (const victim of field.tasks) {
    if (fits(spec, room)) break;
    if (!mayStop(victim.spec)) continue;
    victims.push(victim);
    takeRoom(room, victim.spec, -1);
    cost += (RANKS.length - rankOf(victim.spec)) * (victim.spec.SnapshotEveryS > 0 ? 1 : 2);
  }
  return fits(spec, room) ? { field, victims, cost } : undefined;
}

/** Specs with the same signature ask the same of a machine, its images apart. */
export const signatureOf = (spec: JobSpec): string =>
  [
    spec.Rank,
    spec.Cpus,
    spec.Cards,
    spec.MemGb,
    spec.Flavors?.join(',') ?? '*',
    spec.Site ?? '*',
    spec.Reclaimable,
  ].join(' ');
