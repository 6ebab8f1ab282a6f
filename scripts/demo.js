// Installs dependencies if they are missing, builds, and runs the demo; --platform runs the demo of the platform's programs.
import { spawnSync } from 'node:child_process'
import fs from 'node:fs'
import path from 'node:path'

const root = path.resolve(import.meta.dirname, '..')

function run (command, args) {
  const { status } = spawnSync(command, args, { cwd: root, stdio: 'inherit' })
  if (status !== 0) process.exit(status ?? 1)
}

if (!fs.existsSync(path.join(root, 'node_modules/typescript'))) run('npm', ['ci', '--no-audit', '--no-fund'])
run('npm', ['run', 'build'])
const demo = process.argv.includes('--platform') ? 'platformDemo' : 'demo'
run(process.execPath, [`bench/lib/${demo}.js`])
