/**
 * A VM under test: the real program as a process, restarted under the same name and addresses when
 * a scenario starts it again.
 */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import got from 'got'
import { stringify } from 'yaml'
import type { HistoryRecord } from '../../history/historyTypes.js'
import { ManagedProcess } from './managedProcess.js'
import { toHistoryRecord, parseLogLine, type LogLine } from './vmLog.js'
import { waitFor } from './waitFor.js'

const SERVE_MAIN = fileURLToPath(import.meta.resolve('rosemaryspread/cli/serveMain.js'))
const FAULTY_VM_MAIN = fileURLToPath(new URL('../faultyVmMain.js', import.meta.url))
const START_TIMEOUT_MS = 30_000

/** Ports of one VM; other VMs connect to `link`. */
export interface VmPorts {
  readonly callers: number
  readonly operators: number
  readonly peers: number
  readonly link: number
}

export class VmProcess {
  readonly logLines: LogLine[] = []
  readonly records: HistoryRecord[] = []
  frozen = false
  /** Whether the scenario has stopped or killed this process. */
  isStopRequested = false
  killed = false
  private process: ManagedProcess | undefined
  private version = 0

  /**
   * @param folder - folder for its settings and output
   * @param faultyPart - name of the faulty part to bind; runs the unmodified program when absent
   * @param nodeArgs - arguments of `node` before the program
   */
  constructor (
    readonly name: string,
    readonly domain: string,
    readonly ports: VmPorts,
    private readonly folder: string,
    private readonly settings: object,
    private readonly faultyPart: string | undefined,
    private readonly nodeArgs: readonly string[] = []
  ) {}

  get callersUrl (): string {
    return `http://127.0.0.1:${this.ports.callers}`
  }

  get operatorsUrl (): string {
    return `http://127.0.0.1:${this.ports.operators}`
  }

  /** Whether the process exists, frozen or not. */
  get running (): boolean {
    return this.process?.isAlive === true
  }

  /** Whether the process runs and was not frozen, stopped or killed. */
  get isUp (): boolean {
    return this.running && !this.frozen && !this.isStopRequested
  }

  /** The last configuration version that the current process applied; 0 before the first. */
  get versionInForce (): number {
    return this.version
  }

  /** Process id; NaN before the first start. */
  get pid (): number {
    return this.process?.pid ?? NaN
  }

  /** Exit code of the last process; `undefined` while it runs, `null` when a signal terminated it. */
  get exitCode (): number | null | undefined {
    return this.process?.exitCode
  }

  /** Writes the settings file, starts the process and waits until it listens; throws if it exits first. */
  async start (): Promise<void> {
    const file = join(this.folder, `${this.name}.yaml`)
    await writeFile(file, stringify(this.settings))
    this.frozen = false
    this.isStopRequested = false
    this.killed = false
    this.version = 0
    const args = this.faultyPart === undefined ? [SERVE_MAIN, 'serve', '--config', file] : [FAULTY_VM_MAIN, this.faultyPart, file]
    this.process = new ManagedProcess([...this.nodeArgs, ...args], join(this.folder, `${this.name}.log`), text => this.handleOutputLine(text))
    await waitFor(`VM ${this.name} to listen`, START_TIMEOUT_MS, async () => {
      if (!this.running) throw new Error(`VM ${this.name} exited with code ${this.exitCode}; see ${this.folder}`)
      return await this.answers('/healthz')
    })
  }

  /** Resolves when the VM accepts requests. */
  async ready (): Promise<void> {
    await waitFor(`VM ${this.name} to be ready`, START_TIMEOUT_MS, async () => await this.answers('/readyz'))
  }

  signal (signal: NodeJS.Signals): void {
    this.process?.signal(signal)
  }

  /** Kills the process and waits for its exit. */
  async kill (): Promise<void> {
    this.isStopRequested = true
    this.killed = true
    await this.process?.kill()
  }

  /** Resolves when the process has exited. */
  async waitForExit (): Promise<void> {
    await this.process?.waitForExit()
  }

  private async answers (path: string): Promise<boolean> {
    return await got.get(`${this.callersUrl}${path}`, { retry: { limit: 0 }, timeout: { request: 2_000 } }).then(() => true, () => false)
  }

  private handleOutputLine (text: string): void {
    const line = parseLogLine(text)
    if (line === undefined) return
    this.logLines.push(line)
    const record = toHistoryRecord(line)
    if (record === undefined) return
    this.records.push(record)
    if (record.kind === 'configInForce') this.version = record.version
  }
}
