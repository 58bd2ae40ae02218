/**
 * Steps of the demo. Each performs one operation, checks the result and returns a summary.
 */
import got from 'got'
import type { BudgetAnswer } from '@rosemaryspread/operators/admin/adminTypes.js'
import { checkHistory, renderViolation } from '../history/historyChecker.js'
import { History } from '../history/history.js'
import type { Attempt } from '../scenario/callers/callerTypes.js'
import { waitFor } from '../scenario/fleet/waitFor.js'
import type { DemoContext } from './demoContext.js'

const SHORT_ANSWER_TOKENS = 24
const LONG_ANSWER_TOKENS = 200
const TOP_UP_TOKENS = 5_000
const WAIT_TIMEOUT_MS = 20_000
/** Index of the VM that is stopped while it serves a stream. */
const STOPPED_VM_INDEX = 5

/** One step; `run` throws when a check fails. */
export interface DemoStep {
  readonly title: string
  run (ctx: DemoContext): Promise<string>
}

function assert (holds: boolean, detail: string): void {
  if (!holds) throw new Error(detail)
}

function assertComplete (attempt: Attempt): void {
  assert(attempt.outcome?.kind === 'answered' && attempt.outcome.whole, `incomplete answer: ${JSON.stringify(attempt.outcome)}`)
}

async function fetchBudget (ctx: DemoContext, budget: string): Promise<BudgetAnswer> {
  return await ctx.ctlJson<BudgetAnswer>('budget', 'show', budget)
}

function streamedCompletion (index: number): DemoStep {
  return {
    title: `a streamed answer for team ${index + 1}`,
    run: async ctx => {
      const ask = await ctx.ask(ctx.completion(index, SHORT_ANSWER_TOKENS), index)
      assertComplete(ask)
      return `${ctx.vmName(index)} answered ${ask.pieces} pieces: ${ask.text.trim()}`
    }
  }
}

const listAddresses: DemoStep = {
  title: 'the addresses of all VMs',
  run: async ctx => {
    let response = { addresses: [] as string[], keepMs: 0 }
    await waitFor('all VMs to be listed', WAIT_TIMEOUT_MS, async () => {
      response = await got.get(`${ctx.callersUrl(0)}/v1/addresses`).json()
      return response.addresses.length === ctx.vmNames.length
    })
    return `${response.addresses.join(', ')}; cache for ${response.keepMs} ms`
  }
}

const dispatchOnce: DemoStep = {
  title: 'a dispatch that may not be repeated, sent to two VMs',
  run: async ctx => {
    const first = await ctx.ask(ctx.serviceCall('demo-dispatch'), 1)
    const second = await ctx.ask(ctx.serviceCall('demo-dispatch'), 2)
    assertComplete(first)
    assert(first.text === second.text, 'the repeat received a different answer')
    const runs = new History(await ctx.fleet.history()).of('ran').filter(run => run.requestId === first.requestId)
    assert(runs.length === 1, `the call ran ${runs.length} times, expected 1`)
    return `ran once at ${runs[0]?.runner}; both VMs answered ${first.text}`
  }
}

const topUp: DemoStep = {
  title: 'a top-up, sent twice under one operation id',
  run: async ctx => {
    const before = await fetchBudget(ctx, 'budget-b')
    const args = ['budget', 'topup', 'budget-b', '--tokens', String(TOP_UP_TOKENS), '--operation-id', 'demo-topup', '--author', 'demo']
    await ctx.ctl(...args)
    await ctx.ctl(...args)
    const after = await fetchBudget(ctx, 'budget-b')
    assert(after.paid === before.paid + TOP_UP_TOKENS, `paid tokens went from ${before.paid} to ${after.paid}`)
    return `paid ${before.paid} -> ${after.paid}`
  }
}

