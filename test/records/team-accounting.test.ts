import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Team, TeamUsage } from '../../src/domain/team.js';
import { decodeTeamUsage, encodeTeamUsage } from '../../src/records/record-codecs.js';
import { teamKey } from '../../src/records/record-keys.js';
import { TeamAccounting } from '../../src/records/team-accounting.js';
import { TransactionDraft } from '../../src/store/transaction-draft.js';
import { specOf } from '../../testing/fixtures.js';

const team: Team = { name: 'red', guaranteed: { cpus: 0, gpus: 0 }, limit: { cpus: 20, gpus: 0 } };
const spec = specOf({ cpus: 2 });
const KEY = teamKey('red');
/** Revision of the last change of the team's record; by default, the replica is complete up to it. */
const REVISION = 7;

function prepare({ recorded = 10, placed = 4, completeTo = REVISION, canDeferExits = true } = {}) {
  const record: TeamUsage = { cpus: recorded, gpus: 0 };
  const read = () => ({ value: encodeTeamUsage(record), modRevision: REVISION });
  const accounting = new TeamAccounting({
    teams: [team],
    placedUsageOf: (_, upTo) => (completeTo >= upTo ? { cpus: placed, gpus: 0 } : undefined),
    recordOf: read,
    canDeferExits: () => canDeferExits,
  });
  const draft = new TransactionDraft(read);
  return {
    accounting,
    draft,
    written: () => (draft.writes.has(KEY) ? decodeTeamUsage(draft.writes.get(KEY)).cpus : undefined),
  };
}

describe("a team's record", () => {
  it('is set by a start to the placed tasks and the new one, on condition that no other start has changed it', () => {
    const { accounting, draft, written } = prepare();
    accounting.addStart(draft, team, spec);
    accounting.addStart(draft, team, spec);
    assert.equal(written(), 8);
    assert.equal(draft.conditions.get(KEY), REVISION);
  });

  it('is preferred to the placements if it counts a start that the replica may lack', () => {
    const { accounting, draft, written } = prepare({ completeTo: REVISION - 1 });
    accounting.addStart(draft, team, spec);
    assert.equal(written(), 12);
  });

  it('is never raised to a higher usage of the placements', () => {
    const { accounting, draft } = prepare({ placed: 16 });
    assert.equal(accounting.usageOf(draft, team, spec).cpus, 10);
  });

  it('is left unchanged by exits far below the limit, once all controllers can defer exits', () => {
    const far = prepare();
    far.accounting.addExit(far.draft, spec);
    assert.equal(far.written(), undefined);
    assert.equal(far.draft.conditions.has(KEY), false);
    const near = prepare({ recorded: 18, placed: 18 });
    near.accounting.addExit(near.draft, spec);
    assert.equal(near.written(), 16);
    const early = prepare({ canDeferExits: false, placed: 10 });
    early.accounting.addExit(early.draft, spec);
    assert.equal(early.written(), 8);
  });

  it('is lowered to the usage of the placements if it shows more and the replica is complete', () => {
    const { accounting, draft, written } = prepare();
    assert.ok(accounting.isOverstated('red'));
    assert.ok(accounting.settle(draft, 'red'));
    assert.equal(written(), 4);
    assert.equal(prepare({ placed: 10 }).accounting.isOverstated('red'), false);
    assert.equal(prepare({ completeTo: REVISION - 1 }).accounting.isOverstated('red'), false);
  });
});
