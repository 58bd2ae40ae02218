/**
 * Many users come at once, each with one request whose body is as large as the limits of the config allow. The platform kills a process that
 * exceeds `memoryMb`, and restarts it. Counts how often that happens at each machine.
 */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { Fleet, HERE, HOST } from '../lib-2/fleet.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const KEY = 'a-key-of-the-team'
const MEMORY_MB = 350
const MAX_BODY_BYTES = 4_194_304
const VMS = 2
const USERS = 140
/** Users that send at the same time: all of them, or few. */
const AT_ONCE = hasTrouble ? USERS : 8
const ROUNDS = hasTrouble ? 12 : 5
const RESTART_MS = 300
const ENDS_OF_A_FAULT = 3
const CHECK_MS = 20

const fleet = new Fleet(join(HERE, '..', '6', 'record.txt'))
for (let index = 0; index < 3; index += 1) await fleet.addRunner(`i-${index}`, 'app', 'zone-a', 64)
await fleet.start({
  version: 7,
  routes: [{ name: 'booking', host: HOST, prefix: '/booking/', routeType: 'non_idempotent', timeoutMs: 3_000, targetLatencyMs: 300, priority: 2, service: 'app', maxAttempts: 1, public: false, sticky: false, streamResume: false }],
  services: [{ name: 'app', healthPath: '/healthz', maxConnections: 96, protocol: 'h1', tls: false }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: MAX_BODY_BYTES, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'team', apiKeys: [KEY], priority: 1 }]
}, VMS)
await pause(3_000)

const ends = new Map(fleet.vms.map(vm => [vm.name, 0]))
const peaks = new Map(fleet.vms.map(vm => [vm.name, 0]))
const restarts = []

/** What the platform does with a process that exceeds its memory. */
const check = setInterval(() => {
  for (const vm of fleet.vms) {
    const mb = residentMb(vm.child.pid)
    peaks.set(vm.name, Math.max(peaks.get(vm.name), mb))
    if (mb <= MEMORY_MB || vm.isKilled === true) continue
    vm.isKilled = true
    ends.set(vm.name, ends.get(vm.name) + 1)
    fleet.record(`${vm.name} exceeds ${MEMORY_MB} MB with ${Math.round(mb)} MB`)
    restarts.push(fleet.killVm(vm, RESTART_MS).then(() => { vm.isKilled = false }))
  }
}, CHECK_MS)

/** Machines at which a process has ended often enough for a fault. */
function failing () {
  return [...ends.values()].filter(count => count >= ENDS_OF_A_FAULT).length
}

function residentMb (pid) {
  try {
    return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]) / 1_024
  } catch {
    return 0
  }
}

const FIELDS_BYTES = 100
const body = JSON.stringify({ workMs: 300, pad: 'x'.repeat(MAX_BODY_BYTES - FIELDS_BYTES) })
const counts = {}
for (let round = 0; round < ROUNDS && failing() < VMS; round += 1) {
  const waiting = Array.from({ length: USERS }, (_, index) => index)
  await Promise.all(Array.from({ length: AT_ONCE }, async () => {
    for (let user = waiting.shift(); user !== undefined; user = waiting.shift()) {
      const { status } = await fleet.ask(fleet.vms[user % VMS], { id: `r-${round}-${user}`, path: '/booking/2f', key: KEY, body, deadlineMs: 3_000 })
      counts[status] = (counts[status] ?? 0) + 1
    }
  }))
  await Promise.all(restarts)
  await Promise.all(fleet.vms.map(vm => fleet.untilReady(vm)))
  await pause(2_000)
}
clearInterval(check)

const text = `requests by status ${JSON.stringify(counts)}; ends by memory ${JSON.stringify(Object.fromEntries(ends))}; peak MB ${JSON.stringify(Object.fromEntries([...peaks].map(([name, mb]) => [name, Math.round(mb)])))}`
fleet.record(text)
console.log(text)
fleet.stop()
if (fleet.ran.length === 0) process.exit(2)
process.exit(failing() >= VMS ? 1 : 0)
