/** The commit step of a plan: writes the planned starts to the store. */
import type { MachineInfo } from '../domain/machine-state.js';
import type { Team } from '../domain/team.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { startTask } from '../records/placement-mutations.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import { startPriority } from '../records/transaction-priority.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { InFlightStarts } from './in-flight-starts.js';
import type { ResourceUsage } from './resource-usage.js';
import type { PendingTask } from './task-placer.js';

/** ms after which a start that is still queued for the store is dropped; the next plan places the task again. */
const START_TIMEOUT_MS = 5000;

/** A pending task with the machine and the attempt number that it is to start with. */
export interface PlannedStart {
  taskId: string;
  pendingTask: PendingTask;
  machine: MachineInfo;
  attempt: number;
}

/** The state that starts are checked against, the transactions that write them, and the callbacks for their outcome. */
export interface StartCommitterDependencies {
  teams: ReadonlyMap<string, Team>;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: MachineInventory;
  transactions: TransactionBatcher;
  accounting: TeamAccounting;
  usage: ResourceUsage;
  inFlight: InFlightStarts;
  log: Log;
  /** Called when the start of the task is committed. */
  taskStarted: (taskId: string) => void;
  /** Called when a transaction of starts has ended, whatever its outcome. */
  transactionEnded: () => void;
}

/** Commits starts under the fencing token of a role. Starts count as in flight until the outcome is known. */
export class StartCommitter {
  constructor(private readonly dependencies: StartCommitterDependencies) {}

  /** Commits starts of one job for a role that this node leads. */
  commit(view: JobView, starts: readonly PlannedStart[], role: string): void {
    // A gang starts atomically, so its members share one transaction; tasks of other jobs are grouped by placement chunk.
    const isAtomic = view.record.spec.kind === 'gang';
    const groups = new Map<number, PlannedStart[]>();
    for (const start of starts) {
      const key = isAtomic ? 0 : Math.floor(start.pendingTask.taskIndex / view.record.tasksPerChunk);
      const group = groups.get(key);
      if (group === undefined) groups.set(key, [start]);
      else group.push(start);
    }
    for (const group of groups.values()) void this.commitGroup(view, group, role);
  }

  private async commitGroup(view: JobView, group: readonly PlannedStart[], role: string): Promise<void> {
    const { teams, transactions, clusterState, transactionEnded } = this.dependencies;
    const { spec } = view.record;
    this.addInFlight(view, group);
    const outcome = await transactions.commit(
      'start',
      startPriority(spec),
      (draft) => this.applyStarts(draft, group, role),
      {
        timeoutMs: START_TIMEOUT_MS,
        batchingHint: clusterState.batchingHintFor(view.jobId, group[0]!.pendingTask.taskIndex, teams.get(spec.team)),
      },
    );
    const hasStarted = outcome.kind === 'done';
    this.removeInFlight(view.jobId, group, hasStarted);
    if (hasStarted) this.logPlaced(view, group, role);
    transactionEnded();
  }

  private addInFlight(view: JobView, group: readonly PlannedStart[]): void {
    const { spec } = view.record;
    for (const { taskId, pendingTask, machine } of group) {
      const { machineId, zone } = machine;
      this.dependencies.inFlight.add(taskId, pendingTask.taskIndex, { machineId, zone, spec });
    }
  }

  private removeInFlight(jobId: string, group: readonly PlannedStart[], hasStarted: boolean): void {
    for (const { taskId, pendingTask } of group) {
      this.dependencies.inFlight.remove(jobId, taskId, pendingTask.taskIndex);
      if (hasStarted) this.dependencies.taskStarted(taskId);
    }
  }

  /** Runs within the transaction, on the current records; returns false if there is nothing to commit. */
  private applyStarts(draft: TransactionDraft, group: readonly PlannedStart[], role: string): boolean {
    if (!this.dependencies.leadership.requireLeadership(draft, role)) return false;
    const isAtomic = group[0]!.pendingTask.view.record.spec.kind === 'gang';
    let startedCount = 0;
    for (const start of group) {
      if (this.applyStart(draft, start)) startedCount++;
      else if (isAtomic) return false;
    }
    return startedCount > 0;
  }

  private applyStart(draft: TransactionDraft, { pendingTask, machine, attempt }: PlannedStart): boolean {
    const { teams, inventory, accounting, usage } = this.dependencies;
    // Since the machine was chosen, its agent may have begun a new epoch, or its heartbeats may have stopped.
    if (inventory.agentEpochOf(machine.machineId) !== machine.agentEpoch) return false;
    if (!usage.canHoldInFlightStarts(machine)) return false;
    const { view, taskIndex } = pendingTask;
    const team = teams.get(view.record.spec.team)!;
    return startTask(draft, accounting, { team, jobId: view.jobId, taskIndex, machine, attempt }) === undefined;
  }

  private logPlaced(view: JobView, group: readonly PlannedStart[], role: string): void {
    const { image } = view.record.spec;
    const machineIds = [...new Set(group.map(({ machine }) => machine.machineId))];
    const cachedImageCount = group.filter(({ machine }) => machine.images.includes(image)).length;
    const fields = { jobId: view.jobId, role, taskCount: group.length, cachedImageCount, machineIds };
    this.dependencies.log.debug(fields, 'tasks placed');
  }
}
