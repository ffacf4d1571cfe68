import { COLD_COST, PREEMPT_PERIOD_MS, WORK_SHARE } from '../constants.js';
import type { Settings, Team } from '../config/settings.js';
import type { Book } from '../ledger/book.js';
import type { JobSpec, TeamRecord } from '../ledger/records.js';
import { takeRoom, zoneAllows } from '../ledger/rules.js';
import type { Clock } from '../net/clock.js';
import { guaranteeOf, isBorrowed, isOwed } from '../placement/queue.js';
import {
  cheapestFirst,
  optionOn,
  rankOf,
  signatureOf,
  type Field,
  type Option,
  type Victim,
} from '../placement/victims.js';
import type { Fleet, MachineInfo } from './fleet.js';
import type { Waiting } from './placer.js';
import type { Planner } from './planner.js';
import type { Stopper } from './stopper.js';

type MachineField = Field<MachineInfo>;

/** Makes room for waiting work of a higher rank, or of a team that is owed it, by stopping what costs least. */
export class Preempter {
  private readonly teams: Map<string, Team>;
  private pausedUntil = -Infinity;

  constructor(
    settings: Settings,
    private readonly book: Book,
    private readonly fleet: Fleet,
    private readonly planner: Planner,
    private readonly stopper: Stopper,
    private readonly clock: Clock,
  ) {
    this.teams = new Map(settings.cluster.teams.map((team) => [team.name, team]));
  }

  round(): void {
    const began = this.clock.now();
    if (began < this.pausedUntil || this.planner.unplaced.length === 0) return;
    const stopped = this.makeRoom();
    const now = this.clock.now();
    // The exits of the last round must have been seen; and a full cluster must not take the processor for looking alone.
    this.pausedUntil = now + Math.max(stopped ? PREEMPT_PERIOD_MS : 0, (now - began) * (1 / WORK_SHARE - 1));
  }

  private makeRoom(): boolean {
    const uses = this.planner.uses();
    const demands = this.demands();
    const groups = new Map<string, Waiting[]>();
    const lowest = this.lowestRank();
    for (const each of this.planner.unplaced) {
      const { spec } = each.view.record;
      // Most of a full cluster waits behind its like: whom nobody could make room for is told apart before any machine
      // is looked at.
      const byRank = spec.Rank !== 'low' && rankOf(spec) < lowest;
      if (each.slot.fails >= 2 || (!byRank && !this.mayReclaimAny(spec, demands, uses))) continue;
      const group = groups.get(spec.Ref);
      if (group === undefined) groups.set(spec.Ref, [each]);
      else group.push(each);
    }
    if (groups.size === 0) return false;
    const fields = this.fields();
    const hopeless = new Set<string>();
    let any = false;
    for (const waiting of groups.values()) if (this.makeRoomFor(waiting, fields, uses, demands, hopeless)) any = true;
    return any;
  }

  private makeRoomFor(
    waiting: readonly Waiting[],
    fields: readonly MachineField[],
    uses: Map<string, TeamRecord>,
    demands: ReadonlyMap<string, TeamRecord>,
    hopeless: Set<string>,
  ): boolean {
    const { view } = waiting[0]!;
    const { spec } = view.record;
    const owed = this.isOwed(spec, demands);
    const mayStop = (victim: JobSpec) => rankOf(victim) > rankOf(spec) || (owed && this.mayReclaim(spec, victim, uses));
    const signature = `${signatureOf(spec)} ${owed ? spec.Owner : ''}`;
    if (hopeless.has(signature)) return false;
    const { zones } = view;
    const options = new Map<MachineField, Option<MachineField>>();
    const look = (field: MachineField) => {
      const option = optionOn(spec, field, mayStop, COLD_COST);
      if (option === undefined) options.delete(field);
      else options.set(field, option);
    };
    for (const field of fields) look(field);
    if (options.size === 0) hopeless.add(signature);
    let any = false;
    for (let count = 0; count < waiting.length; count++) {
      let best: Option<MachineField> | undefined;
      for (const option of options.values()) {
        if (best !== undefined && option.cost >= best.cost) continue;
        if (zoneAllows(spec, zones, option.field.machine.site)) best = option;
      }
      if (best === undefined) break;
      const { field, victims } = best;
      for (const { place, spec: victim } of victims) {
        takeRoom(field.room, victim, -1);
        const use = uses.get(victim.Owner);
        if (use !== undefined) {
          use.cpus -= victim.Cpus;
          use.cards -= victim.Cards;
        }
        this.stopper.stop(place, victim, spec.Rank === 'prod' ? 0 : victim.SnapshotS, `room for ${view.ref}`);
        any = true;
      }
      const gone = new Set(victims);
      field.tasks = field.tasks.filter((task) => !gone.has(task));
      takeRoom(field.room, spec);
      zones.set(field.machine.site, (zones.get(field.machine.site) ?? 0) + 1);
      look(field);
    }
    return any;
  }

