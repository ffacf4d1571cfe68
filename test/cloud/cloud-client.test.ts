import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { CloudClient } from '../../src/cloud/cloud-client.js';
import { type HttpResponse, NoResponseError } from '../../src/net/http-client.js';
import { answering } from '../../testing/answering-http-client.js';
import { FakeClock } from '../../testing/fake-clock.js';

describe('the cloud client', () => {
  const rental = { rentalId: 'r-1-1', machineType: 'c8', zone: 'a', isSpot: false, count: 1 };
  const scaleOutWithReply = (reply: HttpResponse | NoResponseError) =>
    new CloudClient({ http: answering(reply), address: 'x:1', requestsPerSecond: 8, clock: new FakeClock() }).scaleOut(
      rental,
    );

  it('distinguishes a lack of capacity from failures after which the same request may be retried', async () => {
    assert.deepEqual(await scaleOutWithReply({ status: 200, body: { Hosts: ['i-1'] } }), {
      kind: 'rented',
      machineIds: ['i-1'],
    });
    assert.equal((await scaleOutWithReply({ status: 503, body: { error: 'no capacity' } })).kind, 'no_capacity');
    assert.equal((await scaleOutWithReply({ status: 503, body: { error: 'trouble' } })).kind, 'refused');
    assert.equal((await scaleOutWithReply({ status: 429, body: {} })).kind, 'refused');
    assert.equal((await scaleOutWithReply(new NoResponseError('timeout', true))).kind, 'unknown');
  });

  it('withholds calls that were waiting for the rate limit when the sender lost its leadership', async () => {
    const clock = new FakeClock();
    let isLeader = true;
    let sentCount = 0;
    const http = {
      call: async (): Promise<HttpResponse> => {
        sentCount++;
        return { status: 200, body: { Hosts: ['i-1'] } };
      },
    };
    const cloud = new CloudClient({ http, address: 'x:1', requestsPerSecond: 1, clock, maySend: () => isLeader });
    assert.equal(await cloud.scaleIn(['i-1']), true);
    const queuedCalls = [cloud.scaleIn(['i-2']), cloud.scaleOut(rental)] as const;
    await clock.advance(1);
    isLeader = false;
    await clock.advance(60_000);
    assert.equal(await queuedCalls[0], false);
    assert.deepEqual(await queuedCalls[1], { kind: 'refused' });
    assert.equal(sentCount, 1);
  });
});
