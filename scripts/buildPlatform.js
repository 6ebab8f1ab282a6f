// Bundles the platform's programs into target/, from the sources, with compiled code beside them to shorten each start.
import fs from 'node:fs'
import path from 'node:path'
import { execFileSync } from 'node:child_process'
import { build } from 'esbuild'

const SCOPE = '@briarpick/'
const root = path.resolve(import.meta.dirname, '..')
const target = path.join(root, 'target')
const packages = JSON.parse(fs.readFileSync(path.join(root, 'scripts/packages.json'), 'utf8'))
const alias = Object.fromEntries(Object.entries(packages).map(([dir, meta]) =>
  [SCOPE + (meta.name ?? path.basename(dir)), path.join(root, dir, 'src/index.ts')]))

/** Libraries that no process needs to serve callers; each has a file of its own, which is read when it is first used. */
const LATE_LIBRARIES = ['hdr-histogram-js', 'prom-client']
const common = {
  bundle: true,
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  minify: true,
  logLevel: 'warning',
  // The start file compiles the programs as a script, which loads by require only.
  supported: { 'dynamic-import': false },
}

await build({
  ...common,
  entryPoints: { programs: path.join(root, 'platform/src/programs.ts') },
  outdir: target,
  outExtension: { '.js': '.cjs' },
  external: LATE_LIBRARIES,
  // The logging library loads threads for transports, which are not used.
  alias: { ...alias, 'thread-stream': path.join(root, 'scripts/noThreadStream.cjs') },
})
for (const library of LATE_LIBRARIES) {
  await build({ ...common, entryPoints: [library], absWorkingDir: root, outfile: path.join(target, 'node_modules', library, 'index.js') })
}
fs.copyFileSync(path.join(root, 'platform/bin/briarpick.cjs'), path.join(target, 'briarpick.cjs'))

// Compiled code only serves a process with the same engine options, so it is made under those of the deploy file.
const deploy = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')
const runs = new Set([...deploy.matchAll(/^run = "node (.*) target\/briarpick\.cjs/gm)].map(([, options]) => options))
if (runs.size !== 1) throw new Error('the roles of deploy/system.toml must run with the same engine options')
const [options] = runs
execFileSync(process.execPath, [...options.split(' '), path.join(target, 'briarpick.cjs'), '--write-cache'], { stdio: 'inherit' })
