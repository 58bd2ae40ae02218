/**
 * Test helper: an in-memory admin service with a versioned configuration and one budget whose
 * top-ups are deduplicated by operation id.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { AdminService, OperatorIdentity, PatchRequest, VmAnswer } from './adminTypes.js'

export const fakeVms: readonly VmAnswer[] = [
  { vm: 'q1', domain: 'quito-centro', address: '10.0.0.1:8001', state: 'live', configVersion: 5, ageMs: 100 },
  { vm: 'c1', domain: 'cumbaya', address: '10.0.1.1:8001', state: 'live', configVersion: 3, ageMs: 9000 },
  { vm: 't1', domain: 'tababela', address: '10.0.2.1:8001', state: 'leaving', configVersion: null, ageMs: 50 },
  { vm: 't2', domain: 'tababela', address: '10.0.2.2:8001', state: 'gone', configVersion: 2, ageMs: 90_000 }
]

function authenticateKey (bearer: string): Either<Failure, OperatorIdentity> {
  if (bearer === 'admin') return Right({ operator: 'ana', role: 'admin' })
  if (bearer === 'view') return Right({ operator: 'luz', role: 'viewer' })
  return Left(new Failure('unauthorized', 'no operator has this key', { ran: 'no' }))
}

export interface FakeAdminService extends AdminService {
  readonly patches: PatchRequest[]
  readonly topUps: Map<string, number>
  teams: Record<string, unknown>
  version: number
}

export function fakeAdminService (): FakeAdminService {
  const budget = { budget: 'viajes', paid: 1000, spent: 200, allotted: 300, inDoubt: 0, holders: [] }
  const fake: FakeAdminService = {
    patches: [],
    topUps: new Map(),
    teams: {},
    version: 4,
    authenticate: authenticateKey,
    config: async (version) => Right({ version: version ?? fake.version, config: { teams: fake.teams } }),
    patch: async (req) => {
      fake.patches.push(req)
      if (req.base !== fake.version) return Left(new Failure('configConflict', `version ${fake.version} is in force`, { ran: 'no' }))
      if (req.dryRun) return Right({ version: fake.version + 1, repeated: false, dryRun: true })
      fake.version++
      return Right({ version: fake.version, repeated: false, dryRun: false })
    },
    history: async () => Right([]),
    topUp: async (name, { operationId, tokens }) => {
      if (budget.paid + tokens < budget.spent + budget.allotted) return Left(new Failure('budgetBelowCommitted', 'too low', { ran: 'no' }))
      fake.topUps.set(operationId, tokens)
      const added = [...fake.topUps.values()].reduce((sum, amount) => sum + amount, 0)
      return Right({ ...budget, budget: name, paid: budget.paid + added })
    },
    budget: async (name) => name === budget.budget ? Right(budget) : Left(new Failure('budgetUnknown', `no budget ${name}`, { ran: 'no' })),
    vms: async () => Right(fakeVms),
    runners: async () => Right([]),
    addresses: () => ({ addresses: ['http://127.0.0.1:8001'], keepMs: 10_000 })
  }
  return fake
}
