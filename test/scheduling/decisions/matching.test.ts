import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import {
  isPreferredOver,
  match,
  type MatchingMachine,
  type MatchingTask,
  type MatchRules,
  preferenceListOf,
} from '../../../src/scheduling/decisions/matching.js';

const open: MatchRules = { isAllowed: () => true, isZoneOpen: () => true, isMachineOpen: () => true, tierOf: () => 0 };

const resources = (cpus: number, memoryGb: number) => ({ cpus, memoryGb, gpus: 0, reportBytes: 0 });
const task = (id: string, cpus: number, memoryGb = 1): MatchingTask => ({
  id,
  group: id,
  usage: resources(cpus, memoryGb),
  requested: resources(cpus, memoryGb),
});
const machine = (id: string, cpus: number, memoryGb = 64, zone = 'a'): MatchingMachine => ({
  id,
  zone,
  free: resources(cpus, memoryGb),
});

describe('stable matching', () => {
  it('matches a task to the machine whose free resources are nearest to the usage of the task', () => {
    const matches = match(
      [task('t', 2, 4)],
      [machine('large', 32, 64), machine('small', 4, 8), machine('tiny', 1, 2)],
      open,
    );
    assert.equal(matches.get('t')?.id, 'small');
  });

  it('lets a task with higher CPU usage displace the task with the lowest, which goes to its next choice', () => {
    const matches = match([task('low', 2), task('high', 4)], [machine('near', 4, 1), machine('far', 8, 60)], open);
    assert.equal(matches.get('high')?.id, 'near');
    assert.equal(matches.get('low')?.id, 'far');
  });

  it('leaves a task unmatched if preferred tasks fill all its machines', () => {
    const matches = match([task('a', 3), task('b', 4)], [machine('only', 4)], open);
    assert.deepEqual([...matches.keys()], ['b']);
  });

  it('passes the number of tasks matched per zone to the zone rule', () => {
    const tasks = ['x', 'y', 'z'].map((id) => ({ ...task(id, 1), group: 'g' }));
    const rules = {
      ...open,
      isZoneOpen: (_: string, zone: string, matchedPerZone: ReadonlyMap<string, number>) =>
        (matchedPerZone.get(zone) ?? 0) < 2,
    };
    const matches = match(tasks, [machine('a1', 8, 64, 'a'), machine('b1', 8, 64, 'b')], rules);
    const zones = [...matches.values()].map((each) => each.zone).sort();
    assert.deepEqual(zones, ['a', 'a', 'b']);
  });

  it('leaves no blocking pair of a task and a machine that prefer each other to their matches', () => {
    const taskSizes = fc.array(fc.tuple(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 16 })), {
      maxLength: 25,
    });
    const machineSizes = fc.array(fc.tuple(fc.integer({ min: 1, max: 16 }), fc.integer({ min: 1, max: 32 })), {
      maxLength: 8,
    });
    fc.assert(
      fc.property(taskSizes, machineSizes, (rawTasks, rawMachines) => {
        const tasks = rawTasks.map(([cpus, memoryGb], i) => task(`t${i}`, cpus, memoryGb));
        const machines = rawMachines.map(([cpus, memoryGb], i) => machine(`h${i}`, cpus, memoryGb));
        const matches = match(tasks, machines, open);
        for (const offered of machines) {
          const matchedTasks = tasks.filter((each) => matches.get(each.id) === offered);
          const sum = (key: 'cpus' | 'memoryGb', list: MatchingTask[]) =>
            list.reduce((total, each) => total + each.requested[key], 0);
          assert.ok(
            sum('cpus', matchedTasks) <= offered.free.cpus && sum('memoryGb', matchedTasks) <= offered.free.memoryGb,
          );
          for (const candidate of tasks) {
            const list = preferenceListOf(candidate, machines, open);
            const position = list.indexOf(offered);
            const current = matches.get(candidate.id);
            if (position < 0 || current === offered || (current !== undefined && list.indexOf(current) < position))
              continue;
            // The task prefers this machine. Could the machine admit it by displacing tasks of lower preference?
            const kept = matchedTasks.filter((each) => isPreferredOver(each, candidate));
            const blocks =
              sum('cpus', kept) + candidate.requested.cpus <= offered.free.cpus &&
              sum('memoryGb', kept) + candidate.requested.memoryGb <= offered.free.memoryGb;
            assert.ok(!blocks, `${candidate.id} and ${offered.id} block`);
          }
        }
      }),
      { seed: 20261201, numRuns: 400 },
    );
  });
});
