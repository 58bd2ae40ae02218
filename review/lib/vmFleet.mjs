/**
 * Starts VMs as separate processes with the run command of the deploy file, and the settings template filled in as DEPLOY.md describes.
 * Each VM has a loopback address of its own, as each machine has one; the ports are the same on all of them.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'

export const repository = join(import.meta.dirname, '..', '..')
const READY_WITHIN_MS = 20_000
const PORTS = { front: 8227, ready: 8220, control: 8229, directory: 8224, metrics: 9464, inner: 7340 }

/** A free loopback network: `127.x.y.`, whose first addresses are used. */
export async function freeNetwork () {
  for (;;) {
    const network = `127.${randomByte()}.${randomByte()}.`
    if (await isFree(`${network}11`, PORTS.front) && await isFree(`${network}11`, PORTS.metrics)) return network
  }
}

export class VmFleet {
  vms = []
  folder = mkdtempSync(join(tmpdir(), 'review-'))

  /** @param options - network, store (its address, or storeOf for one of each VM), zones (one VM in each), and bounds or limits that differ from those of the pages */
  constructor (options) {
    this.options = options
  }

  /** Starts one VM in each zone; resolves once all are ready. */
  async start () {
    this.vms = this.options.zones.map((zone, index) => new Vm(this, zone, index))
    for (const vm of this.vms) vm.start()
    await Promise.all(this.vms.map(vm => vm.untilReady()))
  }

  /** Ends all processes that are left. */
  async stop () {
    await Promise.all(this.vms.map(vm => vm.kill()))
    rmSync(this.folder, { recursive: true, force: true })
  }
}

class Vm {
  constructor (fleet, zone, index) {
    this.fleet = fleet
    this.name = `edge-${zone}-1`
    this.zone = zone
    this.index = index
    this.ip = `${fleet.options.network}${11 + index}`
    this.front = `${this.ip}:${PORTS.front}`
  }

  start () {
    const file = join(this.fleet.folder, `${this.name}.yaml`)
    writeFileSync(file, filled(readFileSync(join(repository, 'deploy', 'settings.yaml'), 'utf8'), this.settings))
    const [program, ...args] = /^run = "(.*)"$/m.exec(readFileSync(join(repository, 'deploy', 'system.toml'), 'utf8'))[1].split(' ')
    this.process = spawn(program, args, { cwd: repository, env: { PATH: process.env.PATH, HOME: process.env.HOME, ROSEMARYSPREAD_SETTINGS: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.fleet.options.logFolder ?? this.fleet.folder, `${this.name}.log`), { flags: 'a' })
    this.process.stdout.pipe(log, { end: false })
    this.process.stderr.pipe(log, { end: false })
    this.exited = once(this.process, 'exit')
  }

  get settings () {
    const { store, storeOf = () => store, zones, network, bounds = {}, limits = {} } = this.fleet.options
    const { ip, zone, name } = this
    return {
      nodeName: name,
      role: 'vm',
      machineClass: 'edge',
      serves: ['edge', 'directory'],
      bindIp: ip,
      zone,
      region: 'region-1',
      portRange: [PORTS.inner, PORTS.inner + 15],
      seedNodes: zones.map((_, index) => `${network}${11 + index}:${PORTS.control}`),
      bootstrap: true,
      heartbeatMs: 1_200,
      listenAddrs: { front: this.front, ready: `${ip}:${PORTS.ready}`, control: `${ip}:${PORTS.control}`, directory: `${ip}:${PORTS.directory}` },
      limits: { cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4_200, ...limits },
      bounds: { drainMs: 2_000, graceS: 8, configApplyMs: 2_000, retryBudgetRatio: 0.2, budgetWindowS: 10, retrySlack: 52, ...bounds },
      platform: { address: storeOf(this.index) }
    }
  }

  async untilReady () {
    const until = Date.now() + READY_WITHIN_MS
    while (Date.now() < until) {
      if (await statusOf(this.ip, PORTS.ready, '/ready') === 200) return
      await pause(100)
    }
    throw new Error(`${this.name} is not ready after ${READY_WITHIN_MS} ms`)
  }

  /** Whether the platform's question for readiness gets a 200. */
  async isReady () {
    return await statusOf(this.ip, PORTS.ready, '/ready') === 200
  }

  signal (name) {
    this.process.kill(name)
  }

  async kill () {
    if (this.process === undefined || this.process.exitCode !== null || this.process.signalCode !== null) return
    this.process.kill('SIGKILL')
    await this.exited
  }
}

/** Fills in `{{a.b}}` and `{{a.b|json}}`. */
function filled (template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, asJson) => {
    const value = path.split('.').reduce((part, name) => part?.[name], fields)
    if (value === undefined) return ''
    return asJson === undefined ? String(value) : JSON.stringify(value)
  })
}

function statusOf (host, port, path) {
  return new Promise(resolve => {
    const req = get({ host, port, path, timeout: 1_000 }, res => {
      res.resume()
      resolve(res.statusCode)
    })
    req.on('timeout', () => { req.destroy() })
    req.on('error', () => { resolve(undefined) })
  })
}

function isFree (ip, port) {
  return new Promise(resolve => {
    const probe = createServer()
    probe.once('error', () => { resolve(false) })
    probe.listen(port, ip, () => { probe.close(() => { resolve(true) }) })
  })
}

function randomByte () {
  return 16 + Math.floor(Math.random() * 200)
}
