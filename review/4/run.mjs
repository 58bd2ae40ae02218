/**
 * A VM is stopped with SIGTERM. A stream that began before it keeps the VM at work; consumers that hold an open connection to the VM send their
 * first request on it some seconds later. Counts the requests that were passed on to a runner and got no complete answer.
 */
import { once } from 'node:events'
import { connect } from 'node:net'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { Fleet, HERE, HOST } from '../lib-2/fleet.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const KEY = 'a-key-of-the-team'
const GRACE_MS = 8_000
const CONSUMERS = 6
/** After the SIGTERM; a consumer that keeps an answer of the directory for three times `ttlS` still uses its connection then. */
const SENT_MS = 5_800
const TOKENS = { 'X-Model': 'm', 'X-Token-Count': '600,273', 'X-Prompt-Prefix': 'aa:500,bb:100' }

const fleet = new Fleet(join(HERE, '..', '4', 'record.txt'))
for (let index = 0; index < 3; index += 1) await fleet.addRunner(`i-${index}`, 'lm', 'zone-a')
await fleet.start({
  version: 7,
  routes: [{ name: 'chat', host: HOST, prefix: '/chat/', routeType: 'streaming', timeoutMs: 15_000, targetLatencyMs: 300, priority: 2, service: 'lm', maxAttempts: 1, public: false, sticky: true, streamResume: false, gapAimMs: 200 }],
  services: [{ name: 'lm', healthPath: '/healthz', maxConnections: 360, protocol: 'h1', tls: false, inferenceEngine: { slots: 64, kvTokens: 390_561, stride: 3, models: [{ name: 'm' }] } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'team', apiKeys: [KEY], priority: 1, prepaid: 10_000_000 }]
}, 3)
await pause(4_000)

const [vm] = fleet.vms
const sockets = []
for (let index = 0; index < CONSUMERS; index += 1) {
  const socket = connect(vm.front, vm.host)
  socket.on('error', () => {})
  await once(socket, 'connect')
  sockets.push(socket)
}
const long = fleet.ask(vm, { id: 'long', path: '/chat/1', key: KEY, body: JSON.stringify({ events: 91, gapMs: 110 }), headers: TOKENS, deadlineMs: 15_000 })
await pause(1_000)
const stoppedAt = fleet.ms
if (hasTrouble) {
  vm.child.kill('SIGTERM')
  fleet.record(`${vm.name} gets SIGTERM`)
  vm.child.once('exit', code => { fleet.record(`${vm.name} ends with ${code}`) })
  setTimeout(() => { vm.child.kill('SIGKILL') }, GRACE_MS)
}
await pause(SENT_MS)
const outcomes = await Promise.all(sockets.map((socket, index) => fleet.ask(vm, {
  id: `late-${index}`, path: '/chat/2', key: KEY, body: JSON.stringify({ events: 91, gapMs: 17 }), headers: TOKENS, deadlineMs: 15_000, socket
})))
await long

const ranIds = new Set(fleet.ran.map(({ id }) => id))
const lost = outcomes.filter(({ id, isComplete }) => ranIds.has(id) && !isComplete)
const text = `${outcomes.length} requests sent ${SENT_MS} ms after SIGTERM: ${outcomes.filter(({ id }) => ranIds.has(id)).length} ran, ${lost.length} of these got no complete answer; ` +
  outcomes.map(({ status, events, endedAt }) => `${status} with ${events} events, ended at ${endedAt - stoppedAt} ms`).join('; ')
fleet.record(text)
console.log(text)
fleet.stop()
if (!ranIds.has('long')) process.exit(2)
process.exit(lost.length > 0 ? 1 : 0)
