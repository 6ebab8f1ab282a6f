// Runs all tests and closes with a plain line of how many passed and failed.
import { spawnSync } from 'node:child_process'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'

const root = path.resolve(import.meta.dirname, '..')
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'briarpick-tests-'))
const output = path.join(folder, 'result.json')
const args = ['vitest', 'run', '--reporter=default', '--reporter=json', `--outputFile=${output}`, ...process.argv.slice(2)]
const { status } = spawnSync('npx', args, { cwd: root, stdio: 'inherit' })
if (fs.existsSync(output)) {
  const { numPassedTests, numFailedTests } = JSON.parse(fs.readFileSync(output, 'utf8'))
  process.stdout.write(`${numPassedTests} passed, ${numFailedTests} failed\n`)
}
fs.rmSync(folder, { recursive: true, force: true })
process.exit(status ?? 1)
