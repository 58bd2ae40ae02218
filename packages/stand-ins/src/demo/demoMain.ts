/**
 * Entry point of `npm run demo`: starts a whole deployment on loopback, runs the demo steps, then
 * leaves it up for requests by hand.
 */
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { TestCaller } from '../scenario/callers/testCaller.js'
import { OPERATOR_KEY } from '../scenario/callers/testOperator.js'
import { Fleet } from '../scenario/fleet/fleet.js'
import { teamKey } from '../scenario/fleet/fleetConfig.js'
import { DemoContext } from './demoContext.js'
import { demoShapes, type DemoShape } from './demoShapes.js'
import { demoSteps } from './demoSteps.js'

/** Runs the steps until one fails; returns whether all passed. */
async function runSteps (ctx: DemoContext): Promise<boolean> {
  for (const [index, step] of demoSteps.entries()) {
    const label = `${index + 1}/${demoSteps.length} ${step.title}`
    try {
      console.log(`ok     ${label}: ${await step.run(ctx)}`)
    } catch (err) {
      console.log(`FAILED ${label}: ${err instanceof Error ? err.message : String(err)}`)
      return false
    }
  }
  return true
}

function printUsageHints (ctx: DemoContext): void {
  const { team, model } = ctx.shape.prompts[0] as DemoShape['prompts'][number]
  const { operatorsUrl } = ctx.fleet.vm(ctx.vmName(0))
  console.log(`
Send your own requests:
  curl -N ${ctx.callersUrl(0)}/v1/chat/completions -H 'Authorization: Bearer ${teamKey(team)}' \\
    -H 'Content-Type: application/json' -H 'Idempotency-Key: my-first' \\
    -d '{"model":"${model}","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"hola"}]}'
Show the bill:
  npx rosemaryspreadctl --server ${operatorsUrl} --key ${OPERATOR_KEY} budget show budget-a
Stop with Ctrl-C.`)
}

async function main (): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .scriptName('npm run demo --')
    .option('once', { type: 'boolean', default: false, describe: 'exit after the steps; exit code 0 only if all passed' })
    .option('shape', { choices: Object.keys(demoShapes), default: 'manos', describe: 'deployment to start' })
    .strict()
    .parse()
  const shape = demoShapes[args.shape] as DemoShape
  const folder = await mkdtemp(join(tmpdir(), 'rosemaryspread-demo-'))
  console.log(`${shape.name}: ${Object.keys(shape.definition.vms).length} VMs; settings and logs in ${folder}`)
  const fleet = await Fleet.start({ definition: shape.definition, folder, links: false, faultyPart: undefined })
  const ctx = new DemoContext(shape, fleet, new TestCaller())
  const stop = (): void => { fleet.killAll().finally(() => process.exit(0)) }
  process.once('SIGINT', stop)
  process.once('SIGTERM', stop)
  const allPassed = await runSteps(ctx)
  if (allPassed && !args.once) {
    printUsageHints(ctx)
    return
  }
  await fleet.killAll()
  process.exit(allPassed ? 0 : 1)
}

await main()
