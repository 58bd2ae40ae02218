/**
 * Operator that calls the admin API of a VM.
 */
import { createHash } from 'node:crypto'
import got from 'got'
import * as z from 'zod'
import { configAnswerSchema } from '@rosemaryspread/operators/admin/adminTypes.js'

/** API key of the operator in scenarios and the demo. */
export const OPERATOR_KEY = 'scenario-operator-key'
const AUTHOR = 'scenario'
const CALL_TIMEOUT_MS = 20_000

/** Hash of the operator's key, for the settings of VMs. */
export const operatorKeyHash = createHash('sha256').update(OPERATOR_KEY).digest('hex')

/** Result of a call: its HTTP status, 0 when the answer was lost, and the name of the result code. */
export interface OperatorOutcome {
  readonly status: number
  readonly name: string | undefined
}

/** One RFC 6902 operation. */
export type PatchOperation = Readonly<Record<string, unknown>>

/** Body of a patch call, without the author. */
export interface PatchCall {
  readonly base: number
  readonly patchId: string
  readonly patch: readonly PatchOperation[]
}

const problemSchema = z.object({ name: z.string() })

export class TestOperator {
  /**
   * Sends a configuration patch.
   * @param baseUrl - address of a VM for operators
   */
  async patch (baseUrl: string, call: PatchCall): Promise<OperatorOutcome> {
    return await this.post(`${baseUrl}/admin/v1/config/patches`, { ...call, author: AUTHOR })
  }

  /**
   * Sends a top-up.
   * @param baseUrl - address of a VM for operators
   * @param operationId - id of the top-up, the same for repeats
   */
  async topUp (baseUrl: string, budget: string, operationId: string, tokens: number): Promise<OperatorOutcome> {
    return await this.post(`${baseUrl}/admin/v1/budgets/${budget}/topups`, { operationId, tokens, author: AUTHOR })
  }

  /**
   * Fetches the configuration version of a VM; `undefined` when it does not answer with one.
   * @param baseUrl - address of a VM for operators
   */
  async version (baseUrl: string): Promise<number | undefined> {
    const response = await got.get(`${baseUrl}/admin/v1/config`, this.options()).catch(() => undefined)
    if (response?.statusCode !== 200) return undefined
    return configAnswerSchema.parse(JSON.parse(response.body)).version
  }

  private async post (url: string, json: object): Promise<OperatorOutcome> {
    const response = await got.post(url, { ...this.options(), json }).catch(() => undefined)
    if (response === undefined) return { status: 0, name: undefined }
    if (response.statusCode < 400) return { status: response.statusCode, name: undefined }
    return { status: response.statusCode, name: problemName(response.body) }
  }

  private options () {
    return {
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: CALL_TIMEOUT_MS }
    }
  }
}

function problemName (body: string): string | undefined {
  try {
    return problemSchema.safeParse(JSON.parse(body)).data?.name
  } catch {
    return undefined
  }
}
