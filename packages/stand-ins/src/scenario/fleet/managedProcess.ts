/**
 * Child processes of a scenario. Each is killed by its own process id, at the end of the scenario
 * or when the scenario runner itself exits.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, type WriteStream } from 'node:fs'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

const children = new Set<ChildProcess>()

function killAll (): void {
  for (const child of children) child.kill('SIGKILL')
}

process.on('exit', killAll)
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.on(signal, () => process.exit(1))

/** A Node.js child process whose output is written to a log file. */
export class ManagedProcess {
  private readonly child: ChildProcess
  private readonly log: WriteStream
  private readonly ended: Promise<void>
  /** `undefined` while the process runs, `null` when a signal terminated it. */
  exitCode: number | null | undefined

  /**
   * @param args - arguments of `node`
   * @param onLine - called with each line of standard output
   */
  constructor (args: readonly string[], logFile: string, onLine: (line: string) => void = () => {}) {
    this.log = createWriteStream(logFile, { flags: 'a' })
    this.child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] })
    children.add(this.child)
    this.ended = once(this.child, 'close').then(([code]) => {
      children.delete(this.child)
      this.exitCode = code as number | null
      this.log.end()
    })
    this.child.stderr!.on('data', chunk => { this.log.write(chunk) })
    createInterface({ input: this.child.stdout! }).on('line', line => {
      this.log.write(`${line}\n`)
      onLine(line)
    })
  }

  get pid (): number {
    return this.child.pid ?? NaN
  }

  get isAlive (): boolean {
    return this.exitCode === undefined
  }

  /** Sends a signal; does nothing if the process has exited. */
  signal (signal: NodeJS.Signals): void {
    if (this.isAlive) this.child.kill(signal)
  }

  /** Kills the process and waits for its exit. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.ended
  }

  /** Resolves when the process has exited and all its output was read. */
  async waitForExit (): Promise<void> {
    await this.ended
  }
}