const patchConfig: DemoStep = {
  title: 'a configuration patch, in force on all VMs',
  run: async ctx => {
    const before = await ctx.ctlJson<{ version: number }>('config', 'get')
    const vms = [...ctx.fleet.vms.values()]
    const url = ctx.fleet.vm(ctx.vmName(0)).operatorsUrl
    const patch = [{ op: 'add', path: '/limits/requestTimeoutMs', value: 90_000 }]
    const response = await ctx.fleet.operator.patch(url, { base: before.version, patchId: 'demo-patch', patch })
    assert(response.status === 200 || response.status === 201, `the patch was answered with ${response.status} ${response.name ?? ''}`)
    const next = before.version + 1
    await waitFor('the patch in force everywhere', WAIT_TIMEOUT_MS, () => vms.every(vm => vm.versionInForce >= next))
    return `version ${next} is in force on ${vms.length} VMs`
  }
}

const stopUnderStream: DemoStep = {
  title: 'a graceful stop of one VM during a stream',
  run: async ctx => {
    const vm = ctx.fleet.vm(ctx.vmName(STOPPED_VM_INDEX))
    let attempt: Attempt | undefined
    const finished = ctx.ask(ctx.completion(0, LONG_ANSWER_TOKENS), STOPPED_VM_INDEX, started => { attempt = started })
    await waitFor('the stream to start', WAIT_TIMEOUT_MS, () => (attempt?.pieces ?? 0) > 1)
    const piecesAtStop = attempt?.pieces ?? 0
    await ctx.fleet.stopVm(vm.name)
    assertComplete(await finished)
    await waitFor('the VM to stop', WAIT_TIMEOUT_MS, () => !vm.running)
    assert(vm.exitCode === 0, `the VM exited with code ${vm.exitCode}`)
    return `stopped after ${piecesAtStop} pieces; all ${attempt?.pieces} pieces arrived, exit code 0`
  }
}

const checkBills: DemoStep = {
  title: 'the bills and the budgets',
  run: async ctx => {
    const fetchSpent = async (budget: string): Promise<number> => (await fetchBudget(ctx, budget)).spent
    const sumBilled = async (budget: string): Promise<number> => new History(await ctx.fleet.history()).of('billed')
      .filter(bill => bill.budget === budget)
      .reduce((sum, bill) => sum + bill.tokens, 0)
    const answeredIds = new Set(ctx.caller.records.flatMap(record => record.kind === 'answered' && record.whole ? [record.requestId] : []))
    await waitFor('a bill for each answer', WAIT_TIMEOUT_MS, async () => {
      const billedIds = new Set(new History(await ctx.fleet.history()).of('billed').map(({ requestId }) => requestId))
      const completions = ctx.caller.attempts.filter(({ asked }) => asked.repeatable && answeredIds.has(asked.requestId))
      return completions.every(({ requestId }) => billedIds.has(requestId))
    })
    for (const budget of Object.keys(ctx.shape.definition.budgets)) {
      assert(await fetchSpent(budget) === await sumBilled(budget), `the sum of bills and the spent tokens of ${budget} differ`)
    }
    const rows = new History(await ctx.fleet.history()).of('billed')
      .map(bill => `  bill ${bill.requestId}: ${bill.tokens} tokens of ${bill.budget} by ${bill.holder}`)
    const budgetOutputs = await Promise.all(Object.keys(ctx.shape.definition.budgets).map(async budget => await ctx.ctl('budget', 'show', budget)))
    return ['', ...rows, ...budgetOutputs].join('\n')
  }
}

const checkPromises: DemoStep = {
  title: 'the recorded history checked against every promise',
  run: async ctx => {
    const records = [...await ctx.fleet.history(), ...ctx.caller.records]
    const violations = checkHistory(records)
    assert(violations.length === 0, violations.map(renderViolation).join('\n'))
    return `${records.length} records, no promise broken`
  }
}

/** All steps in order. */
export const demoSteps: readonly DemoStep[] = [
  listAddresses, streamedCompletion(0), streamedCompletion(1), dispatchOnce, topUp, patchConfig, stopUnderStream, checkBills, checkPromises
]
