/**
 * How many connections of callers one VM may have open. Without a descriptor left Node closes each new connection at once and tells
 * nobody, while those that are open go on working: the VM would say that it is ready and take no one.
 */

/** Part of the descriptors of the process that connections of callers may take; the others lead to targets, the store and other VMs. */
const CALLERS_PART = 0.5
/** Part of these from which on connections without a request give way to new ones. */
const CROWDED_PART = 0.9

/** Room for connections of callers. */
export class ConnectionRoom {
  /** Connections that may be open; those beyond are to be closed at once. */
  readonly most: number

  /** @param descriptors - descriptors that the process may have open; absent where nothing bounds them */
  constructor (descriptors?: number) {
    this.most = Math.floor((descriptors ?? Infinity) * CALLERS_PART)
  }

  /**
   * Whether connections without a request should be closed, so that new ones find room.
   * @param open - connections that are open
   */
  isCrowded (open: number): boolean {
    return open >= this.most * CROWDED_PART
  }
}
