/**
 * Writes the generated pages; run by `npm run docs:tables` from the repository root.
 */
import { writeFile } from 'node:fs/promises'
import { generatedPages } from './tableDocs.js'

for (const { path, text } of generatedPages()) await writeFile(path, text)
