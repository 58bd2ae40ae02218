/**
 * Which budgets a VM prepares, and when.
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
  const told: string[] = []
  const preparation = new BudgetPreparation(vm, { prepare: budget => { told.push(budget) } })
  for (const [config, mono] of ticks) preparation.tick(config, mono)
  return told
}

describe('BudgetPreparation', () => {
  const cases = [
    { name: 'prepares prepaid teams only', ticks: [[configOf(1, 2, 3), 0]] as const, told: 2 },
    { name: 'does not prepare again at once', ticks: [[configOf(1, 2), 0], [configOf(1, 2), 1_000]] as const, told: 2 },
    { name: 'prepares again from time to time', ticks: [[configOf(1, 2), 0], [configOf(1, 2), 5_000]] as const, told: 4 },
    { name: 'prepares at once what a new configuration declares', ticks: [[configOf(1, 2), 0], [configOf(2, 3), 1]] as const, told: 5 },
    { name: 'bounds the number of budgets', ticks: [[configOf(1, 1_000), 0]] as const, told: 64 }
  ]
  for (const { name, ticks, told } of cases) {
    it(name, () => { expect(prepared('vm1', ticks)).to.have.length(told) })
  }

  it('has VMs prepare different budgets where there are many', () => {
    const [one, other] = ['vm1', 'vm2'].map(vm => new Set(prepared(vm, [[configOf(1, 1_000), 0]])))
    expect([...one ?? []].filter(team => other?.has(team)).length).to.be.below(20)
  })
})
