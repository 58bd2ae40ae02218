/**
 * A small deployment on loopback: the store, runners and VMs. VMs are started with the run command of the deploy file, and settings that
 * are filled in from its template.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync, appendFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Store } from './store.mjs'

export const HERE = dirname(fileURLToPath(import.meta.url))
export const ROOT = resolve(HERE, '..', '..')
export const HOST = 'front.example'
const BEAT_MS = 1_200
/** Loopback addresses of this run; the metrics of all VMs listen on the same port. */
const NETWORK = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`
const STORE_HOST = `${NETWORK}.100`
const RUNNER_HOST = `${NETWORK}.101`

/** Bounds of the site file, as far as the template uses them. */
const BOUNDS = { retryBudgetRatio: 0.2, retrySlack: 52, budgetWindowS: 10, graceS: 8 }

export class Fleet {
  store = new Store()
  runners = new Map()
  vms = []
  children = new Set()
  lines = []
  ran = []
  folder = mkdtempSync(join(tmpdir(), 'review-'))

  constructor (recordFile) {
    this.recordFile = recordFile
    this.startedAt = performance.now()
    if (recordFile !== undefined) writeFileSync(recordFile, '')
    process.once('exit', () => { this.stop() })
    for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => { process.exit(2) })
  }

  get ms () {
    return Math.round(performance.now() - this.startedAt)
  }

  record (text) {
    if (this.recordFile !== undefined) appendFileSync(this.recordFile, `${String(this.ms).padStart(6)} ${text}\n`)
  }

  async start (config, vms) {
    await this.store.listen(STORE_HOST)
    this.config = config
    this.store.put('op', 'config', config)
    this.beats = setInterval(() => { this.beat() }, BEAT_MS)
    for (let index = 0; index < vms; index += 1) this.vms.push(await this.prepareVm(index))
    for (const vm of this.vms) this.startVm(vm)
    await Promise.all(this.vms.map(vm => this.untilReady(vm)))
  }

  configure (change) {
    this.config = { ...change(this.config), version: this.config.version + 3 }
    this.store.put('op', 'config', this.config)
    this.record(`operator confirmed config ${this.config.version}`)
  }

  /** Starts a runner; resolves once it is registered. */
  async addRunner (id, service, zone, slots = 64) {
    const child = this.spawn(process.execPath, [join(HERE, 'runner.mjs'), RUNNER_HOST, id])
    const runner = { id, service, zone, slots, child, sequence: 1, state: 'ready' }
    await new Promise(resolve => {
      this.readLines(child, entry => {
        if (entry.listens !== undefined) {
          runner.address = `${RUNNER_HOST}:${entry.listens}`
          resolve()
        }
        if (entry.ran !== undefined) {
          this.ran.push({ ms: this.ms, id: entry.ran, runner: entry.runner, tenant: entry.tenant })
          this.record(`runner ${entry.runner} runs ${entry.ran}`)
        }
      })
    })
    this.runners.set(id, runner)
    this.register(runner)
    return runner
  }

  /** A runner crashes: its process is killed, and its entry vanishes after three missed beats. */
  crashRunner (id) {
    const runner = this.runners.get(id)
    this.record(`runner ${id} is killed`)
    runner.child.kill('SIGKILL')
    runner.isDead = true
    setTimeout(() => { this.store.put('servers', id, null) }, 3 * BEAT_MS).unref()
  }

  register ({ id, service, address, zone, slots, state, sequence }) {
    this.store.put('servers', id, { service, address, zone, version: 'v1', slots, state, coldRemainingMs: 0, sequence })
  }

  beat () {
    for (const runner of this.runners.values()) {
      if (runner.isDead === true) continue
      runner.sequence += 1
      this.register(runner)
    }
  }

  async prepareVm (index) {
    const host = `${NETWORK}.${index + 1}`
    const [front, ready, directory, peers] = await Promise.all([freePort(host), freePort(host), freePort(host), freePort(host)])
    const zones = ['zone-a', 'zone-b', 'zone-c']
    const fields = {
      nodeName: `edge-${index + 1}`,
      zone: zones[index % zones.length],
      region: 'region',
      bindIp: host,
      portRange: [peers, peers],
      listenAddrs: { front: `${host}:${front}`, ready: `${host}:${ready}`, directory: `${host}:${directory}` },
      bounds: BOUNDS,
      limits: { maxFds: 4200 },
      platform: { address: this.store.address }
    }
    const settings = join(this.folder, `vm-${index}.yaml`)
    writeFileSync(settings, fill(readFileSync(join(ROOT, 'deploy', 'settings.yaml'), 'utf8'), fields))
    return { index, name: fields.nodeName, host, front, ready, settings, zone: fields.zone, lines: [] }
  }

  startVm (vm) {
    const [program, ...args] = runCommand()
    const { PATH = '', HOME = '', LANG = 'C' } = process.env
    vm.child = this.spawn(program, args, { cwd: ROOT, env: { PATH, HOME, LANG, ROSEMARYSPREAD_SETTINGS: vm.settings } })
    this.readLines(vm.child, entry => { vm.lines.push({ ms: this.ms, ...entry }) })
    this.record(`${vm.name} starts`)
  }

  /** Kills a VM; its platform restarts it after a short delay. */
  async killVm (vm, downMs) {
    this.record(`${vm.name} is killed`)
    vm.child.kill('SIGKILL')
    vm.disturbedAt = this.ms
    await pause(downMs)
    this.startVm(vm)
    vm.disturbedAt = this.ms
  }

  async untilReady (vm) {
    for (;;) {
      const status = await new Promise(resolve => {
        request({ host: vm.host, port: vm.ready, path: '/ready', agent: false, timeout: 1_000 }, res => {
          res.resume()
          resolve(res.statusCode)
        }).on('error', () => { resolve(0) }).end()
      })
      if (status === 200) return
      await pause(50)
    }
  }

  /** Sends one request; resolves with its status, events and whether the answer is complete. */
  ask (vm, { id, path, method = 'POST', key, body = '', headers = {}, deadlineMs = 6_000, signal, socket }) {
    return new Promise(resolve => {
      const outcome = { id, vm: vm.name, sentAt: this.ms, status: 0, events: 0, text: '', isComplete: false }
      const finish = () => {
        if (outcome.endedAt !== undefined) return
        outcome.endedAt = this.ms
        this.record(`client ${id} at ${vm.name}: ${outcome.status} events ${outcome.events} ${outcome.isComplete ? 'complete' : 'not complete'} ${outcome.status >= 400 ? outcome.text.slice(0, 160) : ''}`)
        clearTimeout(timer)
        resolve(outcome)
      }
      const req = request({
        host: vm.host,
        port: vm.front,
        method,
        path,
        agent: socket === undefined ? false : agentOf(socket),
        signal,
        headers: { Host: HOST, 'X-Request-Id': id, 'X-Deadline-Ms': String(deadlineMs), ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }), 'Content-Length': Buffer.byteLength(body), ...headers }
      })
      const timer = setTimeout(() => { req.destroy() }, deadlineMs)
      req.on('error', finish)
      req.on('response', res => {
        outcome.status = res.statusCode
        outcome.headers = res.headers
        res.on('data', chunk => {
          outcome.text += chunk
          outcome.events = outcome.text.split('\n\n').length - 1
        })
        res.on('end', () => {
          outcome.isComplete = res.complete
          finish()
        })
        res.on('error', finish)
        res.on('close', finish)
      })
      req.end(body)
    })
  }

  spawn (program, args, options = {}) {
    const child = spawn(program, args, { stdio: ['ignore', 'pipe', 'ignore'], ...options })
    this.children.add(child)
    child.once('exit', () => { this.children.delete(child) })
    return child
  }

  readLines (child, onEntry) {
    let text = ''
    child.stdout.on('data', chunk => {
      const lines = (text + chunk).split('\n')
      text = lines.pop()
      for (const line of lines) {
        try {
          onEntry(JSON.parse(line))
        } catch {}
      }
    })
  }

  stop () {
    clearInterval(this.beats)
    for (const child of this.children) child.kill('SIGKILL')
    this.store.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Sends one request over an open connection. */
function agentOf (socket) {
  const agent = new Agent()
  agent.createConnection = () => socket
  return agent
}

/** Words of the run command in the deploy file. */
function runCommand () {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
  const [, command] = /^run = "([^"]*)"/m.exec(text)
  const [program, ...args] = command.split(' ')
  return [program === 'node' ? process.execPath : program, ...args]
}

/** Fills in the placeholders `{{a.b}}` and `{{a.b|json}}` of a template. */
function fill (template, fields) {
  return template.replace(/\{\{([a-zA-Z0-9.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((inner, name) => inner?.[name], fields)
    return json === undefined ? String(value) : JSON.stringify(value)
  })
}

async function freePort (host) {
  const server = createServer()
  await new Promise(resolve => server.listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}
