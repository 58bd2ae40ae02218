/**
 * Child processes of a scenario. All are ended by their own id: at the end of the scenario, and
 * when the runner itself ends for whatever reason.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, type WriteStream } from 'node:fs'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

const running = new Set<ChildProcess>()

function endAll (): void {
  for (const child of running) child.kill('SIGKILL')
}

process.on('exit', endAll)
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) process.on(signal, () => process.exit(1))

/** One child process of Node.js whose output lines are kept in a file. */
export class ManagedProcess {
  private readonly child: ChildProcess
  private readonly log: WriteStream
  private readonly ended: Promise<void>
  exitCode: number | null | undefined

  /**
   * @param args - arguments of `node`
   * @param logFile - where output goes
   * @param onLine - takes each line of standard output
   */
  constructor (args: readonly string[], logFile: string, onLine: (line: string) => void = () => {}) {
    this.log = createWriteStream(logFile, { flags: 'a' })
    this.child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] })
    running.add(this.child)
    this.ended = once(this.child, 'close').then(([code]) => {
      running.delete(this.child)
      this.exitCode = code as number | null
      this.log.end()
    })
    this.child.stderr!.on('data', chunk => { this.log.write(chunk) })
    createInterface({ input: this.child.stdout! }).on('line', line => {
      this.log.write(`${line}\n`)
      onLine(line)
    })
  }

  get alive (): boolean {
    return this.exitCode === undefined
  }

  /**
   * Sends a signal; a process that ended already is left alone.
   * @param signal - the signal
   */
  signal (signal: NodeJS.Signals): void {
    if (this.alive) this.child.kill(signal)
  }

  /** Kills the process and waits for its end. */
  async end (): Promise<void> {
    this.signal('SIGKILL')
    await this.ended
  }

  /** Resolves when the process has ended and all its output was read. */
  async exited (): Promise<void> {
    await this.ended
  }
}
