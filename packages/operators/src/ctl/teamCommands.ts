/**
 * Commands `team create` and `team list`. Teams are part of the configuration, so creating one sends a configuration patch.
 */
import { createHash } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { teamSchema, type TeamConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import { validate } from '@rosemaryspread/http/input/inputChecks.js'
import type { PatchRequest } from '../admin/adminTypes.js'
import { currentConfig, sendPatch } from './configCommands.js'
import type { CtlAction, CtlOutput, CtlSession } from './ctlTypes.js'
import { formatTable } from './textTable.js'

/** Arguments of `team create`. */
export interface CreateTeamArgs {
  readonly id: string
  readonly displayName: string
  readonly budget: string
  readonly models: readonly string[]
  readonly services: readonly string[]
  readonly weight: number
  readonly author: string
}

const maxConflictAttempts = 5
const conflictPauseMs = 200

/** The section of the configuration that lists the teams. */
const teamsSchema = z.object({ teams: z.record(z.string(), teamSchema).default({}) })

/** Team to create, with the id and author of the patch. */
interface TeamPlan {
  readonly id: string
  readonly team: TeamConfig
  readonly patchId: string
  readonly author: string
}

/** `team create`: generates a key, stores only its hash and prints the key once. */
export function createTeam (args: CreateTeamArgs): CtlAction {
  return async (session) => {
    const key = session.io.newKey()
    const plan = createPlan(session, args, key)
    if (plan.isLeft()) return Left(plan.extract())
    const created = await addTeam(session, plan.unsafeCoerce())
    created.ifLeft((failure) => reportPossibleKey(session, args.id, key, failure))
    return created.map((version) => createdOutput(args.id, key, version))
  }
}

/** `team list` */
export const listTeams: CtlAction = async (session) => {
  const config = await currentConfig(session)
  return config.chain(({ config: value }) => parseTeams(value)).map(listOutput)
}

function createPlan ({ io }: CtlSession, args: CreateTeamArgs, key: string): Either<Failure, TeamPlan> {
  const { id, displayName, budget, models, services, weight, author } = args
  const keyHashes = [createHash('sha256').update(key).digest('hex')]
  return validate(teamSchema, { displayName, keyHashes, budget, models, services, weight }, 'team')
    .mapLeft((errors) => new Failure('usage', 'invalid team', { ran: 'no', errors }))
    .map((team) => ({ id, team, patchId: io.newId(), author }))
}

async function addTeam (session: CtlSession, plan: TeamPlan): Promise<Either<Failure, number>> {
  session.io.err(`patch id: ${plan.patchId}`)
  let outcome = await attemptAddTeam(session, plan)
  for (let attempts = 1; attempts < maxConflictAttempts && isConflict(outcome); attempts++) {
    await session.io.pause(attempts * conflictPauseMs)
    outcome = await attemptAddTeam(session, plan)
  }
  return outcome
}

async function attemptAddTeam (session: CtlSession, plan: TeamPlan): Promise<Either<Failure, number>> {
  const config = await currentConfig(session)
  const patch = config.chain(({ version, config: value }) => parseTeams(value).chain((teams) => createAddPatch(plan, version, teams)))
  if (patch.isLeft()) return Left(patch.extract())
  const answer = await sendPatch(session, patch.unsafeCoerce())
  return answer.map(({ version }) => version)
}

/** An `add` operation replaces an existing member, so the patch is built only on a base without a team of this name. */
function createAddPatch (plan: TeamPlan, base: number, teams: Readonly<Record<string, TeamConfig>>): Either<Failure, PatchRequest> {
  const { id, team, patchId, author } = plan
  const keyHash = team.keyHashes[0] ?? ''
  const existing = Object.hasOwn(teams, id) ? teams[id] : undefined
  if (existing !== undefined && !existing.keyHashes.includes(keyHash)) {
    return Left(new Failure('patchInvalid', `team ${id} exists already`, { ran: 'no' }))
  }
  const operation = { op: 'add', path: `/teams/${id}`, value: team }
  return Right({ base, patchId, author, dryRun: false, patch: [operation] })
}

function isConflict (outcome: Either<Failure, unknown>): boolean {
  return outcome.swap().toMaybe().extract()?.code === 'configConflict'
}

function reportPossibleKey ({ io }: CtlSession, id: string, key: string, failure: Failure): void {
  if (failure.ran === 'unknown') io.err(`team ${id} may have been created; in that case its key is: ${key}`)
}

function createdOutput (team: string, key: string, version: number): CtlOutput {
  return {
    value: { team, key, version },
    text: `team ${team} is created in version ${version}\nkey (shown only now): ${key}`
  }
}

function parseTeams (config: unknown): Either<Failure, Record<string, TeamConfig>> {
  return validate(teamsSchema, config, 'config').bimap(
    (errors) => new Failure('internal', 'invalid teams in the configuration', { ran: 'unknown', errors }),
    ({ teams }) => teams
  )
}

function listOutput (teams: Readonly<Record<string, TeamConfig>>): CtlOutput {
  const entries = Object.entries(teams)
  const rows = entries.map(([id, { displayName, budget, models, services, weight, keyHashes }]) =>
    [id, displayName, budget, models.join(' '), services.join(' '), weight, keyHashes.length])
  return {
    value: entries.map(([id, { keyHashes, ...team }]) => ({ team: id, ...team, keys: keyHashes.length })),
    text: formatTable(['TEAM', 'NAME', 'BUDGET', 'MODELS', 'SERVICES', 'WEIGHT', 'KEYS'], rows)
  }
}
