/**
 * Runners answer some requests twice, and the second answer comes late, where the next answer is due on the connection. Where it is the
 * rejection of an earlier request, the VM takes it for the rejection of the request that it has just sent, and promises its consumer that
 * it has not run.
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
const PROMISES = new Set([408, 421, 429, 503])
const DEADLINE_MS = 3_000
const TRAFFIC_MS = 85_000
/** Requests that come together; a clump that is spread unevenly is more than a runner has room for. */
const CLUMP = 14
const CLUMP_MS = 120
/** The disruption: 2 of 3 runners answer one request in 34 twice, for 5 s each, as `garble` with `extra late`, share 0.6, x 0.03, for_s 5.0. */
const FAULTY_RUNNERS = 2
const FAULTY_ANSWER = 34
const FAULTY_MS = 5_000
const PAUSE_MS = 1_000
/** The VMs have run for `contactMs` when the first request is sent. */
const CONTACT_MS = 3_000

const config = {
  version: 7,
  routes: [{ name: 'escort-dispatch', host: HOST, prefix: '/dispatch/', routeType: 'non_idempotent', maxAttempts: 1, timeoutMs: 1_500, targetLatencyMs: 300, priority: 2, service: 'app' }],
  services: [{ name: 'app', maxConnections: 96, healthPath: '/healthz' }],
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
    events.push(event)
    record(event)
  }
  const runners = ZONES.map(zone => new RunnerStandIn({ service: 'app', zone, slots: 3, queue: 2, workMs: () => 30 + Math.random() * 60 }, note))
  for (const [index, runner] of runners.entries()) {
    onEnd(() => { runner.stop() })
    await runner.start(`${network}${101 + index}`, store)
  }
  const fleet = new VmFleet({ network, store: address, zones: ZONES })
  onEnd(async () => { await fleet.stop() })
  await fleet.start()
  await pause(CONTACT_MS)
  if (hasTrouble) for (const runner of runners.slice(0, FAULTY_RUNNERS)) answerTwice(runner, note)
  const agent = new Agent({ keepAlive: true })
  onEnd(() => { agent.destroy() })
  const open = []
  const until = performance.now() + TRAFFIC_MS
  while (performance.now() < until) {
    for (let i = 0; i < CLUMP; i += 1) open.push(dispatch(fleet.vms, agent, note))
    await pause(CLUMP_MS)
  }
  await Promise.all(open)
  await pause(1_000)
  return judge(events)
})

/** Makes a runner send some answers once more when the next request has arrived on their connection. */
function answerTwice (runner, note) {
  const startedAt = performance.now()
  const isFaulty = () => (performance.now() - startedAt) % (FAULTY_MS + PAUSE_MS) < FAULTY_MS
  let answers = 0
  runner.beforeAnswer = (connection, bytes, { id, status }) => {
    if (!isFaulty()) return
    answers += 1
    if (answers % FAULTY_ANSWER === 0) connection.extra = { bytes, id, status }
  }
  runner.onArrival = connection => {
    if (connection.extra === undefined) return
    const { bytes, id, status } = connection.extra
    connection.extra = undefined
    connection.socket.write(bytes)
    note({ what: 'answered again', runner: runner.id, id, status })
  }
}

/** One dispatch: the consumer tries again once, after a promise that its first attempt has not run and never will. */
async function dispatch (vms, agent, note) {
  const first = await send(pick(vms), agent, note)
  if (!PROMISES.has(first.status)) return
  await pause(Math.min(Number(first.retryAfter ?? 0) * 1_000, DEADLINE_MS / 3))
  await send(pick(vms), agent, note, first.id)
}

function pick (vms) {
  return vms[Math.floor(Math.random() * vms.length)]
}

/** One attempt with an id of its own. */
function send (vm, agent, note, repeatOf) {
  const id = randomBytes(8).toString('hex')
  const body = Buffer.from(`dispatch ${repeatOf ?? id}`)
  note({ what: 'sent', id, vm: vm.name, repeatOf })
  return new Promise(resolve => {
    const [host, port] = vm.front.split(':')
    const headers = { Host: HOST, 'X-Request-Id': id, 'X-Deadline-Ms': String(DEADLINE_MS), Authorization: `Bearer ${KEY}`, 'Content-Length': body.length }
    const req = request({ agent, host, port, method: 'POST', path: `/dispatch/${id.slice(0, 2)}`, headers }, res => {
      res.resume()
      res.once('close', () => {
        const { 'x-server-signature': receipt, 'retry-after': retryAfter } = res.headers
        note({ what: 'answered', id, status: res.statusCode, receipt, retryAfter })
        resolve({ id, status: res.statusCode, retryAfter })
      })
    })
    req.setTimeout(DEADLINE_MS, () => { req.destroy() })
    req.on('error', err => {
      note({ what: 'failed', id, detail: err.message })
      resolve({ id })
    })
    req.end(body)
  })
}

/** Attempts that were answered with a promise of the VM and ran, at any time; and dispatches of which two attempts ran. */
function judge (events) {
  const runs = new Map(events.filter(({ what }) => what === 'runs').map(({ id, runner }) => [id, runner]))
  const count = what => events.filter(event => event.what === what).length
  const again = events.filter(({ what }) => what === 'answered again')
  const refused = events.filter(({ what, status, receipt, id }) => what === 'answered' && PROMISES.has(status) && receipt === undefined && runs.has(id))
  const doubled = events.filter(({ what, id, repeatOf }) => what === 'sent' && runs.has(id) && runs.has(repeatOf))
  return {
    summary: `${count('sent')} attempts sent, ${count('rejected')} rejected by runners, ${again.length} answers sent again (${again.filter(({ status }) => status !== 200).length} of them rejections), ${refused.length} attempts refused that ran, ${doubled.length} dispatches ran twice as their consumers tried again`,
    broken: refused.map(({ id, status }) => `REFUSED: attempt ${id} was answered ${status} and ran at ${runs.get(id)}`)
  }
}
