import { retainKeys } from './retain-keys.js';

/** The images that a machine keeps, as far as the tasks seen on it tell. */
export class ImageCache {
  /** GB of each image, most recently used last. */
  private readonly sizesGb = new Map<string, number>();
  /** Attempts whose image has been recorded. */
  private readonly recordedAttempts = new Set<string>();

  /** GB of each image, most recently used last. */
  get images(): ReadonlyMap<string, number> {
    return this.sizesGb;
  }

  /** An image was used here; the least recently used ones make room, as in the machine's own cache. */
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

  /** Images that another leader knew to be here; their sizes are not known, and take no room. */
  addKnown(images: Iterable<string>): void {
    for (const image of images) this.sizesGb.set(image, 0);
  }

  /** Each attempt is looked at once for its image. False: it was before. */
  markRecorded(attemptKey: string): boolean {
    if (this.recordedAttempts.has(attemptKey)) return false;
    this.recordedAttempts.add(attemptKey);
    return true;
  }

  /** Forgets attempts that are not on the machine any more. */
  retainAttempts(present: ReadonlySet<string>): void {
    retainKeys(this.recordedAttempts, present);
  }
}
