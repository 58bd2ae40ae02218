/**
 * A stand-in that runs as a process, with a client of its control port.
 */
import got from 'got'
import { fileURLToPath } from 'node:url'
import { parseHistory } from '../../history/historyFile.js'
import type { HistoryRecord } from '../../history/historyTypes.js'
import { waitFor } from './waitFor.js'
import { ManagedProcess } from './managedProcess.js'

const STAND_IN_MAIN = fileURLToPath(new URL('../../cli/standInMain.js', import.meta.url))
const START_TIMEOUT_MS = 30_000
const CALL_TIMEOUT_MS = 10_000

export interface StandInPorts {
  readonly listen: number
  readonly control: number
}

export class StandInProcess {
  private readonly process: ManagedProcess

  /** @param args - subcommand and options without the ports */
  constructor (readonly name: string, args: readonly string[], readonly ports: StandInPorts, logFile: string) {
    const addresses = ['--listen', `127.0.0.1:${ports.listen}`, '--control', `127.0.0.1:${ports.control}`]
    this.process = new ManagedProcess([STAND_IN_MAIN, ...args, ...addresses], logFile)
  }

  get url (): string {
    return `http://127.0.0.1:${this.ports.listen}`
  }

  /** Resolves when the control port answers; throws if the process exits first. */
  async ready (): Promise<void> {
    await waitFor(`stand-in ${this.name} to listen`, START_TIMEOUT_MS, async () => {
      if (!this.process.isAlive) throw new Error(`stand-in ${this.name} exited with code ${this.process.exitCode}`)
      return await got.get(this.controlUrl('/control'), { retry: { limit: 0 } }).then(() => true, () => false)
    })
  }

  /** Sets faults; members that are absent stay unchanged. */
  async control (faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.post('/control', faults)
  }

  /** Posts a message to the control port. */
  async post (path: string, json: object): Promise<void> {
    await got.post(this.controlUrl(path), { json, retry: { limit: 0 }, timeout: { request: CALL_TIMEOUT_MS } })
  }

  /** Fetches the records of the stand-in so far. */
  async history (): Promise<readonly HistoryRecord[]> {
    const text = await got.get(this.controlUrl('/control/history'), { timeout: { request: CALL_TIMEOUT_MS } }).text()
    return parseHistory(text).unsafeCoerce()
  }

  async kill (): Promise<void> {
    await this.process.kill()
  }

  private controlUrl (path: string): string {
    return `http://127.0.0.1:${this.ports.control}${path}`
  }
}
