/**
 * Fakes for the specs of service calls: application runners that count executions, a clock that jumps, and VMs over one
 * shared table. It holds no tests.
 */
import { Just, Left, Right, type Either } from 'purify-ts'
import type { ServiceAnswer } from '@rosemaryspread/callers/completion/completionTypes.js'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { fleetConfigSchema } from '@rosemaryspread/decisions/config/configSchema.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { ApplicationAnswer, ApplicationCall, ApplicationClient } from '@rosemaryspread/runners/application/applicationTypes.js'
import { OpenWork } from 'rosemaryspread/completion/completionDrain.js'
import { SystemRandom } from 'rosemaryspread/completion/completionSystem.js'
import { MetricsRecorder } from 'rosemaryspread/metrics/metricsRecorder.js'
import { BackgroundWrites } from 'rosemaryspread/service/serviceBackground.js'
import { ClaimedServiceCalls } from 'rosemaryspread/service/serviceCalls.js'
import { ClaimStore } from 'rosemaryspread/service/serviceClaim.js'
import { MemoryTableStore } from '../table/memoryTableStore.js'
import { TableState } from '../table/tableState.js'

/** Fault of all calls to a runner while it is set. */
export type RunnerFault = 'none' | 'unreachable' | 'crashesDuringCall'

/** Application runners that record the request id of each execution. */
export class FakeApplications implements ApplicationClient {
  readonly faults = new Map<string, RunnerFault>()
  readonly executions: string[] = []

  async call (address: string, call: ApplicationCall): Promise<Either<Failure, ApplicationAnswer>> {
    const fault = this.faults.get(address) ?? 'none'
    if (fault === 'unreachable') return Left(new Failure('runnerUnreachable', 'no connection', { ran: 'no' }))
    this.executions.push(call.requestId)
    if (fault === 'crashesDuringCall') return Left(new Failure('runnerUnreachable', 'the answer was lost', { ran: 'unknown' }))
    return Right({ status: 200, contentType: 'application/json', body: Buffer.from(`done ${this.executions.length}`) })
  }
}

/** A real clock that a test can advance. */
export class JumpingClock implements Clock {
  jumpedMs = 0

  now (): Instant {
    return { mono: performance.now() + this.jumpedMs, wall: Date.now() + this.jumpedMs }
  }
}

const config = fleetConfigSchema.parse({
  teams: { desk: { displayName: 'desk', budget: 'b', services: ['bookings'] } },
  services: {
    bookings: {
      runners: { app1: { address: '10.0.0.1:1', domain: 'd1' }, app2: { address: '10.0.0.2:1', domain: 'd2' } },
      notRepeatable: ['/dispatch']
    }
  }
})

export const applicationAddresses = ['10.0.0.1:1', '10.0.0.2:1'] as const

export class ServiceVm {
  readonly clock = new JumpingClock()
  readonly work = new OpenWork()
  readonly table: MemoryTableStore
  /** Log lines, each with its event name. */
  readonly lines: Array<Readonly<Record<string, unknown>>> = []
  private readonly service: ClaimedServiceCalls

  constructor (vm: string, state: TableState, applications: ApplicationClient, createClaims: (table: TableStore) => ClaimStore = table => new ClaimStore(table)) {
    this.table = new MemoryTableStore(state)
    const claims = createClaims(this.table)
    const log: EventLog = { write: (event, fields) => { this.lines.push({ event, ...fields }) } }
    this.service = new ClaimedServiceCalls({
      holder: `${vm}~1`,
      domain: 'd1',
      clock: this.clock,
      random: new SystemRandom(),
      config: { current: () => Just({ version: 1, config }) },
      work: this.work,
      claims,
      background: new BackgroundWrites(claims, this.work, log),
      runners: applications,
      log,
      metrics: new MetricsRecorder()
    })
  }

  async dispatch (key: string | null = 'k', body = 'to Rosa', path = '/dispatch', requestId?: string): Promise<Either<Failure, ServiceAnswer>> {
    return await this.service.call({
      caller: { team: 'desk' },
      service: 'bookings',
      method: 'POST',
      path,
      body: Buffer.from(body),
      digest: body,
      gone: new AbortController().signal,
      ...(requestId === undefined ? {} : { requestId }),
      ...(key === null ? {} : { idempotencyKey: key })
    })
  }
}

/** Two VMs over one table and the same runners. */
export interface ServiceFleet {
  readonly a: ServiceVm
  readonly b: ServiceVm
  readonly applications: FakeApplications
}

/**
 * Creates a fleet of two VMs.
 * @param createClaims - claims of each VM; faulty ones for counter-examples
 */
export function createServiceFleet (createClaims?: (table: TableStore) => ClaimStore): ServiceFleet {
  const state = new TableState()
  const applications = new FakeApplications()
  return {
    a: new ServiceVm('a', state, applications, createClaims),
    b: new ServiceVm('b', state, applications, createClaims),
    applications
  }
}
