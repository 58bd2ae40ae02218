/**
 * One VM of the fleet under test: the product's own binary as a process, started again under the
 * same name and addresses when a scenario replaces it.
 */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import got from 'got'
import { stringify } from 'yaml'
import type { HistoryRecord } from '../../history/historyTypes.js'
import { ManagedProcess } from './managedProcess.js'
import { historyOfLine, parseLogLine, type LogLine } from './vmLog.js'
import { waitFor } from './waiting.js'

const PRODUCT = fileURLToPath(import.meta.resolve('rosemaryspread/cli/serveMain.js'))
const WEAK = fileURLToPath(new URL('../weakVmMain.js', import.meta.url))
const START_LIMIT_MS = 30_000

/** Ports of one VM; `link` is where other VMs connect. */
export interface VmPorts {
  readonly callers: number
  readonly operators: number
  readonly peers: number
  readonly link: number
}

/** One VM. */
export class VmProcess {
  readonly lines: LogLine[] = []
  readonly records: HistoryRecord[] = []
  frozen = false
  /** Whether the scenario ended this process, or told it to end. */
  ending = false
  /** Whether the scenario killed this process. */
  killed = false
  private process: ManagedProcess | undefined
  private version = 0

  /**
   * @param name - name of the VM
   * @param domain - its failure domain
   * @param ports - where it listens
   * @param folder - where its settings and output are kept
   * @param settings - all settings
   * @param weakness - name of a weaker decider to bind; the product's own binary when absent
   */
  constructor (
    readonly name: string,
    readonly domain: string,
    readonly ports: VmPorts,
    private readonly folder: string,
    private readonly settings: object,
    private readonly weakness: string | undefined
  ) {}

  get callersUrl (): string {
    return `http://127.0.0.1:${this.ports.callers}`
  }

  get operatorsUrl (): string {
    return `http://127.0.0.1:${this.ports.operators}`
  }

  /** Whether a process runs, frozen or not. */
  get running (): boolean {
    return this.process?.alive === true
  }

  /** Whether a process runs that the scenario has not told to end. */
  get up (): boolean {
    return this.running && !this.frozen && !this.ending
  }

  /** The highest configuration version that the present process has in force; 0 before the first. */
  get versionInForce (): number {
    return this.version
  }

  /** Exit code of the last process, when it ended by itself. */
  get exitCode (): number | null | undefined {
    return this.process?.exitCode
  }

  async start (): Promise<void> {
    const file = join(this.folder, `${this.name}.yaml`)
    await writeFile(file, stringify(this.settings))
    this.frozen = false
    this.ending = false
    this.killed = false
    this.version = 0
    const main = this.weakness === undefined ? [PRODUCT, 'serve', '--config', file] : [WEAK, this.weakness, file]
    this.process = new ManagedProcess(main, join(this.folder, `${this.name}.log`), text => this.take(text))
    await waitFor(`VM ${this.name} to listen`, START_LIMIT_MS, async () => {
      if (!this.running) throw new Error(`VM ${this.name} ended with ${this.exitCode}; see ${this.folder}`)
      return await this.answers('/healthz')
    })
  }

  /** Resolves when the VM takes work. */
  async ready (): Promise<void> {
    await waitFor(`VM ${this.name} to be ready`, START_LIMIT_MS, async () => await this.answers('/readyz'))
  }

  signal (signal: NodeJS.Signals): void {
    this.process?.signal(signal)
  }

  /** Kills the process and waits for its end. */
  async kill (): Promise<void> {
    this.ending = true
    this.killed = true
    await this.process?.end()
  }

  /** Resolves when the process has ended by itself. */
  async exited (): Promise<void> {
    await this.process?.exited()
  }

  private async answers (path: string): Promise<boolean> {
    return await got.get(`${this.callersUrl}${path}`, { retry: { limit: 0 }, timeout: { request: 2_000 } }).then(() => true, () => false)
  }

  private take (text: string): void {
    const line = parseLogLine(text)
    if (line === undefined) return
    this.lines.push(line)
    const record = historyOfLine(line)
    if (record === undefined) return
    this.records.push(record)
    if (record.kind === 'configInForce') this.version = record.version
  }
}
