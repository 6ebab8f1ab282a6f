// Runs all tests and closes with a plain line of how many passed and failed. Failures that KNOWN-RED.txt names are passed over.
import { spawnSync } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'

const root = path.resolve(import.meta.dirname, '..')
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-tests-'))
const output = path.join(folder, 'result.json')
const args = ['vitest', 'run', '--reporter=default', '--reporter=json', `--outputFile=${output}`, ...process.argv.slice(2)]
const { status } = spawnSync('npx', args, { cwd: root, stdio: 'inherit' })
const verdict = fs.existsSync(output) ? judge(JSON.parse(fs.readFileSync(output, 'utf8'))) : status ?? 1
fs.rmSync(folder, { recursive: true, force: true })
process.exit(verdict)

/** Names of the tests that may fail. */
function knownRed () {
  const file = path.join(root, 'KNOWN-RED.txt')
  if (!fs.existsSync(file)) return new Set()
  return new Set([...fs.readFileSync(file, 'utf8').matchAll(/^test: (.+)$/gm)].map(([, name]) => name))
}

/** The exit code. A file that fails outside its tests fails the run, whatever is known. */
function judge ({ numPassedTests, testResults }) {
  const known = knownRed()
  const failed = testResults.flatMap(({ assertionResults }) => assertionResults.filter((result) => result.status === 'failed'))
  const red = failed.filter(({ title }) => known.has(title))
  const brokenFiles = testResults.filter((file) => file.status === 'failed' && file.assertionResults.every((result) => result.status !== 'failed'))
  for (const { title } of red) process.stdout.write(`known red: ${title}\n`)
  for (const { name } of brokenFiles) process.stdout.write(`failed outside its tests: ${name}\n`)
  const unknown = failed.length - red.length + brokenFiles.length
  process.stdout.write(`${numPassedTests} passed, ${unknown} failed\n`)
  return unknown === 0 && (status === 0 || red.length > 0) ? 0 : 1
}
