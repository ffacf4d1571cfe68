import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { parseSettings, parseTuning, SettingsError } from '../../src/config/load-settings.js';
import {
  MIN_CPU_SHARE,
  MIN_MEMORY_MB,
  MIN_SOCKETS,
  MIN_STORE_REQUESTS_PER_NODE,
  MIN_STORE_WRITES,
  MIN_TRANSACTION_WRITES,
  MIN_VALUE_KB,
} from '../../src/constants/platform-minimums.js';
import { settingsFileOf } from '../../testing/fixtures.js';

describe('settings', () => {
  it('with an invalid field are rejected with an error that names the field', () => {
    assert.throws(() => parseSettings('{', 'f.json'), /f\.json: not JSON/);
    assert.throws(
      () => parseSettings('{"node":"n"}', 'f.json'),
      (error) => error instanceof SettingsError && error.message.includes('bind'),
    );
    assert.throws(() => parseTuning('threshold = 2', 'f.toml'), /threshold/);
    assert.throws(() => parseTuning('treshold = 0.9', 'f.toml'), /treshold/);
    assert.equal(parseTuning('threshold = 0.8', 'f.toml').happinessThreshold, 0.8);
    const standby = (line: string) => () => parseTuning(`[standby]\n${line}`, 'f.toml');
    assert.throws(standby('folow = true'), /f\.toml: standby\.folow/);
    assert.throws(standby('max_lag_ms = "2 s"'), /f\.toml: standby\.max_lag_ms/);
    assert.throws(standby('follow = true'), /f\.toml: standby\.follow: needs enabled/);
    assert.throws(standby('max_lag_ms = 3001'), /f\.toml: standby\.max_lag_ms: must not exceed the life of a hold/);
    assert.equal(standby('enabled = true')().standby.enabled, true);
  });

  it('with a limit below its minimum are rejected with an error that names the limit and states the minimum', () => {
    const good = settingsFileOf(0, 3);
    const parse = (cluster: object) => parseSettings(JSON.stringify({ ...good, cluster }), 'f.json');
    const tooSmall: [group: 'limits' | 'state', field: string, value: number][] = [
      ['limits', 'cpu', MIN_CPU_SHARE / 2],
      ['limits', 'ram_mb', MIN_MEMORY_MB - 1],
      ['limits', 'sockets', MIN_SOCKETS - 1],
      ['state', 'rps', MIN_STORE_REQUESTS_PER_NODE * 3 - 1],
      ['state', 'write_rps', MIN_STORE_WRITES / 2],
      ['state', 'value_kb', MIN_VALUE_KB / 2],
      ['state', 'txn_ops', MIN_TRANSACTION_WRITES - 1],
    ];
    for (const [group, field, value] of tooSmall) {
      const cluster = { ...good.cluster, [group]: { ...good.cluster[group], [field]: value } };
      assert.throws(
        () => parse(cluster),
        (error) => error instanceof SettingsError && error.message.includes(`cluster.${group}.${field}: must be`),
      );
    }
    for (const [group, field, value] of tooSmall.filter(([each]) => each === 'state')) {
      const cluster = { ...good.cluster, state: { ...good.cluster.state, next: { [field]: value } } };
      assert.throws(
        () => parse(cluster),
        (error) => error instanceof SettingsError && error.message.includes(`cluster.${group}.next.${field}: must be`),
      );
    }
    assert.throws(() => parse({ ...good.cluster, state: { ...good.cluster.state, next: { txn_ops: 'few' } } }), /next/);
    assert.equal(parse({ ...good.cluster, state: { ...good.cluster.state, next: null } }).cluster.size, 3);
    assert.equal(parse({ ...good.cluster, limits: { cpu: 0.051, ram_mb: 108, sockets: 700 } }).cluster.size, 3);
  });
});
