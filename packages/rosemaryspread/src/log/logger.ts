/**
 * Event log over bunyan: one JSON object per line on standard output, each with its event number.
 */
import bunyan from 'bunyan'
import { logEvents, type EventLog, type LogEventName } from '@rosemaryspread/decisions/events/logEvents.js'

export interface LoggerOptions {
  readonly vm: string
  readonly domain: string
  readonly holder: string
  readonly level: 'debug' | 'info' | 'warn' | 'error'
}

export class BunyanEventLog implements EventLog {
  private readonly logger: bunyan

  constructor (options: LoggerOptions) {
    const { vm, domain, holder, level } = options
    this.logger = bunyan.createLogger({ name: 'rosemaryspread', vm, domain, holder, level })
  }

  write (event: LogEventName, fields: Readonly<Record<string, unknown>>): void {
    const entry = logEvents[event]
    this.logger[entry.level]({ event, number: entry.number, ...fields }, titleWithoutFields(entry.title))
  }
}

/** Cuts the list of fields from a title: the line contains the fields themselves, and repeating their names would enlarge the log. */
function titleWithoutFields (title: string): string {
  const fieldsStart = title.indexOf('; fields')
  return fieldsStart < 0 ? title : title.slice(0, fieldsStart)
}
