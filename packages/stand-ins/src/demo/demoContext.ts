/**
 * What the steps of the demo share: the running fleet, callers, and the operators' command line.
 */
import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { bodyDigest } from '@rosemaryspread/decisions/request/requestIdentity.js'
import type { Ask, RequestSpec } from '../scenario/callers/callerTypes.js'
import type { TestCaller } from '../scenario/callers/testCaller.js'
import { OPERATOR_KEY } from '../scenario/callers/testOperator.js'
import type { Fleet } from '../scenario/fleet/fleet.js'
import { teamKey } from '../scenario/fleet/fleetConfig.js'
import type { DemoShape } from './demoShapes.js'

const CTL = fileURLToPath(import.meta.resolve('@rosemaryspread/operators/ctl/ctlMain.js'))
const run = promisify(execFile)

/** Everything a step works with. */
export class DemoContext {
  readonly vmNames: readonly string[]

  constructor (
    readonly shape: DemoShape,
    readonly fleet: Fleet,
    readonly caller: TestCaller
  ) {
    this.vmNames = Object.keys(shape.head.vms)
  }

  /** Address for callers of the n-th VM. */
  callersUrl (index: number): string {
    return this.fleet.vm(this.vmName(index)).callersUrl
  }

  vmName (index: number): string {
    return this.vmNames[index] ?? ''
  }

  /**
   * A streamed completion.
   * @param index - which of the shape's asks
   * @param tokens - cap of generated tokens
   */
  completion (index: number, tokens: number): RequestSpec {
    const { team, model, prompt } = this.shape.asks[index] as DemoShape['asks'][number]
    const body = JSON.stringify({ model, messages: [{ role: 'user', content: prompt }], max_tokens: tokens, stream: true })
    return this.spec(team, '/v1/chat/completions', body, true)
  }

  /**
   * A call that may not be repeated.
   * @param key - its Idempotency-Key
   */
  dispatch (key: string): RequestSpec {
    const { team } = this.shape.asks[0] as DemoShape['asks'][number]
    const spec = this.spec(team, `/v1/services/${this.shape.service}/dispatch`, this.shape.order, false)
    return { ...spec, idempotencyKey: key, repeatable: false }
  }

  /**
   * Sends a request to the n-th VM.
   * @param spec - the request
   * @param index - which VM
   * @param begun - told of the ask before it is sent
   */
  async ask (spec: RequestSpec, index: number, begun?: (ask: Ask) => void): Promise<Ask> {
    return await this.caller.ask(spec, this.vmName(index), this.callersUrl(index), begun)
  }

  /**
   * Runs `rosemaryspreadctl` against the first VM and hands out what it prints.
   * @param args - its arguments
   */
  async ctl (...args: string[]): Promise<string> {
    const { operatorsUrl } = this.fleet.vm(this.vmName(0))
    const { stdout } = await run(process.execPath, [CTL, '--server', operatorsUrl, '--key', OPERATOR_KEY, ...args])
    return stdout.trim()
  }

  /**
   * Runs `rosemaryspreadctl` and reads its JSON.
   * @param args - its arguments
   */
  async ctlJson<T> (...args: string[]): Promise<T> {
    return JSON.parse(await this.ctl('--output', 'json', ...args)) as T
  }

  private spec (team: string, path: string, body: string, streamed: boolean): RequestSpec {
    return {
      team,
      teamKey: teamKey(team),
      path,
      body,
      digest: bodyDigest(body),
      repeatable: true,
      idempotencyKey: undefined,
      requestId: undefined,
      timeoutMs: undefined,
      streamed
    }
  }
}
