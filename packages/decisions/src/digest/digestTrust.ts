/**
 * Decides whether the digest is reliable: a publisher confirms every second that it reaches the tables and that the digest is
 * complete. Without that confirmation a VM follows the tables itself.
 */
import * as z from 'zod'

/** Interval between two heartbeats of the publisher. */
export const DIGEST_HEARTBEAT_MS = 1_000
/** Time without a heartbeat after which the digest is no longer trusted. */
const HEARTBEAT_TIMEOUT_MS = 2_500
/** Time for which heartbeats must arrive before the digest is trusted again. */
const MIN_STABLE_MS = 2_000

/** Heartbeat of a publisher. */
export const digestHeartbeatSchema = z.object({
  beat: z.number().int(),
  /** Whether the digest contains everything that the publisher knows. */
  isComplete: z.boolean()
})
export type DigestHeartbeat = z.infer<typeof digestHeartbeatSchema>

/** Trust of one VM in the digest. Times are monotonic milliseconds. */
export class DigestTrust {
  private stableSince: number | undefined
  private lastHeartbeatAt = -Infinity

  /**
   * Records a heartbeat that was just written. Heartbeats from before this VM began to read prove nothing and must not be passed.
   */
  recordHeartbeat ({ isComplete }: DigestHeartbeat, mono: number): void {
    if (!isComplete) return
    if (mono - this.lastHeartbeatAt > HEARTBEAT_TIMEOUT_MS) this.stableSince = mono
    this.lastHeartbeatAt = mono
  }

  /** Ends the trust: the digest could not be read, or contains an entry that cannot be decoded. */
  lost (): void {
    this.lastHeartbeatAt = -Infinity
  }

  /** Milliseconds since the last heartbeat that confirmed a complete digest. */
  silenceMs (mono: number): number {
    return mono - this.lastHeartbeatAt
  }

  isTrusted (mono: number): boolean {
    return this.silenceMs(mono) <= HEARTBEAT_TIMEOUT_MS && this.stableSince !== undefined && mono - this.stableSince >= MIN_STABLE_MS
  }
}
