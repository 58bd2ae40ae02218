/**
 * Stand-in of a runner, one process: answers as the body of a request says, as JSON with `events` and `gapMs` for a stream, or `workMs`.
 * Writes one line for each run. Arguments: host, id, stride.
 */
import { createServer } from 'node:http'

const [host, id] = process.argv.slice(2)
const FIRST_EVENT_MS = 20

function log (entry) {
  process.stdout.write(`${JSON.stringify({ runner: id, ...entry })}\n`)
}

const server = createServer((req, res) => {
  const chunks = []
  req.on('data', chunk => chunks.push(chunk))
  req.on('end', () => { serve(req, res, Buffer.concat(chunks).toString()) })
})
server.keepAliveTimeout = 30_000

function serve (req, res, body) {
  const requestId = req.headers['x-request-id']
  if (req.headers['x-expect-instance'] !== undefined && req.headers['x-expect-instance'] !== id) {
    res.writeHead(421, { 'X-Instance-Id': id, 'Content-Length': 0 })
    res.end()
    return
  }
  const answer = { 'X-Instance-Id': id, 'X-Request-Id': requestId ?? '' }
  if (requestId === undefined) {
    res.writeHead(400, { ...answer, 'X-Not-Executed': '1', 'Content-Length': 0 })
    res.end()
    return
  }
  const { events = 0, gapMs = 10, workMs = 20 } = parse(body)
  log({ ran: requestId, tenant: req.headers['x-tenant'] })
  const signed = { ...answer, 'X-Server-Signature': `${id}.${requestId}` }
  if (events === 0) {
    const timer = setTimeout(() => {
      res.writeHead(200, { ...signed, 'Content-Length': 2 })
      res.end('ok')
    }, workMs)
    res.once('close', () => { clearTimeout(timer) })
    return
  }
  let sent = 0
  const next = () => {
    if (sent === 0) res.writeHead(200, { ...signed, 'Content-Type': 'text/event-stream' })
    sent += 1
    res.write(`id: ${sent}\ndata: ${requestId} ${sent}\n\n`)
    if (sent < events) timer = setTimeout(next, gapMs)
    else res.end()
  }
  let timer = setTimeout(next, FIRST_EVENT_MS)
  res.once('close', () => { clearTimeout(timer) })
}

function parse (body) {
  try {
    return JSON.parse(body)
  } catch {
    return {}
  }
}

server.listen(0, host, () => { log({ listens: server.address().port }) })
