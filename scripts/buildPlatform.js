// Bundles the platform's programs from their sources into target/, with a V8 code cache that shortens process start-up.
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

/** Libraries that no process needs to serve callers. Each is bundled into a separate file, which is loaded on first use. */
const LAZY_LIBRARIES = ['hdr-histogram-js', 'prom-client']
const common = {
  bundle: true,
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  minify: true,
  logLevel: 'warning',
  // The launcher compiles the bundle as a script, which can load modules with require only.
  supported: { 'dynamic-import': false },
}

await build({
  ...common,
  entryPoints: { programs: path.join(root, 'platform/src/programs.ts') },
  outdir: target,
  outExtension: { '.js': '.cjs' },
  external: LAZY_LIBRARIES,
  // The logging library loads thread-stream for its transports, which are not used.
  alias: { ...alias, 'thread-stream': path.join(root, 'scripts/noThreadStream.cjs') },
})
for (const library of LAZY_LIBRARIES) {
  await build({ ...common, entryPoints: [library], absWorkingDir: root, outfile: path.join(target, 'node_modules', library, 'index.js') })
}
for (const name of ['briarpick.cjs', 'receiveSignals.cjs', 'markFirstStart.cjs']) fs.copyFileSync(path.join(root, 'platform/bin', name), path.join(target, name))

// V8 rejects a code cache that was created with other engine options, so it is created with those of the deploy file.
const deployFile = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')
const engineOptions = new Set([...deployFile.matchAll(/^run = "node (.*) target\/briarpick\.cjs/gm)].map(([, options]) => options))
if (engineOptions.size !== 1) throw new Error('all roles in deploy/system.toml must run with the same engine options')
const [options] = engineOptions
execFileSync(process.execPath, [...options.split(' '), path.join(target, 'briarpick.cjs'), '--write-cache'], { stdio: 'inherit' })
