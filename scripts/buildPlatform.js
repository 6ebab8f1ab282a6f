// Bundles the platform's programs into target/, from the sources.
import fs from 'node:fs'
import path from 'node:path'
import { build } from 'esbuild'

const SCOPE = '@briarpick/'
const root = path.resolve(import.meta.dirname, '..')
const packages = JSON.parse(fs.readFileSync(path.join(root, 'scripts/packages.json'), 'utf8'))
const alias = Object.fromEntries(Object.entries(packages).map(([dir, meta]) =>
  [SCOPE + (meta.name ?? path.basename(dir)), path.join(root, dir, 'src/index.ts')]))

await build({
  entryPoints: { briarpick: path.join(root, 'platform/src/briarpickPlatform.ts') },
  outdir: path.join(root, 'target'),
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  minify: false,
  sourcemap: false,
  alias,
  // Packages in CommonJS call require for Node's own modules.
  banner: { js: "import { createRequire as createRequireOf } from 'node:module'; const require = createRequireOf(import.meta.url);" },
  logLevel: 'warning',
})
