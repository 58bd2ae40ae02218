/**
 * Application runner stand-in. It executes every call without deduplication and counts them, so that a call that
 * ran twice is visible; request ids are only recorded.
 */
import { createHash } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { runnerControlSchema, type RunnerControl } from '../control/controlTypes.js'
import { HistoryLog } from '../control/historyLog.js'
import { HttpError, type HttpAnswer, type HttpRequest, type HttpRoute } from '../control/httpTypes.js'
import type { StandInDefinition } from '../control/standIn.js'

const CONFIRMATION_LENGTH = 8

export interface ApplicationOptions {
  /** Runner id in the fleet configuration. */
  readonly name: string
  readonly service: string
  /** Duration of one call, in milliseconds. */
  readonly delayMs: number
}

/** One executed call. */
export interface Execution {
  readonly execution: number
  readonly at: number
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly digest: string
}

class Application {
  readonly executions: Execution[] = []
  private leaving = false

  constructor (private readonly options: ApplicationOptions, private readonly history: HistoryLog) {}

  async serve (req: HttpRequest): Promise<HttpAnswer> {
    if (this.leaving) throw new HttpError(503, 'the runner is leaving')
    const execution = this.recordExecution(req)
    await sleep(this.options.delayMs)
    const body = JSON.stringify(this.answer(execution))
    const { requestId } = execution
    this.history.add({ kind: 'ended', at: Date.now(), requestId, runner: this.options.name, state: 'finished', text: body, tokens: 0 })
    const status = execution.method === 'POST' ? 201 : 200
    return { status, body, headers: { 'content-type': 'application/json' }, effect: execution.method === 'POST' }
  }

  applyControl (control: RunnerControl): void {
    const { leaving = this.leaving } = control
    if (leaving && !this.leaving) this.history.add({ kind: 'runnerLeaving', at: Date.now(), runner: this.options.name })
    this.leaving = leaving
  }

  private recordExecution (req: HttpRequest): Execution {
    const execution: Execution = {
      execution: this.executions.length + 1,
      at: Date.now(),
      requestId: req.header('x-request-id'),
      method: req.method,
      path: `${req.url.pathname}${req.url.search}`,
      digest: createHash('sha256').update(req.body).digest('hex')
    }
    this.executions.push(execution)
    const { at, requestId, digest } = execution
    this.history.add({ kind: 'ran', at, requestId, runner: this.options.name, team: req.header('x-team'), digest })
    return execution
  }

  private answer ({ execution, requestId, method, path, digest }: Execution): unknown {
    const { name, service } = this.options
    const confirmation = createHash('sha256').update(`${service}\n${requestId}\n${path}\n${digest}`).digest('hex').slice(0, CONFIRMATION_LENGTH)
    return { service, runner: name, execution, requestId, method, path, confirmation }
  }
}

/** Creates an application runner without executions. */
export function applicationDefinition (options: ApplicationOptions): StandInDefinition {
  const history = new HistoryLog()
  const application = new Application(options, history)
  const serve: HttpRoute['serve'] = async req => await application.serve(req)
  return {
    routes: [{ method: 'GET', pattern: /^/, serve }, { method: 'POST', pattern: /^/, serve }],
    history,
    state: () => ({ ...options, executions: application.executions }),
    controlSchema: runnerControlSchema,
    onControl: control => application.applyControl(control),
    controlRoutes: [{ method: 'GET', pattern: /^\/control\/executions$/, serve: () => ({ status: 200, body: { executions: application.executions } }) }]
  }
}
