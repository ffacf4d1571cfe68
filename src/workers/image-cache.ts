import { retainKeys } from './retain-keys.js';

/** The images that a machine keeps, as far as its tasks show. */
export class ImageCache {
  /** Size of each image in GB, most recently used last. */
  private readonly sizesGb = new Map<string, number>();
  /** Attempts whose image has been recorded. */
  private readonly recordedAttempts = new Set<string>();

  /** Size of each image in GB, most recently used last. */
  get images(): ReadonlyMap<string, number> {
    return this.sizesGb;
  }

  /** Records that an image was used here; the least recently used ones are evicted, as in the machine's own cache. */
  add(image: string, sizeGb: number, capacityGb: number): void {
    this.sizesGb.delete(image);
    this.sizesGb.set(image, sizeGb);
    let totalGb = 0;
    for (const size of this.sizesGb.values()) totalGb += size;
    for (const [oldImage, oldSizeGb] of this.sizesGb) {
      if (totalGb <= capacityGb || oldImage === image) break;
      this.sizesGb.delete(oldImage);
      totalGb -= oldSizeGb;
    }
  }

  /** Adds images that another leader knew to be here; their sizes are unknown and count as 0. */
  addKnown(images: Iterable<string>): void {
    for (const image of images) this.sizesGb.set(image, 0);
  }

  /** Marks an attempt, so that its image is recorded only once. Returns false if it was marked before. */
  markRecorded(attemptKey: string): boolean {
    if (this.recordedAttempts.has(attemptKey)) return false;
    this.recordedAttempts.add(attemptKey);
    return true;
  }

  /** Forgets attempts that are no longer on the machine. */
  retainAttempts(present: ReadonlySet<string>): void {
    retainKeys(this.recordedAttempts, present);
  }
}
