/**
 * Three of twelve runners crash at the same moment, each while it runs a request that many consumers send with the same bytes. The VMs take
 * the request for the cause, and refuse it with 400 from then on, though the runners have answered it thousands of times.
 */
import { Agent, request } from 'node:http'
import { randomBytes } from 'node:crypto'
import { setTimeout as pause } from 'node:timers/promises'
import { hasTrouble, runCase } from '../lib/caseRun.mjs'
import { RunnerStandIn } from '../lib/runnerStandIn.mjs'
import { StoreStandIn } from '../lib/storeStandIn.mjs'
import { freeNetwork, VmFleet } from '../lib/vmFleet.mjs'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const HOST = 'front.example'
const KEY = 'key-of-the-tenant'
const DEADLINE_MS = 6_000
const RUNNERS = 12
/** `srv_crash` with share 0.25, for_s 2.0. */
const CRASHED = 3
const DOWN_MS = 2_000
const CONTACT_MS = 3_000
/** Traffic before and after the crash. */
const BEFORE_MS = 10_000
const AFTER_MS = 15_000
const EVERY_MS = 100
const REQUESTS = 4
/** Share of the requests that are about one thing, as `hot_key` has it; here without and with the disruption. */
const HOT_SHARE = 0.28
/** Mean size of a request of this kind. */
const REQUEST_BYTES = 18_000
/** A request that many consumers send with the same bytes. */
const HOT_REQUEST = Buffer.alloc(REQUEST_BYTES, 'draft for the trip of the week, ')

const config = {
  version: 7,
  routes: [{ name: 'itinerary-draft', host: HOST, prefix: '/draft/', routeType: 'streaming', sticky: true, gapAimMs: 200, maxAttempts: 1, timeoutMs: 6_000, targetLatencyMs: 600, priority: 1, service: 'model' }],
  services: [{ name: 'model', maxConnections: 360, healthPath: '/healthz', inferenceEngine: { stride: 3 } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'tenant-1', apiKeys: [KEY] }]
}

await runCase(import.meta.dirname, async ({ record, onEnd }) => {
  const network = await freeNetwork()
  const store = new StoreStandIn()
  onEnd(() => { store.close() })
  store.put('op', 'config', config)
  const address = await store.listen(`${network}1`)
  const events = []
  const note = event => {
    events.push({ ...event, at: performance.now() })
    record(event)
  }
  const runners = []
  const startRunner = async index => {
    const runner = new RunnerStandIn({ service: 'model', zone: ZONES[index % ZONES.length], slots: 64, queue: 134, stream: { events: 34, gapMs: 130 } }, note)
    onEnd(() => { runner.stop() })
    await runner.start(`${network}${101 + index}`, store)
    runners[index] = runner
  }
  for (let index = 0; index < RUNNERS; index += 1) await startRunner(index)
  const fleet = new VmFleet({ network, store: address, zones: ZONES })
  onEnd(async () => { await fleet.stop() })
  await fleet.start()
  await pause(CONTACT_MS)
  const agent = new Agent({ keepAlive: true })
  onEnd(() => { agent.destroy() })
  const open = []
  let crashedAt
  const startedAt = performance.now()
  while (performance.now() < startedAt + BEFORE_MS + AFTER_MS) {
    for (let i = 0; i < REQUESTS; i += 1) open.push(send(fleet.vms[Math.floor(Math.random() * fleet.vms.length)], agent, note))
    await pause(EVERY_MS)
    if (crashedAt !== undefined || performance.now() < startedAt + BEFORE_MS) continue
    crashedAt = performance.now()
    if (!hasTrouble) continue
    for (const [index, runner] of runners.slice(0, CRASHED).entries()) {
      note({ what: 'crash', runner: runner.id, running: runner.running })
      runner.stop()
      // The entry of a runner that crashed goes after three missed reports; it starts again under a new id.
      setTimeout(() => { store.put('servers', runner.id, undefined) }, 3_600).unref()
      setTimeout(() => { startRunner(index).catch(() => {}) }, DOWN_MS).unref()
    }
  }
  await Promise.all(open)
  return judge(events, crashedAt)
})

function send (vm, agent, note) {
  const id = randomBytes(8).toString('hex')
  const isHot = Math.random() < HOT_SHARE
  const body = isHot ? HOT_REQUEST : Buffer.alloc(REQUEST_BYTES, `draft for trip ${id}, `)
  note({ what: 'sent', id, vm: vm.name, isHot })
  return new Promise(resolve => {
    const [host, port] = vm.front.split(':')
    const headers = { Host: HOST, 'X-Request-Id': id, 'X-Deadline-Ms': String(DEADLINE_MS), Authorization: `Bearer ${KEY}`, 'Content-Length': body.length, 'X-Model': 'm', 'X-Token-Count': '2890,51', 'X-Prompt-Prefix': '5c1e07a2:2890' }
    const req = request({ agent, host, port, method: 'POST', path: '/draft/trip', headers }, res => {
      res.resume()
      res.once('close', () => {
        note({ what: res.complete ? 'answered' : 'cut', id, isHot, status: res.statusCode, receipt: res.headers['x-server-signature'] })
        resolve()
      })
    })
    req.setTimeout(DEADLINE_MS, () => { req.destroy() })
    req.on('error', err => {
      note({ what: 'failed', id, detail: err.message })
      resolve()
    })
    req.end(body)
  })
}

/** Requests that a VM ended with a 4xx of its own; the rule allows 5 and one in 500 of all. */
function judge (events, crashedAt) {
  const count = what => events.filter(event => event.what === what).length
  const denied = events.filter(({ what, status, receipt }) => what === 'answered' && receipt === undefined && status >= 400 && status < 500 && ![408, 421, 429].includes(status))
  const allowed = 5 + count('sent') / 500
  const crashed = new Set(events.filter(({ what }) => what === 'crash').map(({ runner }) => runner))
  const ranAt = new Map(events.filter(({ what }) => what === 'runs').map(({ id, runner }) => [id, runner]))
  const cutAtSound = events.filter(({ what, id }) => what === 'cut' && !crashed.has(ranAt.get(id)))
  const last = denied.at(-1)
  return {
    summary: `${count('sent')} requests sent, ${events.filter(({ what, status }) => what === 'answered' && status === 200).length} answered 200, ${count('cut')} cut in the answer, ${cutAtSound.length} of them at runners that did not crash; ${denied.length} ended with a 4xx of a VM (${Math.floor(allowed)} allowed)${denied.length === 0 ? '' : `, ${denied.filter(({ isHot }) => isHot).length} of them the request that many send`}${last === undefined ? '' : `, the last ${Math.round((last.at - crashedAt) / 1_000)} s after the crash`}`,
    broken: denied.length > allowed ? denied.map(({ id, status }) => `DENIED: request ${id} was answered ${status} by the VM`) : []
  }
}
