/**
 * Decides whether the digest is reliable: a publisher confirms every second that it reaches the tables and that the digest is
 * complete. Without that confirmation a VM follows the tables itself.
 */
import * as z from 'zod'

/** Interval between two heartbeats of the publisher. */
export const DIGEST_BEAT_MS = 1_000
/** Time without a heartbeat after which the digest is no longer trusted. */
const SILENT_MS = 2_500
/** Time for which heartbeats must arrive before the digest is trusted again. */
const STEADY_MS = 2_000

/** Heartbeat of a publisher. */
export const digestBeatSchema = z.object({
  beat: z.number().int(),
  /** Whether the digest contains everything that the publisher knows. */
  isComplete: z.boolean()
})
export type DigestBeat = z.infer<typeof digestBeatSchema>

/** Trust of one VM in the digest. Times are monotonic milliseconds. */
export class DigestTrust {
  private steadySince: number | undefined
  private heardAt = -Infinity

  /**
   * Records a heartbeat that was just written. Heartbeats from before this VM began to read prove nothing and must not be passed.
   */
  heard ({ isComplete }: DigestBeat, mono: number): void {
    if (!isComplete) return
    if (mono - this.heardAt > SILENT_MS) this.steadySince = mono
    this.heardAt = mono
  }

  /** Ends the trust: the digest could not be read, or contains an entry that cannot be decoded. */
  lost (): void {
    this.heardAt = -Infinity
  }

  /** Milliseconds since the last heartbeat that confirmed a complete digest. */
  silentMs (mono: number): number {
    return mono - this.heardAt
  }

  isTrusted (mono: number): boolean {
    return this.silentMs(mono) <= SILENT_MS && this.steadySince !== undefined && mono - this.steadySince >= STEADY_MS
  }
}
