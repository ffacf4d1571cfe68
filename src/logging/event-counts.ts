/** Counts of named events between two reports. */
export class EventCounts {
  private counts = new Map<string, number>();

  record(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  /** Returns the counts since the last call, and starts again from zero. */
  take(): Record<string, number> {
    const counts = Object.fromEntries(this.counts);
    this.counts = new Map();
    return counts;
  }
}
