/**
 * Tables that are followed without a digest, as in small fleets.
 */
import type { DigestSource } from './digestTypes.js'

/** Follows each table itself. */
export const directly = {
  follow: <T>({ follow, handler }: DigestSource<T>): void => { follow(handler) }
}