  /** Every open machine with its free room; room that stopping tasks will leave counts as free, since it is on its way. */
  private fields(): MachineField[] {
    const machines = this.fleet.open();
    const rooms = this.planner.rooms(machines);
    return machines.map((machine) => {
      const room = rooms.get(machine.host)!;
      const tasks: Victim[] = [];
      for (const place of this.book.placesOn(machine.host)) {
        const spec = this.book.jobs.get(place.ref)?.record.spec;
        if (spec === undefined) continue;
        if (this.stopper.isStopping(place)) takeRoom(room, spec, -1);
        else tasks.push({ place, spec });
      }
      return { machine, room, tasks: tasks.sort(cheapestFirst) };
    });
  }

  private lowestRank(): number {
    let lowest = -1;
    for (const view of this.book.jobs.values()) {
      if (view.placed > 0) lowest = Math.max(lowest, rankOf(view.record.spec));
    }
    return lowest;
  }

  /** What all unfinished jobs of each team ask for together. */
  private demands(): Map<string, TeamRecord> {
    const demands = new Map<string, TeamRecord>();
    for (const view of this.book.jobs.values()) {
      const { spec, phase } = view.record;
      const open = phase === 'active' ? spec.Shards - view.done : view.placed;
      const sum = demands.get(spec.Owner) ?? { cpus: 0, cards: 0 };
      demands.set(spec.Owner, { cpus: sum.cpus + open * spec.Cpus, cards: sum.cards + open * spec.Cards });
    }
    return demands;
  }

  /** Is the job's team owed room for it? */
  private isOwed(spec: JobSpec, demands: ReadonlyMap<string, TeamRecord>): boolean {
    const team = this.teams.get(spec.Owner);
    const demand = demands.get(spec.Owner);
    return team !== undefined && demand !== undefined && isOwed(team, demand, spec);
  }

  /** Does any other team run so much beyond its guarantee that the job's could have something back? */
  private mayReclaimAny(
    spec: JobSpec,
    demands: ReadonlyMap<string, TeamRecord>,
    uses: ReadonlyMap<string, TeamRecord>,
  ): boolean {
    const owner = this.teams.get(spec.Owner);
    const kind = owner === undefined ? undefined : guaranteeOf(owner, spec);
    if (kind === undefined || !this.isOwed(spec, demands)) return false;
    for (const [name, use] of uses) {
      const team = this.teams.get(name);
      if (name !== spec.Owner && team !== undefined && use[kind] > (kind === 'cpus' ? team.cpus : team.gpus))
        return true;
    }
    return false;
  }

  /** For a team's guarantee, work of any rank may be stopped that another team runs beyond its own. */
  private mayReclaim(spec: JobSpec, victim: JobSpec, uses: ReadonlyMap<string, TeamRecord>): boolean {
    const owner = this.teams.get(spec.Owner);
    const team = this.teams.get(victim.Owner);
    const use = uses.get(victim.Owner);
    const kind = owner === undefined ? undefined : guaranteeOf(owner, spec);
    if (kind === undefined || team === undefined || use === undefined || victim.Owner === spec.Owner) return false;
    return isBorrowed(team, use, victim, kind);
  }
}
