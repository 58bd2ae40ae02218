/**
 * Event log over bunyan: one JSON object per line on standard output, each with its event number.
 */
import bunyan from 'bunyan'
import { Either } from 'purify-ts'
import { logEvents, type EventLog, type LogEventName } from '@rosemaryspread/decisions/events/logEvents.js'
import { LineWriter } from './lineWriter.js'

export interface LoggerOptions {
  readonly vm: string
  readonly domain: string
  readonly holder: string
  readonly level: 'debug' | 'info' | 'warn' | 'error'
}

/** Version of bunyan's lines. */
const LINE_VERSION = 0
const levels = { debug: bunyan.DEBUG, info: bunyan.INFO, warn: bunyan.WARN, error: bunyan.ERROR }

/** What is the same in each line of an event: the text before its fields, and its message. */
interface EventFrame {
  readonly head: string
  readonly message: string
}

export class BunyanEventLog implements EventLog {
  private readonly logger: bunyan
  private readonly lines = new LineWriter(() => process.stdout, dropped => this.fieldsLine('linesDropped', { dropped }))
  private readonly frames = new Map<LogEventName, EventFrame>()
  /** Names that a line has without the event's fields; a field of such a name replaces the value where it stands. */
  private readonly ownNames: ReadonlySet<string>

  constructor (options: LoggerOptions) {
    const { vm, domain, holder, level } = options
    this.logger = bunyan.createLogger({ name: 'rosemaryspread', vm, domain, holder, level })
    this.ownNames = new Set([...Object.keys(this.logger.fields), 'level', 'event', 'number', 'msg', 'time', 'v'])
  }

  /** Writes the line that bunyan writes; bunyan copies each record several times, so that it formats only what has no JSON. */
  write (event: LogEventName, fields: Readonly<Record<string, unknown>>): void {
    const { level, number, title } = logEvents[event]
    if (levels[level] < this.logger.level() || !this.lines.hasRoom()) return
    Either.encase(() => this.hasOwnName(fields) ? this.recordLine(event, fields) : this.fieldsLine(event, fields)).caseOf({
      Left: () => { this.logger[level]({ event, number, ...fields }, titleWithoutFields(title)) },
      Right: line => { this.lines.write(line) }
    })
  }

  private fieldsLine (event: LogEventName, fields: Readonly<Record<string, unknown>>): string {
    const { head, message } = this.frameOf(event)
    const inner = JSON.stringify(fields).slice(1, -1)
    return `${head}${inner === '' ? '' : `,${inner}`},"msg":${message},"time":"${new Date().toISOString()}","v":${LINE_VERSION}}\n`
  }

  private recordLine (event: LogEventName, fields: Readonly<Record<string, unknown>>): string {
    const { level, number, title } = logEvents[event]
    return `${JSON.stringify({ ...this.logger.fields, level: levels[level], event, number, ...fields, msg: titleWithoutFields(title), time: fields.time ?? new Date(), v: LINE_VERSION })}\n`
  }

  private hasOwnName (fields: Readonly<Record<string, unknown>>): boolean {
    for (const name in fields) if (this.ownNames.has(name)) return true
    return false
  }

  private frameOf (event: LogEventName): EventFrame {
    const known = this.frames.get(event)
    if (known !== undefined) return known
    const { level, number, title } = logEvents[event]
    const head = JSON.stringify({ ...this.logger.fields, level: levels[level], event, number }).slice(0, -1)
    const created = { head, message: JSON.stringify(titleWithoutFields(title)) }
    this.frames.set(event, created)
    return created
  }
}

/** Cuts the list of fields from a title: the line contains the fields themselves, and repeating their names would enlarge the log. */
function titleWithoutFields (title: string): string {
  const fieldsStart = title.indexOf('; fields')
  return fieldsStart < 0 ? title : title.slice(0, fieldsStart)
}
