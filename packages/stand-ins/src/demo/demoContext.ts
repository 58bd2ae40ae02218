/**
 * Context shared by the demo steps: the running fleet, a caller and the operators' command line.
 */
import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { bodyDigest } from '@rosemaryspread/decisions/request/requestIdentity.js'
import type { Attempt, RequestSpec } from '../scenario/callers/callerTypes.js'
import type { TestCaller } from '../scenario/callers/testCaller.js'
import { OPERATOR_KEY } from '../scenario/callers/testOperator.js'
import type { Fleet } from '../scenario/fleet/fleet.js'
import { teamKey } from '../scenario/fleet/fleetConfig.js'
import type { DemoShape } from './demoShapes.js'

const CTL_MAIN = fileURLToPath(import.meta.resolve('@rosemaryspread/operators/ctl/ctlMain.js'))
const execFileAsync = promisify(execFile)

export class DemoContext {
  readonly vmNames: readonly string[]

  constructor (
    readonly shape: DemoShape,
    readonly fleet: Fleet,
    readonly caller: TestCaller
  ) {
    this.vmNames = Object.keys(shape.definition.vms)
  }

  /** Base URL for callers of the VM at this index. */
  callersUrl (index: number): string {
    return this.fleet.vm(this.vmName(index)).callersUrl
  }

  vmName (index: number): string {
    return this.vmNames[index] ?? ''
  }

  /**
   * Builds a streamed completion request.
   * @param index - index into the shape's prompts
   * @param tokens - maximum number of generated tokens
   */
  completion (index: number, tokens: number): RequestSpec {
    const { team, model, prompt } = this.shape.prompts[index] as DemoShape['prompts'][number]
    const body = JSON.stringify({ model, messages: [{ role: 'user', content: prompt }], max_tokens: tokens, stream: true })
    return this.createSpec(team, '/v1/chat/completions', body, true)
  }

  /**
   * Builds a service call that may not be repeated.
   * @param key - its Idempotency-Key
   */
  serviceCall (key: string): RequestSpec {
    const { team } = this.shape.prompts[0] as DemoShape['prompts'][number]
    const spec = this.createSpec(team, `/v1/services/${this.shape.service}/dispatch`, this.shape.order, false)
    return { ...spec, idempotencyKey: key, repeatable: false }
  }

  /**
   * Sends a request once to the VM at this index.
   * @param onStart - called with the attempt before it is sent
   */
  async ask (spec: RequestSpec, index: number, onStart?: (attempt: Attempt) => void): Promise<Attempt> {
    return await this.caller.ask(spec, this.vmName(index), this.callersUrl(index), onStart)
  }

  /** Runs `rosemaryspreadctl` against the first VM and returns its trimmed output. */
  async ctl (...args: string[]): Promise<string> {
    const { operatorsUrl } = this.fleet.vm(this.vmName(0))
    const { stdout } = await execFileAsync(process.execPath, [CTL_MAIN, '--server', operatorsUrl, '--key', OPERATOR_KEY, ...args])
    return stdout.trim()
  }

  /** Runs `rosemaryspreadctl` and parses its JSON output. */
  async ctlJson<T> (...args: string[]): Promise<T> {
    return JSON.parse(await this.ctl('--output', 'json', ...args)) as T
  }

  private createSpec (team: string, path: string, body: string, streamed: boolean): RequestSpec {
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
