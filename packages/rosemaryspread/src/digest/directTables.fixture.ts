/**
 * Follows tables without a digest, as in small fleets.
 */
import type { DigestSource } from './digestTypes.js'

export const directTables = {
  follow: <T>({ follow, handler }: DigestSource<T>): void => { follow(handler) }
}
