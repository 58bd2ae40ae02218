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
import { textTable } from './textTable.js'

/** Arguments of `team create`. */
export interface TeamArgs {
  readonly id: string
  readonly displayName: string
  readonly budget: string
  readonly models: readonly string[]
  readonly services: readonly string[]
  readonly weight: number
  readonly author: string
}

const conflictTries = 5
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
export function createTeam (args: TeamArgs): CtlAction {
  return async (session) => {
    const key = session.io.newKey()
    const plan = teamPlan(session, args, key)
    if (plan.isLeft()) return Left(plan.extract())
    const created = await addTeam(session, plan.unsafeCoerce())
    created.ifLeft((failure) => keepKey(session, args.id, key, failure))
    return created.map((version) => createdOutput(args.id, key, version))
  }
}

/** `team list` */
export const listTeams: CtlAction = async (session) => {
  const config = await currentConfig(session)
  return config.chain(({ config: value }) => teamsOf(value)).map(listOutput)
}

function teamPlan ({ io }: CtlSession, args: TeamArgs, key: string): Either<Failure, TeamPlan> {
  const { id, displayName, budget, models, services, weight, author } = args
  const keyHashes = [createHash('sha256').update(key).digest('hex')]
  return validate(teamSchema, { displayName, keyHashes, budget, models, services, weight }, 'team')
    .mapLeft((errors) => new Failure('usage', 'invalid team', { errors }))
    .map((team) => ({ id, team, patchId: io.newId(), author }))
}

async function addTeam (session: CtlSession, plan: TeamPlan): Promise<Either<Failure, number>> {
  session.io.err(`patch id: ${plan.patchId}`)
  let outcome = await tryAddTeam(session, plan)
  for (let tries = 1; tries < conflictTries && isConflict(outcome); tries++) {
    await session.io.pause(tries * conflictPauseMs)
    outcome = await tryAddTeam(session, plan)
  }
  return outcome
}

async function tryAddTeam (session: CtlSession, plan: TeamPlan): Promise<Either<Failure, number>> {
  const config = await currentConfig(session)
  const patch = config.chain(({ version, config: value }) => teamsOf(value).chain((teams) => addition(plan, version, teams)))
  if (patch.isLeft()) return Left(patch.extract())
  const answer = await sendPatch(session, patch.unsafeCoerce())
  return answer.map(({ version }) => version)
}

/** An `add` operation replaces an existing member, so the patch is built only on a base without a team of this name. */
function addition (plan: TeamPlan, base: number, teams: Readonly<Record<string, TeamConfig>>): Either<Failure, PatchRequest> {
  const { id, team, patchId, author } = plan
  const ownHash = team.keyHashes[0] ?? ''
  const existing = Object.hasOwn(teams, id) ? teams[id] : undefined
  if (existing !== undefined && !existing.keyHashes.includes(ownHash)) {
    return Left(new Failure('patchInvalid', `team ${id} exists already`))
  }
  const operation = { op: 'add', path: `/teams/${id}`, value: team }
  return Right({ base, patchId, author, dryRun: false, patch: [operation] })
}

function isConflict (outcome: Either<Failure, unknown>): boolean {
  return outcome.swap().toMaybe().extract()?.code === 'configConflict'
}

function keepKey ({ io }: CtlSession, id: string, key: string, failure: Failure): void {
  if (failure.ran === 'unknown') io.err(`team ${id} may have been created; in that case its key is: ${key}`)
}

function createdOutput (team: string, key: string, version: number): CtlOutput {
  return {
    value: { team, key, version },
    text: `team ${team} is created in version ${version}\nkey (shown only now): ${key}`
  }
}

function teamsOf (config: unknown): Either<Failure, Record<string, TeamConfig>> {
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
    text: textTable(['TEAM', 'NAME', 'BUDGET', 'MODELS', 'SERVICES', 'WEIGHT', 'KEYS'], rows)
  }
}
