/**
 * Counts the connections of clients that were closed, by reason, and logs them at a bounded rate.
 */
import type { CloseReason } from '@rosemaryspread/decisions/clients/closeReason.js'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ClientMonitor } from '@rosemaryspread/http/server/clientGuard.js'
import type { Metrics } from '../metrics/metricsTypes.js'

/** Minimum interval between two log lines on the same server and reason. */
const LOG_INTERVAL_MS = 1_000

/** Connections closed since the last log line. */
interface Unreported {
  closed: number
  nextLineAt: number
}

export class ClientReport implements ClientMonitor {
  private readonly unreported = new Map<string, Unreported>()

  constructor (private readonly clock: Pick<Clock, 'now'>, private readonly log: EventLog, private readonly metrics: Pick<Metrics, 'count'>) {}

  closed (server: string, reason: CloseReason): void {
    this.metrics.count(`clients_closed_${reason}`)
    const key = `${server} ${reason}`
    const entry = this.unreported.get(key) ?? { closed: 0, nextLineAt: -Infinity }
    this.unreported.set(key, entry)
    entry.closed += 1
    const { mono } = this.clock.now()
    if (mono < entry.nextLineAt) return
    this.log.write('clientsClosed', { server, reason, closed: entry.closed })
    entry.closed = 0
    entry.nextLineAt = mono + LOG_INTERVAL_MS
  }
}
