/** Codec of job specifications. Submissions and stored job records use the same wire form. */
import type { JobKind, JobPriority, JobSpec } from '../domain/job.js';
import { maxReportedTaskBytes } from '../domain/worker-report.js';

/** Wire names of the job kinds. */
export type WireJobShape = 'array' | 'ensemble' | 'service';

/** A job's specification on the wire and in the store; the order of the fields is their order in the store. */
export interface WireJobSpec {
  Ref: string;
  Jobclass: string;
  Owner: string;
  Shape: WireJobShape;
  Rank: JobPriority;
  Shards: number;
  Cpus: number;
  Cards: number;
  MemGb: number;
  Bundle: string;
  SizeGb: number;
  Flavors: string[] | null;
  Site: string | null;
  OneZone: boolean;
  Spread: boolean;
  Reclaimable: boolean;
  GuessS: number;
  SnapshotEveryS: number;
  SnapshotS: number;
  DueS: number | null;
}

const KIND_OF_SHAPE: Record<WireJobShape, JobKind> = { array: 'array', ensemble: 'gang', service: 'service' };
const SHAPE_OF_KIND: Record<JobKind, WireJobShape> = { array: 'array', gang: 'ensemble', service: 'service' };

/**
 * The wire form that each specification was decoded from. A specification never changes, so it is encoded as that wire form,
 * which keeps fields added by a later version of the program.
 */
const wireForms = new WeakMap<JobSpec, WireJobSpec>();

/** Decodes a specification that has already been validated. */
export function decodeJobSpec(wire: WireJobSpec): JobSpec {
  const spec: JobSpec = {
    id: wire.Ref,
    jobClass: wire.Jobclass,
    team: wire.Owner,
    kind: KIND_OF_SHAPE[wire.Shape],
    priority: wire.Rank,
    taskCount: wire.Shards,
    cpus: wire.Cpus,
    gpus: wire.Cards,
    memoryGb: wire.MemGb,
    reportBytes: maxReportedTaskBytes(wire.Ref),
    image: wire.Bundle,
    imageGb: wire.SizeGb,
    machineTypes: wire.Flavors,
    zone: wire.Site,
    singleZone: wire.OneZone,
    spreadAcrossZones: wire.Spread,
    allowsSpot: wire.Reclaimable,
    estimatedRunS: wire.GuessS,
    checkpointIntervalS: wire.SnapshotEveryS,
    checkpointS: wire.SnapshotS,
    deadlineS: wire.DueS,
  };
  wireForms.set(spec, wire);
  return spec;
}

/** Returns the wire form that the specification was decoded from, or a new one. */
export function encodeJobSpec(spec: JobSpec): WireJobSpec {
  const cached = wireForms.get(spec);
  if (cached !== undefined) return cached;
  const wire: WireJobSpec = {
    Ref: spec.id,
    Jobclass: spec.jobClass,
    Owner: spec.team,
    Shape: SHAPE_OF_KIND[spec.kind],
    Rank: spec.priority,
    Shards: spec.taskCount,
    Cpus: spec.cpus,
    Cards: spec.gpus,
    MemGb: spec.memoryGb,
    Bundle: spec.image,
    SizeGb: spec.imageGb,
    Flavors: spec.machineTypes,
    Site: spec.zone,
    OneZone: spec.singleZone,
    Spread: spec.spreadAcrossZones,
    Reclaimable: spec.allowsSpot,
    GuessS: spec.estimatedRunS,
    SnapshotEveryS: spec.checkpointIntervalS,
    SnapshotS: spec.checkpointS,
    DueS: spec.deadlineS,
  };
  wireForms.set(spec, wire);
  return wire;
}
