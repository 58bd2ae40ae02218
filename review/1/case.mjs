/**
 * Connections between one VM and the store are reset while configs come in quick succession. Where an answer of the store was on its way, the
 * VM never learns that its call failed: the feed waits for ever, and the VM serves by an old config until it is started anew.
 */
import { Agent, request } from 'node:http'
import { randomBytes } from 'node:crypto'
import { setTimeout as pause } from 'node:timers/promises'
import { hasTrouble, runCase } from '../lib/caseRun.mjs'
import { LinkProxy } from '../lib/linkProxy.mjs'
import { RunnerStandIn } from '../lib/runnerStandIn.mjs'
import { StoreStandIn } from '../lib/storeStandIn.mjs'
import { freeNetwork, VmFleet } from '../lib/vmFleet.mjs'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const HOST = 'front.example'
const KEY = 'key-of-the-tenant'
/** Bandwidth of a VM's link in Mbit/s, the least of the site file. */
const LINK_MBPS = 10
/** The config has many routes beside the one of the requests. */
const MORE_ROUTES = 350
/** `config_storm` with for_s 4.0, gap_s 0.33. */
const STORM_MS = 4_000
const GAP_MS = 330
const STORMS = 5
/** `reset_conns` with share 0.35 (one of three VMs), x 0.55, each half a second during the storms. */
const RESET_SHARE = 0.55
const RESET_EVERY_MS = 500
/** Bounds of the pages: a VM is in touch after `contactMs`, and follows a config after `configApplyMs`. */
const CONTACT_MS = 4_000
const APPLY_MS = 3_000
const WATCH_MS = 15_000
const REQUEST_EVERY_MS = 100

const base = {
  services: [{ name: 'first-app', maxConnections: 96, healthPath: '/healthz' }, { name: 'second-app', maxConnections: 96, healthPath: '/healthz' }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'tenant-1', apiKeys: [KEY] }]
}
const others = Array.from({ length: MORE_ROUTES }, (_, index) => ({
  name: `more-${index}`, host: HOST, prefix: `/more-${index}/`, routeType: 'idempotent', maxAttempts: 2, timeoutMs: 1_500, targetLatencyMs: 300, priority: 2, service: 'first-app'
}))

/** A config of which one route goes to a service. */
function configOf (version, service, timeoutMs = 1_500) {
  const route = { name: 'status-lookup', host: HOST, prefix: '/status/', routeType: 'idempotent', maxAttempts: 2, timeoutMs, targetLatencyMs: 300, priority: 2, service }
  return { version, routes: [route, ...others], ...base }
}

await runCase(import.meta.dirname, async ({ record, onEnd }) => {
  const network = await freeNetwork()
  const store = new StoreStandIn()
  onEnd(() => { store.close() })
  let version = 7
  store.put('op', 'config', configOf(version, 'first-app'))
  const address = await store.listen(`${network}1`)
  const events = []
  const note = event => {
    events.push({ ...event, at: performance.now() })
    record(event)
  }
  for (const [index, service] of ['first-app', 'first-app', 'second-app', 'second-app'].entries()) {
    const runner = new RunnerStandIn({ service, zone: ZONES[index % ZONES.length], workMs: () => 20 }, event => { note({ ...event, service }) })
    onEnd(() => { runner.stop() })
    await runner.start(`${network}${101 + index}`, store)
  }
  const links = ZONES.map(() => new LinkProxy(address, LINK_MBPS))
  const stores = []
  for (const [index, link] of links.entries()) {
    onEnd(() => { link.close() })
    stores.push(await link.listen(`${network}${201 + index}`))
  }
  const fleet = new VmFleet({ network, storeOf: index => stores[index], zones: ZONES, bounds: { configApplyMs: APPLY_MS } })
  onEnd(async () => { await fleet.stop() })
  await fleet.start()
  await pause(CONTACT_MS)

  const [disturbed] = links
  const resets = hasTrouble
    ? setInterval(() => {
      const counts = disturbed.reset(RESET_SHARE)
      note({ what: 'connections reset', vm: fleet.vms[0].name, ...counts })
    }, RESET_EVERY_MS)
    : undefined
  for (let storm = 0; storm < STORMS; storm += 1) {
    for (let ms = 0; ms < STORM_MS; ms += GAP_MS) {
      version += 1 + Math.floor(Math.random() * 3)
      store.put('op', 'config', configOf(version, 'first-app', 1_500 + version % 2))
      note({ what: 'config', version, service: 'first-app' })
      await pause(GAP_MS)
    }
    await pause(1_000)
  }
  clearInterval(resets)
  note({ what: 'last reset' })
  await pause(CONTACT_MS)

  version += 2
  store.put('op', 'config', configOf(version, 'second-app'))
  const confirmedAt = performance.now()
  note({ what: 'config', version, service: 'second-app' })
  await pause(APPLY_MS)
  const agent = new Agent({ keepAlive: true })
  onEnd(() => { agent.destroy() })
  const open = []
  const until = performance.now() + WATCH_MS
  while (performance.now() < until) {
    for (const vm of fleet.vms) open.push(send(vm, agent, note))
    await pause(REQUEST_EVERY_MS)
  }
  await Promise.all(open)
  for (const vm of fleet.vms) note({ what: 'readiness asked', vm: vm.name, isReady: await vm.isReady() })
  return judge(events, confirmedAt)
})

function send (vm, agent, note) {
  const id = randomBytes(8).toString('hex')
  note({ what: 'sent', id, vm: vm.name })
  return new Promise(resolve => {
    const [host, port] = vm.front.split(':')
    const headers = { Host: HOST, 'X-Request-Id': id, 'X-Deadline-Ms': '1500', Authorization: `Bearer ${KEY}` }
    const req = request({ agent, host, port, path: `/status/${id.slice(0, 2)}`, headers }, res => {
      res.resume()
      res.once('close', () => {
        note({ what: 'answered', id, status: res.statusCode })
        resolve()
      })
    })
    req.setTimeout(1_500, () => { req.destroy() })
    req.on('error', err => {
      note({ what: 'failed', id, detail: err.message })
      resolve()
    })
    req.end()
  })
}

/** Requests sent later than `configApplyMs` after the confirmation that the old service ran. */
function judge (events, confirmedAt) {
  const sent = events.filter(({ what, at }) => what === 'sent' && at >= confirmedAt + APPLY_MS)
  const ranBy = new Map(events.filter(({ what }) => what === 'runs').map(({ id, service }) => [id, service]))
  const old = sent.filter(({ id }) => ranBy.get(id) === 'first-app')
  const resets = events.filter(({ what }) => what === 'connections reset')
  const sum = name => resets.reduce((total, event) => total + event[name], 0)
  const last = old.at(-1)
  return {
    summary: `${sum('reset')} connections to the store reset, ${sum('onTheWay')} of them with an answer on its way; ${sent.length} requests sent after the bound, ${old.length} run by the old service${last === undefined ? '' : `, the last ${Math.round((last.at - confirmedAt) / 1_000)} s after the confirmation`}; ${events.filter(({ what, isReady }) => what === 'readiness asked' && isReady).length} of ${ZONES.length} VMs say that they are ready`,
    broken: old.map(({ id, vm, at }) => `CONFIG: request ${id}, sent to ${vm} ${Math.round(at - confirmedAt)} ms after the confirmation, was run by the old service`)
  }
}
