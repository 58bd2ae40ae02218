/**
 * Requests of a scenario by the names that its steps assign, with all attempts of each.
 */
import { bodyDigest, keyedRequestId } from '@rosemaryspread/decisions/request/requestIdentity.js'
import type { Attempt, RequestSpec } from '../callers/callerTypes.js'
import { teamKey } from '../fleet/fleetConfig.js'
import type { FleetDefinition, LoadStep, RequestStep } from '../language/scenarioSchema.js'

/** A request and all its attempts, in the order sent. */
export interface NamedRequest {
  readonly spec: RequestSpec
  readonly attempts: Attempt[]
}

export class RequestRegistry {
  private readonly requests = new Map<string, NamedRequest>()

  constructor (private readonly definition: FleetDefinition) {}

  /** The request of this name; throws when the scenario has none. */
  get (name: string): NamedRequest {
    const request = this.requests.get(name)
    if (request === undefined) throw new Error(`there is no request '${name}'`)
    return request
  }

  /** Registers a request. */
  add (name: string, spec: RequestSpec): NamedRequest {
    const request = { spec, attempts: [] }
    this.requests.set(name, request)
    return request
  }

  /**
   * Registers a repeat of a request under the same idempotency key.
   * @param otherBody - whether to send a different body under that key
   */
  repeat (originalName: string, repeatName: string, otherBody: boolean): NamedRequest {
    const { spec } = this.get(originalName)
    if (!otherBody) return this.add(repeatName, spec)
    const body = spec.body.replace(/^\{/, '{"other":true,')
    return this.add(repeatName, { ...spec, body, digest: bodyDigest(body) })
  }

  /** Builds the request of a `request` step. */
  createSpec (step: RequestStep): RequestSpec {
    if (step.service !== undefined) return this.serviceSpec(step, step.service)
    return this.modelSpec(step.team, step.model ?? '', step.key, step.tokens, step.prompt ?? `request ${step.as}`, step.timeoutMs)
  }

  /**
   * Builds one request of a `load` step.
   * @param index - position within the load
   */
  createLoadSpec (step: LoadStep, index: number): RequestSpec {
    const name = `${step.as}-${index}`
    return this.modelSpec(step.team, step.model, name, step.tokens, `request ${name}`, undefined)
  }

  private modelSpec (team: string, model: string, key: string | undefined, tokens: number, prompt: string, timeoutMs: number | undefined): RequestSpec {
    const body = JSON.stringify({ model, messages: [{ role: 'user', content: prompt }], max_tokens: tokens, stream: true })
    return { ...this.commonSpec(team, key, body, timeoutMs), path: '/v1/chat/completions', repeatable: true, streamed: true }
  }

  private serviceSpec (step: RequestStep, service: string): RequestSpec {
    const body = JSON.stringify({ order: step.prompt ?? step.as })
    const patterns = this.definition.services[service]?.notRepeatable ?? ['/*']
    const repeatable = !patterns.some(pattern => matchesPattern(step.path, pattern))
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

function matchesPattern (path: string, pattern: string): boolean {
  return pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern
}
