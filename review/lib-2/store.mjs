/**
 * Stand-in of the platform's store: rows, transactions and feeds, linearizable, in memory. Nothing of it is lost while the process runs.
 */
import { createServer } from 'node:http'

const PART_SEPARATOR = '\u0000'
const TX_MS = 3
const READ_MS = 1
const MAX_ROWS = 500

export class Store {
  rows = new Map()
  changes = []
  version = 1
  waiters = new Set()
  calls = 0

  constructor () {
    this.startedAt = performance.now()
    this.server = createServer((req, res) => {
      const chunks = []
      req.on('data', chunk => chunks.push(chunk))
      req.on('end', () => { this.handle(req, res, Buffer.concat(chunks).toString()) })
    })
    this.server.keepAliveTimeout = 60_000
  }

  async listen (host) {
    await new Promise(resolve => this.server.listen(0, host, resolve))
    this.address = `${host}:${this.server.address().port}`
  }

  close () {
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Writes a row as the operator or a runner does. */
  put (table, key, value) {
    this.version += 1
    this.apply(table, '', key, value === null ? undefined : Buffer.from(JSON.stringify(value)).toString('base64'))
    this.wake()
  }

  apply (table, part, key, value) {
    const name = [table, part, key].join(PART_SEPARATOR)
    const row = { table, part, key, schemaVer: this.version, ...(value === undefined ? { removed: true } : { value }) }
    if (value === undefined) this.rows.delete(name)
    else this.rows.set(name, row)
    this.changes.push(row)
  }

  wake () {
    for (const waiter of [...this.waiters]) waiter()
  }

  handle (req, res, body) {
    this.calls += 1
    const url = new URL(req.url, 'http://store')
    const query = Object.fromEntries(url.searchParams)
    const call = `${req.method} ${url.pathname}`
    if (call === 'POST /rows-tx') setTimeout(() => { this.transact(res, JSON.parse(body)) }, TX_MS)
    else if (call === 'GET /rows-get') setTimeout(() => { this.read(res, query) }, READ_MS)
    else if (call === 'GET /rows-feed') this.feed(req, res, query)
    else if (call === 'GET /rows-parts') this.send(res, 200, { parts: [...new Set([...this.rows.values()].filter(row => row.table === query.table).map(row => row.part))].sort() })
    else this.send(res, 404, {})
  }

  send (res, status, body) {
    const text = JSON.stringify({ ...body, schemaVer: body.schemaVer ?? this.version, nowMs: Math.floor(performance.now() - this.startedAt) })
    res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
    res.end(text)
  }

  transact (res, { expectedRev = [], puts = [], remove = [] }) {
    const current = expectedRev.map(({ table, part = '', key }) => this.rows.get([table, part, key].join(PART_SEPARATOR)))
    const holds = expectedRev.every(({ schemaVer }, index) => (current[index]?.schemaVer ?? 0) === schemaVer)
    if (!holds) {
      this.send(res, 412, { rows: current.filter(row => row !== undefined) })
      return
    }
    if (puts.length + remove.length > 0) this.version += 1
    for (const { table, part = '', key, value } of puts) this.apply(table, part, key, value)
    for (const { table, part = '', key } of remove) this.apply(table, part, key, undefined)
    this.send(res, 200, {})
    this.wake()
  }

  read (res, { table, part = '', from = '', to, limit = MAX_ROWS }) {
    const found = [...this.rows.values()]
      .filter(row => row.table === table && row.part === part && row.key >= from && (to === undefined || row.key < to))
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    const most = Math.min(Number(limit), MAX_ROWS)
    this.send(res, 200, { rows: found.slice(0, most), hasMore: found.length > most })
  }

  feed (req, res, { table, sinceRev, waitMs = 0 }) {
    const answer = isLast => {
      const rows = this.changes.filter(row => row.table === table && row.schemaVer > Number(sinceRev))
      if (rows.length === 0 && !isLast) return
      clearTimeout(timer)
      this.waiters.delete(waiter)
      if (!res.destroyed) this.send(res, 200, { rows })
    }
    const waiter = () => { answer(false) }
    const timer = setTimeout(() => { answer(true) }, Math.min(Number(waitMs), 30_000))
    this.waiters.add(waiter)
    res.once('close', () => {
      clearTimeout(timer)
      this.waiters.delete(waiter)
    })
    answer(false)
  }
}
