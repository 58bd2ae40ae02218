/**
 * Commands `config get`, `config patch`, `config history` and `config status`.
 */
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import { stringify } from 'yaml'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { validate } from '@rosemaryspread/http/input/inputChecks.js'
import { configAnswerSchema, historyEntrySchema, patchAnswerSchema, patchRequestSchema, type HistoryEntry, type PatchAnswer, type PatchRequest } from '../admin/adminTypes.js'
import { configStatusSchema, type ConfigStatus } from '../admin/configStatus.js'
import type { CtlAction, CtlIo, CtlOutput, CtlSession } from './ctlTypes.js'
import { formatAge, formatTable } from './textTable.js'

const configPath = '/admin/v1/config'

/** Arguments of `config patch`. */
export interface PatchArgs {
  readonly file: string
  readonly base?: number
  readonly patchId?: string
  readonly author: string
  readonly dryRun: boolean
}

/**
 * `config get`
 * @param version - defaults to the version in force
 */
export function getConfig (version?: number): CtlAction {
  const query = version === undefined ? '' : `?version=${version}`
  return async ({ client }) => {
    const answer = await client.get(`${configPath}${query}`, configAnswerSchema)
    return answer.map((value) => ({ value, text: `# version ${value.version}\n${stringify(value.config).trimEnd()}` }))
  }
}

/** `config patch` */
export function patchConfig (args: PatchArgs): CtlAction {
  return (session) => EitherAsync.fromPromise(() => readPatch(session.io, args.file))
    .chain((patch) => createPatchRequest(session, args, patch))
    .chain((req) => sendPatch(session, req))
    .map(patchOutput)
    .run()
}

/** `config history`, newest first. */
export function showHistory (limit: number): CtlAction {
  const schema = z.object({ entries: z.array(historyEntrySchema) })
  return async ({ client }) => {
    const answer = await client.get(`${configPath}/history?limit=${limit}`, schema)
    return answer.map(({ entries }) => ({ value: entries, text: historyText(entries) }))
  }
}

/** `config status` */
export const showStatus: CtlAction = async ({ client }) => {
  const answer = await client.get(`${configPath}/status`, configStatusSchema)
  return answer.map((value) => ({ value, text: statusText(value) }))
}

export async function sendPatch ({ client }: CtlSession, req: PatchRequest): Promise<Either<Failure, PatchAnswer>> {
  return await client.post(`${configPath}/patches`, req, patchAnswerSchema)
}

/** Fetches the configuration in force. */
export async function currentConfig ({ client }: CtlSession): Promise<Either<Failure, z.output<typeof configAnswerSchema>>> {
  return await client.get(configPath, configAnswerSchema)
}

async function readPatch (io: CtlIo, file: string): Promise<Either<Failure, PatchRequest['patch']>> {
  try {
    const value: unknown = JSON.parse(await io.read(file))
    return validate(patchRequestSchema.shape.patch, value, 'patch')
      .mapLeft((errors) => new Failure('usage', `${file} is not a valid list of RFC 6902 operations`, { ran: 'no', errors }))
  } catch (err) {
    return Left(new Failure('usage', `${file} cannot be read: ${(err as Error).message}`, { ran: 'no' }))
  }
}

async function createPatchRequest (session: CtlSession, args: PatchArgs, patch: PatchRequest['patch']): Promise<Either<Failure, PatchRequest>> {
  const { author, dryRun } = args
  const patchId = args.patchId ?? session.io.newId()
  session.io.err(`patch id: ${patchId}`)
  const base = args.base === undefined
    ? (await currentConfig(session)).map(({ version }) => version)
    : Right(args.base)
  return base.map((version) => ({ base: version, patchId, author, dryRun, patch }))
}

function patchOutput (value: PatchAnswer): CtlOutput {
  return { value, text: patchText(value) }
}

function patchText ({ version, repeated, dryRun }: PatchAnswer): string {
  if (dryRun) return `dry run: the patch would give version ${version}`
  return repeated ? `version ${version} was accepted in an earlier attempt` : `version ${version} is accepted`
}

function historyText (entries: readonly HistoryEntry[]): string {
  const rows = entries.map(({ version, at, author, patchId, patch }) =>
    [version, new Date(at).toISOString(), author, patchId, patch.length])
  return formatTable(['VERSION', 'AT', 'AUTHOR', 'PATCH ID', 'OPERATIONS'], rows)
}

function statusText ({ version, vms }: ConfigStatus): string {
  const rows = vms.map(({ vm, domain, state, configVersion, lags, ageMs }) =>
    [vm, domain, state, configVersion, lags ? 'yes' : 'no', formatAge(ageMs)])
  return `newest version: ${version}\n${formatTable(['VM', 'DOMAIN', 'STATE', 'VERSION', 'LAGS', 'HEARD'], rows)}`
}
