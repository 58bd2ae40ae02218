#!/usr/bin/env node
/**
 * Entry point of `rosemaryspreadctl`.
 */
import { randomBytes, randomUUID } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { setTimeout as pause } from 'node:timers/promises'
import { runCtl } from './ctlProgram.js'
import type { CtlIo } from './ctlTypes.js'
import { exitCodes } from './exitCodes.js'

const keyBytes = 32

const processIo: CtlIo = {
  env: process.env,
  out: (line) => { process.stdout.write(`${line}\n`) },
  err: (line) => { process.stderr.write(`${line}\n`) },
  read: (file) => file === '-' ? text(process.stdin) : readFile(file, 'utf8'),
  newId: randomUUID,
  newKey: () => `rsk_${randomBytes(keyBytes).toString('base64url')}`,
  pause: (ms) => pause(ms)
}

try {
  process.exitCode = await runCtl(process.argv.slice(2), processIo)
} catch (err) {
  process.stderr.write(`${err instanceof Error ? err.stack : String(err)}\n`)
  process.exitCode = exitCodes.fault
}
