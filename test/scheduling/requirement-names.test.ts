import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { MachineInfo } from '../../src/domain/machine-state.js';
import { stableContentOf } from '../../src/gossip/machine-update-content.js';
import type { MachineUpdate } from '../../src/gossip/messages.js';
import { CandidateMachineIndex } from '../../src/scheduling/candidate-machines.js';
import { requirementKeyOf } from '../../src/scheduling/decisions/eviction-options.js';
import { specOf } from '../../testing/fixtures.js';

const machines = ['a', 'b', 'a,b', '*'].map((machineType) => ({
  ...{ machineId: `i-${machineType}`, machineType, zone: '*', isSpot: false },
})) as unknown as MachineInfo[];

/** Requirements that read the same if their names are joined; the names are those of machine types. */
describe('names with commas, spaces and asterisks', () => {
  const specs = [
    ...[['a', 'b'], ['a,b'], ['*'], null].map((machineTypes) => specOf({ machineTypes, zone: null })),
    ...[specOf({ machineTypes: ['a'], zone: '*' }), specOf({ machineTypes: ['a'] })],
    ...[specOf({ machineTypes: ['a b'], zone: 'c' }), specOf({ machineTypes: ['a'], zone: 'b c' })],
  ];

  it('do not mix up the machines of jobs in one plan', () => {
    const index = new CandidateMachineIndex(machines, () => 0);
    const idsFor = (machineTypes: string[] | null) =>
      index.allowed(specOf({ machineTypes, zone: null })).machines.map(({ machineId }) => machineId);
    assert.deepEqual(idsFor(['a', 'b']), ['i-a', 'i-b']);
    assert.deepEqual(idsFor(['a,b']), ['i-a,b']);
    assert.deepEqual(idsFor(['*']), ['i-*']);
    assert.equal(idsFor(null).length, machines.length);
  });

  it('do not mix up the requirements for which nothing can be evicted', () => {
    assert.equal(new Set(specs.map(requirementKeyOf)).size, specs.length);
  });

  it('do not hide a change of the images on a machine from the peers', () => {
    const machine = { endpoint: 'x:1', machineType: 'a', zone: 'a', partitionLeader: 'n0', failedJobs: [] };
    const contentWith = (images: string[]) => stableContentOf({ ...machine, images } as unknown as MachineUpdate);
    assert.notEqual(contentWith(['a b']), contentWith(['a', 'b']));
  });
});
