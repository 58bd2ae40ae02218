/**
 * The requests of a scenario by the names that its steps give them, with all asks of each.
 */
import { bodyDigest, keyedRequestId } from '@rosemaryspread/decisions/request/requestIdentity.js'
import type { Ask, RequestSpec } from '../callers/callerTypes.js'
import { teamKey } from '../fleet/fleetConfig.js'
import type { FleetHead, LoadStep, RequestStep } from '../language/scenarioSchema.js'

/** One named request. */
export interface NamedRequest {
  readonly spec: RequestSpec
  readonly asks: Ask[]
}

/** Requests by name. */
export class RequestBook {
  private readonly requests = new Map<string, NamedRequest>()

  /** @param head - teams and services of the scenario */
  constructor (private readonly head: FleetHead) {}

  /**
   * The request of a name; an unknown name is an error of the scenario.
   * @param name - its name
   */
  get (name: string): NamedRequest {
    const found = this.requests.get(name)
    if (found === undefined) throw new Error(`there is no request '${name}'`)
    return found
  }

  /**
   * Enters a request.
   * @param name - its name
   * @param spec - what is sent
   */
  add (name: string, spec: RequestSpec): NamedRequest {
    const request = { spec, asks: [] }
    this.requests.set(name, request)
    return request
  }

  /**
   * Enters a repeat of a request, with the same key.
   * @param of - name of the first
   * @param as - name of the repeat
   * @param otherBody - whether another body is sent under the key
   */
  repeat (of: string, as: string, otherBody: boolean): NamedRequest {
    const { spec } = this.get(of)
    if (!otherBody) return this.add(as, spec)
    const body = spec.body.replace(/^\{/, '{"other":true,')
    return this.add(as, { ...spec, body, digest: bodyDigest(body) })
  }

  /**
   * What a request step sends.
   * @param step - the step
   */
  specOf (step: RequestStep): RequestSpec {
    if (step.service !== undefined) return this.serviceSpec(step, step.service)
    return this.modelSpec(step.team, step.model ?? '', step.key, step.tokens, step.prompt ?? `request ${step.as}`, step.timeoutMs)
  }

  /**
   * What one request of a load sends.
   * @param step - the step
   * @param index - its place in the load
   */
  loadSpecOf (step: LoadStep, index: number): RequestSpec {
    const name = `${step.as}-${index}`
    return this.modelSpec(step.team, step.model, name, step.tokens, `request ${name}`, undefined)
  }

  private modelSpec (team: string, model: string, key: string | undefined, tokens: number, prompt: string, timeoutMs: number | undefined): RequestSpec {
    const body = JSON.stringify({ model, messages: [{ role: 'user', content: prompt }], max_tokens: tokens, stream: true })
    return { ...this.commonSpec(team, key, body, timeoutMs), path: '/v1/chat/completions', repeatable: true, streamed: true }
  }

  private serviceSpec (step: RequestStep, service: string): RequestSpec {
    const body = JSON.stringify({ order: step.prompt ?? step.as })
    const patterns = this.head.services[service]?.notRepeatable ?? ['/*']
    const repeatable = !patterns.some(pattern => fits(step.path, pattern))
    const common = this.commonSpec(step.team, step.key, body, step.timeoutMs)
    return { ...common, path: `/v1/services/${service}${step.path}`, repeatable, streamed: false }
  }

  private commonSpec (team: string, key: string | undefined, body: string, timeoutMs: number | undefined) {
    return {
      team,
      teamKey: teamKey(team),
      body,
      digest: bodyDigest(body),
      idempotencyKey: key,
      requestId: key === undefined ? undefined : keyedRequestId(team, key),
      timeoutMs
    }
  }
}

function fits (path: string, pattern: string): boolean {
  return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern
}
