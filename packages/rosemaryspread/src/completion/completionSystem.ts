/**
 * Clock and randomness of the operating system; tests substitute their own.
 */
import { randomBytes } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { RandomSource } from './completionPorts.js'

const ID_BYTES = 16

export class SystemClock implements Clock {
  now (): Instant {
    return { mono: performance.now(), wall: Date.now() }
  }
}

export class SystemRandom implements RandomSource {
  next (): number {
    return Math.random()
  }

  id (): string {
    return randomBytes(ID_BYTES).toString('hex')
  }
}
