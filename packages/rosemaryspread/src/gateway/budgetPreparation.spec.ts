/**
 * Guards against first requests of prepaid teams that find no tokens on a VM cut off from the store, and
 * against unbounded preparation.
 */
import { expect } from 'chai'
import { gatewayConfigSchema, type GatewayConfig } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import { BudgetPreparation } from './budgetPreparation.js'

function configOf (version: number, prepaid: number, unlimited = 0): GatewayConfig {
  const teams = Object.fromEntries([
    ...Array.from({ length: prepaid }, (_, i) => [`p${i}`, { keyHashes: [], prepaidTokens: 1 }]),
    ...Array.from({ length: unlimited }, (_, i) => [`u${i}`, { keyHashes: [] }])
  ])
  return gatewayConfigSchema.parse({ version, routes: [], services: {}, teams })
}

function prepared (vm: string, ticks: ReadonlyArray<readonly [GatewayConfig, number]>): readonly string[] {
  const budgets: string[] = []
  const preparation = new BudgetPreparation(vm, { prepare: budget => { budgets.push(budget) } })
  for (const [config, mono] of ticks) preparation.tick(config, mono)
  return budgets
}

describe('BudgetPreparation', () => {
  const cases = [
    { name: 'does not prepare teams without a budget', ticks: [[configOf(1, 2, 3), 0]] as const, count: 2 },
    { name: 'does not prepare again within the interval', ticks: [[configOf(1, 2), 0], [configOf(1, 2), 1_000]] as const, count: 2 },
    { name: 'prepares again after the interval', ticks: [[configOf(1, 2), 0], [configOf(1, 2), 5_000]] as const, count: 4 },
    { name: 'prepares at once after a configuration change', ticks: [[configOf(1, 2), 0], [configOf(2, 3), 1]] as const, count: 5 },
    { name: 'limits the number of budgets', ticks: [[configOf(1, 1_000), 0]] as const, count: 64 }
  ]
  for (const { name, ticks, count: expectedCount } of cases) {
    it(name, () => { expect(prepared('vm1', ticks)).to.have.length(expectedCount) })
  }

  it('prepares different budgets on different VMs where there are too many', () => {
    const [one, other] = ['vm1', 'vm2'].map(vm => new Set(prepared(vm, [[configOf(1, 1_000), 0]])))
    expect([...one ?? []].filter(team => other?.has(team)).length).to.be.below(20)
  })
})
