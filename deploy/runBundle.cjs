/**
 * Runs the bundled program from a V8 code cache, since compiling the source takes most of the time from the
 * start of a process to its first answer. The build writes the cache with `--write-code-cache`; if it is
 * missing or from another Node version, the source is compiled as usual.
 */
'use strict'

const { existsSync, readFileSync, writeFileSync } = require('node:fs')
const { dirname, join } = require('node:path')
const { Script } = require('node:vm')

const bundleFile = join(__dirname, '..', 'target', 'rosemaryspreadVm.cjs')
const cacheFile = `${bundleFile}.cache`
const isWriting = process.argv.includes('--write-code-cache')

const cachedData = !isWriting && existsSync(cacheFile) ? readFileSync(cacheFile) : undefined
// The bundle is ASCII; reading it as latin1 avoids UTF-8 decoding.
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundleFile, 'latin1')}\n})`
// With functions that are first called later, such as those of a request, none has to be compiled while the VM serves.
if (isWriting) setFlag('--no-lazy')
const script = new Script(source, { filename: bundleFile, ...(cachedData === undefined ? {} : { cachedData }) })
if (script.cachedDataRejected === true) console.error('the code cache is from another build or Node version and is not used')

// Without settings the program exits once all modules are loaded.
if (isWriting) {
  // V8 rejects a cache that was written under other flags than those of the process that reads it.
  setFlag('--lazy')
  process.once('exit', () => {
    writeFileSync(cacheFile, script.createCachedData())
    process.exitCode = 0
  })
}

const bundle = { exports: {} }
script.runInThisContext()(bundle.exports, require, bundle, bundleFile, dirname(bundleFile))

/** Loads the module here, as loading it takes time at each start. */
function setFlag (flag) {
  require('node:v8').setFlagsFromString(flag)
}
