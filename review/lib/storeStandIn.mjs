/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it: rows in tables, atomic transactions and feeds.
 * It keeps everything in memory of the process that starts it and behaves soundly.
 */
import { createServer } from 'node:http'

const FORBIDDEN_TABLES = new Set(['op', 'servers'])
const MAX_ROWS = 500

export class StoreStandIn {
  rows = new Map()
  version = 0
  waiting = new Set()
  server = createServer((req, res) => { this.answer(req, res).catch(() => { res.destroy() }) })

  /** Resolves to the address, as IPv4:port. */
  listen (ip) {
    return new Promise(resolve => { this.server.listen(0, ip, () => { resolve(`${ip}:${this.server.address().port}`) }) })
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes a row as the operator or a runner does; undefined removes it. */
  put (table, key, value) {
    this.version += 1
    this.set({ table, part: '', key, ...(value === undefined ? { removed: true } : { value: Buffer.from(JSON.stringify(value)).toString('base64') }) })
    this.wake()
  }

  async answer (req, res) {
    const url = new URL(req.url, 'http://store')
    const query = url.searchParams
    const body = await textOf(req)
    if (url.pathname === '/rows-get') return this.send(res, 200, this.get(query))
    if (url.pathname === '/rows-parts') return this.send(res, 200, { parts: [''], schemaVer: this.version, nowMs: now() })
    if (url.pathname === '/rows-feed') return await this.feed(query, res)
    if (url.pathname === '/rows-tx' && req.method === 'POST') return this.transact(JSON.parse(body), res)
    this.send(res, 404, {})
  }

  get (query) {
    const from = query.get('from') ?? ''
    const to = query.get('to')
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS))
    const rows = [...this.rows.values()]
      .filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.removed !== true && row.key >= from && (to === null || row.key < to))
      .sort((a, b) => a.key < b.key ? -1 : 1)
    return { rows: rows.slice(0, limit), hasMore: rows.length > limit, schemaVer: this.version, nowMs: now() }
  }

  async feed (query, res) {
    const since = Number(query.get('sinceRev'))
    const until = now() + Math.min(30_000, Number(query.get('waitMs') ?? 0))
    for (;;) {
      const rows = [...this.rows.values()].filter(row => row.table === query.get('table') && row.schemaVer > since).sort((a, b) => a.schemaVer - b.schemaVer)
      if (rows.length > 0 || now() >= until || res.destroyed) return this.send(res, 200, { rows, schemaVer: this.version, nowMs: now() })
      await this.changed(until - now())
    }
  }

  transact ({ expectedRev = [], puts = [], remove = [] }, res) {
    if ([...puts, ...remove].some(({ table }) => FORBIDDEN_TABLES.has(table))) return this.send(res, 403, {})
    const find = ({ table, part = '', key }) => {
      const row = this.rows.get(idOf(table, part, key))
      return row?.removed === true ? undefined : row
    }
    if (!expectedRev.every(item => (find(item)?.schemaVer ?? 0) === item.schemaVer)) {
      return this.send(res, 412, { rows: expectedRev.map(find).filter(row => row !== undefined), schemaVer: this.version, nowMs: now() })
    }
    this.version += 1
    for (const { table, part = '', key, value } of puts) this.set({ table, part, key, value })
    for (const { table, part = '', key } of remove) this.set({ table, part, key, removed: true })
    this.wake()
    this.send(res, 200, { schemaVer: this.version, nowMs: now() })
  }

  set (row) {
    this.rows.set(idOf(row.table, row.part, row.key), { ...row, schemaVer: this.version })
  }

  send (res, status, body) {
    if (res.destroyed) return
    res.writeHead(status, { 'Content-Type': 'application/json' })
    res.end(JSON.stringify(body))
  }

  wake () {
    for (const resolve of [...this.waiting]) resolve()
  }

  changed (ms) {
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer)
        this.waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, Math.max(0, ms))
      this.waiting.add(done)
    })
  }
}

function now () {
  return Math.floor(performance.now())
}

function idOf (table, part, key) {
  return `${table}\n${part}\n${key}`
}

async function textOf (req) {
  const chunks = []
  for await (const chunk of req) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}
