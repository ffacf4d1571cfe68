import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  match,
  preferences,
  ranksBefore,
  type MatchingMachine,
  type MatchRules,
  type MatchingTask,
} from '../../../src/scheduling/decisions/matching.js';

const open: MatchRules = { isAllowed: () => true, zoneAllows: () => true, machineAllows: () => true, tier: () => 0 };

const room = (cpus: number, memoryGb: number) => ({ cpus, memoryGb, gpus: 0 });
const seeker = (id: string, cpus: number, memoryGb = 1): MatchingTask => ({
  id,
  group: id,
  usage: room(cpus, memoryGb),
  requested: room(cpus, memoryGb),
});
const host = (id: string, cpus: number, memoryGb = 64, zone = 'a'): MatchingMachine => ({
  id,
  zone,
  free: room(cpus, memoryGb),
});

describe('matching', () => {
  it('sends a task to the machine whose free room is nearest to its use', () => {
    const found = match([seeker('t', 2, 4)], [host('large', 32, 64), host('small', 4, 8), host('tiny', 1, 2)], open);
    assert.equal(found.get('t')?.id, 'small');
  });

  it('lets a task of higher CPU use displace the lowest one, which goes to its next choice', () => {
    const found = match([seeker('low', 2), seeker('high', 4)], [host('near', 4, 1), host('far', 8, 60)], open);
    assert.equal(found.get('high')?.id, 'near');
    assert.equal(found.get('low')?.id, 'far');
  });

  it('leaves a task unmatched when all its machines are full of higher-ranked ones', () => {
    const found = match([seeker('a', 3), seeker('b', 4)], [host('only', 4)], open);
    assert.deepEqual([...found.keys()], ['b']);
  });

  it('counts tasks of a group by zone while matching', () => {
    const tasks = ['x', 'y', 'z'].map((id) => ({ ...seeker(id, 1), group: 'g' }));
    const rules = {
      ...open,
      zoneAllows: (_: string, zone: string, taken: ReadonlyMap<string, number>) => (taken.get(zone) ?? 0) < 2,
    };
    const found = match(tasks, [host('a1', 8, 64, 'a'), host('b1', 8, 64, 'b')], rules);
    const zones = [...found.values()].map((each) => each.zone).sort();
    assert.deepEqual(zones, ['a', 'a', 'b']);
  });

  it('has no blocking pair: no task and machine would both rather have each other', () => {
    const tasks = fc.array(fc.tuple(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 16 })), {
      maxLength: 25,
    });
    const hosts = fc.array(fc.tuple(fc.integer({ min: 1, max: 16 }), fc.integer({ min: 1, max: 32 })), {
      maxLength: 8,
    });
    fc.assert(
      fc.property(tasks, hosts, (rawTasks, rawHosts) => {
        const seekers = rawTasks.map(([cpus, mem], i) => seeker(`t${i}`, cpus, mem));
        const machines = rawHosts.map(([cpus, mem], i) => host(`h${i}`, cpus, mem));
        const found = match(seekers, machines, open);
        for (const machine of machines) {
          const here = seekers.filter((each) => found.get(each.id) === machine);
          const sum = (key: 'cpus' | 'memoryGb', list: MatchingTask[]) =>
            list.reduce((total, each) => total + each.requested[key], 0);
          assert.ok(sum('cpus', here) <= machine.free.cpus && sum('memoryGb', here) <= machine.free.memoryGb);
          for (const task of seekers) {
            const list = preferences(task, machines, open);
            const rank = list.indexOf(machine);
            const now = found.get(task.id);
            if (rank < 0 || now === machine || (now !== undefined && list.indexOf(now) < rank)) continue;
            // The task would rather be here. Could the machine take it by sending lower-ranked tasks away?
            const kept = here.filter((each) => ranksBefore(each, task));
            const blocks =
              sum('cpus', kept) + task.requested.cpus <= machine.free.cpus &&
              sum('memoryGb', kept) + task.requested.memoryGb <= machine.free.memoryGb;
            assert.ok(!blocks, `${task.id} and ${machine.id} block`);
          }
        }
      }),
      { seed: 20261201, numRuns: 400 },
    );
  });
});
