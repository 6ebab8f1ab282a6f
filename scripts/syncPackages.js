// Generates from scripts/packages.json and the imports of each package: its package.json, its tsconfig.json, its README if it
// has none, and the lists of packages in the root's package.json and tsconfig.json.
import fs from 'node:fs'
import path from 'node:path'

const SCOPE = '@briarpick/'
const root = path.resolve(import.meta.dirname, '..')
const packages = JSON.parse(fs.readFileSync(path.join(root, 'scripts/packages.json'), 'utf8'))
const rootManifest = JSON.parse(fs.readFileSync(path.join(root, 'package.json'), 'utf8'))
const dirByName = new Map(Object.keys(packages).map((dir) => [packageName(dir), dir]))

for (const [dir, meta] of Object.entries(packages)) syncPackage(dir, meta)
rootManifest.workspaces = Object.keys(packages)
writeJson('package.json', rootManifest)
writeJson('tsconfig.json', { files: [], references: Object.keys(packages).map((dir) => ({ path: dir })) })

function packageName (dir) {
  return SCOPE + (packages[dir].name ?? path.basename(dir))
}

function syncPackage (dir, meta) {
  const imports = listImports(path.join(root, dir, 'src'))
  const dependencies = {}
  const references = []
  for (const name of imports) {
    if (dirByName.has(name)) references.push({ path: path.relative(dir, dirByName.get(name)) })
    dependencies[name] = dirByName.has(name) ? '*' : rootManifest.dependencies[name]
    if (dependencies[name] === undefined) throw new Error(`${dir} imports ${name}, which the root package.json does not declare`)
  }
  writeJson(path.join(dir, 'package.json'), {
    name: packageName(dir),
    version: rootManifest.version,
    private: true,
    type: 'module',
    sideEffects: false,
    description: meta.description,
    exports: { '.': { types: './lib/index.d.ts', default: './lib/index.js' } },
    ...meta.manifest,
    dependencies,
  })
  writeJson(path.join(dir, 'tsconfig.json'), {
    extends: path.join(path.relative(dir, '.'), 'tsconfig.base.json'),
    compilerOptions: { rootDir: 'src', outDir: 'lib', tsBuildInfoFile: 'lib/.tsbuildinfo' },
    include: ['src'],
    references,
  })
  const readme = path.join(root, dir, 'README.md')
  if (!fs.existsSync(readme)) fs.writeFileSync(readme, `# ${packageName(dir)}\n\n${meta.description}\n`)
}

function listImports (dir) {
  const imported = new Set()
  for (const file of fs.readdirSync(dir, { recursive: true })) {
    if (!file.endsWith('.ts')) continue
    const text = fs.readFileSync(path.join(dir, file), 'utf8')
    for (const [, specifier] of text.matchAll(/(?:from|import)\s*\(?\s*'([^'.][^']*)'/g)) {
      if (!specifier.startsWith('node:')) imported.add(importedPackage(specifier))
    }
  }
  return [...imported].sort()
}

function importedPackage (specifier) {
  return specifier.split('/').slice(0, specifier.startsWith('@') ? 2 : 1).join('/')
}

function writeJson (file, value) {
  fs.writeFileSync(path.join(root, file), JSON.stringify(value, null, 2) + '\n')
}
