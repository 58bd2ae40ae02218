/**
 * One stand-in as a process, with its control port.
 */
import got from 'got'
import { fileURLToPath } from 'node:url'
import { parseHistory } from '../../history/historyFile.js'
import type { HistoryRecord } from '../../history/historyTypes.js'
import { waitFor } from './waiting.js'
import { ManagedProcess } from './managedProcess.js'

const CLI = fileURLToPath(new URL('../../cli/standInMain.js', import.meta.url))
const START_LIMIT_MS = 30_000
const CALL_LIMIT_MS = 10_000

/** Where a stand-in listens. */
export interface StandInPorts {
  readonly listen: number
  readonly control: number
}

/** One running stand-in. */
export class StandInProcess {
  private readonly process: ManagedProcess

  /**
   * @param name - its name in the scenario
   * @param args - subcommand and options besides the ports
   * @param ports - where it listens
   * @param logFile - where its output goes
   */
  constructor (readonly name: string, args: readonly string[], readonly ports: StandInPorts, logFile: string) {
    const addresses = ['--listen', `127.0.0.1:${ports.listen}`, '--control', `127.0.0.1:${ports.control}`]
    this.process = new ManagedProcess([CLI, ...args, ...addresses], logFile)
  }

  get url (): string {
    return `http://127.0.0.1:${this.ports.listen}`
  }

  async ready (): Promise<void> {
    await waitFor(`stand-in ${this.name} to listen`, START_LIMIT_MS, async () => {
      if (!this.process.alive) throw new Error(`stand-in ${this.name} ended with ${this.process.exitCode}`)
      return await got.get(this.controlUrl('/control'), { retry: { limit: 0 } }).then(() => true, () => false)
    })
  }

  /**
   * Sets faults.
   * @param faults - members of the control message
   */
  async control (faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.post('/control', faults)
  }

  /**
   * Sends a message to the control port.
   * @param path - path of the call
   * @param json - its body
   */
  async post (path: string, json: object): Promise<void> {
    await got.post(this.controlUrl(path), { json, retry: { limit: 0 }, timeout: { request: CALL_LIMIT_MS } })
  }

  /** What it did so far. */
  async history (): Promise<readonly HistoryRecord[]> {
    const text = await got.get(this.controlUrl('/control/history'), { timeout: { request: CALL_LIMIT_MS } }).text()
    return parseHistory(text).unsafeCoerce()
  }

  async end (): Promise<void> {
    await this.process.end()
  }

  private controlUrl (path: string): string {
    return `http://127.0.0.1:${this.ports.control}${path}`
  }
}
