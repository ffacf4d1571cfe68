import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { type Candidate, designateSuccessor } from '../src/index.js';

const candidate = (node: string, fields: Partial<Candidate> = {}): Candidate => ({
  ...{ node, zone: 'a', isServing: true, avoidsRole: false, ledRoleCount: 1 },
  ...fields,
});
const leadership = { role: 'leader', leader: 'n0', preferredNode: undefined };

describe('the successor of a role', () => {
  it('is the preferred node of the partition while that node is serving, in any zone', () => {
    const nodes = [
      candidate('n0'),
      candidate('n1', { zone: 'b', ledRoleCount: 0 }),
      candidate('n2', { ledRoleCount: 5 }),
    ];
    assert.equal(designateSuccessor({ role: 'part-2', leader: 'n0', preferredNode: 'n2' }, nodes), 'n2');
  });

  it('is in a different zone than the leader if possible', () => {
    const nodes = [
      candidate('n0'),
      candidate('n1', { ledRoleCount: 0 }),
      candidate('n2', { zone: 'b', ledRoleCount: 3 }),
    ];
    assert.equal(designateSuccessor(leadership, nodes), 'n2');
  });

  it('is the next candidate when the best one is not serving or avoids the role', () => {
    const others = [candidate('n0'), candidate('n1', { ledRoleCount: 0 })];
    assert.equal(designateSuccessor(leadership, [...others, candidate('n2', { ledRoleCount: 4 })]), 'n1');
    for (const ineligible of [{ isServing: false }, { avoidsRole: true }]) {
      const nodes = [
        candidate('n0'),
        candidate('n1', { ledRoleCount: 0, ...ineligible }),
        candidate('n2', { ledRoleCount: 4 }),
      ];
      assert.equal(designateSuccessor(leadership, nodes), 'n2');
    }
  });

  it('is undefined when no candidate is eligible', () => {
    assert.equal(designateSuccessor(leadership, [candidate('n0'), candidate('n1', { isServing: false })]), undefined);
  });

  it('is always eligible and independent of the order of the candidates', () => {
    const node = fc.record({
      node: fc.constantFrom('n0', 'n1', 'n2', 'n3', 'n4'),
      zone: fc.constantFrom('a', 'b'),
      isServing: fc.boolean(),
      avoidsRole: fc.boolean(),
      ledRoleCount: fc.nat(3),
    });
    const nodes = fc.uniqueArray(node, { selector: (each) => each.node });
    fc.assert(
      fc.property(nodes, fc.constantFrom('leader', 'part-1'), (list, role) => {
        const target = { role, leader: 'n0', preferredNode: role === 'part-1' ? 'n1' : undefined };
        const chosen = designateSuccessor(target, list);
        assert.equal(designateSuccessor(target, [...list].reverse()), chosen);
        const eligible = list.filter((each) => each.isServing && !each.avoidsRole && each.node !== 'n0');
        assert.equal(chosen === undefined, eligible.length === 0);
        if (chosen !== undefined) assert.ok(eligible.some((each) => each.node === chosen));
      }),
      { seed: 27 },
    );
  });
});
