#!/usr/bin/env node
/**
 * Starts the built program. npm links only binaries that exist when it installs, which `dist`
 * does not on a fresh clone.
 */
import '../dist/cli/serveMain.js'
