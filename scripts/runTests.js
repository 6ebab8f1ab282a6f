// Runs all tests and prints how many passed and failed as the last line. Failures listed in KNOWN-RED.txt are printed but don't
// count as failed.
import { spawnSync } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'

const root = path.resolve(import.meta.dirname, '..')
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-tests-'))
const output = path.join(folder, 'result.json')
const args = ['vitest', 'run', '--reporter=default', '--reporter=json', `--outputFile=${output}`, ...process.argv.slice(2)]
const { status } = spawnSync('npx', args, { cwd: root, stdio: 'inherit' })
const exitCode = fs.existsSync(output) ? evaluate(JSON.parse(fs.readFileSync(output, 'utf8'))) : status ?? 1
fs.rmSync(folder, { recursive: true, force: true })
process.exit(exitCode)

/** Titles of the tests listed as known failures. */
function readKnownFailures () {
  const file = path.join(root, 'KNOWN-RED.txt')
  if (!fs.existsSync(file)) return new Set()
  return new Set([...fs.readFileSync(file, 'utf8').matchAll(/^test: (.+)$/gm)].map(([, name]) => name))
}

/** Prints the summary and returns the exit code. A file that fails outside of its tests always fails the run. */
function evaluate ({ numPassedTests, testResults }) {
  const known = readKnownFailures()
  const failed = testResults.flatMap(({ assertionResults }) => assertionResults.filter((result) => result.status === 'failed'))
  const knownFailed = failed.filter(({ title }) => known.has(title))
  const brokenFiles = testResults.filter((file) => file.status === 'failed' && file.assertionResults.every((result) => result.status !== 'failed'))
  for (const { title } of knownFailed) process.stdout.write(`known failure: ${title}\n`)
  for (const { name } of brokenFiles) process.stdout.write(`failed outside of its tests: ${name}\n`)
  const failures = failed.length - knownFailed.length + brokenFiles.length
  process.stdout.write(`${numPassedTests} passed, ${failures} failed\n`)
  return failures === 0 && (status === 0 || knownFailed.length > 0) ? 0 : 1
}
